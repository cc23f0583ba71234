//! Calls with idempotency keys run at most once despite retries, crashes and lost responses.

mod support;

use std::time::Duration;

use daisynotch_standins::{EngineSettings, PlainService};
use hyper::Response;
use hyper::body::Incoming;
use support::{Fleet, outcome_of, start, start_with, text_of, wait_for};

const BOOKINGS: &str = "/bookings/new";
const SLOW: &str = "/slow/new";

fn is_unknown(response: &Response<Incoming>) -> bool {
    outcome_of(response) == Some("unknown")
}

async fn assert_booked(response: Response<Incoming>, booking: &str) {
    assert_eq!(response.status(), 201);
    let text = text_of(response)
        .await
        .expect("the response body is complete");
    assert_eq!(text, format!("booked {booking}"));
}

/// Starts a fleet and an additional service whose calls take `duration`.
async fn start_slow(routers: usize, duration: Duration) -> (Fleet, PlainService) {
    let slow = PlainService::start("/slow", duration).await;
    let slow = slow.expect("the stand-in starts");
    let objects = format!(
        "[pool.slow]\nkind = \"plain\"\n\
         [endpoint.slow-1]\npool = \"slow\"\nzone = \"fatick\"\naddress = \"{}\"\n\
         [route.slow]\npool = \"slow\"\npath_prefix = \"/slow\"\n",
        slow.address()
    );
    let fleet = start_with(routers, EngineSettings::default(), &objects).await;
    (fleet, slow)
}

#[tokio::test]
async fn a_minted_key_runs_once_when_retried_at_any_router() {
    let fleet = start(3).await;
    let key = fleet.minted_key(0, 1).await;
    for router in [1, 0, 2, 1] {
        let response = fleet.book(router, BOOKINGS, &key, "farm-1").await;
        assert_booked(response, "farm-1").await;
    }
    assert_eq!(fleet.bookings.runs_of("farm-1"), 1);
}

#[tokio::test]
async fn a_caller_chosen_key_runs_once_when_retried_at_any_router() {
    let fleet = start(3).await;
    for router in [1, 0, 2, 1] {
        let response = fleet.book(router, BOOKINGS, "order-2", "farm-2").await;
        assert_booked(response, "farm-2").await;
    }
    assert_eq!(fleet.bookings.runs_of("farm-2"), 1);
}

#[tokio::test]
async fn concurrent_duplicates_at_every_router_run_once() {
    let (fleet, slow) = start_slow(3, Duration::from_millis(100)).await;
    for key in [fleet.minted_key(2, 7).await, "order-7".to_owned()] {
        let booking = format!("farm of {key}");
        let calls = (0..9).map(|call| fleet.book(call % 3, SLOW, &key, &booking));
        let responses = futures::future::join_all(calls).await;
        for response in responses {
            let is_done_or_unknown = response.status() == 201 || is_unknown(&response);
            assert!(is_done_or_unknown, "{response:?}");
        }
        assert_eq!(slow.runs_of(&booking), 1);
    }
}

#[tokio::test]
async fn a_crash_before_dispatch_leaves_the_outcome_of_keys_unknown() {
    let mut fleet = start(2).await;
    let key = fleet.minted_key(0, 1).await;
    fleet.crash(0);
    let response = fleet.book(0, BOOKINGS, &key, "farm-3").await;
    assert!(is_unknown(&response), "{response:?}");
    assert_eq!(fleet.bookings.runs_of("farm-3"), 0);
}

#[tokio::test]
async fn a_crash_during_or_after_dispatch_leaves_the_outcome_of_keys_unknown() {
    let (mut fleet, slow) = start_slow(3, Duration::from_secs(60)).await;
    let minted = fleet.minted_key(0, 1).await;
    let after = fleet.book(0, BOOKINGS, "after", "farm-4").await;
    assert_booked(after, "farm-4").await;
    for (key, booking) in [(minted.as_str(), "farm-5"), ("during", "farm-6")] {
        let address = fleet.routers[0].caller_address();
        let request = hyper::Request::post(format!("http://{address}{SLOW}"))
            .header("authorization", format!("Bearer {}", support::TOKEN))
            .header("idempotency-key", key)
            .body(booking.into())
            .expect("the request is valid");
        tokio::spawn(fleet.client.request(request));
        wait_for(|| async { slow.runs_of(booking) == 1 }).await;
    }
    fleet.crash(0);
    let retries = [
        (BOOKINGS, "after", "farm-4"),
        (SLOW, minted.as_str(), "farm-5"),
        (SLOW, "during", "farm-6"),
    ];
    for (path, key, booking) in retries {
        for router in [0, 1] {
            let response = fleet.book(router, path, key, booking).await;
            assert!(is_unknown(&response), "{booking}: {response:?}");
        }
    }
    assert_eq!(fleet.bookings.doubled() + slow.doubled(), 0);
}

