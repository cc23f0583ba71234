//! The value that names the newest revision.

use std::collections::{BTreeMap, BTreeSet};

use daisynotch_objects::{Bucket, ContentDigest, Edit, ObjectRef, Revision, Snapshot};
use serde::{Deserialize, Serialize};

/// The changes that the head remembers.
pub const HISTORY_MAX: usize = 32;
/// The objects that the record of one change names; the others are only counted.
const OBJECTS_MAX: usize = 16;
/// The longest author or summary that is kept, in characters.
const TEXT_MAX_CHARS: usize = 120;
/// The revisions for which a replaced chunk is kept, so that slow readers still find it.
const RETIRED_REVISIONS: u64 = 8;

/// Marks one publication, so that its writer recognises it when the answer is lost.
#[daisynotch_macros::number]
pub struct ChangeId(pub u64);

/// What an operator says of a change.
#[daisynotch_macros::value]
pub struct Change {
    /// The change's own mark.
    pub id: ChangeId,
    /// When it was made, in milliseconds since 1970.
    pub time_ms: u64,
    /// Who made it.
    pub author: String,
    /// What it is for.
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

/// A change that was published.
#[daisynotch_macros::message]
pub struct ChangeRecord {
    /// Its mark.
    pub id: ChangeId,
    /// The revision that it made.
    pub revision: Revision,
    /// When it was made, in milliseconds since 1970.
    pub time_ms: u64,
    /// Who made it.
    pub author: String,
    /// What it is for.
    pub summary: String,
    /// The objects that it changed, or the first of them.
    pub objects: Vec<ObjectRef>,
    /// How many objects it changed.
    pub object_count: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct ChunkName {
    bucket: Bucket,
    digest: ContentDigest,
}

/// A chunk that newer revisions don't have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct RetiredChunk {
    digest: ContentDigest,
    revision: Revision,
}

/// What the head value says.
#[daisynotch_macros::message]
#[derive(Default)]
pub struct Head {
    /// The newest revision.
    pub revision: Revision,
    chunks: Vec<ChunkName>,
    /// The latest changes, the newest first.
    pub history: Vec<ChangeRecord>,
    retired: Vec<RetiredChunk>,
}

impl Head {
    /// Gives the head that a change makes of this one.
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

    /// Gives the chunks of the newest revision.
    pub(super) fn chunks(&self) -> BTreeMap<Bucket, ContentDigest> {
        let chunks = self.chunks.iter();
        chunks.map(|chunk| (chunk.bucket, chunk.digest)).collect()
    }

    /// Gives the chunks that must not be removed yet.
    pub(super) fn kept_chunks(&self) -> BTreeSet<ContentDigest> {
        let current = self.chunks.iter().map(|chunk| chunk.digest);
        let retired = self.retired.iter().map(|chunk| chunk.digest);
        current.chain(retired).collect()
    }

    /// Finds what is remembered of a change.
    pub fn record_of(&self, id: ChangeId) -> Option<&ChangeRecord> {
        self.history.iter().find(|record| record.id == id)
    }

    /// Gives the changes after a revision, and whether all of them are remembered.
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
