//! Orders the tickets of one shard and gives permission to dispatch.
//!
//! A scheduler is soft state: a successor rebuilds it from what entries resend.
//! `docs/design/tickets.md` describes its messages, `docs/design/fairness.md` the
//! order, `docs/design/slots.md` how many requests an endpoint gets at once.

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

use endpoint_health::Fitness;
use exchange::Exchange;
use length::LengthJudge;
use queue::FairQueue;
use sharing::waited;
use slots::{EndpointSlots, LongShare, Seen};

/// How a scheduler judges.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct SchedulerSettings {
    /// How long a new scheduler listens for running work before it grants.
    pub takeover_grace: Duration,
    /// How long after a grant the entry may still use it.
    pub grant_validity: Duration,
    /// How long a grant goes without news before its entry is asked.
    pub query_after: Duration,
    /// How long the slots of a lost entry stay taken.
    pub lost_entry_hold: Duration,
    /// How far a team of weight 1 is moved from the others to repay service of the past.
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

/// Names a ticket in the whole fleet.
#[daisynotch_macros::value]
#[derive(Copy, Hash, PartialOrd, Ord)]
pub struct TicketKey {
    /// The entry that sent it.
    pub entry: Peer,
    /// Its number there.
    pub seq: TicketSeq,
}

/// What a scheduler wants done.
#[daisynotch_macros::value]
pub enum SchedulerAction {
    /// Send a grant to an entry.
    Grant {
        /// The entry.
        to: Peer,
        /// The grant.
        grant: Grant,
    },
    /// Ask an entry what became of a grant.
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
    /// Send a grant to an entry that asked another router for it.
    ForwardedGrant {
        /// The entry.
        to: Peer,
        /// The grant.
        grant: ForwardedGrant,
    },
}

/// Actions of one step; most steps have one or none.
pub(crate) type Actions = SmallVec<[SchedulerAction; 2]>;

#[derive(Debug, Clone)]
struct Waiting {
    ticket: Ticket,
    received_at: Timestamp,
    /// The router that the entry asked, when the ticket was passed on from there.
    asked: Option<Peer>,
}

#[derive(Debug, Clone)]
struct Granted {
    endpoint: EndpointId,
    team: TeamId,
    class: LengthClass,
    granted_at: Timestamp,
    /// What the entry thought it would cost; none when another scheduler granted it.
    hint: Option<Cost>,
    charged: Cost,
    /// The grant as it was sent, so that a doubled ticket gets the same answer.
    grant: Option<SchedulerAction>,
    heard_at: Timestamp,
    /// When the slot is free though nobody gave it back.
    reclaim_at: Option<Timestamp>,
}

