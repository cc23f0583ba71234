//! Distribution of the configuration objects to all routers.
//!
//! A few relays per zone poll the key-value service. Every other router learns of a newer
//! revision from a heartbeat and fetches it from the sender in pieces, because a large
//! response would delay small messages. A router without objects first asks the service for
//! the newest revision number; otherwise it could adopt an old revision from a stale peer
//! although the service is reachable. See `docs/design/configuration.md`.

mod replica;

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::backoff::{Backoff, BackoffSettings, jittered};
use crate::message::{ConfigurationPiece, ConfigurationRequest};
use crate::time::Timestamp;
use crate::{Revision, RouterId, ZoneId};

pub use replica::{EditPayload, Replica};

/// The number of routers per zone that poll the key-value service.
pub const RELAYS_PER_ZONE: usize = 3;
/// The number of refused payloads after which a router that is not a relay reads the service.
///
/// Router versions may encode objects differently; then no peer's payload passes the check.
const REFUSALS_MAX: u32 = 3;
/// The largest accepted payload: the objects of the design size, with headroom.
const PAYLOAD_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Intervals and timeouts for following the configuration.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct FollowerSettings {
    /// The longest interval between two polls of a relay.
    pub poll_interval: Duration,
    /// The longest delay before the first call of a starting router.
    pub start_jitter: Duration,
    /// How long a starting router waits for heartbeats from peers.
    pub peers_wait: Duration,
    /// How long a router without objects that is not a relay leaves reading the service to
    /// the relays, counted from the service's first response.
    pub relays_wait: Duration,
    /// The timeout for one piece from a peer.
    pub piece_timeout: Duration,
    /// The backoff for failed calls of the service.
    pub service_retries: BackoffSettings,
    /// The backoff for failed fetches from peers.
    pub peer_retries: BackoffSettings,
}

impl Default for FollowerSettings {
    fn default() -> Self {
        Self {
            poll_interval: Duration::from_millis(500),
            start_jitter: Duration::from_millis(200),
            peers_wait: Duration::from_millis(400),
            relays_wait: Duration::from_millis(8_000),
            piece_timeout: Duration::from_millis(1_000),
            service_retries: BackoffSettings {
                first: Duration::from_millis(500),
                longest: Duration::from_millis(8_000),
                budget: None,
            },
            peer_retries: BackoffSettings {
                first: Duration::from_millis(100),
                longest: Duration::from_millis(2_000),
                budget: None,
            },
        }
    }
}

/// An action that the caller performs for the configuration follower.
#[daisynotch_macros::value]
pub enum ConfigurationAction {
    /// Read the newest revision number from the service: one call.
    ReadHead,
    /// Read the newest revision from the service; a single call if there is none newer.
    ReadService,
    /// Request a piece of a peer's newest revision.
    RequestPiece {
        /// The peer that receives the request.
        to: RouterId,
        /// The request to send.
        request: ConfigurationRequest,
    },
    /// Check the objects that a peer sent and apply them.
    ApplyPayload {
        /// The peer that sent the payload.
        from: RouterId,
        /// The concatenated pieces.
        payload: Bytes,
    },
}

/// The result of a read of the key-value service.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum ServiceRead {
    /// The service returned its newest revision, which is applied if it is newer.
    Newest(Revision),
    /// The service did not respond, or its objects are unusable.
    Failed,
}

/// Whether a router has objects and, if not, why.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum ConfigurationState {
    /// A revision is in force.
    InForce,
    /// Neither the service nor a peer has responded yet.
    Starting,
    /// The service reported that nothing was ever published.
    NothingPublished,
    /// The router is fetching objects.
    Fetching,
    /// The service does not respond, and no reachable router has objects.
    NoSource,
}

type Actions = SmallVec<[ConfigurationAction; 2]>;

/// A fetch from a peer in progress.
#[derive(Debug)]
struct Fetch {
    from: RouterId,
    /// The base revision of the requested edits; zero requests the full snapshot.
    have: Revision,
    revision: Revision,
    buffer: BytesMut,
    requested_at: Timestamp,
}

/// Decides when one router reads the configuration, and from where.
#[derive(Debug)]
pub struct Follower {
    settings: FollowerSettings,
    own: RouterId,
    seed: u64,
    revision: Revision,
    started_at: Timestamp,
    /// The newest revision that the service reported, if it ever responded.
    newest_published: Option<Revision>,
    /// When the service first responded.
    first_response_at: Option<Timestamp>,
    last_read: Option<ServiceRead>,
    is_reading: bool,
    read_due: Timestamp,
    reads: u64,
    service_backoff: Backoff,
    /// Peers with a newer revision than this router.
    newer_peers: BTreeMap<RouterId, Revision>,
    fetch: Option<Fetch>,
    /// Whether a payload from a peer is being checked and applied.
    is_applying: bool,
    needs_snapshot: bool,
    refusals: u32,
    fetch_due: Timestamp,
    peer_backoff: Backoff,
}

