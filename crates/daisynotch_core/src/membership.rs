//! Gossip-based membership: which routers are live.
//!
//! A router exchanges heartbeats only with a bounded number of neighbours and learns of the
//! other routers from rumors in those heartbeats. A silent neighbour is first suspected and
//! then declared lost unless it refutes the suspicion in time. The host list lags behind the
//! fleet, so it only announces early which routers are leaving. See
//! `docs/design/membership.md`.

mod heartbeats;
mod neighbours;
mod rumors;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use smallvec::SmallVec;

use crate::host_list::ListedHost;
use crate::message::{
    Heartbeat, Incarnation, MemberState, MemberVersion, Peer, Rumor, ShardId, ViewDigest,
};
use crate::placement::rendezvous;
use crate::time::Timestamp;
use crate::{Revision, RouterId, ZoneId};

/// The most rumors in one heartbeat; the bound lets several heartbeats fit into a frame.
const RUMORS_MAX: usize = 64;
/// The most lost routers that are remembered and probed; a further one evicts another.
const LOST_MAX: usize = 4_096;

/// Intervals and timeouts of the membership protocol.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct MembershipSettings {
    /// The interval between two regular heartbeats to a neighbour.
    pub heartbeat_interval: Duration,
    /// The shortest interval between heartbeats when rumors are pending.
    pub rumor_interval: Duration,
    /// The silence after which a neighbour is suspected.
    pub suspect_after: Duration,
    /// How long a suspected router has to refute the suspicion.
    pub refute_within: Duration,
    /// How long a neighbour's view must differ before the whole view is requested.
    pub sync_after: Duration,
    /// The interval between two attempts to reach a lost router.
    pub probe_interval: Duration,
    /// The shortest gap between two inputs that counts as a pause of this router.
    pub pause_after: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            rumor_interval: Duration::from_millis(40),
            suspect_after: Duration::from_millis(1_600),
            refute_within: Duration::from_millis(1_000),
            sync_after: Duration::from_millis(2_000),
            probe_interval: Duration::from_millis(2_000),
            pause_after: Duration::from_millis(1_000),
        }
    }
}

/// A router's identity, zone and addresses, which it sends when it connects.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct Introduction {
    /// The router and its incarnation.
    pub peer: Peer,
    /// The router's availability zone.
    pub zone: ZoneId,
    /// The router's address for callers.
    pub caller_address: SocketAddr,
    /// The router's address for other routers.
    pub peer_address: SocketAddr,
}

/// The state of a live router in another router's view.
#[daisynotch_macros::value]
pub struct Member {
    /// The router's availability zone.
    pub zone: ZoneId,
    /// The router's address for callers.
    pub caller_address: SocketAddr,
    /// The router's address for other routers.
    pub peer_address: SocketAddr,
    /// The router's newest known incarnation.
    pub incarnation: Incarnation,
    /// The newest known version of the router's own state.
    pub version: MemberVersion,
    /// The newest configuration revision that the router reported; known only for neighbours.
    pub revision: Revision,
    /// Whether the router or the host list reports that the router is leaving.
    pub leaving: bool,
    /// The number of requests that the router's callers have open; known only for neighbours.
    pub open_requests: Option<u32>,
    /// When the router last confirmed that it receives this router's heartbeats.
    pub acknowledged_at: Timestamp,
    /// When the last heartbeat from the router arrived.
    received_at: Option<Timestamp>,
    /// When the suspicion of the router began, if it is suspected.
    suspected_at: Option<Timestamp>,
    /// Whether the router itself reports that it is leaving.
    reports_leaving: bool,
}

/// A router that was declared lost.
#[derive(Debug, Clone)]
struct Lost {
    introduction: Introduction,
    version: MemberVersion,
    lost_at: Timestamp,
}

/// The pending rumors and digest state of a heartbeat recipient.
#[derive(Debug, Clone, Default)]
struct Neighbour {
    pending_rumors: Vec<Rumor>,
    /// Since when the router's view digest has differed from this router's.
    digest_differs_since: Option<Timestamp>,
}

/// A membership change that entry and schedulers must handle.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum MembershipChange {
    /// The assignment of shards to schedulers may have changed.
    Placement,
    /// An incarnation of a router is gone.
    Lost(Peer),
    /// Other routers declared this one lost and dropped its tickets.
    DeclaredLostByPeers,
}

/// The membership changes of one step; most steps have none.
pub type Changes = SmallVec<[MembershipChange; 2]>;

/// The own state that a router reports in each heartbeat.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct OwnState {
    /// The router's configuration revision.
    pub revision: Revision,
    /// Whether the router is leaving.
    pub leaving: bool,
    /// The number of requests that the router's callers have open.
    pub open_requests: u32,
}

