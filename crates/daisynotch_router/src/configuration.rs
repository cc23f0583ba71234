//! Follows the operators' objects in the key-value service.

use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::{Catalogue, Input};
use daisynotch_platform::{ConfigStore, StoreError, StoredObjects};
use tokio::sync::mpsc;

use crate::core_task::CoreHandle;
use crate::metrics::Metrics;
use crate::timer::Tick;

/// How often the newest revision is looked up.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Looks for a new revision at every tick until the ticks end.
pub(crate) async fn follow(
    store: ConfigStore,
    core: CoreHandle,
    metrics: Arc<Metrics>,
    mut ticks: mpsc::Receiver<Tick>,
) {
    loop {
        let read = store.read().await;
        let result = if read.is_ok() { "ok" } else { "error" };
        metrics
            .key_value_calls
            .with_label_values(&["configuration", result])
            .inc();
        take_in(read, &core, &metrics);
        if ticks.recv().await.is_none() {
            return;
        }
    }
}

fn take_in(read: Result<StoredObjects, StoreError>, core: &CoreHandle, metrics: &Metrics) {
    let stored = match read {
        Ok(stored) => stored,
        Err(error) => {
            log::warn!("the objects can't be read, the last revision stays in force: {error}");
            return;
        }
    };
    if stored.snapshot.revision <= core.catalogue().revision {
        return;
    }
    let errors = daisynotch_objects::check(&stored.snapshot.objects);
    if let Some(error) = errors.first() {
        log::error!(
            "revision {} is not taken: {error}",
            stored.snapshot.revision
        );
        return;
    }
    log::info!(revision = stored.snapshot.revision.0; "objects taken");
    metrics
        .revision
        .set(i64::try_from(stored.snapshot.revision.0).unwrap_or(i64::MAX));
    let catalogue = Catalogue::new(stored.snapshot.revision, &stored.snapshot.objects);
    core.input(Input::Configured(Arc::new(catalogue)));
}
