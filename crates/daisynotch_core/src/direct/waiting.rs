//! Requests that wait at this router, and which of them goes next.
//!
//! Load pattern: demand exceeds the engines for seconds at a time. An engine serves
//! in order of arrival, so what waits there can't be reordered or refused; what
//! waits here can.

use std::cmp::Ordering;

use super::request::{QueueId, RequestSpec};
use crate::time::Timestamp;

/// What decides between waiting requests; less goes first.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Rank {
    /// Whether it can't be answered on time any more.
    pub(crate) is_late: bool,
    /// Whether its team has had its share.
    pub(crate) is_beyond_share: bool,
    /// The part of the share that the team would have used, this request included.
    pub(crate) used_part: f64,
    /// How far its team leads the one that got least; see [`super::shares`].
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
            return self.used_part.total_cmp(&other.used_part);
        }
        order.then(self.arrived_at.cmp(&other.arrived_at))
    }
}

/// A request that waits.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) id: QueueId,
    pub(crate) spec: RequestSpec,
}
