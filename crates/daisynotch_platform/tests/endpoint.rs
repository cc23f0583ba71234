//! When the endpoint client reports that a request may have run, and that it never retries one
//! that may not run twice.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_platform::{ConnectionUse, EndpointClient, EndpointError, EndpointSettings};
use daisynotch_standins::{PlainService, SilencingProxy};
use http_body_util::Full;
use hyper::Request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

const HANG_GUARD: Duration = Duration::from_secs(20);

/// How the endpoint fails a request that it has read.
#[derive(Clone, Copy)]
enum Fault {
    /// Closes the connection.
    Close,
    /// Sends half of a response head and closes the connection.
    PartialHead,
    /// Keeps the connection open and sends nothing.
    Silence,
}

/// Starts an endpoint that reports each request that it has read and fails it.
async fn start(fault: Fault) -> (SocketAddr, mpsc::UnboundedReceiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let (requests, received) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut open = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = [0; 1024];
            if stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
                let _ = requests.send(());
            }
            match fault {
                Fault::Close => {}
                Fault::PartialHead => {
                    let _ = stream.write_all(b"HTTP/1.1 20").await;
                }
                Fault::Silence => open.push(stream),
            }
        }
    });
    (address, received)
}

fn booking() -> Request<Full<Bytes>> {
    Request::post("/bookings")
        .body(Full::from("farm-7"))
        .expect("the request is valid")
}

#[tokio::test]
async fn non_idempotent_request_is_sent_once_under_any_fault() {
    for fault in [Fault::Close, Fault::PartialHead, Fault::Silence] {
        let (address, mut received) = start(fault).await;
        let client = EndpointClient::new(EndpointSettings::default());
        let timeout = match fault {
            Fault::Silence => Duration::from_millis(100),
            Fault::Close | Fault::PartialHead => HANG_GUARD,
        };
        let response = client
            .send(address, booking(), ConnectionUse::Fresh, timeout)
            .await;
        assert!(matches!(response, Err(EndpointError::NoAnswer { .. })));
        assert_eq!(received.recv().await, Some(()));
        assert!(received.try_recv().is_err(), "the request was sent twice");
    }
}

#[tokio::test]
async fn refused_connection_is_reported_as_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    drop(listener);
    let client = EndpointClient::new(EndpointSettings::default());
    let response = client
        .send(address, booking(), ConnectionUse::Fresh, HANG_GUARD)
        .await;
    assert!(matches!(response, Err(EndpointError::Unreachable { .. })));
}

/// Starts a service with keep-alive connections, and a proxy in front of it that can silence them.
async fn start_service() -> (PlainService, SilencingProxy) {
    let service = PlainService::start("/bookings", Duration::ZERO).await;
    let service = service.expect("the stand-in starts");
    let proxy = SilencingProxy::start(service.address()).await;
    (service, proxy.expect("the stand-in starts"))
}

fn client_with_short_silence_timeout() -> EndpointClient {
    EndpointClient::new(EndpointSettings {
        silence_timeout: Duration::from_millis(100),
        ..EndpointSettings::default()
    })
}

async fn send(
    client: &EndpointClient,
    address: SocketAddr,
    connection_use: ConnectionUse,
) -> Result<u16, EndpointError> {
    let response = client
        .send(address, booking(), connection_use, HANG_GUARD)
        .await?;
    let status = response.status().as_u16();
    // The connection returns to the pool only if the response was read to its end.
    let body = http_body_util::BodyExt::collect(response.into_body()).await;
    assert!(body.is_ok(), "{body:?}");
    Ok(status)
}

#[tokio::test]
async fn idempotent_request_on_a_silent_pooled_connection_is_retried_on_a_fresh_one() {
    let (service, proxy) = start_service().await;
    let client = client_with_short_silence_timeout();
    assert_eq!(
        send(&client, proxy.address(), ConnectionUse::PooledWithFallback).await,
        Ok(201)
    );
    proxy.silence_open_connections();
    assert_eq!(
        send(&client, proxy.address(), ConnectionUse::PooledWithFallback).await,
        Ok(201)
    );
    assert_eq!(
        service.runs_of("farm-7"),
        2,
        "the request on the silenced connection must not reach the service"
    );
}

#[tokio::test]
async fn non_idempotent_request_never_uses_a_pooled_connection() {
    let (service, proxy) = start_service().await;
    let client = client_with_short_silence_timeout();
    assert_eq!(
        send(&client, proxy.address(), ConnectionUse::PooledWithFallback).await,
        Ok(201)
    );
    proxy.silence_open_connections();
    assert_eq!(
        send(&client, proxy.address(), ConnectionUse::Fresh).await,
        Ok(201)
    );
    assert_eq!(service.runs_of("farm-7"), 2);
}

#[tokio::test]
async fn slow_response_on_a_pooled_connection_is_not_requested_twice() {
    let duration = Duration::from_millis(300);
    let service = PlainService::start("/bookings", duration).await;
    let service = service.expect("the stand-in starts");
    let client = client_with_short_silence_timeout();
    for runs in 1..=2 {
        let sent = send(&client, service.address(), ConnectionUse::Pooled).await;
        assert_eq!(sent, Ok(201));
        assert_eq!(service.runs_of("farm-7"), runs);
    }
}
