//! Passive health checking: infers from answers whether an endpoint should get new requests.
//!
//! Endpoints crash without closing connections, stop sending while connections stay open, or
//! fail some of their requests while their health check passes. After failures an endpoint is
//! passed over and probed with single requests.

use std::time::Duration;

use crate::time::Timestamp;

/// Smoothing factor of the moving average of failures.
const FAILURE_SMOOTHING: f64 = 0.2;
/// Failure rate above which an endpoint is passed over.
const FAILURE_RATE_MAX: f64 = 0.5;
/// How long an endpoint is first passed over; each consecutive failure doubles the pause.
const PAUSE_INITIAL: Duration = Duration::from_millis(400);
/// Upper bound of that pause: below the usual restart time of an engine, 4 s.
const PAUSE_MAX: Duration = Duration::from_millis(1_600);
/// Silence after an answer is due that makes an endpoint suspect.
const SILENCE_MAX: Duration = Duration::from_millis(350);
/// Silence after an answer is due that makes requests move to another endpoint: an engine that
/// is only slow would have begun to answer by then.
const LOST_AFTER: Duration = Duration::from_millis(1_000);

/// The health of one endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    failure_rate: f64,
    consecutive_failures: u32,
    paused_until: Timestamp,
    last_byte_at: Timestamp,
    /// The earliest time by which an outstanding answer should begin.
    answer_due_at: Option<Timestamp>,
}

impl Health {
    /// Records that bytes of an answer arrived.
    pub(crate) fn on_byte(&mut self, now: Timestamp) {
        self.last_byte_at = now;
    }

    /// Sets the time by which the next answer should begin; `None` if none is outstanding.
    pub(crate) fn expect_answer(&mut self, due_at: Option<Timestamp>) {
        self.answer_due_at = due_at;
    }

    /// Records a complete answer.
    pub(crate) fn on_success(&mut self) {
        self.failure_rate *= 1.0 - FAILURE_SMOOTHING;
        self.consecutive_failures = 0;
    }

    /// Records an answer that reports a failure or refuses the request.
    pub(crate) fn on_error_answer(&mut self, now: Timestamp) {
        self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate);
        if self.failure_rate > FAILURE_RATE_MAX {
            self.pause(now);
        }
    }

    /// Records a connection that broke or, with `is_connect_failure`, could not be opened.
    pub(crate) fn on_connection_failure(&mut self, now: Timestamp, is_connect_failure: bool) {
        self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate);
        if is_connect_failure || self.failure_rate > FAILURE_RATE_MAX {
            self.pause(now);
        }
    }

    /// Returns whether outstanding requests should move elsewhere because nothing arrives any more.
    pub(crate) fn is_lost(&self, now: Timestamp) -> bool {
        self.silence(now) > LOST_AFTER
    }

    /// Returns how long an answer has been overdue without any byte from the endpoint.
    fn silence(&self, now: Timestamp) -> Duration {
        let due_at = self
            .answer_due_at
            .map(|due_at| due_at.max(self.last_byte_at));
        due_at.map_or(Duration::ZERO, |due_at| now.since(due_at))
    }

    /// Returns whether new requests should go elsewhere.
    pub(crate) fn is_suspect(&self, now: Timestamp) -> bool {
        now < self.paused_until || self.silence(now) > SILENCE_MAX
    }

    /// Returns whether the endpoint sent a byte within `window`.
    pub(crate) fn received_byte_within(&self, now: Timestamp, window: Duration) -> bool {
        self.last_byte_at > Timestamp::default() && now.since(self.last_byte_at) < window
    }

    /// Returns the moving average of failures, from 0 to 1.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn pause(&mut self, now: Timestamp) {
        let backoff = PAUSE_INITIAL * 2_u32.saturating_pow(self.consecutive_failures.min(8));
        self.paused_until = now + backoff.min(PAUSE_MAX);
        self.consecutive_failures += 1;
    }
}

#[cfg(test)]
mod tests;
