//! The rate at which requests arrive.

use std::cell::Cell;

use daisynotch_core::Timestamp;

/// Time constant of the moving average of the arrival rate.
const ARRIVALS_TIME_CONSTANT_S: f64 = 0.5;

/// Exponential moving average of requests per second.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRate {
    per_s: Cell<f64>,
    at: Cell<Timestamp>,
}

impl ArrivalRate {
    /// Counts a request.
    pub(crate) fn add(&self, now: Timestamp) {
        self.per_s
            .set(self.per_s(now) + 1.0 / ARRIVALS_TIME_CONSTANT_S);
    }

    /// Returns the current rate.
    pub(crate) fn per_s(&self, now: Timestamp) -> f64 {
        let elapsed_s = now.since(self.at.replace(now)).as_secs_f64();
        let decayed = self.per_s.get() * (-elapsed_s / ARRIVALS_TIME_CONSTANT_S).exp();
        self.per_s.set(decayed);
        decayed
    }
}
