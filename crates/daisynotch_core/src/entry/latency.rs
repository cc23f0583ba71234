//! Detects late first tokens and slow streams.
//!
//! The entry reports running work to schedulers only when its cost or latency is
//! unusual: a report on every request would cause more control traffic than its
//! ticket, grant and release together. See `docs/design/slowed-endpoints.md`.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::PoolId;
use crate::cost::Cost;
use crate::entry::RequestId;
use crate::time::Timestamp;

/// The time after which a first token is late while the pool has no samples.
const LATE_AFTER_DEFAULT: Duration = Duration::from_millis(320);
/// The shortest time after which a first token is late.
const LATE_AFTER_MIN: Duration = Duration::from_millis(40);
/// The longest time after which a first token is late.
const LATE_AFTER_MAX: Duration = Duration::from_secs(10);
/// A first token is late at this many mean deviations above the mean.
const LATE_DEVIATIONS: u32 = 4;
/// A new sample has weight `1 / SMOOTHING_DIVISOR` in a moving average.
const SMOOTHING_DIVISOR: u32 = 16;
/// A stream is slow if its gap between tokens exceeds the pool's average by this factor.
const SLOW_GAP_FACTOR: u32 = 2;
/// The cost of work is not reported below twice this value, however small its hint was.
const REPORTED_COST_MIN: Cost = Cost(128);

/// Moving averages of the latency in a pool.
#[derive(Debug, Default, Clone, Copy)]
struct PoolLatency {
    /// The mean and the mean deviation of the time to the first token.
    first_token: Option<(Duration, Duration)>,
    gap: Option<Duration>,
}

impl PoolLatency {
    fn record_first_token(&mut self, value: Duration) {
        // A few outliers must not raise the threshold for all other requests.
        let value = value.min(self.late_after());
        let (mean, deviation) = self.first_token.unwrap_or((value, value / 2));
        let deviation = moving_average(deviation, mean.abs_diff(value));
        self.first_token = Some((moving_average(mean, value), deviation));
    }

    fn late_after(&self) -> Duration {
        let Some((mean, deviation)) = self.first_token else {
            return LATE_AFTER_DEFAULT;
        };
        (mean + deviation * LATE_DEVIATIONS).clamp(LATE_AFTER_MIN, LATE_AFTER_MAX)
    }
}

/// Returns the exponential moving average after a new value.
fn moving_average(mean: Duration, value: Duration) -> Duration {
    mean - mean / SMOOTHING_DIVISOR + value / SMOOTHING_DIVISOR
}

/// The last report on a running request.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct LastReport {
    cost: Cost,
    is_slow: bool,
}

/// Monitors the latency of an entry's running requests.
#[derive(Debug, Default)]
pub(super) struct LatencyMonitor {
    pools: HashMap<PoolId, PoolLatency>,
    late_at: HashMap<RequestId, Timestamp>,
    deadlines: BTreeSet<(Timestamp, RequestId)>,
}

impl LatencyMonitor {
    /// Starts to await the first token of a request.
    pub(super) fn on_sent(&mut self, request: RequestId, pool: PoolId, now: Timestamp) {
        let latency = self.pools.get(&pool).copied().unwrap_or_default();
        let late_at = now + latency.late_after();
        self.forget(request);
        self.late_at.insert(request, late_at);
        self.deadlines.insert((late_at, request));
    }

    /// Records the time to the first token.
    pub(super) fn on_first_token(&mut self, request: RequestId, pool: PoolId, took: Duration) {
        if self.late_at.contains_key(&request) {
            self.pools.entry(pool).or_default().record_first_token(took);
        }
        self.forget(request);
    }

    /// Stops awaiting the first token of a request.
    pub(super) fn forget(&mut self, request: RequestId) {
        if let Some(late_at) = self.late_at.remove(&request) {
            self.deadlines.remove(&(late_at, request));
        }
    }

    /// Returns the next request whose first token is late. Each request is returned once.
    pub(super) fn pop_late(&mut self, now: Timestamp) -> Option<RequestId> {
        let (late_at, request) = self.deadlines.first().copied()?;
        if late_at > now {
            return None;
        }
        self.deadlines.pop_first();
        Some(request)
    }

    /// Returns whether the scheduler should get a progress report on a request.
    pub(super) fn should_report(
        &mut self,
        last_report: &mut LastReport,
        pool: PoolId,
        hint: Cost,
        cost: Cost,
        token_gap_us: Option<u32>,
    ) -> bool {
        let has_cost_grown = cost.0 >= 2 * last_report.cost.max(hint).max(REPORTED_COST_MIN).0;
        let is_slow = token_gap_us.map_or(last_report.is_slow, |gap_us| {
            self.is_slow_gap(pool, Duration::from_micros(u64::from(gap_us)))
        });
        let should_report = has_cost_grown || is_slow != last_report.is_slow;
        if should_report {
            *last_report = LastReport { cost, is_slow };
        }
        should_report
    }

    /// Returns whether a gap is slow; other gaps update the pool's average.
    fn is_slow_gap(&mut self, pool: PoolId, gap: Duration) -> bool {
        let latency = self.pools.entry(pool).or_default();
        let mean = latency.gap.unwrap_or(gap);
        let is_slow = gap > mean * SLOW_GAP_FACTOR;
        if !is_slow {
            latency.gap = Some(moving_average(mean, gap));
        }
        is_slow
    }
}

#[cfg(test)]
mod tests;
