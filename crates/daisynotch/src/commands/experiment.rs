//! `daisynotch experiment`: compares several policies under the same load in simulated time.
//!
//! See docs/design/emulator.md for the file format and the meaning of the figures.

use std::path::Path;

use daisynotch_emulator::{Experiment, run as run_experiment, to_svg};

use super::CommandError;
use crate::printer::Printer;

/// Runs the experiment in a file and prints its report; writes an SVG plot if `plot` is given.
pub(crate) fn run(file: &Path, plot: Option<&Path>, printer: &Printer) -> Result<(), CommandError> {
    let text = std::fs::read_to_string(file).map_err(|error| CommandError::Unreadable {
        path: file.to_owned(),
        error,
    })?;
    let experiment: Experiment = text
        .parse()
        .map_err(|error| CommandError::InvalidExperiment {
            path: file.to_owned(),
            error,
        })?;
    let report = run_experiment(&experiment);
    if let Some(plot) = plot {
        let written = std::fs::write(plot, to_svg(&report));
        written.map_err(|error| {
            CommandError::Failed(format!("`{}` can't be written: {error}", plot.display()))
        })?;
    }
    printer.result(&report.to_table(), &report);
    Ok(())
}
