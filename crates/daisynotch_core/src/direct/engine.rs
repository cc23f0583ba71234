//! The state of one endpoint on which placement decides: load, cached prompts, speed and health.

use std::collections::HashMap;
use std::time::Duration;

use daisynotch_objects::{EndpointId, RouterId};

use super::digest::EndpointDigest;
use super::endpoints::EndpointEntry;
use super::health::Health;
use super::pace::Slowdown;
use super::part_cache::PartCache;
use super::remaining_work::{Arriving, EVENTS_LEFT_UNKNOWN, Load};
use super::routes::EngineLimits;
use crate::time::Timestamp;

/// Age at which another router's load expires.
const PEER_LOAD_MAX_AGE: Duration = Duration::from_millis(1_200);
/// Age at which another router's suspicion expires.
const PEER_SUSPICION_MAX_AGE: Duration = Duration::from_millis(500);
/// Fraction of an engine's memory assumed to hold cached prompt parts; running requests need
/// the rest.
const CACHE_FRACTION: f64 = 0.8;

/// The load that another router reported in its latest digest.
#[derive(Debug, Clone, Copy)]
struct PeerLoad {
    heard_at: Timestamp,
    load: Load,
}

fn cache_tokens(engine: Option<EngineLimits>) -> u64 {
    let memory_tokens = engine.map_or(0, |engine| engine.memory_tokens);
    (memory_tokens as f64 * CACHE_FRACTION) as u64
}

/// One endpoint with the state that placement decides on.
#[derive(Debug)]
pub(crate) struct EndpointLoad {
    pub(crate) entry: EndpointEntry,
    pub(crate) engine: Option<EngineLimits>,
    pub(crate) cache: PartCache,
    pub(crate) slowdown: Slowdown,
    pub(crate) health: Health,
    pub(crate) own: Load,
    /// When a request was last sent to probe whether the endpoint has recovered.
    pub(crate) probed_at: Timestamp,
    /// When this router first saw the endpoint, to within the interval of
    /// [`Dispatcher::expire`](super::Dispatcher::expire).
    pub(crate) seen_since: Option<Timestamp>,
    peers: HashMap<RouterId, PeerLoad>,
    /// The sum over `peers`, cached because each decision looks at every endpoint.
    peers_sum: Load,
    /// What other routers' requests brought lately.
    pub(crate) arriving: Arriving,
    /// When the latest suspicion reported by another router expires.
    suspected_until: Timestamp,
}

impl EndpointLoad {
    pub(crate) fn new(entry: EndpointEntry, engine: Option<EngineLimits>) -> Self {
        Self {
            entry,
            engine,
            cache: PartCache::new(cache_tokens(engine)),
            slowdown: Slowdown::default(),
            health: Health::default(),
            own: Load::default(),
            probed_at: Timestamp::default(),
            seen_since: None,
            peers: HashMap::new(),
            peers_sum: Load::default(),
            arriving: Arriving::default(),
            suspected_until: Timestamp::default(),
        }
    }

    /// Applies new limits. Requests that run count on, and what is known of the endpoint holds.
    pub(crate) fn set_engine(&mut self, engine: Option<EngineLimits>) {
        if self.engine != engine {
            self.engine = engine;
            self.cache.set_capacity(cache_tokens(engine));
        }
    }

    /// Returns the load from all routers.
    pub(crate) fn total(&self) -> Load {
        self.own.plus(self.peers_sum)
    }

    /// Replaces another router's load.
    pub(crate) fn on_peer(&mut self, router: RouterId, digest: &EndpointDigest, now: Timestamp) {
        let load = Load {
            unread_tokens: u64::from(digest.unread_tokens),
            running: u32::from(digest.running),
            memory_tokens: u64::from(digest.memory_tokens),
            events_left: u64::from(digest.running) * EVENTS_LEFT_UNKNOWN,
        };
        if digest.is_suspect {
            self.suspected_until = now + PEER_SUSPICION_MAX_AGE;
        }
        let heard_at = now;
        let before = self.peers.insert(router, PeerLoad { heard_at, load });
        let before = before.map(|before| before.load).unwrap_or_default();
        self.peers_sum = self.peers_sum.minus(before).plus(load);
        let arrived = load.memory_tokens.saturating_sub(before.memory_tokens);
        self.arriving.add(arrived, now);
    }

    /// Records how many events the answers to another router's requests lack.
    pub(crate) fn on_peer_events(&mut self, router: RouterId, events_left: u32) {
        if let Some(peer) = self.peers.get_mut(&router) {
            let before = peer.load;
            peer.load.events_left = u64::from(events_left);
            self.peers_sum = self.peers_sum.minus(before).plus(peer.load);
        }
    }

    /// Removes the load of another router whose digest no longer lists this endpoint.
    pub(crate) fn forget_peer(&mut self, router: RouterId) {
        if let Some(before) = self.peers.remove(&router) {
            self.peers_sum = self.peers_sum.minus(before.load);
        }
    }

    /// Removes the load of routers whose digests have stopped.
    pub(crate) fn expire_peers(&mut self, now: Timestamp) {
        let is_fresh = |peer: &PeerLoad| now.since(peer.heard_at) < PEER_LOAD_MAX_AGE;
        self.peers.retain(|_, peer| is_fresh(peer));
        let loads = self.peers.values().map(|peer| peer.load);
        self.peers_sum = loads.fold(Load::default(), Load::plus);
    }

    /// Returns this router's own load for its digest; `None` if idle and not suspect.
    pub(crate) fn to_digest(&self, id: EndpointId, now: Timestamp) -> Option<EndpointDigest> {
        let is_suspect = self.health.is_suspect(now);
        let is_idle = self.own.running == 0 && !is_suspect;
        (!is_idle).then(|| EndpointDigest {
            endpoint: id,
            unread_tokens: u32::try_from(self.own.unread_tokens).unwrap_or(u32::MAX),
            running: u16::try_from(self.own.running).unwrap_or(u16::MAX),
            memory_tokens: u32::try_from(self.own.memory_tokens).unwrap_or(u32::MAX),
            is_suspect,
        })
    }

    /// Returns whether new requests should go elsewhere.
    ///
    /// Another router's suspicion counts only if this router received no byte from the endpoint
    /// lately.
    pub(crate) fn is_suspect(&self, now: Timestamp) -> bool {
        if self.health.is_suspect(now) {
            return true;
        }
        let suspected = now < self.suspected_until;
        suspected
            && !self
                .health
                .received_byte_within(now, PEER_SUSPICION_MAX_AGE)
    }
}
