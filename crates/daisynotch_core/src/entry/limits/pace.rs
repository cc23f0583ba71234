//! How fast requests come and go.

use std::time::Duration;

use crate::time::Timestamp;

/// Tokens are counted in millionths, so that slow rates are exact.
const TOKEN: u64 = 1_000_000;
/// A new gap between dispatches counts for one part in this many.
const GAP_SMOOTHING: u32 = 8;

/// Requests that may still be accepted at a rate, with one second's worth saved up.
#[derive(Debug)]
pub(super) struct TokenBucket {
    tokens: u64,
    filled_at: Timestamp,
}

impl TokenBucket {
    /// Starts with as many tokens as any rate allows.
    pub(super) fn full(now: Timestamp) -> Self {
        Self {
            tokens: u64::MAX,
            filled_at: now,
        }
    }

    /// Adds what came in since the last time; gives the time until a token is there, if none is.
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
        let most = rate.max(TOKEN);
        self.tokens = self.tokens.saturating_add(new).min(most);
        self.filled_at = now;
        if self.tokens >= TOKEN {
            return None;
        }
        let missing = TOKEN - self.tokens;
        Some(Duration::from_micros(missing * TOKEN / rate.max(1)))
    }

    /// Takes the token that `refill` found.
    pub(super) fn take(&mut self) {
        self.tokens = self.tokens.saturating_sub(TOKEN);
    }
}

/// The time between two dispatches while requests wait.
#[derive(Debug, Default)]
pub(super) struct Pace {
    gap: Option<Duration>,
    dispatched_at: Option<Timestamp>,
}

impl Pace {
    /// Takes in a dispatch; the time to the next one counts only if requests still wait.
    pub(super) fn on_dispatch(&mut self, more_wait: bool, now: Timestamp) {
        if let Some(dispatched_at) = self.dispatched_at {
            let gap = now.since(dispatched_at);
            self.gap = Some(match self.gap {
                Some(mean) => (mean * (GAP_SMOOTHING - 1) + gap) / GAP_SMOOTHING,
                None => gap,
            });
        }
        self.dispatched_at = more_wait.then_some(now);
    }

    /// Gives how long one more request behind `queued` others is likely to wait.
    pub(super) fn expected_wait(&self, queued: u32, now: Timestamp) -> Option<Duration> {
        let gap = self.gap?;
        let since = self.dispatched_at.map(|at| now.since(at));
        let gap = gap.max(since.unwrap_or_default());
        Some(gap * (queued + 1))
    }
}