/// A router's view of the live routers, itself included.
#[derive(Debug, Clone)]
pub struct Membership {
    own: Introduction,
    settings: MembershipSettings,
    members: BTreeMap<RouterId, Member>,
    lost: BTreeMap<RouterId, Lost>,
    neighbours: BTreeMap<RouterId, Neighbour>,
    /// Routers that are not neighbours and receive a single heartbeat; the flag states whether
    /// it asks for a reply.
    one_off_recipients: BTreeMap<RouterId, (Neighbour, bool)>,
    listed_leaving: BTreeSet<RouterId>,
    /// The members that are suspected.
    suspects: BTreeSet<RouterId>,
    /// Whether members were added or removed since the neighbours were chosen.
    neighbours_stale: bool,
    /// The cached digest of the view; cleared when the view changes.
    digest: Option<ViewDigest>,
    has_asked_for_view: bool,
    view_source: Option<RouterId>,
    next_regular_at: Timestamp,
    next_rumors_at: Timestamp,
    next_probe_at: Timestamp,
    last_probed: Option<RouterId>,
}

impl Membership {
    /// Creates a view with this router as its only member.
    pub fn new(own: &Introduction, settings: MembershipSettings, now: Timestamp) -> Self {
        let member = Member::new(own, MemberVersion(0), now);
        Self {
            own: *own,
            settings,
            members: BTreeMap::from([(own.peer.router, member)]),
            lost: BTreeMap::new(),
            neighbours: BTreeMap::new(),
            one_off_recipients: BTreeMap::new(),
            listed_leaving: BTreeSet::new(),
            suspects: BTreeSet::new(),
            neighbours_stale: false,
            digest: None,
            has_asked_for_view: false,
            view_source: None,
            next_regular_at: now,
            next_rumors_at: now,
            next_probe_at: now,
            last_probed: None,
        }
    }

    /// Returns the live routers, this one included.
    pub fn members(&self) -> &BTreeMap<RouterId, Member> {
        &self.members
    }

    /// Returns the routers that this one exchanges heartbeats with.
    pub fn neighbours(&self) -> impl Iterator<Item = RouterId> {
        self.neighbours.keys().copied()
    }

    /// Returns the peer address of a live or lost router.
    pub fn address_of(&self, router: RouterId) -> Option<SocketAddr> {
        let live = self.members.get(&router).map(|member| member.peer_address);
        live.or_else(|| Some(self.lost.get(&router)?.introduction.peer_address))
    }

    /// Returns the router that schedules a shard, with its incarnation.
    ///
    /// A restarted router counts as another scheduler because it has lost its grants.
    pub fn scheduler_peer_of(&self, shard: ShardId) -> Option<Peer> {
        let router = self.scheduler_of(shard)?;
        let incarnation = self.members.get(&router)?.incarnation;
        Some(Peer {
            router,
            incarnation,
        })
    }

    /// Returns whether a peer is the newest known incarnation of a live router.
    pub fn is_current(&self, peer: Peer) -> bool {
        let member = self.members.get(&peer.router);
        member.is_some_and(|member| member.incarnation == peer.incarnation)
    }

    /// Returns the router that schedules a shard.
    ///
    /// Routers of the shard's zone take precedence; if there are none, a router of another
    /// zone is chosen. Leaving routers are chosen only if no other router is left.
    pub fn scheduler_of(&self, shard: ShardId) -> Option<RouterId> {
        let staying = || self.members.iter().filter(|(_, member)| !member.leaving);
        let local = staying().filter(|(_, member)| member.zone == shard.zone);
        rendezvous(shard, local.map(|(router, _)| *router))
            .or_else(|| rendezvous(shard, staying().map(|(router, _)| *router)))
            .or_else(|| rendezvous(shard, self.members.keys().copied()))
    }

    /// Handles a new connection to a peer.
    pub fn on_connected(&mut self, introduction: &Introduction, now: Timestamp) -> Changes {
        let peer = introduction.peer;
        let mut changes = Changes::new();
        if peer.router == self.own.peer.router {
            return changes;
        }
        let is_stale = |incarnation: Incarnation, last_seen: Timestamp| {
            // After its clock was set back, a restarted router has a smaller incarnation.
            let is_quiet = now.since(last_seen) > self.settings.suspect_after;
            peer.incarnation == incarnation || (peer.incarnation < incarnation && !is_quiet)
        };
        let known = self.members.get(&peer.router);
        if known.is_some_and(|member| is_stale(member.incarnation, member.acknowledged_at)) {
            return changes;
        }
        let lost = self.lost.get(&peer.router);
        if lost.is_some_and(|lost| is_stale(lost.incarnation(), lost.lost_at)) {
            self.contact_once(peer.router, true);
            return changes;
        }
        let state = MemberState {
            introduction: *introduction,
            version: MemberVersion(0),
            leaving: false,
        };
        self.apply_state(&state, None, now, &mut changes);
        self.choose_neighbours(now);
        if !self.has_asked_for_view {
            self.has_asked_for_view = true;
            self.view_source = Some(peer.router);
        }
        self.contact_once(peer.router, true);
        changes
    }

