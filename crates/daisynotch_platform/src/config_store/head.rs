//! The head: the value that names the newest revision and its chunks.

use std::collections::{BTreeMap, BTreeSet};

use daisynotch_objects::{Bucket, ContentDigest, Edit, ObjectRef, Revision, Snapshot};
use serde::{Deserialize, Serialize};

/// Maximum number of changes in the head's history.
pub const HISTORY_MAX: usize = 32;
/// Maximum number of objects named in the record of a change; the others are only counted.
const OBJECTS_MAX: usize = 16;
/// Maximum length of a recorded author or summary, in characters.
const TEXT_MAX_CHARS: usize = 120;
/// Number of revisions for which a replaced chunk is retained for slow readers.
const RETIRED_REVISIONS: u64 = 8;

/// Identifies a publication, so that its writer finds it in the history after a lost response.
#[daisynotch_macros::number]
pub struct ChangeId(pub u64);

/// An operator's description of a change.
#[daisynotch_macros::value]
pub struct Change {
    /// The change's identifier.
    pub id: ChangeId,
    /// Time of the change in milliseconds since 1970.
    pub time_ms: u64,
    /// Who made the change.
    pub author: String,
    /// The purpose of the change.
    pub summary: String,
}

impl From<ChangeId> for Change {
    fn from(id: ChangeId) -> Self {
        Self {
            id,
            time_ms: 0,
            author: "unknown".to_owned(),
            summary: String::new(),
        }
    }
}

/// The history's record of a published change.
#[daisynotch_macros::message]
pub struct ChangeRecord {
    /// The change's identifier.
    pub id: ChangeId,
    /// The revision that the change created.
    pub revision: Revision,
    /// Time of the change in milliseconds since 1970.
    pub time_ms: u64,
    /// Who made the change.
    pub author: String,
    /// The purpose of the change.
    pub summary: String,
    /// The changed objects, truncated if there are many.
    pub objects: Vec<ObjectRef>,
    /// The number of changed objects.
    pub object_count: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct ChunkName {
    bucket: Bucket,
    digest: ContentDigest,
}

/// A replaced chunk and the first revision without it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct RetiredChunk {
    digest: ContentDigest,
    revision: Revision,
}

/// The decoded head value.
#[daisynotch_macros::message]
#[derive(Default)]
pub struct Head {
    /// The newest revision.
    pub revision: Revision,
    chunks: Vec<ChunkName>,
    /// The most recent changes, newest first.
    pub history: Vec<ChangeRecord>,
    retired: Vec<RetiredChunk>,
}

impl Head {
    /// Returns the head that follows this one when a change turns `base` into `snapshot`.
    pub(super) fn next(&self, base: &Snapshot, snapshot: &Snapshot, change: &Change) -> Self {
        let revision = snapshot.revision;
        let edit = Edit::between(&base.objects, &snapshot.objects);
        let mut history = self.history.clone();
        history.insert(0, record(revision, change, &edit));
        history.truncate(HISTORY_MAX);
        let chunks = snapshot.chunks.iter().map(|(bucket, digest)| ChunkName {
            bucket: *bucket,
            digest: *digest,
        });
        let mut next = Self {
            revision,
            chunks: chunks.collect(),
            history,
            retired: self.retired.clone(),
        };
        next.retire_chunks(base);
        next
    }

    fn retire_chunks(&mut self, base: &Snapshot) {
        let revision = self.revision;
        let current: BTreeSet<ContentDigest> =
            self.chunks.iter().map(|chunk| chunk.digest).collect();
        let replaced = base.chunks.values();
        let replaced = replaced.filter(|digest| !current.contains(digest));
        self.retired.extend(replaced.map(|digest| RetiredChunk {
            digest: *digest,
            revision,
        }));
        self.retired
            .retain(|chunk| chunk.revision.0 + RETIRED_REVISIONS > revision.0);
    }

    /// Returns the chunks of the newest revision.
    pub(super) fn chunks(&self) -> BTreeMap<Bucket, ContentDigest> {
        let chunks = self.chunks.iter();
        chunks.map(|chunk| (chunk.bucket, chunk.digest)).collect()
    }

    /// Returns the chunks that must not be removed yet: current and recently replaced ones.
    pub(super) fn referenced_chunks(&self) -> BTreeSet<ContentDigest> {
        let current = self.chunks.iter().map(|chunk| chunk.digest);
        let retired = self.retired.iter().map(|chunk| chunk.digest);
        current.chain(retired).collect()
    }

    /// Returns the record of a change, if the history still has it.
    pub fn find_record(&self, id: ChangeId) -> Option<&ChangeRecord> {
        self.history.iter().find(|record| record.id == id)
    }

    /// Returns the changes after a revision, and whether the history has all of them.
    pub fn changes_after(&self, revision: Revision) -> (Vec<ChangeRecord>, bool) {
        let is_later = |record: &&ChangeRecord| record.revision > revision;
        let changes: Vec<ChangeRecord> = self.history.iter().filter(is_later).cloned().collect();
        let is_complete = changes.len() as u64 == self.revision.0.saturating_sub(revision.0);
        (changes, is_complete)
    }
}

fn record(revision: Revision, change: &Change, edit: &Edit) -> ChangeRecord {
    let objects = edit.objects();
    let shorten = |text: &str| text.chars().take(TEXT_MAX_CHARS).collect();
    ChangeRecord {
        id: change.id,
        revision,
        time_ms: change.time_ms,
        author: shorten(&change.author),
        summary: shorten(&change.summary),
        object_count: objects.len(),
        objects: objects.into_iter().take(OBJECTS_MAX).collect(),
    }
}
