//! Finds the end of a request that is not handled, in bounded memory.
//!
//! A connection that is closed while bytes of a request are unread is reset, and the reset may
//! overtake the response. This module has no I/O.

use smallvec::SmallVec;

/// Maximum number of headers in a request that is searched for its length.
const HEADERS_MAX: usize = 64;
/// Maximum size of a request head; a request with a longer one is refused at once.
const HEAD_MAX_BYTES: usize = 64 * 1024;

/// Part of a request that has not arrived yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Remaining {
    /// The rest of the head.
    Head,
    /// A number of bytes of the body.
    Bytes(u64),
    /// The rest of a chunked body.
    Chunks(ChunkedPart),
    /// The request is complete.
    Nothing,
    /// The request is invalid, or its sender waits for a response before it sends the body.
    Unknown,
}

/// Part of a chunked body that the next byte belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ChunkedPart {
    /// First digit of a chunk's size.
    SizeStart,
    /// Further digits.
    Size(u64),
    /// Extensions after the size, which are ignored.
    Extension(u64),
    /// Line feed after the size.
    SizeLineFeed(u64),
    /// A number of bytes of the chunk's data.
    Data(u64),
    /// Carriage return after the data.
    DataEnd,
    /// Line feed after the data.
    DataLineFeed,
    /// First byte of a trailer line or of the empty line that ends the body.
    TrailerStart,
    /// Rest of a trailer line.
    Trailer,
    /// Line feed after a trailer line.
    TrailerLineFeed,
    /// Line feed that ends the body.
    LastLineFeed,
}

/// Finds the end of a request.
#[derive(Debug)]
pub(super) struct RequestEndFinder {
    head: Vec<u8>,
    remaining: Remaining,
}

impl RequestEndFinder {
    pub(super) fn new() -> Self {
        Self {
            head: Vec::new(),
            remaining: Remaining::Head,
        }
    }

    /// Processes bytes of the request; returns whether it can be answered now: it is complete, or
    /// no end is to be waited for.
    pub(super) fn push(&mut self, bytes: &[u8]) -> bool {
        match self.remaining {
            Remaining::Head => {
                self.head.extend_from_slice(bytes);
                self.read_head();
            }
            remaining => self.remaining = remaining.after(bytes),
        }
        self.is_answerable()
    }

    /// Returns whether the request is complete, or no end is to be waited for.
    pub(super) fn is_answerable(&self) -> bool {
        matches!(self.remaining, Remaining::Nothing | Remaining::Unknown)
    }

    /// Returns whether the whole request was processed.
    pub(super) fn is_complete(&self) -> bool {
        self.remaining == Remaining::Nothing
    }

    fn read_head(&mut self) {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut request = httparse::Request::new(&mut headers);
        let head_len = match request.parse(&self.head) {
            Ok(httparse::Status::Complete(head_len)) => head_len,
            Ok(httparse::Status::Partial) if self.head.len() < HEAD_MAX_BYTES => return,
            // A head that is too long or invalid is refused as well.
            Ok(httparse::Status::Partial) | Err(_) => {
                self.remaining = Remaining::Unknown;
                self.head = Vec::new();
                return;
            }
        };
        self.remaining = Remaining::of_body(request.headers).after(&self.head[head_len..]);
        self.head = Vec::new();
    }
}

