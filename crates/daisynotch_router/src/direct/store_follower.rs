//! Follows the configuration and the endpoints in the store, and registers this router.
//!
//! A watch that ends badly goes on from where it was; history that is gone means that
//! everything is listed again. `docs/design/platform.md` counts the calls.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use daisynotch_core::Timestamp;
use daisynotch_core::direct::{EndpointEntry, StorePosition};
use daisynotch_platform::ports::{DecodeError, Lease, StoreEvent, StoreItem};
use hyper::StatusCode;
use rand::RngExt;
use serde_json::json;

use super::event_log::Weight;
use super::state::{RecentChange, Router};
use super::store_client::{StoreClient, StoreError};

/// How long a call may take, waiting apart: a hundred times the store's usual 8 ms, and
/// half as much again.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a watch waits: a watch that went silent is noticed soon after this.
const WATCH_WAIT: Duration = Duration::from_millis(3_000);
/// The same where keys are trusted only as long as the configuration is known to be the
/// newest: the readers take turns, so that all know it within a fraction of this.
const CONFIRMING_WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Routers that read the store for all: any three may fail at once.
const READERS: usize = 4;
/// How often a router looks whether it is one of them.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a router that starts listens for others before it reads the store itself:
/// hosts start within 300 ms of each other.
const FIRST_HEARD: Duration = Duration::from_millis(350);
/// The pause after a failed call; each failure in a row doubles it. A call has a price
/// also when it is refused.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
/// The longest pause: well below the seconds within which changes must be in force.
const PAUSE_MAX: Duration = Duration::from_millis(800);
/// How long a router that no longer reads counts as one that the store does not answer.
const REFUSED_FOR: Duration = Duration::from_secs(5);
/// How long this router's entry outlives it.
const LEASE_TTL: Duration = Duration::from_secs(30);
/// The time over which routers register again in a store that came back from a copy.
const REGISTERED_AGAIN_WITHIN: Duration = Duration::from_millis(1_000);
/// How often the lease is renewed and the other routers' entries are listed.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);

impl Router {
    /// Says whether this router reads the store for the others.
    pub(crate) fn reads_store(&self) -> bool {
        let own = self.introduction.borrow();
        self.hosts.borrow().reads_store(&own, READERS, self.now())
    }
}

#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The store came back from a copy since the last answer.
    #[error("the store came back from a copy in era {0}")]
    Restored(u64),
}

impl FollowError {
    fn is_history_gone(&self) -> bool {
        matches!(self, Self::Store(StoreError::Status(StatusCode::GONE)))
    }
}

/// Follows the store for as long as the router runs, while it is one of those that do.
pub(crate) async fn follow(router: Rc<Router>) {
    let client = StoreClient::new(&router);
    // Routers that start together hear of each other first.
    tokio::time::sleep(FIRST_HEARD).await;
    let mut at: Option<StorePosition> = None;
    let mut was_reading = false;
    let mut failures_in_row = 0;
    loop {
        let is_reading = router.reads_store();
        if is_reading != was_reading {
            was_reading = is_reading;
            let fields = json!({"reads": is_reading, "after": at.map(|at| at.to_string())});
            router.log.write(Weight::Essential, "store_reader", fields);
            // What was heard from others since is listed, not guessed.
            at = None;
        }
        if !is_reading {
            router.forget_store_loss(REFUSED_FOR);
            tokio::time::sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let step = match at {
            None => list_all(&router, &client).await,
            // A store that was away is asked without waiting: a watch that hung in a silent
            // store would hide its return for as long as a watch may take.
            Some(after) if failures_in_row > 0 => {
                watch(&router, &client, after, Duration::ZERO).await
            }
            Some(after) => {
                let trusted_max = router.settings.borrow().credentials.trusted_max();
                let wait = trusted_max.map_or(WATCH_WAIT, |_| CONFIRMING_WATCH_WAIT);
                watch(&router, &client, after, wait).await
            }
        };
        match step {
            Ok(seen) => {
                at = Some(seen);
                failures_in_row = 0;
                router.on_store_answer(true, "");
            }
            // It is listed anew at once; the answer itself says that the store is there.
            Err(FollowError::Restored(_)) => at = None,
            Err(error) if error.is_history_gone() => {
                let fields = json!({"after": at.map(|at| at.to_string())});
                router
                    .log
                    .write(Weight::Essential, "store_history_gone", fields);
                at = None;
            }
            Err(error) => {
                router.on_store_answer(false, &error.to_string());
                let pause = PAUSE_FIRST * 2_u32.saturating_pow(failures_in_row);
                failures_in_row += 1;
                let spread = rand::rng().random_range(0.75..1.25);
                tokio::time::sleep(pause.min(PAUSE_MAX).mul_f64(spread)).await;
            }
        }
    }
}

/// Lists a prefix, page by page; all pages are of one era.
async fn list(
    router: &Router,
    client: &StoreClient,
    prefix: &str,
    purpose: &str,
    may_be_stale: bool,
) -> Result<(Vec<StoreItem>, StorePosition), FollowError> {
    let mut items: Vec<StoreItem> = Vec::new();
    let mut first_at: Option<StorePosition> = None;
    loop {
        let after = items.last().map(|item| item.key.clone());
        let call = router
            .platform
            .range(prefix, after.as_deref(), may_be_stale);
        let answer = client.call(purpose, call, CALL_TIMEOUT).await?;
        let page = router.platform.decode_range(&answer.body)?;
        // Pages are no snapshot: changes since the first one are watched for.
        let at = *first_at.get_or_insert(StorePosition {
            era: answer.era,
            revision: page.at_revision,
        });
        if at.era != answer.era {
            return Err(FollowError::Restored(answer.era));
        }
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok((items, at));
        }
    }
}

