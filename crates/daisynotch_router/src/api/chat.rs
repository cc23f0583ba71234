//! What the router needs to know of a chat completion request.

use daisynotch_core::{Cost, LengthClass, PrefixFingerprint};
use serde::Deserialize;
use viz::StatusCode;

use super::answer::ApiError;

/// Tokens that are expected when the request sets no bound.
const DEFAULT_TOKENS: u64 = 256;
/// Bytes of prompt that cost as much as one generated token.
const PROMPT_BYTES_PER_COST: u64 = 64;
/// The hint from which a request is taken for long.
const LONG_HINT: Cost = Cost(4_096);
/// How much of a body identifies its prefix.
const PREFIX_BYTES: usize = 512;

/// The parts of a request body that matter here; the rest is passed on unread.
#[derive(Debug, Deserialize)]
pub(super) struct ChatRequest {
    /// The model that is asked.
    pub(super) model: String,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub(super) stream: bool,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
}

/// What can be guessed about a request before it runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Estimate {
    pub(super) hint: Cost,
    pub(super) class: LengthClass,
    pub(super) prefix: Option<PrefixFingerprint>,
}

impl ChatRequest {
    /// Reads a request body.
    pub(super) fn parse(body: &[u8]) -> Result<Self, ApiError> {
        serde_json::from_slice(body).map_err(|error| {
            ApiError::not_run(
                StatusCode::BAD_REQUEST,
                "malformed_body",
                format!("the body is no chat completion request: {error}"),
            )
        })
    }

    /// Guesses what the request will cost.
    pub(super) fn estimate(&self, body: &[u8]) -> Estimate {
        let tokens = self.max_completion_tokens.or(self.max_tokens);
        let prompt_cost = body.len() as u64 / PROMPT_BYTES_PER_COST;
        let hint = Cost(tokens.unwrap_or(DEFAULT_TOKENS)) + Cost(prompt_cost);
        let class = if hint >= LONG_HINT {
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
