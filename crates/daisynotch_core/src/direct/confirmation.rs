//! Tracks when the configuration in force was last confirmed to be the newest.
//!
//! A key may be revoked while a host is partitioned from the store and from all other hosts, or
//! while its process is paused. The configuration on such a host shows no sign of the revocation;
//! only the time since a router last compared it with the store shows that it may be outdated.

use std::time::Duration;

use daisynotch_objects::RouterId;

use crate::time::Timestamp;

/// Time between two wakeups above which the process counts as paused, so that messages in its
/// socket buffers may be old.
const PROCESS_PAUSE_MIN: Duration = Duration::from_millis(300);
/// How long a store that was restored from a backup confirms nothing. A revocation that the
/// backup lacks arrives from other routers, including those without callers, within this time.
const RESTORE_SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// How long the process takes to drain its socket buffers after a pause.
const SOCKET_DRAIN_TIME: Duration = Duration::from_millis(500);

/// Where a confirmation came from.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum ConfirmationSource {
    /// This router compared its configuration with the store.
    Store,
    /// Another router did, or heard of it from others.
    Router(RouterId),
}

/// When the store was last known to hold no newer configuration than this router.
#[derive(Debug, Default)]
pub struct Confirmation {
    confirmed_at: Option<Timestamp>,
    source: Option<ConfirmationSource>,
    last_wakeup_at: Timestamp,
    buffers_stale_until: Timestamp,
    /// Until when a store that was restored from a backup confirms nothing.
    restore_settles_at: Timestamp,
}

impl Confirmation {
    /// Records that the process runs. After a pause, messages received meanwhile count as old.
    pub fn on_wakeup(&mut self, now: Timestamp) {
        if now.since(self.last_wakeup_at) > PROCESS_PAUSE_MIN {
            self.buffers_stale_until = now + SOCKET_DRAIN_TIME;
        }
        self.last_wakeup_at = now;
    }

    /// Records that the store was restored from a backup, which may lack recent revocations.
    pub fn on_restore(&mut self, now: Timestamp) {
        self.restore_settles_at = now + RESTORE_SETTLE_TIME;
    }

    /// Records the store's answer to a request sent at `sent_at`.
    ///
    /// `waited` is set for a watch that ended without changes after this time: it confirms the
    /// configuration up to the end of the wait. Any other answer may show the store's state at
    /// any time since `sent_at`, so it confirms the configuration at `sent_at` only.
    pub fn on_store_read(&mut self, sent_at: Timestamp, waited: Option<Duration>, now: Timestamp) {
        if sent_at < self.restore_settles_at {
            return;
        }
        let is_trusted = now >= self.buffers_stale_until || sent_at >= self.buffers_stale_until;
        let valid_at = match waited {
            Some(waited) if is_trusted => (sent_at + waited).min(now),
            _ => sent_at,
        };
        self.confirm(valid_at, ConfirmationSource::Store);
    }

    /// Records that a router without a newer configuration than this one confirmed its own
    /// configuration `age` ago. The age includes the time that the message was on its way, as
    /// otherwise routers that hear only each other confirm each other's configuration for ever.
    pub fn on_peer_confirmation(&mut self, router: RouterId, age: Duration, now: Timestamp) {
        if now >= self.buffers_stale_until {
            self.confirm(now - age, ConfirmationSource::Router(router));
        }
    }

    fn confirm(&mut self, valid_at: Timestamp, source: ConfirmationSource) {
        if self.confirmed_at.is_none_or(|at| valid_at > at) {
            self.confirmed_at = Some(valid_at);
            self.source = Some(source);
        }
    }

    /// Returns where the latest confirmation came from.
    pub fn source(&self) -> Option<ConfirmationSource> {
        self.source
    }

    /// Returns the time since the configuration was last confirmed to be the newest, or `None` if
    /// it never was.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.confirmed_at.map(|at| now.since(at))
    }

    /// Returns whether keys of the configuration may be accepted, given that a revoked key must
    /// not be used later than `max` after its revocation.
    pub fn is_fresh(&self, max: Duration, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < max)
    }
}

#[cfg(test)]
mod tests;
