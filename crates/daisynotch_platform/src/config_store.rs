//! The operators' objects in the key-value service.
//!
//! A head value names the revision; it is published by one compare-and-swap.
//! See `docs/design/configuration.md`.

use daisynotch_objects::{Objects, Revision};
use serde::{Deserialize, Serialize};

use crate::key_value::{KeyValueClient, KeyValueError, ModRevision};

/// The key of the value that names the newest revision.
const HEAD_KEY: &str = "daisynotch/config/head";

/// Marks one publication, so that its writer recognises it when the answer is lost.
#[daisynotch_macros::number]
pub struct ChangeId(pub u64);

/// Why the stored objects can't be read or changed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The service failed.
    #[error(transparent)]
    KeyValue(#[from] KeyValueError),
    /// The stored value is not what this program writes.
    #[error("the value at `{HEAD_KEY}` can't be read: {0}")]
    Malformed(String),
}

/// Objects as they are stored.
#[daisynotch_macros::value]
#[derive(Default)]
pub struct StoredObjects {
    /// Their revision; zero when nothing was ever published.
    pub revision: Revision,
    /// The objects.
    pub objects: Objects,
    /// The write that published them.
    pub mod_revision: ModRevision,
    /// The publication's own mark.
    pub change: ChangeId,
}

/// What became of a publication.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum Published {
    /// It is the newest revision.
    Accepted(Revision),
    /// Somebody else published first; nothing changed.
    Conflict,
}

#[derive(Serialize, Deserialize)]
struct Head {
    revision: Revision,
    change: ChangeId,
    objects: String,
}

/// Reads and publishes the objects.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    client: KeyValueClient,
}

impl ConfigStore {
    /// Uses a client of the service.
    pub fn new(client: KeyValueClient) -> Self {
        Self { client }
    }

    /// Reads the newest revision.
    pub async fn read(&self) -> Result<StoredObjects, StoreError> {
        let Some(stored) = self.client.get(HEAD_KEY).await? else {
            return Ok(StoredObjects::default());
        };
        let malformed = |error: &dyn std::fmt::Display| StoreError::Malformed(error.to_string());
        let head: Head =
            serde_json::from_slice(&stored.value).map_err(|error| malformed(&error))?;
        let objects = head.objects.parse().map_err(|error| malformed(&error))?;
        Ok(StoredObjects {
            revision: head.revision,
            objects,
            mod_revision: stored.mod_revision,
            change: head.change,
        })
    }

    /// Publishes objects on top of the revision that they were made from.
    ///
    /// When the answer is lost, the head is read back: the publication's own mark
    /// says whether it took effect.
    pub async fn publish(
        &self,
        base: &StoredObjects,
        objects: &Objects,
        change: ChangeId,
    ) -> Result<Published, StoreError> {
        let revision = Revision(base.revision.0 + 1);
        let objects = objects.to_toml();
        let head = Head {
            revision,
            change,
            objects: objects.map_err(|error| StoreError::Malformed(error.to_string()))?,
        };
        let value = serde_json::to_vec(&head).expect("a head is plain data");
        let written = self
            .client
            .put_if(HEAD_KEY, base.mod_revision, &value)
            .await;
        match written {
            Ok(true) => Ok(Published::Accepted(revision)),
            Ok(false) | Err(KeyValueError::NoAnswer { .. }) => self.settle(revision, change).await,
            Err(error) => Err(error.into()),
        }
    }

    async fn settle(&self, revision: Revision, change: ChangeId) -> Result<Published, StoreError> {
        let stored = self.read().await?;
        if stored.change == change {
            Ok(Published::Accepted(revision))
        } else {
            Ok(Published::Conflict)
        }
    }
}
