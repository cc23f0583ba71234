//! Engines that differ in speed.

use super::tests::{at, decide_new, dispatcher, entry, expect_grant, spec, table};
use super::*;
use crate::direct::placement::evaluate_endpoint;

/// Sends eight requests to each engine, of which the first takes `times` as long as the others, and
/// returns when the last one has ended.
fn play_uneven_engines(dispatcher: &mut Dispatcher, times: f64) -> Timestamp {
    let ids: Vec<EndpointId> = (0..4).map(|index| entry("models", index).id()).collect();
    let mut now = at(0);
    for request in 0..32 {
        let chosen = request as usize % 4;
        let mut request = spec(1, request, 6_000, now);
        request.tried = ids
            .iter()
            .copied()
            .filter(|id| *id != ids[chosen])
            .collect();
        let grant = expect_grant(decide_new(dispatcher, request, now));
        now = now + Duration::from_secs_f64(0.17 * if chosen == 0 { times } else { 1.0 });
        dispatcher.on_bytes(grant.run, now);
        dispatcher.on_ended(grant.run, RunOutcome::Done, now);
    }
    now
}

/// Guards against a router that starts and takes all engines for equal.
#[test]
fn a_router_that_starts_knows_the_speeds_that_others_learned() {
    let mut there = dispatcher(10_000_000);
    let now = play_uneven_engines(&mut there, 1.6);
    let news = there.speed_news(1_024, now);
    assert_eq!(news.speeds.len(), 4);
    let slow = entry("models", 0).id();
    let factor = |here: &Dispatcher, id| here.endpoints[&id].slowdown.factor(now);
    // The news may arrive before the endpoints' entries, and after them.
    let mut here = dispatcher(10_000_000);
    here.on_speed_news(&news, now);
    assert!(factor(&here, slow) > 1.3 * factor(&here, entry("models", 1).id()));
    here.remove_endpoint(slow);
    here.on_endpoint(EndpointChange::Usable(entry("models", 0)), &table(1));
    assert!(factor(&here, slow) > 1.2, "{}", factor(&here, slow));
    // A new start of the endpoint begins anew.
    let restarted = EndpointEntry {
        started_unix_ms: 2,
        ..entry("models", 0)
    };
    let id = restarted.id();
    here.on_endpoint(EndpointChange::Usable(restarted), &table(1));
    assert!((factor(&here, id) - 1.0).abs() < 0.01);
}

/// The time without prefill is most of the time that short prompts take; it was taken to be the same
/// on slow engines.
#[test]
fn the_expected_time_of_a_slow_engine_is_scaled_as_a_whole() {
    let mut dispatcher = dispatcher(10_000_000);
    let slow = entry("models", 0).id();
    let load = dispatcher.endpoints.get_mut(&slow).unwrap();
    load.slowdown.on_peer(2.0);
    let load = &dispatcher.endpoints[&slow];
    let other = &dispatcher.endpoints[&entry("models", 1).id()];
    let latency = ServiceLatency::default();
    let expected = |load| {
        let spec = spec(1, 1, 100, at(0));
        let candidate = evaluate_endpoint(
            slow,
            load,
            false,
            &spec,
            &latency,
            CostModel::Learned,
            at(0),
        );
        candidate.unwrap().expected_ms
    };
    assert!((expected(load) / expected(other) - 2.0).abs() < 0.01);
}
