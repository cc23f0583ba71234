//! The scheduler of a shard: orders waiting tickets and grants slots to them.
//!
//! A scheduler holds only soft state: its successor rebuilds it from what entries
//! resend. `docs/design/tickets.md` describes the messages, `docs/design/fairness.md`
//! the order of tickets and `docs/design/slots.md` the number of slots per endpoint.

mod endpoint_health;
mod exchange;
mod length;
mod prefixes;
mod queue;
mod sharing;
mod slot_limit;
mod slots;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::catalogue::Catalogue;
use crate::cost::Cost;
use crate::message::{
    ForwardedGrant, Grant, LengthClass, Peer, PeerMessage, Progress, Release, ReleaseReason,
    Running, ShardId, Ticket, TicketSeq,
};
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::Timestamp;
use crate::{EndpointId, TeamId};

use endpoint_health::Health;
use exchange::Exchange;
use length::LengthClassifier;
use queue::FairQueue;
use sharing::time_waited;
use slots::{EndpointSlots, LongQuota, ObservedLatency};

/// The timeouts and limits of a scheduler.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct SchedulerSettings {
    /// How long a new scheduler collects reports of running work before its first grant.
    pub takeover_grace: Duration,
    /// How long an entry may use a grant.
    pub grant_validity: Duration,
    /// How long a grant may go without a report before the scheduler queries its entry.
    pub query_after: Duration,
    /// How long the slots of a lost entry stay taken before they are reclaimed.
    pub lost_entry_hold: Duration,
    /// The maximum past service that a team of weight 1 repays or is repaid.
    pub repayment_max: Cost,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            takeover_grace: Duration::from_millis(500),
            grant_validity: Duration::from_millis(1_000),
            query_after: Duration::from_millis(5_000),
            lost_entry_hold: Duration::from_millis(3_000),
            repayment_max: Cost(65_536),
        }
    }
}

/// Identifies a ticket across the fleet.
#[daisynotch_macros::value]
#[derive(Copy, Hash, PartialOrd, Ord)]
pub struct TicketKey {
    /// The entry that sent it.
    pub entry: Peer,
    /// The number of the ticket at that entry.
    pub seq: TicketSeq,
}

/// An action for the caller of [`Scheduler`] to carry out.
#[daisynotch_macros::value]
pub enum SchedulerAction {
    /// Send a grant to an entry.
    Grant {
        /// The entry.
        to: Peer,
        /// The grant.
        grant: Grant,
    },
    /// Ask an entry for the state of a grant.
    Query {
        /// The entry.
        to: Peer,
        /// The ticket's number.
        seq: TicketSeq,
        /// The endpoint whose slot is held.
        endpoint: EndpointId,
    },
    /// Send a message to the scheduler of another shard of the pool.
    Share {
        /// The shard.
        to: ShardId,
        /// The message.
        message: PeerMessage,
    },
    /// Send a grant to an entry whose ticket another shard forwarded.
    ForwardedGrant {
        /// The entry.
        to: Peer,
        /// The grant.
        grant: ForwardedGrant,
    },
}

/// The actions of one step; most steps have at most one.
pub(crate) type Actions = SmallVec<[SchedulerAction; 2]>;

/// A ticket without a grant.
#[derive(Debug, Clone)]
struct Waiting {
    ticket: Ticket,
    received_at: Timestamp,
    /// The router that the entry asked, if that router forwarded the ticket.
    asked: Option<Peer>,
}

/// A granted slot, until it is released or reclaimed.
#[derive(Debug, Clone)]
struct Granted {
    endpoint: EndpointId,
    team: TeamId,
    class: LengthClass,
    granted_at: Timestamp,
    /// The entry's cost estimate; `None` if another scheduler granted the slot.
    hint: Option<Cost>,
    charged: Cost,
    /// The grant as it was sent, to answer a duplicate ticket the same way.
    grant: Option<SchedulerAction>,
    last_report_at: Timestamp,
    /// When to reclaim the slot, if its entry is lost.
    reclaim_at: Option<Timestamp>,
}

impl Granted {
    /// Records that the entry is alive and the work is running.
    fn mark_alive(&mut self, now: Timestamp) {
        self.last_report_at = now;
        self.grant = None;
        self.reclaim_at = None;
    }
}

