//! Requests with a part that crashes engines arrive at several routers beside sound ones.

use super::tests::{at, decide_new, dispatcher, expect_grant, spec};
use super::*;
use crate::direct::{AnswerStage, Assessment, OpenRun, RefuseReason};

/// The largest number of engines that one part may crash.
const CRASHES_MAX: u32 = 5;
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
    routers[1].on_bytes(proof.run, at(416));
    exchange(&mut routers, at(417));
    for router in &mut routers {
        for session in 100..130 {
            let sound = spec(2, session, 400, at(420));
            let grant = expect_grant(decide_new(router, sound, at(420)));
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
    routers[0].on_bytes(shared.run, at(1_001));
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

/// An engine crashed by an answer's first events counted as sound for them, so that engine after
/// engine crashed.
#[test]
fn a_part_that_crashes_engines_after_the_first_event_is_blocked() {
    for crash_after_ms in [0, 20, 120, 250] {
        for is_whole in [false, true] {
            let mut routers = routers();
            let mut crashes = 0;
            for round in 0..12 {
                let router = &mut routers[round % 3];
                let now = at(round as u64 * 1_500);
                let fatal = spec(1, FATAL_SESSION, 2_000, now);
                let Some(Verdict::Send(grant)) = decide_new(router, fatal, now) else {
                    break;
                };
                router.on_bytes(grant.run, now);
                router.on_event(grant.run, 1, now);
                let crashed_at = now + Duration::from_millis(crash_after_ms);
                if is_whole {
                    router.on_ended(grant.run, RunOutcome::Done, now);
                    router.on_unattended_crash(grant.endpoint, crashed_at);
                } else {
                    router.on_event(grant.run, 1, crashed_at);
                    let open = router.open_run(grant.run).unwrap();
                    router.on_ended(grant.run, RunOutcome::Broken, crashed_at);
                    router.on_crash(&open, crashed_at);
                }
                crashes += 1;
                exchange(&mut routers, crashed_at + Duration::from_millis(80));
            }
            let case = format!("{crash_after_ms} ms, whole: {is_whole}");
            assert!((1..=CRASHES_MAX).contains(&crashes), "{case}: {crashes}");
            for router in &mut routers {
                let sound = spec(1, FATAL_SESSION + 1, 2_000, at(20_000));
                expect_grant(decide_new(router, sound, at(20_000)));
            }
        }
    }
}

/// A request placed beside a trial after the first event is cut with it.
#[test]
fn a_trial_lasts_until_its_engine_has_outlived_the_first_event() {
    let mut routers = routers();
    crash_an_engine(&mut routers[0], at(0));
    let fatal = spec(1, FATAL_SESSION, 2_000, at(100));
    let trial = expect_grant(decide_new(&mut routers[0], fatal, at(100)));
    assert_eq!(routers[0].trial_outlived_at(trial.run), None);
    routers[0].on_event(trial.run, 1, at(200));
    assert_eq!(routers[0].trial_outlived_at(trial.run), Some(at(500)));
    routers[0].on_ended(trial.run, RunOutcome::Done, at(250));
    // An engine crashes otherwise, so that there are suspects until then.
    let crashed = OpenRun {
        endpoint: EndpointId(0),
        parts: PartIds::from_slice(&[9]),
        stage: AnswerStage::Head,
        is_trial: false,
    };
    routers[0].on_crash(&crashed, at(270));
    assert_eq!(routers[0].trials(at(499)).as_slice(), [trial.endpoint]);
    assert!(routers[0].trials(at(500)).is_empty());
    assert!(routers[0].has_begun_answer(trial.endpoint));
    routers[0].on_endpoint_alive(trial.endpoint, at(501));
    assert!(!routers[0].has_begun_answer(trial.endpoint));
}
