//! Handles rumors and heartbeats that update the membership view.

use super::{Changes, LOST_MAX, Lost, Member, Membership, MembershipChange};
use crate::RouterId;
use crate::message::{Heartbeat, MemberState, MemberVersion, Peer, Rumor};
use crate::time::Timestamp;

impl Membership {
    pub(super) fn update_sender(
        &mut self,
        from: Peer,
        heartbeat: &Heartbeat,
        now: Timestamp,
        changes: &mut Changes,
    ) {
        let is_listed = self.listed_leaving.contains(&from.router);
        let known = self.members.get_mut(&from.router);
        let Some(member) = known.filter(|member| member.incarnation == from.incarnation) else {
            self.on_unknown_sender(from, heartbeat, now, changes);
            return;
        };
        member.received_at = Some(now);
        if heartbeat.hears_you {
            member.acknowledged_at = now;
        }
        member.revision = member.revision.max(heartbeat.revision);
        member.open_requests = Some(heartbeat.open_requests);
        if heartbeat.version <= member.version {
            return;
        }
        member.version = heartbeat.version;
        member.suspected_at = None;
        member.reports_leaving = heartbeat.leaving;
        self.digest = None;
        self.suspects.remove(&from.router);
        let leaving = heartbeat.leaving || is_listed;
        if member.leaving != leaving {
            member.leaving = leaving;
            changes.push(MembershipChange::Placement);
        }
        self.spread_rumor(&self.alive_rumor(from.router), Some(from.router));
    }

    /// Handles a heartbeat from a router that is not a member.
    ///
    /// A lost router rejoins if it has refuted its loss; otherwise it is informed of the loss
    /// and can refute it.
    pub(super) fn on_unknown_sender(
        &mut self,
        from: Peer,
        heartbeat: &Heartbeat,
        now: Timestamp,
        changes: &mut Changes,
    ) {
        let lost = self.lost.get(&from.router);
        let Some(lost) = lost.filter(|lost| lost.introduction.peer == from) else {
            return;
        };
        if heartbeat.version <= lost.version {
            self.queue_rumor_for(from.router, lost.rumor());
            return;
        }
        let state = MemberState {
            introduction: lost.introduction,
            version: heartbeat.version,
            leaving: heartbeat.leaving,
        };
        self.apply_state(&state, None, now, changes);
    }

    pub(super) fn on_rumor(
        &mut self,
        from: RouterId,
        rumor: &Rumor,
        now: Timestamp,
        changes: &mut Changes,
    ) {
        let peer = rumor.peer();
        if peer.router == self.own.peer.router {
            self.on_own_rumor(from, rumor, changes);
            return;
        }
        match rumor {
            Rumor::Alive(state) => self.on_alive(from, state, now, changes),
            // Every router waits for a refutation itself, because the sender of `Lost` may
            // have been on the other side of a partition.
            Rumor::Suspected { version, .. } | Rumor::Lost { version, .. } => {
                if self.is_current_rumor(peer, *version) {
                    self.set_version(peer.router, *version);
                    self.suspect(peer.router, Some(from), now);
                }
            }
        }
    }

    /// Refutes a rumor that this router is suspected or lost.
    ///
    /// A `Lost` rumor from a router that this one has itself declared lost comes from the
    /// other side of a partition and does not affect the tickets on this side.
    pub(super) fn on_own_rumor(&mut self, from: RouterId, rumor: &Rumor, changes: &mut Changes) {
        let router = self.own.peer.router;
        let (peer, version) = match rumor {
            Rumor::Alive(_) => return,
            Rumor::Suspected { peer, version } | Rumor::Lost { peer, version } => (*peer, *version),
        };
        let member = self.own_member();
        if peer.incarnation != member.incarnation || version < member.version {
            return;
        }
        member.version.0 = version.0 + 1;
        let refutation = self.alive_rumor(router);
        self.spread_rumor(&refutation, None);
        self.queue_rumor_for(from, refutation);
        if matches!(rumor, Rumor::Lost { .. }) && self.members.contains_key(&from) {
            changes.push(MembershipChange::DeclaredLostByPeers);
        }
    }

