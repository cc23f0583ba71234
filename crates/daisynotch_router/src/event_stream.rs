//! Watches a stream of server-sent events go by.
//!
//! The router passes events on unchanged. It only needs to count them and to see
//! the end mark, without which an answer is not whole. Bytes may be cut anywhere,
//! also within a line.

/// The line with which an engine ends a whole answer.
const END_MARK: &[u8] = b"data: [DONE]";
/// The start of a line that carries an event.
const DATA_PREFIX: &[u8] = b"data:";
/// How much of a line is kept to compare; the rest of a longer line is skipped.
const LINE_KEPT_BYTES: usize = 16;

/// Counts events and looks for the end mark.
#[derive(Debug, Default)]
pub(crate) struct EventStreamWatcher {
    line: Vec<u8>,
    events: u64,
    ended: bool,
}

impl EventStreamWatcher {
    /// Looks at the next bytes; gives how many events ended in them.
    pub(crate) fn observe(&mut self, bytes: &[u8]) -> u64 {
        let before = self.events;
        for byte in bytes {
            match byte {
                b'\n' => self.end_line(),
                _ if self.line.len() < LINE_KEPT_BYTES => self.line.push(*byte),
                _ => {}
            }
        }
        self.events - before
    }

    /// Says whether the end mark went by.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended
    }

    /// Gives the events that went by, the end mark not among them.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    fn end_line(&mut self) {
        if self.line.last() == Some(&b'\r') {
            self.line.pop();
        }
        if self.line == END_MARK {
            self.ended = true;
        } else if self.line.starts_with(DATA_PREFIX) {
            self.events += 1;
        }
        self.line.clear();
    }
}

#[cfg(test)]
mod tests;
