//! Decides whether an event may follow the events of its stream that came before it.
//!
//! An endpoint may send the head of an error in place of an event, and an endpoint that resumes a
//! stream may begin at the wrong event. The caller can't tell such bytes from the stream.

/// Longest line that is searched for an event identifier.
const ID_LINE_MAX_BYTES: usize = 128;

/// Why an event does not follow the events before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// The bytes are not the lines of an event.
    #[error("bytes that are no event")]
    Malformed,
    /// The event that resumes a stream has none, or the one before it had none.
    #[error("an event without a number")]
    NoNumber,
    /// The event, or a later one, came before.
    #[error("event {0} out of order")]
    OutOfOrder(u64),
    /// Events between the last one and this one are missing.
    #[error("event {0} after a gap")]
    Gap(u64),
}

/// The identifiers of the events that a caller has received.
#[derive(Debug, Default)]
pub(super) struct EventOrder {
    last_id: Option<String>,
    last_number: Option<u64>,
    has_events: bool,
    /// Whether numbers were skipped within the response of one endpoint, so that a missing event
    /// can't be told from a skipped number.
    is_sparse: bool,
    /// Whether the next event is the first one of an endpoint that resumes the stream.
    is_resuming: bool,
}

impl EventOrder {
    /// Continues after an event that the caller received in an earlier response.
    pub(super) fn after(last_id: Option<&str>) -> Self {
        Self {
            last_id: last_id.map(str::to_owned),
            last_number: last_id.and_then(|id| id.parse().ok()),
            ..Self::default()
        }
    }

    pub(super) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    pub(super) fn is_resuming(&self) -> bool {
        self.is_resuming
    }

    /// Expects the next event from an endpoint that resumes the stream.
    pub(super) fn resume(&mut self) {
        self.is_resuming = true;
    }

    /// Checks an event, which ends with a blank line, and records its identifier.
    pub(super) fn accept(&mut self, event: &[u8]) -> Result<(), EventError> {
        if is_comment(event) {
            return Ok(());
        }
        let id = event_id(event);
        let number: Option<u64> = id.and_then(|id| id.parse().ok());
        let is_numbered = self.last_number.is_some() || number.is_some();
        if is_numbered || (self.is_resuming && self.has_events) {
            if !is_well_formed(event) {
                return Err(EventError::Malformed);
            }
            match number {
                Some(number) => self.check_number(number)?,
                // Only a number tells where an endpoint resumes.
                None if self.is_resuming => return Err(EventError::NoNumber),
                None => {}
            }
        }
        self.is_resuming = false;
        self.has_events = true;
        self.last_number = number.or(self.last_number);
        self.last_id = id.map(str::to_owned).or(self.last_id.take());
        Ok(())
    }

    fn check_number(&mut self, number: u64) -> Result<(), EventError> {
        let Some(last) = self.last_number else {
            // Without a number of the last event, the resuming endpoint begins anywhere.
            let follows_unknown = self.is_resuming && self.has_events;
            return if follows_unknown {
                Err(EventError::NoNumber)
            } else {
                Ok(())
            };
        };
        if number <= last {
            return Err(EventError::OutOfOrder(number));
        }
        let is_next = number - last == 1;
        if self.is_resuming && !is_next && !self.is_sparse {
            return Err(EventError::Gap(number));
        }
        self.is_sparse |= !is_next;
        Ok(())
    }
}

/// Returns whether an event has no line that is not a comment.
pub(super) fn is_comment(event: &[u8]) -> bool {
    lines(event).all(|line| line.starts_with(b":"))
}

/// Returns the lines of an event without their line breaks.
fn lines(event: &[u8]) -> impl Iterator<Item = &[u8]> {
    event
        .split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
        .filter(|line| !line.is_empty())
}

fn event_id(event: &[u8]) -> Option<&str> {
    let ids = lines(event).filter_map(|line| {
        (line.len() <= ID_LINE_MAX_BYTES)
            .then(|| line.strip_prefix(b"id:"))
            .flatten()
    });
    let id = std::str::from_utf8(ids.last()?).ok()?;
    Some(id.strip_prefix(' ').unwrap_or(id))
}

/// Returns whether all lines are fields of an event and end alike. The first line may be a field
/// of another name, with which platforms mark an event.
fn is_well_formed(event: &[u8]) -> bool {
    let mut breaks = event
        .split_inclusive(|byte| *byte == b'\n')
        .map(|line| line.ends_with(b"\r\n"));
    let first_break = breaks.next();
    if !breaks.all(|is_crlf| Some(is_crlf) == first_break) {
        return false;
    }
    lines(event).enumerate().all(|(index, line)| {
        let name_end = line.iter().position(|byte| *byte == b':');
        let name = &line[..name_end.unwrap_or(line.len())];
        let is_mark = || {
            index == 0
                && name_end.is_some()
                && name
                    .iter()
                    .all(|byte| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'-'))
        };
        matches!(name, b"id" | b"data" | b"event" | b"retry" | b"") || is_mark()
    })
}

#[cfg(test)]
mod tests;
