//! Follows the configuration and the endpoints in the store, and registers this router.
//!
//! After a failed watch, the next one resumes at the same position. If the store no longer has
//! the history from there, or the changes exceed a response, everything is listed again. The same
//! is tried after some failures in a row. `docs/design/platform.md` counts the
//! calls.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use daisynotch_core::Timestamp;
use daisynotch_core::direct::{EndpointEntry, StoreFailure, StorePosition, time_until_recheck};
use daisynotch_platform::ports::{DecodeError, Lease, StoreEvent, StoreItem, UnreadableItem};
use hyper::StatusCode;
use rand::RngExt;
use serde_json::json;

use super::evacuation;
use super::event_log::Importance;
use super::state::{RecentChange, Router};
use super::store_blocks;
use super::store_client::{StoreClient, StoreError};

/// Timeout of a call, not counting the time that a watch waits: 150 times the store's usual 8
/// ms.
pub(super) const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long a watch waits. A watch that went silent is noticed soon after this.
const WATCH_WAIT: Duration = Duration::from_millis(3_000);
/// How long a watch waits if keys are trusted only while the configuration is known to be the
/// newest: the readers take turns, so all routers learn within a fraction of this that it is.
const CONFIRMING_WATCH_WAIT: Duration = Duration::from_millis(1_000);
/// Number of routers that read the store for the whole fleet: any three may fail at once.
const READER_COUNT: usize = 4;
/// Interval at which a router checks whether it is a reader.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a starting router listens for others before it reads the store: hosts start within
/// 300 ms of each other.
const DISCOVERY_WAIT: Duration = Duration::from_millis(350);
/// First pause after a failed call; each failure in a row doubles it. A call costs something
/// even if it is refused.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// Longest pause after a failed call: well below the seconds within which changes must be in
/// force.
const BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Number of failed calls in a row after which everything is listed once: the changes of a watch
/// may be too many to arrive in time, while lists come in pages.
const WATCH_FAILURES_MAX: u32 = 3;
/// How long a router that no longer reads the store still counts the store as unreachable
/// after a failed call.
const STORE_LOSS_MAX_AGE: Duration = Duration::from_secs(5);
/// How long this router's entry in the store outlives the router.
const LEASE_TTL: Duration = Duration::from_secs(30);
/// Time over which routers spread their registrations after the store was restored from a
/// backup.
const REREGISTRATION_SPREAD: Duration = Duration::from_millis(1_000);
/// Interval at which the lease is renewed and the other routers' entries are listed.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// Event that reports an endpoint's entry that can't be decoded.
const ENDPOINT_UNREADABLE: &str = "endpoint_unreadable";

impl Router {
    /// Returns whether this router reads the store for the others.
    pub(crate) fn reads_store(&self) -> bool {
        let own = self.introduction.borrow();
        self.hosts
            .borrow()
            .reads_store(&own, READER_COUNT, self.now())
    }
}

#[derive(Debug, thiserror::Error)]
enum FollowError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The store was restored from a backup since the last response.
    #[error("the store was restored from a backup and is now in era {0}")]
    Restored(u64),
}

impl FollowError {
    /// Returns what the error says of the store, if it ended a call sent at `sent_at`. If the store
    /// was read `read_age` ago, only the connection was silent.
    fn as_failure(&self, sent_at: Timestamp, read_age: Option<Duration>) -> StoreFailure {
        match self {
            Self::Store(StoreError::Silent(_)) if read_age.is_none_or(|age| age > CALL_TIMEOUT) => {
                StoreFailure::Silent(sent_at)
            }
            _ => StoreFailure::Rejected,
        }
    }

    /// Returns whether a watch from the same position would fail again.
    fn requires_listing(&self) -> bool {
        matches!(
            self,
            Self::Store(StoreError::Status(StatusCode::GONE) | StoreError::TooLarge)
        )
    }
}

