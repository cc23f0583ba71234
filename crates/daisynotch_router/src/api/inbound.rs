//! Authenticates requests, reads their bodies and filters their headers.

use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::{Catalogue, TeamId};
use daisynotch_objects::CredentialDigest;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::HeaderMap;
use hyper::header::{self, HeaderName};
use viz::{Body, StatusCode};

use super::response::ApiError;
use crate::settings::HttpLimits;

/// Headers that apply to a single connection, or that the router sets or consumes itself.
const UNFORWARDED_HEADERS: [HeaderName; 9] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHORIZATION,
];

/// Returns the team that the bearer token belongs to; no other header identifies a team.
pub(super) fn authenticate_team(
    catalogue: &Catalogue,
    headers: &HeaderMap,
) -> Result<TeamId, ApiError> {
    let token = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
    let team = token.and_then(|token| catalogue.team_of(&CredentialDigest::of_token(token)));
    team.ok_or_else(|| {
        ApiError::not_run(
            StatusCode::UNAUTHORIZED,
            "unknown_credential",
            "send `Authorization: Bearer TOKEN` with a token of a team in the objects",
        )
    })
}

/// Reads a request body within the length and time limits.
pub(super) async fn read_body(body: Body, limits: &HttpLimits) -> Result<Bytes, ApiError> {
    let max_bytes = usize::try_from(limits.body_max_bytes).unwrap_or(usize::MAX);
    let timeout = Duration::from_millis(limits.body_timeout_ms);
    let collected = tokio::time::timeout(timeout, Limited::new(body, max_bytes).collect()).await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(ApiError::not_run(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body_too_large",
            format!("the body is longer than {max_bytes} bytes"),
        )),
        Ok(Err(error)) => Err(ApiError::not_run(
            StatusCode::BAD_REQUEST,
            "body_unreadable",
            format!("the body can't be read: {error}"),
        )),
        Err(_) => Err(ApiError::not_run(
            StatusCode::REQUEST_TIMEOUT,
            "body_timeout",
            format!("the body took longer than {} ms", limits.body_timeout_ms),
        )),
    }
}

/// Removes the headers that must not be forwarded, neither in requests nor in responses.
pub(super) fn strip_unforwarded_headers(headers: &mut HeaderMap) {
    for name in &UNFORWARDED_HEADERS {
        headers.remove(name);
    }
}

#[cfg(test)]
mod tests;
