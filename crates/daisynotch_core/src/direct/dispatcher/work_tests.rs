//! Requests go where the least is left to do.

use super::tests::{at, decide_new, digest, dispatcher, entry, expect_grant, spec, table};
use super::*;
use crate::direct::WorkNews;

fn ids() -> Vec<EndpointId> {
    (0..4).map(|index| entry("models", index).id()).collect()
}

/// Returns a digest of another router that has ten requests at each engine.
fn busy_digest() -> Digest {
    let endpoints = ids().into_iter().map(|endpoint| EndpointDigest {
        endpoint,
        unread_tokens: 0,
        running: 10,
        memory_tokens: 20_000,
        is_suspect: false,
    });
    Digest {
        endpoints: endpoints.collect(),
        ..digest()
    }
}

/// All engines run as many requests and have nothing to prefill; three of them have long answers to
/// generate. They looked alike before.
#[test]
fn requests_go_to_the_engine_with_the_fewest_events_left() {
    for free in 0..4 {
        let mut dispatcher = dispatcher(10_000_000);
        let digest = busy_digest();
        dispatcher.on_digest(&digest, at(0));
        let events_left = (0..4).map(|index| if index == free { 20 } else { 1_500 });
        let news = WorkNews {
            events_left: events_left.collect(),
        };
        dispatcher.on_work_news(&digest, &news);
        let verdict = decide_new(&mut dispatcher, spec(1, free as u32, 400, at(5)), at(5));
        assert_eq!(expect_grant(verdict).endpoint, ids()[free]);
    }
}

/// Routers of an earlier version report no events, and a digest may list other endpoints than the
/// news of a faulty one.
#[test]
fn work_news_that_do_not_match_a_digest_lose_nothing() {
    let mut dispatcher = dispatcher(10_000_000);
    let digest = busy_digest();
    dispatcher.on_digest(&digest, at(0));
    for events_left in [vec![], vec![u32::MAX; 9]] {
        dispatcher.on_work_news(&digest, &WorkNews { events_left });
        let verdict = decide_new(&mut dispatcher, spec(1, 1, 400, at(5)), at(5));
        expect_grant(verdict);
    }
}

/// Events that arrive reduce what is left, and the end of a run takes all of it back.
#[test]
fn the_work_of_a_run_ends_with_it() {
    let mut dispatcher = dispatcher(10_000_000);
    let mut request = spec(1, 1, 400, at(0));
    request.answer_events = 10;
    let grant = expect_grant(decide_new(&mut dispatcher, request, at(0)));
    let load = |dispatcher: &Dispatcher| dispatcher.endpoints[&grant.endpoint].own;
    assert_eq!(load(&dispatcher).events_left, 10);
    assert_eq!(load(&dispatcher).memory_tokens, 450);
    dispatcher.on_bytes(grant.run, at(50));
    dispatcher.on_event(grant.run, 4, at(50));
    assert_eq!(load(&dispatcher).events_left, 6);
    // The answer gets many times as long as expected.
    dispatcher.on_event(grant.run, 500, at(60));
    assert_eq!(load(&dispatcher).events_left, EVENTS_LEFT_MIN);
    assert_eq!(load(&dispatcher).memory_tokens, 400 + 504 * 4);
    dispatcher.on_event(grant.run, u64::MAX, at(70));
    dispatcher.on_ended(grant.run, RunOutcome::Done, at(80));
    let left = load(&dispatcher);
    assert_eq!(
        (left.events_left, left.memory_tokens, left.running),
        (0, 0, 0)
    );
}

/// Places a request with an objective whose prompt is kept by an engine with a backlog of 143 ms, and
/// returns whether it goes there.
fn waits_for_its_prompt(objective: Duration) -> bool {
    let mut dispatcher = dispatcher(10_000_000);
    let first = expect_grant(decide_new(&mut dispatcher, spec(1, 7, 3_200, at(0)), at(0)));
    dispatcher.on_bytes(first.run, at(130));
    let busy = Digest {
        endpoints: vec![EndpointDigest {
            endpoint: first.endpoint,
            unread_tokens: 11_000,
            running: 2,
            memory_tokens: 20_000,
            is_suspect: false,
        }],
        ..digest()
    };
    dispatcher.on_digest(&busy, at(130));
    let mut request = spec(1, 7, 3_200, at(140));
    request.objective = objective;
    let second = expect_grant(decide_new(&mut dispatcher, request, at(140)));
    second.endpoint == first.endpoint
}

/// Requests waited for the engine that keeps their prompt also if they would begin late there.
#[test]
fn a_request_that_would_begin_late_goes_where_it_can_be_in_time() {
    assert!(waits_for_its_prompt(Duration::from_millis(500)));
    assert!(!waits_for_its_prompt(Duration::from_millis(200)));
}

/// An operator may configure engines without slots or memory: such an engine takes one request at a
/// time.
#[test]
fn engines_without_slots_or_memory_serve_one_request_at_a_time() {
    let mut table = table(10_000_000);
    let models = table.service("models").unwrap();
    table.add_service(crate::direct::ServiceView {
        engine: Some(EngineLimits {
            slots: 0,
            memory_tokens: 0,
        }),
        ..(**models).clone()
    });
    let mut dispatcher = dispatcher(10_000_000);
    dispatcher.on_routes(&table);
    for request in 0..4 {
        let mut request = spec(1, request, 400, at(0));
        request.answer_upper_tokens = u32::MAX;
        expect_grant(decide_new(&mut dispatcher, request, at(0)));
    }
    let verdict = decide_new(&mut dispatcher, spec(1, 9, 400, at(0)), at(0));
    assert_eq!(verdict, None);
}
