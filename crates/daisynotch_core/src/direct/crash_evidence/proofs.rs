//! A bounded memory of the parts that answers have proven sound.

use std::collections::HashMap;

use super::CrashPoint;
use crate::time::Timestamp;

/// Maximum number of parts in one generation: several times the parts that a router meets in the
/// time for which a crash counts as evidence.
const GENERATION_MAX: usize = 8_192;

/// When parts were last proven to crash no engine at each point of an answer.
#[derive(Debug, Default)]
pub(super) struct PartProofs {
    before_first_event: ProofCache,
    after_first_event: ProofCache,
}

impl PartProofs {
    /// Records a proof, unless a later one is known.
    pub(super) fn insert(&mut self, point: CrashPoint, part: u32, at: Timestamp) {
        match point {
            CrashPoint::BeforeFirstEvent => self.before_first_event.insert(part, at),
            CrashPoint::AfterFirstEvent => self.after_first_event.insert(part, at),
        }
    }

    /// Returns the time of a part's latest proof.
    pub(super) fn get(&self, point: CrashPoint, part: u32) -> Option<Timestamp> {
        match point {
            CrashPoint::BeforeFirstEvent => self.before_first_event.get(part),
            CrashPoint::AfterFirstEvent => self.after_first_event.get(part),
        }
    }
}

/// When parts were last proven. Keeps those that were proven last.
#[derive(Debug, Default)]
struct ProofCache {
    current: HashMap<u32, Timestamp>,
    previous: HashMap<u32, Timestamp>,
}

impl ProofCache {
    /// Records a proof, unless a later one is known.
    fn insert(&mut self, part: u32, at: Timestamp) {
        let at = self.get(part).map_or(at, |known| known.max(at));
        if self.current.len() >= GENERATION_MAX && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(part, at);
    }

    /// Returns the time of a part's latest proof.
    fn get(&self, part: u32) -> Option<Timestamp> {
        let known = self.current.get(&part).or_else(|| self.previous.get(&part));
        known.copied()
    }
}
