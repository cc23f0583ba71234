//! Decides whether the peer of a TCP connection is gone or only slow to read.
//!
//! Load pattern: callers stop reading for seconds, and endpoints read an upload late, while some
//! hosts vanish without closing their connections. A slow peer closes its receive window but
//! acknowledges what it gets; a peer that is gone acknowledges nothing, however often the kernel
//! sends. See `docs/design/slow-readers.md`.

use std::time::Duration;

use crate::time::Timestamp;

/// Interval between two reports on a connection on which not everything is acknowledged.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The same while nothing of what was sent last is acknowledged: often enough that the kernel sends
/// again after the first of these reports and before the peer counts as gone.
const SILENT_INTERVAL: Duration = Duration::from_millis(500);
/// The same once the peer has been silent for long enough to be gone.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(100);
/// Number of unanswered probes of a closed window after which the peer is gone: one or two may be
/// lost on the way.
const PROBES_UNANSWERED_MAX: u32 = 3;

/// What the kernel reports of the data sent on a connection.
#[daisynotch_macros::value]
#[derive(Copy, Default)]
pub struct TransmissionReport {
    /// Whether data was sent that the peer has not acknowledged.
    pub has_unacknowledged: bool,
    /// Whether data waits for room in the peer's receive window.
    pub has_unsent: bool,
    /// Number of bytes that the peer has acknowledged since the connection was opened.
    pub acknowledged_bytes: u64,
    /// When data was sent and acknowledged, if the kernel says so.
    pub ages: Option<TransmissionAges>,
    /// Number of segments sent again since the connection was opened.
    pub retransmissions: u32,
    /// Number of probes of the closed window since the peer's last acknowledgement.
    pub unanswered_probes: u32,
}

/// When data was last sent and acknowledged.
#[daisynotch_macros::value]
#[derive(Copy, Default)]
pub struct TransmissionAges {
    /// Time since data was last sent, for the first time or again.
    pub last_sent: Duration,
    /// Time since the peer last acknowledged anything, if only that its window is closed.
    pub last_ack: Duration,
}

impl TransmissionAges {
    fn is_answered(&self) -> bool {
        self.last_ack <= self.last_sent
    }
}

/// What a report says about the peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// The peer has acknowledged everything. The next report is due after the next write.
    CaughtUp,
    /// The peer may be slow or gone; the next report is due after this time.
    Undecided(Duration),
    /// The peer acknowledges nothing.
    Gone,
}

/// A time in which the peer has answered nothing that was sent.
#[derive(Debug)]
struct Unanswered {
    since: Timestamp,
    /// The first report in this time.
    first: TransmissionReport,
}

/// How long the peer of one connection has acknowledged nothing of what it was sent.
#[derive(Debug)]
pub struct PeerSilence {
    silence_max: Duration,
    /// When the first data was sent since the peer had acknowledged everything.
    sent_since: Option<Timestamp>,
    unanswered: Option<Unanswered>,
}

impl PeerSilence {
    /// Tracks a connection whose peer counts as gone after `silence_max`.
    pub fn new(silence_max: Duration) -> Self {
        Self {
            silence_max,
            sent_since: None,
            unanswered: None,
        }
    }

    /// Notes that data was sent. Returns when the next report is due, unless one is due
    /// already.
    pub fn on_sent(&mut self, now: Timestamp) -> Option<Duration> {
        if self.sent_since.is_some() {
            return None;
        }
        self.sent_since = Some(now);
        Some(CHECK_INTERVAL)
    }

    /// Processes a report.
    pub fn on_report(&mut self, report: &TransmissionReport, now: Timestamp) -> PeerState {
        if !report.has_unacknowledged && !report.has_unsent {
            self.sent_since = None;
            self.unanswered = None;
            return PeerState::CaughtUp;
        }
        let last_ack = report.ages.map(|ages| ages.last_ack);
        if report.unanswered_probes >= PROBES_UNANSWERED_MAX
            && last_ack.is_none_or(|age| age >= self.silence_max)
        {
            return PeerState::Gone;
        }
        let is_answered = report.ages.is_some_and(|ages| ages.is_answered());
        if !report.has_unacknowledged || is_answered {
            self.unanswered = None;
            return PeerState::Undecided(CHECK_INTERVAL);
        }
        let is_new = |unanswered: &mut Unanswered| {
            unanswered.first.acknowledged_bytes != report.acknowledged_bytes
        };
        self.unanswered.take_if(is_new);
        let unanswered = self.unanswered.get_or_insert_with(|| Unanswered {
            since: last_ack.map_or(now, |age| (now - age).max(self.sent_since.unwrap_or(now))),
            first: *report,
        });
        let silent_for = now.since(unanswered.since);
        if silent_for < self.silence_max {
            let left = self.silence_max - silent_for;
            return PeerState::Undecided(left.clamp(CONFIRM_INTERVAL, SILENT_INTERVAL));
        }
        // A peer with a closed window is sent to ever more rarely, so that a single loss lasts
        // for seconds. Something must have been sent again since the silence was noticed, and
        // must have had the time to be answered.
        let is_confirmed = report.ages.is_none_or(|ages| {
            report.retransmissions > unanswered.first.retransmissions
                && ages.last_sent >= CONFIRM_INTERVAL
        });
        if is_confirmed {
            PeerState::Gone
        } else {
            PeerState::Undecided(CONFIRM_INTERVAL)
        }
    }
}

#[cfg(test)]
mod tests;
