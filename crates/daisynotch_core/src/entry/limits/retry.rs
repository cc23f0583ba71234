//! The `retry_after` of refused callers and the budget for this router's own retries.

use std::time::Duration;

use crate::backoff::jittered;

/// The minimum `retry_after` of a refused caller.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(2);
/// The maximum `retry_after` of a refused caller, before jitter.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// The maximum number of retries that accumulated credits pay for, also at the start.
const RETRY_BURST_MAX: u32 = 10;
/// The cost of a retry in credits; each dispatch earns one credit.
const DISPATCHES_PER_RETRY: u32 = 10;

/// Adds jitter to `retry_after`, so refused callers don't all return at the same time.
///
/// The same seed gives the same sequence.
#[derive(Debug)]
pub(in crate::entry) struct RetryJitter {
    seed: u64,
    refusals: u64,
}

impl RetryJitter {
    /// Creates the jitter from a seed that differs between routers.
    pub(in crate::entry) fn new(seed: u64) -> Self {
        Self { seed, refusals: 0 }
    }

    /// Returns a delay between the clamped `retry_after` and twice as much.
    pub(in crate::entry) fn apply(&mut self, retry_after: Duration) -> Duration {
        self.refusals += 1;
        let base = retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        jittered(2 * base, self.seed, self.refusals)
    }
}

/// Limits retries of work that did not run to a tenth of the dispatches.
#[derive(Debug)]
pub(in crate::entry) struct RetryBudget {
    /// Earned by dispatches; a retry costs [`DISPATCHES_PER_RETRY`].
    credits: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            credits: RETRY_BURST_MAX * DISPATCHES_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Adds the credit that a dispatch earns.
    pub(in crate::entry) fn on_dispatch(&mut self) {
        let max = RETRY_BURST_MAX * DISPATCHES_PER_RETRY;
        self.credits = (self.credits + 1).min(max);
    }

    /// Pays for a retry; returns `false` if the credits don't suffice.
    pub(in crate::entry) fn try_take(&mut self) -> bool {
        let left = self.credits.checked_sub(DISPATCHES_PER_RETRY);
        self.credits = left.unwrap_or(self.credits);
        left.is_some()
    }
}
