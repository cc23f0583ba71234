//! Endpoints that leave get no new work within three seconds of the first word.

mod support;

use std::time::Duration;

use support::{objects, publish, start, text_of};

const LEFT_WITHIN: Duration = Duration::from_secs(3);

#[tokio::test]
async fn an_endpoint_that_the_objects_call_leaving_gets_no_new_work() {
    let fleet = start(3).await;
    let mut text = objects(&fleet.engines, fleet.bookings.address());
    text = text.replace(
        "[endpoint.conseil-0]\n",
        "[endpoint.conseil-0]\nleaving = true\n",
    );
    publish(fleet.key_value.address(), &text).await;
    tokio::time::sleep(LEFT_WITHIN).await;
    let started_before = fleet.engines[0].started();
    for call in 0..30 {
        let response = fleet.ask(call % 3, false, 1).await;
        let status = response.status();
        text_of(response).await.expect("the answer is whole");
        assert_eq!(status, 200);
    }
    assert_eq!(fleet.engines[0].started(), started_before);
}
