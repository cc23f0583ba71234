//! Retries with jitter and a budget.
//!
//! Every retry of a call that others may make at the same time goes through a
//! [`Backoff`], so that the end of an outage is no stampede.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The doublings after which the delay no longer grows, whatever the settings say.
const DOUBLINGS_MAX: u32 = 16;

/// How retries are spread.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct BackoffSettings {
    /// The longest delay before the first retry.
    pub first: Duration,
    /// The longest delay before any retry.
    pub longest: Duration,
    /// The retries that are made; no bound when absent.
    pub budget: Option<u32>,
}

/// The retries of one call.
#[daisynotch_macros::value]
pub struct Backoff {
    settings: BackoffSettings,
    seed: u64,
    retries: u32,
}

impl Backoff {
    /// Starts without a retry; different seeds spread their retries differently.
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self {
            settings,
            seed,
            retries: 0,
        }
    }

    /// Gives how long to wait before the next retry, or none when the budget is spent.
    ///
    /// The delay lies between half and the whole of a bound that doubles each time.
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

    /// Starts again after a success.
    pub fn reset(&mut self) {
        self.retries = 0;
    }
}

/// Gives a duration between half and the whole of a bound, the same for the same arguments.
pub fn jittered(bound: Duration, seed: u64, step: u64) -> Duration {
    let hash = xxh3_64_with_seed(&step.to_le_bytes(), seed);
    let fraction = hash as f64 / u64::MAX as f64;
    bound.mul_f64(0.5 + 0.5 * fraction)
}

#[cfg(test)]
mod tests;
