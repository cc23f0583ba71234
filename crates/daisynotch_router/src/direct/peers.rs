//! Digests between routers, and transfer of the store's state to routers that can't reach the
//! store.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::direct::{
    ConfigurationStamp, DepartedEndpoint, Digest, Exchange, HostPhase, MessageTiming, OwnRole,
    Recipients, StorePosition,
};
use daisynotch_core::{Timestamp, age_to_ms};
use daisynotch_objects::{EndpointId, RouterId, RouterName};
use daisynotch_platform::ports::{StoreEvent, StoreItem};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use rand::RngExt;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::connections::Connection;
use super::event_log::Importance;
use super::news::{self, FleetNews, News};
use super::response::{LocalResponse, ResponseBody};
use super::state::Router;
use super::store_follower::{on_endpoint_event, replace_endpoints};
use crate::timer::Tick;

/// Interval between digests in a small fleet.
pub(crate) const DIGEST_INTERVAL: Duration = Duration::from_millis(75);
/// Maximum size of a digest: about as much as a datagram can hold.
const DATAGRAM_MAX_BYTES: usize = 60_000;
/// Maximum size of the timing that follows a digest.
const TIMING_MAX_BYTES: usize = 64;
/// Maximum number of addresses of other routers in a digest.
const KNOWN_HOSTS_MAX: usize = 3;
/// Maximum number of addresses in a digest to a router that knows few others.
const WELCOME_HOSTS_MAX: usize = 64;
/// Maximum number of routers with callers that a digest to such a router introduces.
const WELCOME_INTRODUCED_MAX: usize = 24;
/// Maximum number of routers with callers that any other digest introduces.
const INTRODUCED_MAX: usize = 2;
/// Maximum number of heartbeats of other routers that a digest passes on.
const HEARTBEATS_MAX: usize = 32;
/// How long another router may be ahead of one that reads the store itself before it is asked
/// for its state: watches return on all readers within this time.
const CATCH_UP_DELAY: Duration = Duration::from_millis(200);
/// Timeout for fetching the store's state from another router.
const STORE_VIEW_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a change is included in digests: a few rounds of the largest fleets.
const CHANGE_RESEND_DURATION: Duration = Duration::from_millis(1_200);
/// Maximum number of changes in a digest.
const CHANGES_PER_DIGEST_MAX: usize = 6;
/// Maximum size of these changes together; routers that miss some fetch the whole state.
const CHANGES_MAX_BYTES: usize = 8_192;
/// Request rate, per second, from which a router has callers although the directory does not
/// list it: above the rate of the platform's own test requests, which reach every host.
const CALLERS_MIN_PER_S: f64 = 10.0;
/// Maximum size of the store's state: a configuration of 4 MB and 6,600 endpoints.
const STORE_VIEW_MAX_BYTES: usize = 8 * 1024 * 1024;
/// Path under which a router serves the store's state to other routers.
pub(crate) const STORE_VIEW_PATH: &str = "/store-view";

/// The store's state as one router knows it, without the parts that the requesting router has.
#[derive(Debug, Serialize, Deserialize)]
struct StoreViewMessage {
    configuration: Option<(ConfigurationStamp, Bytes)>,
    endpoints: Option<(Vec<StoreItem>, StorePosition)>,
    /// Endpoints that left recently.
    departed: Vec<DepartedEndpoint>,
    /// Endpoints that announced that they are leaving.
    leaving: Vec<EndpointId>,
}

/// A digest with the latest changes in the store.
#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    digest: Digest,
    /// Each change with the position of the change before it in the same era.
    recent: Vec<(StorePosition, StoreEvent)>,
}

