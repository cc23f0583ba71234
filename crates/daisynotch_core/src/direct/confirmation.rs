//! How old the configuration in force may be.
//!
//! Load pattern: a key is withdrawn while a host is cut off from the store and from all other
//! hosts, or its process stands still. What such a host holds looks as good as ever; only the
//! time since anyone saw the store say the same tells that it may not be.

use std::time::Duration;

use crate::time::Timestamp;

/// A time without a turn of the process after which what lies in its sockets may be old.
const STANDSTILL_MIN: Duration = Duration::from_millis(300);
/// How long a store that came back from a copy confirms nothing: a withdrawal that it lost is
/// heard from other routers within this time, those without callers included.
const RESTORE_SETTLES_WITHIN: Duration = Duration::from_millis(1_500);
/// How long it takes to empty the sockets after that.
const SOCKETS_EMPTIED_WITHIN: Duration = Duration::from_millis(500);

/// When the store was last known to hold no newer configuration than this router.
#[derive(Debug, Default)]
pub struct Confirmation {
    current_at: Option<Timestamp>,
    last_turn_at: Timestamp,
    distrust_until: Timestamp,
    /// Until when a store that came back from a copy confirms nothing.
    unsettled_until: Timestamp,
}

impl Confirmation {
    /// Notes that the process runs; after a standstill, what others said in between is old.
    pub fn on_wakeup(&mut self, now: Timestamp) {
        if now.since(self.last_turn_at) > STANDSTILL_MIN {
            self.distrust_until = now + SOCKETS_EMPTIED_WITHIN;
        }
        self.last_turn_at = now;
    }

    /// Notes that the store came back from a copy, which may lack what was withdrawn.
    pub fn on_restore(&mut self, now: Timestamp) {
        self.unsettled_until = now + RESTORE_SETTLES_WITHIN;
    }

    /// Takes an answer of the store to a question sent at `sent_at`: what it holds now if it
    /// waited in vain for `waited`, else what it held at any time since.
    pub fn on_store_read(&mut self, sent_at: Timestamp, waited: Option<Duration>, now: Timestamp) {
        if sent_at < self.unsettled_until {
            return;
        }
        let is_trusted = now >= self.distrust_until || sent_at >= self.distrust_until;
        let seen_at = match waited {
            Some(waited) if is_trusted => (sent_at + waited).min(now),
            _ => sent_at,
        };
        self.current_at = self.current_at.max(Some(seen_at));
    }

    /// Takes another router's word, which knows of no newer configuration than this one.
    pub fn on_peer_confirmation(&mut self, age: Duration, now: Timestamp) {
        if now >= self.distrust_until {
            self.current_at = self.current_at.max(Some(now - age));
        }
    }

    /// Gives the time since the configuration was known to be the newest; none if it never was.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.current_at.map(|at| now.since(at))
    }

    /// Says whether keys of the configuration still hold, where one that is withdrawn must not
    /// be used later than `max` after that.
    pub fn is_fresh(&self, max: Duration, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < max)
    }
}

#[cfg(test)]
mod tests;
