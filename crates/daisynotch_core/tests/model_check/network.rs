//! Messages under way between routers.

use daisynotch_core::{Peer, PeerMessage, RouterId, Timestamp};

use crate::fleet::SchedulerStart;

/// A message under way.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    /// The sender.
    pub(crate) from: Peer,
    /// The start of the router that it goes to; a later start never sees it.
    pub(crate) to: Peer,
    /// What it says.
    pub(crate) message: PeerMessage,
    /// It can't arrive earlier.
    pub(crate) due: Timestamp,
    /// For a grant, the scheduler that gave it.
    pub(crate) granted_by: Option<SchedulerStart>,
}

/// All messages under way, in the order in which they were sent.
#[derive(Debug, Default)]
pub(crate) struct Network {
    messages: Vec<InFlight>,
}

impl Network {
    /// Adds a message behind all others.
    pub(crate) fn push(&mut self, message: InFlight) {
        self.messages.push(message);
    }

    /// Takes a message out.
    pub(crate) fn remove(&mut self, index: usize) -> InFlight {
        self.messages.remove(index)
    }

    /// Gives a message without taking it.
    pub(crate) fn get(&self, index: usize) -> &InFlight {
        &self.messages[index]
    }

    /// Makes a message late.
    pub(crate) fn delay(&mut self, index: usize, due: Timestamp) {
        self.messages[index].due = due;
    }

    /// Drops what goes to a start of a router that has ended.
    pub(crate) fn drop_to(&mut self, peer: Peer) {
        self.messages.retain(|message| message.to != peer);
    }

    /// Drops what is under way between two routers.
    pub(crate) fn drop_between(&mut self, a: RouterId, b: RouterId) {
        let is_between =
            |from: RouterId, to: RouterId| (from, to) == (a, b) || (from, to) == (b, a);
        self.messages
            .retain(|message| !is_between(message.from.router, message.to.router));
    }

    /// Says whether nothing is under way.
    pub(crate) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Gives the first message of each link that can arrive now, oldest first.
    ///
    /// A late message doesn't hold up those behind it.
    pub(crate) fn deliverable(
        &self,
        now: Timestamp,
        is_up: impl Fn(RouterId) -> bool,
    ) -> Vec<usize> {
        let mut links: Vec<(Peer, Peer)> = Vec::new();
        let mut found = Vec::new();
        for (index, message) in self.messages.iter().enumerate() {
            let link = (message.from, message.to);
            if message.due > now || !is_up(message.to.router) || links.contains(&link) {
                continue;
            }
            links.push(link);
            found.push(index);
        }
        found
    }
}
