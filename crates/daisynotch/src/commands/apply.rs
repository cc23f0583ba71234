//! `daisynotch apply`: checks objects and publishes them.

use std::net::SocketAddr;
use std::path::Path;

use daisynotch_platform::{ChangeId, Published};

use super::{CommandError, config_store, read_objects};
use crate::printer::Printer;

pub(crate) async fn run(
    file: &Path,
    key_value: SocketAddr,
    printer: &Printer,
) -> Result<(), CommandError> {
    let objects = read_objects(file)?;
    let store = config_store(key_value);
    let base = store.read().await?;
    let change = ChangeId(rand::random());
    match store.publish(&base, &objects, change).await? {
        Published::Accepted(revision) => {
            let text = format!("revision {revision} is published");
            printer.result(&text, &serde_json::json!({ "revision": revision }));
            Ok(())
        }
        Published::Conflict => Err(CommandError::Conflict),
    }
}
