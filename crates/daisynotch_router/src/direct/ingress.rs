//! Accepts connections, serves them and closes them gracefully.

use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error as _;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use daisynotch_core::Timestamp;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::RngExt;
use serde_json::json;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::activity::{Activity, TrackedBody, TrackedStream};
use super::caller_queue::LEFT_UNREAD_MAX;
use super::event_log::Importance;
use super::listener::Listener;
use super::response::ResponseBody;
use super::state::Router;
use super::unread::DRAIN_TIMEOUT;
use super::{admin, directory, forward, peers};
use crate::caller_stream::{CallerStream, ClosesEndResponses};
use crate::stall::StallGuard;

/// How long a caller that still acknowledges may accept no byte of a response: as long as a response
/// that has ended waits for it.
const WRITE_STALL_TIMEOUT: Duration = LEFT_UNREAD_MAX;
/// Minimum size of the read buffer, which leaves the HTTP library room beyond the limit on
/// request heads.
const READ_BUFFER_MIN_BYTES: usize = 16 * 1024;
/// How long a leaving router waits for the first request on a connection that was just
/// accepted: many round trips to callers.
pub(super) const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(250);
/// Time by which a kept connection outlives the longest idle limit of its life: for callers that
/// learn of a configuration before this router does, and for requests on their way.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// How long bytes that have arrived may take to be read: several turns of the runtime.
const LAST_READ_GRACE: Duration = Duration::from_millis(25);
/// Response to a request whose head does not arrive in time.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
/// Maximum number of bytes per read of what is not needed.
const DRAIN_BUFFER_BYTES: usize = 4 * 1024;
/// Pause after a connection could not be accepted, for example when descriptors run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Progress of a router that leaves the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaveStage {
    /// The router is not leaving.
    NotLeaving,
    /// Each response is the last on its connection.
    ClosingAfterResponse,
    /// Connections without a request in progress are closed.
    Closing,
}

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    Callers,
    Readiness,
    Directory,
    Metrics,
    Peers,
}

