//! HTTP client for endpoints.
//!
//! The client's errors report whether the endpoint may have run the request: it did not if no
//! byte was sent; once a byte was sent, the router can't know. The HTTP library's own retries
//! are disabled because the library doesn't know which requests are idempotent.
//!
//! A pooled connection may have gone silent since its last response. If it returns no byte, the
//! connection is suspected instead of the endpoint, and an idempotent request is retried once on
//! a fresh connection. See `docs/design/silent-connections.md`.

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

/// Maximum number of reused connections that are distinguished from new ones.
const REUSED_MAX: usize = 8_192;
/// Interval of the TCP keepalive probes on an idle connection.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unacknowledged TCP keepalive probes after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 3;

/// Settings for the connections to endpoints.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct EndpointSettings {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// How long an idle connection stays in the pool.
    pub idle_timeout: Duration,
    /// How long a reused connection may return no byte before a fresh one is tried.
    pub silence_timeout: Duration,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(1_000),
            idle_timeout: Duration::from_secs(20),
            silence_timeout: Duration::from_secs(3),
        }
    }
}

/// Why an endpoint returned no response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EndpointError {
    /// No connection could be opened; the request did not run.
    #[error("endpoint at {address} can't be reached: {reason}")]
    Unreachable {
        /// The endpoint's address.
        address: SocketAddr,
        /// Why the connection attempt failed.
        reason: String,
    },
    /// The request was sent, fully or in part; it may have run.
    #[error("endpoint at {address} did not answer: {reason}")]
    NoAnswer {
        /// The endpoint's address.
        address: SocketAddr,
        /// What went wrong after bytes were sent.
        reason: String,
    },
}

/// Whether a request may use a pooled connection.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum ConnectionUse {
    /// Opens a connection for this request alone, because the request may not run twice.
    Fresh,
    /// Uses a pooled connection. If a reused one stays silent for
    /// [`EndpointSettings::silence_timeout`], the request is retried on a fresh one.
    PooledWithFallback,
    /// Uses a pooled connection and doesn't limit its silence below the first-byte timeout: an
    /// engine that doesn't stream is silent until its last token and must not run the request
    /// twice.
    Pooled,
}

/// Sends requests to endpoints.
#[derive(Debug, Clone)]
pub struct EndpointClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    fresh: Client<HttpConnector, Full<Bytes>>,
    silence_timeout: Duration,
    /// Local addresses of the pooled connections that have returned a response.
    reused: Arc<Mutex<HashSet<SocketAddr>>>,
}

/// The outcome of an attempt on a pooled connection.
enum PooledOutcome {
    Response(Response<Incoming>),
    Error(EndpointError),
    /// A reused connection returned no response; a fresh connection may work.
    SuspectConnection,
}

impl EndpointClient {
    /// Creates a client without opening a connection.
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
            silence_timeout: settings.silence_timeout,
            reused: Arc::default(),
        }
    }

    /// Sends a request whose target is a path, and returns the response with its body unread.
    ///
    /// A request that may not run twice needs [`ConnectionUse::Fresh`]: if the endpoint closes a
    /// reused connection, the client can't tell whether the request ran.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        connection_use: ConnectionUse,
        first_byte_timeout: Duration,
    ) -> Result<Response<Incoming>, EndpointError> {
        set_target(address, &mut request)?;
        let silence_timeout = match connection_use {
            ConnectionUse::Fresh => {
                return self.send_fresh(address, request, first_byte_timeout).await;
            }
            ConnectionUse::PooledWithFallback => self.silence_timeout,
            ConnectionUse::Pooled => first_byte_timeout,
        };
        let retry = request.clone();
        let pooled = self.send_pooled(address, request, silence_timeout, first_byte_timeout);
        match pooled.await {
            PooledOutcome::Response(response) => Ok(response),
            PooledOutcome::Error(error) => Err(error),
            PooledOutcome::SuspectConnection => {
                self.send_fresh(address, retry, first_byte_timeout).await
            }
        }
    }

    async fn send_fresh(
        &self,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, EndpointError> {
        let response = tokio::time::timeout(timeout, self.fresh.request(request)).await;
        let response = response.map_err(|_| first_byte_timed_out(address))?;
        response.map_err(|error| endpoint_error(address, &error))
    }

    async fn send_pooled(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        silence_timeout: Duration,
        timeout: Duration,
    ) -> PooledOutcome {
        let connection = capture_connection(&mut request);
        let mut response = std::pin::pin!(self.pooled.request(request));
        let first_wait = silence_timeout.min(timeout);
        let mut result = tokio::time::timeout(first_wait, &mut response).await;
        let local_address = local_address(&connection);
        let is_reused = local_address.is_some_and(|address| self.lock_reused().contains(&address));
        if result.is_err() && !is_reused {
            result = tokio::time::timeout(timeout - first_wait, &mut response).await;
        }
        let local_address = local_address.or(self::local_address(&connection));
        match result {
            Ok(Ok(response)) => {
                self.record_reused(local_address);
                PooledOutcome::Response(response)
            }
            Ok(Err(error)) if error.is_connect() => {
                PooledOutcome::Error(endpoint_error(address, &error))
            }
            Ok(Err(_)) | Err(_) if is_reused => {
                local_address.inspect(|address| {
                    self.lock_reused().remove(address);
                });
                PooledOutcome::SuspectConnection
            }
            Ok(Err(error)) => PooledOutcome::Error(endpoint_error(address, &error)),
            Err(_) => PooledOutcome::Error(first_byte_timed_out(address)),
        }
    }

    fn record_reused(&self, local_address: Option<SocketAddr>) {
        let mut reused = self.lock_reused();
        if reused.len() >= REUSED_MAX {
            // Reused connections then count as new again, which only delays a retry.
            reused.clear();
        }
        reused.extend(local_address);
    }

    fn lock_reused(&self) -> MutexGuard<'_, HashSet<SocketAddr>> {
        self.reused.lock().expect("no holder of the lock panics")
    }
}

/// Sets a request's URI and `Host` header to the endpoint's address.
fn set_target(
    address: SocketAddr,
    request: &mut Request<Full<Bytes>>,
) -> Result<(), EndpointError> {
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

/// Returns the local address of the connection that a request uses, once it has one.
fn local_address(connection: &CaptureConnection) -> Option<SocketAddr> {
    let metadata = connection.connection_metadata();
    let mut extras = hyper::http::Extensions::new();
    metadata.as_ref()?.get_extras(&mut extras);
    extras.get::<HttpInfo>().map(HttpInfo::local_addr)
}

fn first_byte_timed_out(address: SocketAddr) -> EndpointError {
    EndpointError::NoAnswer {
        address,
        reason: "the first byte took too long".to_owned(),
    }
}

fn endpoint_error(address: SocketAddr, error: &hyper_util::client::legacy::Error) -> EndpointError {
    let reason = error.to_string();
    if error.is_connect() {
        EndpointError::Unreachable { address, reason }
    } else {
        EndpointError::NoAnswer { address, reason }
    }
}
