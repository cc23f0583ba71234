//! Sharing of service counters, spare slots and tickets between the schedulers of a pool.
//!
//! A shard with few tickets requests some from another shard before its own slots run
//! idle. The other shard takes them out of its queue in fair order, and the requesting
//! shard grants directly to the entries. See `docs/design/tickets.md`.

use std::time::Duration;

use crate::message::{Forward, ForwardedTicket, Peer, PeerMessage, Service, Want};
use crate::time::Timestamp;

use super::{Actions, Scheduler, SchedulerAction, TicketKey, Waiting};

/// A shard requests tickets if fewer than this many wait per 100 slots.
const BUFFER_PER_100_SLOTS: u32 = 12;
/// The minimum number of waiting tickets that a shard aims for.
const BUFFER_MIN: u32 = 2;

impl Scheduler {
    /// Charges teams that wait here for the service that another shard gave them.
    pub fn on_service(&mut self, from: Peer, service: &Service, now: Timestamp) -> Actions {
        for remote in self.exchange.on_service(from, service, now) {
            if self.queue.is_waiting(remote.team) {
                self.queue.correct(remote.team, remote.cost);
            }
        }
        self.grant_free_slots(now)
    }

    /// Forwards tickets to a shard that requests them.
    ///
    /// Enough tickets stay for this shard's own slots, except that slots which are idle at
    /// the other shard are served first. A ticket is forwarded only once; otherwise it
    /// could circulate between shards that all lack a slot for it.
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
            tickets.push(self.take_for_forward(key, now));
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

    /// Queues tickets that another shard forwarded.
    pub fn on_forward(&mut self, from: Peer, forward: &Forward, now: Timestamp) -> Actions {
        let left = match forward.tickets.is_empty() {
            true => 0,
            false => forward.left,
        };
        self.exchange.on_forwarded(from, forward.from, left);
        let mut actions = Actions::new();
        for forwarded in &forward.tickets {
            let asked = Some(from);
            let ticket = forwarded.ticket.clone();
            actions.extend(self.accept(forwarded.entry, asked, ticket, now));
        }
        actions.extend(self.grant_free_slots(now));
        actions
    }

    /// Returns the service messages that are due.
    pub(super) fn service_messages(&mut self, now: Timestamp) -> Actions {
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

    /// Requests tickets from another shard if few wait here.
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

    /// Removes a waiting ticket to forward it.
    fn take_for_forward(&mut self, key: TicketKey, now: Timestamp) -> ForwardedTicket {
        let Waiting {
            mut ticket,
            received_at,
            ..
        } = self
            .take_waiting(key)
            .expect("every queued ticket is waiting");
        self.queue.remove(ticket.team, key);
        let waited = time_waited(ticket.waited_ms, received_at, now);
        ticket.waited_ms = u32::try_from(waited.as_millis()).unwrap_or(u32::MAX);
        ForwardedTicket {
            entry: key.entry,
            ticket,
        }
    }

    /// Returns the number of waiting tickets that entries sent to this shard directly.
    fn own_waiting(&self) -> u32 {
        let own = self.waiting.len() - self.forwarded_count;
        u32::try_from(own).unwrap_or(u32::MAX)
    }

    fn buffer_target(&self) -> u32 {
        (self.slots.total() * BUFFER_PER_100_SLOTS / 100).max(BUFFER_MIN)
    }
}

/// Returns how long a ticket has waited since its entry first sent it.
pub(super) fn time_waited(before_ms: u32, received_at: Timestamp, now: Timestamp) -> Duration {
    Duration::from_millis(u64::from(before_ms)) + now.since(received_at)
}
