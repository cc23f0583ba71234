//! A revision of the objects, split into content-addressed chunks.
//!
//! An object's bucket depends only on its kind and name, so changing one object
//! rewrites one chunk. Comparing the digest over all chunks shows whether two routers
//! have the same objects. See `docs/design/configuration.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use crate::document::Objects;
use crate::edit::{Edit, EditError, for_each_kind};
use crate::error::{ObjectKind, ObjectRef, ParseError};
use crate::ids::Revision;

/// Number of team chunks: 20,000 teams make about 1,250 per chunk.
const TEAM_BUCKETS: u64 = 16;
/// Number of endpoint chunks: 6,600 endpoints make about 830 per chunk.
const ENDPOINT_BUCKETS: u64 = 8;
/// Number of chunks for each other kind, all of which have few objects.
const OTHER_BUCKETS: u64 = 1;

/// The SHA-256 digest of some content, written as 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ContentDigest([u8; 32]);

/// The text is not a valid digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("`{0}` is not a digest of 64 hexadecimal digits")]
pub struct ContentDigestError(String);

impl ContentDigest {
    /// Computes the digest of some content.
    pub fn of(content: &[u8]) -> Self {
        Self(Sha256::digest(content).into())
    }
}

impl fmt::Display for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ContentDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for ContentDigest {
    type Err = ContentDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ContentDigestError(text.to_owned());
        if text.len() != 64 || !text.is_ascii() {
            return Err(error());
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for ContentDigest {
    type Error = ContentDigestError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ContentDigest> for String {
    fn from(digest: ContentDigest) -> Self {
        digest.to_string()
    }
}

/// Identifies the subset of objects that is stored in one chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Bucket {
    /// The kind of the objects in the bucket.
    pub kind: ObjectKind,
    /// The bucket's number within the kind.
    pub index: u16,
}

impl Bucket {
    /// Returns the bucket of an object.
    pub fn of(kind: ObjectKind, name: &str) -> Self {
        let buckets = match kind {
            ObjectKind::Team => TEAM_BUCKETS,
            ObjectKind::Endpoint => ENDPOINT_BUCKETS,
            ObjectKind::Share
            | ObjectKind::Pool
            | ObjectKind::Route
            | ObjectKind::Limits
            | ObjectKind::ServiceLevel => OTHER_BUCKETS,
        };
        let index = xxh3_64(name.as_bytes()) % buckets;
        Self {
            kind,
            index: index as u16,
        }
    }
}

/// A chunk: the serialized objects of one bucket.
#[daisynotch_macros::value]
pub struct Chunk {
    /// The bucket whose objects the chunk holds.
    pub bucket: Bucket,
    /// The digest of the chunk's text.
    pub digest: ContentDigest,
    /// The objects, in TOML.
    pub text: String,
}

/// The objects of one revision with the digests of their chunks.
#[daisynotch_macros::value]
#[derive(Default)]
pub struct Snapshot {
    /// The revision, or zero if none has been published yet.
    pub revision: Revision,
    /// The objects.
    pub objects: Objects,
    /// The digest of every chunk that holds an object.
    pub chunks: BTreeMap<Bucket, ContentDigest>,
}

impl Snapshot {
    /// Creates a snapshot and computes the digest of each chunk.
    pub fn new(revision: Revision, objects: Objects) -> Result<Self, ParseError> {
        let chunks = split_into_chunks(&objects, |_| true)?;
        let chunks = chunks.iter().map(|chunk| (chunk.bucket, chunk.digest));
        Ok(Self {
            revision,
            chunks: chunks.collect(),
            objects,
        })
    }

    /// Applies an edit and returns the result as a new revision.
    ///
    /// Serializes only the chunks that the edit changes.
    pub fn edited(&self, revision: Revision, edit: &Edit) -> Result<Self, SnapshotError> {
        let objects = edit.apply(&self.objects)?;
        let edited_buckets: BTreeSet<Bucket> = edit.objects().iter().map(bucket_of).collect();
        let mut chunks = self.chunks.clone();
        chunks.retain(|bucket, _| !edited_buckets.contains(bucket));
        for chunk in split_into_chunks(&objects, |bucket| edited_buckets.contains(&bucket))? {
            chunks.insert(chunk.bucket, chunk.digest);
        }
        Ok(Self {
            revision,
            objects,
            chunks,
        })
    }

    /// Returns a revision with the given chunks, reusing the objects of unchanged chunks.
    ///
    /// `fetched` holds the content of every chunk that this revision doesn't have.
    #[must_use]
    pub fn with_chunks(
        &self,
        revision: Revision,
        chunks: BTreeMap<Bucket, ContentDigest>,
        fetched: Vec<Objects>,
    ) -> Self {
        let mut objects = self.objects.clone();
        let is_unchanged = |bucket: Bucket| {
            let known = self.chunks.get(&bucket);
            known.is_some() && known == chunks.get(&bucket)
        };
        macro_rules! replace_kind {
            ($map:ident, $kind:expr) => {
                objects
                    .$map
                    .retain(|name, _| is_unchanged(Bucket::of($kind, name.as_str())));
            };
        }
        for_each_kind!(replace_kind);
        for chunk_objects in fetched {
            macro_rules! add_kind {
                ($map:ident, $kind:expr) => {
                    objects.$map.extend(chunk_objects.$map);
                };
            }
            for_each_kind!(add_kind);
        }
        Self {
            revision,
            objects,
            chunks,
        }
    }

    /// Returns the chunks, with their text, whose content differs from another revision's.
    pub fn chunks_not_in(&self, base: &Self) -> Result<Vec<Chunk>, ParseError> {
        let is_new = |bucket| base.chunks.get(&bucket) != self.chunks.get(&bucket);
        split_into_chunks(&self.objects, is_new)
    }

    /// Computes the digest over the revision number and the digests of all chunks.
    pub fn digest(&self) -> ContentDigest {
        let mut hash = Sha256::new();
        hash.update(self.revision.0.to_le_bytes());
        for (bucket, digest) in &self.chunks {
            hash.update(bucket.kind.to_string());
            hash.update(bucket.index.to_le_bytes());
            hash.update(digest.0);
        }
        ContentDigest(hash.finalize().into())
    }
}

/// A reason why an edit doesn't produce a new revision.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The edit can't be applied to the objects.
    #[error(transparent)]
    Edit(#[from] EditError),
    /// The objects can't be serialized as TOML.
    #[error(transparent)]
    Parse(#[from] ParseError),
}

fn bucket_of(object: &ObjectRef) -> Bucket {
    Bucket::of(object.kind, &object.name)
}

/// Serializes the chunks of the selected buckets.
fn split_into_chunks(
    objects: &Objects,
    is_selected: impl Fn(Bucket) -> bool,
) -> Result<Vec<Chunk>, ParseError> {
    let mut objects_by_bucket: BTreeMap<Bucket, Objects> = BTreeMap::new();
    macro_rules! split_kind {
        ($map:ident, $kind:expr) => {
            for (name, object) in &objects.$map {
                let bucket = Bucket::of($kind, name.as_str());
                if is_selected(bucket) {
                    let bucket_objects = objects_by_bucket.entry(bucket).or_default();
                    bucket_objects.$map.insert(name.clone(), object.clone());
                }
            }
        };
    }
    for_each_kind!(split_kind);
    objects_by_bucket.into_iter().map(serialize_chunk).collect()
}

fn serialize_chunk((bucket, objects): (Bucket, Objects)) -> Result<Chunk, ParseError> {
    let text = objects.to_toml()?;
    Ok(Chunk {
        bucket,
        digest: ContentDigest::of(text.as_bytes()),
        text,
    })
}

#[cfg(test)]
mod tests;
