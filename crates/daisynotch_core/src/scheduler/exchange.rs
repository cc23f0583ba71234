//! The exchange of service counters and queue lengths between the shards of a pool.
//!
//! Service counters are monotonic from one start of a scheduler to the next, so lost,
//! duplicate and late messages do no harm: the next message corrects the state. A shard
//! with few tickets requests some from the shard with the most. See
//! `docs/design/fairness.md` for the order and `docs/design/tickets.md` for the life
//! cycle of a forwarded ticket.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use smallvec::SmallVec;

use crate::cost::Cost;
use crate::message::{Peer, Service, ShardId, TeamService, Want};
use crate::time::Timestamp;
use crate::{TeamId, ZoneId};

/// The minimum interval between two service messages to the same shard.
const SERVICE_INTERVAL_MIN: Duration = Duration::from_millis(200);
/// The maximum interval between two service messages while tickets wait.
const SERVICE_INTERVAL_MAX: Duration = Duration::from_millis(1_000);
/// The minimum time since the last message before a new backlog is reported outside the
/// regular interval.
const BACKLOG_NOTICE_INTERVAL: Duration = Duration::from_millis(100);
/// The bytes of service messages that a scheduler sends per second, to all shards together.
const SERVICE_BYTES_PER_S: usize = 800;
/// The bytes of a service message before its first team.
const SERVICE_HEADER_BYTES: usize = 28;
/// The bytes of one team in a service message.
const TEAM_BYTES: usize = 16;
/// How long an unchanged counter goes without being sent again.
const REFRESH_AFTER: Duration = Duration::from_secs(30);
/// How long a receiver keeps the last received counter for comparison.
const BASELINE_TTL: Duration = Duration::from_secs(120);
/// How long the counter of a team without waiting tickets is kept.
///
/// This exceeds [`BASELINE_TTL`], so a counter outlives every baseline of it.
const COUNTER_TTL: Duration = Duration::from_secs(300);
/// How long a shard may take to answer a request for tickets.
const WANT_TIMEOUT: Duration = Duration::from_millis(100);

/// The total cost that a team was charged and refunded; both are monotonic.
#[derive(Debug, Clone, Copy, Default)]
struct Totals {
    charged: Cost,
    refunded: Cost,
}

/// The service of a team at this shard.
#[derive(Debug)]
struct Counter {
    totals: Totals,
    last_sent: Option<(Totals, Timestamp)>,
    used_at: Timestamp,
    is_waiting: bool,
}

/// The totals of a team in the last message from another shard.
#[derive(Debug)]
struct Baseline {
    totals: Totals,
    received_at: Timestamp,
}

/// The state of another shard's scheduler, from its last message.
#[derive(Debug)]
struct RemoteScheduler {
    zone: ZoneId,
    received_at: Timestamp,
    waiting: u32,
    asked_at: Option<Timestamp>,
    baselines: HashMap<TeamId, Baseline>,
}

/// Identifies one start of another shard's scheduler.
type RemoteKey = (Peer, ShardId, u64);

/// One scheduler's side of the exchange.
#[derive(Debug)]
pub(super) struct Exchange {
    shard: ShardId,
    started_at: Timestamp,
    peers: SmallVec<[ZoneId; 4]>,
    next_send_at: Timestamp,
    last_sent_at: Timestamp,
    sent_waiting: u32,
    counters: HashMap<TeamId, Counter>,
    remotes: BTreeMap<RemoteKey, RemoteScheduler>,
}

/// The cost that another shard charged a team since its last message, less refunds.
#[daisynotch_macros::value]
#[derive(Copy)]
pub(super) struct RemoteService {
    pub(super) team: TeamId,
    pub(super) cost: i64,
}

impl Totals {
    /// Merges newer totals and returns the change; late totals change nothing.
    fn merge(&mut self, newer: Self) -> i64 {
        let charged = newer.charged.max(self.charged);
        let refunded = newer.refunded.max(self.refunded);
        let more = charged.difference(self.charged);
        let less = refunded.difference(self.refunded);
        *self = Self { charged, refunded };
        more.saturating_sub(less)
    }

