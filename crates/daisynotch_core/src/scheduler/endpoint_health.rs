//! Whether an endpoint may get new work: reachable, and not slower than the others.
//!
//! Load reports of engines come seconds late, so that only what entries see of
//! running work counts. See `docs/design/slowed-endpoints.md`.

use std::time::Duration;

use crate::time::Timestamp;

/// How long an endpoint that was not reached gets nothing; doubles up to the longest.
const UNREACHABLE_PAUSE_MIN: Duration = Duration::from_millis(250);
const UNREACHABLE_PAUSE_MAX: Duration = Duration::from_secs(10);
/// How long a slow endpoint without news waits for a probe; doubles up to the longest.
const SLOW_PAUSE_MIN: Duration = Duration::from_millis(1_000);
const SLOW_PAUSE_MAX: Duration = Duration::from_secs(8);
/// A probe that nobody complained of for so long has succeeded.
const PROBE_QUIET: Duration = Duration::from_millis(500);

/// How an endpoint may be used now.
#[daisynotch_macros::value]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub(super) enum Fitness {
    /// For any work.
    Good,
    /// Only when no good endpoint has a slot, as it is slow.
    Slow,
    /// Not at all, as it was not reached.
    Unreachable,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Pause {
    fitness: Fitness,
    began: Timestamp,
    length: Duration,
    /// When one request was granted to find out.
    probed_at: Option<Timestamp>,
}

impl Pause {
    fn is_over(&self, now: Timestamp) -> bool {
        now.since(self.began) >= self.length
    }
}

/// What is known of one endpoint.
#[derive(Debug, Clone, Default)]
pub(super) struct EndpointHealth {
    pause: Option<Pause>,
}

impl EndpointHealth {
    /// Says how the endpoint may be used.
    pub(super) fn fitness(&self, now: Timestamp) -> Fitness {
        self.fitness_after(now, UNREACHABLE_PAUSE_MAX)
    }

    /// Says the same when no other endpoint is left: then a probe is due sooner.
    pub(super) fn fitness_alone(&self, now: Timestamp) -> Fitness {
        self.fitness_after(now, UNREACHABLE_PAUSE_MIN)
    }

    fn fitness_after(&self, now: Timestamp, pause_max: Duration) -> Fitness {
        let Some(pause) = self.pause else {
            return Fitness::Good;
        };
        let is_probed = pause
            .probed_at
            .is_some_and(|at| now.since(at) < PROBE_QUIET);
        if is_probed || now.since(pause.began) < pause.length.min(pause_max) {
            return pause.fitness;
        }
        Fitness::Good
    }

    /// Says whether the endpoint was not reached last time.
    pub(super) fn is_unreachable(&self) -> bool {
        self.pause
            .is_some_and(|pause| pause.fitness == Fitness::Unreachable)
    }

    /// Says whether the endpoint is paused, also when a probe is due.
    pub(super) fn is_paused(&self) -> bool {
        self.pause.is_some()
    }

    /// Takes in that a request was granted a slot here.
    pub(super) fn on_granted(&mut self, now: Timestamp) {
        if let Some(pause) = &mut self.pause
            && (pause.fitness == Fitness::Unreachable || pause.is_over(now))
        {
            pause.probed_at.get_or_insert(now);
        }
    }

    /// Takes in that a request was sent here and the endpoint was not reached.
    pub(super) fn on_unreachable(&mut self, now: Timestamp) {
        self.extend(
            Fitness::Unreachable,
            UNREACHABLE_PAUSE_MIN,
            UNREACHABLE_PAUSE_MAX,
            now,
        );
    }

    /// Takes in that a request waits too long for a token here.
    pub(super) fn on_slow(&mut self, now: Timestamp) {
        match self.pause.map(|pause| pause.fitness) {
            Some(Fitness::Unreachable) => self.on_unreachable(now),
            Some(Fitness::Slow | Fitness::Good) | None => {
                self.extend(Fitness::Slow, SLOW_PAUSE_MIN, SLOW_PAUSE_MAX, now);
            }
        }
    }

    /// Takes in that a request is answered as fast as it should.
    pub(super) fn on_good(&mut self) {
        self.pause = None;
    }

    /// Takes in that the endpoint answered, at whatever speed.
    pub(super) fn on_reached(&mut self) {
        self.pause = self
            .pause
            .filter(|pause| pause.fitness != Fitness::Unreachable);
    }

    /// Takes in that a slot was given back without news of the endpoint.
    pub(super) fn on_no_news(&mut self) {
        if let Some(pause) = &mut self.pause
            && pause.probed_at.take().is_some()
        {
            pause.length = Duration::ZERO;
        }
    }

    /// Starts a pause, or doubles it when it was to end; further news within it change nothing.
    fn extend(&mut self, fitness: Fitness, min: Duration, max: Duration, now: Timestamp) {
        let length = match self.pause {
            Some(pause) if pause.fitness != fitness => min,
            Some(pause) if pause.probed_at.is_some() || pause.is_over(now) => {
                (pause.length * 2).clamp(min, max)
            }
            Some(_) => return,
            None => min,
        };
        self.pause = Some(Pause {
            fitness,
            length,
            began: now,
            probed_at: None,
        });
    }
}

#[cfg(test)]
mod tests;
