//! Accepts connections and ends them gracefully.

use std::cell::Cell;
use std::convert::Infallible;
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
use tokio::net::TcpStream;
use tokio::sync::watch;

use super::answer::AnswerBody;
use super::listener::Listener;
use super::state::Router;
use super::{directory, forward, peers};
use crate::stall::StallGuard;

/// How long a caller may take no byte of an answer.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Room beyond the limit on a head, for the library's own reading.
const READ_BUFFER_MIN_BYTES: usize = 16 * 1024;
/// How long a leaving router waits for the first request on a connection that was just
/// accepted: many round trips to callers.
pub(super) const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(250);
/// The pause after a connection could not be accepted, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How far a leaving router has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaveStage {
    /// It is not leaving.
    Staying,
    /// Each answer is the last on its connection.
    LastAnswers,
    /// Connections without a request in progress are closed.
    Closing,
}

/// What is served on a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Served {
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
    served: Served,
    mut stage: watch::Receiver<LeaveStage>,
) {
    loop {
        let pause = match served {
            Served::Callers => router.pressure.borrow().accept_pause(router.now()),
            _ => None,
        };
        if let Some(pause) = pause {
            router.metrics.listener_pauses.inc();
            refuse_waiting(&router, &listener);
            listener = listener.close_for(pause).await;
        }
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing(&mut stage), if served == Served::Callers => {
                refuse_waiting(&router, &listener);
                return;
            }
        };
        match accepted {
            // Closed at once: the caller goes to another router.
            Ok(_) if served == Served::Callers && router.connections_left() == 0 => {}
            Ok(stream)
                if served == Served::Callers
                    && router
                        .pressure
                        .borrow()
                        .should_shed(rand::rng().random(), router.now()) =>
            {
                match stream.into_std() {
                    Ok(stream) => router.unread.add(stream),
                    Err(error) => log::debug!("a connection can't be refused: {error}"),
                }
            }
            Ok(stream) => {
                let connection = serve(Rc::clone(&router), stream, served, stage.clone());
                tokio::task::spawn_local(connection);
            }
            Err(error) => {
                log::warn!("a connection could not be accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Refuses the connections that the kernel has let in, which closing the listener would reset.
///
/// More come meanwhile: the listener is closed right after none was there.
fn refuse_waiting(router: &Router, listener: &Listener) {
    loop {
        let waiting = listener.take_waiting();
        if waiting.is_empty() {
            return;
        }
        for stream in waiting {
            router.unread.add(stream);
        }
    }
}

async fn closing(stage: &mut watch::Receiver<LeaveStage>) {
    // The sender lives as long as the router; without it there is nothing to wait for.
    if stage
        .wait_for(|stage| *stage == LeaveStage::Closing)
        .await
        .is_err()
    {
        std::future::pending::<()>().await;
    }
}

async fn serve(
    router: Rc<Router>,
    stream: TcpStream,
    served: Served,
    mut stage: watch::Receiver<LeaveStage>,
) {
    let _open = (served == Served::Callers).then(|| OpenCaller::new(&router));
    let limits = router
        .routes()
        .map(|routes| routes.limits)
        .unwrap_or_default();
    let has_asked = Rc::new(Cell::new(false));
    let service = {
        let connection = Connection {
            served,
            stage: stage.clone(),
            connected_at: router.now(),
        };
        let has_asked = Rc::clone(&has_asked);
        service_fn(move |request| {
            has_asked.set(true);
            answer(Rc::clone(&router), request, connection.clone())
        })
    };
    let stream = TokioIo::new(StallGuard::new(stream, WRITE_STALL_TIMEOUT));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_max_bytes.max(READ_BUFFER_MIN_BYTES))
        .serve_connection(stream, service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing(&mut stage) => {
            let is_new = !has_asked.get();
            let grace = if is_new { NEW_CONNECTION_GRACE } else { Duration::ZERO };
            match tokio::time::timeout(grace, connection.as_mut()).await {
                Ok(ended) => ended,
                Err(_) => {
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
    };
    if let Err(error) = ended {
        log::debug!("a connection ended: {error}");
    }
}

/// Counts a caller's connection for as long as it is open.
struct OpenCaller {
    router: Rc<Router>,
}

impl OpenCaller {
    fn new(router: &Rc<Router>) -> Self {
        router.open_callers.set(router.open_callers.get() + 1);
        let router = Rc::clone(router);
        Self { router }
    }
}

impl Drop for OpenCaller {
    fn drop(&mut self) {
        let open = &self.router.open_callers;
        open.set(open.get().saturating_sub(1));
    }
}

/// What is known of a connection when a request comes on it.
#[derive(Clone)]
struct Connection {
    served: Served,
    stage: watch::Receiver<LeaveStage>,
    connected_at: Timestamp,
}

impl Connection {
    /// Says whether it was let in while this router was behind, when some were not.
    fn is_admitted(&self, router: &Router) -> bool {
        !router.pressure.borrow().should_reconnect(self.connected_at)
    }

    /// Says whether the connection should end with this answer.
    fn is_last(&self, router: &Router) -> bool {
        *self.stage.borrow() != LeaveStage::Staying
            || (self.served == Served::Callers && !self.is_admitted(router))
    }
}

async fn answer(
    router: Rc<Router>,
    request: Request<Incoming>,
    connection: Connection,
) -> Result<Response<AnswerBody>, Infallible> {
    let path = request.uri().path();
    let mut response = match connection.served {
        Served::Callers => {
            let is_admitted = connection.is_admitted(&router);
            forward::answer(&router, request, is_admitted).await
        }
        Served::Readiness => directory::readiness(&router, path),
        Served::Directory => directory::directory(&router, path),
        Served::Metrics => directory::metrics(&router, path),
        Served::Peers => peers::answer(&router, request.uri()),
    };
    if connection.is_last(&router) {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}