    /// Returns the total change, of charges and refunds, since older totals.
    fn change_since(&self, older: &Self) -> u64 {
        (self.charged.0 - older.charged.0) + (self.refunded.0 - older.refunded.0)
    }
}

impl Exchange {
    /// Creates an exchange without counters.
    ///
    /// The time of the start distinguishes this scheduler from earlier ones of the shard.
    pub(super) fn new(shard: ShardId, now: Timestamp) -> Self {
        Self {
            shard,
            started_at: now,
            peers: SmallVec::new(),
            next_send_at: now,
            last_sent_at: now,
            sent_waiting: 0,
            counters: HashMap::new(),
            remotes: BTreeMap::new(),
        }
    }

    /// Sets the other shards of the pool as peers.
    pub(super) fn set_peers(&mut self, shards: &[ShardId]) {
        let others = shards.iter().filter(|shard| **shard != self.shard);
        self.peers = others.map(|shard| shard.zone).collect();
    }

    /// Counts a charge to a team or, if `difference` is negative, a refund.
    pub(super) fn count(&mut self, team: TeamId, difference: i64, now: Timestamp) {
        if self.peers.is_empty() {
            return;
        }
        let counter = self.counters.entry(team).or_insert(Counter {
            totals: Totals::default(),
            last_sent: None,
            used_at: now,
            is_waiting: false,
        });
        let amount = Cost(difference.unsigned_abs());
        if difference >= 0 {
            counter.totals.charged += amount;
        } else {
            counter.totals.refunded += amount;
        }
        counter.used_at = now;
    }

    /// Returns the messages that are due: service at an interval, a new backlog sooner.
    pub(super) fn tick(
        &mut self,
        waiting: u32,
        waiting_teams: impl Iterator<Item = (TeamId, usize)>,
        now: Timestamp,
    ) -> Vec<Service> {
        if self.peers.is_empty() {
            return Vec::new();
        }
        let is_new_backlog = waiting > 0 && self.sent_waiting == 0;
        if now >= self.next_send_at {
            self.expire(now);
            self.mark_waiting(waiting_teams, now);
            let served = self.take_due(now);
            self.next_send_at = now + self.interval(served.len());
            let has_nothing_to_send = waiting == 0 && self.sent_waiting == 0 && served.is_empty();
            if has_nothing_to_send {
                return Vec::new();
            }
            return self.broadcast(waiting, &served, now);
        }
        if is_new_backlog && now.since(self.last_sent_at) >= BACKLOG_NOTICE_INTERVAL {
            return self.broadcast(waiting, &[], now);
        }
        Vec::new()
    }

    /// Merges another shard's message and returns the service that its teams got since the last.
    pub(super) fn on_service(
        &mut self,
        from: Peer,
        service: &Service,
        now: Timestamp,
    ) -> Vec<RemoteService> {
        let key = (from, service.shard, service.started_us);
        let remote = self.remotes.entry(key).or_insert_with(|| RemoteScheduler {
            zone: service.shard.zone,
            received_at: now,
            waiting: 0,
            asked_at: None,
            baselines: HashMap::new(),
        });
        remote.received_at = now;
        remote.waiting = service.waiting;
        let mut changes = Vec::new();
        for served in &service.served {
            let totals = Totals {
                charged: served.charged,
                refunded: served.refunded,
            };
            let baseline = remote.baselines.entry(served.team).or_insert(Baseline {
                totals,
                received_at: now,
            });
            baseline.received_at = now;
            let cost = baseline.totals.merge(totals);
            if cost != 0 {
                let team = served.team;
                changes.push(RemoteService { team, cost });
            }
        }
        changes
    }

    /// Records that a shard forwarded tickets and how many it has left.
    pub(super) fn on_forwarded(&mut self, from: Peer, zone: ZoneId, left: u32) {
        for ((peer, _, _), remote) in &mut self.remotes {
            if *peer == from && remote.zone == zone {
                remote.waiting = left;
                remote.asked_at = None;
            }
        }
    }

