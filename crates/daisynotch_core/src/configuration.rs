//! Who reads the objects from where, and when.
//!
//! A few relays in each zone poll the key-value service; every other router learns
//! of a newer revision from a heartbeat and pulls it from the sender, piece by
//! piece, so that a large answer never holds up small messages. A router that has
//! no objects asks the service for the newest revision first, so that it does not
//! take an old one from a stale peer while the service can be reached. See
//! `docs/design/configuration.md`.

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

/// Routers of a zone that poll the key-value service.
pub const RELAYS_PER_ZONE: usize = 3;
/// Refused payloads after which a router reads the service though it is no relay.
///
/// Routers of different versions may encode objects differently, so that none of
/// them can check what another one sends.
const REFUSALS_MAX: u32 = 3;
/// The longest payload that is taken: the objects of the design size, with room.
const PAYLOAD_MAX_BYTES: usize = 64 * 1024 * 1024;

/// How the objects are followed.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct FollowerSettings {
    /// The longest time between two polls of a relay.
    pub poll_interval: Duration,
    /// The longest delay before the first call of a router that starts.
    pub start_jitter: Duration,
    /// How long a router that starts waits for word from peers.
    pub peers_wait: Duration,
    /// How long an empty router that is no relay leaves the service to the relays, from
    /// the service's first answer.
    pub relays_wait: Duration,
    /// How long a peer may take to send one piece.
    pub piece_timeout: Duration,
    /// How failed calls of the service are tried again.
    pub service_retries: BackoffSettings,
    /// How failed fetches from peers are tried again.
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

/// Something to do for the configuration.
#[daisynotch_macros::value]
pub enum ConfigurationAction {
    /// Ask the service for the newest revision's number: one call.
    ReadHead,
    /// Read the newest revision from the service; one call when there is none newer.
    ReadService,
    /// Ask a peer for a piece of its newest revision.
    RequestPiece {
        /// The peer.
        to: RouterId,
        /// What is asked.
        request: ConfigurationRequest,
    },
    /// Check and take what a peer sent.
    ApplyPayload {
        /// The peer.
        from: RouterId,
        /// All its pieces together.
        payload: Bytes,
    },
}

/// How a read of the service ended.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum ServiceRead {
    /// The service named its newest revision, which is taken if it is newer.
    Newest(Revision),
    /// The service did not answer, or its objects can't be used.
    Failed,
}

/// Why a router has no objects, or that it has some.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum ConfigurationState {
    /// Some revision is in force.
    InForce,
    /// Nothing is known yet.
    Starting,
    /// The service answered that nothing was ever published.
    NothingPublished,
    /// The objects are on their way.
    Fetching,
    /// The service does not answer, and no reachable router has objects.
    NoSource,
}

type Actions = SmallVec<[ConfigurationAction; 2]>;

/// A fetch from a peer that goes on.
#[derive(Debug)]
struct Fetch {
    from: RouterId,
    /// The revision to which the answer is a difference; zero asks for the whole.
    have: Revision,
    revision: Revision,
    buffer: BytesMut,
    asked_at: Timestamp,
}

/// Decides how one router follows the objects.
#[derive(Debug)]
pub struct Follower {
    settings: FollowerSettings,
    own: RouterId,
    seed: u64,
    revision: Revision,
    started_at: Timestamp,
    /// What the service last said, if it ever answered.
    newest: Option<Revision>,
    /// When the service answered first.
    answered_at: Option<Timestamp>,
    last_read: Option<ServiceRead>,
    is_reading: bool,
    read_due: Timestamp,
    reads: u64,
    service_backoff: Backoff,
    /// Peers that have more than this router.
    ahead: BTreeMap<RouterId, Revision>,
    fetch: Option<Fetch>,
    /// The peer whose payload is being checked.
    is_taking: bool,
    wants_whole: bool,
    refusals: u32,
    fetch_due: Timestamp,
    peer_backoff: Backoff,
}