/// Sends digests at every tick.
pub(crate) async fn send_digests(
    router: Rc<Router>,
    socket: Rc<UdpSocket>,
    mut ticks: mpsc::Receiver<Tick>,
) {
    let own_address = router.introduction.borrow().peer_address;
    let mut exchange = Exchange::new(own_address, router.now());
    let mut recent_placements = VecDeque::new();
    while ticks.recv().await.is_some() {
        let now = router.now();
        let role = own_role(&router);
        let mut recipients = exchange.next_round(&mut router.hosts.borrow_mut(), role, now);
        for address in router.round_trips.borrow_mut().take_due_replies(now) {
            if !recipients.includes(address) {
                recipients.heartbeat.push(address);
            }
        }
        router.introduction.borrow_mut().has_callers = role.has_callers;
        let own = router.introduction.borrow().id();
        router.dispatcher.borrow_mut().divide_limits(own, now);
        router.log_cold_changes("round");
        let (endpoints, teams, placed) = router.dispatcher.borrow_mut().to_digest(now);
        if recipients == Recipients::default() {
            recent_placements.clear();
            continue;
        }
        recent_placements.push_back(placed);
        // Keeps the placements of as many rounds as it takes to reach all routers with
        // callers.
        let rounds = exchange.rounds_to_reach_all(&router.hosts.borrow(), now);
        while recent_placements.len() > rounds {
            recent_placements.pop_front();
        }
        let recent = recent_changes(&router);
        let news = news::encode_for_digest(&router);
        if !recipients.heartbeat.is_empty() {
            let datagram = Datagram {
                digest: heartbeat_digest(&router, KNOWN_HOSTS_MAX, INTRODUCED_MAX, HEARTBEATS_MAX),
                recent: recent.clone(),
            };
            let addresses = &recipients.heartbeat;
            send(&router, &socket, &datagram, &news, addresses, now);
        }
        if !recipients.load.is_empty() {
            // If every round reaches all routers with callers, they need no heartbeats of each
            // other.
            let heartbeats_max = if rounds > 1 { HEARTBEATS_MAX } else { 0 };
            let digest = Digest {
                endpoints,
                teams,
                placed: recent_placements.iter().flatten().cloned().collect(),
                is_brief: false,
                ..heartbeat_digest(&router, KNOWN_HOSTS_MAX, 0, heartbeats_max)
            };
            send(
                &router,
                &socket,
                &Datagram { digest, recent },
                &news,
                &recipients.load,
                now,
            );
        }
    }
}

fn own_role(router: &Router) -> OwnRole {
    let own = router.introduction.borrow();
    let is_given_out = router.hosts.borrow().is_given_out(&own, router.now());
    let has_callers = is_given_out || router.arrivals.per_s(router.now()) >= CALLERS_MIN_PER_S;
    OwnRole {
        has_callers,
        is_leaving: own.phase == HostPhase::Leaving,
    }
}

/// Sends a datagram, followed by encoded news, the timing for each recipient and fleet news.
///
/// `written_at` is no later than the ages in the datagram were taken.
fn send(
    router: &Router,
    socket: &UdpSocket,
    datagram: &Datagram,
    news: &[u8],
    addresses: &[SocketAddr],
    written_at: Timestamp,
) {
    let speeds_max = if datagram.digest.is_brief {
        0
    } else {
        news::SPEEDS_MAX
    };
    let fleet_news = news::encode_fleet(router, speeds_max, &datagram.digest.endpoints);
    let encoded = postcard::to_stdvec(datagram).map(|mut bytes| {
        bytes.extend_from_slice(news);
        bytes
    });
    let problem = match encoded {
        Ok(mut bytes)
            if bytes.len() + TIMING_MAX_BYTES + fleet_news.len() <= DATAGRAM_MAX_BYTES =>
        {
            let shared_len = bytes.len();
            for address in addresses {
                let timing = router.round_trips.borrow().timing_for(*address, written_at);
                bytes.truncate(shared_len);
                bytes = match postcard::to_extend(&timing, bytes) {
                    Ok(bytes) => bytes,
                    Err(error) => {
                        log_unwritable(router, &error.to_string());
                        return;
                    }
                };
                bytes.extend_from_slice(&fleet_news);
                // The next digest makes up for a lost one, so a full send buffer is not waited
                // for.
                if let Ok(sent) = socket.try_send_to(&bytes, *address) {
                    router.metrics.digest_sent_bytes.inc_by(sent as u64);
                    router.metrics.digests.with_label_values(&["sent"]).inc();
                }
            }
            return;
        }
        Ok(bytes) => format!(
            "the digest has {} bytes, more than a datagram holds",
            bytes.len()
        ),
        Err(error) => error.to_string(),
    };
    log_unwritable(router, &problem);
}

fn log_unwritable(router: &Router, problem: &str) {
    let fields = json!({"error": problem});
    router
        .log
        .write(Importance::Essential, "digest_unwritable", fields);
}