    /// Requests tickets from the shard with the most, unless a request is pending.
    ///
    /// A shard that doesn't answer within [`WANT_TIMEOUT`] counts as empty until its next
    /// message.
    pub(super) fn want(&mut self, idle: u32, buffer: u32, now: Timestamp) -> Option<Want> {
        if idle + buffer == 0 {
            return None;
        }
        for remote in self.remotes.values_mut() {
            let has_timed_out = |asked_at: Timestamp| now.since(asked_at) >= WANT_TIMEOUT;
            if remote.asked_at.is_some_and(has_timed_out) {
                remote.asked_at = None;
                remote.waiting = 0;
            }
        }
        let is_pending = self
            .remotes
            .values()
            .any(|remote| remote.asked_at.is_some());
        if is_pending {
            return None;
        }
        let backlogged = self
            .remotes
            .values_mut()
            .filter(|remote| remote.waiting > 0);
        let remote = backlogged.max_by_key(|remote| remote.waiting)?;
        remote.asked_at = Some(now);
        Some(Want {
            shard: ShardId {
                pool: self.shard.pool,
                zone: remote.zone,
            },
            to: self.shard.zone,
            idle,
            buffer,
        })
    }

    /// Builds the messages to all peers.
    fn broadcast(&mut self, waiting: u32, served: &[TeamService], now: Timestamp) -> Vec<Service> {
        self.last_sent_at = now;
        self.sent_waiting = waiting;
        let message = |zone: &ZoneId| Service {
            shard: self.shard,
            to: *zone,
            started_us: self.started_at.0,
            waiting,
            served: served.into(),
        };
        self.peers.iter().map(message).collect()
    }

    /// Returns the time until the next messages, which keeps all of them together within
    /// [`SERVICE_BYTES_PER_S`].
    fn interval(&self, team_count: usize) -> Duration {
        let bytes = (SERVICE_HEADER_BYTES + team_count * TEAM_BYTES) * self.peers.len();
        let interval_ms = bytes * 1_000 / SERVICE_BYTES_PER_S;
        let interval = Duration::from_millis(interval_ms as u64);
        interval.clamp(SERVICE_INTERVAL_MIN, SERVICE_INTERVAL_MAX)
    }

    /// Marks the counters of exactly the teams with waiting tickets.
    fn mark_waiting(&mut self, teams: impl Iterator<Item = (TeamId, usize)>, now: Timestamp) {
        for counter in self.counters.values_mut() {
            counter.is_waiting = false;
        }
        for (team, _) in teams {
            self.count(team, 0, now);
            let counter = self.counters.get_mut(&team);
            counter.expect("the counter was just created").is_waiting = true;
        }
    }

    /// Takes the counters to send now: those that changed most since they were last sent.
    fn take_due(&mut self, now: Timestamp) -> Vec<TeamService> {
        let bytes = SERVICE_BYTES_PER_S / self.peers.len();
        let max_teams = bytes.saturating_sub(SERVICE_HEADER_BYTES) / TEAM_BYTES;
        let mut due: Vec<(u64, TeamId)> = Vec::new();
        for (team, counter) in &self.counters {
            let unsent = match &counter.last_sent {
                Some((last_sent, _)) => counter.totals.change_since(last_sent),
                None => u64::MAX,
            };
            let needs_refresh = counter
                .last_sent
                .is_some_and(|(_, at)| now.since(at) >= REFRESH_AFTER);
            if counter.is_waiting && (unsent > 0 || needs_refresh) {
                due.push((unsent, *team));
            }
        }
        due.sort_unstable_by(|left, right| right.cmp(left));
        due.truncate(max_teams.max(1));
        let take = |(_, team): (u64, TeamId)| {
            let counter = self
                .counters
                .get_mut(&team)
                .expect("the team was just listed");
            counter.last_sent = Some((counter.totals, now));
            TeamService {
                team,
                charged: counter.totals.charged,
                refunded: counter.totals.refunded,
            }
        };
        due.into_iter().map(take).collect()
    }

    fn expire(&mut self, now: Timestamp) {
        self.counters
            .retain(|_, counter| counter.is_waiting || now.since(counter.used_at) < COUNTER_TTL);
        for remote in self.remotes.values_mut() {
            remote
                .baselines
                .retain(|_, baseline| now.since(baseline.received_at) < BASELINE_TTL);
        }
        self.remotes
            .retain(|_, remote| now.since(remote.received_at) < BASELINE_TTL);
    }
}

#[cfg(test)]
mod tests;
