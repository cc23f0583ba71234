//! Which requests are long: by hint first, by attained service afterwards.
//!
//! See `docs/design/long-requests.md`.

use crate::cost::Cost;
use crate::message::LengthClass;

/// A request is long once it has cost this many times what finished short ones cost.
const LONG_FACTOR: u64 = 8;
/// Nothing below this cost is long.
const LONG_COST_MIN: Cost = Cost(128);
/// The weight of the newest cost in the mean is one part in this many.
const MEAN_PARTS: u64 = 32;

/// Judges length by what finished work of a shard has cost.
#[derive(Debug, Default)]
pub(super) struct LengthJudge {
    /// The mean cost of finished short work, in parts of a cost unit.
    mean_short: u64,
}

impl LengthJudge {
    /// Takes in what finished work has cost.
    pub(super) fn learn(&mut self, class: LengthClass, cost: Cost) {
        if class == LengthClass::Short {
            let share = self.mean_short / MEAN_PARTS;
            self.mean_short = (self.mean_short - share).saturating_add(cost.0);
        }
    }

    /// Says how long running work is taken to be.
    pub(super) fn class_of(&self, class: LengthClass, attained: Cost) -> LengthClass {
        let mean = self.mean_short / MEAN_PARTS;
        let long_from = LONG_COST_MIN.max(Cost(mean.saturating_mul(LONG_FACTOR)));
        match class {
            LengthClass::Short if attained < long_from => LengthClass::Short,
            LengthClass::Short | LengthClass::Long => LengthClass::Long,
        }
    }
}

/// Gives how many of an endpoint's slots long work may hold while short work may come.
pub(super) fn long_slots(limit: u32) -> u32 {
    (limit - limit / 4).max(1)
}

/// Gives how many slots short work may take beyond the limit, when long work has borrowed some.
pub(super) fn overflow_slots(limit: u32, taken_long: u32) -> u32 {
    let borrowed = taken_long.saturating_sub(long_slots(limit));
    borrowed.min((limit / 4).max(1))
}

#[cfg(test)]
mod tests;