#[tokio::test]
async fn a_claim_with_a_lost_response_is_resolved_by_reading_it_back() {
    let fleet = start(1).await;
    fleet.key_value.lose_responses(1);
    let response = fleet.book(0, BOOKINGS, "order-8", "farm-8").await;
    assert_booked(response, "farm-8").await;
    assert_eq!(fleet.bookings.runs_of("farm-8"), 1);
}

#[tokio::test]
async fn without_the_key_value_service_a_caller_chosen_key_is_refused_until_it_returns() {
    let fleet = start(2).await;
    let ran = fleet.book(0, BOOKINGS, "order-9", "farm-9").await;
    assert_booked(ran, "farm-9").await;
    fleet.key_value.set_down(true);
    for key in ["order-9", "order-10"] {
        let body = key.replace("order", "farm");
        let response = fleet.book(1, BOOKINGS, key, &body).await;
        assert_eq!(response.status(), 503);
        assert_ne!(
            outcome_of(&response),
            Some("not-run"),
            "an earlier call with the key may have run"
        );
    }
    assert_eq!(fleet.bookings.runs_of("farm-10"), 0);
    let minted = fleet.minted_key(1, 1).await;
    assert_booked(fleet.book(0, BOOKINGS, &minted, "farm-11").await, "farm-11").await;
    fleet.key_value.set_down(false);
    assert_booked(fleet.book(1, BOOKINGS, "order-9", "farm-9").await, "farm-9").await;
    assert_booked(
        fleet.book(0, BOOKINGS, "order-10", "farm-10").await,
        "farm-10",
    )
    .await;
    assert_eq!(fleet.bookings.doubled(), 0);
}

#[tokio::test]
async fn a_caller_that_disconnects_gets_the_response_by_retrying() {
    let (fleet, slow) = start_slow(1, Duration::from_millis(300)).await;
    let key = fleet.minted_key(0, 1).await;
    {
        let call = fleet.book(0, SLOW, &key, "farm-12");
        let started = wait_for(|| async { slow.runs_of("farm-12") == 1 });
        tokio::select! {
            _ = call => {}
            () = started => {}
        }
    }
    let is_done_or_unknown = || async {
        let response = fleet.book(0, SLOW, &key, "farm-12").await;
        assert!(response.status() == 201 || is_unknown(&response));
        response.status() == 201
    };
    wait_for(is_done_or_unknown).await;
    assert_eq!(slow.runs_of("farm-12"), 1);
}

#[tokio::test]
async fn a_call_that_reached_no_endpoint_reports_not_run_and_may_be_retried() {
    let (fleet, slow) = start_slow(1, Duration::ZERO).await;
    drop(slow);
    for key in [fleet.minted_key(0, 1).await, "order-13".to_owned()] {
        for _ in 0..2 {
            let response = fleet.book(0, SLOW, &key, "farm-13").await;
            assert_eq!(response.status(), 502);
            assert_eq!(outcome_of(&response), Some("not-run"));
        }
    }
}

#[tokio::test]
async fn a_malformed_or_reused_key_is_rejected() {
    let fleet = start(1).await;
    let key = fleet.minted_key(0, 1).await;
    assert_booked(fleet.book(0, BOOKINGS, &key, "farm-14").await, "farm-14").await;
    let reused = fleet.book(0, BOOKINGS, &key, "farm-15").await;
    assert_eq!(reused.status(), 422);
    for key in ["dn1-nobody.1", "two words"] {
        assert_eq!(fleet.book(0, BOOKINGS, key, "farm-15").await.status(), 400);
    }
    assert_eq!(fleet.bookings.runs_of("farm-15"), 0);
}