async fn list_all(router: &Rc<Router>, client: &StoreClient) -> Result<StorePosition, FollowError> {
    let sent_at = router.now();
    let prefixes = router.platform.prefixes();
    let prefix = prefixes.configuration;
    let (items, at) = list(router, client, prefix, "list", false).await?;
    let era_began_at = note_era_start(router, at);
    for item in &items {
        let is_since = item.revision > era_began_at.revision;
        let written_in = is_since.then_some(at.era);
        router.on_configuration(&item.value, at.era, written_in, "store");
    }
    let now = router.now();
    router
        .confirmation
        .borrow_mut()
        .on_store_read(sent_at, None, now);
    let (items, endpoints_at) = list(router, client, prefixes.endpoints, "list", false).await?;
    let endpoints = items.into_iter().map(|item| (item.key.clone(), item));
    if endpoints_at.era != at.era {
        return Err(FollowError::Restored(endpoints_at.era));
    }
    replace_endpoints(router, endpoints.collect(), endpoints_at, "store");
    // Changes between the two lists are watched for.
    Ok(at.min(endpoints_at))
}

/// Notes the first revision that is seen in an era, and gives it.
fn note_era_start(router: &Router, at: StorePosition) -> StorePosition {
    let mut view = router.store_view.borrow_mut();
    if view.era_began_at.era < at.era {
        view.era_began_at = at;
    }
    view.era_began_at
}

async fn watch(
    router: &Rc<Router>,
    client: &StoreClient,
    after: StorePosition,
    wait: Duration,
) -> Result<StorePosition, FollowError> {
    let sent_at = router.now();
    let call = router.platform.watch(after.revision, wait);
    let answer = client.call("watch", call, wait + CALL_TIMEOUT).await?;
    // Revisions that were given out again may lie on both sides of the one watched from.
    if answer.era != after.era {
        return Err(FollowError::Restored(answer.era));
    }
    let page = router.platform.decode_watch(&answer.body)?;
    router.on_store_answer(true, "");
    for event in &page.events {
        on_event(router, after.era, event);
    }
    let waited = page.events.is_empty().then_some(wait);
    let now = router.now();
    router
        .confirmation
        .borrow_mut()
        .on_store_read(sent_at, waited, now);
    Ok(StorePosition {
        era: after.era,
        revision: page.at_revision.max(after.revision),
    })
}

fn on_event(router: &Rc<Router>, era: u64, event: &StoreEvent) {
    let prefixes = router.platform.prefixes();
    if event.key().starts_with(prefixes.configuration) {
        if let StoreEvent::Written(item) = event {
            router.on_configuration(&item.value, era, Some(era), "store");
        }
        return;
    }
    on_endpoint_event(router, era, event, "store");
}

/// Takes a change of an endpoint's entry, unless it or a later one was taken.
pub(crate) fn on_endpoint_event(router: &Rc<Router>, era: u64, event: &StoreEvent, source: &str) {
    let prefix = router.platform.prefixes().endpoints;
    let Some(name) = event.key().strip_prefix(prefix) else {
        return;
    };
    let now = router.now();
    let mut view = router.store_view.borrow_mut();
    let at = StorePosition {
        era,
        revision: event.revision(),
    };
    if at <= view.endpoints_at {
        return;
    }
    let after = std::mem::replace(&mut view.endpoints_at, at);
    view.recent.push_back(RecentChange {
        at: now,
        after,
        event: event.clone(),
    });
    let changes = match event {
        StoreEvent::Written(item) => {
            view.endpoints.insert(item.key.clone(), item.clone());
            match decode_endpoint(router, name, item) {
                Some(entry) => router.endpoints.borrow_mut().write(entry),
                None => router.endpoints.borrow_mut().remove(name, now),
            }
        }
        StoreEvent::Removed { key, .. } => {
            view.endpoints.remove(key);
            router.endpoints.borrow_mut().remove(name, now)
        }
    };
    drop(view);
    router.on_endpoint_changes(changes, source);
}

