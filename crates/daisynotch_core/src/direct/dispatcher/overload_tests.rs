//! More requests come to a plain_spec service than it can answer.

use std::collections::BTreeMap;

use super::tests::{at, dispatcher, plain_spec, spec};
use super::*;
use crate::direct::RefuseReason;

/// Slots of both endpoints together.
const SLOTS: u64 = 12;
const WORK_MS: u64 = 15;
const OBJECTIVE: Duration = Duration::from_millis(120);
const LENGTH_MS: u64 = 2_000;

#[derive(Debug, Default)]
struct Outcome {
    on_time: u64,
    late: u64,
    refused: u64,
    refused_after_max: Duration,
    retry_after_min: Option<Duration>,
}

/// An endpoint that works at as many requests as it has slots, in order of arrival.
#[derive(Default)]
struct Endpoint {
    waiting: std::collections::VecDeque<RunId>,
    running: Vec<(RunId, u64)>,
}

/// Plays `per_ms` requests a millisecond on an endpoint of six slots each.
fn play(per_ms: f64) -> Outcome {
    let mut dispatcher = dispatcher(10_000_000);
    let mut outcome = Outcome::default();
    let mut arrived: HashMap<QueueId, u64> = HashMap::new();
    let mut sent: HashMap<RunId, u64> = HashMap::new();
    let mut endpoints: BTreeMap<EndpointId, Endpoint> = BTreeMap::new();
    let mut due = 0.0;
    for ms in 0..LENGTH_MS {
        let now = at(ms);
        for endpoint in endpoints.values_mut() {
            let (ended, running): (Vec<_>, Vec<_>) =
                endpoint.running.iter().partition(|(_, ends)| *ends <= ms);
            endpoint.running = running;
            for (run, _) in ended {
                dispatcher.on_bytes(run, now);
                dispatcher.on_ended(run, RunOutcome::Done, now);
                let is_on_time = ms - sent[&run] <= OBJECTIVE.as_millis() as u64;
                outcome.on_time += u64::from(is_on_time);
                outcome.late += u64::from(!is_on_time);
            }
            while endpoint.running.len() < 6
                && let Some(run) = endpoint.waiting.pop_front()
            {
                endpoint.running.push((run, ms + WORK_MS));
            }
        }
        due += per_ms;
        while due >= 1.0 {
            due -= 1.0;
            let spec = RequestSpec {
                objective: OBJECTIVE,
                give_up_at: now + OBJECTIVE * 5,
                ..plain_spec(now)
            };
            dispatcher.on_request(&spec, now);
            arrived.insert(dispatcher.submit(spec), ms);
        }
        for (id, verdict) in dispatcher.decide_waiting(now) {
            let came_ms = arrived.remove(&id).unwrap();
            match verdict {
                Verdict::Send(grant) => {
                    sent.insert(grant.run, came_ms);
                    let endpoint = endpoints.entry(grant.endpoint).or_default();
                    endpoint.waiting.push_back(grant.run);
                }
                Verdict::Refuse {
                    reason,
                    retry_after,
                    ..
                } => {
                    assert_eq!(reason, RefuseReason::NoRoom);
                    outcome.refused += 1;
                    let waited = Duration::from_millis(ms - came_ms);
                    outcome.refused_after_max = outcome.refused_after_max.max(waited);
                    let least = outcome.retry_after_min.unwrap_or(retry_after);
                    outcome.retry_after_min = Some(least.min(retry_after));
                }
            }
        }
    }
    outcome
}

/// One of three endpoints left, and 10,187 requests waited their whole objective of 120 ms
/// before they were refused.
#[test]
fn what_a_plain_service_can_not_answer_in_time_is_refused_at_once() {
    let capacity_per_ms = SLOTS as f64 / WORK_MS as f64;
    for overload in [1.5, 2.0, 4.0] {
        let outcome = play(capacity_per_ms * overload);
        assert!(
            outcome.refused_after_max <= OBJECTIVE / 8,
            "{overload}: {outcome:?}"
        );
        let answered = capacity_per_ms * LENGTH_MS as f64;
        assert!(
            outcome.on_time as f64 >= 0.9 * answered,
            "{overload}: {outcome:?}"
        );
        assert!(
            outcome.late * 50 <= outcome.on_time,
            "{overload}: {outcome:?}"
        );
        assert!(outcome.retry_after_min.unwrap() >= Duration::from_millis(100));
    }
}

#[test]
fn a_plain_service_that_keeps_up_refuses_nobody() {
    let outcome = play(0.9 * SLOTS as f64 / WORK_MS as f64);
    assert_eq!((outcome.refused, outcome.late), (0, 0), "{outcome:?}");
}

/// A team asks engines for many times its share. Its bookings were refused for that, although
/// the service that takes them was idle.
#[test]
fn plain_requests_do_not_pay_for_what_their_team_asks_of_engines() {
    let mut dispatcher = dispatcher(10_000);
    for request in 0..20 {
        let asked = spec(1, request, 4_000, at(0));
        dispatcher.on_request(&asked, at(0));
        dispatcher.submit(asked);
        for (_, verdict) in dispatcher.decide_waiting(at(0)) {
            if let Verdict::Send(grant) = verdict {
                dispatcher.on_bytes(grant.run, at(0));
                dispatcher.on_ended(grant.run, RunOutcome::Done, at(0));
            }
        }
    }
    for request in 0..20 {
        dispatcher.on_request(&spec(2, request, 4_000, at(0)), at(0));
    }
    for ms in 1..20 {
        let booking = RequestSpec {
            team: Some(1),
            ..plain_spec(at(ms))
        };
        let id = dispatcher.submit(booking);
        let verdicts = dispatcher.decide_waiting(at(ms));
        let verdict = verdicts.into_iter().find(|(of, _)| *of == id);
        let Some((_, Verdict::Send(grant))) = verdict else {
            panic!("a slot is free: {verdict:?}");
        };
        dispatcher.on_bytes(grant.run, at(ms));
        dispatcher.on_ended(grant.run, RunOutcome::Done, at(ms));
    }
}
