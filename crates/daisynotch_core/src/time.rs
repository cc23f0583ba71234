//! Monotonic timestamps for the core, which takes the time as an argument.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point in time, in microseconds, on one router's own monotonic clock.
///
/// Timestamps of different routers are not comparable; messages carry durations instead.
#[daisynotch_macros::number]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Returns the time since `earlier`, or zero if `earlier` is the later one.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

/// Returns a time in whole milliseconds, rounded up: the age of a fact must not become less when it
/// is written to a message.
pub fn age_to_ms(age: Duration) -> u32 {
    u32::try_from(age.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let duration_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(duration_us))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let duration_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(duration_us))
    }
}