impl Granted {
    /// Notes that the entry lives and the work runs.
    fn note_alive(&mut self, now: Timestamp) {
        self.heard_at = now;
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
    lengths: LengthJudge,
    waiting: HashMap<TicketKey, Waiting>,
    /// Those of them that another shard passed on; they are not passed on again.
    forwarded_count: usize,
    granted: HashMap<TicketKey, Granted>,
}

impl Scheduler {
    /// Starts a scheduler that knows nothing yet.
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
            lengths: LengthJudge::default(),
            waiting: HashMap::new(),
            forwarded_count: 0,
            granted: HashMap::new(),
        };
        scheduler.configure(catalogue);
        scheduler
    }

    /// Takes in a new revision of the objects.
    pub fn configure(&mut self, catalogue: &Arc<Catalogue>) {
        self.slots.configure(self.shard, catalogue);
        self.queue.configure(Arc::clone(catalogue));
        self.exchange
            .set_peers(&catalogue.shards_of(self.shard.pool));
    }

    /// Grants nothing until a time.
    pub fn pause_grants_until(&mut self, until: Timestamp) {
        self.grants_from = self.grants_from.max(until);
    }

    /// Says whether an endpoint is, or lately was, one of the shard's.
    pub fn has_endpoint(&self, endpoint: EndpointId) -> bool {
        self.slots.has_endpoint(endpoint)
    }

    /// Gives the tickets that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Gives the slots that are taken.
    pub fn granted_count(&self) -> usize {
        self.granted.len()
    }

    /// Takes in a ticket; one that is known already changes nothing.
    pub fn on_ticket(&mut self, entry: Peer, ticket: Ticket, now: Timestamp) -> Actions {
        let mut actions = self.accept(entry, None, ticket, now);
        actions.extend(self.fill(now));
        actions
    }

    /// Puts a ticket into the queue, or repeats the grant that it has already.
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

    /// Forgets a ticket that is no longer wanted.
    pub fn on_withdraw(&mut self, entry: Peer, seq: TicketSeq) {
        let key = TicketKey { entry, seq };
        if let Some(waiting) = self.take_waiting(key) {
            self.queue.remove(waiting.ticket.team, key);
        }
    }

    /// Frees a slot and settles what the work cost.
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
        let granted = self.granted.remove(&key).expect("it was found above");
        if release.reason == ReleaseReason::Done
            && let Some(hint) = granted.hint
        {
            self.queue.learn(granted.team, hint, release.cost);
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
        let seen = Seen {
            first_token_ms: release.first_token_ms,
            token_gap_us: release.token_gap_us,
        };
        self.slots.on_ended(
            granted.endpoint,
            release.reason,
            seen,
            granted.granted_at,
            now,
        );
        if release.reason == ReleaseReason::Done {
            self.lengths.learn(granted.class, cost);
        }
        self.slots.release(granted.endpoint, granted.class);
        self.fill(now)
    }

    /// Takes in how running work goes on, and charges what it cost beyond the hint.
    pub fn on_progress(&mut self, entry: Peer, progress: &Progress, now: Timestamp) {
        let key = TicketKey {
            entry,
            seq: progress.seq,
        };
        let Some(granted) = self.granted.get_mut(&key) else {
            return;
        };
        granted.note_alive(now);
        if progress.cost > granted.charged {
            let more = progress.cost.difference(granted.charged);
            self.queue.correct(granted.team, more);
            self.exchange.count(granted.team, more, now);
            granted.charged = progress.cost;
        }
        let class = self.lengths.class_of(granted.class, progress.cost);
        if class != granted.class {
            granted.class = class;
            self.slots.lengthen(granted.endpoint);
        }
        let seen = Seen {
            first_token_ms: progress.first_token_ms,
            token_gap_us: progress.token_gap_us,
        };
        self.slots.judge_speed(progress.endpoint, seen, now);
    }

    /// Takes in work that runs under a grant which this scheduler may not know.
    pub fn on_running(&mut self, entry: Peer, running: &Running, now: Timestamp) {
        let key = TicketKey {
            entry,
            seq: running.seq,
        };
        self.on_withdraw(entry, running.seq);
        if let Some(granted) = self.granted.get_mut(&key) {
            granted.note_alive(now);
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
            heard_at: now,
            reclaim_at: None,
        };
        self.granted.insert(key, granted);
    }

    /// Forgets the tickets of an entry that is lost and marks its slots.
    ///
    /// The slots stay taken until the endpoint has had time to notice that the
    /// connection is gone.
    pub fn on_entry_lost(&mut self, entry: Peer, now: Timestamp) {
        let tickets: Vec<TicketSeq> = keys_of(&self.waiting, entry).collect();
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

    /// Grants what can be granted, reclaims lost slots and asks after silent ones.
    pub fn tick(&mut self, now: Timestamp) -> Actions {
        self.reclaim(now);
        let mut actions = self.query_silent(now);
        actions.extend(self.fill(now));
        actions.extend(self.tell_service(now));
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
            if granted.reclaim_at.is_none() && now.since(granted.heard_at) > query_after {
                granted.heard_at = now;
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

    /// Grants slots as long as one is free and a ticket waits.
    fn fill(&mut self, now: Timestamp) -> Actions {
        let mut actions = Actions::new();
        if now < self.grants_from {
            return actions;
        }
        loop {
            self.fill_within(Fitness::Good, &mut actions, now);
            if self.queue.peek().is_none() || !self.slots.grow(now) {
                break;
            }
        }
        self.fill_within(Fitness::Slow, &mut actions, now);
        actions.extend(self.ask_for_tickets(now));
        actions
    }

    /// Grants slots of endpoints that are no worse than `worst`.
    fn fill_within(&mut self, worst: Fitness, actions: &mut Actions, now: Timestamp) {
        while let Some((key, endpoint)) = self.next_grant(worst, now) {
            actions.push(self.grant(key, endpoint, now));
        }
    }

    /// Chooses the next ticket and its endpoint; short work goes round long work that has its share.
    fn next_grant(&self, worst: Fitness, now: Timestamp) -> Option<(TicketKey, EndpointId)> {
        let key = self.queue.peek()?;
        let choose = |key: &TicketKey, share| {
            let endpoint = self
                .slots
                .choose(&self.waiting[key].ticket, share, worst, now);
            endpoint.map(|endpoint| (*key, endpoint))
        };
        let chosen = choose(&key, LongShare::Kept);
        if chosen.is_some() || self.waiting[&key].ticket.class == LengthClass::Short {
            return chosen;
        }
        let is_short = |key: &TicketKey| self.waiting[key].ticket.class == LengthClass::Short;
        match self.queue.first_where(is_short) {
            Some(short) => choose(&short, LongShare::Kept),
            None => choose(&key, LongShare::Borrowed),
        }
    }

    fn grant(&mut self, key: TicketKey, endpoint: EndpointId, now: Timestamp) -> SchedulerAction {
        let waiting = self
            .take_waiting(key)
            .expect("the queue holds waiting tickets");
        let ticket = waiting.ticket;
        let charged = self.queue.pop(ticket.team, key, ticket.hint);
        self.exchange
            .count(ticket.team, charged.difference(Cost::default()), now);
        self.slots.grant(endpoint, &ticket, now);
        let waited = waited(ticket.waited_ms, waiting.received_at, now);
        let valid = waited + self.settings.grant_validity;
        let grant = Grant {
            seq: key.seq,
            endpoint,
            valid_after_sent_ms: u64::try_from(valid.as_millis()).unwrap_or(u64::MAX),
        };
        let action = self.address(key.entry, waiting.asked, grant);
        let granted = Granted {
            endpoint,
            team: ticket.team,
            class: ticket.class,
            granted_at: now,
            hint: Some(ticket.hint),
            charged,
            grant: Some(action.clone()),
            heard_at: now,
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

    fn address(&self, to: Peer, asked: Option<Peer>, grant: Grant) -> SchedulerAction {
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

fn keys_of<V>(
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
