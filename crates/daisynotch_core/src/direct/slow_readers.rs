//! Decides which stream is closed when callers read slowly, and whether a caller caused a cut.
//!
//! Load pattern: a tenth of the callers read a byte now and then. Their streams hold memory that
//! the responses of others need, and endpoints cut responses that stay unread for some seconds.
//! See `docs/design/slow-readers.md`.

use std::time::Duration;

/// How long bytes must have waited for a caller before its stream may be closed for others: longer
/// than a throttled process or a lost packet keeps a caller that reads normally waiting.
const SLOW_AFTER: Duration = Duration::from_secs(1);
/// For how long a router must have left an endpoint's bytes unread to be the cause of a cut:
/// endpoints wait for some seconds, and the router may see only a part of that time.
const CAUSES_CUT_AFTER: Duration = Duration::from_secs(1);
/// For how long a router must wait for an endpoint, in all, before nothing that the endpoint sent
/// is taken to be unread. A throttled process is late by a tenth of a second several times in a row.
const CAUGHT_UP_AFTER: Duration = Duration::from_millis(500);

/// What a stream keeps in memory for its caller.
#[daisynotch_macros::value]
#[derive(Copy, Default)]
pub struct UnreadStream {
    /// The memory that the bytes take.
    pub bytes: usize,
    /// How long the oldest of them have waited.
    pub unread_for: Duration,
}

impl UnreadStream {
    /// Returns the memory multiplied by the time for which others did without it.
    fn cost(&self) -> u128 {
        self.bytes as u128 * self.unread_for.as_millis()
    }
}

/// Returns the stream to close when others need the memory: the one with the largest product of
/// memory and time, if its caller reads slowly at all.
pub fn stream_to_close<I>(streams: impl IntoIterator<Item = (I, UnreadStream)>) -> Option<I> {
    let slow = streams
        .into_iter()
        .filter(|(_, stream)| stream.bytes > 0 && stream.unread_for >= SLOW_AFTER);
    let costliest = slow.max_by_key(|(_, stream)| stream.cost());
    costliest.map(|(id, _)| id)
}

/// For how long a router has left an endpoint's bytes unread, because the caller did not read.
#[derive(Debug, Default)]
pub struct UnreadTime {
    unread_for: Duration,
    /// Time spent waiting for the endpoint since then.
    waited: Duration,
}

impl UnreadTime {
    /// Notes that nothing was read from the endpoint for `duration`.
    pub fn on_blocked(&mut self, duration: Duration) {
        self.unread_for += duration;
        self.waited = Duration::ZERO;
    }

    /// Notes that the router waited for bytes of the endpoint for `duration`.
    pub fn on_waited(&mut self, duration: Duration) {
        self.waited += duration;
        if self.waited >= CAUGHT_UP_AFTER {
            self.unread_for = Duration::ZERO;
        }
    }

    /// Returns whether the endpoint may have cut the response because it stayed unread.
    pub fn explains_cut(&self) -> bool {
        self.unread_for >= CAUSES_CUT_AFTER
    }
}

#[cfg(test)]
mod tests;
