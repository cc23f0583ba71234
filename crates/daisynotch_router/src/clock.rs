//! The monotonic clock of one process.

use daisynotch_core::Timestamp;
use tokio::time::Instant;

/// Gives timestamps since the process started; it can be paused in tests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub(crate) fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    /// Gives the time.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::default() + self.started_at.elapsed()
    }
}
