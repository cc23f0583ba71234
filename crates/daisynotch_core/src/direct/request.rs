//! The input and output types of the decisions on requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_objects::EndpointId;
use smallvec::SmallVec;

use super::cold_starts::ColdSettings;
use super::part_cache::Parts;
use super::retry_budget::RetryBudgetSettings;
use super::shares::ShareSettings;
use crate::time::Timestamp;

/// Expected length of an answer as a fraction of its maximum, for callers that give no hint.
const STATED_MAX_FRACTION: f64 = 0.5;

/// Identifies a request queued at this router.
#[daisynotch_macros::number]
pub struct QueueId(pub u64);

/// Identifies a request that was sent to an endpoint.
#[daisynotch_macros::number]
pub struct RunId(pub u64);

/// The properties of a request that decisions depend on.
#[derive(Debug, Clone, Default)]
pub struct RequestSpec {
    /// The service whose endpoints may run the request.
    pub service: Arc<str>,
    /// The name of the route that the request came by.
    pub route: Arc<str>,
    /// The hash of the team's name; `None` on anonymous routes.
    pub team: Option<u32>,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The parts of the prompt.
    pub parts: Parts,
    /// The prompt's length in tokens.
    pub prompt_tokens: u32,
    /// The caller's hint of the length of the answer in tokens.
    pub answer_hint_tokens: Option<u32>,
    /// The largest length of the answer in tokens; 0 if it is not stated.
    pub answer_max_tokens: u32,
    /// The expected length of the answer in tokens; see
    /// [`Dispatcher::estimate_answer`](super::Dispatcher::estimate_answer).
    pub answer_tokens: u32,
    /// The length in tokens that few answers like this one exceed.
    pub answer_upper_tokens: u32,
    /// The expected number of events of a streamed answer.
    pub answer_events: u32,
    /// The size of the body in bytes.
    pub body_bytes: usize,
    /// When the request arrived at this router.
    pub arrived_at: Timestamp,
    /// The time from arrival within which the answer should begin.
    pub objective: Duration,
    /// When the request times out: by the caller's deadline or the operator's limit, whichever
    /// is earlier.
    pub give_up_at: Timestamp,
    /// Endpoints that must not be tried again.
    pub tried: SmallVec<[EndpointId; 2]>,
}

impl RequestSpec {
    /// Returns the tokens charged to the team's share: a generated token counts twice.
    pub fn weighted_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + 2 * u64::from(self.answer_tokens)
    }

    /// Returns the tokens that the request may hold in an engine's memory.
    pub(crate) fn memory_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.answer_upper_tokens)
    }

    /// Returns the length of the answer that the caller states: its hint, or half of the maximum.
    pub(crate) fn stated_answer_tokens(&self) -> u32 {
        self.answer_hint_tokens.map_or_else(
            || (f64::from(self.answer_max_tokens) * STATED_MAX_FRACTION) as u32,
            |hint| hint.min(self.answer_max_tokens),
        )
    }

    /// Returns whether the request was sent to an endpoint before, so that its team's share has
    /// been charged for it.
    pub fn is_repeat(&self) -> bool {
        !self.tried.is_empty()
    }

    /// Returns the tokens still to be charged to the team's share: a repeat is not charged again.
    pub(crate) fn uncharged_tokens(&self) -> u64 {
        if self.is_repeat() {
            0
        } else {
            self.weighted_tokens()
        }
    }
}

/// The decision to send a request to an endpoint.
#[daisynotch_macros::value]
pub struct Grant {
    /// Identifies the run until it ends.
    pub run: RunId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's name, which the endpoint compares with its own.
    pub endpoint_name: Arc<str>,
    /// The wall-clock time of the endpoint's start, in milliseconds; 0 if it is unknown.
    pub started_unix_ms: u64,
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// The expected time until the answer begins.
    pub expected: Duration,
    /// Prompt tokens that the endpoint is assumed to have cached.
    pub cached_tokens: u32,
    /// Prompt tokens that the endpoint must prefill before this request.
    pub tokens_ahead: u64,
}

/// Why a request is refused.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum RefuseReason {
    /// The service has no known endpoint.
    NoEndpoint,
    /// All endpoints of the service are in evacuated zones.
    Evacuated,
    /// The team has used up its share and there is no idle capacity.
    BeyondShare,
    /// The answer can't begin in time.
    NoRoom,
    /// Every endpoint asked for a pause without requests or was tried already.
    PushedBack,
    /// Every endpoint limits its requests, and none of them accepts this one in time.
    EndpointLimits,
    /// The prompt has parts that crash the endpoints.
    CrashingPart,
}

impl RefuseReason {
    /// Returns the reason's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Evacuated => "evacuated",
            Self::BeyondShare => "beyond_share",
            Self::NoRoom => "no_room",
            Self::PushedBack => "endpoints_pushed_back",
            Self::EndpointLimits => "endpoint_limits",
            Self::CrashingPart => "crashing_part",
        }
    }
}

/// The decision on a queued request.
#[daisynotch_macros::value]
pub enum Verdict {
    /// Send the request.
    Send(Grant),
    /// Tell the caller that the request did not run and when to retry.
    Refuse {
        /// The reason for the refusal.
        reason: RefuseReason,
        /// The time after which to retry.
        retry_after: Duration,
        /// The percentage of its share that the team would have used.
        share_used_percent: u32,
        /// The time for which the request would queue at the best endpoint, if one was found.
        backlog: Option<Duration>,
    },
}

/// How a run ended.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum RunOutcome {
    /// The answer arrived completely.
    Done,
    /// The answer reported that the request failed.
    ErrorAnswer,
    /// The endpoint reported that it did not run the request.
    Refused,
    /// The endpoint did not run the request and asked for a pause without requests.
    PushedBack,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke or carried bytes that are not a valid answer.
    Broken,
    /// The caller disconnected or the request timed out.
    Cancelled,
}

/// How the work of requests, and what endpoints still have to do, are estimated.
#[daisynotch_macros::value]
#[derive(Copy, Default, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CostModel {
    /// From the lengths that callers state and the prompts that endpoints have to read.
    #[default]
    Stated,
    /// Also from the answers that were seen. See `docs/design/request-cost.md`.
    Learned,
}

/// The settings of a [`Dispatcher`](super::Dispatcher).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DispatcherSettings {
    /// How the work of requests is estimated.
    pub cost_model: CostModel,
    /// How capacity is shared between teams.
    pub shares: ShareSettings,
    /// How many requests may be retried.
    pub retry_budget: RetryBudgetSettings,
    /// How many requests cold endpoints get.
    pub cold: ColdSettings,
}
