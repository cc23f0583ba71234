//! How a router that carries more than its processor can do sheds work.
//!
//! Load pattern: a large team's callers come to one router, at several times the rate that
//! it can serve. Some go elsewhere as soon as their connections end and it is no longer
//! given out; others come back to the same address whatever they are told, and each new
//! connection costs as much as a request.

use std::time::Duration;

use crate::time::Timestamp;

/// How late ticks may be: a small part of the objectives of streams.
const LAG_MAX: Duration = Duration::from_millis(60);
/// A lag that an overload reaches only step by step: a single one is a process that stood
/// still, by several times the quota period of 100 ms.
const STALL_MIN: Duration = Duration::from_millis(300);
/// What the share of requests that are read is multiplied by at each late tick.
const ADMITTED_DECREASE: f64 = 0.85;
/// What it grows by at each tick that is in time: from least to all in 2.5 s.
const ADMITTED_INCREASE: f64 = 0.01;
/// Its least value, from which the way back is found.
const ADMITTED_MIN: f64 = 0.05;
/// How long a router stays crowded once it was: callers that stay with one address come
/// back as soon as it is given out again.
const CROWDED_MIN: Duration = Duration::from_secs(6);

/// How soon callers that can go elsewhere have done so: their answer on where to connect
/// holds for 1 s, and requests last about as long.
const CALLER_MOVE_TIME: Duration = Duration::from_secs(2);
/// How often a router that is behind opens to new connections: several times within the
/// second that callers allow for one.
const ACCEPT_PERIOD: Duration = Duration::from_millis(200);

/// The pressure on one router.
#[derive(Debug)]
pub struct Pressure {
    admitted_fraction: f64,
    crowded_since: Option<Timestamp>,
    last_pressure_at: Timestamp,
    was_late: bool,
}

impl Default for Pressure {
    fn default() -> Self {
        Self {
            admitted_fraction: 1.0,
            crowded_since: None,
            last_pressure_at: Timestamp::default(),
            was_late: false,
        }
    }
}

impl Pressure {
    /// Takes the time by which the latest tick was late, and whether connections or requests
    /// are too many for another reason; says whether the router became or ceased to be crowded.
    pub fn on_tick(&mut self, lag: Duration, is_overdrawn: bool, now: Timestamp) -> bool {
        let is_stall = lag > STALL_MIN && !self.was_late;
        self.was_late = lag > LAG_MAX;
        let is_late = self.was_late && !is_stall;
        self.admitted_fraction = if is_late {
            (self.admitted_fraction * ADMITTED_DECREASE).max(ADMITTED_MIN)
        } else {
            (self.admitted_fraction + ADMITTED_INCREASE).min(1.0)
        };
        let was_crowded = self.is_crowded();
        if is_late || is_overdrawn {
            self.last_pressure_at = now;
            self.crowded_since.get_or_insert(now);
        } else if now.since(self.last_pressure_at) >= CROWDED_MIN {
            self.crowded_since = None;
        }
        was_crowded != self.is_crowded()
    }

    /// Says whether the router carries more than it should.
    pub fn is_crowded(&self) -> bool {
        self.crowded_since.is_some()
    }

    /// Gives the time for which no connection should be accepted, if this router is behind
    /// although callers that can go elsewhere have had the time to.
    ///
    /// A refusal costs a connection's set-up, a third of what serving a request does.
    pub fn accept_pause(&self, now: Timestamp) -> Option<Duration> {
        if !self.is_crowded_persistently(now) {
            return None;
        }
        let period_us = ACCEPT_PERIOD.as_micros() as u64;
        let phase = Duration::from_micros(now.0 % period_us);
        let is_open = phase <= ACCEPT_PERIOD.mul_f64(self.admitted_fraction);
        (!is_open).then(|| ACCEPT_PERIOD - phase)
    }

    fn is_crowded_persistently(&self, now: Timestamp) -> bool {
        self.crowded_since
            .is_some_and(|since| now.since(since) >= CALLER_MOVE_TIME)
    }

    /// Says whether a request is refused unread, since the process is behind; `draw` is
    /// uniform between 0 and 1.
    pub fn should_shed(&self, draw: f64, now: Timestamp) -> bool {
        draw > self.admitted_fraction && !self.is_crowded_persistently(now)
    }

    /// Says whether a caller should connect anew, so that it reaches another router.
    ///
    /// One that connected while this router was not given out came back to its address, and
    /// would come back again.
    pub fn should_reconnect(&self, connected_at: Timestamp) -> bool {
        self.crowded_since.is_some_and(|since| connected_at < since)
    }
}

#[cfg(test)]
mod tests;
