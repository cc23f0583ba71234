//! Paces the requests of one router to one endpoint within its part of the limit.
//!
//! Routers that divide a limit learn of changes at different times. A part that shrinks holds at
//! once; one that grows holds only after the others have had time to shrink theirs, so that the
//! parts in use never add up to much more than the limit.

use std::time::Duration;

use super::parts::Part;
use crate::time::Timestamp;

/// How long a larger part must have been due before it is used: several times the interval of
/// digests.
pub(super) const RAISE_DELAY: Duration = Duration::from_millis(500);
/// Requests beyond the part, such as questions that can't wait, for which later ones make up.
const DEBT_MAX_REQUESTS: f64 = 4.0;

/// A larger part that is due but not in use yet.
#[derive(Debug, Clone, Copy)]
struct Raise {
    due_since: Timestamp,
    /// The smallest part since then.
    least: Part,
}

/// The part of one router in one endpoint's limit, and how much of it is left.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    part: Part,
    /// Requests that may be sent now; negative after requests beyond the part.
    left: f64,
    updated_at: Timestamp,
    raise: Option<Raise>,
}

impl Pace {
    /// Starts with a part of which one request may be sent at once.
    pub(super) fn new(part: Part, now: Timestamp) -> Self {
        Self {
            part,
            left: part.per_s.min(1.0),
            updated_at: now,
            raise: None,
        }
    }

    /// Starts without a part; a larger one is used after [`RAISE_DELAY`].
    pub(super) fn held(now: Timestamp) -> Self {
        Self::new(Part::default(), now)
    }

    /// Starts with a part of which nothing is left.
    pub(super) fn empty(part: Part, now: Timestamp) -> Self {
        Self {
            left: 0.0,
            ..Self::new(part, now)
        }
    }

    /// Sets the part that is due.
    pub(super) fn set_part(&mut self, due: Part, now: Timestamp) {
        self.refill(now);
        if due.per_s <= self.part.per_s {
            self.raise = None;
            self.use_part(due);
            return;
        }
        let raise = self.raise.get_or_insert(Raise {
            due_since: now,
            least: due,
        });
        if due.per_s < raise.least.per_s {
            raise.least = due;
        }
        if now.since(raise.due_since) >= RAISE_DELAY {
            let least = raise.least;
            self.raise = None;
            self.use_part(least);
        }
    }

    fn use_part(&mut self, part: Part) {
        self.part = part;
        self.left = self
            .left
            .min(if part.per_s > 0.0 { part.burst } else { 0.0 });
    }

    /// Returns whether a request may be sent.
    pub(super) fn allows(&self, now: Timestamp) -> bool {
        self.part.per_s > 0.0 && self.left_at(now) >= 1.0
    }

    /// Returns the time until a request may be sent; `None` without a part.
    pub(super) fn wait(&self, now: Timestamp) -> Option<Duration> {
        let missing = (1.0 - self.left_at(now)).max(0.0);
        (self.part.per_s > 0.0).then(|| Duration::from_secs_f64(missing / self.part.per_s))
    }

    /// Returns how scarce requests are: 1 if the last one is left, 0 if more would be lost unused.
    pub(super) fn scarcity(&self, now: Timestamp) -> f64 {
        let spare = self.part.burst - self.left_at(now);
        (spare / (self.part.burst - 1.0).max(f64::EPSILON)).clamp(0.0, 1.0)
    }

    /// Returns the number of requests per second that may be sent.
    pub(super) fn per_s(&self) -> f64 {
        self.part.per_s
    }

    /// Counts a request, whether it was allowed or not.
    pub(super) fn charge(&mut self, now: Timestamp) {
        self.refill(now);
        self.left = (self.left - 1.0).max(-DEBT_MAX_REQUESTS);
    }

    fn refill(&mut self, now: Timestamp) {
        self.left = self.left_at(now);
        self.updated_at = now;
    }

    fn left_at(&self, now: Timestamp) -> f64 {
        let refilled = self.left + self.part.per_s * now.since(self.updated_at).as_secs_f64();
        refilled.min(self.part.burst)
    }
}

#[cfg(test)]
mod tests;
