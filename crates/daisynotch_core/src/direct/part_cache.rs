//! Estimates which prompt parts an engine has in its prefix cache.
//!
//! Requests share the first parts of their prompts, and an engine that still has these in memory
//! reads only the rest. The estimate evicts the least recently used part first.

use std::collections::{BTreeMap, HashMap};

use smallvec::SmallVec;

/// A part of a prompt, identified together with all text before it.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct Part {
    /// Identifies the part's text and all text before it.
    pub id: u32,
    /// The part's length in tokens.
    pub tokens: u32,
}

/// The parts of one prompt, in order.
pub type Parts = SmallVec<[Part; 4]>;

#[derive(Debug, Clone, Copy)]
struct CachedPart {
    tokens: u32,
    used_at_tick: u64,
}

/// The prompt parts that one engine presumably has in memory, with LRU eviction.
#[derive(Debug, Default)]
pub(crate) struct PartCache {
    capacity_tokens: u64,
    used_tokens: u64,
    next_tick: u64,
    parts: HashMap<u32, CachedPart>,
    by_last_use: BTreeMap<u64, u32>,
}

impl PartCache {
    pub(crate) fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            ..Self::default()
        }
    }

    /// Returns the number of tokens at the start of a prompt that the engine need not read again.
    pub(crate) fn cached_tokens(&self, parts: &[Part]) -> u32 {
        let cached = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        cached.fold(0, |tokens, part| tokens.saturating_add(part.tokens))
    }

    /// Records that a request with these prompt parts was sent to the engine.
    pub(crate) fn insert(&mut self, parts: &[Part]) {
        for part in parts {
            self.next_tick += 1;
            let cached = CachedPart {
                tokens: part.tokens,
                used_at_tick: self.next_tick,
            };
            if let Some(previous) = self.parts.insert(part.id, cached) {
                self.by_last_use.remove(&previous.used_at_tick);
                self.used_tokens -= u64::from(previous.tokens);
            }
            self.by_last_use.insert(self.next_tick, part.id);
            self.used_tokens += u64::from(part.tokens);
        }
        self.evict();
    }

    /// Changes the capacity, and evicts what no longer fits.
    pub(crate) fn set_capacity(&mut self, capacity_tokens: u64) {
        self.capacity_tokens = capacity_tokens;
        self.evict();
    }

    fn evict(&mut self) {
        while self.used_tokens > self.capacity_tokens
            && let Some((_, part)) = self.by_last_use.pop_first()
            && let Some(cached) = self.parts.remove(&part)
        {
            self.used_tokens -= u64::from(cached.tokens);
        }
    }
}

#[cfg(test)]
mod tests;
