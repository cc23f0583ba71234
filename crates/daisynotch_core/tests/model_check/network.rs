//! The simulated network between the routers.

use daisynotch_core::{Peer, PeerMessage, RouterId, Timestamp};

use crate::fleet::SchedulerStart;

/// A message that was sent but not yet delivered.
#[derive(Debug, Clone)]
pub(crate) struct InFlight {
    /// The sender.
    pub(crate) from: Peer,
    /// The incarnation of the router that it is addressed to; a later one never receives it.
    pub(crate) to: Peer,
    /// The payload.
    pub(crate) message: PeerMessage,
    /// The earliest time of delivery.
    pub(crate) due: Timestamp,
    /// For a grant, the scheduler that issued it.
    pub(crate) granted_by: Option<SchedulerStart>,
}

/// All undelivered messages, in the order in which they were sent.
#[derive(Debug, Default)]
pub(crate) struct Network {
    messages: Vec<InFlight>,
}

impl Network {
    /// Appends a message.
    pub(crate) fn push(&mut self, message: InFlight) {
        self.messages.push(message);
    }

    /// Removes and returns a message.
    pub(crate) fn remove(&mut self, index: usize) -> InFlight {
        self.messages.remove(index)
    }

    /// Returns a message and leaves it in the network.
    pub(crate) fn get(&self, index: usize) -> &InFlight {
        &self.messages[index]
    }

    /// Postpones a message's earliest delivery to `due`.
    pub(crate) fn delay(&mut self, index: usize, due: Timestamp) {
        self.messages[index].due = due;
    }

    /// Drops the messages to an incarnation of a router that has ended.
    pub(crate) fn drop_to(&mut self, peer: Peer) {
        self.messages.retain(|message| message.to != peer);
    }

    /// Drops the undelivered messages between two routers, in both directions.
    pub(crate) fn drop_between(&mut self, a: RouterId, b: RouterId) {
        let is_between =
            |from: RouterId, to: RouterId| (from, to) == (a, b) || (from, to) == (b, a);
        self.messages
            .retain(|message| !is_between(message.from.router, message.to.router));
    }

    /// Reports whether every message was delivered or dropped.
    pub(crate) fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Returns the first message of each link that can be delivered now, oldest first.
    ///
    /// A delayed message doesn't block the messages sent after it.
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
