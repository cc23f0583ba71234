//! A router that leaves lets every request in progress end.

mod support;

use support::{start, text_of, wait_for};

#[tokio::test]
async fn a_drain_under_load_interrupts_no_request() {
    let mut fleet = start(3).await;
    let leaving = fleet.routers.remove(0);
    let address = leaving.caller_address();
    let uri = format!("http://{address}/v1/chat/completions");
    let mut requests = Vec::new();
    for _ in 0..8 {
        let request = hyper::Request::post(&uri)
            .header("authorization", format!("Bearer {}", support::TOKEN))
            .header("content-type", "application/json")
            .body(support::chat_body("conseil-lm", true, 100).into())
            .expect("the request is valid");
        requests.push(tokio::spawn(fleet.client.request(request)));
    }
    let running = || {
        fleet
            .engines
            .iter()
            .map(daisynotch_standins::Engine::running)
            .sum::<u32>()
    };
    wait_for(|| async { running() >= 4 }).await;
    leaving.drain().await;
    for request in requests {
        let response = request
            .await
            .expect("the task ends")
            .expect("the router responds");
        assert_eq!(response.status(), 200);
        let text = text_of(response)
            .await
            .expect("the response body is complete");
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
}