impl Follower {
    /// Starts without objects; the seed spreads the calls of different routers.
    pub fn new(own: RouterId, settings: FollowerSettings, seed: u64, now: Timestamp) -> Self {
        let delay = jittered(settings.start_jitter, seed, 0);
        Self {
            settings,
            own,
            seed,
            revision: Revision::default(),
            started_at: now,
            newest: None,
            answered_at: None,
            last_read: None,
            is_reading: false,
            read_due: now + delay,
            reads: 0,
            service_backoff: Backoff::new(settings.service_retries, seed),
            ahead: BTreeMap::new(),
            fetch: None,
            is_taking: false,
            wants_whole: false,
            refusals: 0,
            fetch_due: now,
            peer_backoff: Backoff::new(settings.peer_retries, seed),
        }
    }

    /// Gives why there are no objects, or that there are some.
    pub fn state(&self) -> ConfigurationState {
        if self.revision > Revision::default() {
            return ConfigurationState::InForce;
        }
        if self.fetch.is_some() || self.is_taking || !self.ahead.is_empty() {
            return ConfigurationState::Fetching;
        }
        match self.last_read {
            None => ConfigurationState::Starting,
            Some(ServiceRead::Failed) => ConfigurationState::NoSource,
            Some(ServiceRead::Newest(Revision(0))) => ConfigurationState::NothingPublished,
            Some(ServiceRead::Newest(_)) => ConfigurationState::Fetching,
        }
    }

    /// Takes in the revision that a peer says it has.
    pub fn on_heartbeat(&mut self, from: RouterId, revision: Revision) {
        if revision > self.revision && from != self.own {
            self.ahead.insert(from, revision);
        } else {
            self.ahead.remove(&from);
        }
    }

    /// Takes in that a revision is in force here.
    pub fn on_configured(&mut self, revision: Revision, now: Timestamp) {
        self.revision = self.revision.max(revision);
        let own = self.revision;
        self.ahead.retain(|_, revision| *revision > own);
        self.is_taking = false;
        self.wants_whole = false;
        self.refusals = 0;
        self.fetch_due = now;
        self.peer_backoff.reset();
    }