/// Creates a digest without load that names a sample of the known routers.
fn heartbeat_digest(
    router: &Router,
    known_hosts_max: usize,
    introduced_max: usize,
    heartbeats_max: usize,
) -> Digest {
    let now = router.now();
    let hosts = router.hosts.borrow();
    let present = hosts.present(now);
    let known = present.map(|host| host.introduction.peer_address);
    let known_hosts = known.sample(&mut rand::rng(), known_hosts_max);
    let draw = rand::rng().random_range(0..usize::MAX / 2);
    Digest {
        host: router.introduction.borrow().clone(),
        seq: router.next_digest_seq(),
        configuration: router.configuration.get(),
        configuration_age_ms: router.confirmation.borrow().age(now).map(age_to_ms),
        endpoints_at: router.store_view.borrow().endpoints_at,
        arrivals_per_core_s: router.arrivals_per_core_s(),
        endpoints: Vec::new(),
        leaving: router
            .endpoints
            .borrow()
            .leaving_within(CHANGE_RESEND_DURATION, now)
            .collect(),
        teams: Vec::new(),
        placed: Vec::new(),
        is_brief: true,
        known_hosts,
        known_hosts_len: u32::try_from(hosts.known_len()).unwrap_or(u32::MAX),
        heartbeats: hosts.heartbeats(heartbeats_max, draw, now),
        introduced: hosts.introductions(introduced_max, draw, now),
    }
}

/// Returns the latest changes, and drops those that all routers have received by now.
fn recent_changes(router: &Router) -> Vec<(StorePosition, StoreEvent)> {
    let now = router.now();
    let mut view = router.store_view.borrow_mut();
    view.recent
        .retain(|change| now.since(change.at) < CHANGE_RESEND_DURATION);
    let mut bytes_left = CHANGES_MAX_BYTES;
    let newest = view.recent.iter().rev().take(CHANGES_PER_DIGEST_MAX);
    let newest = newest.take_while(|change| {
        let left = bytes_left.checked_sub(event_bytes(&change.event));
        bytes_left = left.unwrap_or(0);
        left.is_some()
    });
    let mut newest: Vec<(StorePosition, StoreEvent)> = newest
        .map(|change| (change.after, change.event.clone()))
        .collect();
    newest.reverse();
    newest
}

fn event_bytes(event: &StoreEvent) -> usize {
    match event {
        StoreEvent::Written(item) => item.key.len() + item.value.len(),
        StoreEvent::Removed { key, .. } => key.len(),
    }
}

/// Receives and applies the digests of other routers.
pub(crate) async fn receive_digests(router: Rc<Router>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                // An earlier digest to an address without a listener causes an error on this
                // socket.
                log::debug!("failed to receive a digest: {error}");
                tokio::task::yield_now().await;
                continue;
            }
        };
        let (datagram, rest) = match postcard::take_from_bytes(&buffer[..length]) {
            Ok(decoded) => decoded,
            Err(error) => {
                let fields = json!({"from": from.to_string(), "error": error.to_string()});
                router
                    .log
                    .write(Importance::Essential, "digest_unreadable", fields);
                continue;
            }
        };
        router
            .metrics
            .digests
            .with_label_values(&["received"])
            .inc();
        let now = router.now();
        router.confirmation.borrow_mut().on_wakeup(now);
        let Datagram { digest, recent }: Datagram = datagram;
        let own = router.introduction.borrow().id();
        if digest.host.id() == own {
            continue;
        }
        let needs_welcome = router.hosts.borrow().needs_welcome(&digest);
        if !router.hosts.borrow_mut().on_digest(&digest, now) {
            continue;
        }
        let (news, timing, fleet_news) = decode_rest(&router, rest);
        let transit = timing.and_then(|timing| {
            router.round_trips.borrow_mut().on_message(
                digest.host.peer_address,
                digest.host.incarnation,
                &timing,
                router.introduction.borrow().incarnation,
                now,
            )
        });
        let mut hosts = router.hosts.borrow_mut();
        hosts.on_rumors(&digest, own, transit, now);
        drop(hosts);
        if needs_welcome {
            let datagram = Datagram {
                digest: heartbeat_digest(
                    &router,
                    WELCOME_HOSTS_MAX,
                    WELCOME_INTRODUCED_MAX,
                    HEARTBEATS_MAX,
                ),
                recent: Vec::new(),
            };
            let news = news::encode_for_digest(&router);
            let address = [digest.host.peer_address];
            send(&router, &socket, &datagram, &news, &address, now);
        }
        router.dispatcher.borrow_mut().on_digest(&digest, now);
        news.apply(&router, Some(digest.host.id()), transit, "digest");
        fleet_news.apply(&router, Some(&digest), transit, "digest");
        router.on_configuration_age(&digest, transit, now);
        for endpoint in &digest.leaving {
            router.on_endpoint_leaving(*endpoint, "digest");
        }
        for (after, event) in &recent {
            // A gap before this change means that other changes were missed. `catch_up` then
            // fetches the whole state.
            if router.store_view.borrow().endpoints_at >= *after {
                on_endpoint_event(&router, after.era, event, "digest");
            }
        }
    }
}

