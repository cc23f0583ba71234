//! The operators' objects in the key-value service.
//!
//! The objects are cut into chunks that are named by their digest; a head value
//! names the chunks of the newest revision and is published by one
//! compare-and-swap. The head also keeps the latest changes, from which a writer
//! whose answer was lost learns what became of its own. See
//! `docs/design/configuration.md`.

mod head;
mod publish;

use std::time::Duration;

use daisynotch_core::BackoffSettings;
use daisynotch_objects::{Bucket, ContentDigest, Objects, Revision, Snapshot};

use crate::key_value::{Condition, KeyValueClient, KeyValueError, KeyValueUse, ModRevision, Write};

pub use head::{Change, ChangeId, ChangeRecord, HISTORY_MAX, Head};
pub use publish::{Conflict, Published};

/// The key of the value that names the newest revision.
const HEAD_KEY: &str = "daisynotch/config/head";
/// The start of every chunk's key.
const CHUNK_PREFIX: &str = "daisynotch/config/chunk/";
/// The longest chunk that is written; the service takes a megabyte.
const CHUNK_MAX_BYTES: usize = 900_000;
/// The pause between reads of two chunks, which bounds the reads of relays that start together.
const CHUNK_READ_PAUSE: Duration = Duration::from_millis(20);
/// How often the whole read starts again when a chunk is replaced meanwhile.
const READ_ATTEMPTS: u32 = 3;
/// Chunks that one transaction removes; the service takes 128 writes.
const REMOVE_MAX: usize = 100;

/// Why the stored objects can't be read or changed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The service failed.
    #[error(transparent)]
    KeyValue(#[from] KeyValueError),
    /// A stored value is not what this program writes.
    #[error("the value at `{key}` can't be read: {problem}")]
    Malformed {
        /// The value's key.
        key: String,
        /// What is wrong with it.
        problem: String,
    },
    /// The objects don't fit the service.
    #[error(
        "the objects can't be stored: a chunk of {kind} objects has {length_bytes} bytes, over \
         {CHUNK_MAX_BYTES}: shorten or remove some of them"
    )]
    TooLong {
        /// The kind of the objects in the chunk.
        kind: daisynotch_objects::ObjectKind,
        /// The chunk's length.
        length_bytes: usize,
    },
    /// Chunks went away during each attempt to read them.
    #[error("the objects changed again and again while they were read: try again")]
    Unsteady,
}

/// The head with the write that it came from.
#[daisynotch_macros::value]
#[derive(Default)]
pub struct StoredHead {
    /// What it says.
    pub head: Head,
    /// The write; zero when nothing was ever published.
    pub mod_revision: ModRevision,
}

/// Objects as they are stored.
#[daisynotch_macros::value]
#[derive(Default)]
pub struct StoredObjects {
    /// The objects and their revision.
    pub snapshot: Snapshot,
    /// The head that names them.
    pub stored: StoredHead,
}

/// Reads and publishes the objects.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    head_client: KeyValueClient,
    chunk_client: KeyValueClient,
    retries: BackoffSettings,
}

impl ConfigStore {
    /// Uses a client of the service.
    pub fn new(client: KeyValueClient) -> Self {
        Self {
            head_client: client.clone().for_use(KeyValueUse::ConfigurationHead),
            chunk_client: client.for_use(KeyValueUse::ConfigurationChunk),
            retries: publish::RETRIES,
        }
    }

    /// Sets how a publication is tried again.
    #[must_use]
    pub fn with_retries(self, retries: BackoffSettings) -> Self {
        Self { retries, ..self }
    }

    /// Reads the head alone: one call.
    pub async fn head(&self) -> Result<StoredHead, StoreError> {
        let Some(stored) = self.head_client.get(HEAD_KEY).await? else {
            return Ok(StoredHead::default());
        };
        let head = serde_json::from_slice(&stored.value);
        Ok(StoredHead {
            head: head.map_err(|error| malformed(HEAD_KEY, error))?,
            mod_revision: stored.mod_revision,
        })
    }

    /// Reads the newest revision.
    pub async fn read(&self) -> Result<StoredObjects, StoreError> {
        self.read_from(&Snapshot::default()).await
    }

    /// Reads the newest revision, taking the chunks that did not change from a known one.
    pub async fn read_from(&self, known: &Snapshot) -> Result<StoredObjects, StoreError> {
        for _ in 0..READ_ATTEMPTS {
            let stored = self.head().await?;
            if let Some(snapshot) = self.read_chunks(&stored.head, known).await? {
                return Ok(StoredObjects { snapshot, stored });
            }
        }
        Err(StoreError::Unsteady)
    }

    /// Reads the chunks that a head names; gives none when one was removed meanwhile.
    async fn read_chunks(
        &self,
        head: &Head,
        known: &Snapshot,
    ) -> Result<Option<Snapshot>, StoreError> {
        let chunks = head.chunks();
        let mut fetched = Vec::new();
        for (bucket, digest) in &chunks {
            if known.chunks.get(bucket) == Some(digest) {
                continue;
            }
            if !fetched.is_empty() {
                tokio::time::sleep(CHUNK_READ_PAUSE).await;
            }
            let Some(objects) = self.read_chunk(*bucket, *digest).await? else {
                return Ok(None);
            };
            fetched.push(objects);
        }
        Ok(Some(known.with_chunks(head.revision, chunks, fetched)))
    }

    async fn read_chunk(
        &self,
        bucket: Bucket,
        digest: ContentDigest,
    ) -> Result<Option<Objects>, StoreError> {
        let key = chunk_key(digest);
        let Some(stored) = self.chunk_client.get(&key).await? else {
            return Ok(None);
        };
        if ContentDigest::of(&stored.value) != digest {
            let problem = format!("it is not the content of chunk {}", bucket.kind);
            return Err(malformed(&key, problem));
        }
        let text = std::str::from_utf8(&stored.value).map_err(|error| malformed(&key, error))?;
        let objects = text.parse().map_err(|error| malformed(&key, error))?;
        Ok(Some(objects))
    }

    /// Removes chunks that no recent revision names, and gives how many.
    ///
    /// The head is a condition of the removal, and each new chunk one of the
    /// publication, so a chunk that is being published is never lost: either the
    /// removal fails, or the publication does and writes the chunk again.
    pub async fn remove_unreferenced(&self) -> Result<usize, StoreError> {
        let stored = self.head().await?;
        let kept = stored.head.kept_chunks();
        let keys = self.chunk_client.list_keys(CHUNK_PREFIX).await?;
        let is_kept = |key: &String| kept.iter().any(|digest| *key == chunk_key(*digest));
        let mut unreferenced: Vec<String> = keys.into_iter().filter(|key| !is_kept(key)).collect();
        unreferenced.truncate(REMOVE_MAX);
        if unreferenced.is_empty() {
            return Ok(0);
        }
        let removed = unreferenced.len();
        let condition = Condition::LastWrite(HEAD_KEY.to_owned(), stored.mod_revision);
        let writes: Vec<Write> = unreferenced.into_iter().map(Write::Delete).collect();
        let is_done = self.chunk_client.transact(&[condition], &writes).await?;
        Ok(if is_done { removed } else { 0 })
    }
}

fn chunk_key(digest: ContentDigest) -> String {
    format!("{CHUNK_PREFIX}{digest}")
}

fn malformed(key: &str, problem: impl std::fmt::Display) -> StoreError {
    StoreError::Malformed {
        key: key.to_owned(),
        problem: problem.to_string(),
    }
}

/// Gives the revision that follows a published one.
fn next_revision(base: Revision) -> Revision {
    Revision(base.0 + 1)
}
