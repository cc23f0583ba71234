//! `daisynotch apply`: checks a change as a whole and publishes it.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use daisynotch_objects::Revision;
use daisynotch_platform::{Change, ChangeId, Published};

use super::edit_source::{EditSource, Plan};
use super::{CommandError, config_store};
use crate::printer::Printer;

/// What to publish, and how.
#[daisynotch_macros::value]
pub(crate) struct ApplyOptions {
    /// Where the change comes from.
    pub(crate) source: EditSource,
    /// Where the key-value service listens.
    pub(crate) key_value: SocketAddr,
    /// Whether nothing is published.
    pub(crate) dry_run: bool,
    /// The revision that the change was made from.
    pub(crate) base: Option<Revision>,
    /// Who makes the change.
    pub(crate) author: String,
    /// What the change is for.
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
        print(&plan, None, printer);
        return Ok(());
    }
    let change = Change {
        id: ChangeId(rand::random()),
        time_ms: now_ms(),
        author: options.author.clone(),
        summary: options.summary.clone(),
    };
    let id = change.id;
    let store = config_store(options.key_value);
    match store.publish(&plan.base, &plan.target, change).await? {
        Published::Accepted(revision) => print(&plan, Some(revision), printer),
        Published::Conflict(conflict) => return Err(CommandError::Conflict(conflict)),
        Published::Unknown => return Err(CommandError::Unknown(id)),
    }
    // Old chunks that stay because this fails are removed after the next change.
    if let Err(error) = store.remove_unreferenced().await {
        printer.progress(&format!("old chunks stay for now: {error}"));
    }
    Ok(())
}

fn print(plan: &Plan, published: Option<Revision>, printer: &Printer) {
    let base = plan.base.snapshot.revision;
    let outcome = match published {
        Some(revision) => format!("\nrevision {revision} is published"),
        None => "\nnothing was changed".to_owned(),
    };
    let text = plan.text() + &outcome;
    let value = serde_json::json!({
        "base": base,
        "revision": published,
        "changes": plan.changes,
    });
    printer.result(&text, &value);
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or_default().as_millis();
    u64::try_from(now).unwrap_or(u64::MAX)
}
