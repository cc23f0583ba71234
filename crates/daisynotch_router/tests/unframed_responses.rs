//! Responses of a plain service with neither a length nor chunks, which end with their connection.

mod support;

use std::net::SocketAddr;

use daisynotch_standins::EngineSettings;
use http_body_util::BodyExt;
use support::{TOKEN, start_with};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// Starts a service that closes the connection after a part of each response.
async fn start_truncating_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                let response = "HTTP/1.1 201 Created\r\ncontent-type: text/plain\r\n\r\nbooked sw";
                let _ = stream.write_all(response.as_bytes()).await;
            });
        }
    });
    address
}

/// Nothing tells whether such a response is complete, so it must not look so.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unframed_response_of_a_plain_service_does_not_look_whole() {
    let address = start_truncating_service().await;
    let objects = format!(
        "[pool.swatches]\nkind = \"plain\"\n\
         [endpoint.swatches-1]\npool = \"swatches\"\nzone = \"fatick\"\naddress = \"{address}\"\n\
         [route.swatches]\npool = \"swatches\"\npath_prefix = \"/swatches\"\n"
    );
    let fleet = start_with(1, EngineSettings::default(), &objects).await;
    let response = fleet
        .post(0, "/swatches", TOKEN, "swatch 7".to_owned())
        .await;
    let status = response.status();
    let body = response.into_body().collect().await;
    assert!(
        body.is_err() || !status.is_success(),
        "{status}: {:?}",
        body.map(|body| body.to_bytes())
    );
}
