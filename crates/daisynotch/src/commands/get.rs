//! `daisynotch get`: prints the published objects.

use std::net::SocketAddr;
use std::str::FromStr;

use daisynotch_objects::{ObjectKind, ObjectRef, ObjectRefError, Objects};

use super::{CommandError, config_store};
use crate::printer::Printer;

/// The objects to print: all objects of a kind, or a single object.
#[daisynotch_macros::value]
pub(crate) enum Selection {
    Kind(ObjectKind),
    Object(ObjectRef),
}

impl FromStr for Selection {
    type Err = ObjectRefError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.contains('/') {
            return text.parse().map(Self::Object);
        }
        text.parse().map(Self::Kind)
    }
}

pub(crate) async fn run(
    selection: Option<&Selection>,
    key_value: SocketAddr,
    printer: &Printer,
) -> Result<(), CommandError> {
    let snapshot = config_store(key_value).read().await?.snapshot;
    let objects = select(&snapshot.objects, selection)?;
    let text = objects.to_toml();
    let text = text.map_err(|error| CommandError::Failed(error.to_string()))?;
    let text = format!("# revision {}\n{text}", snapshot.revision);
    let value = serde_json::json!({ "revision": snapshot.revision, "objects": objects });
    printer.result(text.trim_end(), &value);
    Ok(())
}

fn select(objects: &Objects, selection: Option<&Selection>) -> Result<Objects, CommandError> {
    match selection {
        None => Ok(objects.clone()),
        Some(Selection::Kind(kind)) => Ok(objects.select(*kind, None)),
        Some(Selection::Object(object)) => {
            let selected = objects.select(object.kind, Some(&object.name));
            if selected == Objects::default() {
                let message = format!("{object} does not exist: `daisynotch get` lists all");
                return Err(CommandError::Failed(message));
            }
            Ok(selected)
        }
    }
}
