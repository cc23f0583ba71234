//! Which routers are live, from heartbeats among a bounded number of peers.
//!
//! A router exchanges heartbeats with its neighbours only; what it learns of the
//! others arrives as rumors in those heartbeats. A silent neighbour is suspected
//! first, and lost when it does not refute that in time. The host list lags, so it
//! only gives early word of routers that leave. See `docs/design/membership.md`.

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

/// The most rumors in one heartbeat, so that a frame has room for several.
const RUMORS_MAX: usize = 64;
/// The most lost routers that are remembered and probed.
const LOST_MAX: usize = 4_096;

/// How membership judges.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct MembershipSettings {
    /// The time between two heartbeats to one neighbour.
    pub heartbeat_interval: Duration,
    /// The least time between two heartbeats when there is news.
    pub news_interval: Duration,
    /// The silence after which a neighbour is suspected.
    pub suspect_after: Duration,
    /// How long a suspected router has to refute that.
    pub refute_within: Duration,
    /// How long a neighbour's view differs before it is fetched whole.
    pub sync_after: Duration,
    /// The time between two attempts to reach a lost router.
    pub probe_interval: Duration,
    /// The gap between two inputs that is taken for a pause of this router.
    pub pause_after: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            news_interval: Duration::from_millis(40),
            suspect_after: Duration::from_millis(1_600),
            refute_within: Duration::from_millis(1_000),
            sync_after: Duration::from_millis(2_000),
            probe_interval: Duration::from_millis(2_000),
            pause_after: Duration::from_millis(1_000),
        }
    }
}

/// How a router introduces itself.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct Introduction {
    /// The router and its incarnation.
    pub peer: Peer,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where other routers reach it.
    pub peer_address: SocketAddr,
}

/// A router as another one sees it.
#[daisynotch_macros::value]
pub struct Member {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where other routers reach it.
    pub peer_address: SocketAddr,
    /// Its newest known start.
    pub incarnation: Incarnation,
    /// The newest known version of what it says of itself.
    pub version: MemberVersion,
    /// The newest configuration that it said it has; neighbours only.
    pub revision: Revision,
    /// Whether it or the host list says that it is leaving.
    pub leaving: bool,
    /// Requests that its callers have open; known of neighbours only.
    pub open_requests: Option<u32>,
    /// When it last showed that it hears this router.
    pub heard_at: Timestamp,
    /// When its last heartbeat came.
    received_at: Option<Timestamp>,
    suspected_at: Option<Timestamp>,
    says_leaving: bool,
}

/// A router that was live.
#[derive(Debug, Clone)]
struct Lost {
    introduction: Introduction,
    version: MemberVersion,
    lost_at: Timestamp,
}

/// What is kept for a router that heartbeats are exchanged with.
#[derive(Debug, Clone, Default)]
struct Neighbour {
    news: Vec<Rumor>,
    differs_since: Option<Timestamp>,
}

/// A change that others must act on.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum MembershipChange {
    /// Shards may have another scheduler now.
    Placement,
    /// An incarnation is gone.
    Lost(Peer),
    /// This router was taken for lost by others, who dropped its tickets.
    OwnLost,
}

/// Changes of one step; most steps have none.
pub type Changes = SmallVec<[MembershipChange; 2]>;

/// What a router says of itself in each heartbeat.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct OwnState {
    /// The newest configuration that it has.
    pub revision: Revision,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests that its callers have open.
    pub open_requests: u32,
}

/// The live routers, this one included.
#[derive(Debug, Clone)]
pub struct Membership {
    own: Introduction,
    settings: MembershipSettings,
    members: BTreeMap<RouterId, Member>,
    lost: BTreeMap<RouterId, Lost>,
    neighbours: BTreeMap<RouterId, Neighbour>,
    /// Routers that get one heartbeat though they are no neighbours; the value says
    /// whether they are asked to answer.
    contacts: BTreeMap<RouterId, (Neighbour, bool)>,
    listed_leaving: BTreeSet<RouterId>,
    /// Members that are suspected.
    suspects: BTreeSet<RouterId>,
    /// Whether members came or went since the neighbours were chosen.
    neighbours_stale: bool,
    /// The digest of the view, until the view changes.
    digest: Option<ViewDigest>,
    has_asked_for_view: bool,
    wants_view_of: Option<RouterId>,
    regular_at: Timestamp,
    news_at: Timestamp,
    probe_at: Timestamp,
    probed: Option<RouterId>,
}