/// Accepts connections until the router closes.
pub(crate) async fn accept(
    router: Rc<Router>,
    mut listener: Listener,
    kind: ListenerKind,
    mut leave_stage: watch::Receiver<LeaveStage>,
) {
    loop {
        let pause = match kind {
            ListenerKind::Callers => router.pressure.borrow().accept_pause(router.now()),
            _ => None,
        };
        if let Some(pause) = pause {
            router.metrics.listener_pauses.inc();
            refuse_pending(&router, &listener).await;
            listener = listener.close_for(pause).await;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_closing(&mut leave_stage), if kind == ListenerKind::Callers => {
                refuse_pending(&router, &listener).await;
                return;
            }
        };
        match accepted {
            Ok(stream) if kind == ListenerKind::Callers && !admits_connection(&router) => {
                match stream.into_std() {
                    Ok(stream) => router.unread.add(stream),
                    Err(error) => log::debug!("can't refuse a caller's connection: {error}"),
                }
            }
            Ok(stream) => {
                let connection = serve(Rc::clone(&router), stream, kind, leave_stage.clone());
                tokio::task::spawn_local(connection);
            }
            Err(error) => {
                log::warn!("failed to accept a connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

/// Returns whether the requests of a new connection are handled.
fn admits_connection(router: &Router) -> bool {
    let draw = rand::rng().random();
    router.caller_connections_left() > 0
        && !router.pressure.borrow().should_shed(draw, router.now())
}

/// Refuses the connections that the kernel has already accepted, which closing the listener
/// would reset, and has it accept no more.
async fn refuse_pending(router: &Router, listener: &Listener) {
    listener.end_handshakes().await;
    loop {
        let waiting = listener.accept_pending();
        if waiting.is_empty() {
            return;
        }
        for stream in waiting {
            router.unread.add(stream);
        }
    }
}

async fn wait_until_closing(leave_stage: &mut watch::Receiver<LeaveStage>) {
    // The sender lives as long as the router. If it is gone, there is nothing to wait for.
    if leave_stage
        .wait_for(|leave_stage| *leave_stage == LeaveStage::Closing)
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
}

async fn serve(
    router: Rc<Router>,
    stream: TcpStream,
    kind: ListenerKind,
    mut leave_stage: watch::Receiver<LeaveStage>,
) {
    let _open_guard = (kind == ListenerKind::Callers).then(|| OpenCallerGuard::new(&router));
    let limits = router
        .routes()
        .map(|routes| routes.limits)
        .unwrap_or_default();
    let connected_at = router.now();
    let activity = Activity::start();
    let has_received_request = Rc::new(Cell::new(false));
    let closes_end_responses = ClosesEndResponses::default();
    let service = {
        let connection = Connection {
            kind,
            leave_stage: leave_stage.clone(),
            connected_at,
        };
        let router = Rc::clone(&router);
        let activity = Rc::clone(&activity);
        let has_received_request = Rc::clone(&has_received_request);
        let closes_end_responses = closes_end_responses.clone();
        service_fn(move |request: Request<Incoming>| {
            has_received_request.set(true);
            closes_end_responses.note_version(request.version());
            let open_request = activity.on_request();
            // Boxed, since the library keeps room for this future also while a connection is idle.
            let handling = Box::pin(handle_request(
                Rc::clone(&router),
                request,
                connection.clone(),
            ));
            async move {
                let response = handling.await;
                response.map(|response| response.map(|body| TrackedBody::new(body, open_request)))
            }
        })
    };
    let stream = CallerStream::new(stream, closes_end_responses.clone());
    let stream = StallGuard::new(stream, WRITE_STALL_TIMEOUT);
    let stream = TrackedStream::new(stream, Rc::clone(&activity));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.head_max_bytes.max(READ_BUFFER_MIN_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = &mut connection => Some(ended),
        () = activity.until_cut() => {
            // A reset also frees what the kernel holds for a caller that does not read.
            closes_end_responses.reset_incomplete();
            return;
        }
        () = wait_until_idle_limit(&router, connected_at, &activity) => {
            if activity.has_begun_head() {
                let stream = connection.into_parts().io.into_inner();
                return answer_and_drain(stream, HEAD_TIMEOUT_RESPONSE).await;
            }
            None
        }
        () = wait_until_closing(&mut leave_stage) => {
            let expects_request = !has_received_request.get() || activity.has_begun_head();
            let grace = if expects_request { NEW_CONNECTION_GRACE } else { LAST_READ_GRACE };
            tokio::time::timeout(grace, &mut connection).await.ok()
        }
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    match ended {
        Ok(()) => drain(connection.into_parts().io.into_inner()).await,
        Err(error) if error.is_parse() => {
            log::debug!("a caller's request could not be parsed: {error}");
            // The library has written a response.
            answer_and_drain(connection.into_parts().io.into_inner(), b"").await;
        }
        Err(error) => {
            let cause = error.source().and_then(|cause| cause.downcast_ref());
            if let Some(cause) = cause.filter(|cause: &&Error| cause.kind() == ErrorKind::TimedOut)
            {
                let fields = json!({"detail": cause.to_string()});
                router
                    .log
                    .write(Importance::Essential, "caller_gone", fields);
            }
            log::debug!("a connection ended with an error: {error}");
        }
    }
}

/// Writes what remains of a response, shuts down the sending side and reads the rest.
async fn answer_and_drain(mut stream: impl AsyncRead + AsyncWrite + Unpin, response: &[u8]) {
    let written = async {
        stream.write_all(response).await?;
        stream.shutdown().await
    };
    match written.await {
        Ok(()) => drain(stream).await,
        Err(error) => log::debug!("a caller left before its connection was closed: {error}"),
    }
}

/// Waits until a connection has waited for a request for longer than its caller may expect it to
/// stay open, whichever configuration the caller knows.
async fn wait_until_idle_limit(router: &Router, connected_at: Timestamp, activity: &Activity) {
    loop {
        let longest = router.idle_limits.borrow().longest_since(connected_at);
        let limit = longest + IDLE_MARGIN;
        let idle_for = activity.idle_for();
        if idle_for < limit {
            tokio::time::sleep(limit - idle_for).await;
            continue;
        }
        // Bytes that the runtime has not heard of are read meanwhile.
        tokio::time::sleep(LAST_READ_GRACE).await;
        if activity.idle_for() >= limit {
            return;
        }
    }
}

/// Reads what the caller still sends on a connection whose sending side was shut down, since
/// closing a connection with unread bytes resets it, and the reset may overtake the response.
async fn drain(mut stream: impl AsyncRead + Unpin) {
    let mut buffer = vec![0; DRAIN_BUFFER_BYTES];
    let drained = tokio::time::timeout(DRAIN_TIMEOUT, async {
        loop {
            match stream.read(&mut buffer).await {
                Ok(0) => return,
                Ok(_) => {}
                Err(error) => {
                    log::debug!("a caller reset a connection that was answered: {error}");
                    return;
                }
            }
        }
    });
    if drained.await.is_err() {
        log::debug!("a caller kept its side of a connection open after it was closed");
    }
}

/// Counts a caller's connection while it is open.
struct OpenCallerGuard {
    router: Rc<Router>,
}

impl OpenCallerGuard {
    fn new(router: &Rc<Router>) -> Self {
        router
            .open_caller_connections
            .set(router.open_caller_connections.get() + 1);
        let router = Rc::clone(router);
        Self { router }
    }
}

impl Drop for OpenCallerGuard {
    fn drop(&mut self) {
        let open = &self.router.open_caller_connections;
        open.set(open.get().saturating_sub(1));
    }
}

/// Properties of a connection that are needed to handle a request on it.
#[derive(Clone)]
struct Connection {
    kind: ListenerKind,
    leave_stage: watch::Receiver<LeaveStage>,
    connected_at: Timestamp,
}

impl Connection {
    /// Returns whether the connection was accepted after the router became crowded, if it is
    /// crowded. A caller on an older connection should reconnect, to another router.
    fn is_admitted(&self, router: &Router) -> bool {
        !router.pressure.borrow().should_reconnect(self.connected_at)
    }

    /// Returns whether the connection should close after this response.
    fn closes_after_response(&self, router: &Router) -> bool {
        *self.leave_stage.borrow() != LeaveStage::NotLeaving
            || (self.kind == ListenerKind::Callers && !self.is_admitted(router))
    }
}

async fn handle_request(
    router: Rc<Router>,
    request: Request<Incoming>,
    connection: Connection,
) -> Result<Response<ResponseBody>, Infallible> {
    let path = request.uri().path();
    let mut response = match connection.kind {
        ListenerKind::Callers => {
            let is_admitted = connection.is_admitted(&router);
            forward::handle_request(&router, request, is_admitted).await
        }
        ListenerKind::Readiness => directory::readiness(&router, path),
        ListenerKind::Directory => directory::directory(&router, path),
        ListenerKind::Metrics => admin::serve(&router, request.method(), path),
        ListenerKind::Peers => peers::serve_store_view(&router, request.uri()),
    };
    if connection.closes_after_response(&router) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}
