//! Builds the heartbeats of this router.

use super::{Member, Membership, Neighbour, OwnState, RUMORS_MAX};
use crate::RouterId;
use crate::message::Heartbeat;
use crate::time::Timestamp;

impl Membership {
    /// Returns the due heartbeats with their recipients.
    pub fn heartbeats(&mut self, own: OwnState, now: Timestamp) -> Vec<(RouterId, Heartbeat)> {
        self.set_own(own, now);
        let is_regular = now >= self.next_regular_at;
        if is_regular {
            self.next_regular_at = now + self.settings.heartbeat_interval;
            self.ask_for_view(now);
        }
        let may_send_rumors = now >= self.next_rumors_at;
        let has_rumors =
            |neighbour: &Neighbour| may_send_rumors && !neighbour.pending_rumors.is_empty();
        let neighbours = self.neighbours.iter();
        let due = neighbours.filter(|(_, neighbour)| is_regular || has_rumors(neighbour));
        let mut due: Vec<(RouterId, bool)> = due.map(|(router, _)| (*router, true)).collect();
        let recipients = self.one_off_recipients.iter();
        due.extend(recipients.map(|(router, (_, wants_answer))| (*router, *wants_answer)));
        if !due.is_empty() {
            self.next_rumors_at = now + self.settings.rumor_interval;
        }
        let heartbeat = |(router, wants_answer)| {
            let heartbeat = self.heartbeat_to(router, wants_answer, own, now);
            (router, heartbeat)
        };
        due.into_iter().map(heartbeat).collect()
    }

    pub(super) fn heartbeat_to(
        &mut self,
        router: RouterId,
        wants_answer: bool,
        own: OwnState,
        now: Timestamp,
    ) -> Heartbeat {
        let is_recent = |at: Timestamp| now.since(at) <= self.settings.suspect_after;
        let member = self.members.get(&router);
        let received_at = member.and_then(|member| member.received_at);
        let wants_view = self.view_source == Some(router);
        if wants_view {
            self.view_source = None;
        }
        let mut outgoing = match self.one_off_recipients.remove(&router) {
            Some((contact, _)) => contact.pending_rumors,
            None => Vec::new(),
        };
        if let Some(neighbour) = self.neighbours.get_mut(&router) {
            let count = neighbour.pending_rumors.len().min(RUMORS_MAX);
            outgoing.extend(neighbour.pending_rumors.drain(..count));
        } else if outgoing.len() > RUMORS_MAX {
            let remaining = outgoing.split_off(RUMORS_MAX);
            let remaining = Neighbour {
                pending_rumors: remaining,
                ..Neighbour::default()
            };
            self.one_off_recipients.insert(router, (remaining, false));
        }
        Heartbeat {
            revision: own.revision,
            leaving: own.leaving,
            open_requests: own.open_requests,
            version: self.members[&self.own.peer.router].version,
            hears_you: received_at.is_some_and(is_recent),
            wants_answer,
            wants_view,
            digest: self.digest(),
            rumors: outgoing,
        }
    }

    pub(super) fn set_own(&mut self, own: OwnState, now: Timestamp) {
        let router = self.own.peer.router;
        let is_listed = self.is_listed_leaving();
        let member = self.own_member();
        member.revision = own.revision;
        member.open_requests = Some(own.open_requests);
        member.acknowledged_at = now;
        if member.reports_leaving == own.leaving {
            return;
        }
        member.reports_leaving = own.leaving;
        member.leaving = own.leaving || is_listed;
        member.version.0 += 1;
        self.digest = None;
        self.spread_rumor(&self.alive_rumor(router), None);
    }

    pub(super) fn own_member(&mut self) -> &mut Member {
        let own = self.members.get_mut(&self.own.peer.router);
        own.expect("a router is a member of its own view")
    }
}
