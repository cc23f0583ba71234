//! Which parts of prompts an engine still has in memory, as far as can be told.
//!
//! Load pattern: requests share the first parts of their prompts, and an engine
//! that still has them reads only the rest. The least recently used part yields.

use std::collections::{BTreeMap, HashMap};

use smallvec::SmallVec;

/// One part of a prompt.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct Part {
    /// Identifies the text and all text before it.
    pub id: u32,
    /// Its length.
    pub tokens: u32,
}

/// The parts of one prompt, in order.
pub type Parts = SmallVec<[Part; 4]>;

#[derive(Debug, Clone, Copy)]
struct Kept {
    tokens: u32,
    used_at_tick: u64,
}

/// The parts that one engine is taken to keep.
#[derive(Debug, Default)]
pub(crate) struct PartCache {
    capacity_tokens: u64,
    kept_tokens: u64,
    next_tick: u64,
    parts: HashMap<u32, Kept>,
    by_use: BTreeMap<u64, u32>,
}

impl PartCache {
    pub(crate) fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            ..Self::default()
        }
    }

    /// Gives the tokens at the start of a prompt that need not be read again.
    pub(crate) fn cached_tokens(&self, parts: &[Part]) -> u32 {
        let kept = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id));
        kept.map(|part| part.tokens).sum()
    }

    /// Notes that a request with these parts was sent there.
    pub(crate) fn insert(&mut self, parts: &[Part]) {
        for part in parts {
            self.next_tick += 1;
            let kept = Kept {
                tokens: part.tokens,
                used_at_tick: self.next_tick,
            };
            if let Some(before) = self.parts.insert(part.id, kept) {
                self.by_use.remove(&before.used_at_tick);
                self.kept_tokens -= u64::from(before.tokens);
            }
            self.by_use.insert(self.next_tick, part.id);
            self.kept_tokens += u64::from(part.tokens);
        }
        while self.kept_tokens > self.capacity_tokens
            && let Some((_, part)) = self.by_use.pop_first()
            && let Some(kept) = self.parts.remove(&part)
        {
            self.kept_tokens -= u64::from(kept.tokens);
        }
    }
}

#[cfg(test)]
mod tests;
