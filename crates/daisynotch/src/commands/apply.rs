//! `daisynotch apply`: validates a change together with the published objects and publishes it.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use daisynotch_objects::Revision;
use daisynotch_platform::{Change, ChangeId, Published};

use super::edit_source::{EditSource, Plan};
use super::{CommandError, config_store};
use crate::printer::Printer;

/// The arguments of `apply`.
#[daisynotch_macros::value]
pub(crate) struct ApplyOptions {
    /// The objects to put and to delete.
    pub(crate) source: EditSource,
    /// The address of the key-value service.
    pub(crate) key_value: SocketAddr,
    /// Whether to check and print the change without publishing it.
    pub(crate) dry_run: bool,
    /// The revision that the change was made from; a newer revision is a conflict.
    pub(crate) base: Option<Revision>,
    /// The author recorded in the history.
    pub(crate) author: String,
    /// The purpose of the change, recorded in the history.
    pub(crate) summary: String,
}

pub(crate) async fn run(options: &ApplyOptions, printer: &Printer) -> Result<(), CommandError> {
    let plan = options.source.plan(options.key_value).await?;
    if let Some(base) = options.base
        && let Some(conflict) = plan.base.stored.head.conflict_with(base)
    {
        return Err(CommandError::Conflict(conflict));
    }
    if plan.changes.is_empty() || options.dry_run {
        print_plan(&plan, None, printer);
        return Ok(());
    }
    let change = Change {
        id: ChangeId(rand::random()),
        time_ms: unix_time_ms(),
        author: options.author.clone(),
        summary: options.summary.clone(),
    };
    let id = change.id;
    let store = config_store(options.key_value);
    match store.publish(&plan.base, &plan.target, change).await? {
        Published::Accepted(revision) => print_plan(&plan, Some(revision), printer),
        Published::Conflict(conflict) => return Err(CommandError::Conflict(conflict)),
        Published::Unknown => return Err(CommandError::Unknown(id)),
    }
    // If this fails, the unreferenced chunks are removed after the next published change.
    if let Err(error) = store.remove_unreferenced().await {
        printer.progress(&format!(
            "unreferenced chunks stay until the next published change: {error}"
        ));
    }
    Ok(())
}

fn print_plan(plan: &Plan, published: Option<Revision>, printer: &Printer) {
    let base = plan.base.snapshot.revision;
    let outcome = match published {
        Some(revision) => format!("\nrevision {revision} is published"),
        None => "\nnothing was changed".to_owned(),
    };
    let text = plan.to_text() + &outcome;
    let value = serde_json::json!({
        "base": base,
        "revision": published,
        "changes": plan.changes,
    });
    printer.result(&text, &value);
}

fn unix_time_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or_default().as_millis();
    u64::try_from(now).unwrap_or(u64::MAX)
}
