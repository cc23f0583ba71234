//! How far a team's hints were from the truth lately.

use crate::cost::Cost;

/// Cost units for which a new team's hints are believed as they are.
const TRUST: u64 = 256;
/// Cost units after which older work counts half.
const MEMORY: u64 = 1 << 16;
/// The largest factor by which a hint is corrected, up or down.
const CORRECTION_MAX: u64 = 16;

/// What a team's finished work was hinted to cost, and what it did cost.
#[derive(Debug, Default)]
pub(super) struct HintAccuracy {
    hinted: u64,
    cost: u64,
}

impl HintAccuracy {
    /// Takes in finished work.
    pub(super) fn learn(&mut self, hint: Cost, cost: Cost) {
        self.hinted = self.hinted.saturating_add(hint.0);
        self.cost = self.cost.saturating_add(cost.0);
        if self.hinted.max(self.cost) > MEMORY {
            self.hinted /= 2;
            self.cost /= 2;
        }
    }

    /// Gives what work with a hint is charged at its grant.
    pub(super) fn expect(&self, hint: Cost) -> Cost {
        let hint = hint.0.max(1);
        let numerator = u128::from(self.cost + TRUST);
        let denominator = u128::from(self.hinted + TRUST);
        let expected = u128::from(hint) * numerator / denominator;
        let expected = u64::try_from(expected).unwrap_or(u64::MAX);
        let most = hint.saturating_mul(CORRECTION_MAX);
        Cost(expected.clamp((hint / CORRECTION_MAX).max(1), most))
    }
}
