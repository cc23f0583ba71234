//! Responses that the router itself generates.

use std::time::Duration;

use daisynotch_core::{Refusal, RefusalReason};
use serde::Serialize;
use viz::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use viz::{Body, Response, StatusCode};

use super::OUTCOME_HEADER;
use crate::dispatch::DispatchError;

/// Whether the work of a failed request ran, as stated in [`OUTCOME_HEADER`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The work did not run; a retry is safe.
    NotRun,
    /// The work ran or may have run.
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

/// An error response to a caller.
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
    /// Creates an error that occurred before any work ran.
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

    /// Creates an error that occurred after work may have run.
    pub(super) fn unknown(code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status: StatusCode::BAD_GATEWAY,
            code,
            message: message.into(),
            outcome: Outcome::Unknown,
            retry_after: None,
        }
    }

    /// Marks the outcome as unknown: an earlier call with the same idempotency key may have run.
    pub(super) fn with_unknown_outcome(self) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..self
        }
    }

    /// Returns the outcome label under which the error is counted.
    pub(super) fn label(&self) -> &'static str {
        match self.outcome {
            Outcome::NotRun => "refused",
            Outcome::Unknown => "failed",
        }
    }

    /// Builds the HTTP response.
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

impl From<DispatchError> for ApiError {
    fn from(error: DispatchError) -> Self {
        match error {
            DispatchError::Refused(refusal) => refusal.into(),
            DispatchError::Unknown(message) => Self::unknown("endpoint_failed", message),
        }
    }
}

/// Builds a JSON response.
pub(super) fn json(status: StatusCode, value: &impl Serialize) -> Response {
    let body = serde_json::to_vec(value).expect(
        "response bodies have string keys and finite numbers, so they can be written as JSON",
    );
    let mut response = Response::new(Body::from(http_body_util::Full::from(body)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