/// Follows the store while this router is a reader, for as long as the router runs.
pub(crate) async fn follow(router: Rc<Router>) {
    let client = StoreClient::new(&router);
    // Routers that start together discover each other first.
    tokio::time::sleep(DISCOVERY_WAIT).await;
    let mut position: Option<StorePosition> = None;
    let mut was_reading = false;
    let mut failures_in_row = 0;
    loop {
        let is_reading = router.reads_store();
        if is_reading != was_reading {
            was_reading = is_reading;
            let fields = json!({
                "reads": is_reading, "after": position.map(|position| position.to_string()),
            });
            router
                .log
                .write(Importance::Essential, "store_reader", fields);
            // Changes may have arrived from other routers meanwhile, so the state is listed
            // again.
            position = None;
        }
        if !is_reading {
            router.forget_store_loss(STORE_LOSS_MAX_AGE);
            tokio::time::sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let lists_instead = failures_in_row > 0 && failures_in_row % WATCH_FAILURES_MAX == 0;
        let sent_at = router.now();
        let outcome = match position.filter(|_| !lists_instead) {
            None => list_all(&router, &client).await,
            // A store that was unreachable is called without waiting: a watch that hangs on a
            // silent store would hide its return for as long as a watch may take.
            Some(after) if failures_in_row > 0 => {
                let watched = watch(&router, &client, after, Duration::ZERO).await;
                watched.map(|watched| watched.position)
            }
            Some(after) => {
                let trusted_age_max = router.settings.borrow().credentials.trusted_age_max();
                let wait = trusted_age_max.map_or(WATCH_WAIT, |_| CONFIRMING_WATCH_WAIT);
                watch_and_recheck(&router, &client, after, wait).await
            }
        };
        match outcome {
            Ok(seen_position) => {
                position = Some(seen_position);
                failures_in_row = 0;
                router.on_store_response();
            }
            // The state is listed again at once. The response shows that the store is
            // reachable.
            Err(FollowError::Restored(_)) => position = None,
            Err(error) if position.is_some() && error.requires_listing() => {
                let after = position.map(|position| position.to_string());
                let fields = json!({"after": after, "error": error.to_string()});
                router
                    .log
                    .write(Importance::Essential, "store_history_gone", fields);
                position = None;
            }
            Err(error) => {
                let read_age = router.confirmation.borrow().age(router.now());
                let failure = error.as_failure(sent_at, read_age);
                router.on_store_failure(failure, &error.to_string());
                let pause = BACKOFF_MIN * 2_u32.saturating_pow(failures_in_row);
                failures_in_row += 1;
                let jitter = rand::rng().random_range(0.75..1.25);
                tokio::time::sleep(pause.min(BACKOFF_MAX).mul_f64(jitter)).await;
            }
        }
    }
}

/// Lists all entries under a prefix, page by page. All pages are of one era.
async fn list(
    router: &Router,
    client: &StoreClient,
    prefix: &str,
    purpose: &str,
    may_be_stale: bool,
) -> Result<(Vec<StoreItem>, StorePosition), FollowError> {
    let mut items: Vec<StoreItem> = Vec::new();
    let mut first_at: Option<StorePosition> = None;
    let mut after: Option<String> = None;
    loop {
        let call = router
            .platform
            .range(prefix, after.as_deref(), may_be_stale);
        let response = client.call(purpose, call, CALL_TIMEOUT).await?;
        let page = router.platform.decode_range(&response.body)?;
        // The pages are no snapshot, so the watch starts at the position of the first page.
        let at = *first_at.get_or_insert(StorePosition {
            era: response.era,
            revision: page.at_revision,
        });
        if at.era != response.era {
            return Err(FollowError::Restored(response.era));
        }
        log_unreadable_items(router, &page.unreadable);
        // A page without a later key would be followed by itself.
        let is_last = !page.has_more || page.last_key <= after;
        after = page.last_key;
        items.extend(page.items);
        if is_last {
            return Ok((items, at));
        }
    }
}

async fn list_all(router: &Rc<Router>, client: &StoreClient) -> Result<StorePosition, FollowError> {
    let prefixes = router.platform.prefixes();
    if router.routes().is_none() {
        // Known before the first prompt can be sent, for which a configuration is needed.
        let (items, _) = list(router, client, prefixes.blocked_parts, "list", false).await?;
        store_blocks::apply(router, &items);
    }
    let sent_at = router.now();
    let prefix = prefixes.configuration;
    let (items, at) = list(router, client, prefix, "list", false).await?;
    // Before entries count as missing: they may have lapsed in an outage.
    router.on_store_response();
    let era_began_at = record_era_start(router, at);
    evacuation::apply_listing(router, &items, at);
    for item in &items {
        if item.key.starts_with(prefixes.evacuations) {
            continue;
        }
        let is_written_in_era = item.revision > era_began_at.revision;
        let written_in_era = is_written_in_era.then_some(at.era);
        router.on_configuration(&item.value, at.era, written_in_era, "store");
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
    // The watch starts at the earlier position, so it covers changes between the two lists.
    Ok(at.min(endpoints_at))
}

/// Records the first position seen in an era, and returns it.
fn record_era_start(router: &Router, at: StorePosition) -> StorePosition {
    let mut view = router.store_view.borrow_mut();
    if view.era_began_at.era < at.era {
        view.era_began_at = at;
    }
    view.era_began_at
}

/// What a watch returned.
#[derive(Debug, Clone, Copy)]
struct Watched {
    position: StorePosition,
    has_changes: bool,
}

async fn watch(
    router: &Rc<Router>,
    client: &StoreClient,
    after: StorePosition,
    wait: Duration,
) -> Result<Watched, FollowError> {
    let sent_at = router.now();
    let call = router.platform.watch(after.revision, wait);
    let response = client.call("watch", call, wait + CALL_TIMEOUT).await?;
    // A restored store reuses revision numbers, which may lie on either side of the watched
    // revision.
    if response.era != after.era {
        return Err(FollowError::Restored(response.era));
    }
    let page = router.platform.decode_watch(&response.body)?;
    router.on_store_response();
    for event in &page.events {
        on_event(router, after.era, event);
    }
    log_unreadable_items(router, &page.unreadable);
    let waited = page.events.is_empty().then_some(wait);
    let now = router.now();
    router
        .confirmation
        .borrow_mut()
        .on_store_read(sent_at, waited, now);
    Ok(Watched {
        position: StorePosition {
            era: after.era,
            revision: page.at_revision.max(after.revision),
        },
        has_changes: !page.events.is_empty(),
    })
}

/// Watches, and reads the store on a new connection whenever nobody has read it for some time.
///
/// A connection may go silent while its other end still acknowledges bytes, so that only a response
/// shows that it works. The connections of all readers may go silent at the same time.
async fn watch_and_recheck(
    router: &Rc<Router>,
    client: &StoreClient,
    after: StorePosition,
    wait: Duration,
) -> Result<StorePosition, FollowError> {
    let mut watching = std::pin::pin!(watch(router, client, after, wait));
    let mut pause = Duration::ZERO;
    loop {
        tokio::select! {
            watched = &mut watching => return watched.map(|watched| watched.position),
            checked = recheck(router, after, pause) => match checked {
                // The watch has not answered although there are changes: its connection is silent,
                // or the response is on the way.
                Ok(checked) if checked.has_changes => return Ok(checked.position),
                Ok(_) => pause = Duration::ZERO,
                Err(FollowError::Restored(era)) => return Err(FollowError::Restored(era)),
                // The watch may still be answered.
                Err(error) => {
                    log::debug!("the store gave no answer on a new connection: {error}");
                    pause = BACKOFF_MAX;
                }
            },
        }
    }
}

/// Waits for `pause` and until the store was not read for some time, and reads the changes.
async fn recheck(
    router: &Rc<Router>,
    after: StorePosition,
    pause: Duration,
) -> Result<Watched, FollowError> {
    tokio::time::sleep(pause).await;
    loop {
        let now = router.now();
        let read_age = router.confirmation.borrow().age(now).unwrap_or_default();
        let rank = {
            let own = router.introduction.borrow();
            router.hosts.borrow().preceding_readers(&own, now)
        };
        match time_until_recheck(read_age, rank) {
            Some(left) => tokio::time::sleep(left).await,
            None => break,
        }
    }
    watch(router, &StoreClient::new(router), after, Duration::ZERO).await
}

fn log_unreadable_items(router: &Router, items: &[UnreadableItem]) {
    for item in items {
        let key = item.key.as_deref().unwrap_or_default();
        router.log_unreadable("store_item_unreadable", key, &item.problem);
    }
}

fn on_event(router: &Rc<Router>, era: u64, event: &StoreEvent) {
    let prefixes = router.platform.prefixes();
    if event.key().starts_with(prefixes.evacuations) {
        evacuation::apply_event(router, era, event);
        return;
    }
    if event.key().starts_with(prefixes.configuration) {
        if let StoreEvent::Written(item) = event {
            router.on_configuration(&item.value, era, Some(era), "store");
        }
        return;
    }
    on_endpoint_event(router, era, event, "store");
}

/// Applies a change of an endpoint's entry, unless this change or a later one was applied
/// already.
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
    let entry = match event {
        StoreEvent::Written(item) => decode_endpoint(router, name, item).map(|entry| (item, entry)),
        StoreEvent::Removed { key, .. } => {
            router.unreadable.remove(ENDPOINT_UNREADABLE, key);
            None
        }
    };
    // An unreadable entry may be large, so other routers get it as removed.
    let event = match entry {
        Some(_) => event.clone(),
        None => StoreEvent::Removed {
            key: event.key().to_owned(),
            revision: event.revision(),
        },
    };
    let after = std::mem::replace(&mut view.endpoints_at, at);
    let changes = match entry {
        Some((item, entry)) => {
            view.endpoints.insert(item.key.clone(), item.clone());
            router.endpoints.borrow_mut().write(entry, now)
        }
        None => {
            view.endpoints.remove(event.key());
            router.endpoints.borrow_mut().remove(name, now)
        }
    };
    view.recent.push_back(RecentChange {
        at: now,
        after,
        event,
    });
    drop(view);
    router.on_endpoint_changes(changes, source);
}

fn decode_endpoint(router: &Router, name: &str, item: &StoreItem) -> Option<EndpointEntry> {
    match router.platform.decode_endpoint(name, &item.value) {
        Ok(entry) => {
            router.unreadable.remove(ENDPOINT_UNREADABLE, &item.key);
            Some(entry)
        }
        Err(error) => {
            router.log_unreadable(ENDPOINT_UNREADABLE, &item.key, &error.to_string());
            None
        }
    }
}

/// Replaces all endpoints with a listing from the store or from another router.
pub(crate) fn replace_endpoints(
    router: &Rc<Router>,
    mut items: HashMap<String, StoreItem>,
    at: StorePosition,
    source: &str,
) {
    if at < router.store_view.borrow().endpoints_at {
        return;
    }
    router.on_store_era(at.era, source);
    let prefix = router.platform.prefixes().endpoints;
    let mut entries: Vec<EndpointEntry> = Vec::new();
    items.retain(|key, item| {
        let name = key.strip_prefix(prefix);
        let entry = name.and_then(|name| decode_endpoint(router, name, item));
        let is_readable = entry.is_some();
        entries.extend(entry);
        is_readable
    });
    let now = router.now();
    {
        let mut view = router.store_view.borrow_mut();
        let before = std::mem::replace(&mut view.endpoints, items);
        view.endpoints_at = at;
        view.recent.clear();
        // Other routers get the state that is in force, not the outdated entries of a restored
        // backup.
        let list = router.endpoints.borrow();
        for entry in entries.iter().filter(|entry| list.is_outdated(entry, now)) {
            let key = format!("{prefix}{}", entry.name);
            match before.get(&key) {
                Some(item) => view.endpoints.insert(key, item.clone()),
                None => view.endpoints.remove(&key),
            };
        }
    }
    let changes = router.endpoints.borrow_mut().replace(entries, now);
    router.on_endpoint_changes(changes, source);
    router.on_endpoints_listed();
}

/// Maintains this router's entry in the store while it is a reader, and lists the other
/// routers' entries.
///
/// A router that starts when its seeds are gone finds the fleet through these few entries.
pub(crate) async fn register(router: Rc<Router>) {
    let client = StoreClient::new(&router);
    let mut lease: Option<(Lease, u64)> = None;
    let mut listed_at: Option<Timestamp> = None;
    tokio::time::sleep(DISCOVERY_WAIT).await;
    loop {
        if !router.reads_store() {
            tokio::time::sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        let outcome = register_once(&router, &client, &mut lease, &mut listed_at).await;
        let pause = match outcome {
            Ok(()) => RENEW_INTERVAL,
            Err(error) => {
                let fields = json!({"error": error.to_string()});
                router
                    .log
                    .write(Importance::Essential, "registration_failed", fields);
                Duration::from_millis(rand::rng().random_range(500..1_000))
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = router.store_restored.notified() => {
                // Entries that the restore lost are written again at once. Jitter keeps
                // routers from all doing so at the same time.
                let jitter = rand::rng().random_range(0.0..1.0);
                tokio::time::sleep(REREGISTRATION_SPREAD.mul_f64(jitter)).await;
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
    // A lease of an earlier era is gone, or its id now belongs to another router.
    lease.take_if(|(_, era)| *era != router.store_era.get());
    if let Some((current, _)) = lease {
        let call = platform.renew_lease(current.id);
        match client.call("renew_lease", call, CALL_TIMEOUT).await {
            Ok(_) => {}
            Err(StoreError::Status(StatusCode::NOT_FOUND)) => *lease = None,
            Err(error) => return Err(error.into()),
        }
    }
    if lease.is_none() {
        let call = platform.take_lease(LEASE_TTL);
        let response = client.call("take_lease", call, CALL_TIMEOUT).await?;
        let new_lease = platform.decode_lease(&response.body)?;
        let (key, value) = {
            let introduction = router.introduction.borrow();
            let key = format!("{prefix}{}", introduction.router);
            (key, introduction.peer_address.to_string())
        };
        let call = platform.put(&key, value.as_bytes(), new_lease.id);
        client.call("put_router", call, CALL_TIMEOUT).await?;
        *lease = Some((new_lease, response.era));
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
                let problem = "the value is not a socket address";
                router.log_unreadable("router_entry_unreadable", &item.key, problem);
            }
        }
    }
    Ok(())
}
