//! How long callers may expect an idle connection to stay open.

use std::time::Duration;

use smallvec::SmallVec;

use super::routes::CallerLimits;
use crate::time::Timestamp;

/// Maximum number of limits that are kept apart; the oldest are merged into the longer one.
const LIMITS_MAX: usize = 16;

/// The idle limits of the latest configurations.
///
/// Callers learn of a configuration on their own and reuse connections that were idle for most of
/// its limit. A connection therefore stays open for the longest limit that was in force while it
/// was open.
#[derive(Debug)]
pub struct IdleLimits {
    /// Limits and the times since which they were in force, oldest first.
    limits: SmallVec<[(Timestamp, Duration); 4]>,
}

impl Default for IdleLimits {
    fn default() -> Self {
        let limit = CallerLimits::default().idle_timeout;
        let limits = std::iter::once((Timestamp::default(), limit)).collect();
        Self { limits }
    }
}

impl IdleLimits {
    /// Records the limit of a configuration that is in force from `now`.
    pub fn on_limit(&mut self, limit: Duration, now: Timestamp) {
        if self.limits.last().is_some_and(|(_, last)| *last == limit) {
            return;
        }
        self.limits.push((now, limit));
        if self.limits.len() > LIMITS_MAX {
            let (since, oldest) = self.limits.remove(0);
            let (_, next) = self.limits[0];
            self.limits[0] = (since, oldest.max(next));
        }
    }

    /// Returns the longest limit that was in force at `opened_at` or later.
    pub fn longest_since(&self, opened_at: Timestamp) -> Duration {
        let ended_at = self.limits.iter().skip(1).map(|(since, _)| Some(*since));
        self.limits
            .iter()
            .zip(ended_at.chain([None]))
            .filter(|(_, ended_at)| ended_at.is_none_or(|ended_at| ended_at > opened_at))
            .map(|((_, limit), _)| *limit)
            .max()
            .unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
