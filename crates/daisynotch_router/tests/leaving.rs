//! An endpoint receives no new requests three seconds after it is published as leaving.

mod support;

use std::time::Duration;

use support::{objects, publish, start, text_of};

const LEAVE_TIMEOUT: Duration = Duration::from_secs(3);

#[tokio::test]
async fn an_endpoint_marked_as_leaving_receives_no_new_requests() {
    let fleet = start(3).await;
    let mut text = objects(&fleet.engines, fleet.bookings.address());
    text = text.replace(
        "[endpoint.conseil-0]\n",
        "[endpoint.conseil-0]\nleaving = true\n",
    );
    publish(fleet.key_value.address(), &text).await;
    tokio::time::sleep(LEAVE_TIMEOUT).await;
    let started_before = fleet.engines[0].started();
    for call in 0..30 {
        let response = fleet.request_completion(call % 3, false, 1).await;
        let status = response.status();
        text_of(response)
            .await
            .expect("the response body is complete");
        assert_eq!(status, 200);
    }
    assert_eq!(fleet.engines[0].started(), started_before);
}
