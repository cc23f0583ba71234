//! Endpoints that limit the requests of all routers together, at one router.

use super::tests::{
    at, decide_new, digest, dispatcher, entry, expect_grant, plain_spec, spec, table,
};
use super::*;
use crate::direct::{LimitNews, RefuseReason, RequestRate, StatedLimit};

const OWN: RouterId = RouterId(1);
/// Time in which a router that started waits for its parts, and some more.
const SETTLED_MS: u64 = 3_000;

/// Returns a settled dispatcher after another router told it of limits at these endpoints.
fn limited(service: &str, endpoints: std::ops::Range<usize>, rate: RequestRate) -> Dispatcher {
    let mut dispatcher = dispatcher(10_000_000);
    let limits = endpoints.map(|index| StatedLimit {
        endpoint: entry(service, index).id(),
        limit: Some(rate),
        age_ms: 0,
    });
    let news = LimitNews {
        limits: limits.collect(),
        demands: Vec::new(),
    };
    for ms in (0..SETTLED_MS).step_by(75) {
        dispatcher.divide_limits(OWN, at(ms));
    }
    dispatcher.on_limit_news(OWN, None, &news, at(SETTLED_MS));
    dispatcher
}

/// Requests that wait for limited endpoints to no end could go to another router instead.
#[test]
fn requests_beyond_the_limits_are_refused_at_once() {
    let rate = RequestRate(2_000);
    for service in ["models", "orders"] {
        let mut dispatcher = limited(service, 0..4, rate);
        let now = at(SETTLED_MS);
        let mut refused = 0;
        for session in 0..40 {
            let spec = match service {
                "models" => spec(session % 8, session, 400, now),
                _ => plain_spec(now),
            };
            dispatcher.on_request(&spec, now);
            dispatcher.submit(spec);
        }
        for (_, verdict) in dispatcher.decide_waiting(now) {
            if let Verdict::Refuse {
                reason,
                retry_after,
                ..
            } = verdict
            {
                assert_eq!(reason, RefuseReason::EndpointLimits, "{service}");
                assert!(retry_after >= Duration::from_millis(150), "{service}");
                refused += 1;
            }
        }
        // Few requests are sent at once, and few can be sent within the objective of 500 ms.
        assert!(refused >= 30, "{service}: {refused}");
        assert!(dispatcher.running_len() <= 4, "{service}");
    }
}

/// Three of four engines accept few requests: prompts of a few tokens must not take them, while
/// long prompts keep the fourth one busy.
#[test]
fn limited_engines_are_left_to_long_prompts() {
    let mut dispatcher = limited("models", 0..3, RequestRate(4_000));
    let unlimited = entry("models", 3).id();
    let mut short_at_unlimited = 0;
    let mut long_at_limited = 0;
    for step in 0..40_u64 {
        let now = at(SETTLED_MS + step * 100);
        dispatcher.divide_limits(OWN, now);
        let session = step as u32;
        let short = decide_new(
            &mut dispatcher,
            spec(session % 8, 2 * session, 100, now),
            now,
        );
        let long_spec = spec(session % 8, 2 * session + 1, 9_000, now);
        let long = decide_new(&mut dispatcher, long_spec, now);
        for (verdict, is_long) in [(short, false), (long, true)] {
            let Some(Verdict::Send(grant)) = verdict else {
                continue;
            };
            let is_limited = grant.endpoint != unlimited;
            short_at_unlimited += u32::from(!is_long && !is_limited);
            long_at_limited += u32::from(is_long && is_limited);
            let done_at = now + Duration::from_millis(90);
            dispatcher.on_bytes(grant.run, done_at);
            dispatcher.on_ended(grant.run, RunOutcome::Done, done_at);
        }
    }
    assert!(short_at_unlimited >= 30, "{short_at_unlimited}");
    assert!(long_at_limited >= 30, "{long_at_limited}");
}

/// The engine without a limit has cached the prompts but is busy for 300 ms. A limited engine idles,
/// so a long prompt goes there instead of waiting; a short one leaves it to long ones.
#[test]
fn a_long_prompt_takes_an_idle_limited_engine_instead_of_waiting() {
    for (prompt_tokens, is_sent) in [(9_000, true), (400, false)] {
        let mut dispatcher = limited("models", 0..3, RequestRate(4_000));
        let now = at(SETTLED_MS);
        let spec = spec(1, 1, prompt_tokens, now);
        let endpoint = entry("models", 3).id();
        let load = EndpointDigest {
            endpoint,
            unread_tokens: 23_000,
            running: 3,
            memory_tokens: 23_000,
            is_suspect: false,
        };
        let placed = PlacedParts {
            endpoint,
            parts: spec.parts.clone(),
        };
        let digest = Digest {
            endpoints: vec![load],
            placed: vec![placed],
            ..digest()
        };
        dispatcher.on_digest(&digest, now);
        let verdict = decide_new(&mut dispatcher, spec, now);
        assert_eq!(verdict.is_some(), is_sent, "{prompt_tokens}");
        if let Some(verdict) = verdict {
            let grant = expect_grant(Some(verdict));
            assert_ne!(grant.endpoint, endpoint);
        }
    }
}

