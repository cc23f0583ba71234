//! Answers that the router gives itself.

use std::time::Duration;

use daisynotch_core::{Refusal, RefusalReason};
use serde::Serialize;
use viz::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use viz::{Body, Response, StatusCode};

use super::OUTCOME_HEADER;
use crate::dispatch::NoResponse;

/// Whether the work behind an error ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// It did not.
    NotRun,
    /// It ran or may have run.
    Unknown,
}

impl Outcome {
    fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// An error as a caller sees it.
#[derive(Debug, Clone)]
pub(super) struct ApiError {
    pub(super) status: StatusCode,
    pub(super) code: &'static str,
    pub(super) message: String,
    pub(super) outcome: Outcome,
    pub(super) retry_after: Option<Duration>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'a str,
    code: &'a str,
}

impl ApiError {
    /// An error that was found before any work ran.
    pub(super) fn not_run(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry_after: None,
        }
    }

    /// An error after work may have run.
    pub(super) fn unknown(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            code,
            message: message.into(),
            outcome: Outcome::Unknown,
            retry_after: None,
        }
    }

    /// The same error for a call with a key, of which an earlier one may have run.
    pub(super) fn with_key(self) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..self
        }
    }

    /// The label under which the error is counted.
    pub(super) fn label(&self) -> &'static str {
        match self.outcome {
            Outcome::NotRun => "refused",
            Outcome::Unknown => "failed",
        }
    }

    /// Writes the error as a response.
    pub(super) fn to_response(&self) -> Response {
        let detail = ErrorDetail {
            message: &self.message,
            kind: self.outcome.as_str(),
            code: self.code,
        };
        let mut response = json(self.status, &ErrorBody { error: detail });
        let headers = response.headers_mut();
        headers.insert(
            OUTCOME_HEADER,
            HeaderValue::from_static(self.outcome.as_str()),
        );
        if let Some(retry_after) = self.retry_after {
            let seconds = retry_after.as_millis().div_ceil(1_000) as u64;
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        let (status, code, message) = match refusal.reason {
            RefusalReason::QueueFull => (
                StatusCode::TOO_MANY_REQUESTS,
                "queue_full",
                "the team has as many requests waiting as its limits allow",
            ),
            RefusalReason::RateLimited => (
                StatusCode::TOO_MANY_REQUESTS,
                "rate_limited",
                "the team or its share has sent as many requests a second as its limits allow",
            ),
            RefusalReason::QueueTimeout => (
                StatusCode::SERVICE_UNAVAILABLE,
                "queue_timeout",
                "no endpoint came free within the time that the team's limits allow",
            ),
            RefusalReason::NoEndpoint => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no_endpoint",
                "the pool has no endpoint that takes work",
            ),
            RefusalReason::Unreachable => (
                StatusCode::BAD_GATEWAY,
                "endpoint_unreachable",
                "no endpoint that was tried could be reached",
            ),
            RefusalReason::Unknown => (
                StatusCode::NOT_FOUND,
                "unknown",
                "the team or pool is no longer in the objects",
            ),
        };
        Self {
            retry_after: Some(refusal.retry_after),
            ..Self::not_run(status, code, message)
        }
    }
}

impl From<NoResponse> for ApiError {
    fn from(no_response: NoResponse) -> Self {
        match no_response {
            NoResponse::Refused(refusal) => refusal.into(),
            NoResponse::Unknown(message) => Self::unknown("endpoint_failed", message),
        }
    }
}

/// Writes a value as a JSON response.
pub(super) fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect("answers are plain data");
    let mut response = Response::new(Body::from(http_body_util::Full::from(body)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}
