//! Splits a stream of server-sent events at event boundaries.
//!
//! An endpoint may fail in the middle of an event, and another one then resumes the stream after
//! the last complete event. Only complete events are forwarded, so the caller never receives the
//! fragments of the two endpoints joined into one event.

use bytes::{Bytes, BytesMut};

use super::event_order::{EventError, EventOrder, is_comment};

/// Maximum size of the unused part of a buffer that events keep in memory.
const UNUSED_MAX_BYTES: usize = 8 * 1024;

/// Buffers an incomplete event until the rest of it arrives.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
    order: EventOrder,
    error: Option<EventError>,
    events: u64,
}

impl EventFramer {
    /// Continues after an event that the caller received in an earlier response.
    pub fn after(last_id: Option<&str>) -> Self {
        Self {
            order: EventOrder::after(last_id),
            ..Self::default()
        }
    }

    /// Appends bytes and returns all events that are now complete, up to the first one that does
    /// not follow the events before it.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        if self.error.is_some() {
            return Bytes::new();
        }
        let search_start = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial, search_start) else {
            return Bytes::new();
        };
        let mut complete = self.split_complete(end);
        let accepted = self.accept_events(&complete);
        complete.truncate(accepted);
        complete
    }

    /// Splits off the complete events, which end at `end`.
    fn split_complete(&mut self, end: usize) -> Bytes {
        let unused_bytes = self.partial.capacity() - self.partial.len();
        if unused_bytes < UNUSED_MAX_BYTES {
            return self.partial.split_to(end).freeze();
        }
        // The buffer doubles as a long event grows, and its unused part would stay in memory for as
        // long as the caller does not read.
        let complete = Bytes::copy_from_slice(&self.partial[..end]);
        self.partial = BytesMut::from(&self.partial[end..]);
        complete
    }

    /// Returns why the bytes after the last returned event are not part of the stream.
    pub fn error(&self) -> Option<EventError> {
        self.error
    }

    /// Discards an incomplete event, and expects the event after the last complete one from
    /// another endpoint.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.error = None;
        self.order.resume();
    }

    /// Returns whether the endpoint that resumes the stream has sent no event.
    pub fn is_resuming(&self) -> bool {
        self.order.is_resuming()
    }

    /// Returns the length of the incomplete event, in bytes.
    pub fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Returns whether the stream so far ends at an event boundary.
    pub fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// Returns the latest identifier in the complete events.
    pub fn last_id(&self) -> Option<&str> {
        self.order.last_id()
    }

    /// Returns the number of complete events, without those that only hold a comment.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the length of the events that follow the ones before them.
    fn accept_events(&mut self, complete: &[u8]) -> usize {
        let (mut accepted, mut position) = (0, 0);
        let mut has_content = false;
        for line in complete.split_inclusive(|byte| *byte == b'\n') {
            position += line.len();
            if !matches!(line, b"\n" | b"\r\n") {
                has_content = true;
                continue;
            }
            if std::mem::take(&mut has_content) {
                let event = &complete[accepted..position];
                if let Err(error) = self.order.accept(event) {
                    self.error = Some(error);
                    return accepted;
                }
                self.events += u64::from(!is_comment(event));
            }
            accepted = position;
        }
        accepted
    }
}

/// Returns the position after the last blank line, searching `bytes` from `from` on.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let newlines = tail
        .iter()
        .enumerate()
        .rev()
        .filter(|(_, byte)| **byte == b'\n');
    for (position, _) in newlines {
        let before = &bytes[..from + position];
        if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
            return Some(from + position + 1);
        }
    }
    None
}

#[cfg(test)]
mod tests;