    pub(super) fn on_alive(
        &mut self,
        from: RouterId,
        state: &MemberState,
        now: Timestamp,
        changes: &mut Changes,
    ) {
        let peer = state.introduction.peer;
        let reported = (peer.incarnation, state.version);
        if let Some(lost) = self.lost.get(&peer.router)
            && reported <= (lost.incarnation(), lost.version)
        {
            self.queue_rumor_for(from, lost.rumor());
            return;
        }
        let known = self.members.get(&peer.router);
        if known.is_none_or(|member| reported > (member.incarnation, member.version)) {
            self.apply_state(state, Some(from), now, changes);
        }
    }

    /// Applies a router's own state to the view and spreads it.
    pub(super) fn apply_state(
        &mut self,
        state: &MemberState,
        from: Option<RouterId>,
        now: Timestamp,
        changes: &mut Changes,
    ) {
        let peer = state.introduction.peer;
        self.lost.remove(&peer.router);
        let mut member = Member::new(&state.introduction, state.version, now);
        member.reports_leaving = state.leaving;
        member.leaving = state.leaving || self.listed_leaving.contains(&peer.router);
        let known = self.members.get(&peer.router);
        let is_same_incarnation = known.is_some_and(|known| known.incarnation == peer.incarnation);
        if let Some(known) = known {
            if is_same_incarnation {
                member.revision = known.revision;
                member.open_requests = known.open_requests;
                member.received_at = known.received_at;
            } else {
                changes.push(MembershipChange::Lost(Peer {
                    router: peer.router,
                    incarnation: known.incarnation,
                }));
            }
        }
        let is_placement_unchanged =
            is_same_incarnation && known.is_some_and(|known| known.leaving == member.leaving);
        self.members.insert(peer.router, member);
        self.suspects.remove(&peer.router);
        self.digest = None;
        if !is_placement_unchanged {
            changes.push(MembershipChange::Placement);
        }
        self.neighbours_stale |= !is_same_incarnation;
        self.spread_rumor(&Rumor::Alive(state.clone()), from);
    }

    /// Returns whether a rumor is about the known incarnation and not outdated.
    pub(super) fn is_current_rumor(&self, peer: Peer, version: MemberVersion) -> bool {
        let member = self.members.get(&peer.router);
        member.is_some_and(|member| {
            member.incarnation == peer.incarnation && version >= member.version
        })
    }

    pub(super) fn set_version(&mut self, router: RouterId, version: MemberVersion) {
        if let Some(member) = self.members.get_mut(&router)
            && member.version != version
        {
            member.version = version;
            member.suspected_at = None;
            self.suspects.remove(&router);
        }
    }

    pub(super) fn suspect(&mut self, router: RouterId, from: Option<RouterId>, now: Timestamp) {
        let Some(member) = self.members.get_mut(&router) else {
            return;
        };
        if member.suspected_at.is_some() {
            return;
        }
        member.suspected_at = Some(now);
        self.suspects.insert(router);
        let rumor = Rumor::Suspected {
            peer: Peer {
                router,
                incarnation: member.incarnation,
            },
            version: member.version,
        };
        self.spread_rumor(&rumor, from);
    }

    pub(super) fn declare_lost(&mut self, router: RouterId, now: Timestamp, changes: &mut Changes) {
        let Some(member) = self.members.remove(&router) else {
            return;
        };
        let peer = Peer {
            router,
            incarnation: member.incarnation,
        };
        let lost = Lost {
            introduction: member.introduction(router),
            version: member.version,
            lost_at: now,
        };
        if self.lost.len() >= LOST_MAX {
            self.lost.pop_first();
        }
        self.lost.insert(router, lost);
        self.suspects.remove(&router);
        self.digest = None;
        self.neighbours_stale = true;
        changes.push(MembershipChange::Lost(peer));
        changes.push(MembershipChange::Placement);
    }
}
