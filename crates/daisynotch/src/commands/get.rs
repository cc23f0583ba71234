//! `daisynotch get`: prints the objects in force.

use std::net::SocketAddr;

use super::{CommandError, config_store};
use crate::printer::Printer;

pub(crate) async fn run(key_value: SocketAddr, printer: &Printer) -> Result<(), CommandError> {
    let stored = config_store(key_value).read().await?;
    let text = stored.objects.to_toml();
    let text = text.map_err(|error| CommandError::Failed(error.to_string()))?;
    let text = format!("# revision {}\n{text}", stored.revision);
    let value = serde_json::json!({ "revision": stored.revision, "objects": stored.objects });
    printer.result(text.trim_end(), &value);
    Ok(())
}