    /// Handles a heartbeat and its rumors.
    pub fn on_heartbeat(&mut self, from: Peer, heartbeat: &Heartbeat, now: Timestamp) -> Changes {
        let mut changes = Changes::new();
        if from.router == self.own.peer.router {
            return changes;
        }
        for rumor in &heartbeat.rumors {
            self.on_rumor(from.router, rumor, now, &mut changes);
        }
        self.update_sender(from, heartbeat, now, &mut changes);
        self.choose_neighbours(now);
        if heartbeat.wants_view {
            self.send_view(from.router);
        }
        let digest = self.digest();
        match self.neighbours.get_mut(&from.router) {
            Some(neighbour) if heartbeat.digest == digest => neighbour.digest_differs_since = None,
            Some(neighbour) => {
                neighbour.digest_differs_since.get_or_insert(now);
            }
            None if heartbeat.wants_answer => self.contact_once(from.router, false),
            None => {}
        }
        changes
    }

    /// Applies the host list, which only determines which routers are leaving.
    pub fn on_host_list(&mut self, hosts: &[ListedHost]) -> Changes {
        let leaving = hosts.iter().filter(|host| host.leaving);
        self.listed_leaving = leaving.map(|host| RouterId::from(&host.router)).collect();
        let mut changes = Changes::new();
        for (router, member) in &mut self.members {
            let leaving = member.reports_leaving || self.listed_leaving.contains(router);
            if member.leaving != leaving {
                member.leaving = leaving;
                changes = SmallVec::from_slice(&[MembershipChange::Placement]);
            }
        }
        changes
    }

    /// Returns whether the host list marks this router as leaving.
    pub fn is_listed_leaving(&self) -> bool {
        self.listed_leaving.contains(&self.own.peer.router)
    }

    /// Makes the regular heartbeats due immediately.
    pub fn make_heartbeats_due(&mut self, now: Timestamp) {
        self.next_regular_at = now;
    }

    /// Restarts all silence timeouts after this router was paused.
    ///
    /// Its view is as old as the pause, so the silence of other routers proves nothing.
    pub fn on_resumed(&mut self, now: Timestamp) {
        for member in self.members.values_mut() {
            member.acknowledged_at = now;
            member.suspected_at = member.suspected_at.map(|_| now);
        }
        self.next_regular_at = now;
    }

    /// Suspects silent neighbours and removes routers that did not refute in time.
    pub fn tick(&mut self, now: Timestamp) -> Changes {
        let suspect_after = self.settings.suspect_after;
        let members = &self.members;
        let is_silent = |router: &RouterId| {
            let member = members.get(router);
            member.is_some_and(|member| {
                member.suspected_at.is_none() && now.since(member.acknowledged_at) > suspect_after
            })
        };
        let silent: Vec<RouterId> = self.neighbours().filter(is_silent).collect();
        for router in silent {
            self.suspect(router, None, now);
        }
        let refute_within = self.settings.refute_within;
        let is_lost = |member: &Member| {
            let suspected_at = member.suspected_at;
            suspected_at.is_some_and(|at| now.since(at) > refute_within)
        };
        let suspects = self.suspects.iter().copied();
        let lost = suspects.filter(|router| self.members.get(router).is_some_and(is_lost));
        let lost: Vec<RouterId> = lost.collect();
        let mut changes = Changes::new();
        for router in lost {
            self.declare_lost(router, now, &mut changes);
        }
        self.choose_neighbours(now);
        self.probe(now);
        changes
    }

    /// Contacts one lost router per interval, in turn, to reconnect the sides of a partition.
    fn probe(&mut self, now: Timestamp) {
        if now < self.next_probe_at {
            return;
        }
        self.next_probe_at = now + self.settings.probe_interval;
        let after = self
            .lost
            .keys()
            .find(|router| Some(**router) > self.last_probed);
        let next = after.or(self.lost.keys().next()).copied();
        self.last_probed = next;
        if let Some(router) = next {
            self.contact_once(router, true);
        }
    }

