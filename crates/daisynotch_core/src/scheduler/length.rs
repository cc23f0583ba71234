//! Classifies requests as short or long: initially by hint, then by attained service.
//!
//! See `docs/design/long-requests.md`.

use crate::cost::Cost;
use crate::message::LengthClass;

/// A request is long once it costs this many times the mean of finished short requests.
const LONG_FACTOR: u64 = 8;
/// A request that was hinted short is not long below this cost.
const LONG_COST_MIN: Cost = Cost(128);
/// A new cost has weight `1 / SMOOTHING_DIVISOR` in the moving average.
const SMOOTHING_DIVISOR: u64 = 32;

/// Classifies running work by the cost of a shard's finished work.
#[derive(Debug, Default)]
pub(super) struct LengthClassifier {
    /// The moving average of the cost of finished short work, times [`SMOOTHING_DIVISOR`].
    scaled_mean_short: u64,
}

impl LengthClassifier {
    /// Records the cost of finished work.
    pub(super) fn record(&mut self, class: LengthClass, cost: Cost) {
        if class == LengthClass::Short {
            let decay = self.scaled_mean_short / SMOOTHING_DIVISOR;
            self.scaled_mean_short = (self.scaled_mean_short - decay).saturating_add(cost.0);
        }
    }

    /// Returns the length class of running work from its class so far and its attained cost.
    pub(super) fn classify(&self, class: LengthClass, attained: Cost) -> LengthClass {
        let mean = self.scaled_mean_short / SMOOTHING_DIVISOR;
        let long_from = LONG_COST_MIN.max(Cost(mean.saturating_mul(LONG_FACTOR)));
        match class {
            LengthClass::Short if attained < long_from => LengthClass::Short,
            LengthClass::Short | LengthClass::Long => LengthClass::Long,
        }
    }
}

/// Returns the number of an endpoint's slots that long work may hold while its quota applies.
pub(super) fn long_slot_quota(limit: u32) -> u32 {
    (limit - limit / 4).max(1)
}

/// Returns the number of slots beyond the limit that short work may take.
///
/// This is greater than zero only while long work exceeds its quota.
pub(super) fn overflow_slots(limit: u32, taken_long: u32) -> u32 {
    let excess = taken_long.saturating_sub(long_slot_quota(limit));
    excess.min((limit / 4).max(1))
}

#[cfg(test)]
mod tests;
