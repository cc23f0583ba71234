//! The load of one endpoint, as this router sees it.

use std::collections::HashMap;
use std::time::Duration;

use daisynotch_objects::{EndpointId, RouterId};

use super::digest::EndpointDigest;
use super::endpoints::EndpointEntry;
use super::health::Health;
use super::pace::Slowdown;
use super::part_cache::PartCache;
use super::routes::EngineLimits;
use crate::time::Timestamp;

/// Age from which another router's load no longer counts.
const PEER_LOAD_MAX_AGE: Duration = Duration::from_millis(1_200);
/// Age up to which another router's suspicion counts.
const PEER_SUSPICION_MAX_AGE: Duration = Duration::from_millis(500);
/// The part of an engine's memory that parts of prompts are taken to fill; running
/// requests need the rest.
const CACHE_PART: f64 = 0.8;

#[derive(Debug, Clone)]
struct PeerLoad {
    heard_at: Timestamp,
    load: Load,
    is_suspect: bool,
}

/// Work at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Load {
    /// Prompt tokens of requests that have not begun to answer.
    pub(crate) unread_tokens: u64,
    /// Requests that have not ended.
    pub(crate) running: u32,
    /// Tokens that these may hold in memory.
    pub(crate) memory_tokens: u64,
}

/// One endpoint with all that bears on placing work there.
#[derive(Debug)]
pub(crate) struct EndpointLoad {
    pub(crate) entry: EndpointEntry,
    pub(crate) engine: Option<EngineLimits>,
    pub(crate) cache: PartCache,
    pub(crate) slowdown: Slowdown,
    pub(crate) health: Health,
    pub(crate) own: Load,
    /// When a single request was last sent there to see whether it has recovered.
    pub(crate) tried_at: Timestamp,
    peers: HashMap<RouterId, PeerLoad>,
}

impl EndpointLoad {
    pub(crate) fn new(entry: EndpointEntry, engine: Option<EngineLimits>) -> Self {
        let memory_tokens = engine.map_or(0, |engine| engine.memory_tokens);
        Self {
            entry,
            engine,
            cache: PartCache::new((memory_tokens as f64 * CACHE_PART) as u64),
            slowdown: Slowdown::default(),
            health: Health::default(),
            own: Load::default(),
            tried_at: Timestamp::default(),
            peers: HashMap::new(),
        }
    }

    /// Gives the work of all routers.
    pub(crate) fn total(&self, now: Timestamp) -> Load {
        let peers = self.peers.values();
        let fresh = peers.filter(|peer| now.since(peer.heard_at) < PEER_LOAD_MAX_AGE);
        fresh.fold(self.own, |sum, peer| Load {
            unread_tokens: sum.unread_tokens + peer.load.unread_tokens,
            running: sum.running + peer.load.running,
            memory_tokens: sum.memory_tokens + peer.load.memory_tokens,
        })
    }

    /// Takes another router's load.
    pub(crate) fn on_peer(&mut self, router: RouterId, digest: &EndpointDigest, now: Timestamp) {
        let load = Load {
            unread_tokens: u64::from(digest.unread_tokens),
            running: u32::from(digest.running),
            memory_tokens: u64::from(digest.memory_tokens),
        };
        let peer = PeerLoad {
            heard_at: now,
            load,
            is_suspect: digest.is_suspect,
        };
        self.peers.insert(router, peer);
    }

    /// Forgets another router's load: its digest no longer names this endpoint.
    pub(crate) fn forget_peer(&mut self, router: RouterId) {
        self.peers.remove(&router);
    }

    /// Gives what this router tells the others.
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

    /// Says whether new requests should go elsewhere, by own or others' evidence.
    pub(crate) fn is_suspect(&self, now: Timestamp) -> bool {
        if self.health.is_suspect(now) {
            return true;
        }
        let suspected = self
            .peers
            .values()
            .any(|peer| peer.is_suspect && now.since(peer.heard_at) < PEER_SUSPICION_MAX_AGE);
        suspected && !self.health.heard_within(now, PEER_SUSPICION_MAX_AGE)
    }
}
