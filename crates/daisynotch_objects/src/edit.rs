//! Differences between two sets of objects, and edits that turn one set into the other.
//!
//! An operator's file is also an edit: it adds or replaces the objects that it contains
//! and leaves all others unchanged, unless they are deleted by name. See
//! `docs/design/configuration.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Display};
use std::str::FromStr;

use serde::Serialize;

use crate::document::Objects;
use crate::error::{ObjectKind, ObjectRef};

/// Invokes a macro once per object kind, with the field of [`Objects`] and the [`ObjectKind`].
macro_rules! for_each_kind {
    ($run:ident) => {
        $run!(share, ObjectKind::Share);
        $run!(team, ObjectKind::Team);
        $run!(pool, ObjectKind::Pool);
        $run!(endpoint, ObjectKind::Endpoint);
        $run!(route, ObjectKind::Route);
        $run!(limits, ObjectKind::Limits);
        $run!(service_level, ObjectKind::ServiceLevel);
    };
}
pub(crate) use for_each_kind;

/// A changed field of an object. `None` means that the field is not set on that side.
#[daisynotch_macros::message]
pub struct FieldChange {
    /// The field's name.
    pub field: String,
    /// The field's old value, as TOML.
    pub before: Option<String>,
    /// The field's new value, as TOML.
    pub after: Option<String>,
}

/// How an object differs between two sets of objects.
#[daisynotch_macros::message]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// The object exists only in the new set.
    Added,
    /// The object exists in both sets with different fields.
    Changed {
        /// The fields that differ.
        fields: Vec<FieldChange>,
    },
    /// The object exists only in the old set.
    Removed,
}

/// One object that differs between two sets of objects.
#[daisynotch_macros::message]
pub struct ObjectChange {
    /// The object.
    pub object: ObjectRef,
    /// How the object differs.
    pub change: ChangeKind,
}

/// A reason why an edit can't be applied.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EditError {
    /// An object to delete does not exist.
    #[error("{0} can't be deleted, as it does not exist: check its name with `daisynotch get`")]
    NotFound(ObjectRef),
    /// An object is to be both written and deleted.
    #[error("{0} is both written and deleted: leave out one of the two")]
    WrittenAndDeleted(ObjectRef),
}

/// Objects to write and objects to delete.
#[daisynotch_macros::message]
#[derive(Default)]
pub struct Edit {
    /// Objects that are added, or replaced as a whole.
    #[serde(default)]
    pub put: Objects,
    /// Objects that are deleted.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub delete: BTreeSet<ObjectRef>,
}

/// Returns every object that differs, ordered by kind and name.
pub fn diff(before: &Objects, after: &Objects) -> Vec<ObjectChange> {
    let mut changes = Vec::new();
    macro_rules! diff_kind {
        ($map:ident, $kind:expr) => {
            diff_map($kind, &before.$map, &after.$map, &mut changes);
        };
    }
    for_each_kind!(diff_kind);
    changes
}

impl Objects {
    /// Returns the objects of one kind, or only the one with the given name.
    #[must_use]
    pub fn select(&self, kind: ObjectKind, name: Option<&str>) -> Self {
        let mut selected = Self::default();
        macro_rules! select_kind {
            ($map:ident, $kind:expr) => {
                if kind == $kind {
                    selected.$map.clone_from(&self.$map);
                    selected
                        .$map
                        .retain(|key, _| name.is_none_or(|name| key.as_str() == name));
                }
            };
        }
        for_each_kind!(select_kind);
        selected
    }
}

fn diff_map<K: Ord + Display, V: PartialEq + Serialize>(
    kind: ObjectKind,
    before: &BTreeMap<K, V>,
    after: &BTreeMap<K, V>,
    changes: &mut Vec<ObjectChange>,
) {
    let names: BTreeSet<&K> = before.keys().chain(after.keys()).collect();
    for name in names {
        let change = match (before.get(name), after.get(name)) {
            (Some(old), Some(new)) if old != new => ChangeKind::Changed {
                fields: diff_fields(old, new),
            },
            (None, Some(_)) => ChangeKind::Added,
            (Some(_), None) => ChangeKind::Removed,
            (Some(_), Some(_)) | (None, None) => continue,
        };
        let object = ObjectRef::new(kind, name);
        changes.push(ObjectChange { object, change });
    }
}

