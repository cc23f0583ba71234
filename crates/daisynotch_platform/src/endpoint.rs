//! The HTTP client towards endpoints.
//!
//! Its errors say whether the work may have run: before the first byte went out
//! it did not; after that nobody here can know. The library's own repetition of
//! requests is switched off, because it can't tell a booking from a question.
//!
//! A kept connection may have gone silent since its last answer. One that gives no
//! byte is suspect, not the endpoint: an idempotent request goes out once more on a
//! fresh one. See `docs/design/silent-connections.md`.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::{
    CaptureConnection, HttpConnector, HttpInfo, capture_connection,
};
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// The most kept connections that are told from new ones.
const USED_MAX: usize = 8_192;
/// The time between two probes of a connection on which nothing moves.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// The probes without an answer after which a connection is dead.
const KEEPALIVE_RETRIES: u32 = 3;

/// How connections to endpoints are kept.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct EndpointSettings {
    /// The longest time that a connection may take to open.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept.
    pub idle_timeout: Duration,
    /// How long a kept connection may give no byte before a fresh one is tried.
    pub kept_silent_after: Duration,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(1_000),
            idle_timeout: Duration::from_secs(20),
            kept_silent_after: Duration::from_secs(3),
        }
    }
}

/// Why an endpoint gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// No connection could be made; the work did not run.
    #[error("endpoint at {address} can't be reached: {reason}")]
    Unreachable {
        /// Where the endpoint was looked for.
        address: SocketAddr,
        /// What the connection attempt said.
        reason: String,
    },
    /// The request went out, fully or in part; the work may have run.
    #[error("endpoint at {address} did not answer: {reason}")]
    NoAnswer {
        /// Where the endpoint was looked for.
        address: SocketAddr,
        /// What was seen.
        reason: String,
    },
}

/// Which connection a request may use.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum ConnectionUse {
    /// One of its own, since the request may not run twice.
    Fresh,
    /// A kept one; when it is silent for long, the request goes out on a fresh one.
    PooledWithFallback,
    /// A kept one, however long the answer takes to begin: an engine that answers
    /// as a whole is silent until its last token, and must not be asked twice.
    Pooled,
}

/// Sends requests to endpoints.
#[derive(Debug, Clone)]
pub struct EndpointClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    fresh: Client<HttpConnector, Full<Bytes>>,
    kept_silent_after: Duration,
    /// The near ends of pooled connections that have given an answer.
    used: Arc<Mutex<HashSet<SocketAddr>>>,
}

/// How an attempt on a pooled connection ended.
enum Pooled {
    Answer(Response<Incoming>),
    Error(EndpointError),
    /// A kept connection gave no answer; a fresh one may.
    Suspect,
}

impl EndpointClient {
    /// Makes a client; no connection is opened yet.
    pub fn new(settings: EndpointSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(settings.connect_timeout));
        connector.set_nodelay(true);
        connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
        let mut builder = Client::builder(TokioExecutor::new());
        builder
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(settings.idle_timeout)
            .retry_canceled_requests(false);
        let pooled = builder.build(connector.clone());
        let fresh = builder.pool_max_idle_per_host(0).build(connector);
        Self {
            pooled,
            fresh,
            kept_silent_after: settings.kept_silent_after,
            used: Arc::default(),
        }
    }

    /// Sends a request whose target is a path, and gives the answer's head.
    ///
    /// A request that may not run twice gets a connection of its own: on a kept
    /// one, a close by the other side can't be told from lost work.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        connection_use: ConnectionUse,
        first_byte_timeout: Duration,
    ) -> Result<Response<Incoming>, EndpointError> {
        direct_to(address, &mut request)?;
        let silent_after = match connection_use {
            ConnectionUse::Fresh => {
                return self.send_fresh(address, request, first_byte_timeout).await;
            }
            ConnectionUse::PooledWithFallback => self.kept_silent_after,
            ConnectionUse::Pooled => first_byte_timeout,
        };
        let again = request.clone();
        let pooled = self.send_pooled(address, request, silent_after, first_byte_timeout);
        match pooled.await {
            Pooled::Answer(answer) => Ok(answer),
            Pooled::Error(error) => Err(error),
            Pooled::Suspect => self.send_fresh(address, again, first_byte_timeout).await,
        }
    }

    async fn send_fresh(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, EndpointError> {
        let answer = tokio::time::timeout(timeout, self.fresh.request(request)).await;
        let answer = answer.map_err(|_| too_slow(address))?;
        answer.map_err(|error| error_of(address, &error))
    }

    async fn send_pooled(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        silent_after: Duration,
        timeout: Duration,
    ) -> Pooled {
        let connection = capture_connection(&mut request);
        let mut answer = std::pin::pin!(self.pooled.request(request));
        let first = silent_after.min(timeout);
        let mut ended = tokio::time::timeout(first, &mut answer).await;
        let near_end = near_end(&connection);
        let is_kept = near_end.is_some_and(|near_end| self.lock_used().contains(&near_end));
        if ended.is_err() && !is_kept {
            ended = tokio::time::timeout(timeout - first, &mut answer).await;
        }
        let near_end = near_end.or(self::near_end(&connection));
        match ended {
            Ok(Ok(answer)) => {
                self.note_used(near_end);
                Pooled::Answer(answer)
            }
            Ok(Err(error)) if error.is_connect() => Pooled::Error(error_of(address, &error)),
            Ok(Err(_)) | Err(_) if is_kept => {
                near_end.inspect(|near_end| {
                    self.lock_used().remove(near_end);
                });
                Pooled::Suspect
            }
            Ok(Err(error)) => Pooled::Error(error_of(address, &error)),
            Err(_) => Pooled::Error(too_slow(address)),
        }
    }

    fn note_used(&self, near_end: Option<SocketAddr>) {
        let mut used = self.lock_used();
        if used.len() >= USED_MAX {
            // Kept connections then count as new once more, which only delays a retry.
            used.clear();
        }
        used.extend(near_end);
    }

    fn lock_used(&self) -> MutexGuard<'_, HashSet<SocketAddr>> {
        self.used.lock().expect("no holder of the lock panics")
    }
}

/// Points a request at an endpoint.
fn direct_to(address: SocketAddr, request: &mut Request<Full<Bytes>>) -> Result<(), EndpointError> {
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let uri: Result<Uri, _> = format!("http://{address}{path}").parse();
    *request.uri_mut() = uri.map_err(|error| EndpointError::Unreachable {
        address,
        reason: error.to_string(),
    })?;
    let host = HeaderValue::from_str(&address.to_string());
    request
        .headers_mut()
        .insert(HOST, host.expect("an address is a valid header value"));
    Ok(())
}

/// Gives the near end of the connection that a request uses, once it has one.
fn near_end(connection: &CaptureConnection) -> Option<SocketAddr> {
    let metadata = connection.connection_metadata();
    let mut extras = hyper::http::Extensions::new();
    metadata.as_ref()?.get_extras(&mut extras);
    extras.get::<HttpInfo>().map(HttpInfo::local_addr)
}

fn too_slow(address: SocketAddr) -> EndpointError {
    EndpointError::NoAnswer {
        address,
        reason: "the first byte took too long".to_owned(),
    }
}

fn error_of(address: SocketAddr, error: &hyper_util::client::legacy::Error) -> EndpointError {
    let reason = error.to_string();
    if error.is_connect() {
        EndpointError::Unreachable { address, reason }
    } else {
        EndpointError::NoAnswer { address, reason }
    }
}
