//! Publishes a change and determines its outcome when responses are lost.

use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::{Backoff, BackoffSettings};
use daisynotch_objects::{Chunk, Objects, Revision, Snapshot};

use super::{
    CHUNK_MAX_BYTES, Change, ChangeRecord, ConfigStore, HEAD_KEY, Head, StoreError, StoredHead,
    StoredObjects, chunk_key, next_revision,
};
use crate::key_value::{Condition, KeyValueError, Write};

/// Backoff between retries of a publication; the delays add up to less than half a minute.
pub(super) const RETRIES: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(100),
    longest: Duration::from_millis(2_000),
    budget: Some(10),
};

/// What other writers published before this change.
#[daisynotch_macros::value]
pub struct Conflict {
    /// The newest revision.
    pub revision: Revision,
    /// The changes published since the revision that this change is based on, newest first.
    pub changes: Vec<ChangeRecord>,
    /// Whether `changes` has all of those changes.
    pub is_complete: bool,
}

/// The outcome of a publication.
#[daisynotch_macros::value]
pub enum Published {
    /// The change was published as this revision; newer revisions may exist.
    Accepted(Revision),
    /// Another writer published first; this change was not made.
    Conflict(Conflict),
    /// The head was sent, and no later call could determine whether the write took effect.
    Unknown,
}

/// The result of one attempt to publish.
enum Attempt {
    /// The outcome is known.
    Resolved(Published),
    /// The change has not taken effect, but a write that was sent still may.
    Unresolved,
}

/// A change that is being published.
struct Publication<'a> {
    store: &'a ConfigStore,
    base: &'a StoredObjects,
    change: &'a Change,
    snapshot: Snapshot,
    new_chunks: Vec<Chunk>,
    head: Bytes,
    /// Whether a write of the head was sent and its response lost.
    may_have_landed: bool,
}

impl ConfigStore {
    /// Publishes objects on top of the revision that they are based on.
    ///
    /// The chunks are written first, then the head by a single compare-and-swap. If a response
    /// is lost, the head is read back: the change's identifier in its history shows whether the
    /// write took effect. While the head is unchanged, the same write is retried, because the
    /// first one may still arrive; the compare-and-swap can't succeed twice.
    pub async fn publish(
        &self,
        base: &StoredObjects,
        objects: &Objects,
        change: impl Into<Change>,
    ) -> Result<Published, StoreError> {
        let change = change.into();
        let mut publication = Publication::new(self, base, objects, &change)?;
        let mut backoff = Backoff::new(self.retries, change.id.0);
        loop {
            let error = match publication.attempt().await {
                Ok(Attempt::Resolved(published)) => return Ok(published),
                Ok(Attempt::Unresolved) => None,
                Err(error) => Some(error),
            };
            let Some(delay) = backoff.next_delay() else {
                return match error {
                    _ if publication.may_have_landed => Ok(Published::Unknown),
                    Some(error) => Err(error),
                    None => Err(StoreError::ConcurrentChanges),
                };
            };
            tokio::time::sleep(delay).await;
        }
    }
}

impl<'a> Publication<'a> {
    fn new(
        store: &'a ConfigStore,
        base: &'a StoredObjects,
        objects: &Objects,
        change: &'a Change,
    ) -> Result<Self, StoreError> {
        let encode_error = |error| super::malformed(HEAD_KEY, error);
        let revision = next_revision(base.snapshot.revision);
        let snapshot = Snapshot::new(revision, objects.clone()).map_err(encode_error)?;
        let new_chunks = snapshot
            .chunks_not_in(&base.snapshot)
            .map_err(encode_error)?;
        new_chunks.iter().try_for_each(check_length)?;
        let head = base.stored.head.next(&base.snapshot, &snapshot, change);
        let head = serde_json::to_vec(&head).expect("a head serializes to JSON");
        Ok(Self {
            store,
            base,
            change,
            snapshot,
            new_chunks,
            head: Bytes::from(head),
            may_have_landed: false,
        })
    }

    async fn attempt(&mut self) -> Result<Attempt, StoreError> {
        if self.may_have_landed
            && let Attempt::Resolved(published) = self.read_back().await?
        {
            return Ok(Attempt::Resolved(published));
        }
        self.write_chunks().await?;
        match self.write_head().await {
            Ok(true) => Ok(Attempt::Resolved(Published::Accepted(
                self.snapshot.revision,
            ))),
            Ok(false) => self.read_back().await,
            Err(error) => {
                self.may_have_landed |= matches!(error, KeyValueError::NoAnswer { .. });
                Err(error.into())
            }
        }
    }

    /// Writes the new chunks; repeated writes of a chunk are harmless.
    async fn write_chunks(&self) -> Result<(), StoreError> {
        for chunk in &self.new_chunks {
            let text = Bytes::copy_from_slice(chunk.text.as_bytes());
            let write = Write::Put(chunk_key(chunk.digest), text);
            self.store.chunk_client.transact(&[], &[write]).await?;
        }
        Ok(())
    }

    async fn write_head(&self) -> Result<bool, KeyValueError> {
        let mod_revision = self.base.stored.mod_revision;
        let head_unchanged = Condition::LastWrite(HEAD_KEY.to_owned(), mod_revision);
        let chunks = self.new_chunks.iter();
        let chunks_exist = chunks.map(|chunk| Condition::Exists(chunk_key(chunk.digest)));
        let conditions: Vec<Condition> = std::iter::once(head_unchanged)
            .chain(chunks_exist)
            .collect();
        let write = Write::Put(HEAD_KEY.to_owned(), self.head.clone());
        let client = &self.store.head_client;
        client.transact(&conditions, &[write]).await
    }

    /// Reads the head back and looks for the change's identifier in its history.
    async fn read_back(&self) -> Result<Attempt, StoreError> {
        let current = self.store.head().await?;
        if let Some(record) = current.head.find_record(self.change.id) {
            return Ok(Attempt::Resolved(Published::Accepted(record.revision)));
        }
        if current.mod_revision == self.base.stored.mod_revision {
            return Ok(Attempt::Unresolved);
        }
        Ok(Attempt::Resolved(self.resolve_conflict(&current)))
    }

    /// Returns the outcome when a newer head does not have this change in its history.
    fn resolve_conflict(&self, current: &StoredHead) -> Published {
        let base = self.base.snapshot.revision;
        let (changes, is_complete) = current.head.changes_after(base);
        if !is_complete && self.may_have_landed {
            // This change may have been published and then dropped from the truncated history.
            return Published::Unknown;
        }
        Published::Conflict(Conflict {
            revision: current.head.revision,
            changes,
            is_complete,
        })
    }
}

fn check_length(chunk: &Chunk) -> Result<(), StoreError> {
    let length_bytes = chunk.text.len();
    if length_bytes <= CHUNK_MAX_BYTES {
        return Ok(());
    }
    Err(StoreError::TooLong {
        kind: chunk.bucket.kind,
        length_bytes,
    })
}

impl Head {
    /// Returns a conflict if this is not the revision that a change is based on.
    pub fn conflict_with(&self, base: Revision) -> Option<Conflict> {
        if self.revision == base {
            return None;
        }
        let (changes, is_complete) = self.changes_after(base);
        Some(Conflict {
            revision: self.revision,
            changes,
            is_complete,
        })
    }
}
