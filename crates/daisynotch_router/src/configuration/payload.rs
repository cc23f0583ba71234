//! The encoding of objects between routers: lines of JSON, each with a digest.
//!
//! A payload is either one line with all objects or one line per edit. The digest covers
//! the chunks of the revision that results from a line, so a receiver whose base revision
//! differs, or that received corrupted bytes, rejects the payload.

use bytes::Bytes;
use daisynotch_core::Revision;
use daisynotch_objects::{ContentDigest, Edit, Objects, ParseError, Snapshot, SnapshotError};
use serde::{Deserialize, Serialize};

/// Why a payload is rejected.
#[derive(Debug, thiserror::Error)]
pub(super) enum PayloadError {
    #[error("a line is not valid JSON of this protocol version: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("the objects can't be re-encoded to verify their digest: {0}")]
    Objects(#[from] ParseError),
    #[error("an edit can't be applied to its base revision: {0}")]
    Edit(#[from] SnapshotError),
    #[error("an edit is based on revision {from}, but this router has revision {current}")]
    BaseMismatch { from: Revision, current: Revision },
    #[error("the digest of revision {0} does not match its objects")]
    DigestMismatch(Revision),
    #[error("the payload is empty")]
    Empty,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum Line {
    Whole {
        revision: Revision,
        digest: ContentDigest,
        objects: Objects,
    },
    Edit {
        from: Revision,
        revision: Revision,
        digest: ContentDigest,
        edit: Edit,
    },
}

/// Encodes all objects of a revision.
pub(super) fn encode_whole(snapshot: &Snapshot) -> Bytes {
    encode(&Line::Whole {
        revision: snapshot.revision,
        digest: snapshot.digest(),
        objects: snapshot.objects.clone(),
    })
}

/// Encodes the edit from one revision to a later one.
pub(super) fn encode_edit(from: Revision, snapshot: &Snapshot, edit: Edit) -> Bytes {
    encode(&Line::Edit {
        from,
        revision: snapshot.revision,
        digest: snapshot.digest(),
        edit,
    })
}

fn encode(line: &Line) -> Bytes {
    let mut text =
        serde_json::to_vec(line).expect("objects have string keys, so they can be written as JSON");
    text.push(b'\n');
    Bytes::from(text)
}

/// Returns the revision that results from applying a payload to the base revision.
pub(super) fn decode(base: &Snapshot, payload: &[u8]) -> Result<Snapshot, PayloadError> {
    let mut newest = None;
    let lines = payload.split(|byte| *byte == b'\n');
    for line in lines.filter(|line| !line.is_empty()) {
        let line = serde_json::from_slice(line)?;
        newest = Some(apply_line(newest.as_ref().unwrap_or(base), line)?);
    }
    newest.ok_or(PayloadError::Empty)
}

fn apply_line(base: &Snapshot, line: Line) -> Result<Snapshot, PayloadError> {
    let (snapshot, digest) = match line {
        Line::Whole {
            revision,
            digest,
            objects,
        } => (Snapshot::new(revision, objects)?, digest),
        Line::Edit {
            from,
            revision,
            digest,
            edit,
        } => {
            let current = base.revision;
            if from != current {
                return Err(PayloadError::BaseMismatch { from, current });
            }
            (base.edited(revision, &edit)?, digest)
        }
    };
    if snapshot.digest() != digest {
        return Err(PayloadError::DigestMismatch(snapshot.revision));
    }
    Ok(snapshot)
}

#[cfg(test)]
mod tests;
