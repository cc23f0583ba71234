//! Whether an endpoint deserves new requests, on the evidence of its answers.
//!
//! Load pattern: endpoints crash without a word, fall silent with connections
//! open, or fail part of their requests while their health check is good. An
//! endpoint is passed over after failures and tried again by single requests.

use std::time::Duration;

use crate::time::Timestamp;

/// What one more answer weighs in the share of failures.
const FAILURE_SMOOTHING: f64 = 0.2;
/// The share of failures from which an endpoint is passed over.
const FAILURE_RATE_MAX: f64 = 0.5;
/// For how long it is passed over at first; each failure in a row doubles it.
const PAUSE_INITIAL: Duration = Duration::from_millis(400);
/// The longest time for which it is passed over: below an engine's usual restart of 4 s.
const PAUSE_MAX: Duration = Duration::from_millis(1_600);
/// Silence beyond what was expected after which an endpoint is suspect.
const SILENCE_MAX: Duration = Duration::from_millis(350);
/// The same after which work there is given up for another endpoint: an engine that is
/// only behind would have begun by then.
const LOST_AFTER: Duration = Duration::from_millis(1_000);

/// What is known of one endpoint's health.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    failure_rate: f64,
    consecutive_failures: u32,
    paused_until: Timestamp,
    last_byte_at: Timestamp,
    /// When the oldest of the answers that are waited for should have begun.
    answer_due_at: Option<Timestamp>,
}

impl Health {
    /// Notes any byte of an answer.
    pub(crate) fn on_byte(&mut self, now: Timestamp) {
        self.last_byte_at = now;
    }

    /// Notes when the next answer should begin.
    pub(crate) fn expect_answer(&mut self, due_at: Option<Timestamp>) {
        self.answer_due_at = due_at;
    }

    pub(crate) fn on_success(&mut self) {
        self.failure_rate *= 1.0 - FAILURE_SMOOTHING;
        self.consecutive_failures = 0;
    }

    /// Notes an answer that says that the work failed.
    pub(crate) fn on_error_answer(&mut self, now: Timestamp) {
        self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate);
        if self.failure_rate > FAILURE_RATE_MAX {
            self.pause(now);
        }
    }

    /// Notes a connection that could not be made or that broke.
    pub(crate) fn on_connection_failure(&mut self, now: Timestamp, is_connect_failure: bool) {
        self.failure_rate += FAILURE_SMOOTHING * (1.0 - self.failure_rate);
        if is_connect_failure || self.failure_rate > FAILURE_RATE_MAX {
            self.pause(now);
        }
    }

    /// Says whether work there should be given up, since nothing comes any more.
    pub(crate) fn is_lost(&self, now: Timestamp) -> bool {
        self.silence(now) > LOST_AFTER
    }

    /// Gives the time for which the endpoint has owed an answer and sent no byte.
    fn silence(&self, now: Timestamp) -> Duration {
        let due_at = self
            .answer_due_at
            .map(|due_at| due_at.max(self.last_byte_at));
        due_at.map_or(Duration::ZERO, |due_at| now.since(due_at))
    }

    /// Says whether new requests should go elsewhere.
    pub(crate) fn is_suspect(&self, now: Timestamp) -> bool {
        now < self.paused_until || self.silence(now) > SILENCE_MAX
    }

    /// Says whether it gave a sign of life lately.
    pub(crate) fn received_byte_within(&self, now: Timestamp, window: Duration) -> bool {
        self.last_byte_at > Timestamp::default() && now.since(self.last_byte_at) < window
    }

    /// Gives the share of failures among the latest answers, from 0 to 1.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    fn pause(&mut self, now: Timestamp) {
        let doubled = PAUSE_INITIAL * 2_u32.saturating_pow(self.consecutive_failures.min(8));
        self.paused_until = now + doubled.min(PAUSE_MAX);
        self.consecutive_failures += 1;
    }
}

#[cfg(test)]
mod tests;
