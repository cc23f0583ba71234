//! Parses chat completion requests and estimates their cost.

use daisynotch_core::{Cost, LengthClass, PrefixFingerprint};
use serde::Deserialize;
use viz::StatusCode;

use super::response::ApiError;

/// The tokens that a request without `max_tokens` is expected to generate.
const DEFAULT_MAX_TOKENS: u64 = 256;
/// The bytes of request body that cost as much as one generated token.
const BODY_BYTES_PER_COST: u64 = 64;
/// The estimated cost from which a request is classified as long.
const LONG_COST_MIN: Cost = Cost(4_096);
/// The number of leading body bytes that are hashed into the prefix fingerprint.
const PREFIX_BYTES: usize = 512;

/// The fields of a request body that the router reads; it passes on the body unchanged.
#[derive(Debug, Deserialize)]
pub(super) struct ChatRequest {
    /// The requested model.
    pub(super) model: String,
    /// Whether the response is streamed.
    #[serde(default)]
    pub(super) stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
}

/// Properties of a request that are estimated before it runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    pub(super) hint: Cost,
    pub(super) class: LengthClass,
    pub(super) prefix: Option<PrefixFingerprint>,
}

impl ChatRequest {
    /// Parses a request body.
    pub(super) fn parse(body: &[u8]) -> Result<Self, ApiError> {
        serde_json::from_slice(body).map_err(|error| {
            ApiError::not_run(
                StatusCode::BAD_REQUEST,
                "malformed_body",
                format!("the body is no chat completion request: {error}"),
            )
        })
    }

    /// Estimates the cost of the request from its token limit and body length.
    pub(super) fn estimate(&self, body: &[u8]) -> Estimate {
        let tokens = self.max_completion_tokens.or(self.max_tokens);
        let body_cost = body.len() as u64 / BODY_BYTES_PER_COST;
        let hint = Cost(tokens.unwrap_or(DEFAULT_MAX_TOKENS)) + Cost(body_cost);
        let class = if hint >= LONG_COST_MIN {
            LengthClass::Long
        } else {
            LengthClass::Short
        };
        let prefix = body.get(..PREFIX_BYTES).map(PrefixFingerprint::of_bytes);
        Estimate {
            hint,
            class,
            prefix,
        }
    }
}

#[cfg(test)]
mod tests;
