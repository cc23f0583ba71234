//! Builds a change from the command line: a file of objects, deletions, or both.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use daisynotch_objects::{Edit, ObjectChange, ObjectRef, Objects};
use daisynotch_platform::StoredObjects;

use super::{CommandError, check_objects, config_store, read_objects};

/// The change to make, as given on the command line.
#[daisynotch_macros::value]
pub(crate) struct EditSource {
    /// A file of objects to add or change.
    pub(crate) file: Option<PathBuf>,
    /// Objects to delete.
    pub(crate) delete: BTreeSet<ObjectRef>,
    /// Whether to delete every object that the file does not name.
    pub(crate) prune: bool,
}

/// A change that was resolved against the newest revision and validated.
pub(super) struct Plan {
    pub(super) base: StoredObjects,
    pub(super) target: Objects,
    pub(super) changes: Vec<ObjectChange>,
}

impl EditSource {
    /// Returns the objects that result from applying the change to `base`.
    pub(super) fn target(&self, base: &Objects) -> Result<Objects, CommandError> {
        let put = match &self.file {
            Some(file) => read_objects(file)?,
            None => Objects::default(),
        };
        if self.prune {
            return Ok(put);
        }
        let delete = self.delete.clone();
        Ok(Edit { put, delete }.apply(base)?)
    }

    /// Reads the newest revision, applies the change to it and validates the result.
    pub(super) async fn plan(&self, key_value: SocketAddr) -> Result<Plan, CommandError> {
        let base = config_store(key_value).read().await?;
        let target = self.target(&base.snapshot.objects)?;
        check_objects(&target)?;
        let changes = daisynotch_objects::diff(&base.snapshot.objects, &target);
        Ok(Plan {
            base,
            target,
            changes,
        })
    }
}

impl Plan {
    /// Formats the changed objects as text.
    pub(super) fn to_text(&self) -> String {
        if self.changes.is_empty() {
            return format!(
                "no difference from revision {}",
                self.base.snapshot.revision
            );
        }
        let lines: Vec<String> = self.changes.iter().map(ToString::to_string).collect();
        lines.join("\n")
    }
}
