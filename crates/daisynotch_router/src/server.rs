//! Accepts callers' connections and closes them gracefully.

use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};
use viz::{Responder, Router, Tree};

use crate::settings::HttpLimits;

/// Accepts connections until told to stop, then waits for the open ones to end.
///
/// A connection with a request in progress ends after that request's answer; an
/// idle one is closed at once.
pub(crate) async fn run(
    listener: TcpListener,
    router: Router,
    limits: HttpLimits,
    mut stop: oneshot::Receiver<()>,
) {
    let tree = Arc::new(Tree::from(router));
    let graceful = GracefulShutdown::new();
    let permits = Arc::new(Semaphore::new(limits.connections_max));
    loop {
        let accept = async {
            let permit = Arc::clone(&permits).acquire_owned().await;
            let permit = permit.expect("the semaphore is never closed");
            (listener.accept().await, permit)
        };
        let (accepted, permit) = tokio::select! {
            accepted = accept => accepted,
            _ = &mut stop => break,
        };
        let (stream, address) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("a caller's connection could not be accepted: {error}");
                continue;
            }
        };
        let responder = Responder::new(Arc::clone(&tree), Some(address));
        let connection = graceful.watch(serve(stream, responder, &limits));
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("a caller's connection ended: {error}");
            }
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn serve(
    stream: TcpStream,
    responder: Responder<std::net::SocketAddr>,
    limits: &HttpLimits,
) -> http1::Connection<TokioIo<TcpStream>, Responder<std::net::SocketAddr>> {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a caller's connection keeps its delay: {error}");
    }
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.header_max_bytes)
        .serve_connection(TokioIo::new(stream), responder)
}
