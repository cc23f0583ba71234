//! The HTTP client towards endpoints.
//!
//! Its errors say whether the work may have run: before the first byte went out
//! it did not; after that nobody here can know. The library's own repetition of
//! requests is switched off, because it can't tell a booking from a question.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, Uri};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// How connections to endpoints are kept.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct EndpointSettings {
    /// The longest time that a connection may take to open.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept.
    pub idle_timeout: Duration,
}

impl Default for EndpointSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(1_000),
            idle_timeout: Duration::from_secs(20),
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

/// Sends requests to endpoints.
#[derive(Debug, Clone)]
pub struct EndpointClient {
    pooled: Client<HttpConnector, Full<Bytes>>,
    fresh: Client<HttpConnector, Full<Bytes>>,
}

impl EndpointClient {
    /// Makes a client; no connection is opened yet.
    pub fn new(settings: EndpointSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(settings.connect_timeout));
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        builder
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(settings.idle_timeout)
            .retry_canceled_requests(false);
        let pooled = builder.build(connector.clone());
        let fresh = builder.pool_max_idle_per_host(0).build(connector);
        Self { pooled, fresh }
    }

    /// Sends a request whose target is a path, and gives the answer's head.
    ///
    /// A request that may not run twice gets a connection of its own: on a kept
    /// one, a close by the other side can't be told from lost work.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
        idempotent: bool,
        first_byte_timeout: Duration,
    ) -> Result<Response<Incoming>, EndpointError> {
        let unreachable = |reason: String| EndpointError::Unreachable { address, reason };
        let no_answer = |reason: String| EndpointError::NoAnswer { address, reason };
        let path = request
            .uri()
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let uri: Result<Uri, _> = format!("http://{address}{path}").parse();
        *request.uri_mut() = uri.map_err(|error| unreachable(error.to_string()))?;
        let host = HeaderValue::from_str(&address.to_string());
        request
            .headers_mut()
            .insert(HOST, host.expect("an address is a valid header value"));
        let client = if idempotent {
            &self.pooled
        } else {
            &self.fresh
        };
        let answer = tokio::time::timeout(first_byte_timeout, client.request(request)).await;
        let answer = answer.map_err(|_| no_answer("the first byte took too long".to_owned()))?;
        answer.map_err(|error| {
            if error.is_connect() {
                unreachable(error.to_string())
            } else {
                no_answer(error.to_string())
            }
        })
    }
}