impl Follower {
    /// Creates a follower without objects; `seed` desynchronizes the calls of different routers.
    pub fn new(own: RouterId, settings: FollowerSettings, seed: u64, now: Timestamp) -> Self {
        let delay = jittered(settings.start_jitter, seed, 0);
        Self {
            settings,
            own,
            seed,
            revision: Revision::default(),
            started_at: now,
            newest_published: None,
            first_response_at: None,
            last_read: None,
            is_reading: false,
            read_due: now + delay,
            reads: 0,
            service_backoff: Backoff::new(settings.service_retries, seed),
            newer_peers: BTreeMap::new(),
            fetch: None,
            is_applying: false,
            needs_snapshot: false,
            refusals: 0,
            fetch_due: now,
            peer_backoff: Backoff::new(settings.peer_retries, seed),
        }
    }

    /// Returns whether there are objects and, if not, why.
    pub fn state(&self) -> ConfigurationState {
        if self.revision > Revision::default() {
            return ConfigurationState::InForce;
        }
        if self.fetch.is_some() || self.is_applying || !self.newer_peers.is_empty() {
            return ConfigurationState::Fetching;
        }
        match self.last_read {
            None => ConfigurationState::Starting,
            Some(ServiceRead::Failed) => ConfigurationState::NoSource,
            Some(ServiceRead::Newest(Revision(0))) => ConfigurationState::NothingPublished,
            Some(ServiceRead::Newest(_)) => ConfigurationState::Fetching,
        }
    }

    /// Records the revision that a peer reports.
    pub fn on_heartbeat(&mut self, from: RouterId, revision: Revision) {
        if revision > self.revision && from != self.own {
            self.newer_peers.insert(from, revision);
        } else {
            self.newer_peers.remove(&from);
        }
    }

    /// Records that a revision is now in force on this router.
    pub fn on_configured(&mut self, revision: Revision, now: Timestamp) {
        self.revision = self.revision.max(revision);
        let own = self.revision;
        self.newer_peers.retain(|_, revision| *revision > own);
        self.is_applying = false;
        self.needs_snapshot = false;
        self.refusals = 0;
        self.fetch_due = now;
        self.peer_backoff.reset();
    }

    /// Records the result of a read of the service and schedules the next one.
    pub fn on_service_read(&mut self, read: ServiceRead, now: Timestamp) {
        self.is_reading = false;
        self.last_read = Some(read);
        let delay = match read {
            ServiceRead::Newest(newest_published) => {
                self.newest_published = Some(newest_published);
                self.first_response_at.get_or_insert(now);
                self.service_backoff.reset();
                jittered(self.settings.poll_interval, self.seed, self.reads)
            }
            ServiceRead::Failed => {
                let delay = self.service_backoff.next_delay();
                delay.unwrap_or(self.settings.service_retries.longest)
            }
        };
        self.read_due = now + delay;
    }

    /// Records that a peer's payload failed its check; the next fetch is a full snapshot.
    pub fn on_payload_refused(&mut self, from: RouterId, now: Timestamp) {
        self.is_applying = false;
        self.needs_snapshot = true;
        self.refusals += 1;
        self.abandon_fetch(from, now);
    }

    /// Adds a received piece to the fetch and returns the next action.
    pub fn on_piece(
        &mut self,
        from: RouterId,
        piece: &ConfigurationPiece,
        now: Timestamp,
    ) -> Option<ConfigurationAction> {
        let fetch = self.fetch.as_mut()?;
        if fetch.from != from || fetch.have != piece.have || piece.revision <= self.revision {
            return None;
        }
        if piece.offset == 0 && piece.revision != fetch.revision {
            // The peer has applied a newer revision meanwhile, so the transfer restarts.
            fetch.revision = piece.revision;
            fetch.buffer.clear();
        }
        let is_next = piece.offset as usize == fetch.buffer.len();
        if piece.revision != fetch.revision || !is_next {
            return None;
        }
        fetch.buffer.extend_from_slice(&piece.bytes);
        fetch.requested_at = now;
        let total = piece.total_bytes as usize;
        if total > PAYLOAD_MAX_BYTES || piece.bytes.is_empty() || fetch.buffer.len() > total {
            self.abandon_fetch(from, now);
            return None;
        }
        if fetch.buffer.len() < total {
            let request = fetch.next_request();
            return Some(ConfigurationAction::RequestPiece { to: from, request });
        }
        let payload = std::mem::take(&mut fetch.buffer).freeze();
        self.fetch = None;
        self.is_applying = true;
        Some(ConfigurationAction::ApplyPayload { from, payload })
    }

    /// Returns the due actions; `is_relay` is called only when its result matters.
    pub fn tick(&mut self, is_relay: impl Fn() -> bool, now: Timestamp) -> Actions {
        let mut actions = Actions::new();
        let timeout = self.settings.piece_timeout;
        if let Some(fetch) = &self.fetch
            && now.since(fetch.requested_at) > timeout
        {
            let from = fetch.from;
            self.abandon_fetch(from, now);
        }
        actions.extend(self.start_fetch(now));
        actions.extend(self.start_service_read(&is_relay, now));
        actions
    }