    /// Schedules a single heartbeat to a router.
    fn contact_once(&mut self, router: RouterId, wants_answer: bool) {
        let recipient = self.one_off_recipients.entry(router).or_default();
        recipient.1 |= wants_answer;
        if let Some(lost) = self.lost.get(&router) {
            self.queue_rumor_for(router, lost.rumor());
        }
    }

    /// Queues a rumor for one router, whether or not it is a neighbour.
    fn queue_rumor_for(&mut self, router: RouterId, rumor: Rumor) {
        match self.neighbours.get_mut(&router) {
            Some(neighbour) => neighbour.add(rumor),
            None => self
                .one_off_recipients
                .entry(router)
                .or_default()
                .0
                .add(rumor),
        }
    }

    fn send_view(&mut self, to: RouterId) {
        let others = self.members.keys().copied().filter(|router| *router != to);
        let others: Vec<RouterId> = others.collect();
        for router in others {
            self.queue_rumor_for(to, self.alive_rumor(router));
        }
    }

    fn ask_for_view(&mut self, now: Timestamp) {
        let sync_after = self.settings.sync_after;
        let differs = |neighbour: &Neighbour| {
            let since = neighbour.digest_differs_since;
            since.is_some_and(|since| now.since(since) >= sync_after)
        };
        let mut neighbours = self.neighbours.iter_mut();
        if let Some((router, neighbour)) = neighbours.find(|(_, neighbour)| differs(neighbour)) {
            self.view_source = Some(*router);
            neighbour.digest_differs_since = None;
        }
    }

    /// Queues a rumor for all neighbours but one.
    fn spread_rumor(&mut self, rumor: &Rumor, except: Option<RouterId>) {
        for (router, neighbour) in &mut self.neighbours {
            if Some(*router) != except {
                neighbour.add(rumor.clone());
            }
        }
    }

    fn alive_rumor(&self, router: RouterId) -> Rumor {
        let member = &self.members[&router];
        Rumor::Alive(MemberState {
            introduction: member.introduction(router),
            version: member.version,
            leaving: member.reports_leaving,
        })
    }

    fn choose_neighbours(&mut self, now: Timestamp) {
        if !std::mem::take(&mut self.neighbours_stale) {
            return;
        }
        let chosen = neighbours::choose(self.own.peer.router, &self.members);
        self.neighbours.retain(|router, _| chosen.contains(router));
        for router in chosen {
            if self.neighbours.contains_key(&router) {
                continue;
            }
            self.neighbours.insert(router, Neighbour::default());
            if let Some(member) = self.members.get_mut(&router) {
                member.acknowledged_at = now;
            }
        }
    }

    /// Returns the digest of the view; equal views have equal digests.
    fn digest(&mut self) -> ViewDigest {
        if let Some(digest) = self.digest {
            return digest;
        }
        let hash = |(router, member): (&RouterId, &Member)| {
            let seed = member.incarnation.0 ^ u64::from(member.reports_leaving);
            xxhash_rust::xxh3::xxh3_64_with_seed(&router.0.to_le_bytes(), seed)
        };
        let all = self.members.iter().map(hash);
        let folded = all.fold(0, |folded, hash| folded ^ hash);
        let digest = ViewDigest((folded ^ (folded >> 16) ^ (folded >> 32) ^ (folded >> 48)) as u16);
        self.digest = Some(digest);
        digest
    }
}

impl Neighbour {
    /// Queues a rumor and drops an older one about the same router.
    fn add(&mut self, rumor: Rumor) {
        let router = rumor.peer().router;
        self.pending_rumors
            .retain(|older| older.peer().router != router);
        self.pending_rumors.push(rumor);
    }
}

impl Lost {
    fn incarnation(&self) -> Incarnation {
        self.introduction.peer.incarnation
    }

    fn rumor(&self) -> Rumor {
        Rumor::Lost {
            peer: self.introduction.peer,
            version: self.version,
        }
    }
}

impl Member {
    fn introduction(&self, router: RouterId) -> Introduction {
        Introduction {
            peer: Peer {
                router,
                incarnation: self.incarnation,
            },
            zone: self.zone,
            caller_address: self.caller_address,
            peer_address: self.peer_address,
        }
    }

    fn new(introduction: &Introduction, version: MemberVersion, now: Timestamp) -> Self {
        Self {
            zone: introduction.zone,
            caller_address: introduction.caller_address,
            peer_address: introduction.peer_address,
            incarnation: introduction.peer.incarnation,
            version,
            revision: Revision::default(),
            leaving: false,
            open_requests: None,
            acknowledged_at: now,
            received_at: None,
            suspected_at: None,
            reports_leaving: false,
        }
    }
}
