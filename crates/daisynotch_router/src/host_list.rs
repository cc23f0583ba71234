//! Follows the platform's host list.

use std::time::Duration;

use daisynotch_core::Input;
use daisynotch_platform::HostListClient;
use tokio::sync::mpsc;

use crate::core_task::CoreHandle;
use crate::timer::Tick;

/// How often the list is read.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long reading the list may take.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Reads the list at every tick until the ticks end.
///
/// A list that can't be read has no effect: what was listed last stays known.
pub(crate) async fn follow(
    client: HostListClient,
    core: CoreHandle,
    mut ticks: mpsc::Receiver<Tick>,
) {
    loop {
        match client.read().await {
            Ok(hosts) => core.input(Input::HostList(hosts)),
            Err(error) => log::warn!("the host list is not used this time: {error}"),
        }
        if ticks.recv().await.is_none() {
            return;
        }
    }
}
