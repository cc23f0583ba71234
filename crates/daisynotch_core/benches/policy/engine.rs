//! Simulates an inference engine with continuous batching as a processor-sharing queue.
//!
//! All running requests generate tokens at the same rate, which falls as their number grows.
//! One clock of generated tokens per engine is therefore enough; requests need none of their own.

use std::collections::{BTreeSet, VecDeque};

use daisynotch_core::PrefixFingerprint;

/// Time between tokens before the share of each running request is added.
const GAP_BASE_US: u64 = 20_000;
/// Time that each running request adds to the token gap.
const GAP_PER_REQUEST_US: u64 = 2_000;
/// Cost of prefilling a prompt, in tokens; a cached prefix saves most of it.
pub(crate) const PREFILL_TOKENS: u64 = 4;
const PREFILL_CACHED_TOKENS: u64 = 1;
const CACHED_PREFIXES_MAX: usize = 32;
const MICRO: u64 = 1_000_000;
/// 18 concurrent requests have a token gap of 56 ms, the largest that the target allows.
pub(crate) const CAPACITY_TOKENS_PER_S: f64 = 18.0 / 0.056;

#[derive(Debug, Clone, Default)]
pub(crate) struct Engine {
    /// Tokens that a request running from the start would have generated, in millionths.
    clock: u64,
    advanced_at_us: u64,
    pub(crate) slow_factor: u64,
    /// Pending first tokens and completions: clock value, attempt id, and whether it completes.
    due: BTreeSet<(u64, usize, bool)>,
    running: u64,
    prefixes: VecDeque<PrefixFingerprint>,
    pub(crate) version: u64,
}

impl Engine {
    fn gap_us(&self) -> u64 {
        (GAP_BASE_US + GAP_PER_REQUEST_US * self.running) * self.slow_factor.max(1)
    }

    /// Advances the clock to `now_us`; call it before any change to the engine.
    pub(crate) fn advance(&mut self, now_us: u64) {
        self.clock += (now_us - self.advanced_at_us) * MICRO / self.gap_us();
        self.advanced_at_us = now_us;
    }

    pub(crate) fn start(&mut self, id: usize, tokens: u64, prefix: Option<PrefixFingerprint>) {
        self.running += 1;
        let first = self.clock + self.prefill_tokens(prefix) * MICRO;
        self.due.insert((first, id, false));
        self.due.insert((first + tokens * MICRO, id, true));
    }

    fn prefill_tokens(&mut self, prefix: Option<PrefixFingerprint>) -> u64 {
        let Some(prefix) = prefix else {
            return PREFILL_TOKENS;
        };
        let is_cached = self.prefixes.contains(&prefix);
        self.prefixes.retain(|known| *known != prefix);
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > CACHED_PREFIXES_MAX {
            self.prefixes.pop_front();
        }
        if is_cached {
            PREFILL_CACHED_TOKENS
        } else {
            PREFILL_TOKENS
        }
    }

    /// Returns the number of tokens that a running request has yet to generate.
    pub(crate) fn tokens_left(&self, id: usize) -> u64 {
        let end = self
            .due
            .iter()
            .find(|(_, other, is_end)| *other == id && *is_end);
        end.map_or(0, |(at, ..)| at.saturating_sub(self.clock) / MICRO)
    }

    /// Cancels a running request.
    pub(crate) fn cancel(&mut self, id: usize) {
        let before = self.due.len();
        self.due.retain(|(_, other, _)| *other != id);
        self.running -= u64::from(self.due.len() < before);
    }

    /// Removes and returns the next first token or completion that is due.
    pub(crate) fn pop_due(&mut self) -> Option<(usize, bool)> {
        let (_, id, is_end) = *self.due.first().filter(|(at, ..)| *at <= self.clock)?;
        self.due.pop_first();
        self.running -= u64::from(is_end);
        Some((id, is_end))
    }

    /// Returns when the next first token or completion is due if the engine does not change.
    pub(crate) fn next_due_us(&self) -> Option<u64> {
        let left = self.due.first()?.0.saturating_sub(self.clock);
        Some(self.advanced_at_us + (left * self.gap_us()).div_ceil(MICRO))
    }
}
