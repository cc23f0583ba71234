//! Requests with a part that crashes engines arrive at several routers beside sound ones.

use super::tests::{at, decide_new, dispatcher, expect_grant, spec};
use super::*;
use crate::direct::{Assessment, RefuseReason};

/// The session whose part is fatal.
const FATAL_SESSION: u32 = 7;

/// Sends a request with the fatal part, whose engine crashes. Returns the engine.
fn crash_an_engine(dispatcher: &mut Dispatcher, now: Timestamp) -> EndpointId {
    let fatal = spec(1, FATAL_SESSION, 2_000, now);
    let grant = expect_grant(decide_new(dispatcher, fatal, now));
    dispatcher.on_bytes(grant.run, now);
    let open = dispatcher.open_run(grant.run).unwrap();
    dispatcher.on_ended(grant.run, RunOutcome::Broken, now);
    dispatcher.on_crash(&open, now);
    grant.endpoint
}

fn routers() -> Vec<Dispatcher> {
    (0..3).map(|_| dispatcher(10_000_000)).collect()
}

fn exchange(routers: &mut [Dispatcher], now: Timestamp) {
    let news: Vec<_> = routers
        .iter()
        .map(|router| router.crash_news(16, now))
        .collect();
    for router in routers {
        news.iter().for_each(|news| router.on_crash_news(news, now));
    }
}

/// Two routers that try the part at the same time must not crash two engines.
#[test]
fn all_routers_try_a_suspect_on_the_same_engine() {
    let mut routers = routers();
    let crashed = crash_an_engine(&mut routers[0], at(0));
    exchange(&mut routers, at(80));
    let now = at(100);
    let tried: Vec<EndpointId> = routers
        .iter_mut()
        .map(|router| {
            let fatal = spec(1, FATAL_SESSION, 2_000, now);
            expect_grant(decide_new(router, fatal, now)).endpoint
        })
        .collect();
    assert!(
        tried.iter().all(|endpoint| *endpoint == tried[0]),
        "{tried:?}"
    );
    assert_ne!(tried[0], crashed);
}

/// Streams that run on the engine of a failed trial are cut with it.
#[test]
fn other_requests_avoid_the_engine_of_a_trial() {
    let mut routers = routers();
    crash_an_engine(&mut routers[0], at(0));
    exchange(&mut routers, at(80));
    let fatal = spec(1, FATAL_SESSION, 2_000, at(100));
    let trial = expect_grant(decide_new(&mut routers[0], fatal, at(100)));
    exchange(&mut routers, at(110));
    // The part that all requests share is proven, so these are no trials themselves.
    let proof = spec(2, 1, 400, at(115));
    let proof = expect_grant(decide_new(&mut routers[1], proof, at(115)));
    routers[1].on_event(proof.run, 1, at(116));
    exchange(&mut routers, at(117));
    for router in &mut routers {
        for session in 100..130 {
            let sound = spec(2, session, 400, at(120));
            let grant = expect_grant(decide_new(router, sound, at(120)));
            assert_ne!(grant.endpoint, trial.endpoint);
        }
    }
}

/// A request that would crash the engine after next must not wait in a queue first.
#[test]
fn a_blocked_part_is_refused_at_once_on_every_router() {
    let mut routers = routers();
    let shared = spec(2, 1, 400, at(0));
    let shared = expect_grant(decide_new(&mut routers[0], shared, at(0)));
    routers[0].on_event(shared.run, 1, at(1));
    for round in 0..4 {
        crash_an_engine(&mut routers[0], at(100 + round * 200));
        exchange(&mut routers, at(180 + round * 200));
        let fatal = spec(1, FATAL_SESSION, 2_000, at(190 + round * 200));
        let is_blocked = |router: &Dispatcher| {
            let assessment = router
                .crash_evidence
                .assess(&fatal.parts, at(190 + round * 200));
            matches!(assessment, Assessment::Blocked { .. })
        };
        if routers.iter().all(is_blocked) {
            break;
        }
    }
    for router in &mut routers {
        let now = at(1_000);
        let fatal = spec(1, FATAL_SESSION, 2_000, now);
        let verdict = decide_new(router, fatal, now);
        let is_refused = matches!(
            verdict,
            Some(Verdict::Refuse {
                reason: RefuseReason::CrashingPart,
                ..
            })
        );
        assert!(is_refused, "{verdict:?}");
        let sound = spec(1, FATAL_SESSION + 1, 2_000, now);
        expect_grant(decide_new(router, sound, now));
    }
}