/// The scheduler of one shard.
#[derive(Debug)]
pub struct Scheduler {
    shard: ShardId,
    settings: SchedulerSettings,
    grants_from: Timestamp,
    queue: FairQueue,
    exchange: Exchange,
    slots: EndpointSlots,
    lengths: LengthClassifier,
    waiting: HashMap<TicketKey, Waiting>,
    /// The number of waiting tickets that another shard forwarded; these are not forwarded again.
    forwarded_count: usize,
    granted: HashMap<TicketKey, Granted>,
}

impl Scheduler {
    /// Creates a scheduler without tickets or grants.
    pub fn new(
        shard: ShardId,
        settings: SchedulerSettings,
        catalogue: &Arc<Catalogue>,
        now: Timestamp,
    ) -> Self {
        let mut scheduler = Self {
            shard,
            settings,
            grants_from: now + settings.takeover_grace,
            queue: FairQueue::new(settings.repayment_max, Arc::clone(catalogue)),
            exchange: Exchange::new(shard, now),
            slots: EndpointSlots::default(),
            lengths: LengthClassifier::default(),
            waiting: HashMap::new(),
            forwarded_count: 0,
            granted: HashMap::new(),
        };
        scheduler.configure(catalogue);
        scheduler
    }

    /// Applies a new revision of the configuration objects.
    pub fn configure(&mut self, catalogue: &Arc<Catalogue>) {
        self.slots.configure(self.shard, catalogue);
        self.queue.configure(Arc::clone(catalogue));
        self.exchange
            .set_peers(&catalogue.shards_of(self.shard.pool));
    }

    /// Pauses grants until `until`, or longer if they are paused already.
    pub fn pause_grants_until(&mut self, until: Timestamp) {
        self.grants_from = self.grants_from.max(until);
    }

    /// Returns whether an endpoint belongs to the shard, or left it with slots still taken.
    pub fn has_endpoint(&self, endpoint: EndpointId) -> bool {
        self.slots.has_endpoint(endpoint)
    }

    /// Returns the number of waiting tickets.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of granted slots.
    pub fn granted_count(&self) -> usize {
        self.granted.len()
    }

    /// Queues a ticket and grants free slots. A duplicate ticket is not queued again.
    pub fn on_ticket(&mut self, entry: Peer, ticket: Ticket, now: Timestamp) -> Actions {
        let mut actions = self.accept(entry, None, ticket, now);
        actions.extend(self.grant_free_slots(now));
        actions
    }

    /// Queues a new ticket, or repeats the grant of one that is already granted.
    fn accept(
        &mut self,
        entry: Peer,
        asked: Option<Peer>,
        ticket: Ticket,
        now: Timestamp,
    ) -> Actions {
        let key = TicketKey {
            entry,
            seq: ticket.seq,
        };
        if let Some(granted) = self.granted.get(&key) {
            return granted.grant.clone().into_iter().collect();
        }
        if !self.waiting.contains_key(&key) {
            self.queue.push(ticket.team, key);
            let waiting = Waiting {
                ticket,
                received_at: now,
                asked,
            };
            self.forwarded_count += usize::from(asked.is_some());
            self.waiting.insert(key, waiting);
        }
        Actions::new()
    }

    /// Removes a withdrawn ticket.
    pub fn on_withdraw(&mut self, entry: Peer, seq: TicketSeq) {
        let key = TicketKey { entry, seq };
        if let Some(waiting) = self.take_waiting(key) {
            self.queue.remove(waiting.ticket.team, key);
        }
    }

    /// Frees a slot and corrects the charge to the actual cost.
    pub fn on_release(&mut self, entry: Peer, release: &Release, now: Timestamp) -> Actions {
        let key = TicketKey {
            entry,
            seq: release.seq,
        };
        let held = self.granted.get(&key);
        if held.is_none_or(|granted| granted.endpoint != release.endpoint) {
            if is_seeded(SeededFault::FreeTwice) {
                self.slots.release(release.endpoint, LengthClass::Short);
            }
            return Actions::new();
        }
        let granted = self
            .granted
            .remove(&key)
            .expect("the grant was found above");
        if release.reason == ReleaseReason::Done
            && let Some(hint) = granted.hint
        {
            self.queue.record_cost(granted.team, hint, release.cost);
        }
        let cost = match release.reason {
            ReleaseReason::Done | ReleaseReason::Failed => release.cost,
            ReleaseReason::Unreachable | ReleaseReason::Unused | ReleaseReason::Cancelled => {
                Cost::default()
            }
        };
        let difference = cost.difference(granted.charged);
        self.queue.correct(granted.team, difference);
        self.exchange.count(granted.team, difference, now);
        let latency = ObservedLatency {
            first_token_ms: release.first_token_ms,
            token_gap_us: release.token_gap_us,
        };
        self.slots.on_ended(
            granted.endpoint,
            release.reason,
            latency,
            granted.granted_at,
            now,
        );
        if release.reason == ReleaseReason::Done {
            self.lengths.record(granted.class, cost);
        }
        self.slots.release(granted.endpoint, granted.class);
        self.grant_free_slots(now)
    }

