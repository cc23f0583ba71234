//! The encoded objects that a router serves to its peers.

use bytes::{Bytes, BytesMut};

use crate::Revision;
use crate::message::{ConfigurationPiece, ConfigurationRequest};

/// The largest size of a piece; a small message is delayed by at most one piece.
const PIECE_MAX_BYTES: usize = 8 * 1024;

/// An encoded edit that transforms one revision into a later one.
#[daisynotch_macros::value]
pub struct EditPayload {
    /// The base revision of the edit.
    pub from: Revision,
    /// The revision that the edit results in.
    pub to: Revision,
    /// The edit in the router's encoding.
    pub bytes: Bytes,
}

/// A revision, encoded as a full snapshot and as the most recent edits.
#[daisynotch_macros::value]
#[derive(Default)]
pub struct Replica {
    /// The encoded revision.
    pub revision: Revision,
    /// The full snapshot in the router's encoding.
    pub whole: Bytes,
    /// The most recent edits, oldest first; each ends at the base revision of the next.
    pub edits: Vec<EditPayload>,
}

impl Replica {
    /// Returns the piece that a peer requests, or `None` if the peer is up to date.
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

    /// Returns the edits since a revision if all are known and smaller than the full snapshot,
    /// otherwise the snapshot.
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
