//! Cost units, in which the service of requests is measured.

use std::ops::{Add, AddAssign};

/// An amount of service: one unit is one generated token, or one millisecond of a plain service.
///
/// The actual cost of a request is known only when the request ends; until then it is a hint.
/// See `docs/design/fairness.md`.
#[daisynotch_macros::number]
pub struct Cost(pub u64);

impl Cost {
    /// Returns the signed difference `self - other`, saturating at the bounds of `i64`.
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
