//! When refused callers come back, and how often this router tries again by itself.

use std::time::Duration;

use crate::backoff::jittered;

/// The shortest time that a refused caller is told to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(2);
/// The longest time that a refused caller is told to wait, before it is spread.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
/// Retries that a router may make without a dispatch before.
const RETRIES_SAVED_MAX: u32 = 10;
/// Dispatches that allow one retry.
const DISPATCHES_PER_RETRY: u32 = 10;

/// Spreads the times at which refused callers come back; the same seed gives the same times.
#[derive(Debug)]
pub(in crate::entry) struct RetrySpread {
    seed: u64,
    refusals: u64,
}

impl RetrySpread {
    /// Starts from a seed that differs between routers.
    pub(in crate::entry) fn new(seed: u64) -> Self {
        Self { seed, refusals: 0 }
    }

    /// Gives a time between `retry_after` and twice as much.
    pub(in crate::entry) fn spread(&mut self, retry_after: Duration) -> Duration {
        self.refusals += 1;
        let base = retry_after.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
        jittered(2 * base, self.seed, self.refusals)
    }
}

/// Keeps retries of work that did not run to a tenth of the dispatches.
#[derive(Debug)]
pub(in crate::entry) struct RetryBudget {
    /// In dispatches, of which several allow one retry.
    saved: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: RETRIES_SAVED_MAX * DISPATCHES_PER_RETRY,
        }
    }
}

impl RetryBudget {
    /// Takes in a dispatch.
    pub(in crate::entry) fn on_dispatch(&mut self) {
        let most = RETRIES_SAVED_MAX * DISPATCHES_PER_RETRY;
        self.saved = (self.saved + 1).min(most);
    }

    /// Takes a retry out of the budget, if there is one.
    pub(in crate::entry) fn take(&mut self) -> bool {
        let left = self.saved.checked_sub(DISPATCHES_PER_RETRY);
        self.saved = left.unwrap_or(self.saved);
        left.is_some()
    }
}
