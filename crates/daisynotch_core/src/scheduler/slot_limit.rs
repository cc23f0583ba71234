//! How many requests an endpoint runs at once, found by observation.
//!
//! The limit grows while work waits and the targets hold, and shrinks in
//! proportion when they don't. `docs/design/slots.md` weighs this against a fixed
//! number and against growth by one a window.

use std::time::Duration;

use smallvec::SmallVec;

use crate::time::Timestamp;

/// The time to the first token that 95 in 100 requests get.
const FIRST_TOKEN_TARGET_MS: u64 = 320;
/// The time between tokens that 95 in 100 requests get.
const TOKEN_GAP_TARGET_US: u64 = 57_000;
/// Samples of one judgement.
const WINDOW_SAMPLES: usize = 16;
/// A judgement is made of fewer samples after this time.
const WINDOW_MAX: Duration = Duration::from_millis(1_000);
const WINDOW_SAMPLES_MIN: usize = 4;
/// The time between two steps of growth.
const GROWTH_INTERVAL: Duration = Duration::from_millis(250);
/// Growth waits this long after a judgement that the targets were missed.
const GROWTH_PAUSE: Duration = Duration::from_millis(1_000);
/// A target that was met exactly, in thousandths.
const AT_TARGET: u64 = 1_000;

/// What one request saw of its endpoint.
#[daisynotch_macros::value]
#[derive(Copy)]
pub(super) struct Sample {
    pub(super) first_token_ms: Option<u32>,
    pub(super) token_gap_us: Option<u32>,
    /// Requests that ran there, this one included.
    pub(super) running: u32,
}

impl Sample {
    /// Gives how much of the tighter target was used, in thousandths.
    fn target_used(self) -> Option<u64> {
        let first = self
            .first_token_ms
            .map(|first_ms| u64::from(first_ms) * AT_TARGET / FIRST_TOKEN_TARGET_MS);
        let gap = self
            .token_gap_us
            .map(|gap_us| u64::from(gap_us) * AT_TARGET / TOKEN_GAP_TARGET_US);
        first.max(gap)
    }
}

/// The number of slots of one endpoint.
#[derive(Debug, Clone)]
pub(super) struct SlotLimit {
    limit: u32,
    /// Pools of plain services keep the number that the objects give.
    adapts: bool,
    samples: SmallVec<[(u64, u32); WINDOW_SAMPLES]>,
    window_began: Timestamp,
    grow_from: Timestamp,
    /// The most that the latest judgement lets the limit grow to, once there was one.
    ceiling: Option<u32>,
}

impl SlotLimit {
    /// Starts with the number that the objects give.
    pub(super) fn new(limit: u32, adapts: bool) -> Self {
        Self {
            limit: limit.max(1),
            adapts,
            samples: SmallVec::new(),
            window_began: Timestamp::default(),
            grow_from: Timestamp::default(),
            ceiling: None,
        }
    }

    pub(super) fn get(&self) -> u32 {
        self.limit
    }

    /// Takes in what a request saw, and judges once there is enough.
    pub(super) fn observe(&mut self, sample: Sample, now: Timestamp) {
        let Some(used) = sample.target_used().filter(|_| self.adapts) else {
            return;
        };
        if self.samples.is_empty() {
            self.window_began = now;
        }
        self.samples.push((used, sample.running));
        let is_old = now.since(self.window_began) >= WINDOW_MAX;
        if self.samples.len() >= WINDOW_SAMPLES
            || (is_old && self.samples.len() >= WINDOW_SAMPLES_MIN)
        {
            self.judge(now);
        }
    }

    fn judge(&mut self, now: Timestamp) {
        self.samples.sort_unstable();
        let count = self.samples.len();
        let (used, _) = self.samples[(count - 1) * 95 / 100];
        let running: u64 = self
            .samples
            .iter()
            .map(|(_, running)| u64::from(*running))
            .sum();
        let running = running.div_ceil(count as u64);
        self.samples.clear();
        let fitting = u32::try_from(running * AT_TARGET / used.max(1))
            .unwrap_or(u32::MAX)
            .max(1);
        if used > AT_TARGET {
            let halved = self.limit.div_ceil(2);
            self.limit = fitting
                .clamp(halved, self.limit.saturating_sub(1).max(halved))
                .max(1);
            self.grow_from = now + GROWTH_PAUSE;
            self.ceiling = Some(self.limit);
        } else {
            // The gap grows by less than the number that runs, so that the estimate is low.
            self.ceiling = Some(fitting.saturating_add(fitting / 2));
        }
    }

    /// Grows a step, when all slots are taken and work waits; says whether it did.
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
