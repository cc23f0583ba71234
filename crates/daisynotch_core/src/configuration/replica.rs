//! The encoded objects that a router hands to its peers.

use bytes::{Bytes, BytesMut};

use crate::Revision;
use crate::message::{ConfigurationPiece, ConfigurationRequest};

/// The bytes of one piece; a small message waits behind one piece at most.
const PIECE_MAX_BYTES: usize = 8 * 1024;

/// An encoded edit that leads from one revision to a later one.
#[daisynotch_macros::value]
pub struct EditPayload {
    /// The revision that it starts from.
    pub from: Revision,
    /// The revision that it makes.
    pub to: Revision,
    /// The edit, as the router encodes it.
    pub bytes: Bytes,
}

/// One revision, encoded as a whole and as the edits that led to it.
#[daisynotch_macros::value]
#[derive(Default)]
pub struct Replica {
    /// The revision.
    pub revision: Revision,
    /// All objects, as the router encodes them.
    pub whole: Bytes,
    /// The latest edits, the oldest first; each ends where the next one starts.
    pub edits: Vec<EditPayload>,
}

impl Replica {
    /// Gives the piece that a peer asks for, or none when it has as much already.
    pub fn piece(&self, request: &ConfigurationRequest) -> Option<ConfigurationPiece> {
        if self.revision <= request.have {
            return None;
        }
        let payload = self.payload(request.have);
        let is_same = request.wanted == self.revision;
        let offset = if is_same { request.offset as usize } else { 0 };
        let end = payload.len().min(offset.saturating_add(PIECE_MAX_BYTES));
        if offset >= end {
            return None;
        }
        Some(ConfigurationPiece {
            have: request.have,
            revision: self.revision,
            offset: u32::try_from(offset).ok()?,
            total_bytes: u32::try_from(payload.len()).ok()?,
            bytes: payload.slice(offset..end),
        })
    }

    /// Gives the edits since a revision if all of them are known, else the whole.
    fn payload(&self, have: Revision) -> Bytes {
        let first = self.edits.iter().position(|edit| edit.from == have);
        let Some(first) = first.filter(|_| have > Revision::default()) else {
            return self.whole.clone();
        };
        let mut payload = BytesMut::new();
        for edit in &self.edits[first..] {
            payload.extend_from_slice(&edit.bytes);
        }
        if payload.len() < self.whole.len() {
            payload.freeze()
        } else {
            self.whole.clone()
        }
    }
}
