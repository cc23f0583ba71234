//! Responses of a plain service with neither a length nor chunks, which end with their connection.

mod support;

use std::net::SocketAddr;

use daisynotch_standins::EngineSettings;
use http_body_util::BodyExt;
use support::{Fleet, TOKEN, start_with};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

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

/// Starts a router whose route `/swatches` leads to such a service.
async fn start_fleet() -> Fleet {
    let address = start_truncating_service().await;
    let objects = format!(
        "[pool.swatches]\nkind = \"plain\"\n\
         [endpoint.swatches-1]\npool = \"swatches\"\nzone = \"fatick\"\naddress = \"{address}\"\n\
         [route.swatches]\npool = \"swatches\"\npath_prefix = \"/swatches\"\n"
    );
    start_with(1, EngineSettings::default(), &objects).await
}

/// Nothing tells whether such a response is complete, so it must not look so.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unframed_response_of_a_plain_service_does_not_look_whole() {
    let fleet = start_fleet().await;
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

/// A caller that knows no chunks takes an orderly close of the connection for the response's end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cut_response_does_not_look_whole_to_a_caller_of_http_1_0() {
    let fleet = start_fleet().await;
    let address = fleet.routers[0].caller_address();
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST /swatches HTTP/1.0\r\nauthorization: Bearer {TOKEN}\r\ncontent-length: 2\r\n\r\nhi"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    let read = stream.read_to_string(&mut response).await;
    assert!(read.is_err(), "{response}");
}