/// The limit of an endpoint that starts again under its name is not that of its earlier start.
#[test]
fn a_limit_holds_for_one_start_of_an_endpoint() {
    let mut dispatcher = limited("orders", 0..2, RequestRate(0));
    let now = at(SETTLED_MS);
    for _ in 0..4 {
        decide_new(&mut dispatcher, plain_spec(now), now);
    }
    let table = table(10_000_000);
    for index in 0..2 {
        let before = entry("orders", index);
        let change = EndpointChange::Closed(before.id());
        dispatcher.on_endpoint(change, &table);
        let restarted = EndpointEntry {
            started_unix_ms: 2,
            ..before
        };
        dispatcher.on_endpoint(EndpointChange::Usable(restarted), &table);
    }
    for _ in 0..4 {
        expect_grant(decide_new(&mut dispatcher, plain_spec(now), now));
    }
}

/// Requests of a plain service are alike, so what a limited endpoint accepts is not saved for any.
#[test]
fn a_limited_plain_endpoint_is_used_before_another_one_queues() {
    let mut dispatcher = limited("orders", 0..1, RequestRate(20_000));
    for ms in (0..2_000).step_by(75) {
        dispatcher.divide_limits(OWN, at(SETTLED_MS + ms));
    }
    let now = at(SETTLED_MS + 2_000);
    let unlimited = entry("orders", 1);
    let mut at_unlimited = 0;
    for _ in 0..12 {
        let grant = expect_grant(decide_new(&mut dispatcher, plain_spec(now), now));
        at_unlimited += u32::from(grant.endpoint == unlimited.id());
    }
    assert_eq!(at_unlimited, unlimited.slots);
}

/// A team that leads gets no scarce request, and its callers left after two seconds without a
/// word.
#[test]
fn a_request_that_can_only_be_late_is_refused_when_its_objective_passes() {
    let mut dispatcher = limited("models", 0..4, RequestRate(2_000));
    let mut waited_max = Duration::ZERO;
    for step in 0..160_u64 {
        let now = at(SETTLED_MS + step * 25);
        dispatcher.divide_limits(OWN, now);
        // The first team asks for much more than the others.
        for team in [0, 0, 0, 0, 0, 0, step as u32 % 8] {
            let spec = spec(team, step as u32, 2_000, now);
            dispatcher.on_request(&spec, now);
            dispatcher.submit(spec);
        }
        let objective = Duration::from_millis(500);
        dispatcher.decide_waiting(now);
        let waiting = dispatcher.waiting.iter();
        let waited = waiting.map(|waiting| now.since(waiting.spec.arrived_at));
        waited_max = waited_max.max(waited.max().unwrap_or_default());
        assert!(waited_max <= objective, "{waited_max:?} after {step} steps");
    }
}

/// A team far beyond its share, whose callers repeat refused requests at one router, drew almost
/// all limits to that router; teams that use other routers got a fifth of what they asked.
#[test]
fn a_team_beyond_its_share_draws_no_more_limits_to_its_router() {
    let rate = RequestRate(10_000);
    let mut dispatchers = [(); 2].map(|()| limited("models", 0..4, rate));
    let ids = [OWN, RouterId(2)];
    // Requests of 2,000 tokens in 25 ms from the only team of each router.
    let requests = [8, 1];
    let mut sent = [0, 0];
    for step in 0..400_u64 {
        let now = at(SETTLED_MS + step * 25);
        for (index, dispatcher) in dispatchers.iter_mut().enumerate() {
            for _ in 0..requests[index] {
                let spec = spec(index as u32, step as u32, 2_000, now);
                dispatcher.on_request(&spec, now);
                dispatcher.submit(spec);
            }
            for (_, verdict) in dispatcher.decide_waiting(now) {
                let Verdict::Send(grant) = verdict else {
                    continue;
                };
                dispatcher.on_bytes(grant.run, now);
                dispatcher.on_ended(grant.run, RunOutcome::Done, now);
                sent[index] += u32::from(step >= 200);
            }
        }
        if step % 3 == 0 {
            let news = dispatchers.each_mut().map(|dispatcher| {
                let (endpoints, teams, placed) = dispatcher.to_digest(now);
                let digest = Digest {
                    endpoints,
                    teams,
                    placed,
                    ..digest()
                };
                (digest, dispatcher.limit_news(256, now))
            });
            for (index, dispatcher) in dispatchers.iter_mut().enumerate() {
                let (digest, news) = &news[1 - index];
                let sender = ids[1 - index];
                dispatcher.on_digest(digest, now);
                dispatcher.on_limit_news(ids[index], Some(sender), news, now);
                dispatcher.divide_limits(ids[index], now);
            }
        }
    }
    // In five seconds the four engines accept 200 requests, of which each team should get half.
    assert!(sent[1] >= 70, "{sent:?}");
}