    /// Records the progress of running work and charges its cost beyond what was charged.
    pub fn on_progress(&mut self, entry: Peer, progress: &Progress, now: Timestamp) {
        let key = TicketKey {
            entry,
            seq: progress.seq,
        };
        let Some(granted) = self.granted.get_mut(&key) else {
            return;
        };
        granted.mark_alive(now);
        if progress.cost > granted.charged {
            let more = progress.cost.difference(granted.charged);
            self.queue.correct(granted.team, more);
            self.exchange.count(granted.team, more, now);
            granted.charged = progress.cost;
        }
        let class = self.lengths.classify(granted.class, progress.cost);
        if class != granted.class {
            granted.class = class;
            self.slots.mark_long(granted.endpoint);
        }
        let latency = ObservedLatency {
            first_token_ms: progress.first_token_ms,
            token_gap_us: progress.token_gap_us,
        };
        self.slots.record_progress(progress.endpoint, latency, now);
    }

    /// Records running work, whose grant this scheduler may not have issued.
    pub fn on_running(&mut self, entry: Peer, running: &Running, now: Timestamp) {
        let key = TicketKey {
            entry,
            seq: running.seq,
        };
        self.on_withdraw(entry, running.seq);
        if let Some(granted) = self.granted.get_mut(&key) {
            granted.mark_alive(now);
            return;
        }
        self.slots.take(running.endpoint, running.class);
        self.queue
            .correct(running.team, running.cost.difference(Cost::default()));
        let granted = Granted {
            endpoint: running.endpoint,
            team: running.team,
            class: running.class,
            granted_at: now,
            hint: None,
            charged: running.cost,
            grant: None,
            last_report_at: now,
            reclaim_at: None,
        };
        self.granted.insert(key, granted);
    }

    /// Removes the tickets of a lost entry and schedules the reclaim of its slots.
    ///
    /// The slots stay taken until the endpoint has had time to notice the closed
    /// connection.
    pub fn on_entry_lost(&mut self, entry: Peer, now: Timestamp) {
        let tickets: Vec<TicketSeq> = seqs_of(&self.waiting, entry).collect();
        for seq in tickets {
            self.on_withdraw(entry, seq);
        }
        let reclaim_at = now + self.settings.lost_entry_hold;
        for (key, granted) in &mut self.granted {
            if key.entry == entry {
                granted.reclaim_at.get_or_insert(reclaim_at);
            }
        }
    }

    /// Reclaims slots of lost entries, queries entries that are silent about a grant, grants
    /// free slots and sends service messages.
    pub fn tick(&mut self, now: Timestamp) -> Actions {
        self.reclaim(now);
        let mut actions = self.query_silent(now);
        actions.extend(self.grant_free_slots(now));
        actions.extend(self.service_messages(now));
        actions
    }

