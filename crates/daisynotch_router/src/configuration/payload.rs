//! How objects travel between routers: lines of JSON, each with a digest.
//!
//! A payload is either one line with all objects, or one line an edit. The digest
//! is taken over the chunks of the revision that a line makes, so a receiver whose
//! base differs, or whose bytes were damaged, takes nothing.

use bytes::Bytes;
use daisynotch_core::Revision;
use daisynotch_objects::{ContentDigest, Edit, Objects, ParseError, Snapshot, SnapshotError};
use serde::{Deserialize, Serialize};

/// Why a payload is not taken.
#[derive(Debug, thiserror::Error)]
pub(super) enum PayloadError {
    #[error("a line is not what routers of this version write: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("the objects can't be encoded again: {0}")]
    Objects(#[from] ParseError),
    #[error("an edit does not fit: {0}")]
    Edit(#[from] SnapshotError),
    #[error("an edit starts from revision {from}, but this router has {have}")]
    OtherBase { from: Revision, have: Revision },
    #[error("the digest of revision {0} is another one")]
    OtherDigest(Revision),
    #[error("it is empty")]
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

/// Encodes the edit that leads from one revision to a later one.
pub(super) fn encode_edit(from: Revision, snapshot: &Snapshot, edit: Edit) -> Bytes {
    encode(&Line::Edit {
        from,
        revision: snapshot.revision,
        digest: snapshot.digest(),
        edit,
    })
}

fn encode(line: &Line) -> Bytes {
    let mut text = serde_json::to_vec(line).expect("objects are plain data");
    text.push(b'\n');
    Bytes::from(text)
}

/// Gives the revision that a payload makes of the one that this router has.
pub(super) fn decode(base: &Snapshot, payload: &[u8]) -> Result<Snapshot, PayloadError> {
    let mut newest = None;
    let lines = payload.split(|byte| *byte == b'\n');
    for line in lines.filter(|line| !line.is_empty()) {
        let line = serde_json::from_slice(line)?;
        newest = Some(apply(newest.as_ref().unwrap_or(base), line)?);
    }
    newest.ok_or(PayloadError::Empty)
}

fn apply(base: &Snapshot, line: Line) -> Result<Snapshot, PayloadError> {
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
            let have = base.revision;
            if from != have {
                return Err(PayloadError::OtherBase { from, have });
            }
            (base.edited(revision, &edit)?, digest)
        }
    };
    if snapshot.digest() != digest {
        return Err(PayloadError::OtherDigest(snapshot.revision));
    }
    Ok(snapshot)
}

#[cfg(test)]
mod tests;