/// Decodes what follows a digest: news, the timing and fleet news. Senders of an earlier version leave
/// out the last ones.
fn decode_rest(router: &Router, rest: &[u8]) -> (News, Option<MessageTiming>, FleetNews) {
    let decoded = News::decode(rest).and_then(|(news, rest)| {
        if rest.is_empty() {
            return Ok((news, None, FleetNews::default()));
        }
        let (timing, rest) = postcard::take_from_bytes(rest)?;
        Ok((news, Some(timing), FleetNews::decode(rest)?))
    });
    decoded.unwrap_or_else(|error| {
        news::log_unreadable(router, &error, "digest");
        (News::default(), None, FleetNews::default())
    })
}

/// Fetches the store's state from other routers whenever they have newer state.
pub(crate) async fn catch_up(router: Rc<Router>, mut ticks: mpsc::Receiver<Tick>) {
    let mut behind_since = None;
    let mut seen_routers = HashMap::new();
    // After the store was restored from a backup, only routers know which endpoints left, so
    // each router fetches the state from another one at least once.
    let mut has_fetched_view = false;
    while ticks.recv().await.is_some() {
        let now = router.now();
        log_presence_changes(&router, &mut seen_routers);
        let any_started_router = || {
            let hosts = router.hosts.borrow();
            let first = hosts.present(now).find(|host| host.has_store_position());
            first.map(|host| host.introduction.peer_address)
        };
        let ahead = find_router_ahead(&router);
        let Some(address) = ahead.or_else(|| any_started_router().filter(|_| !has_fetched_view))
        else {
            behind_since = None;
            continue;
        };
        let since = *behind_since.get_or_insert(now);
        let may_wait_for_store =
            has_fetched_view && router.phase() != HostPhase::Starting && router.reads_store();
        if may_wait_for_store && now.since(since) < CATCH_UP_DELAY {
            continue;
        }
        let fetched = fetch_store_view(&router, address).await;
        has_fetched_view |= fetched.is_ok();
        if let Err(reason) = fetched {
            let fields = json!({"address": address.to_string(), "error": reason});
            router
                .log
                .write(Importance::Essential, "catch_up_failed", fields);
        }
    }
}

/// Logs each router with callers that appears or disappears.
fn log_presence_changes(router: &Router, seen_routers: &mut HashMap<RouterId, RouterName>) {
    let now = router.now();
    let hosts = router.hosts.borrow();
    let mut present_len = 0;
    let mut present = HashMap::new();
    for host in hosts.present(now) {
        present_len += 1;
        if host.introduction.has_callers {
            let name = &host.introduction.router;
            present.insert(host.introduction.id(), name);
        }
    }
    let is_gone = |id: &RouterId, _: &mut RouterName| !present.contains_key(id);
    for (_, name) in seen_routers.extract_if(is_gone) {
        let fields = json!({"router": name.as_str()});
        router
            .log
            .write(Importance::Essential, "router_absent", fields);
    }
    for (id, name) in present {
        seen_routers.entry(id).or_insert_with(|| {
            let fields = json!({"router": name.as_str()});
            router
                .log
                .write(Importance::Essential, "router_present", fields);
            name.clone()
        });
    }
    let routers = hosts.fleet_len();
    drop(hosts);
    router.metrics.routers_present.set(present_len);
    router.dispatcher.borrow_mut().set_routers(routers);
}

/// Returns the address of a router that has newer state from the store than this one.
fn find_router_ahead(router: &Router) -> Option<SocketAddr> {
    let endpoints_at = router.store_view.borrow().endpoints_at;
    let is_starting = router.phase() == HostPhase::Starting;
    let draw = rand::rng().random_range(0..usize::MAX / 2);
    let hosts = router.hosts.borrow();
    let configuration = router.configuration.get();
    let ahead = hosts.host_ahead(
        &configuration,
        endpoints_at,
        is_starting,
        draw,
        router.now(),
    );
    ahead.map(|host| host.introduction.peer_address)
}