fn diff_fields<V: Serialize>(before: &V, after: &V) -> Vec<FieldChange> {
    let table =
        |object: &V| toml::Table::try_from(object).expect("an object serializes to a TOML table");
    let (before, after) = (table(before), table(after));
    let fields: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let differs = |field: &&String| before.get(*field) != after.get(*field);
    let text = |table: &toml::Table, field: &str| table.get(field).map(ToString::to_string);
    let change = |field: &String| FieldChange {
        field: field.clone(),
        before: text(&before, field),
        after: text(&after, field),
    };
    fields.into_iter().filter(differs).map(change).collect()
}

impl Edit {
    /// Returns the smallest edit that turns one set of objects into another.
    pub fn between(before: &Objects, after: &Objects) -> Self {
        let mut edit = Self::default();
        macro_rules! edit_kind {
            ($map:ident, $kind:expr) => {
                for (name, object) in &after.$map {
                    if before.$map.get(name) != Some(object) {
                        edit.put.$map.insert(name.clone(), object.clone());
                    }
                }
                for name in before.$map.keys() {
                    if !after.$map.contains_key(name) {
                        edit.delete.insert(ObjectRef::new($kind, name));
                    }
                }
            };
        }
        for_each_kind!(edit_kind);
        edit
    }

    /// Returns references to all objects that the edit writes or deletes.
    pub fn objects(&self) -> BTreeSet<ObjectRef> {
        let mut objects = self.delete.clone();
        macro_rules! name_kind {
            ($map:ident, $kind:expr) => {
                objects.extend(self.put.$map.keys().map(|name| ObjectRef::new($kind, name)));
            };
        }
        for_each_kind!(name_kind);
        objects
    }

    /// Applies the edit to a set of objects and returns the result.
    pub fn apply(&self, base: &Objects) -> Result<Objects, EditError> {
        let mut objects = base.clone();
        for object in &self.delete {
            self.delete_from(&mut objects, object)?;
        }
        macro_rules! put_kind {
            ($map:ident, $kind:expr) => {
                objects.$map.extend(self.put.$map.clone());
            };
        }
        for_each_kind!(put_kind);
        Ok(objects)
    }

    fn delete_from(&self, objects: &mut Objects, object: &ObjectRef) -> Result<(), EditError> {
        let mut is_written = false;
        let mut exists = false;
        macro_rules! delete_kind {
            ($map:ident, $kind:expr) => {
                if object.kind == $kind
                    && let Ok(name) = object.name.parse()
                {
                    is_written = self.put.$map.contains_key(&name);
                    exists = objects.$map.remove(&name).is_some();
                }
            };
        }
        for_each_kind!(delete_kind);
        match (is_written, exists) {
            (true, _) => Err(EditError::WrittenAndDeleted(object.clone())),
            (false, false) => Err(EditError::NotFound(object.clone())),
            (false, true) => Ok(()),
        }
    }
}

impl Display for ObjectChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.change {
            ChangeKind::Added => write!(f, "+ {}", self.object),
            ChangeKind::Removed => write!(f, "- {}", self.object),
            ChangeKind::Changed { fields } => {
                write!(f, "~ {}", self.object)?;
                fields
                    .iter()
                    .try_for_each(|field| write!(f, "\n    {field}"))
            }
        }
    }
}

impl Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "not set".to_owned());
        let (before, after) = (text(&self.before), text(&self.after));
        write!(f, "{}: {before} -> {after}", self.field)
    }
}

/// The text is not a valid object kind or object reference.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "`{0}` names no object: write KIND/NAME with share, team, pool, endpoint, route, limits \
     or service_level as the kind"
)]
pub struct ObjectRefError(pub String);

impl FromStr for ObjectKind {
    type Err = ObjectRefError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        macro_rules! compare_kind {
            ($map:ident, $kind:expr) => {
                if text == stringify!($map) {
                    return Ok($kind);
                }
            };
        }
        for_each_kind!(compare_kind);
        Err(ObjectRefError(text.to_owned()))
    }
}

impl FromStr for ObjectRef {
    type Err = ObjectRefError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, name) = text
            .split_once('/')
            .ok_or_else(|| ObjectRefError(text.to_owned()))?;
        let kind = kind.parse().map_err(|_| ObjectRefError(text.to_owned()))?;
        Ok(Self::new(kind, name))
    }
}

#[cfg(test)]
mod tests;
