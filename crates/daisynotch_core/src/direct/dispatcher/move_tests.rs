//! Requests that are at an endpoint which went silent, while others arrive.

use super::tests::{at, decide_new, dispatcher, expect_grant, plain_spec, spec};
use super::*;
use crate::direct::RefuseReason;

/// When the requests of these tests, which arrive at 0, look for another endpoint.
const MOVE_AT_MS: u64 = 900;

/// Sends a request and returns it as a repeat.
fn sent(dispatcher: &mut Dispatcher, mut spec: RequestSpec) -> (RequestSpec, Grant) {
    let grant = expect_grant(decide_new(dispatcher, spec.clone(), at(0)));
    spec.tried.push(grant.endpoint);
    (spec, grant)
}

fn begun_tokens(dispatcher: &mut Dispatcher, team: u32) -> u32 {
    let (_, teams, _) = dispatcher.to_digest(at(MOVE_AT_MS));
    let of_team = teams.iter().find(|sums| sums.team == team);
    of_team.map_or(0, |sums| sums.begun_tokens)
}

/// A request whose endpoint failed it was refused as beyond the share that it had been charged
/// to, and charged again for each endpoint.
#[test]
fn repeat_of_a_request_is_not_beyond_the_share() {
    let mut dispatcher = dispatcher(10_000);
    let (repeat, first) = sent(&mut dispatcher, spec(1, 0, 8_000, at(0)));
    dispatcher.on_bytes(first.run, at(100));
    for request in 1..40 {
        let now = at(MOVE_AT_MS - 200 + u64::from(request));
        decide_new(&mut dispatcher, spec(1, request, 8_000, now), now);
    }
    // Each engine is as far behind as it may be for a request within the share.
    for load in dispatcher.endpoints.values_mut() {
        load.own.unread_tokens = 6_000;
    }
    let other = spec(1, 40, 8_000, at(MOVE_AT_MS - 100));
    let other = decide_new(&mut dispatcher, other, at(MOVE_AT_MS));
    let is_beyond_share = matches!(
        other,
        Some(Verdict::Refuse {
            reason: RefuseReason::BeyondShare,
            ..
        })
    );
    assert!(is_beyond_share, "{other:?}");
    let begun_before = begun_tokens(&mut dispatcher, 1);
    let id = dispatcher.submit(repeat);
    let verdicts = dispatcher.decide_waiting(at(MOVE_AT_MS));
    let verdict = verdicts.into_iter().find(|(of, _)| *of == id);
    let is_refused = matches!(verdict, Some((_, Verdict::Refuse { .. })));
    assert!(!is_refused, "{verdict:?}");
    assert_eq!(begun_tokens(&mut dispatcher, 1), begun_before);
}

#[test]
fn request_moves_to_another_endpoint_and_is_charged_once() {
    let mut dispatcher = dispatcher(10_000_000);
    let (request, first) = sent(&mut dispatcher, spec(1, 0, 8_000, at(0)));
    let begun_before = begun_tokens(&mut dispatcher, 1);
    let next = dispatcher.try_move(&request, at(MOVE_AT_MS)).unwrap();
    assert_ne!(next.endpoint, first.endpoint);
    assert_eq!(begun_tokens(&mut dispatcher, 1), begun_before);
    assert_eq!(dispatcher.waiting_len(), 0);
}

/// What keeps a request where it is.
#[test]
fn request_stays_at_a_silent_endpoint_without_a_place_elsewhere() {
    let now = at(MOVE_AT_MS);
    // All endpoints were tried.
    let mut dispatcher = dispatcher(10_000_000);
    let (mut request, _) = sent(&mut dispatcher, plain_spec(at(0)));
    request.tried.extend(dispatcher.endpoints.keys().copied());
    assert_eq!(dispatcher.try_move(&request, now), None);

    // The other endpoint asked for a pause.
    let (request, _) = sent(&mut dispatcher, plain_spec(at(0)));
    let others: Vec<EndpointId> = dispatcher.endpoints.keys().copied().collect();
    for other in &others {
        dispatcher.on_pushback(*other, Duration::from_secs(5), at(0));
    }
    assert_eq!(dispatcher.try_move(&request, now), None);
    dispatcher.expire(at(6_000));

    // All slots of the other endpoint are taken, and the request is late already.
    let mut dispatcher = tests::dispatcher(10_000_000);
    let (request, first) = sent(&mut dispatcher, plain_spec(at(0)));
    let other = dispatcher.endpoints_by_service["orders"]
        .iter()
        .copied()
        .find(|id| *id != first.endpoint)
        .unwrap();
    dispatcher.endpoints.get_mut(&other).unwrap().own.running = 7;
    assert_eq!(dispatcher.try_move(&request, now), None);

    // The other endpoint is silent, too.
    let load = dispatcher.endpoints.get_mut(&other).unwrap();
    load.own.running = 1;
    load.health.expect_answer(Some(at(100)));
    assert_eq!(dispatcher.try_move(&request, now), None);
    let load = dispatcher.endpoints.get_mut(&other).unwrap();
    load.health.expect_answer(None);

    // The budget is spent; no attempt above drew on it.
    let mut granted = 0;
    while let Some(grant) = dispatcher.try_move(&request, now) {
        dispatcher.on_ended(grant.run, RunOutcome::Cancelled, now);
        granted += 1;
    }
    // Three quarters of the allowance of 10 and of a tenth of the request.
    assert_eq!(granted, 7);
}