impl Membership {
    /// Starts with this router alone.
    pub fn new(own: &Introduction, settings: MembershipSettings, now: Timestamp) -> Self {
        let member = Member::new(own, MemberVersion(0), now);
        Self {
            own: *own,
            settings,
            members: BTreeMap::from([(own.peer.router, member)]),
            lost: BTreeMap::new(),
            neighbours: BTreeMap::new(),
            contacts: BTreeMap::new(),
            listed_leaving: BTreeSet::new(),
            suspects: BTreeSet::new(),
            neighbours_stale: false,
            digest: None,
            has_asked_for_view: false,
            wants_view_of: None,
            regular_at: now,
            news_at: now,
            probe_at: now,
            probed: None,
        }
    }

    /// Gives the routers that are live, this one included.
    pub fn members(&self) -> &BTreeMap<RouterId, Member> {
        &self.members
    }

    /// Gives the routers that this one exchanges heartbeats with.
    pub fn neighbours(&self) -> impl Iterator<Item = RouterId> {
        self.neighbours.keys().copied()
    }

    /// Gives where a router, live or lost, listens for others.
    pub fn address_of(&self, router: RouterId) -> Option<SocketAddr> {
        let live = self.members.get(&router).map(|member| member.peer_address);
        live.or_else(|| Some(self.lost.get(&router)?.introduction.peer_address))
    }

    /// Gives the start of the router that schedules a shard.
    ///
    /// A router that restarted is another scheduler: it forgot what it granted.
    pub fn scheduler_peer_of(&self, shard: ShardId) -> Option<Peer> {
        let router = self.scheduler_of(shard)?;
        let incarnation = self.members.get(&router)?.incarnation;
        Some(Peer {
            router,
            incarnation,
        })
    }

    /// Says whether a peer is the newest known start of a live router.
    pub fn is_current(&self, peer: Peer) -> bool {
        let member = self.members.get(&peer.router);
        member.is_some_and(|member| member.incarnation == peer.incarnation)
    }

    /// Gives the router that schedules a shard.
    ///
    /// Routers of the shard's zone come first; a zone without routers is served
    /// by the others. Leaving routers are chosen only when no other is left.
    pub fn scheduler_of(&self, shard: ShardId) -> Option<RouterId> {
        let staying = || self.members.iter().filter(|(_, member)| !member.leaving);
        let local = staying().filter(|(_, member)| member.zone == shard.zone);
        rendezvous(shard, local.map(|(router, _)| *router))
            .or_else(|| rendezvous(shard, staying().map(|(router, _)| *router)))
            .or_else(|| rendezvous(shard, self.members.keys().copied()))
    }

    /// Takes in that a peer is connected.
    pub fn on_connected(&mut self, introduction: &Introduction, now: Timestamp) -> Changes {
        let peer = introduction.peer;
        let mut changes = Changes::new();
        if peer.router == self.own.peer.router {
            return changes;
        }
        let is_stale = |incarnation: Incarnation, heard_at: Timestamp| {
            // A clock that was set back gives a later start a smaller number.
            let is_quiet = now.since(heard_at) > self.settings.suspect_after;
            peer.incarnation == incarnation || (peer.incarnation < incarnation && !is_quiet)
        };
        let known = self.members.get(&peer.router);
        if known.is_some_and(|member| is_stale(member.incarnation, member.heard_at)) {
            return changes;
        }
        let lost = self.lost.get(&peer.router);
        if lost.is_some_and(|lost| is_stale(lost.incarnation(), lost.lost_at)) {
            self.contact(peer.router, true);
            return changes;
        }
        let state = MemberState {
            introduction: *introduction,
            version: MemberVersion(0),
            leaving: false,
        };
        self.adopt(&state, None, now, &mut changes);
        self.choose_neighbours(now);
        if !self.has_asked_for_view {
            self.has_asked_for_view = true;
            self.wants_view_of = Some(peer.router);
        }
        self.contact(peer.router, true);
        changes
    }

    /// Takes in a heartbeat and its rumors.
    pub fn on_heartbeat(&mut self, from: Peer, heartbeat: &Heartbeat, now: Timestamp) -> Changes {
        let mut changes = Changes::new();
        if from.router == self.own.peer.router {
            return changes;
        }
        for rumor in &heartbeat.rumors {
            self.on_rumor(from.router, rumor, now, &mut changes);
        }
        self.take_in_sender(from, heartbeat, now, &mut changes);
        self.choose_neighbours(now);
        if heartbeat.wants_view {
            self.send_view(from.router);
        }
        let digest = self.digest();
        match self.neighbours.get_mut(&from.router) {
            Some(neighbour) if heartbeat.digest == digest => neighbour.differs_since = None,
            Some(neighbour) => {
                neighbour.differs_since.get_or_insert(now);
            }
            None if heartbeat.wants_answer => self.contact(from.router, false),
            None => {}
        }
        changes
    }

