//! The monotonic clock of one process.

use std::time::Duration;

use daisynotch_core::Timestamp;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Shorter differences between the two clocks are due to reading one after the other.
const SUSPENSION_MIN: Duration = Duration::from_millis(50);

/// Measures the time since the process started; Tokio's test clock can pause it.
///
/// The time for which the machine was suspended counts, although the monotonic clock excludes it:
/// what was received before the suspension is that much older.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started_at: Instant,
    suspended_at_start: Duration,
}

impl Clock {
    /// Starts a clock at zero.
    pub(crate) fn start() -> Self {
        Self {
            started_at: Instant::now(),
            suspended_at_start: suspended_since_boot(),
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Timestamp {
        let suspended = suspended_since_boot().saturating_sub(self.suspended_at_start);
        self.at(self.started_at.elapsed(), suspended)
    }

    fn at(&self, running: Duration, suspended: Duration) -> Timestamp {
        let counted = if suspended < SUSPENSION_MIN {
            Duration::ZERO
        } else {
            suspended
        };
        Timestamp::default() + running + counted
    }
}

/// Returns how long the machine has been suspended since it booted, which the monotonic clock
/// does not count.
fn suspended_since_boot() -> Duration {
    let read = |clock| {
        let time = clock_gettime(clock);
        // Both clocks count from boot, so their values are not negative.
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
    };
    let monotonic = read(ClockId::Monotonic);
    read(ClockId::Boottime).saturating_sub(monotonic)
}

#[cfg(test)]
mod tests;
