//! Tracks whether an endpoint is reachable and not slower than the others.
//!
//! Only the latency that entries observe on running work counts, because load reports of
//! engines arrive seconds late. See `docs/design/slowed-endpoints.md`.

use std::time::Duration;

use crate::time::Timestamp;

/// The initial backoff of an unreachable endpoint; doubles up to [`UNREACHABLE_PAUSE_MAX`].
const UNREACHABLE_PAUSE_MIN: Duration = Duration::from_millis(250);
/// The longest backoff of an unreachable endpoint.
const UNREACHABLE_PAUSE_MAX: Duration = Duration::from_secs(10);
/// The initial time until a slow endpoint without reports is probed; doubles up to
/// [`SLOW_PAUSE_MAX`].
const SLOW_PAUSE_MIN: Duration = Duration::from_millis(1_000);
/// The longest time until a slow endpoint is probed.
const SLOW_PAUSE_MAX: Duration = Duration::from_secs(8);
/// A probe succeeds if no problem is reported for this long.
const PROBE_QUIET: Duration = Duration::from_millis(500);

/// The health of an endpoint, which decides what work it may get.
#[daisynotch_macros::value]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub(super) enum Health {
    /// The endpoint may get any work.
    Healthy,
    /// The endpoint is slow and gets work only if no healthy endpoint has a free slot.
    Slow,
    /// The endpoint was not reached and gets no work.
    Unreachable,
}

/// A period in which an endpoint gets less work or none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pause {
    health: Health,
    started_at: Timestamp,
    length: Duration,
    /// Whether a running stream reported the slowness; it also reports the recovery.
    reported_by_stream: bool,
    /// When one request was granted as a probe.
    probed_at: Option<Timestamp>,
}

impl Pause {
    /// Returns whether a probe succeeded: a problem would have been reported by now.
    fn has_passed_probe(&self, now: Timestamp) -> bool {
        self.probed_at
            .is_some_and(|at| now.since(at) >= PROBE_QUIET)
    }

    fn is_over(&self, now: Timestamp) -> bool {
        now.since(self.started_at) >= self.length
    }
}

/// The observed health of an endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct EndpointHealth {
    pause: Option<Pause>,
    /// When the endpoint was last observed to be slow.
    slow_at: Option<Timestamp>,
}

impl EndpointHealth {
    /// Returns the health of an endpoint that runs this many requests.
    ///
    /// Running streams report when a slow endpoint recovers, so no request is put at risk
    /// as a probe while they run.
    pub(super) fn health(&self, running: u32, now: Timestamp) -> Health {
        let awaits_stream_report = self.pause.is_some_and(|pause| {
            pause.reported_by_stream && running > 0 && now.since(pause.started_at) < SLOW_PAUSE_MAX
        });
        if awaits_stream_report {
            return Health::Slow;
        }
        self.health_with_pause_max(now, UNREACHABLE_PAUSE_MAX)
    }

    /// Returns the health if no other endpoint is left, in which case a probe is due sooner.
    pub(super) fn health_as_last_resort(&self, now: Timestamp) -> Health {
        self.health_with_pause_max(now, UNREACHABLE_PAUSE_MIN)
    }

    fn health_with_pause_max(&self, now: Timestamp, pause_max: Duration) -> Health {
        let Some(pause) = self.pause.filter(|pause| !pause.has_passed_probe(now)) else {
            return Health::Healthy;
        };
        if pause.probed_at.is_some() || now.since(pause.started_at) < pause.length.min(pause_max) {
            return pause.health;
        }
        Health::Healthy
    }

    /// Returns whether the last attempt to reach the endpoint failed.
    pub(super) fn is_unreachable(&self) -> bool {
        self.pause
            .is_some_and(|pause| pause.health == Health::Unreachable)
    }

    /// Returns whether the endpoint is paused, even if a probe is due.
    pub(super) fn is_paused(&self, now: Timestamp) -> bool {
        self.pause.is_some_and(|pause| !pause.has_passed_probe(now))
    }

    /// Records a grant; it is the probe if the endpoint was due for one.
    pub(super) fn on_granted(&mut self, now: Timestamp) {
        if let Some(pause) = &mut self.pause
            && (pause.health == Health::Unreachable || pause.is_over(now))
        {
            pause.probed_at.get_or_insert(now);
        }
    }

    /// Records that a request could not reach the endpoint.
    pub(super) fn on_unreachable(&mut self, now: Timestamp) {
        self.extend(
            Health::Unreachable,
            UNREACHABLE_PAUSE_MIN,
            UNREACHABLE_PAUSE_MAX,
            now,
        );
    }

    /// Returns whether the endpoint was slow at any time since `then`.
    pub(super) fn was_slow_since(&self, then: Timestamp) -> bool {
        self.slow_at.is_some_and(|at| at >= then)
    }

    /// Records that a request waits too long for a token.
    pub(super) fn on_slow(&mut self, reported_by_stream: bool, now: Timestamp) {
        self.slow_at = Some(now);
        match self.pause.map(|pause| pause.health) {
            Some(Health::Unreachable) => self.on_unreachable(now),
            Some(Health::Slow | Health::Healthy) | None => {
                self.extend(Health::Slow, SLOW_PAUSE_MIN, SLOW_PAUSE_MAX, now);
            }
        }
        if let Some(pause) = &mut self.pause {
            pause.reported_by_stream |= reported_by_stream;
        }
    }

    /// Records that a request is answered at normal speed.
    pub(super) fn on_normal_speed(&mut self, now: Timestamp) {
        if self.pause.take().is_some() {
            self.slow_at = Some(now);
        }
    }

    /// Records that the endpoint answered, at any speed.
    pub(super) fn on_reached(&mut self) {
        self.pause = self
            .pause
            .filter(|pause| pause.health != Health::Unreachable);
    }

    /// Records the release of a slot that tells nothing about the endpoint.
    ///
    /// If the slot was for a probe, the next probe is due immediately.
    pub(super) fn on_no_observation(&mut self) {
        if let Some(pause) = &mut self.pause
            && pause.probed_at.take().is_some()
        {
            pause.length = Duration::ZERO;
        }
    }

    /// Starts a pause, or doubles one that has ended or whose probe failed.
    ///
    /// Further reports within a pause change nothing.
    fn extend(&mut self, health: Health, min: Duration, max: Duration, now: Timestamp) {
        let is_active = |pause: &Pause| !pause.has_passed_probe(now);
        let length = match self.pause.filter(is_active) {
            Some(pause) if pause.health != health => min,
            Some(pause) if pause.probed_at.is_some() || pause.is_over(now) => {
                (pause.length * 2).clamp(min, max)
            }
            Some(_) => return,
            None => min,
        };
        self.pause = Some(Pause {
            health,
            started_at: now,
            length,
            reported_by_stream: false,
            probed_at: None,
        });
    }
}

#[cfg(test)]
mod tests;
