use socket2::SockFilter;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::LocalSet;

use super::*;

/// Silence that a sound host may have.
const SILENCE: Duration = Duration::from_millis(1_800);
/// Instruction of a socket filter that drops the packet.
const DROP_PACKET: (u16, u32) = (0x06, 0);

/// Answers one request. The host acknowledges nothing for [`SILENCE`], from before the request
/// arrives or from after that.
async fn answer_after_silence(listener: TcpListener, is_silent_before_request: bool) {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut buffer = [0; 4_096];
    if !is_silent_before_request {
        assert!(stream.read(&mut buffer).await.unwrap() > 0);
    }
    let (code, value) = DROP_PACKET;
    let drop_all = SockFilter::new(code, 0, 0, value);
    SockRef::from(&stream).attach_filter(&[drop_all]).unwrap();
    tokio::time::sleep(SILENCE).await;
    SockRef::from(&stream).detach_filter().unwrap();
    if is_silent_before_request {
        assert!(stream.read(&mut buffer).await.unwrap() > 0);
    }
    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(response).await.unwrap();
    assert_eq!(stream.read(&mut buffer).await.unwrap_or(0), 0);
}

/// The kernel closed connections to a host that was silent while a request was sent, although the
/// host went on.
#[tokio::test]
async fn connection_outlasts_a_silent_host() {
    for is_silent_before_request in [true, false] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let peer = tokio::spawn(answer_after_silence(listener, is_silent_before_request));
        let exchange = async {
            let mut connection = Connection::open_to_endpoint(address).await.unwrap();
            // Time in which the peer accepts the connection and falls silent.
            tokio::time::sleep(Duration::from_millis(100)).await;
            let request = Request::get("/").header("host", "h");
            connection
                .send(request.body(Full::default()).unwrap())
                .await
                .map(|response| response.status())
        };
        let sent = LocalSet::new().run_until(exchange).await;
        let status = sent.unwrap_or_else(|error| {
            panic!("silent before the request: {is_silent_before_request}: {error}")
        });
        assert_eq!(status, hyper::StatusCode::OK);
        peer.await.unwrap();
    }
}
