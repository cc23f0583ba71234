//! Polls the platform's host list.

use std::time::Duration;

use daisynotch_core::Input;
use daisynotch_platform::HostListClient;
use tokio::sync::mpsc;

use crate::core_task::CoreHandle;
use crate::timer::Tick;

/// The interval between reads of the list.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// The timeout for reading the list.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reads the list at once and then at every tick, until the channel of ticks closes.
///
/// If the list can't be read, the last one that was read stays in use.
pub(crate) async fn follow(
    client: HostListClient,
    core: CoreHandle,
    mut ticks: mpsc::Receiver<Tick>,
) {
    loop {
        match client.read().await {
            Ok(hosts) => core.input(Input::HostList(hosts)),
            Err(error) => log::warn!("could not read the host list, keeping the last: {error}"),
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}
