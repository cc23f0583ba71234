//! How the schedulers of one pool share service counters, spare slots and tickets.
//!
//! A shard that is short of tickets asks for some before its slots run empty. What
//! it gets was taken out of the other shard's queue in the order of fairness, and
//! it grants straight to the entry. See `docs/design/tickets.md`.

use std::time::Duration;

use crate::message::{Forward, ForwardedTicket, Peer, PeerMessage, Service, Want};
use crate::time::Timestamp;

use super::{Actions, Scheduler, SchedulerAction, TicketKey, Waiting};

/// A shard asks for tickets when fewer than this many wait for each hundred slots.
const BUFFER_PER_100_SLOTS: u32 = 12;
/// The smallest number of waiting tickets that a shard tries to have.
const BUFFER_MIN: u32 = 2;

impl Scheduler {
    /// Takes in what another shard served; teams that wait here are charged for it.
    pub fn on_service(&mut self, from: Peer, service: &Service, now: Timestamp) -> Actions {
        for remote in self.exchange.on_service(from, service, now) {
            if self.queue.is_waiting(remote.team) {
                self.queue.correct(remote.team, remote.cost);
            }
        }
        self.fill(now)
    }

    /// Passes tickets to a shard that asks for them; keeps enough for its own slots.
    ///
    /// A ticket is passed on once, so that it can't go round between shards which
    /// all have no slot for it.
    pub fn on_want(&mut self, want: &Want, now: Timestamp) -> Actions {
        let own = self.own_waiting();
        let at_once = want.idle.min(own);
        let spare = (own - at_once).saturating_sub(self.buffer_target());
        let mut tickets = Vec::new();
        for _ in 0..at_once + want.buffer.min(spare) {
            let is_own = |key: &TicketKey| self.waiting[key].asked.is_none();
            let Some(key) = self.queue.first_where(is_own) else {
                break;
            };
            tickets.push(self.take_out(key, now));
        }
        let forward = Forward {
            shard: crate::ShardId {
                pool: self.shard.pool,
                zone: want.to,
            },
            from: self.shard.zone,
            left: self.own_waiting(),
            tickets,
        };
        let to = forward.shard;
        let message = PeerMessage::Forward(forward);
        [SchedulerAction::Share { to, message }]
            .into_iter()
            .collect()
    }

    /// Takes in tickets that another shard passed on.
    pub fn on_forward(&mut self, from: Peer, forward: &Forward, now: Timestamp) -> Actions {
        let left = match forward.tickets.is_empty() {
            true => 0,
            false => forward.left,
        };
        self.exchange.on_forwarded(from, forward.from, left);
        let mut repeated = Actions::new();
        for forwarded in &forward.tickets {
            let asked = Some(from);
            let ticket = forwarded.ticket.clone();
            repeated.extend(self.accept(forwarded.entry, asked, ticket, now));
        }
        repeated.extend(self.fill(now));
        repeated
    }

    /// Gives the service messages that are due.
    pub(super) fn tell_service(&mut self, now: Timestamp) -> Actions {
        let waiting = self.own_waiting();
        let teams = self.queue.waiting_teams();
        let messages = self.exchange.tick(waiting, teams, now);
        let share = |service: Service| SchedulerAction::Share {
            to: crate::ShardId {
                pool: self.shard.pool,
                zone: service.to,
            },
            message: PeerMessage::Service(service),
        };
        messages.into_iter().map(share).collect()
    }

    /// Asks another shard for tickets when few wait here.
    pub(super) fn ask_for_tickets(&mut self, now: Timestamp) -> Option<SchedulerAction> {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let buffer = self.buffer_target().saturating_sub(waiting);
        if buffer == 0 {
            return None;
        }
        let idle = if waiting == 0 { self.slots.free() } else { 0 };
        let want = self.exchange.want(idle, buffer, now)?;
        Some(SchedulerAction::Share {
            to: want.shard,
            message: PeerMessage::Want(want),
        })
    }

    fn take_out(&mut self, key: TicketKey, now: Timestamp) -> ForwardedTicket {
        let Waiting {
            mut ticket,
            received_at,
            ..
        } = self
            .take_waiting(key)
            .expect("the queue holds waiting tickets");
        self.queue.remove(ticket.team, key);
        let waited = waited(ticket.waited_ms, received_at, now);
        ticket.waited_ms = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);
        ForwardedTicket {
            entry: key.entry,
            ticket,
        }
    }

    /// Gives the waiting tickets that no other shard passed on.
    fn own_waiting(&self) -> u32 {
        let own = self.waiting.len() - self.forwarded_count;
        u32::try_from(own).unwrap_or(u32::MAX)
    }

    fn buffer_target(&self) -> u32 {
        (self.slots.total() * BUFFER_PER_100_SLOTS / 100).max(BUFFER_MIN)
    }
}

/// Gives how long a ticket has waited since its entry asked first.
pub(super) fn waited(before_ms: u32, received_at: Timestamp, now: Timestamp) -> Duration {
    Duration::from_millis(u64::from(before_ms)) + now.since(received_at)
}
