//! When the endpoint client says that work may have run, and that it never repeats it.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_platform::{EndpointClient, EndpointError, EndpointSettings};
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
        let answer = client.send(address, booking(), false, timeout).await;
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
    let answer = client.send(address, booking(), false, HANG_GUARD).await;
    assert!(matches!(answer, Err(EndpointError::Unreachable { .. })));
}
