//! Where a change comes from: a file, deletions, or both.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use daisynotch_objects::{Edit, ObjectChange, ObjectRef, Objects};
use daisynotch_platform::StoredObjects;

use super::{CommandError, check_objects, config_store, read_objects};

/// What the operator wants changed.
#[daisynotch_macros::value]
pub(crate) struct EditSource {
    /// Objects to add or change.
    pub(crate) file: Option<PathBuf>,
    /// Objects to delete.
    pub(crate) delete: BTreeSet<ObjectRef>,
    /// Whether every object that the file does not name is deleted.
    pub(crate) prune: bool,
}

/// A change that was checked as a whole against the newest revision.
pub(super) struct Plan {
    pub(super) base: StoredObjects,
    pub(super) target: Objects,
    pub(super) changes: Vec<ObjectChange>,
}

impl EditSource {
    /// Gives the objects that the change makes of others.
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

    /// Reads the newest revision and checks what the change makes of it.
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
    /// Lists the changes for a reader.
    pub(super) fn text(&self) -> String {
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
