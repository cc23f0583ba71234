//! Which of two things that the store said is the newer one.
//!
//! Load pattern: the store comes back from a copy that is some seconds old. What was
//! acknowledged since is gone, and its revisions are given out again for other changes.
//! Each return starts a new era. See `docs/design/store-restore.md`.

use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

use xxhash_rust::xxh3::xxh3_64;

/// A point in the store's history; later ones are greater.
#[daisynotch_macros::message]
#[derive(Copy, Default, PartialOrd, Ord)]
pub struct StorePosition {
    /// Counts the store's returns from a copy.
    pub era: u64,
    /// The revision within it.
    pub revision: u64,
}

/// What tells configurations apart and in order.
///
/// Whether a configuration that is listed after a return is the copy's or was written since
/// can't be seen, so that two bounds are kept for the era in which it was written.
#[daisynotch_macros::message]
#[derive(Copy, Default)]
pub struct ConfigurationStamp {
    /// The operator's number; a lost one may be given out again.
    pub version: u64,
    /// A hash of its text.
    pub content: u64,
    /// The era in which it was written at the earliest.
    pub era_min: u64,
    /// The era in which it was written at the latest: the last in which the store held it.
    pub era_max: u64,
}

impl ConfigurationStamp {
    /// Makes the stamp of a text that the store held in era `held_in`; `written_in` is set if it
    /// is known to have been written in that era.
    pub fn new(version: u64, text: &[u8], held_in: u64, written_in: Option<u64>) -> Self {
        Self {
            version,
            content: xxh3_64(text),
            era_min: written_in.unwrap_or(0),
            era_max: held_in,
        }
    }

    /// Says whether a configuration takes the place of another one.
    ///
    /// One that was written in a later era does, whatever its number. Where that can't be told,
    /// the greater number does: the copy's older one must not bring withdrawn keys back.
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
        // A number is given out again in a later era only.
        self.content != other.content && self.era_max > other.era_max
    }

    /// Says whether both are of the same configuration.
    pub fn is_same(&self, other: &Self) -> bool {
        self.version == other.version && self.content == other.content
    }

    /// Joins what is known of the same configuration.
    pub fn join(&mut self, other: &Self) {
        self.era_min = self.era_min.max(other.era_min);
        self.era_max = self.era_max.max(other.era_max);
    }
}

/// A text that is not numbers with dots between.
#[daisynotch_macros::value]
#[derive(Copy, thiserror::Error)]
#[error("expected {0} numbers with dots between")]
pub struct StoreOrderError(usize);

fn numbers<const N: usize>(text: &str) -> Result<[u64; N], StoreOrderError> {
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
        let [era, revision] = numbers(text)?;
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
        let [version, content, era_min, era_max] = numbers(text)?;
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