    fn reclaim(&mut self, now: Timestamp) {
        let is_due = |granted: &Granted| granted.reclaim_at.is_some_and(|at| at <= now);
        let due: Vec<TicketKey> = self
            .granted
            .iter()
            .filter(|(_, granted)| is_due(granted))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            if let Some(granted) = self.granted.remove(&key) {
                self.slots.release(granted.endpoint, granted.class);
            }
        }
    }

    fn query_silent(&mut self, now: Timestamp) -> Actions {
        if is_seeded(SeededFault::NoQuery) {
            return Actions::new();
        }
        let query_after = self.settings.query_after;
        let mut silent: Vec<(TicketKey, EndpointId)> = Vec::new();
        for (key, granted) in &mut self.granted {
            if granted.reclaim_at.is_none() && now.since(granted.last_report_at) > query_after {
                granted.last_report_at = now;
                silent.push((*key, granted.endpoint));
            }
        }
        silent.sort_unstable();
        let query = |(key, endpoint): (TicketKey, EndpointId)| SchedulerAction::Query {
            to: key.entry,
            seq: key.seq,
            endpoint,
        };
        silent.into_iter().map(query).collect()
    }

    /// Grants free slots to waiting tickets.
    ///
    /// Slow endpoints come last, after the slot limits of the healthy ones have grown.
    fn grant_free_slots(&mut self, now: Timestamp) -> Actions {
        let mut actions = Actions::new();
        if now < self.grants_from {
            return actions;
        }
        loop {
            self.grant_up_to(Health::Healthy, &mut actions, now);
            if self.queue.peek().is_none() || !self.slots.grow(now) {
                break;
            }
        }
        self.grant_up_to(Health::Slow, &mut actions, now);
        actions.extend(self.ask_for_tickets(now));
        actions
    }

    /// Grants slots of endpoints whose health is no worse than `worst`.
    fn grant_up_to(&mut self, worst: Health, actions: &mut Actions, now: Timestamp) {
        while let Some((key, endpoint)) = self.next_grant(worst, now) {
            actions.push(self.grant(key, endpoint, now));
        }
    }

    /// Chooses the next ticket and its endpoint.
    ///
    /// If long work has used up its quota, the next short ticket goes first; without a short
    /// ticket, long work may exceed the quota.
    fn next_grant(&self, worst: Health, now: Timestamp) -> Option<(TicketKey, EndpointId)> {
        let key = self.queue.peek()?;
        let choose = |key: &TicketKey, quota| {
            let endpoint = self
                .slots
                .choose(&self.waiting[key].ticket, quota, worst, now);
            endpoint.map(|endpoint| (*key, endpoint))
        };
        let chosen = choose(&key, LongQuota::Enforced);
        if chosen.is_some() || self.waiting[&key].ticket.class == LengthClass::Short {
            return chosen;
        }
        let is_short = |key: &TicketKey| self.waiting[key].ticket.class == LengthClass::Short;
        match self.queue.first_where(is_short) {
            Some(short) => choose(&short, LongQuota::Enforced),
            None => choose(&key, LongQuota::MayExceed),
        }
    }

    fn grant(&mut self, key: TicketKey, endpoint: EndpointId, now: Timestamp) -> SchedulerAction {
        let waiting = self
            .take_waiting(key)
            .expect("every queued ticket is waiting");
        let ticket = waiting.ticket;
        let charged = self.queue.pop(ticket.team, key, ticket.hint);
        self.exchange
            .count(ticket.team, charged.difference(Cost::default()), now);
        self.slots.grant(endpoint, &ticket, now);
        let waited = time_waited(ticket.waited_ms, waiting.received_at, now);
        let valid = waited + self.settings.grant_validity;
        let grant = Grant {
            seq: key.seq,
            endpoint,
            valid_after_sent_ms: u64::try_from(valid.as_millis()).unwrap_or(u64::MAX),
        };
        let action = self.grant_action(key.entry, waiting.asked, grant);
        let granted = Granted {
            endpoint,
            team: ticket.team,
            class: ticket.class,
            granted_at: now,
            hint: Some(ticket.hint),
            charged,
            grant: Some(action.clone()),
            last_report_at: now,
            reclaim_at: None,
        };
        self.granted.insert(key, granted);
        action
    }

    fn take_waiting(&mut self, key: TicketKey) -> Option<Waiting> {
        let waiting = self.waiting.remove(&key)?;
        self.forwarded_count -= usize::from(waiting.asked.is_some());
        Some(waiting)
    }

    /// Addresses a grant to the entry, as forwarded if another router was asked.
    fn grant_action(&self, to: Peer, asked: Option<Peer>, grant: Grant) -> SchedulerAction {
        let Some(asked) = asked else {
            return SchedulerAction::Grant { to, grant };
        };
        let shard = self.shard;
        let grant = ForwardedGrant {
            asked,
            shard,
            grant,
        };
        SchedulerAction::ForwardedGrant { to, grant }
    }
}

/// Returns the numbers of an entry's tickets in a table.
fn seqs_of<V>(
    table: &HashMap<TicketKey, V>,
    entry: Peer,
) -> impl Iterator<Item = TicketSeq> + use<'_, V> {
    table
        .keys()
        .filter(move |key| key.entry == entry)
        .map(|key| key.seq)
}

#[cfg(test)]
mod tests;
