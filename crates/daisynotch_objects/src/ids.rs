//! Compact identifiers that stand for names in messages and tables.
//!
//! An identifier is a stable hash of the name, so that routers on different
//! revisions agree on it without a table. [`crate::check`] refuses two names with
//! the same identifier. The widths keep a ticket, a grant and a release together
//! under the 75 bytes that `docs/CAPACITY.md` allows a request.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use xxhash_rust::xxh3::xxh3_64;

use crate::names::{EndpointName, PoolName, RouterName, TeamName, ZoneName};

/// Defines an identifier that is a hash.
///
/// Compact codecs get it at its fixed width, since a variable-length integer makes
/// a hash longer; readable formats get the number.
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
    /// Identifies a router by its name; its restarts differ by incarnation.
    RouterId(u64)
}

/// The number of an accepted configuration; a router never goes to a smaller one.
#[daisynotch_macros::number]
pub struct Revision(pub u64);

/// Folds a hash to 32 bits.
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
