//! A streamed request whose first token is late is hedged: sent to a second endpoint as well.

mod support;

use daisynotch_standins::{Engine, EngineFault, EngineSettings};
use support::{outcome_of, start_with, text_of, wait_for};

/// Starts a router and two engines of one pool, the first of which never responds.
async fn start_with_silent_engine() -> (support::Fleet, Engine) {
    let second = Engine::start(EngineSettings::default()).await;
    let second = second.expect("the stand-in starts");
    let additional_objects = format!(
        "[endpoint.second]\npool = \"conseil-lm\"\nzone = \"kaolack-nord\"\n\
         address = \"{}\"\n",
        second.address()
    );
    let fleet = start_with(1, EngineSettings::default(), &additional_objects).await;
    fleet.engines[0].set_fault(EngineFault::Silent);
    (fleet, second)
}

#[tokio::test]
async fn the_hedge_responds_and_the_first_attempt_is_cancelled() {
    let (fleet, second) = start_with_silent_engine().await;
    // Of two concurrent requests, each engine receives one.
    for response in futures::future::join_all([
        fleet.request_completion(0, true, 5),
        fleet.request_completion(0, true, 5),
    ])
    .await
    {
        assert_eq!(response.status(), 200);
        let text = text_of(response)
            .await
            .expect("the response body is complete");
        assert_eq!(text.matches("\"delta\"").count(), 5, "{text}");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
    assert_eq!(fleet.engines[0].started(), 1);
    wait_for(|| async { fleet.engines[0].running() == 0 }).await;
    assert_eq!(fleet.engines[0].finished(), 0);
    assert!(second.finished() > 0);
}

#[tokio::test]
async fn a_stream_that_breaks_off_before_its_first_token_reports_an_unknown_outcome() {
    let fleet = start_with(1, EngineSettings::default(), "").await;
    fleet.engines[0].set_fault(EngineFault::CutStream { after_tokens: 0 });
    let response = fleet.request_completion(0, true, 5).await;
    assert_eq!(response.status(), 502);
    assert_eq!(outcome_of(&response), Some("unknown"));
}
