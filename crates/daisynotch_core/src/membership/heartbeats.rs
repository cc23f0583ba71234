//! Writes the heartbeats of this router.

use super::{Member, Membership, Neighbour, OwnState, RUMORS_MAX};
use crate::RouterId;
use crate::message::Heartbeat;
use crate::time::Timestamp;

impl Membership {
    /// Gives the heartbeats that are due.
    pub fn heartbeats(&mut self, own: OwnState, now: Timestamp) -> Vec<(RouterId, Heartbeat)> {
        self.set_own(own, now);
        let is_regular = now >= self.regular_at;
        if is_regular {
            self.regular_at = now + self.settings.heartbeat_interval;
            self.ask_for_view(now);
        }
        let may_send_news = now >= self.news_at;
        let has_news = |neighbour: &Neighbour| may_send_news && !neighbour.news.is_empty();
        let neighbours = self.neighbours.iter();
        let due = neighbours.filter(|(_, neighbour)| is_regular || has_news(neighbour));
        let mut due: Vec<(RouterId, bool)> = due.map(|(router, _)| (*router, true)).collect();
        let contacts = self.contacts.iter();
        due.extend(contacts.map(|(router, (_, wants_answer))| (*router, *wants_answer)));
        if !due.is_empty() {
            self.news_at = now + self.settings.news_interval;
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
        let wants_view = self.wants_view_of == Some(router);
        if wants_view {
            self.wants_view_of = None;
        }
        let mut news = match self.contacts.remove(&router) {
            Some((contact, _)) => contact.news,
            None => Vec::new(),
        };
        if let Some(neighbour) = self.neighbours.get_mut(&router) {
            let count = neighbour.news.len().min(RUMORS_MAX);
            news.extend(neighbour.news.drain(..count));
        } else if news.len() > RUMORS_MAX {
            let later = news.split_off(RUMORS_MAX);
            let later = Neighbour {
                news: later,
                ..Neighbour::default()
            };
            self.contacts.insert(router, (later, false));
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
            rumors: news,
        }
    }

    pub(super) fn set_own(&mut self, own: OwnState, now: Timestamp) {
        let router = self.own.peer.router;
        let is_listed = self.is_listed_leaving();
        let member = self.own_member();
        member.revision = own.revision;
        member.open_requests = Some(own.open_requests);
        member.heard_at = now;
        if member.says_leaving == own.leaving {
            return;
        }
        member.says_leaving = own.leaving;
        member.leaving = own.leaving || is_listed;
        member.version.0 += 1;
        self.digest = None;
        self.spread(&self.alive(router), None);
    }

    pub(super) fn own_member(&mut self) -> &mut Member {
        let own = self.members.get_mut(&self.own.peer.router);
        own.expect("a router is a member of its own view")
    }
}