impl Remaining {
    /// Returns what remains after a head with these headers.
    fn of_body(headers: &[httparse::Header<'_>]) -> Self {
        let values = |name: &str| -> SmallVec<[&[u8]; 2]> {
            let named = headers
                .iter()
                .filter(|header| header.name.eq_ignore_ascii_case(name));
            named.map(|header| header.value.trim_ascii()).collect()
        };
        let expects_continue = values("expect")
            .iter()
            .any(|value| value.eq_ignore_ascii_case(b"100-continue"));
        if expects_continue {
            return Self::Unknown;
        }
        if let Some(coding) = values("transfer-encoding").last() {
            let last = coding.rsplit(|byte| *byte == b',').next();
            let is_chunked =
                last.is_some_and(|last| last.trim_ascii().eq_ignore_ascii_case(b"chunked"));
            return if is_chunked {
                Self::Chunks(ChunkedPart::SizeStart)
            } else {
                Self::Unknown
            };
        }
        let lengths = values("content-length");
        let Some((first, others)) = lengths.split_first() else {
            return Self::Nothing;
        };
        let is_number = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
        let length = std::str::from_utf8(first).ok();
        match length.and_then(|length| length.parse().ok()) {
            Some(length) if is_number && others.iter().all(|other| other == first) => {
                Self::Bytes(length)
            }
            _ => Self::Unknown,
        }
    }

    fn after(self, bytes: &[u8]) -> Self {
        match self {
            Self::Bytes(remaining) if remaining <= bytes.len() as u64 => Self::Nothing,
            Self::Bytes(remaining) => Self::Bytes(remaining - bytes.len() as u64),
            Self::Chunks(part) => part.after(bytes),
            Self::Head | Self::Nothing | Self::Unknown => self,
        }
    }
}

impl ChunkedPart {
    fn after(self, mut bytes: &[u8]) -> Remaining {
        let mut part = self;
        while let Some((byte, rest)) = bytes.split_first() {
            if let Self::Data(remaining) = part {
                let available = bytes.len() as u64;
                if remaining > available {
                    return Remaining::Chunks(Self::Data(remaining - available));
                }
                bytes = &bytes[remaining as usize..];
                part = Self::DataEnd;
                continue;
            }
            bytes = rest;
            part = match part.after_byte(*byte) {
                Remaining::Chunks(part) => part,
                ended => return ended,
            };
        }
        Remaining::Chunks(part)
    }

    /// Returns what follows a byte outside of a chunk's data.
    fn after_byte(self, byte: u8) -> Remaining {
        let next = match (self, byte) {
            (Self::SizeStart, _) => Self::after_digit(0, byte),
            (Self::Size(size) | Self::Extension(size), b'\r') => Some(Self::SizeLineFeed(size)),
            (Self::Size(size), b';' | b' ' | b'\t') => Some(Self::Extension(size)),
            (Self::Size(size), _) => Self::after_digit(size, byte),
            (Self::Extension(_), b'\n') => None,
            (Self::Extension(size), _) => Some(Self::Extension(size)),
            (Self::SizeLineFeed(0), b'\n') => Some(Self::TrailerStart),
            (Self::SizeLineFeed(size), b'\n') => Some(Self::Data(size)),
            (Self::DataEnd, b'\r') => Some(Self::DataLineFeed),
            (Self::DataLineFeed, b'\n') => Some(Self::SizeStart),
            (Self::TrailerStart, b'\r') => Some(Self::LastLineFeed),
            (Self::TrailerStart | Self::Trailer, b'\n') => None,
            (Self::Trailer, b'\r') => Some(Self::TrailerLineFeed),
            (Self::TrailerStart | Self::Trailer, _) => Some(Self::Trailer),
            (Self::TrailerLineFeed, b'\n') => Some(Self::TrailerStart),
            (Self::LastLineFeed, b'\n') => return Remaining::Nothing,
            (
                Self::SizeLineFeed(_)
                | Self::Data(_)
                | Self::DataEnd
                | Self::DataLineFeed
                | Self::TrailerLineFeed
                | Self::LastLineFeed,
                _,
            ) => None,
        };
        next.map_or(Remaining::Unknown, Remaining::Chunks)
    }

    fn after_digit(size: u64, byte: u8) -> Option<Self> {
        let digit = char::from(byte).to_digit(16)?;
        let size = size.checked_mul(16)?.checked_add(u64::from(digit))?;
        Some(Self::Size(size))
    }
}

#[cfg(test)]
mod tests;
