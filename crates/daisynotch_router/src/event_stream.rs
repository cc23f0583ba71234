//! Counts the server-sent events of a stream and detects its end.
//!
//! The router forwards events unchanged. It only counts them and looks for the end mark, the
//! `[DONE]` event, without which a response is incomplete. A line may be split over several
//! reads.

/// The `[DONE]` event, with which an engine ends a complete response.
const END_MARK: &[u8] = b"data: [DONE]";
/// The prefix of a line that carries an event.
const DATA_PREFIX: &[u8] = b"data:";
/// The number of bytes of a line that are buffered for comparison; the rest is skipped.
const LINE_PREFIX_BYTES: usize = 16;

/// Counts events and detects the `[DONE]` event.
#[derive(Debug, Default)]
pub(crate) struct EventStreamWatcher {
    line_prefix: Vec<u8>,
    events: u64,
    ended: bool,
}

impl EventStreamWatcher {
    /// Processes the next bytes; returns how many events they completed.
    pub(crate) fn observe(&mut self, bytes: &[u8]) -> u64 {
        let before = self.events;
        for byte in bytes {
            match byte {
                b'\n' => self.end_line(),
                _ if self.line_prefix.len() < LINE_PREFIX_BYTES => self.line_prefix.push(*byte),
                _ => {}
            }
        }
        self.events - before
    }

    /// Reports whether the `[DONE]` event was received.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns the number of events so far, not counting `[DONE]`.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    fn end_line(&mut self) {
        if self.line_prefix.last() == Some(&b'\r') {
            self.line_prefix.pop();
        }
        if self.line_prefix == END_MARK {
            self.ended = true;
        } else if self.line_prefix.starts_with(DATA_PREFIX) {
            self.events += 1;
        }
        self.line_prefix.clear();
    }
}

#[cfg(test)]
mod tests;
