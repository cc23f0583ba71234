//! What a request costs an endpoint.

use std::ops::{Add, AddAssign};

/// Service in cost units: one unit is one generated token, or a millisecond of a plain service.
///
/// The cost is known only at a request's end; before that it is a hint.
/// See `docs/design/fairness.md`.
#[daisynotch_macros::number]
pub struct Cost(pub u64);

impl Cost {
    /// The difference to another cost, which may be negative.
    pub fn difference(self, other: Self) -> i64 {
        let difference = i128::from(self.0) - i128::from(other.0);
        difference.clamp(i128::from(i64::MIN), i128::from(i64::MAX)) as i64
    }
}

impl Add for Cost {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Cost {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}
