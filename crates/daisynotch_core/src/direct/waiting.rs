//! The requests queued at this router and the order in which they are served.
//!
//! Demand exceeds the capacity of the engines for seconds at a time. An engine serves in order
//! of arrival, so requests queued there can't be reordered or refused; those queued here can.

use std::cmp::Ordering;

use super::request::{QueueId, RequestSpec};
use crate::time::Timestamp;

/// Largest prefill backlog of an engine to which a request is sent: enough work to bridge the age
/// of digests, but little enough that the order of requests is decided here.
pub(crate) const ENGINE_BACKLOG_MAX_MS: f64 = 220.0;
/// The same for a request whose team has just used up its share, since it must not delay others;
/// the limit shrinks with the square of the used fraction.
const ENGINE_BACKLOG_BEYOND_SHARE_MS: f64 = 40.0;
/// Lower bound of the limit for requests within the share: keeps an engine busy until the next
/// digests arrive.
const ENGINE_BACKLOG_LEADING_MIN_MS: f64 = 75.0;

/// The sort key of a queued request; the lowest rank is served first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Rank {
    /// Whether the request can no longer meet its objective.
    pub(crate) is_late: bool,
    /// Whether the request's team has used up its share.
    pub(crate) is_beyond_share: bool,
    /// The fraction of the share that the team would have used, including this request.
    pub(crate) used_fraction: f64,
    /// How far the team leads the least-served backlogged team; see [`super::shares`].
    pub(crate) lead: f64,
    pub(crate) priority: u32,
    pub(crate) arrived_at: Timestamp,
}

impl Rank {
    pub(crate) fn compare(&self, other: &Self) -> Ordering {
        let key = |rank: &Self| {
            let is_leading = rank.lead > 1.0;
            (
                rank.is_beyond_share,
                rank.is_late,
                is_leading,
                rank.priority,
            )
        };
        let order = key(self).cmp(&key(other));
        if self.is_beyond_share && order.is_eq() {
            return self.used_fraction.total_cmp(&other.used_fraction);
        }
        order.then(self.arrived_at.cmp(&other.arrived_at))
    }

    /// Returns the largest prefill backlog of an engine to which a request of this rank is sent.
    ///
    /// The router whose own request ends is the first to see the freed capacity. A lower limit for
    /// leading teams makes that router leave capacity to teams on other routers.
    pub(crate) fn backlog_max_ms(&self) -> f64 {
        if self.is_beyond_share {
            return ENGINE_BACKLOG_BEYOND_SHARE_MS / (self.used_fraction * self.used_fraction);
        }
        let lead = self.lead.max(1.0);
        (ENGINE_BACKLOG_MAX_MS / (lead * lead)).max(ENGINE_BACKLOG_LEADING_MIN_MS)
    }
}

/// A queued request.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) id: QueueId,
    pub(crate) spec: RequestSpec,
}
