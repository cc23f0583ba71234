//! Overload of a plain service: more requests arrive than its endpoints can answer.

use std::collections::BTreeMap;

use super::tests::{at, dispatcher, plain_spec, spec};
use super::*;
use crate::direct::RefuseReason;

/// Slots of both endpoints together.
const SLOTS: u64 = 12;
const SERVICE_TIME_MS: u64 = 15;
const OBJECTIVE: Duration = Duration::from_millis(120);
const DURATION_MS: u64 = 2_000;

#[derive(Debug, Default)]
struct Outcome {
    on_time: u64,
    late: u64,
    refused: u64,
    refused_after_max: Duration,
    retry_after_min: Option<Duration>,
}

/// An endpoint that serves as many requests at once as it has slots, in order of arrival.
#[derive(Default)]
struct Endpoint {
    waiting: std::collections::VecDeque<RunId>,
    running: Vec<(RunId, u64)>,
}

/// Simulates `arrivals_per_ms` arrivals per millisecond at two endpoints with six slots each.
fn simulate(arrivals_per_ms: f64) -> Outcome {
    let mut dispatcher = dispatcher(10_000_000);
    let mut outcome = Outcome::default();
    let mut arrived: HashMap<QueueId, u64> = HashMap::new();
    let mut sent: HashMap<RunId, u64> = HashMap::new();
    let mut endpoints: BTreeMap<EndpointId, Endpoint> = BTreeMap::new();
    let mut arrivals_due = 0.0;
    for ms in 0..DURATION_MS {
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
                endpoint.running.push((run, ms + SERVICE_TIME_MS));
            }
        }
        arrivals_due += arrivals_per_ms;
        while arrivals_due >= 1.0 {
            arrivals_due -= 1.0;
            let spec = RequestSpec {
                objective: OBJECTIVE,
                give_up_at: now + OBJECTIVE * 5,
                ..plain_spec(now)
            };
            dispatcher.on_request(&spec, now);
            arrived.insert(dispatcher.submit(spec), ms);
        }
        for (id, verdict) in dispatcher.decide_waiting(now) {
            let arrived_ms = arrived.remove(&id).unwrap();
            match verdict {
                Verdict::Send(grant) => {
                    sent.insert(grant.run, arrived_ms);
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
                    let waited = Duration::from_millis(ms - arrived_ms);
                    outcome.refused_after_max = outcome.refused_after_max.max(waited);
                    let least = outcome.retry_after_min.unwrap_or(retry_after);
                    outcome.retry_after_min = Some(least.min(retry_after));
                }
            }
        }
    }
    outcome
}

/// Guards against late refusals: after one of three endpoints had left, 10,187 requests waited for
/// their whole objective of 120 ms before they were refused.
#[test]
fn requests_that_an_overloaded_plain_service_would_answer_late_are_refused_promptly() {
    let capacity_per_ms = SLOTS as f64 / SERVICE_TIME_MS as f64;
    for overload in [1.5, 2.0, 4.0] {
        let outcome = simulate(capacity_per_ms * overload);
        assert!(
            outcome.refused_after_max <= OBJECTIVE / 8,
            "{overload}: {outcome:?}"
        );
        let answered = capacity_per_ms * DURATION_MS as f64;
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
fn a_plain_service_within_its_capacity_refuses_no_request() {
    let outcome = simulate(0.9 * SLOTS as f64 / SERVICE_TIME_MS as f64);
    assert_eq!((outcome.refused, outcome.late), (0, 0), "{outcome:?}");
}

/// Guards against applying the share to plain services: a team that asked engines for many times
/// its share had its requests to an idle plain service refused too.
#[test]
fn plain_requests_do_not_count_towards_their_teams_engine_share() {
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
        let plain_request = RequestSpec {
            team: Some(1),
            ..plain_spec(at(ms))
        };
        let id = dispatcher.submit(plain_request);
        let verdicts = dispatcher.decide_waiting(at(ms));
        let verdict = verdicts
            .into_iter()
            .find(|(verdict_id, _)| *verdict_id == id);
        let Some((_, Verdict::Send(grant))) = verdict else {
            panic!("expected a grant, since a slot is free: {verdict:?}");
        };
        dispatcher.on_bytes(grant.run, at(ms));
        dispatcher.on_ended(grant.run, RunOutcome::Done, at(ms));
    }
}
