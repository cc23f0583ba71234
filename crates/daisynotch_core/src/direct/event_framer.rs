//! Splits a stream of server-sent events at event boundaries.
//!
//! An endpoint may fail in the middle of an event, and another one then resumes the stream after
//! the last complete event. Only complete events are forwarded, so the caller never receives the
//! fragments of the two endpoints joined into one event.

use bytes::{Bytes, BytesMut};

/// The longest line that is searched for an event identifier.
const ID_LINE_MAX_BYTES: usize = 128;

/// Buffers an incomplete event until the rest of it arrives.
#[derive(Debug, Default)]
pub struct EventFramer {
    partial: BytesMut,
    last_id: Option<String>,
    events: u64,
}

impl EventFramer {
    /// Appends bytes and returns all events that are now complete.
    pub fn push(&mut self, bytes: &Bytes) -> Bytes {
        let search_start = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial, search_start) else {
            return Bytes::new();
        };
        let complete = self.partial.split_to(end).freeze();
        self.scan_events(&complete);
        complete
    }

    /// Discards an incomplete event that another endpoint will send again.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
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
        self.last_id.as_deref()
    }

    /// Returns the number of complete events.
    pub fn events(&self) -> u64 {
        self.events
    }

    fn scan_events(&mut self, complete: &[u8]) {
        let mut has_content = false;
        for line in complete.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if line.is_empty() {
                self.events += u64::from(has_content);
                has_content = false;
                continue;
            }
            has_content = true;
            if line.len() <= ID_LINE_MAX_BYTES
                && let Some(id) = line.strip_prefix(b"id:")
                && let Ok(id) = std::str::from_utf8(id)
            {
                self.last_id = Some(id.strip_prefix(' ').unwrap_or(id).to_owned());
            }
        }
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
