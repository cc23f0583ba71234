//! `daisynotch demo`: runs a small fleet in this process, over loopback sockets.
//!
//! The demo starts a key-value service, three routers in three availability zones,
//! engines and a plain HTTP service, sends requests from teams of uneven size, and
//! exits with an error if an invariant was violated.

mod caller;
mod fleet;
mod observer;
mod summary;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::CommandError;
use crate::printer::Printer;
use caller::LoadSettings;
use fleet::Fleet;
use observer::Observer;
use summary::Summary;

/// How often the demo prints its progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// The arguments of `demo`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DemoOptions {
    /// How long callers send requests.
    pub(crate) seconds: u64,
    /// The seed of the callers' random choices.
    pub(crate) seed: u64,
}

pub(crate) async fn run(options: DemoOptions, printer: &Printer) -> Result<(), CommandError> {
    printer.progress("starting a key-value service, 3 routers, 6 engines and a plain HTTP service");
    let fleet = Arc::new(Fleet::start().await?);
    printer.progress(&format!(
        "{} teams send requests for {} s",
        fleet::TEAMS.len(),
        options.seconds
    ));
    let load = LoadSettings {
        seed: options.seed,
        duration: Duration::from_secs(options.seconds),
    };
    let observer = Arc::new(Observer::default());
    let observer_task = tokio::spawn(observer::run(Arc::clone(&observer), Arc::clone(&fleet)));
    let callers = tokio::spawn(caller::run(Arc::clone(&fleet), Arc::clone(&observer), load));
    let team_stats = wait_with_progress(callers, &observer, printer).await?;
    observer_task.abort();
    // The observer's task holds a reference to the fleet until it has ended.
    let _ = observer_task.await;
    let summary = Summary::new(&fleet, &observer, &team_stats, options.seconds);
    let fleet =
        Arc::into_inner(fleet).expect("the tasks of the callers and the observer have ended");
    fleet.drain().await;
    printer.result(&summary.to_table(), &summary);
    summary.check_invariants().map_err(CommandError::Failed)
}

/// Waits for the callers and prints the tokens served so far at regular intervals.
async fn wait_with_progress(
    mut callers: tokio::task::JoinHandle<Vec<caller::CallerStats>>,
    observer: &Observer,
    printer: &Printer,
) -> Result<Vec<caller::CallerStats>, CommandError> {
    let started_at = Instant::now();
    loop {
        tokio::select! {
            team_stats = &mut callers => {
                return team_stats.map_err(|error| CommandError::Failed(error.to_string()));
            }
            () = tokio::time::sleep(PROGRESS_INTERVAL) => {
                let seconds = started_at.elapsed().as_secs();
                printer.progress(&format!("{seconds:>4} s  {} tokens", observer.served_tokens()));
            }
        }
    }
}
