//! Bounds how long a message between routers was on its way, without synchronized clocks.
//!
//! A message that reports the age of a fact is delayed by the network, by queues, and by a receiver
//! that is slow or paused. Without that time, each hop makes the fact younger, and routers that hear
//! only each other renew it for as long as they are cut off. Each message therefore returns an
//! echo of the latest message from its receiver. The echoed message was written before this one was,
//! so the time since then, less the time for which the sender held the echo, is at least the time
//! that this message was on its way. See `docs/design/exchange.md`.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::message::Incarnation;
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::Timestamp;

/// Bound on the way above which the sender gets a new message to echo: an old echo includes a delay
/// that may be over.
const USUAL_TRANSIT_MAX: Duration = Duration::from_millis(150);
/// Minimum time between two such messages to the same router.
const REPLY_INTERVAL: Duration = Duration::from_millis(500);
/// How long a message is echoed.
const ECHO_TTL: Duration = Duration::from_secs(60);
/// Maximum difference between the rates of two clocks, as a fraction: 1 in 5,000.
const CLOCK_DRIFT_DIVISOR: u32 = 5_000;

/// The latest message that the sender of a message has read from its receiver.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct Echo {
    /// The receiver's start that wrote the echoed message.
    pub incarnation: Incarnation,
    /// When it was written, on the clock of that start.
    pub written_at: Timestamp,
    /// The time from reading the echoed message to writing this one, in microseconds.
    pub held_us: u64,
}

/// When a message between two routers was written.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct MessageTiming {
    /// When the message was written, on the sender's clock.
    pub written_at: Timestamp,
    /// The echo of the receiver's latest message, if there is one.
    pub echo: Option<Echo>,
}

/// The latest message that was read from another router.
#[derive(Debug, Clone, Copy)]
struct ReadMessage {
    incarnation: Incarnation,
    written_at: Timestamp,
    read_at: Timestamp,
}

/// The messages of other routers that are echoed, and the routers that lack one to echo.
#[derive(Debug, Default)]
pub struct RoundTrips {
    read: HashMap<SocketAddr, ReadMessage>,
    /// When each router that lacked a message to echo last got one.
    replied: HashMap<SocketAddr, Timestamp>,
    due_replies: Vec<SocketAddr>,
}

impl RoundTrips {
    /// Returns the timing of a message that is written now.
    pub fn timing_for(&self, receiver: SocketAddr, now: Timestamp) -> MessageTiming {
        let echo = self.read.get(&receiver).map(|read| {
            let held = now.since(read.read_at);
            // A fast clock must not make the way look shorter than it was.
            let held = held.saturating_sub(held / CLOCK_DRIFT_DIVISOR);
            Echo {
                incarnation: read.incarnation,
                written_at: read.written_at,
                held_us: u64::try_from(held.as_micros()).unwrap_or(0),
            }
        });
        MessageTiming {
            written_at: now,
            echo,
        }
    }

    /// Records a message that was read now. Returns an upper bound on the time since it was
    /// written, or `None` if its sender has read no message of this start.
    pub fn on_message(
        &mut self,
        sender: SocketAddr,
        sender_incarnation: Incarnation,
        timing: &MessageTiming,
        own_incarnation: Incarnation,
        now: Timestamp,
    ) -> Option<Duration> {
        let read = ReadMessage {
            incarnation: sender_incarnation,
            written_at: timing.written_at,
            read_at: now,
        };
        self.read.insert(sender, read);
        let echo = timing
            .echo
            .filter(|echo| echo.incarnation == own_incarnation);
        let transit = echo.map(|echo| {
            let since_written = now.since(echo.written_at);
            since_written.saturating_sub(Duration::from_micros(echo.held_us))
        });
        let needs_reply = transit.is_none_or(|transit| transit > USUAL_TRANSIT_MAX);
        let replied_at = self.replied.get(&sender);
        if needs_reply && replied_at.is_none_or(|at| now.since(*at) >= REPLY_INTERVAL) {
            self.replied.insert(sender, now);
            self.due_replies.push(sender);
        }
        if is_seeded(SeededFault::IgnoreTransit) {
            return Some(Duration::ZERO);
        }
        if is_seeded(SeededFault::AssumeNoTransit) {
            return transit.or(Some(Duration::ZERO));
        }
        transit
    }

    /// Returns the routers that should get a message in this round, so that they can echo it, and
    /// drops what is too old to be echoed.
    pub fn take_due_replies(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        self.read
            .retain(|_, read| now.since(read.read_at) < ECHO_TTL);
        self.replied.retain(|_, at| now.since(*at) < REPLY_INTERVAL);
        std::mem::take(&mut self.due_replies)
    }
}

#[cfg(test)]
mod tests;
