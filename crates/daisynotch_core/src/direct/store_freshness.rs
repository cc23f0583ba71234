//! Decides when a router that waits in a watch asks the store on a new connection.
//!
//! Load pattern: the open connections between all routers and the store go silent at the same moment,
//! while something in between still acknowledges their bytes. Each watch would end only with its own
//! timeout, seconds after a key was withdrawn. See `docs/design/silent-connections.md`.

use std::time::Duration;

/// Age of the latest read of the store, by any router, at which the first reader asks. With the way to
/// all routers it leaves changes in force within two seconds.
const READ_AGE_MAX: Duration = Duration::from_millis(800);
/// How much later each further reader asks, so that one call is enough as a rule.
const RANK_DELAY: Duration = Duration::from_millis(150);

/// Returns the time until a reader asks, or `None` if it should ask now. `read_age` is the time since
/// any router read the store, as far as this one knows, and `rank` the number of readers before it.
pub fn time_until_recheck(read_age: Duration, rank: usize) -> Option<Duration> {
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    let due_at = READ_AGE_MAX + RANK_DELAY.saturating_mul(rank);
    let left = due_at.saturating_sub(read_age);
    (!left.is_zero()).then_some(left)
}

#[cfg(test)]
mod tests;
