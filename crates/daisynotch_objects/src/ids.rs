//! Compact identifiers that replace names in messages and tables.
//!
//! An identifier is a stable hash of the name: routers on different revisions agree
//! on it without exchanging a table. [`crate::check`] rejects hash collisions within
//! a kind. The widths keep the ticket, grant and release of a request together under
//! the 75 bytes per request that `docs/CAPACITY.md` allows.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

use crate::names::{EndpointName, PoolName, RouterName, TeamName, ZoneName};

/// Defines a newtype for an identifier that is a hash.
///
/// Binary codecs receive fixed-width bytes, because a variable-length integer encoding
/// makes a hash longer. Human-readable formats receive the number.
macro_rules! hash_id {
    ($(#[$attribute:meta])* $name:ident($inner:ty)) => {
        $(#[$attribute])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                if serializer.is_human_readable() {
                    return self.0.serialize(serializer);
                }
                self.0.to_le_bytes().serialize(serializer)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                if deserializer.is_human_readable() {
                    return Deserialize::deserialize(deserializer).map(Self);
                }
                Deserialize::deserialize(deserializer).map(|bytes| Self(<$inner>::from_le_bytes(bytes)))
            }
        }
    };
}

hash_id! {
    /// Identifies a team.
    TeamId(u64)
}
hash_id! {
    /// Identifies an endpoint pool.
    PoolId(u32)
}
hash_id! {
    /// Identifies an endpoint.
    EndpointId(u32)
}
hash_id! {
    /// Identifies an availability zone.
    ZoneId(u32)
}
hash_id! {
    /// Identifies a router by its name. A restart keeps the identifier; the incarnation tells
    /// restarts apart.
    RouterId(u64)
}

/// The number of an accepted configuration. A router never moves to a smaller revision.
#[daisynotch_macros::number]
pub struct Revision(pub u64);

/// Hashes a name and folds the 64-bit hash to 32 bits.
fn hash_32(name: &str) -> u32 {
    let hash = xxh3_64(name.as_bytes());
    (hash ^ (hash >> 32)) as u32
}

impl From<&TeamName> for TeamId {
    fn from(name: &TeamName) -> Self {
        Self(xxh3_64(name.as_str().as_bytes()))
    }
}

impl From<&PoolName> for PoolId {
    fn from(name: &PoolName) -> Self {
        Self(hash_32(name.as_str()))
    }
}

impl From<&EndpointName> for EndpointId {
    fn from(name: &EndpointName) -> Self {
        Self(hash_32(name.as_str()))
    }
}

impl From<&ZoneName> for ZoneId {
    fn from(name: &ZoneName) -> Self {
        Self(hash_32(name.as_str()))
    }
}

impl From<&RouterName> for RouterId {
    fn from(name: &RouterName) -> Self {
        Self(xxh3_64(name.as_str().as_bytes()))
    }
}
