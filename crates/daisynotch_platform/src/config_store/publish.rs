//! Publishing a change, and finding out what became of it when answers are lost.

use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::{Backoff, BackoffSettings};
use daisynotch_objects::{Chunk, Objects, Revision, Snapshot};

use super::{
    CHUNK_MAX_BYTES, Change, ChangeRecord, ConfigStore, HEAD_KEY, Head, StoreError, StoredHead,
    StoredObjects, chunk_key, next_revision,
};
use crate::key_value::{Condition, KeyValueError, Write};

/// How a publication is tried again; the sum stays under half a minute.
pub(super) const RETRIES: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(100),
    longest: Duration::from_millis(2_000),
    budget: Some(10),
};

/// What others published first.
#[daisynotch_macros::value]
pub struct Conflict {
    /// The newest revision.
    pub revision: Revision,
    /// What was published since the revision that the change was made from, the newest first.
    pub changes: Vec<ChangeRecord>,
    /// Whether nothing is missing from `changes`.
    pub is_complete: bool,
}

/// What became of a publication.
#[daisynotch_macros::value]
pub enum Published {
    /// It was published as this revision; others may have followed.
    Accepted(Revision),
    /// Somebody else published first; nothing changed.
    Conflict(Conflict),
    /// The change was sent, and the service answered nothing since: it may have landed.
    Unknown,
}

/// What one attempt came to.
enum Attempt {
    /// The outcome is certain.
    Settled(Published),
    /// The change has not landed, or what was sent may still land.
    Unsettled,
}

/// A change on its way.
struct Publication<'a> {
    store: &'a ConfigStore,
    base: &'a StoredObjects,
    change: &'a Change,
    snapshot: Snapshot,
    new_chunks: Vec<Chunk>,
    head: Bytes,
    /// Whether a write of the head was sent that nothing is known of.
    may_have_landed: bool,
}

impl ConfigStore {
    /// Publishes objects on top of the revision that they were made from.
    ///
    /// The chunks are written first, then the head by one compare-and-swap. When an
    /// answer is lost, the head is read back: the change's own mark says whether it
    /// took effect. While the head is still the old one, the same write is sent again,
    /// since the first may still arrive; it can't take effect twice.
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
                Ok(Attempt::Settled(published)) => return Ok(published),
                Ok(Attempt::Unsettled) => None,
                Err(error) => Some(error),
            };
            let Some(delay) = backoff.next_delay() else {
                return match error {
                    _ if publication.may_have_landed => Ok(Published::Unknown),
                    Some(error) => Err(error),
                    None => Err(StoreError::Unsteady),
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
        let unwritable = |error| super::malformed(HEAD_KEY, error);
        let revision = next_revision(base.snapshot.revision);
        let snapshot = Snapshot::new(revision, objects.clone()).map_err(unwritable)?;
        let new_chunks = snapshot.chunks_not_in(&base.snapshot).map_err(unwritable)?;
        new_chunks.iter().try_for_each(check_length)?;
        let head = base.stored.head.next(&base.snapshot, &snapshot, change);
        let head = serde_json::to_vec(&head).expect("a head is plain data");
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
            && let Attempt::Settled(published) = self.settle().await?
        {
            return Ok(Attempt::Settled(published));
        }
        self.write_chunks().await?;
        match self.write_head().await {
            Ok(true) => Ok(Attempt::Settled(Published::Accepted(
                self.snapshot.revision,
            ))),
            Ok(false) => self.settle().await,
            Err(error) => {
                self.may_have_landed |= matches!(error, KeyValueError::NoAnswer { .. });
                Err(error.into())
            }
        }
    }

    /// Writes the chunks; writing one twice changes nothing.
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
        let is_base = Condition::LastWrite(HEAD_KEY.to_owned(), mod_revision);
        let chunks = self.new_chunks.iter();
        let are_there = chunks.map(|chunk| Condition::Exists(chunk_key(chunk.digest)));
        let conditions: Vec<Condition> = std::iter::once(is_base).chain(are_there).collect();
        let write = Write::Put(HEAD_KEY.to_owned(), self.head.clone());
        let client = &self.store.head_client;
        client.transact(&conditions, &[write]).await
    }

    /// Reads the head back and looks for the change's own mark.
    async fn settle(&self) -> Result<Attempt, StoreError> {
        let now = self.store.head().await?;
        if let Some(record) = now.head.record_of(self.change.id) {
            return Ok(Attempt::Settled(Published::Accepted(record.revision)));
        }
        if now.mod_revision == self.base.stored.mod_revision {
            return Ok(Attempt::Unsettled);
        }
        Ok(Attempt::Settled(self.lost_to(&now)))
    }

    /// Judges a newer head that does not have the change's mark.
    fn lost_to(&self, now: &StoredHead) -> Published {
        let base = self.base.snapshot.revision;
        let (changes, is_complete) = now.head.changes_after(base);
        if !is_complete && self.may_have_landed {
            // So much was published since that this change may have been forgotten.
            return Published::Unknown;
        }
        Published::Conflict(Conflict {
            revision: now.head.revision,
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
    /// Gives a conflict when this is not the revision that a change was made from.
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
