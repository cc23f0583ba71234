//! HTTP calls to routers and to the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use super::{CommandError, ROUTER_TIMEOUT};

/// Maximum size of a router's response: many times that of its largest list.
const ROUTER_RESPONSE_MAX_BYTES: usize = 1024 * 1024;

/// A request, and what is accepted as its response.
#[derive(Debug)]
pub(super) struct HttpCall {
    pub(super) method: Method,
    /// Path and query.
    pub(super) target: String,
    pub(super) body: Bytes,
    pub(super) response_max_bytes: usize,
    pub(super) timeout: Duration,
}

impl HttpCall {
    /// Sends the request and reads the whole response.
    pub(super) async fn send(self, address: SocketAddr) -> Result<(StatusCode, Bytes), String> {
        let timeout = self.timeout;
        let exchange = tokio::time::timeout(timeout, self.exchange(address)).await;
        exchange.unwrap_or_else(|_| Err("it did not respond in time".to_owned()))
    }

    async fn exchange(self, address: SocketAddr) -> Result<(StatusCode, Bytes), String> {
        let request = Request::builder()
            .method(self.method)
            .uri(format!("http://{address}{}", self.target))
            .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
            .body(Full::new(self.body))
            .map_err(|error| error.to_string())?;
        let client = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request).await;
        let response = response.map_err(|error| with_causes(&error))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), self.response_max_bytes).collect();
        let body = body.await.map_err(|error| error.to_string())?;
        Ok((status, body.to_bytes()))
    }
}

/// Describes an error with its causes, which the HTTP library leaves out.
fn with_causes(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    let causes: Vec<String> = causes.map(ToString::to_string).collect();
    causes.join(": ")
}

/// Calls a router's metrics address.
pub(super) async fn call_metrics(
    router: SocketAddr,
    method: Method,
    path: &str,
) -> Result<(StatusCode, Bytes), CommandError> {
    let call = HttpCall {
        method,
        target: path.to_owned(),
        body: Bytes::new(),
        response_max_bytes: ROUTER_RESPONSE_MAX_BYTES,
        timeout: ROUTER_TIMEOUT,
    };
    let response = call.send(router).await;
    response.map_err(|problem| metrics_call_failed(router, &problem))
}

/// Reads a list in JSON from a router's metrics address.
pub(super) async fn read_metrics_list<T: serde::de::DeserializeOwned>(
    router: SocketAddr,
    path: &str,
) -> Result<Vec<T>, CommandError> {
    let (status, body) = call_metrics(router, Method::GET, path).await?;
    if status != StatusCode::OK {
        let problem = format!("it responded with {status}");
        return Err(metrics_call_failed(router, &problem));
    }
    serde_json::from_slice(&body).map_err(|error| metrics_call_failed(router, &error))
}

/// Creates the error for a failed call to a router's metrics address.
pub(super) fn metrics_call_failed(
    router: SocketAddr,
    problem: &dyn std::fmt::Display,
) -> CommandError {
    CommandError::Failed(format!(
        "router at {router}: {problem}; check that this is the router's `metrics_address`"
    ))
}
