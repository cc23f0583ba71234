//! `daisynotch check`: validates objects without publishing them.

use std::net::SocketAddr;

use daisynotch_objects::Objects;

use super::edit_source::EditSource;
use super::{CommandError, check_objects};
use crate::printer::Printer;

pub(crate) async fn run(
    source: &EditSource,
    key_value: Option<SocketAddr>,
    printer: &Printer,
) -> Result<(), CommandError> {
    match key_value {
        Some(key_value) => {
            source.plan(key_value).await?;
        }
        None => check_objects(&source.target(&Objects::default())?)?,
    }
    printer.result(
        "the objects are valid",
        &serde_json::json!({ "valid": true }),
    );
    Ok(())
}
