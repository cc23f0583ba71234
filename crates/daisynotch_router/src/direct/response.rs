//! HTTP responses to callers and other clients of the router.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};

use super::caller_queue::ChunkReceiver;

/// Hop-by-hop headers, which apply to a single connection and are not forwarded.
const CONNECTION_HEADERS: [HeaderName; 10] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Error of a response body that ended early; the server closes the caller's connection on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the response was truncated")]
pub(crate) struct TruncatedResponse;

/// Body of a response.
pub(crate) enum ResponseBody {
    /// The complete body.
    Full(Option<Bytes>),
    /// Chunks that are sent as they arrive.
    Stream(ChunkReceiver),
    /// A large complete body, which is sent piece by piece.
    Large(ChunkReceiver),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        match &mut *self {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(chunks) | Self::Large(chunks) => chunks
                .poll_next(context)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(_) | Self::Large(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
            Self::Large(chunks) => SizeHint::with_exact(chunks.len()),
        }
    }
}

/// A response that the router creates itself instead of forwarding one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LocalResponse {
    pub(crate) status: StatusCode,
    /// Reason code for logs, metrics and the body.
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Option<Duration>,
}

impl LocalResponse {
    pub(crate) fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Creates a response to a request that did not run, with the time after which to retry
    /// it.
    pub(crate) fn with_retry_after(
        status: StatusCode,
        reason: &'static str,
        after: Duration,
    ) -> Self {
        Self {
            status,
            reason,
            retry_after: Some(after),
        }
    }

    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let text = format!("{{\"error\":\"{}\"}}", self.reason);
        let mut response = Response::new(ResponseBody::Full(Some(Bytes::from(text))));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.2}", after.as_secs_f64());
            let seconds =
                HeaderValue::from_str(&seconds).expect("a decimal number is a valid header value");
            headers.insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}

/// Removes hop-by-hop headers, including those that the `Connection` header names, and the
/// content length.
pub(crate) fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::CONTENT_LENGTH);
}

#[cfg(test)]
mod tests;
