//! Answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

/// Headers that concern one connection only.
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

/// An answer that broke off; the caller's connection ends with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off")]
pub(crate) struct BrokenOff;

/// The body of an answer.
pub(crate) enum AnswerBody {
    /// It is all there.
    Whole(Option<Bytes>),
    /// It comes in pieces.
    Pieces(mpsc::Receiver<Result<Bytes, BrokenOff>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(pieces) => pieces
                .poll_recv(context)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

/// An answer of the router's own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OwnAnswer {
    pub(crate) status: StatusCode,
    /// A word for logs, metrics and the body.
    pub(crate) reason: &'static str,
    pub(crate) retry_after: Option<Duration>,
}

impl OwnAnswer {
    pub(crate) fn new(status: StatusCode, reason: &'static str) -> Self {
        Self {
            status,
            reason,
            retry_after: None,
        }
    }

    /// Says that the request did not run, and when to come back.
    pub(crate) fn not_run(status: StatusCode, reason: &'static str, after: Duration) -> Self {
        Self {
            status,
            reason,
            retry_after: Some(after),
        }
    }

    pub(crate) fn into_response(self) -> Response<AnswerBody> {
        let text = format!("{{\"error\":\"{}\"}}", self.reason);
        let mut response = Response::new(AnswerBody::Whole(Some(Bytes::from(text))));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
        if let Some(after) = self.retry_after {
            let seconds = format!("{:.2}", after.as_secs_f64());
            let seconds = HeaderValue::from_str(&seconds).expect("a number is a header value");
            headers.insert(header::RETRY_AFTER, seconds);
        }
        response
    }
}

/// Removes the headers that concern one connection, named ones included.
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
