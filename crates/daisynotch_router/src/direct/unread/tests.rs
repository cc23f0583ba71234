use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

use super::*;

/// Guards against truncated or missing refusals: under an overload by one team, each caller
/// must get a complete response at once that says its request did not run, even if its body
/// arrives in pieces.
#[tokio::test]
async fn every_refused_caller_gets_a_complete_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let unread = UnreadConnections::default();
    let mut callers = Vec::new();
    for _ in 0..50 {
        callers.push(TcpStream::connect(address).await.unwrap());
        let (accepted, _) = listener.accept().await.unwrap();
        unread.add(accepted.into_std().unwrap());
    }
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    assert_eq!(unread.poll_all(&mut buffer), 0, "no bytes have arrived");
    let body = vec![b'b'; 40_000];
    let head = format!(
        "POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    for caller in &mut callers {
        caller.write_all(head.as_bytes()).await.unwrap();
        caller.write_all(&body[..10_000]).await.unwrap();
    }
    assert_eq!(
        unread.poll_all(&mut buffer),
        0,
        "closing before the body has arrived would reset the callers"
    );
    for caller in &mut callers {
        caller.write_all(&body[10_000..]).await.unwrap();
    }
    let mut refused = 0;
    while refused < 50 {
        refused += unread.poll_all(&mut buffer);
    }
    for caller in &mut callers {
        let mut response = String::new();
        caller.read_to_string(&mut response).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
        assert!(response.contains("retry-after: 0."), "{response}");
        assert!(
            response.ends_with("{\"error\":\"router_behind\"}"),
            "{response}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_sends_nothing_is_answered_and_dropped_after_the_timeouts() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut caller = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    let unread = UnreadConnections::default();
    unread.add(accepted.into_std().unwrap());
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    unread.poll_all(&mut buffer);
    assert_eq!(unread.connections.borrow().len(), 1);
    tokio::time::advance(READ_TIMEOUT + POLL_INTERVAL).await;
    assert_eq!(unread.poll_all(&mut buffer), 0, "no request was refused");
    let mut response = String::new();
    caller.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    tokio::time::advance(DRAIN_TIMEOUT + POLL_INTERVAL).await;
    unread.poll_all(&mut buffer);
    assert_eq!(unread.connections.borrow().len(), 0);
}

/// Returns a caller's end of a connection that was added.
async fn add_connection(unread: &UnreadConnections, listener: &TcpListener) -> TcpStream {
    let caller = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (accepted, _) = listener.accept().await.unwrap();
    unread.add(accepted.into_std().unwrap());
    caller
}

/// Guards against requests that are dropped because they arrive slowly: a caller whose body took
/// more than 1 s found its connection closed, and closing it reset what was on the way.
#[tokio::test(start_paused = true)]
async fn a_slow_request_gets_a_response_while_it_arrives() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unread = UnreadConnections::default();
    let mut caller = add_connection(&unread, &listener).await;
    let head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 30\r\n\r\n";
    caller.write_all(head).await.unwrap();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    unread.poll_all(&mut buffer);
    tokio::time::advance(READ_TIMEOUT + POLL_INTERVAL).await;
    unread.poll_all(&mut buffer);
    for _ in 0..3 {
        caller.write_all(b"0123456789").await.unwrap();
        std::thread::sleep(Duration::from_millis(5));
        unread.poll_all(&mut buffer);
    }
    let mut response = String::new();
    caller.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 503 "), "{response}");
    drop(caller);
    // The kernel delivers the close soon.
    for _ in 0..5_000 {
        if unread.poll_all(&mut buffer) == 0 && unread.len() == 0 {
            break;
        }
        std::thread::sleep(Duration::from_millis(1));
    }
    assert_eq!(unread.len(), 0);
}

/// Guards against dropping the oldest connection, whole request and all, for a new one.
#[tokio::test]
async fn a_connection_beyond_the_maximum_leaves_no_request_without_a_response() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let unread = UnreadConnections::default();
    let mut callers = Vec::new();
    for _ in 0..CONNECTIONS_MAX + 5 {
        let mut caller = add_connection(&unread, &listener).await;
        let request = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nab";
        caller.write_all(request).await.unwrap();
        callers.push(caller);
        assert!(unread.connections.borrow().len() <= CONNECTIONS_MAX);
    }
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    unread.poll_all(&mut buffer);
    for (index, caller) in callers.iter_mut().enumerate() {
        let mut response = String::new();
        let read = caller.read_to_string(&mut response).await;
        let is_refused = read.is_ok() && response.starts_with("HTTP/1.1 503 ");
        assert!(is_refused, "caller {index}: {read:?} {response}");
    }
}
