//! When the endpoint client says that work may have run, and that it never repeats it.

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

/// What the other side does with a request that it has read.
#[derive(Clone, Copy)]
enum Fault {
    /// It closes the connection.
    Close,
    /// It answers half of a head and closes.
    HalfAnswer,
    /// It never says a word.
    Silence,
}

/// Listens, counts requests that were read, and fails each in the same way.
async fn start(fault: Fault) -> (SocketAddr, mpsc::UnboundedReceiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    let (requests, received) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut kept = Vec::new();
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut bytes = [0; 1024];
            if stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
                let _ = requests.send(());
            }
            match fault {
                Fault::Close => {}
                Fault::HalfAnswer => {
                    let _ = stream.write_all(b"HTTP/1.1 20").await;
                }
                Fault::Silence => kept.push(stream),
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
async fn a_call_that_may_not_run_twice_goes_out_once_whatever_fails() {
    for fault in [Fault::Close, Fault::HalfAnswer, Fault::Silence] {
        let (address, mut received) = start(fault).await;
        let client = EndpointClient::new(EndpointSettings::default());
        let timeout = match fault {
            Fault::Silence => Duration::from_millis(100),
            Fault::Close | Fault::HalfAnswer => HANG_GUARD,
        };
        let answer = client
            .send(address, booking(), ConnectionUse::Fresh, timeout)
            .await;
        assert!(matches!(answer, Err(EndpointError::NoAnswer { .. })));
        assert_eq!(received.recv().await, Some(()));
        assert!(received.try_recv().is_err(), "it was sent twice");
    }
}

#[tokio::test]
async fn without_a_connection_the_work_did_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("a port is free");
    let address = listener.local_addr().expect("the socket is bound");
    drop(listener);
    let client = EndpointClient::new(EndpointSettings::default());
    let answer = client
        .send(address, booking(), ConnectionUse::Fresh, HANG_GUARD)
        .await;
    assert!(matches!(answer, Err(EndpointError::Unreachable { .. })));
}

/// Listens behind a proxy and answers every request on kept connections.
async fn start_service() -> (PlainService, SilencingProxy) {
    let service = PlainService::start("/bookings", Duration::ZERO).await;
    let service = service.expect("the fake starts");
    let proxy = SilencingProxy::start(service.address()).await;
    (service, proxy.expect("the fake starts"))
}

fn impatient() -> EndpointClient {
    EndpointClient::new(EndpointSettings {
        kept_silent_after: Duration::from_millis(100),
        ..EndpointSettings::default()
    })
}

async fn send(
    client: &EndpointClient,
    address: SocketAddr,
    connection_use: ConnectionUse,
) -> Result<u16, EndpointError> {
    let answer = client
        .send(address, booking(), connection_use, HANG_GUARD)
        .await?;
    let status = answer.status().as_u16();
    // The connection is kept only when the answer was read to its end.
    let body = http_body_util::BodyExt::collect(answer.into_body()).await;
    assert!(body.is_ok(), "{body:?}");
    Ok(status)
}

#[tokio::test]
async fn an_idempotent_request_on_a_silent_kept_connection_goes_out_on_a_fresh_one() {
    let (service, proxy) = start_service().await;
    let client = impatient();
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
        "the silent one reached nobody"
    );
}

#[tokio::test]
async fn a_call_that_may_not_run_twice_never_meets_a_kept_connection() {
    let (service, proxy) = start_service().await;
    let client = impatient();
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
async fn a_slow_answer_that_is_asked_for_as_a_whole_is_not_asked_for_twice() {
    let duration = Duration::from_millis(300);
    let service = PlainService::start("/bookings", duration).await;
    let service = service.expect("the fake starts");
    let client = impatient();
    for runs in 1..=2 {
        let sent = send(&client, service.address(), ConnectionUse::Pooled).await;
        assert_eq!(sent, Ok(201));
        assert_eq!(service.runs_of("farm-7"), runs);
    }
}
