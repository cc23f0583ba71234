//! What an endpoint still has to do for the requests that it holds.
//!
//! Load pattern: an engine runs dozens of requests at once, prefills new prompts between their
//! steps, and holds prompts and answers in one memory. Several routers choose at the same moment from
//! digests that are up to 150 ms old. See `docs/design/request-cost.md`.

use std::time::Duration;

use super::routes::EngineLimits;
use crate::time::Timestamp;

/// Fewest events that a running answer is taken to lack, whatever was expected of it.
pub(crate) const EVENTS_LEFT_MIN: u64 = 2;
/// Events that a request of a router that reports none is taken to lack.
pub(crate) const EVENTS_LEFT_UNKNOWN: u64 = 12;
/// Smallest part of an engine's memory that is kept free for answers that are longer than the
/// upper estimate.
const RESERVE_FRACTION_MIN: f64 = 0.15;
/// Largest part of an engine's memory that is kept free for requests that may be under way.
const RESERVE_FRACTION_MAX: f64 = 0.5;
/// Time for which other routers' requests are not known: the age of digests.
const UNSEEN: Duration = Duration::from_millis(150);
/// Time constant with which the largest number of tokens that arrived within [`UNSEEN`] is
/// forgotten.
const PEAK_MEMORY: Duration = Duration::from_secs(2);

/// Unfinished work at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Load {
    /// Prompt tokens still to be prefilled: those of requests whose answer has not begun.
    pub(crate) unread_tokens: u64,
    /// Number of requests that have not ended.
    pub(crate) running: u32,
    /// Tokens that these requests may hold in the engine's memory.
    pub(crate) memory_tokens: u64,
    /// Events that their answers are expected to lack.
    pub(crate) events_left: u64,
}

impl Load {
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            unread_tokens: self.unread_tokens.saturating_add(other.unread_tokens),
            running: self.running.saturating_add(other.running),
            memory_tokens: self.memory_tokens.saturating_add(other.memory_tokens),
            events_left: self.events_left.saturating_add(other.events_left),
        }
    }

    pub(crate) fn minus(self, other: Self) -> Self {
        Self {
            unread_tokens: self.unread_tokens.saturating_sub(other.unread_tokens),
            running: self.running.saturating_sub(other.running),
            memory_tokens: self.memory_tokens.saturating_sub(other.memory_tokens),
            events_left: self.events_left.saturating_sub(other.events_left),
        }
    }

    /// Returns how long an engine whose answers have an event every `event_ms` still generates, if
    /// all of its slots do.
    pub(crate) fn decode_ms(&self, engine: EngineLimits, event_ms: f64) -> f64 {
        self.events_left as f64 / f64::from(engine.slots.max(1)) * event_ms
    }
}

/// The tokens that other routers' requests brought to an endpoint lately, by their digests.
///
/// As many may be under way that no digest has reported yet.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Arriving {
    tokens: f64,
    peak_tokens: f64,
    at: Timestamp,
}

impl Arriving {
    /// Records that another router's requests hold `tokens` more than in its digest before.
    pub(crate) fn add(&mut self, tokens: u64, now: Timestamp) {
        if tokens == 0 {
            return;
        }
        let elapsed_s = now.since(self.at).as_secs_f64();
        let kept = |constant: Duration| (-elapsed_s / constant.as_secs_f64()).exp();
        self.tokens = self.tokens * kept(UNSEEN) + tokens as f64;
        self.peak_tokens = (self.peak_tokens * kept(PEAK_MEMORY)).max(self.tokens);
        self.at = now;
    }

    /// Returns the tokens that may be under way.
    fn under_way(&self, now: Timestamp) -> f64 {
        if self.peak_tokens == 0.0 {
            return 0.0;
        }
        let elapsed_s = now.since(self.at).as_secs_f64();
        self.peak_tokens * (1.0 - elapsed_s / PEAK_MEMORY.as_secs_f64()).max(0.0)
    }

    /// Returns whether `tokens` fit into an engine's memory beside what may be under way.
    pub(crate) fn leaves_room(&self, engine: EngineLimits, tokens: u64, now: Timestamp) -> bool {
        let memory = engine.memory_tokens as f64;
        let reserve = self
            .under_way(now)
            .clamp(memory * RESERVE_FRACTION_MIN, memory * RESERVE_FRACTION_MAX);
        tokens as f64 <= memory - reserve
    }
}

#[cfg(test)]
mod tests;
