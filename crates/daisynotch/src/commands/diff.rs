//! `daisynotch diff`: prints how a change would alter the published objects.

use std::net::SocketAddr;

use super::CommandError;
use super::edit_source::EditSource;
use crate::printer::Printer;

pub(crate) async fn run(
    source: &EditSource,
    key_value: SocketAddr,
    printer: &Printer,
) -> Result<(), CommandError> {
    let plan = source.plan(key_value).await?;
    let revision = plan.base.snapshot.revision;
    let value = serde_json::json!({ "base": revision, "changes": plan.changes });
    printer.result(&plan.to_text(), &value);
    Ok(())
}
