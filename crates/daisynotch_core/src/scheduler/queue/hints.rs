//! The recent accuracy of a team's cost hints.

use crate::cost::Cost;

/// The weight, in cost units, of the prior that a team's hints are exact.
const PRIOR_WEIGHT: u64 = 256;
/// The total of cost units above which the weight of older work is halved.
const DECAY_THRESHOLD: u64 = 1 << 16;
/// The maximum factor by which a hint is corrected, up or down.
const CORRECTION_MAX: u64 = 16;

/// The hinted and the actual cost of a team's finished work.
#[derive(Debug, Default)]
pub(super) struct HintAccuracy {
    hinted: u64,
    cost: u64,
}

impl HintAccuracy {
    /// Records the hint and the cost of finished work.
    pub(super) fn record(&mut self, hint: Cost, cost: Cost) {
        self.hinted = self.hinted.saturating_add(hint.0);
        self.cost = self.cost.saturating_add(cost.0);
        if self.hinted.max(self.cost) > DECAY_THRESHOLD {
            self.hinted /= 2;
            self.cost /= 2;
        }
    }

    /// Returns the charge for work with this hint at its grant.
    pub(super) fn expected_cost(&self, hint: Cost) -> Cost {
        let hint = hint.0.max(1);
        let numerator = u128::from(self.cost + PRIOR_WEIGHT);
        let denominator = u128::from(self.hinted + PRIOR_WEIGHT);
        let expected = u128::from(hint) * numerator / denominator;
        let expected = u64::try_from(expected).unwrap_or(u64::MAX);
        let max = hint.saturating_mul(CORRECTION_MAX);
        Cost(expected.clamp((hint / CORRECTION_MAX).max(1), max))
    }
}
