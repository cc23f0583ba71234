//! Stores the operators' objects in the key-value service.
//!
//! The objects are split into chunks whose keys are content digests. A head value names the
//! chunks of the newest revision and is published by a single compare-and-swap. The head also
//! holds the most recent changes, so that a writer that lost a response can find out whether
//! its change was published. See `docs/design/configuration.md`.

mod head;
mod publish;

use std::time::Duration;

use daisynotch_core::BackoffSettings;
use daisynotch_objects::{Bucket, ContentDigest, Objects, Revision, Snapshot};

use crate::key_value::{Condition, KeyValueClient, KeyValueError, KeyValueUse, ModRevision, Write};

pub use head::{Change, ChangeId, ChangeRecord, HISTORY_MAX, Head};
pub use publish::{Conflict, Published};

/// Key of the head, which names the newest revision.
const HEAD_KEY: &str = "daisynotch/config/head";
/// Prefix of the chunks' keys.
const CHUNK_PREFIX: &str = "daisynotch/config/chunk/";
/// Maximum length of a chunk; the service accepts values of up to a megabyte.
const CHUNK_MAX_BYTES: usize = 900_000;
/// Pause between two chunk reads, which limits the read rate when many relays start together.
const CHUNK_READ_PAUSE: Duration = Duration::from_millis(20);
/// Maximum number of attempts to read a revision; a chunk removed meanwhile fails an attempt.
const READ_ATTEMPTS: u32 = 3;
/// Maximum number of chunks removed in a transaction; the service accepts 128 writes.
const REMOVE_MAX: usize = 100;

/// Why the stored objects can't be read or changed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A call to the key-value service failed.
    #[error(transparent)]
    KeyValue(#[from] KeyValueError),
    /// A value does not have this program's format, or can't be encoded in it.
    #[error("the value at `{key}` can't be read: {problem}")]
    Malformed {
        /// The value's key.
        key: String,
        /// Why decoding or encoding failed.
        problem: String,
    },
    /// A chunk exceeds the maximum length.
    #[error(
        "the objects can't be stored: a chunk of {kind} objects has {length_bytes} bytes, more \
         than {CHUNK_MAX_BYTES}: shorten or remove some of these objects"
    )]
    TooLong {
        /// The kind of the objects in the chunk.
        kind: daisynotch_objects::ObjectKind,
        /// The chunk's length.
        length_bytes: usize,
    },
    /// Concurrent changes interfered with every attempt to read or publish the objects.
    #[error("the objects kept changing while they were accessed: try again")]
    ConcurrentChanges,
}

/// The head with the revision of the write that stored it.
#[daisynotch_macros::value]
#[derive(Default)]
pub struct StoredHead {
    /// The decoded head.
    pub head: Head,
    /// The revision of the write; zero if nothing was ever published.
    pub mod_revision: ModRevision,
}

/// The newest revision as read from the service.
#[daisynotch_macros::value]
#[derive(Default)]
pub struct StoredObjects {
    /// The objects and their revision.
    pub snapshot: Snapshot,
    /// The head that names the revision's chunks.
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
    /// Creates a store that uses a client of the key-value service.
    pub fn new(client: KeyValueClient) -> Self {
        Self {
            head_client: client.clone().for_use(KeyValueUse::ConfigurationHead),
            chunk_client: client.for_use(KeyValueUse::ConfigurationChunk),
            retries: publish::RETRIES,
        }
    }

    /// Returns the store with other backoff settings for retries of a publication.
    #[must_use]
    pub fn with_retries(self, retries: BackoffSettings) -> Self {
        Self { retries, ..self }
    }

    /// Reads only the head, in one call.
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

    /// Reads the newest revision, reusing the unchanged chunks of a known one.
    pub async fn read_from(&self, known: &Snapshot) -> Result<StoredObjects, StoreError> {
        for _ in 0..READ_ATTEMPTS {
            let stored = self.head().await?;
            if let Some(snapshot) = self.read_chunks(&stored.head, known).await? {
                return Ok(StoredObjects { snapshot, stored });
            }
        }
        Err(StoreError::ConcurrentChanges)
    }

    /// Reads the chunks that a head names; returns `None` if one was removed meanwhile.
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
            let problem = format!(
                "the content of this {} chunk does not match its digest",
                bucket.kind
            );
            return Err(malformed(&key, problem));
        }
        let text = std::str::from_utf8(&stored.value).map_err(|error| malformed(&key, error))?;
        let objects = text.parse().map_err(|error| malformed(&key, error))?;
        Ok(Some(objects))
    }

    /// Removes chunks that no recent revision references, and returns how many were removed.
    ///
    /// The removal requires that the head is unchanged, and a publication requires that its new
    /// chunks exist. A chunk that is being published is therefore never lost: either the removal
    /// fails, or the publication fails and writes the chunk again.
    pub async fn remove_unreferenced(&self) -> Result<usize, StoreError> {
        let stored = self.head().await?;
        let referenced = stored.head.referenced_chunks();
        let keys = self.chunk_client.list_keys(CHUNK_PREFIX).await?;
        let is_referenced =
            |key: &String| referenced.iter().any(|digest| *key == chunk_key(*digest));
        let mut unreferenced: Vec<String> =
            keys.into_iter().filter(|key| !is_referenced(key)).collect();
        unreferenced.truncate(REMOVE_MAX);
        if unreferenced.is_empty() {
            return Ok(0);
        }
        let removed = unreferenced.len();
        let condition = Condition::LastWrite(HEAD_KEY.to_owned(), stored.mod_revision);
        let writes: Vec<Write> = unreferenced.into_iter().map(Write::Delete).collect();
        let succeeded = self.chunk_client.transact(&[condition], &writes).await?;
        Ok(if succeeded { removed } else { 0 })
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

/// Returns the revision that follows a published one.
fn next_revision(base: Revision) -> Revision {
    Revision(base.0 + 1)
}
