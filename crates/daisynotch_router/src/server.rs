//! An HTTP/1 server that limits connections and shuts down gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, oneshot};
use viz::{Responder, Router, Tree};

use crate::caller_stream::{CallerStream, ClosesEndResponses};
use crate::settings::HttpLimits;
use crate::stall::StallGuard;

/// How long a client may accept no byte of a response before its connection is closed.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts connections until `stop` resolves, then waits for the open ones to end.
///
/// A connection with a request in progress ends after the response to that request; an idle
/// one is closed immediately.
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
                log::warn!("could not accept an HTTP connection: {error}");
                continue;
            }
        };
        let responder = Responder::new(Arc::clone(&tree), Some(address));
        let connection = graceful.watch(serve(stream, responder, &limits));
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("an HTTP connection ended with an error: {error}");
            }
            drop(permit);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Notes the versions of the requests on a connection.
struct VersionObserver {
    responder: Responder<SocketAddr>,
    closes_end_responses: ClosesEndResponses,
}

impl Service<Request<Incoming>> for VersionObserver {
    type Response = <Responder<SocketAddr> as Service<Request<Incoming>>>::Response;
    type Error = <Responder<SocketAddr> as Service<Request<Incoming>>>::Error;
    type Future = <Responder<SocketAddr> as Service<Request<Incoming>>>::Future;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        self.closes_end_responses.note_version(request.version());
        self.responder.call(request)
    }
}

fn serve(
    stream: TcpStream,
    responder: Responder<SocketAddr>,
    limits: &HttpLimits,
) -> http1::Connection<TokioIo<StallGuard<CallerStream>>, VersionObserver> {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("could not set TCP_NODELAY on an HTTP connection: {error}");
    }
    let closes_end_responses = ClosesEndResponses::default();
    let stream = CallerStream::new(stream, closes_end_responses.clone());
    let stream = StallGuard::new(stream, WRITE_STALL_TIMEOUT);
    let observer = VersionObserver {
        responder,
        closes_end_responses,
    };
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.header_max_bytes)
        .serve_connection(TokioIo::new(stream), observer)
}
