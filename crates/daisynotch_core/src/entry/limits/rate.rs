//! Rate limits on accepted requests, and the observed rate of dispatches.

use std::time::Duration;

use crate::time::Timestamp;

/// One token in millionths of a token, the unit that keeps slow rates exact.
const TOKEN: u64 = 1_000_000;
/// A new interval has weight `1 / SMOOTHING_DIVISOR` in the moving average.
const SMOOTHING_DIVISOR: u32 = 8;

/// A token bucket that limits accepted requests and holds at most one second's worth.
#[derive(Debug)]
pub(super) struct TokenBucket {
    tokens: u64,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a bucket that is full at any rate.
    pub(super) fn full(now: Timestamp) -> Self {
        Self {
            tokens: u64::MAX,
            filled_at: now,
        }
    }

    /// Adds the tokens earned since the last call.
    ///
    /// If no token is available, returns the time until the next one.
    pub(super) fn refill(
        &mut self,
        rate_per_s: Option<u32>,
        routers: u32,
        now: Timestamp,
    ) -> Option<Duration> {
        let Some(rate_per_s) = rate_per_s else {
            self.tokens = u64::MAX;
            return None;
        };
        let routers = u64::from(routers);
        let rate = u64::from(rate_per_s) * TOKEN / routers;
        let elapsed_us = now.since(self.filled_at).as_micros();
        let new = u128::from(rate) * elapsed_us / u128::from(TOKEN);
        let new = u64::try_from(new).unwrap_or(u64::MAX);
        let max = rate.max(TOKEN);
        self.tokens = self.tokens.saturating_add(new).min(max);
        self.filled_at = now;
        if self.tokens >= TOKEN {
            return None;
        }
        let missing = TOKEN - self.tokens;
        Some(Duration::from_micros(missing * TOKEN / rate.max(1)))
    }

    /// Takes a token, after `refill` found one.
    pub(super) fn take(&mut self) {
        self.tokens = self.tokens.saturating_sub(TOKEN);
    }
}

/// The average time between two dispatches while requests wait.
#[derive(Debug, Default)]
pub(super) struct DispatchInterval {
    interval: Option<Duration>,
    dispatched_at: Option<Timestamp>,
}

impl DispatchInterval {
    /// Records a dispatch. The time to the next one counts only if requests still wait.
    pub(super) fn on_dispatch(&mut self, has_waiting: bool, now: Timestamp) {
        if let Some(dispatched_at) = self.dispatched_at {
            let interval = now.since(dispatched_at);
            self.interval = Some(match self.interval {
                Some(average) => (average * (SMOOTHING_DIVISOR - 1) + interval) / SMOOTHING_DIVISOR,
                None => interval,
            });
        }
        self.dispatched_at = has_waiting.then_some(now);
    }

    /// Estimates how long a request waits behind `queued` others.
    pub(super) fn expected_wait(&self, queued: u32, now: Timestamp) -> Option<Duration> {
        let interval = self.interval?;
        let elapsed = self.dispatched_at.map(|at| now.since(at));
        let interval = interval.max(elapsed.unwrap_or_default());
        Some(interval * (queued + 1))
    }
}
