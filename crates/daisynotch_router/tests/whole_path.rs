//! Requests from a caller through a router to an endpoint, and the responses.

mod support;

use daisynotch_standins::EngineFault;
use support::{TOKEN, outcome_of, start, text_of, wait_for};

#[tokio::test]
async fn a_streamed_response_is_complete_at_every_router() {
    let fleet = start(3).await;
    for router in 0..3 {
        let response = fleet.request_completion(router, true, 5).await;
        assert_eq!(response.status(), 200);
        let text = text_of(response)
            .await
            .expect("the response body is complete");
        assert_eq!(text.matches("\"delta\"").count(), 5, "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
}

#[tokio::test]
async fn a_buffered_response_is_complete() {
    let fleet = start(1).await;
    let response = fleet.request_completion(0, false, 5).await;
    assert_eq!(response.status(), 200);
    let text = text_of(response)
        .await
        .expect("the response body is complete");
    assert!(text.contains("\"completion_tokens\":5"), "{text}");
}

#[tokio::test]
async fn a_booking_runs_once_when_sent_to_a_router_of_another_zone() {
    let fleet = start(3).await;
    let response = fleet.post(2, "/bookings/new", TOKEN, "farm-7").await;
    assert_eq!(response.status(), 201);
    assert_eq!(fleet.bookings.runs_of("farm-7"), 1);
}

#[tokio::test]
async fn a_stream_without_the_done_event_ends_with_an_error() {
    let fleet = start(1).await;
    fleet.engines[0].set_fault(EngineFault::CutStream { after_tokens: 2 });
    let response = fleet.request_completion(0, true, 5).await;
    assert!(
        text_of(response).await.is_err(),
        "the body must end with an error"
    );
}

#[tokio::test]
async fn a_caller_that_disconnects_cancels_its_request() {
    let fleet = start(1).await;
    let response = fleet.request_completion(0, true, 10_000).await;
    wait_for(|| async { fleet.engines[0].running() == 1 }).await;
    drop(response);
    wait_for(|| async { fleet.engines[0].running() == 0 }).await;
    assert_eq!(fleet.engines[0].finished(), 0);
}

#[tokio::test]
async fn errors_before_dispatch_report_not_run() {
    let fleet = start(1).await;
    let chat = "/v1/chat/completions";
    let cases = [
        (
            chat,
            "nobody's",
            support::chat_body("conseil-lm", true, 1),
            401,
        ),
        (
            chat,
            TOKEN,
            support::chat_body("no-such-model", true, 1),
            404,
        ),
        (chat, TOKEN, "{\"model\":".to_owned(), 400),
        (chat, TOKEN, "x".repeat(65 * 1024), 413),
        ("/no/such/path", TOKEN, String::new(), 404),
    ];
    for (path, token, body, status) in cases {
        let response = fleet.post(0, path, token, body).await;
        assert_eq!(response.status(), status, "{path}");
        assert_eq!(outcome_of(&response), Some("not-run"), "{path}");
    }
    assert_eq!(fleet.engines[0].started(), 0);
}

#[tokio::test]
async fn refusals_by_all_engines_report_not_run() {
    let fleet = start(2).await;
    fleet.engines[0].set_fault(EngineFault::Refuse);
    fleet.engines[1].set_fault(EngineFault::Refuse);
    let response = fleet.request_completion(0, true, 1).await;
    assert_eq!(response.status(), 502);
    assert_eq!(outcome_of(&response), Some("not-run"));
}

#[tokio::test]
async fn an_invalid_response_from_an_engine_reports_an_unknown_outcome() {
    let fleet = start(1).await;
    fleet.engines[0].set_fault(EngineFault::Garbage);
    for stream in [true, false] {
        let response = fleet.request_completion(0, stream, 1).await;
        assert_eq!(response.status(), 502);
        assert_eq!(outcome_of(&response), Some("unknown"));
    }
}

#[tokio::test]
async fn health_entry_and_metrics_paths_respond() {
    let fleet = start(1).await;
    for path in ["/healthz", "/readyz", "/v1/entry"] {
        assert_eq!(fleet.get(0, path).await.status(), 200, "{path}");
    }
    text_of(fleet.request_completion(0, false, 1).await)
        .await
        .expect("the response body is complete");
    let metrics = text_of(fleet.get_operator(0, "/metrics").await)
        .await
        .expect("the response body is complete");
    assert!(metrics.contains("daisynotch_requests_total"), "{metrics}");
}
