//! Exponential backoff with jitter and a retry budget.
//!
//! Every retry of a call that other routers may make at the same time goes through a
//! [`Backoff`]; otherwise all of them would retry at once when an outage ends.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of doublings after which the delay stops growing, whatever the settings.
const DOUBLINGS_MAX: u32 = 16;

/// The delays and the budget of retries.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct BackoffSettings {
    /// The upper bound of the delay before the first retry.
    pub first: Duration,
    /// The upper bound of the delay before any retry.
    pub longest: Duration,
    /// The maximum number of retries; unlimited if absent.
    pub budget: Option<u32>,
}

/// The retry state of one call.
#[daisynotch_macros::value]
pub struct Backoff {
    settings: BackoffSettings,
    seed: u64,
    retries: u32,
}

impl Backoff {
    /// Creates a backoff without retries; different seeds yield different jitter.
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self {
            settings,
            seed,
            retries: 0,
        }
    }

    /// Returns the delay before the next retry, or `None` if the retry budget is exhausted.
    ///
    /// The delay lies between half and all of an upper bound that doubles with each retry.
    pub fn next_delay(&mut self) -> Option<Duration> {
        if self
            .settings
            .budget
            .is_some_and(|budget| self.retries >= budget)
        {
            return None;
        }
        let doublings = self.retries.min(DOUBLINGS_MAX);
        let bound = self.settings.first.saturating_mul(1 << doublings);
        let bound = bound.min(self.settings.longest);
        self.retries += 1;
        Some(jittered(bound, self.seed, self.retries.into()))
    }

    /// Resets the retry count after a success.
    pub fn reset(&mut self) {
        self.retries = 0;
    }
}

/// Returns a duration between half and all of `bound`, deterministic in its arguments.
pub fn jittered(bound: Duration, seed: u64, step: u64) -> Duration {
    let hash = xxh3_64_with_seed(&step.to_le_bytes(), seed);
    let fraction = hash as f64 / u64::MAX as f64;
    bound.mul_f64(0.5 + 0.5 * fraction)
}

#[cfg(test)]
mod tests;