async fn fetch_store_view(router: &Rc<Router>, address: SocketAddr) -> Result<(), String> {
    let asked_at = router.now();
    let exchange = async {
        let mut connection = Connection::open(address)
            .await
            .map_err(|error| format!("{error:?}"))?;
        let mut request = Request::new(Full::new(Bytes::new()));
        let configuration = router.configuration.get();
        let endpoints_at = router.store_view.borrow().endpoints_at;
        let target = format!("{STORE_VIEW_PATH}?{configuration}&{endpoints_at}");
        *request.uri_mut() = target.parse().map_err(|error| format!("{error}"))?;
        let host = HeaderValue::from_str(&address.to_string());
        let headers = request.headers_mut();
        headers.insert(
            HOST,
            host.expect("a socket address is a valid header value"),
        );
        let response = connection
            .send(request)
            .await
            .map_err(|error| format!("{error:?}"))?;
        let body = Limited::new(response.into_body(), STORE_VIEW_MAX_BYTES).collect();
        let body = body.await;
        body.map(http_body_util::Collected::to_bytes)
            .map_err(|error| error.to_string())
    };
    let body = tokio::time::timeout(STORE_VIEW_TIMEOUT, exchange).await;
    let body = body.map_err(|_| "the router did not respond in time".to_owned())??;
    let (view, news) =
        postcard::take_from_bytes::<StoreViewMessage>(&body).map_err(|error| error.to_string())?;
    // A router that starts gets the news before it has a configuration and sends requests.
    let decoded = News::decode(news)
        .and_then(|(news, fleet_news)| Ok((news, FleetNews::decode(fleet_news)?)));
    match decoded {
        Ok((news, fleet_news)) => {
            let transit = router.now().since(asked_at);
            news.apply(router, None, Some(transit), "router");
            fleet_news.apply(router, None, Some(transit), "router");
        }
        Err(error) => news::log_unreadable(router, &error, "router"),
    }
    for endpoint in view.leaving {
        router.on_endpoint_leaving(endpoint, "router");
    }
    for departed in &view.departed {
        let now = router.now();
        let changes = router.endpoints.borrow_mut().on_departed(departed, now);
        router.on_endpoint_changes(changes, "router");
    }
    if let Some((stamp, text)) = &view.configuration {
        let written_in = (stamp.era_min > 0).then_some(stamp.era_min);
        router.on_configuration(text, stamp.era_max, written_in, "router");
    }
    if let Some((items, at)) = view.endpoints {
        let items = items.into_iter();
        let items = items.map(|item| (item.key.clone(), item)).collect();
        replace_endpoints(router, items, at, "router");
    }
    Ok(())
}

/// Responds to another router's request for the store's state. The query says what that router
/// has already.
pub(crate) fn serve_store_view(router: &Router, uri: &hyper::Uri) -> Response<ResponseBody> {
    let known = uri.query().and_then(|query| query.split_once('&'));
    let known = known.and_then(|(configuration, endpoints_at)| {
        let configuration: ConfigurationStamp = configuration.parse().ok()?;
        let endpoints_at: StorePosition = endpoints_at.parse().ok()?;
        Some((configuration, endpoints_at))
    });
    let (Some((configuration, endpoints_at)), STORE_VIEW_PATH) = (known, uri.path()) else {
        return LocalResponse::new(StatusCode::NOT_FOUND, "unknown_path").into_response();
    };
    let view = router.store_view.borrow();
    let own = router.configuration.get();
    let text = view.configuration.clone();
    let text = text.filter(|_| own.is_newer_than(&configuration));
    let configuration = text.map(|text| (own, text));
    let endpoints = (view.endpoints_at > endpoints_at).then(|| {
        let items = view.endpoints.values().cloned().collect();
        (items, view.endpoints_at)
    });
    let message = StoreViewMessage {
        configuration,
        endpoints,
        departed: router.endpoints.borrow().departed().collect(),
        leaving: router.endpoints.borrow().leaving().collect(),
    };
    match postcard::to_stdvec(&message) {
        Ok(mut body) => {
            body.extend_from_slice(&news::encode_all(router));
            body.extend_from_slice(&news::encode_fleet_for_start(router));
            Response::new(ResponseBody::Full(Some(Bytes::from(body))))
        }
        Err(error) => {
            let fields = json!({"error": error.to_string()});
            router
                .log
                .write(Importance::Essential, "store_view_unwritable", fields);
            LocalResponse::new(StatusCode::INTERNAL_SERVER_ERROR, "unwritable").into_response()
        }
    }
}
