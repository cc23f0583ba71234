//! `daisynotch experiment`: plays a load with several policies in simulated time.
//!
//! docs/design/emulator.md has the file's format and what the figures mean.

use std::path::Path;

use daisynotch_emulator::{Experiment, run as play, to_svg};

use super::CommandError;
use crate::printer::Printer;

/// Prints a table or, with `--json`, all figures; draws a plot if a file for it is named.
pub(crate) fn run(file: &Path, plot: Option<&Path>, printer: &Printer) -> Result<(), CommandError> {
    let text = std::fs::read_to_string(file).map_err(|error| CommandError::Unreadable {
        path: file.to_owned(),
        error,
    })?;
    let experiment: Experiment = text.parse().map_err(|error| CommandError::BadExperiment {
        path: file.to_owned(),
        error,
    })?;
    let report = play(&experiment);
    if let Some(plot) = plot {
        let written = std::fs::write(plot, to_svg(&report));
        written.map_err(|error| {
            CommandError::Failed(format!("`{}` can't be written: {error}", plot.display()))
        })?;
    }
    printer.result(&report.to_table(), &report);
    Ok(())
}