    /// Takes in the host list; it only says who is leaving.
    pub fn on_host_list(&mut self, hosts: &[ListedHost]) -> Changes {
        let leaving = hosts.iter().filter(|host| host.leaving);
        self.listed_leaving = leaving.map(|host| RouterId::from(&host.router)).collect();
        let mut changes = Changes::new();
        for (router, member) in &mut self.members {
            let leaving = member.says_leaving || self.listed_leaving.contains(router);
            if member.leaving != leaving {
                member.leaving = leaving;
                changes = SmallVec::from_slice(&[MembershipChange::Placement]);
            }
        }
        changes
    }

    /// Says whether the host list has this router as leaving.
    pub fn is_listed_leaving(&self) -> bool {
        self.listed_leaving.contains(&self.own.peer.router)
    }

    /// Sends the next heartbeats at once.
    pub fn hurry(&mut self, now: Timestamp) {
        self.regular_at = now;
    }

    /// Takes in that this router did nothing for a while.
    ///
    /// What it knew is as old as the pause, so nobody's silence counts.
    pub fn on_resumed(&mut self, now: Timestamp) {
        for member in self.members.values_mut() {
            member.heard_at = now;
            member.suspected_at = member.suspected_at.map(|_| now);
        }
        self.regular_at = now;
    }

    /// Suspects silent neighbours and drops routers that did not refute in time.
    pub fn tick(&mut self, now: Timestamp) -> Changes {
        let suspect_after = self.settings.suspect_after;
        let members = &self.members;
        let is_silent = |router: &RouterId| {
            let member = members.get(router);
            member.is_some_and(|member| {
                member.suspected_at.is_none() && now.since(member.heard_at) > suspect_after
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
            self.lose(router, now, &mut changes);
        }
        self.choose_neighbours(now);
        self.probe(now);
        changes
    }

    /// Tries to reach one lost router after the other, so that the sides of a
    /// partition find each other again.
    fn probe(&mut self, now: Timestamp) {
        if now < self.probe_at {
            return;
        }
        self.probe_at = now + self.settings.probe_interval;
        let after = self.lost.keys().find(|router| Some(**router) > self.probed);
        let next = after.or(self.lost.keys().next()).copied();
        self.probed = next;
        if let Some(router) = next {
            self.contact(router, true);
        }
    }

    fn contact(&mut self, router: RouterId, wants_answer: bool) {
        let contact = self.contacts.entry(router).or_default();
        contact.1 |= wants_answer;
        if let Some(lost) = self.lost.get(&router) {
            self.tell(router, lost.rumor());
        }
    }

    /// Tells one router something, though it may be no neighbour.
    fn tell(&mut self, router: RouterId, rumor: Rumor) {
        match self.neighbours.get_mut(&router) {
            Some(neighbour) => neighbour.add(rumor),
            None => self.contacts.entry(router).or_default().0.add(rumor),
        }
    }

    fn send_view(&mut self, to: RouterId) {
        let others = self.members.keys().copied().filter(|router| *router != to);
        let others: Vec<RouterId> = others.collect();
        for router in others {
            self.tell(to, self.alive(router));
        }
    }

    fn ask_for_view(&mut self, now: Timestamp) {
        let sync_after = self.settings.sync_after;
        let differs = |neighbour: &Neighbour| {
            let since = neighbour.differs_since;
            since.is_some_and(|since| now.since(since) >= sync_after)
        };
        let mut neighbours = self.neighbours.iter_mut();
        if let Some((router, neighbour)) = neighbours.find(|(_, neighbour)| differs(neighbour)) {
            self.wants_view_of = Some(*router);
            neighbour.differs_since = None;
        }
    }

    fn spread(&mut self, rumor: &Rumor, except: Option<RouterId>) {
        for (router, neighbour) in &mut self.neighbours {
            if Some(*router) != except {
                neighbour.add(rumor.clone());
            }
        }
    }

    fn alive(&self, router: RouterId) -> Rumor {
        let member = &self.members[&router];
        Rumor::Alive(MemberState {
            introduction: member.introduction(router),
            version: member.version,
            leaving: member.says_leaving,
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
                member.heard_at = now;
            }
        }
    }

    /// Folds the view to a number that equal views share.
    fn digest(&mut self) -> ViewDigest {
        if let Some(digest) = self.digest {
            return digest;
        }
        let hash = |(router, member): (&RouterId, &Member)| {
            let seed = member.incarnation.0 ^ u64::from(member.says_leaving);
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
    /// Adds news; older news of the same router is no longer needed.
    fn add(&mut self, rumor: Rumor) {
        let router = rumor.peer().router;
        self.news.retain(|older| older.peer().router != router);
        self.news.push(rumor);
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
            heard_at: now,
            received_at: None,
            suspected_at: None,
            says_leaving: false,
        }
    }
}