    fn start_fetch(&mut self, now: Timestamp) -> Option<ConfigurationAction> {
        let is_busy = self.fetch.is_some() || self.is_applying;
        if is_busy || now < self.fetch_due || !self.may_fetch_from_peers(now) {
            return None;
        }
        let tie_break = |router: RouterId| xxh3_64_with_seed(&router.0.to_le_bytes(), self.seed);
        let best = self
            .newer_peers
            .iter()
            .max_by_key(|(router, revision)| (**revision, tie_break(**router)));
        let (to, _) = best?;
        let to = *to;
        let have = if self.needs_snapshot {
            Revision::default()
        } else {
            self.revision
        };
        let fetch = Fetch {
            from: to,
            have,
            revision: Revision::default(),
            buffer: BytesMut::new(),
            requested_at: now,
        };
        let request = fetch.next_request();
        self.fetch = Some(fetch);
        Some(ConfigurationAction::RequestPiece { to, request })
    }

    /// Returns whether this router may fetch from peers.
    ///
    /// A router with objects always may. Without objects it needs a peer that has the newest
    /// revision that the service reported, or a service that does not respond.
    fn may_fetch_from_peers(&self, now: Timestamp) -> bool {
        if self.revision > Revision::default() {
            return true;
        }
        let best = self.newer_peers.values().max().copied().unwrap_or_default();
        match (self.newest_published, self.last_read) {
            (Some(newest_published), _) => best >= newest_published,
            (None, Some(ServiceRead::Failed)) => {
                self.has_elapsed_since_start(self.settings.peers_wait, now)
            }
            (None, _) => false,
        }
    }

    fn start_service_read(
        &mut self,
        is_relay: &impl Fn() -> bool,
        now: Timestamp,
    ) -> Option<ConfigurationAction> {
        if self.is_reading || now < self.read_due {
            return None;
        }
        let has_objects = self.revision > Revision::default();
        let action = match (has_objects, self.newest_published) {
            (true, _) if self.refusals >= REFUSALS_MAX || is_relay() => {
                ConfigurationAction::ReadService
            }
            (true, _) => return self.defer_read(now),
            (false, None) => ConfigurationAction::ReadHead,
            (false, Some(_)) if self.may_read_objects(is_relay, now) => {
                ConfigurationAction::ReadService
            }
            (false, Some(_)) => return self.defer_read(now),
        };
        self.is_reading = true;
        self.reads += 1;
        Some(action)
    }

    /// Returns whether a router without objects reads them from the service itself.
    fn may_read_objects(&self, is_relay: &impl Fn() -> bool, now: Timestamp) -> bool {
        if self.fetch.is_some()
            || self.is_applying
            || !self.has_elapsed_since_start(self.settings.peers_wait, now)
        {
            return false;
        }
        let relays_wait = jittered(self.settings.relays_wait, self.seed, 0);
        let first_response_at = self.first_response_at.unwrap_or(now);
        now.since(first_response_at) >= relays_wait || (self.newer_peers.is_empty() && is_relay())
    }

    fn defer_read(&mut self, now: Timestamp) -> Option<ConfigurationAction> {
        self.read_due = now + self.settings.peers_wait / 4;
        None
    }

    fn has_elapsed_since_start(&self, wait: Duration, now: Timestamp) -> bool {
        now.since(self.started_at) >= wait
    }

    fn abandon_fetch(&mut self, peer: RouterId, now: Timestamp) {
        self.fetch = None;
        // The peer's next heartbeat makes it a candidate again.
        self.newer_peers.remove(&peer);
        let delay = self.peer_backoff.next_delay();
        self.fetch_due = now + delay.unwrap_or(self.settings.peer_retries.longest);
    }
}

impl Fetch {
    fn next_request(&self) -> ConfigurationRequest {
        ConfigurationRequest {
            have: self.have,
            wanted: self.revision,
            offset: u32::try_from(self.buffer.len()).unwrap_or(u32::MAX),
        }
    }
}

/// Returns whether a router is one of the relays of its zone.
///
/// The candidates are the live routers of the zone that are not leaving. While membership
/// views differ, a zone may have more relays than usual, but never none.
pub fn is_relay(own: RouterId, zone: ZoneId, candidates: impl Iterator<Item = RouterId>) -> bool {
    let score = |router: RouterId| {
        let seed = u64::from(zone.0);
        (xxh3_64_with_seed(&router.0.to_le_bytes(), seed), router)
    };
    let own_score = score(own);
    let better = candidates.filter(|router| score(*router) > own_score);
    better.take(RELAYS_PER_ZONE).count() < RELAYS_PER_ZONE
}

#[cfg(test)]
mod tests;
