//! Which routers are live, from the host list and from heartbeats.
//!
//! The host list lags, so it only seeds; heartbeats decide.
//! See `docs/design/membership.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::message::{Heartbeat, Incarnation, Peer, ShardId};
use crate::placement::rendezvous;
use crate::time::Timestamp;
use crate::{Revision, RouterId, ZoneId};

/// How membership judges.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct MembershipSettings {
    /// The time between two heartbeats to one peer.
    pub heartbeat_interval: Duration,
    /// The silence after which a router is taken for lost.
    pub lost_after: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(500),
            lost_after: Duration::from_millis(2_000),
        }
    }
}

/// How a router introduces itself.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct Introduction {
    /// The router and its incarnation.
    pub peer: Peer,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
}

/// A router as another one sees it.
#[daisynotch_macros::value]
pub struct Member {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Its newest known start.
    pub incarnation: Incarnation,
    /// The newest configuration that it said it has.
    pub revision: Revision,
    /// Whether it said that it is leaving.
    pub leaving: bool,
    /// Requests that its callers have open.
    pub open_requests: u32,
    /// When it was last heard.
    pub heard_at: Timestamp,
}

/// The live routers, this one included.
#[daisynotch_macros::value]
pub struct Membership {
    own: RouterId,
    settings: MembershipSettings,
    members: BTreeMap<RouterId, Member>,
}

impl Membership {
    /// Starts with this router alone.
    pub fn new(own: &Introduction, settings: MembershipSettings, now: Timestamp) -> Self {
        let member = Member::new(own, now);
        let own = own.peer.router;
        Self {
            own,
            settings,
            members: BTreeMap::from([(own, member)]),
        }
    }

    /// Gives the routers that are live, this one included.
    pub fn members(&self) -> &BTreeMap<RouterId, Member> {
        &self.members
    }

    /// Gives what this router says of itself.
    pub fn own_heartbeat(&self) -> Heartbeat {
        let own = &self.members[&self.own];
        Heartbeat {
            revision: own.revision,
            leaving: own.leaving,
            open_requests: own.open_requests,
        }
    }

    /// Sets what this router says of itself.
    pub fn set_own(&mut self, heartbeat: &Heartbeat) {
        let own = self.members.get_mut(&self.own);
        own.expect("a router is a member of its own view")
            .update(heartbeat);
    }

    /// Takes in that a peer is connected; says whether the set of live routers changed.
    pub fn on_connected(&mut self, introduction: &Introduction, now: Timestamp) -> bool {
        let peer = introduction.peer;
        if peer.router == self.own {
            return false;
        }
        let known = self.members.get(&peer.router);
        let is_new = known.is_none_or(|member| member.incarnation != peer.incarnation);
        if is_new {
            self.members
                .insert(peer.router, Member::new(introduction, now));
        }
        is_new
    }

    /// Takes in a heartbeat; says whether placement may have changed.
    pub fn on_heartbeat(&mut self, from: Peer, heartbeat: &Heartbeat, now: Timestamp) -> bool {
        let Some(member) = self.members.get_mut(&from.router) else {
            return false;
        };
        if member.incarnation != from.incarnation {
            return false;
        }
        let leaving_before = member.leaving;
        member.heard_at = now;
        member.update(heartbeat);
        member.leaving != leaving_before
    }

    /// Drops routers that have been silent too long, and gives them.
    pub fn drop_silent(&mut self, now: Timestamp) -> Vec<RouterId> {
        let lost_after = self.settings.lost_after;
        let own = self.own;
        let is_lost = |router: RouterId, member: &Member| {
            router != own && now.since(member.heard_at) > lost_after
        };
        let lost: Vec<RouterId> = self
            .members
            .iter()
            .filter(|(router, member)| is_lost(**router, member))
            .map(|(router, _)| *router)
            .collect();
        for router in &lost {
            self.members.remove(router);
        }
        lost
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
}

impl Member {
    fn new(introduction: &Introduction, now: Timestamp) -> Self {
        Self {
            zone: introduction.zone,
            caller_address: introduction.caller_address,
            incarnation: introduction.peer.incarnation,
            revision: Revision::default(),
            leaving: false,
            open_requests: 0,
            heard_at: now,
        }
    }

    fn update(&mut self, heartbeat: &Heartbeat) {
        self.revision = self.revision.max(heartbeat.revision);
        self.leaving |= heartbeat.leaving;
        self.open_requests = heartbeat.open_requests;
    }
}
