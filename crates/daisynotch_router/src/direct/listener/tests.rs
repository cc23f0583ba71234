use super::*;

async fn listener() -> Listener {
    Listener::new(TcpListener::bind("127.0.0.1:0").await.unwrap()).unwrap()
}

#[tokio::test]
async fn accepted_connections_have_keepalive_and_user_timeout() {
    let mut listener = listener().await;
    for _ in 0..2 {
        let _caller = TcpStream::connect(listener.address).await.unwrap();
        let stream = listener.accept().await.unwrap();
        let socket = SockRef::from(&stream);
        assert!(socket.keepalive().unwrap());
        assert_eq!(socket.tcp_user_timeout().unwrap(), Some(TCP_USER_TIMEOUT));
        assert!(stream.nodelay().unwrap());
    }
}

/// Guards against callers that hang while the listener is closed: the kernel must reject them
/// at once, so that they can connect again later.
#[tokio::test]
async fn a_closed_listener_rejects_connections_and_reopens() {
    let listener = listener().await;
    let address = listener.address;
    let closing = tokio::spawn(listener.close_for(Duration::from_millis(50)));
    tokio::task::yield_now().await;
    assert!(TcpStream::connect(address).await.is_err());
    let mut listener = closing.await.unwrap();
    let _caller = TcpStream::connect(address).await.unwrap();
    listener.accept().await.unwrap();
}

/// Guards against resets without a response: closing a listener resets the connections that
/// the kernel has accepted and the router has not.
#[tokio::test]
async fn pending_connections_can_be_accepted_before_closing() {
    let mut listener = listener().await;
    let mut callers = Vec::new();
    for _ in 0..20 {
        callers.push(TcpStream::connect(listener.address).await.unwrap());
    }
    let first = listener.accept().await.unwrap();
    let waiting = listener.accept_pending();
    assert_eq!(waiting.len(), 19);
    assert!(listener.accept_pending().is_empty());
    drop((first, waiting, callers));
}
