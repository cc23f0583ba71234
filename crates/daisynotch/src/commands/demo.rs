//! `daisynotch demo`: a small fleet in this process, over loopback sockets.
//!
//! It starts a key-value service, three routers in three availability zones,
//! engines and a plain service, lets teams of uneven size call them, and exits
//! with an error when something was broken that must always hold.

mod caller;
mod fleet;
mod observer;
mod summary;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::CommandError;
use crate::printer::Printer;
use caller::CallerPlan;
use fleet::Fleet;
use observer::Observer;
use summary::Summary;

/// How often the demo says how far it is.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// How to run the demo.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DemoOptions {
    /// How long callers send requests.
    pub(crate) seconds: u64,
    /// The seed of the callers' choices.
    pub(crate) seed: u64,
}

pub(crate) async fn run(options: DemoOptions, printer: &Printer) -> Result<(), CommandError> {
    printer.progress("starting a key-value service, 3 routers, 6 engines and a plain service");
    let fleet = Arc::new(Fleet::start().await?);
    printer.progress(&format!(
        "{} teams call for {} s",
        fleet::TEAMS.len(),
        options.seconds
    ));
    let plan = CallerPlan {
        seed: options.seed,
        length: Duration::from_secs(options.seconds),
    };
    let observer = Arc::new(Observer::default());
    let watch = tokio::spawn(observer::run(Arc::clone(&observer), Arc::clone(&fleet)));
    let callers = tokio::spawn(caller::run(Arc::clone(&fleet), Arc::clone(&observer), plan));
    let tallies = show_progress(callers, &observer, printer).await?;
    watch.abort();
    // The observer holds the fleet until its task has ended.
    let _ = watch.await;
    let summary = Summary::new(&fleet, &observer, &tallies, options.seconds);
    let fleet = Arc::into_inner(fleet).expect("callers and observer have ended");
    fleet.drain().await;
    printer.result(&summary.to_table(), &summary);
    summary.verdict().map_err(CommandError::Failed)
}

/// Waits for the callers and says now and then what they have got so far.
async fn show_progress(
    mut callers: tokio::task::JoinHandle<Vec<caller::Tally>>,
    observer: &Observer,
    printer: &Printer,
) -> Result<Vec<caller::Tally>, CommandError> {
    let started_at = Instant::now();
    loop {
        tokio::select! {
            tallies = &mut callers => {
                return tallies.map_err(|error| CommandError::Failed(error.to_string()));
            }
            () = tokio::time::sleep(PROGRESS_INTERVAL) => {
                let seconds = started_at.elapsed().as_secs();
                printer.progress(&format!("{seconds:>4} s  {} tokens", observer.served_tokens()));
            }
        }
    }
}
