//! `daisynotch check`: checks objects without publishing them.

use std::path::Path;

use super::{CommandError, read_objects};
use crate::printer::Printer;

pub(crate) fn run(file: &Path, printer: &Printer) -> Result<(), CommandError> {
    read_objects(file)?;
    let text = format!("{}: the objects are valid", file.display());
    printer.result(&text, &serde_json::json!({ "valid": true }));
    Ok(())
}
