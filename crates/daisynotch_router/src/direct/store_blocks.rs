//! Keeps the blocked prompt parts in the store, so that they outlive a restart of all routers.
//!
//! One router writes for the fleet. Each entry has a lease of its own, so that a block ends in the
//! store as well if nobody renews it.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use daisynotch_core::direct::{CrashNews, PartBlock, PartIds};
use daisynotch_platform::ports::{Lease, StoreItem};
use serde_json::json;
use tokio::sync::mpsc;

use super::event_log::Importance;
use super::state::Router;
use super::store_client::{StoreClient, StoreError};
use super::store_follower::CALL_TIMEOUT;
use crate::timer::Tick;

/// Interval at which blocks are compared with the store's entries. No call is made without a
/// difference.
pub(super) const COMPARE_INTERVAL: Duration = Duration::from_millis(500);
/// How long an entry outlives its block's next trial.
const LEASE_MARGIN: Duration = Duration::from_secs(60);
/// Longest lease that the store grants.
const LEASE_MAX: Duration = Duration::from_secs(600);
/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_secs(2);
/// Maximum number of parts that a key names; others would exceed the store's limit on keys.
const KEY_PARTS_MAX: usize = 12;

/// An entry that this router wrote.
struct Written {
    lease: Lease,
    renewals: u32,
}

/// Writes new and renewed blocks and removes ended ones, while this router is the first reader.
pub(super) async fn keep(router: Rc<Router>, mut ticks: mpsc::Receiver<Tick>) {
    let client = StoreClient::new(&router);
    let mut written: HashMap<PartIds, Written> = HashMap::new();
    let mut written_in_era = router.store_era.get();
    while ticks.recv().await.is_some() {
        // A store that was restored from a backup lacks the latest entries and their leases.
        let era = router.store_era.get();
        if std::mem::replace(&mut written_in_era, era) != era {
            written.clear();
        }
        let blocks = router.dispatcher.borrow().blocked_parts(router.now());
        if blocks.is_empty() && written.is_empty() {
            continue;
        }
        let is_writer = {
            let own = router.introduction.borrow();
            let hosts = router.hosts.borrow();
            hosts.reads_store(&own, 1, router.now())
        };
        if !is_writer {
            continue;
        }
        if let Err(error) = update(&router, &client, &blocks, &mut written).await {
            let fields = json!({"error": error});
            router
                .log
                .write(Importance::Essential, "blocks_unwritten", fields);
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}

async fn update(
    router: &Router,
    client: &StoreClient,
    blocks: &[PartBlock],
    written: &mut HashMap<PartIds, Written>,
) -> Result<(), String> {
    let platform = &router.platform;
    let is_blocked = |parts: &PartIds| blocks.iter().any(|block| block.parts == *parts);
    let ended: Vec<PartIds> = written
        .keys()
        .filter(|parts| !is_blocked(parts))
        .cloned()
        .collect();
    for parts in ended {
        if let Some(entry) = written.remove(&parts) {
            let call = platform.end_lease(entry.lease.id);
            // A lease that has ended already has no entry left.
            let ended = client.call("end_block", call, CALL_TIMEOUT).await;
            ended.map(drop).or_else(ignore_missing)?;
        }
    }
    for block in blocks {
        let known = written.get(&block.parts);
        if known.is_some_and(|known| known.renewals >= block.renewals) {
            continue;
        }
        let trial_in = Duration::from_millis(u64::from(block.pause_ms));
        let call = platform.take_lease((trial_in + LEASE_MARGIN).min(LEASE_MAX));
        let response = client.call("take_lease", call, CALL_TIMEOUT).await;
        let response = response.map_err(|error| error.to_string())?;
        let lease = platform.decode_lease(&response.body);
        let lease = lease.map_err(|error| error.to_string())?;
        let value = serde_json::to_vec(block).map_err(|error| error.to_string())?;
        let prefix = platform.prefixes().blocked_parts;
        let names = block.parts.iter().take(KEY_PARTS_MAX);
        let names: Vec<String> = names.map(|part| format!("{part:x}")).collect();
        let call = platform.put(&format!("{prefix}{}", names.join("-")), &value, lease.id);
        let response = client.call("put_block", call, CALL_TIMEOUT).await;
        response.map_err(|error| error.to_string())?;
        let renewals = block.renewals;
        written.insert(block.parts.clone(), Written { lease, renewals });
    }
    Ok(())
}

fn ignore_missing(error: StoreError) -> Result<(), String> {
    match error {
        StoreError::Status(hyper::StatusCode::NOT_FOUND) => Ok(()),
        error => Err(error.to_string()),
    }
}

/// Applies the blocks that the store holds. The time until their trials starts anew.
pub(super) fn apply(router: &Router, items: &[StoreItem]) {
    let mut blocks = Vec::new();
    for item in items {
        match serde_json::from_slice::<PartBlock>(&item.value) {
            Ok(block) => blocks.push(PartBlock { age_ms: 0, ..block }),
            Err(error) => {
                router.log_unreadable("block_unreadable", &item.key, &error.to_string());
            }
        }
    }
    if blocks.is_empty() {
        return;
    }
    let news = CrashNews {
        blocks,
        ..CrashNews::default()
    };
    let now = router.now();
    router.dispatcher.borrow_mut().on_crash_news(&news, now);
    router.log_evidence_changes("store");
}
