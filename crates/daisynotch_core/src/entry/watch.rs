//! Notices first tokens that are late and streams that are slow.
//!
//! Schedulers hear of running work only when it is out of the ordinary: a report
//! of every request would take more control traffic than its ticket, grant and
//! release together. See `docs/design/slowed-endpoints.md`.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::PoolId;
use crate::cost::Cost;
use crate::entry::RequestId;
use crate::time::Timestamp;

/// When a first token is late before anything is known of the pool.
const LATE_AFTER_UNKNOWN: Duration = Duration::from_millis(320);
/// The bounds of when a first token is late.
const LATE_AFTER_MIN: Duration = Duration::from_millis(40);
const LATE_AFTER_MAX: Duration = Duration::from_secs(10);
/// A late first token is this many mean deviations over the mean.
const LATE_DEVIATIONS: u32 = 4;
/// The weight of the newest value in a mean is one part in this many.
const MEAN_PARTS: u32 = 16;
/// A stream is slow when its gap between tokens is this many times the usual one.
const SLOW_GAP_FACTOR: u32 = 2;
/// Work below this cost is not reported however small its hint was.
const REPORTED_COST_MIN: Cost = Cost(128);

/// What requests of one pool have seen lately.
#[derive(Debug, Default, Clone, Copy)]
struct Usual {
    first_token: Option<(Duration, Duration)>,
    gap: Option<Duration>,
}

impl Usual {
    fn learn_first_token(&mut self, value: Duration) {
        // A few very late ones must not make all others wait as long.
        let value = value.min(self.late_after());
        let (mean, deviation) = self.first_token.unwrap_or((value, value / 2));
        let deviation = blend(deviation, mean.abs_diff(value));
        self.first_token = Some((blend(mean, value), deviation));
    }

    fn late_after(&self) -> Duration {
        let Some((mean, deviation)) = self.first_token else {
            return LATE_AFTER_UNKNOWN;
        };
        (mean + deviation * LATE_DEVIATIONS).clamp(LATE_AFTER_MIN, LATE_AFTER_MAX)
    }
}

fn blend(mean: Duration, value: Duration) -> Duration {
    mean - mean / MEAN_PARTS + value / MEAN_PARTS
}

/// What was reported of one running request.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Reported {
    cost: Cost,
    is_slow: bool,
}

/// Watches the running requests of one entry.
#[derive(Debug, Default)]
pub(super) struct Watch {
    usual: HashMap<PoolId, Usual>,
    awaited: HashMap<RequestId, Timestamp>,
    late_at: BTreeSet<(Timestamp, RequestId)>,
}

impl Watch {
    /// Starts to await a first token.
    pub(super) fn on_sent(&mut self, request: RequestId, pool: PoolId, now: Timestamp) {
        let usual = self.usual.get(&pool).copied().unwrap_or_default();
        let late_at = now + usual.late_after();
        self.forget(request);
        self.awaited.insert(request, late_at);
        self.late_at.insert((late_at, request));
    }

    /// Takes in how long the first token took.
    pub(super) fn on_first_token(&mut self, request: RequestId, pool: PoolId, took: Duration) {
        if self.awaited.contains_key(&request) {
            self.usual.entry(pool).or_default().learn_first_token(took);
        }
        self.forget(request);
    }

    /// Stops awaiting.
    pub(super) fn forget(&mut self, request: RequestId) {
        if let Some(late_at) = self.awaited.remove(&request) {
            self.late_at.remove(&(late_at, request));
        }
    }

    /// Takes the next request whose first token is late; it is late once.
    pub(super) fn pop_late(&mut self, now: Timestamp) -> Option<RequestId> {
        let (late_at, request) = self.late_at.first().copied()?;
        if late_at > now {
            return None;
        }
        self.late_at.pop_first();
        Some(request)
    }

    /// Says whether a scheduler should hear how a request goes on.
    pub(super) fn is_news(
        &mut self,
        reported: &mut Reported,
        pool: PoolId,
        hint: Cost,
        cost: Cost,
        token_gap_us: Option<u32>,
    ) -> bool {
        let cost_is_news = cost.0 >= 2 * reported.cost.max(hint).max(REPORTED_COST_MIN).0;
        let is_slow = token_gap_us.map_or(reported.is_slow, |gap_us| {
            self.judge_gap(pool, Duration::from_micros(u64::from(gap_us)))
        });
        let is_news = cost_is_news || is_slow != reported.is_slow;
        if is_news {
            *reported = Reported { cost, is_slow };
        }
        is_news
    }

    fn judge_gap(&mut self, pool: PoolId, gap: Duration) -> bool {
        let usual = self.usual.entry(pool).or_default();
        let mean = usual.gap.unwrap_or(gap);
        let is_slow = gap > mean * SLOW_GAP_FACTOR;
        if !is_slow {
            usual.gap = Some(blend(mean, gap));
        }
        is_slow
    }
}

#[cfg(test)]
mod tests;
