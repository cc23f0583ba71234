//! Decides from the calls of one router whether the store is out of reach, and since when.
//!
//! Load pattern: the store may cut a watch, refuse a call or lose a response at any time while it
//! serves everyone else. A single failure is retried at once and says nothing about the others;
//! only an outage that lasts lets entries lapse whose owners are alive. See
//! `docs/design/store-outages.md`.

use std::time::Duration;

use crate::time::Timestamp;

/// Number of failed calls in a row after which the store is out of reach. One may be a cut watch.
const FAILURES_MIN: u32 = 2;

/// Why a call to the store failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFailure {
    /// The store or its host refused the call or ended the connection: it was there until now.
    Rejected,
    /// Nothing came in answer to a call that was sent at this time.
    Silent(Timestamp),
}

/// A span of failed calls.
#[derive(Debug)]
struct Outage {
    began_at: Timestamp,
    failures: u32,
    is_silent: bool,
}

/// The failed calls since the latest response of the store.
#[derive(Debug, Default)]
pub struct StoreOutage {
    current: Option<Outage>,
}

impl StoreOutage {
    /// Processes a failed call.
    pub fn on_failure(&mut self, failure: StoreFailure, now: Timestamp) {
        let (silent_since, is_silent) = match failure {
            StoreFailure::Rejected => (now, false),
            StoreFailure::Silent(sent_at) => (sent_at, true),
        };
        let outage = self.current.get_or_insert(Outage {
            began_at: silent_since,
            failures: 0,
            is_silent: false,
        });
        outage.failures += 1;
        outage.is_silent |= is_silent;
    }

    /// Processes a response. Returns how long the store may have been out of reach, if calls had
    /// failed.
    pub fn on_response(&mut self, now: Timestamp) -> Option<Duration> {
        let outage = self.current.take()?;
        Some(now.since(outage.began_at))
    }

    /// Returns whether the store counts as out of reach.
    pub fn is_out_of_reach(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|outage| outage.is_silent || outage.failures >= FAILURES_MIN)
    }
}

#[cfg(test)]
mod tests;
