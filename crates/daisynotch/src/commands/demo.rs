//! `daisynotch demo`: a small fleet in this process, over loopback sockets.
//!
//! It starts a key-value service, three routers in three availability zones,
//! engines and a plain service, lets teams of uneven size call them, and exits
//! with an error when something was broken that must always hold.

mod caller;
mod fleet;
mod summary;

use std::time::Duration;

use super::CommandError;
use crate::printer::Printer;
use caller::CallerPlan;
use fleet::Fleet;
use summary::Summary;

/// How to run the demo.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DemoOptions {
    /// How long callers send requests.
    pub(crate) seconds: u64,
    /// The seed of the callers' choices.
    pub(crate) seed: u64,
}

pub(crate) async fn run(options: DemoOptions, printer: &Printer) -> Result<(), CommandError> {
    let failed = |error: &dyn std::fmt::Display| CommandError::Failed(error.to_string());
    printer.progress("starting a key-value service, 3 routers, 6 engines and a plain service");
    let fleet = Fleet::start().await.map_err(|error| failed(&error))?;
    printer.progress(&format!(
        "{} teams call for {} s",
        fleet::TEAMS.len(),
        options.seconds
    ));
    let plan = CallerPlan {
        seed: options.seed,
        length: Duration::from_secs(options.seconds),
    };
    let tallies = caller::run(&fleet, plan).await;
    let summary = Summary::new(&fleet, &tallies, options.seconds);
    printer.result(&summary.to_table(), &summary);
    fleet.drain().await;
    summary.verdict().map_err(CommandError::Failed)
}
