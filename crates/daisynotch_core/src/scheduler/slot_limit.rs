//! An adaptive limit on the number of concurrent requests at an endpoint.
//!
//! The limit grows while work waits and the latency targets are met, and shrinks in
//! proportion to the excess otherwise. `docs/design/slots.md` compares this with a fixed
//! limit and with growth by one per window.

use std::time::Duration;

use smallvec::SmallVec;

use crate::time::Timestamp;

/// The target for the 95th percentile of the time to the first token.
const FIRST_TOKEN_TARGET_MS: u64 = 320;
/// The target for the 95th percentile of the time between tokens.
const TOKEN_GAP_TARGET_US: u64 = 57_000;
/// The number of samples in a full window.
const WINDOW_SAMPLES: usize = 16;
/// The age from which a window is evaluated with fewer samples.
const WINDOW_MAX: Duration = Duration::from_millis(1_000);
/// The minimum number of samples in a window.
const WINDOW_SAMPLES_MIN: usize = 4;
/// The minimum time between two increases of the limit.
const GROWTH_INTERVAL: Duration = Duration::from_millis(250);
/// How long the limit doesn't grow after a window that missed the targets.
const GROWTH_PAUSE: Duration = Duration::from_millis(1_000);
/// The utilization of a target that is met exactly, in thousandths.
const FULL_UTILIZATION: u64 = 1_000;

/// The latency of a request and the concurrency at its endpoint.
#[daisynotch_macros::value]
#[derive(Copy)]
pub(super) struct Sample {
    pub(super) first_token_ms: Option<u32>,
    pub(super) token_gap_us: Option<u32>,
    /// The number of requests running at the endpoint, including this one.
    pub(super) running: u32,
}

impl Sample {
    /// Returns the higher utilization of the two targets, in thousandths.
    fn target_utilization(self) -> Option<u64> {
        let first = self
            .first_token_ms
            .map(|first_ms| u64::from(first_ms) * FULL_UTILIZATION / FIRST_TOKEN_TARGET_MS);
        let gap = self
            .token_gap_us
            .map(|gap_us| u64::from(gap_us) * FULL_UTILIZATION / TOKEN_GAP_TARGET_US);
        first.max(gap)
    }
}

/// The number of slots of an endpoint.
#[derive(Debug, Clone)]
pub(super) struct SlotLimit {
    limit: u32,
    /// Whether the limit adapts; pools of plain services keep their configured number.
    is_adaptive: bool,
    samples: SmallVec<[(u64, u32); WINDOW_SAMPLES]>,
    window_started_at: Timestamp,
    grow_from: Timestamp,
    /// The maximum that the limit may grow to, from the latest window; `None` before the first.
    ceiling: Option<u32>,
}

impl SlotLimit {
    /// Creates a limit from the configured number of slots.
    pub(super) fn new(limit: u32, is_adaptive: bool) -> Self {
        Self {
            limit: limit.max(1),
            is_adaptive,
            samples: SmallVec::new(),
            window_started_at: Timestamp::default(),
            grow_from: Timestamp::default(),
            ceiling: None,
        }
    }

    pub(super) fn get(&self) -> u32 {
        self.limit
    }

    /// Adds a sample and evaluates the window once it has enough samples.
    pub(super) fn observe(&mut self, sample: Sample, now: Timestamp) {
        let Some(utilization) = sample.target_utilization().filter(|_| self.is_adaptive) else {
            return;
        };
        if self.samples.is_empty() {
            self.window_started_at = now;
        }
        self.samples.push((utilization, sample.running));
        let is_old = now.since(self.window_started_at) >= WINDOW_MAX;
        if self.samples.len() >= WINDOW_SAMPLES
            || (is_old && self.samples.len() >= WINDOW_SAMPLES_MIN)
        {
            self.evaluate_window(now);
        }
    }

    /// Evaluates the window against the targets and starts a new one.
    fn evaluate_window(&mut self, now: Timestamp) {
        self.samples.sort_unstable();
        let count = self.samples.len();
        let (utilization, _) = self.samples[(count - 1) * 95 / 100];
        let running: u64 = self
            .samples
            .iter()
            .map(|(_, running)| u64::from(*running))
            .sum();
        let running = running.div_ceil(count as u64);
        self.samples.clear();
        let sustainable = u32::try_from(running * FULL_UTILIZATION / utilization.max(1))
            .unwrap_or(u32::MAX)
            .max(1);
        if utilization > FULL_UTILIZATION {
            let halved = self.limit.div_ceil(2);
            self.limit = sustainable
                .clamp(halved, self.limit.saturating_sub(1).max(halved))
                .max(1);
            self.grow_from = now + GROWTH_PAUSE;
            self.ceiling = Some(self.limit);
        } else {
            // The gap grows less than proportionally to the running requests, so the estimate
            // is too low; the ceiling exceeds it by half.
            self.ceiling = Some(sustainable.saturating_add(sustainable / 2));
        }
    }

    /// Raises the limit a step, if permitted, and returns whether it grew.
    ///
    /// Called while all slots are taken and work waits.
    pub(super) fn grow(&mut self, now: Timestamp) -> bool {
        let Some(ceiling) = self.ceiling.filter(|_| now >= self.grow_from) else {
            return false;
        };
        let before = self.limit;
        let step = (before / 8).max(1);
        self.limit = before.saturating_add(step).min(ceiling).max(before);
        self.grow_from = now + GROWTH_INTERVAL;
        self.limit > before
    }
}

#[cfg(test)]
mod tests;