    /// Takes in how a read of the service ended.
    pub fn on_service_read(&mut self, read: ServiceRead, now: Timestamp) {
        self.is_reading = false;
        self.last_read = Some(read);
        let delay = match read {
            ServiceRead::Newest(newest) => {
                self.newest = Some(newest);
                self.answered_at.get_or_insert(now);
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

    /// Takes in that what a peer sent was not what it should be.
    pub fn on_payload_refused(&mut self, from: RouterId, now: Timestamp) {
        self.is_taking = false;
        self.wants_whole = true;
        self.refusals += 1;
        self.give_up_on(from, now);
    }

    /// Takes in a piece and gives what to do next.
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
            // The peer took a newer revision meanwhile, so its answer starts again.
            fetch.revision = piece.revision;
            fetch.buffer.clear();
        }
        let is_next = piece.offset as usize == fetch.buffer.len();
        if piece.revision != fetch.revision || !is_next {
            return None;
        }
        fetch.buffer.extend_from_slice(&piece.bytes);
        fetch.asked_at = now;
        let total = piece.total_bytes as usize;
        if total > PAYLOAD_MAX_BYTES || piece.bytes.is_empty() || fetch.buffer.len() > total {
            self.give_up_on(from, now);
            return None;
        }
        if fetch.buffer.len() < total {
            let request = fetch.next_request();
            return Some(ConfigurationAction::RequestPiece { to: from, request });
        }
        let payload = std::mem::take(&mut fetch.buffer).freeze();
        self.fetch = None;
        self.is_taking = true;
        Some(ConfigurationAction::ApplyPayload { from, payload })
    }

    /// Gives what is due; `is_relay` is only asked when the answer matters.
    pub fn tick(&mut self, is_relay: impl Fn() -> bool, now: Timestamp) -> Actions {
        let mut actions = Actions::new();
        let timeout = self.settings.piece_timeout;
        if let Some(fetch) = &self.fetch
            && now.since(fetch.asked_at) > timeout
        {
            let from = fetch.from;
            self.give_up_on(from, now);
        }
        actions.extend(self.ask_peer(now));
        actions.extend(self.read_service(&is_relay, now));
        actions
    }

    fn ask_peer(&mut self, now: Timestamp) -> Option<ConfigurationAction> {
        let is_busy = self.fetch.is_some() || self.is_taking;
        if is_busy || now < self.fetch_due || !self.may_ask_peers(now) {
            return None;
        }
        let spread = |router: RouterId| xxh3_64_with_seed(&router.0.to_le_bytes(), self.seed);
        let best = self
            .ahead
            .iter()
            .max_by_key(|(router, revision)| (**revision, spread(**router)));
        let (to, _) = best?;
        let to = *to;
        let have = if self.wants_whole {
            Revision::default()
        } else {
            self.revision
        };
        let fetch = Fetch {
            from: to,
            have,
            revision: Revision::default(),
            buffer: BytesMut::new(),
            asked_at: now,
        };
        let request = fetch.next_request();
        self.fetch = Some(fetch);
        Some(ConfigurationAction::RequestPiece { to, request })
    }

    /// Says whether peers may be asked: with objects always, without them only when the
    /// service named a revision that a peer has, or can't be asked.
    fn may_ask_peers(&self, now: Timestamp) -> bool {
        if self.revision > Revision::default() {
            return true;
        }
        let best = self.ahead.values().max().copied().unwrap_or_default();
        match (self.newest, self.last_read) {
            (Some(newest), _) => best >= newest,
            (None, Some(ServiceRead::Failed)) => self.has_waited(self.settings.peers_wait, now),
            (None, _) => false,
        }
    }

    fn read_service(
        &mut self,
        is_relay: &impl Fn() -> bool,
        now: Timestamp,
    ) -> Option<ConfigurationAction> {
        if self.is_reading || now < self.read_due {
            return None;
        }
        let has_objects = self.revision > Revision::default();
        let action = match (has_objects, self.newest) {
            (true, _) if self.refusals >= REFUSALS_MAX || is_relay() => {
                ConfigurationAction::ReadService
            }
            (true, _) => return self.look_again_later(now),
            (false, None) => ConfigurationAction::ReadHead,
            (false, Some(_)) if self.may_read_whole(is_relay, now) => {
                ConfigurationAction::ReadService
            }
            (false, Some(_)) => return self.look_again_later(now),
        };
        self.is_reading = true;
        self.reads += 1;
        Some(action)
    }

    /// Says whether a router without objects reads them from the service itself.
    fn may_read_whole(&self, is_relay: &impl Fn() -> bool, now: Timestamp) -> bool {
        if self.fetch.is_some() || self.is_taking || !self.has_waited(self.settings.peers_wait, now)
        {
            return false;
        }
        let relays_wait = jittered(self.settings.relays_wait, self.seed, 0);
        let answered_at = self.answered_at.unwrap_or(now);
        now.since(answered_at) >= relays_wait || (self.ahead.is_empty() && is_relay())
    }

    fn look_again_later(&mut self, now: Timestamp) -> Option<ConfigurationAction> {
        self.read_due = now + self.settings.peers_wait / 4;
        None
    }

    fn has_waited(&self, wait: Duration, now: Timestamp) -> bool {
        now.since(self.started_at) >= wait
    }

    fn give_up_on(&mut self, peer: RouterId, now: Timestamp) {
        self.fetch = None;
        // Its next heartbeat makes it a candidate again.
        self.ahead.remove(&peer);
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

/// Says whether a router is one of the few of its zone that poll the service.
///
/// The candidates are the live routers of the zone that are not leaving. Views that
/// differ for a while give some relays more, never none.
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
