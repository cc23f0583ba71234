//! Orders the store's revisions and configurations, also across restores of the store.
//!
//! The store may be restored from a backup that is some seconds old. Changes acknowledged since
//! the backup are lost, and the store assigns their revisions again to other changes. Each
//! restore therefore starts a new era. See `docs/design/store-restore.md`.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

/// A position in the store's history; later positions are greater.
#[daisynotch_macros::message]
#[derive(Copy, Default, PartialOrd, Ord)]
pub struct StorePosition {
    /// Counts the store's restores from a backup.
    pub era: u64,
    /// The store's revision within the era.
    pub revision: u64,
}

/// Identifies a configuration and orders it relative to others.
///
/// A listing after a restore does not show whether a configuration comes from the backup or was
/// written since. The stamp therefore holds two bounds for the era in which it was written.
#[daisynotch_macros::message]
#[derive(Copy, Default)]
pub struct ConfigurationStamp {
    /// The version number assigned by the operator. The number of a lost configuration may be
    /// assigned again.
    pub version: u64,
    /// A hash of the configuration's text.
    pub content: u64,
    /// The earliest era in which the configuration may have been written.
    pub era_min: u64,
    /// The latest era in which the configuration may have been written: the last one in which the
    /// store held it.
    pub era_max: u64,
}

impl ConfigurationStamp {
    /// Creates the stamp of a configuration text that the store held in era `held_in`.
    ///
    /// `written_in` is the era in which the text was written, if that is known.
    pub fn new(version: u64, text: &[u8], held_in: u64, written_in: Option<u64>) -> Self {
        Self {
            version,
            content: xxh3_64(text),
            era_min: written_in.unwrap_or(0),
            era_max: held_in,
        }
    }

    /// Returns whether this configuration replaces `other`.
    ///
    /// A configuration that was written in a later era does, whatever its version. If the eras do
    /// not decide, the greater version does: an older configuration from the backup must not make
    /// revoked keys valid again.
    pub fn is_newer_than(&self, other: &Self) -> bool {
        if self.era_min > other.era_max {
            return true;
        }
        if other.era_min > self.era_max {
            return false;
        }
        if self.version != other.version {
            return self.version > other.version;
        }
        // A version is assigned again only in a later era.
        self.content != other.content && self.era_max > other.era_max
    }

    /// Returns whether both stamps identify the same configuration.
    pub fn is_same(&self, other: &Self) -> bool {
        self.version == other.version && self.content == other.content
    }

    /// Merges the era bounds of another stamp of the same configuration: the greater one of each.
    pub fn join(&mut self, other: &Self) {
        self.era_min = self.era_min.max(other.era_min);
        self.era_max = self.era_max.max(other.era_max);
    }
}

/// The error for a text that does not consist of the expected number of dot-separated numbers.
#[daisynotch_macros::value]
#[derive(Copy, thiserror::Error)]
#[error("expected {0} numbers separated by dots")]
pub struct StoreOrderError(usize);

fn parse_numbers<const N: usize>(text: &str) -> Result<[u64; N], StoreOrderError> {
    let mut parts = text.split('.');
    let mut numbers = [0; N];
    for number in &mut numbers {
        let part = parts.next().and_then(|part| part.parse().ok());
        *number = part.ok_or(StoreOrderError(N))?;
    }
    match parts.next() {
        None => Ok(numbers),
        Some(_) => Err(StoreOrderError(N)),
    }
}

impl Display for StorePosition {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

impl FromStr for StorePosition {
    type Err = StoreOrderError;

    fn from_str(text: &str) -> Result<Self, StoreOrderError> {
        let [era, revision] = parse_numbers(text)?;
        Ok(Self { era, revision })
    }
}

impl Display for ConfigurationStamp {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let Self {
            version,
            content,
            era_min,
            era_max,
        } = self;
        write!(f, "{version}.{content}.{era_min}.{era_max}")
    }
}

impl FromStr for ConfigurationStamp {
    type Err = StoreOrderError;

    fn from_str(text: &str) -> Result<Self, StoreOrderError> {
        let [version, content, era_min, era_max] = parse_numbers(text)?;
        Ok(Self {
            version,
            content,
            era_min,
            era_max,
        })
    }
}

#[cfg(test)]
mod tests;
