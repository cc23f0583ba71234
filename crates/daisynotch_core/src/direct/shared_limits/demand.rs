//! The demand for a service at one router, coarse enough that it rarely changes.
//!
//! All routers divide limits by each other's demand. Small changes would make the parts of all
//! routers change all the time, and a part that grows takes a while until it is used.

use std::time::Duration;

use crate::time::Timestamp;

/// Time constant of the moving average of the request rate.
const TIME_CONSTANT: Duration = Duration::from_secs(3);
/// Rate below which there is no demand.
const RATE_MIN_PER_S: f64 = 0.02;
/// Levels in which the demand doubles.
const LEVELS_PER_DOUBLING: f64 = 1.0;
/// How far the rate must be from the current level, in levels, until the level changes.
const HYSTERESIS_LEVELS: f64 = 0.8;

/// A router's demand for a service on a logarithmic scale; 0 is none.
#[daisynotch_macros::number]
pub struct DemandLevel(pub u8);

impl DemandLevel {
    /// Returns the demand relative to that of other levels.
    pub(super) fn weight(self) -> f64 {
        if self.0 == 0 {
            return 0.0;
        }
        (f64::from(self.0 - 1) / LEVELS_PER_DOUBLING).exp2()
    }
}

/// The rate of requests for one service.
#[derive(Debug, Default)]
pub(super) struct Demand {
    per_s: f64,
    updated_at: Timestamp,
    level: DemandLevel,
}

impl Demand {
    /// Counts a request with a weight from 0 to 1.
    pub(super) fn on_request(&mut self, weight: f64, now: Timestamp) {
        self.per_s = self.per_s_at(now) + weight / TIME_CONSTANT.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the current level.
    pub(super) fn level(&mut self, now: Timestamp) -> DemandLevel {
        let per_s = self.per_s_at(now);
        let exact = 1.0 + LEVELS_PER_DOUBLING * (per_s / RATE_MIN_PER_S).log2();
        let is_near = (exact - f64::from(self.level.0)).abs() < HYSTERESIS_LEVELS;
        if per_s < RATE_MIN_PER_S {
            self.level = DemandLevel(0);
        } else if self.level.0 == 0 || !is_near {
            self.level = DemandLevel(exact.round() as u8);
        }
        self.level
    }

    fn per_s_at(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.per_s * (-elapsed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}

#[cfg(test)]
mod tests;
