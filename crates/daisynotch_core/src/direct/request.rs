//! What the decisions on one request take and give.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_objects::EndpointId;
use smallvec::SmallVec;

use super::part_cache::Parts;
use super::retry_budget::RetryBudgetSettings;
use super::shares::ShareSettings;
use crate::time::Timestamp;

/// Identifies a request that waits here.
#[daisynotch_macros::number]
pub struct QueueId(pub u64);

/// Identifies a request that was sent to an endpoint.
#[daisynotch_macros::number]
pub struct RunId(pub u64);

/// What the decisions on one request need.
#[derive(Debug, Clone)]
pub struct RequestSpec {
    /// The service that may run it.
    pub service: Arc<str>,
    /// Its team, as a hash of the name; none on anonymous routes.
    pub team: Option<u32>,
    /// Its rank; 0 is the most urgent.
    pub priority: u32,
    /// The parts of its prompt.
    pub parts: Parts,
    /// Its prompt's length.
    pub prompt_tokens: u32,
    /// The expected length of its answer.
    pub answer_tokens: u32,
    /// The bytes to be sent.
    pub body_bytes: usize,
    /// When it arrived.
    pub arrived_at: Timestamp,
    /// The time within which its answer should begin.
    pub objective: Duration,
    /// When the caller, or the operator, gives up.
    pub give_up_at: Timestamp,
    /// Endpoints that are not to be tried again.
    pub tried: SmallVec<[EndpointId; 2]>,
}

impl RequestSpec {
    /// Gives the tokens by which teams share: a generated token counts twice.
    pub fn weighted_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + 2 * u64::from(self.answer_tokens)
    }
}

/// Permission to send a request.
#[daisynotch_macros::value]
pub struct Grant {
    /// Names the run until it ends.
    pub run: RunId,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's name, for its own check.
    pub endpoint_name: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The time until the answer begins, as expected.
    pub expected: Duration,
    /// Prompt tokens that the endpoint is taken to keep already.
    pub cached_tokens: u32,
    /// Prompt tokens that stand before this request there.
    pub tokens_ahead: u64,
}

/// Why a request is refused.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum RefuseReason {
    /// No endpoint of the service is known.
    NoEndpoint,
    /// The team has had its share and there is no idle capacity.
    BeyondShare,
    /// It can't begin in time.
    NoRoom,
    /// Each endpoint named a time until which it wants nothing.
    PushedBack,
}

impl RefuseReason {
    /// Gives the word for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::BeyondShare => "beyond_share",
            Self::NoRoom => "no_room",
            Self::PushedBack => "endpoints_pushed_back",
        }
    }
}

/// The decision on a waiting request.
#[daisynotch_macros::value]
pub enum Verdict {
    /// Send it.
    Send(Grant),
    /// Tell the caller that it did not run, and when to come back.
    Refuse {
        /// Why.
        reason: RefuseReason,
        /// When to come back.
        retry_after: Duration,
        /// The part of its share that the team would have used, in hundredths.
        share_used_percent: u32,
        /// The reading before it at the best endpoint, if one could be tried.
        backlog: Option<Duration>,
    },
}

/// How a run ended.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum RunOutcome {
    /// With a whole answer.
    Done,
    /// With an answer that says that the work failed.
    ErrorAnswer,
    /// The endpoint said that it did not run it.
    Refused,
    /// The endpoint did not run it and named a time until which it wants nothing.
    PushedBack,
    /// No connection could be made.
    Unreachable,
    /// The connection broke or gave bytes that are no answer.
    Broken,
    /// The caller left, or its time was over.
    Cancelled,
}

/// The settings of the decisions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DispatcherSettings {
    /// What teams share.
    pub shares: ShareSettings,
    /// How much may be sent once more.
    pub retry_budget: RetryBudgetSettings,
}
