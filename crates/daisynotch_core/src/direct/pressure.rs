//! Load shedding of a router whose processor can't keep up.
//!
//! A large team's callers may all connect to one router, at several times the rate that it can
//! serve. Some move on once their connections are closed and the router's address is no longer
//! handed out. Others reconnect to the same address whatever they are told, and each new
//! connection costs as much as a request.

use std::time::Duration;

use crate::time::Timestamp;

/// Largest lag of a timer tick that counts as on time: a small fraction of the objectives of streams.
const LAG_MAX: Duration = Duration::from_millis(60);
/// Lag of a single tick that counts as a stall of the process and not as overload: several times
/// the processor quota period of 100 ms. Overload reaches such a lag only gradually.
const STALL_MIN: Duration = Duration::from_millis(300);
/// Factor applied to the admitted fraction of requests at each late tick.
const ADMITTED_DECREASE: f64 = 0.85;
/// Increase of the admitted fraction at each tick on time: from its minimum to 1 in 2.5 s.
const ADMITTED_INCREASE: f64 = 0.01;
/// Lower bound of the admitted fraction, so that some requests are read and it can recover.
const ADMITTED_MIN: f64 = 0.05;
/// How long a router stays crowded after the last sign of pressure: callers that stick to its
/// address come back as soon as that is handed out again.
const CROWDED_MIN: Duration = Duration::from_secs(6);

/// Time within which callers that can move to another router have done so: they look up addresses
/// anew after 1 s, and requests last about as long.
const CALLER_MOVE_TIME: Duration = Duration::from_secs(2);
/// Period in which an overloaded router accepts connections for a part of the time: several
/// times within the connect timeout of callers, 1 s.
const ACCEPT_PERIOD: Duration = Duration::from_millis(200);

/// Tracks whether one router is overloaded.
///
/// A router is crowded while it is overloaded and for some seconds after that. Callers are then
/// directed to other routers.
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
    /// Records the lag of the latest tick; returns whether the router became or ceased to be
    /// crowded.
    ///
    /// `is_overdrawn` says that there are too many connections or requests for another reason.
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

    /// Returns whether the router carries more load than it should.
    pub fn is_crowded(&self) -> bool {
        self.crowded_since.is_some()
    }

    /// Returns how long to accept no connections, if this router is still overloaded after
    /// callers that can move to another router have had the time to.
    ///
    /// Refusing a request costs the set-up of a connection, a third of the cost of serving one.
    pub fn accept_pause(&self, now: Timestamp) -> Option<Duration> {
        if !self.is_crowded_persistently(now) {
            return None;
        }
        let period_us = ACCEPT_PERIOD.as_micros() as u64;
        let phase = Duration::from_micros(now.0 % period_us);
        let is_open = phase <= ACCEPT_PERIOD.mul_f64(self.admitted_fraction);
        (!is_open).then(|| ACCEPT_PERIOD - phase)
    }

    /// Returns whether the router is still crowded after callers had the time to move.
    fn is_crowded_persistently(&self, now: Timestamp) -> bool {
        self.crowded_since
            .is_some_and(|since| now.since(since) >= CALLER_MOVE_TIME)
    }

    /// Returns whether to refuse a request unread because the process is overloaded; `draw` is
    /// uniform between 0 and 1.
    pub fn should_shed(&self, draw: f64, now: Timestamp) -> bool {
        draw > self.admitted_fraction && !self.is_crowded_persistently(now)
    }

    /// Returns whether to close a caller's connection so that it reconnects to another router.
    ///
    /// A caller that connected while this router's address was not handed out had returned to it
    /// on its own, and would do so again.
    pub fn should_reconnect(&self, connected_at: Timestamp) -> bool {
        self.crowded_since.is_some_and(|since| connected_at < since)
    }
}

#[cfg(test)]
mod tests;