fn decode_endpoint(router: &Router, name: &str, item: &StoreItem) -> Option<EndpointEntry> {
    match router.platform.decode_endpoint(name, &item.value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            let fields = json!({"key": item.key, "error": error.to_string()});
            router
                .log
                .write(Weight::Essential, "endpoint_unreadable", fields);
            None
        }
    }
}

/// Takes a whole listing of the endpoints, from the store or from another router.
pub(crate) fn replace_endpoints(
    router: &Rc<Router>,
    items: HashMap<String, StoreItem>,
    at: StorePosition,
    source: &str,
) {
    if at < router.store_view.borrow().endpoints_at {
        return;
    }
    router.on_store_era(at.era, source);
    let prefix = router.platform.prefixes().endpoints;
    let named = items
        .values()
        .filter_map(|item| Some((item.key.strip_prefix(prefix)?, item)));
    let entries: Vec<EndpointEntry> = named
        .filter_map(|(name, item)| decode_endpoint(router, name, item))
        .collect();
    {
        let mut view = router.store_view.borrow_mut();
        let before = std::mem::replace(&mut view.endpoints, items);
        view.endpoints_at = at;
        view.recent.clear();
        // Others are told what holds, not what a copy of the store brought back.
        let list = router.endpoints.borrow();
        for entry in entries.iter().filter(|entry| list.is_outdated(entry)) {
            let key = format!("{prefix}{}", entry.name);
            match before.get(&key) {
                Some(item) => view.endpoints.insert(key, item.clone()),
                None => view.endpoints.remove(&key),
            };
        }
    }
    let now = router.now();
    let changes = router.endpoints.borrow_mut().replace(entries, now);
    router.on_endpoint_changes(changes, source);
}

/// Keeps this router's entry in the store while it reads there, and finds the others.
///
/// A router that starts where its seeds are gone finds the fleet by these few entries.
pub(crate) async fn register(router: Rc<Router>) {
    let client = StoreClient::new(&router);
    let mut lease: Option<(Lease, u64)> = None;
    let mut listed_at: Option<Timestamp> = None;
    tokio::time::sleep(FIRST_HEARD).await;
    loop {
        if !router.reads_store() {
            tokio::time::sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let step = register_once(&router, &client, &mut lease, &mut listed_at).await;
        let pause = match step {
            Ok(()) => RENEW_INTERVAL,
            Err(error) => {
                let fields = json!({"error": error.to_string()});
                router
                    .log
                    .write(Weight::Essential, "registration_failed", fields);
                Duration::from_millis(rand::rng().random_range(500..1_000))
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = router.restored.notified() => {
                // All that the store forgot is written again at once, by others too.
                let spread = rand::rng().random_range(0.0..1.0);
                tokio::time::sleep(REGISTERED_AGAIN_WITHIN.mul_f64(spread)).await;
            }
        }
    }
}

async fn register_once(
    router: &Rc<Router>,
    client: &StoreClient,
    lease: &mut Option<(Lease, u64)>,
    listed_at: &mut Option<Timestamp>,
) -> Result<(), FollowError> {
    let platform = &router.platform;
    let prefix = platform.prefixes().routers;
    // A lease of an earlier era is gone, or another one's by now.
    lease.take_if(|(_, era)| *era != router.store_era.get());
    if let Some((held, _)) = lease {
        let call = platform.renew_lease(held.id);
        match client.call("renew_lease", call, CALL_TIMEOUT).await {
            Ok(_) => {}
            Err(StoreError::Status(StatusCode::NOT_FOUND)) => *lease = None,
            Err(error) => return Err(error.into()),
        }
    }
    if lease.is_none() {
        let call = platform.take_lease(LEASE_TTL);
        let answer = client.call("take_lease", call, CALL_TIMEOUT).await?;
        let taken = platform.decode_lease(&answer.body)?;
        let (key, value) = {
            let introduction = router.introduction.borrow();
            let key = format!("{prefix}{}", introduction.router);
            (key, introduction.peer_address.to_string())
        };
        let call = platform.put(&key, value.as_bytes(), taken.id);
        client.call("put_router", call, CALL_TIMEOUT).await?;
        *lease = Some((taken, answer.era));
    }
    let is_first = listed_at.is_none();
    let (items, _) = list(router, client, prefix, "list_routers", !is_first).await?;
    let now = router.now();
    *listed_at = Some(now);
    let own = router.introduction.borrow().peer_address;
    let mut hosts = router.hosts.borrow_mut();
    for item in items {
        let address = std::str::from_utf8(&item.value)
            .ok()
            .and_then(|text| text.parse().ok());
        match address {
            Some(address) if address != own => hosts.hint(address, now),
            Some(_) => {}
            None => {
                let fields = json!({"key": item.key, "error": "the value is no address"});
                router
                    .log
                    .write(Weight::Essential, "router_entry_unreadable", fields);
            }
        }
    }
    Ok(())
}
