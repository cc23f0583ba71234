//! What the shards of one pool tell each other: service given, tickets that wait.
//!
//! Counters of service only grow within one start of a scheduler, so that a lost,
//! doubled or late message does no harm: the next one makes up for it. A shard
//! that is short of tickets asks the shard with the most; see
//! `docs/design/fairness.md` for the order and `docs/design/tickets.md` for the
//! life of a ticket that is passed on.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use smallvec::SmallVec;

use crate::cost::Cost;
use crate::message::{Peer, Service, ShardId, TeamService, Want};
use crate::time::Timestamp;
use crate::{TeamId, ZoneId};

/// The shortest time between two messages about service to the same shard.
const SERVICE_INTERVAL_MIN: Duration = Duration::from_millis(200);
/// The longest time between them, while something waits.
const SERVICE_INTERVAL_MAX: Duration = Duration::from_millis(1_000);
/// The time before a new backlog is told outside that interval.
const BACKLOG_NOTICE_INTERVAL: Duration = Duration::from_millis(100);
/// Bytes of service messages that one scheduler sends in a second, to all shards together.
const SERVICE_BYTES_PER_S: usize = 800;
/// Bytes of a service message before its first team.
const SERVICE_HEADER_BYTES: usize = 28;
/// Bytes of one team in a service message.
const TEAM_BYTES: usize = 16;
/// How long a counter that has not moved goes without being told again.
const REFRESH_AFTER: Duration = Duration::from_secs(30);
/// How long a receiver compares with the last counter that it heard.
const BASELINE_KEPT: Duration = Duration::from_secs(120);
/// How long a counter of a team that doesn't wait is kept; longer than any baseline of it.
const COUNTER_KEPT: Duration = Duration::from_secs(300);
/// How long a shard that was asked for tickets has to answer.
const WANT_TIMEOUT: Duration = Duration::from_millis(100);

/// What a team was charged and given back; both only grow.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    charged: Cost,
    refunded: Cost,
}

#[derive(Debug)]
struct Counter {
    sums: Sums,
    told: Option<(Sums, Timestamp)>,
    used_at: Timestamp,
    is_waiting: bool,
}

#[derive(Debug)]
struct Baseline {
    sums: Sums,
    heard_at: Timestamp,
}

/// Another shard's scheduler, as its last message describes it.
#[derive(Debug)]
struct Source {
    zone: ZoneId,
    heard_at: Timestamp,
    waiting: u32,
    asked: Option<Timestamp>,
    baselines: HashMap<TeamId, Baseline>,
}

/// Names one start of another shard's scheduler.
type SourceKey = (Peer, ShardId, u64);

/// One scheduler's side of the exchange.
#[derive(Debug)]
pub(super) struct Exchange {
    shard: ShardId,
    started_at: Timestamp,
    peers: SmallVec<[ZoneId; 4]>,
    due: Timestamp,
    noticed_at: Timestamp,
    told_waiting: u32,
    counters: HashMap<TeamId, Counter>,
    sources: BTreeMap<SourceKey, Source>,
}

/// What another shard has charged a team since its last message, less what it gave back.
#[daisynotch_macros::value]
#[derive(Copy)]
pub(super) struct RemoteService {
    pub(super) team: TeamId,
    pub(super) cost: i64,
}

impl Sums {
    /// Takes in newer sums and gives the change; what arrives late changes nothing.
    fn advance(&mut self, newer: Self) -> i64 {
        let charged = newer.charged.max(self.charged);
        let refunded = newer.refunded.max(self.refunded);
        let more = charged.difference(self.charged);
        let less = refunded.difference(self.refunded);
        *self = Self { charged, refunded };
        more.saturating_sub(less)
    }

    /// How much has moved since older sums.
    fn moved_since(&self, older: &Self) -> u64 {
        (self.charged.0 - older.charged.0) + (self.refunded.0 - older.refunded.0)
    }
}

impl Exchange {
    /// Starts without counters; `started_at` tells this start of a scheduler from earlier ones.
    pub(super) fn new(shard: ShardId, now: Timestamp) -> Self {
        Self {
            shard,
            started_at: now,
            peers: SmallVec::new(),
            due: now,
            noticed_at: now,
            told_waiting: 0,
            counters: HashMap::new(),
            sources: BTreeMap::new(),
        }
    }

    /// Takes in the other shards of the pool.
    pub(super) fn set_peers(&mut self, shards: &[ShardId]) {
        let others = shards.iter().filter(|shard| **shard != self.shard);
        self.peers = others.map(|shard| shard.zone).collect();
    }

    /// Counts what a team is charged here, or is given back.
    pub(super) fn count(&mut self, team: TeamId, difference: i64, now: Timestamp) {
        if self.peers.is_empty() {
            return;
        }
        let counter = self.counters.entry(team).or_insert(Counter {
            sums: Sums::default(),
            told: None,
            used_at: now,
            is_waiting: false,
        });
        let amount = Cost(difference.unsigned_abs());
        if difference >= 0 {
            counter.sums.charged += amount;
        } else {
            counter.sums.refunded += amount;
        }
        counter.used_at = now;
    }

    /// Gives the messages that are due: service at an interval, a new backlog sooner.
    pub(super) fn tick(
        &mut self,
        waiting: u32,
        waiting_teams: impl Iterator<Item = (TeamId, usize)>,
        now: Timestamp,
    ) -> Vec<Service> {
        if self.peers.is_empty() {
            return Vec::new();
        }
        let is_new = waiting > 0 && self.told_waiting == 0;
        if now >= self.due {
            self.expire(now);
            self.mark_waiting(waiting_teams, now);
            let served = self.take_due(now);
            self.due = now + self.interval(served.len());
            let is_silent = waiting == 0 && self.told_waiting == 0 && served.is_empty();
            if is_silent {
                return Vec::new();
            }
            return self.tell(waiting, &served, now);
        }
        if is_new && now.since(self.noticed_at) >= BACKLOG_NOTICE_INTERVAL {
            return self.tell(waiting, &[], now);
        }
        Vec::new()
    }

    /// Takes in another shard's message; gives what its teams got since the last one.
    pub(super) fn on_service(
        &mut self,
        from: Peer,
        service: &Service,
        now: Timestamp,
    ) -> Vec<RemoteService> {
        let key = (from, service.shard, service.started_us);
        let source = self.sources.entry(key).or_insert_with(|| Source {
            zone: service.shard.zone,
            heard_at: now,
            waiting: 0,
            asked: None,
            baselines: HashMap::new(),
        });
        source.heard_at = now;
        source.waiting = service.waiting;
        let mut news = Vec::new();
        for served in &service.served {
            let sums = Sums {
                charged: served.charged,
                refunded: served.refunded,
            };
            let baseline = source.baselines.entry(served.team).or_insert(Baseline {
                sums,
                heard_at: now,
            });
            baseline.heard_at = now;
            let cost = baseline.sums.advance(sums);
            if cost != 0 {
                let team = served.team;
                news.push(RemoteService { team, cost });
            }
        }
        news
    }

    /// Takes in that a shard passed tickets on and how many it has left.
    pub(super) fn on_forwarded(&mut self, from: Peer, zone: ZoneId, left: u32) {
        for ((peer, _, _), source) in &mut self.sources {
            if *peer == from && source.zone == zone {
                source.waiting = left;
                source.asked = None;
            }
        }
    }

    /// Chooses the shard with the most tickets to ask for some of them.
    pub(super) fn want(&mut self, idle: u32, buffer: u32, now: Timestamp) -> Option<Want> {
        if idle + buffer == 0 {
            return None;
        }
        for source in self.sources.values_mut() {
            let is_late = |asked: Timestamp| now.since(asked) >= WANT_TIMEOUT;
            if source.asked.is_some_and(is_late) {
                source.asked = None;
                source.waiting = 0;
            }
        }
        let is_asked = self.sources.values().any(|source| source.asked.is_some());
        if is_asked {
            return None;
        }
        let backlogged = self
            .sources
            .values_mut()
            .filter(|source| source.waiting > 0);
        let source = backlogged.max_by_key(|source| source.waiting)?;
        source.asked = Some(now);
        Some(Want {
            shard: ShardId {
                pool: self.shard.pool,
                zone: source.zone,
            },
            to: self.shard.zone,
            idle,
            buffer,
        })
    }

    fn tell(&mut self, waiting: u32, served: &[TeamService], now: Timestamp) -> Vec<Service> {
        self.noticed_at = now;
        self.told_waiting = waiting;
        let message = |zone: &ZoneId| Service {
            shard: self.shard,
            to: *zone,
            started_us: self.started_at.0,
            waiting,
            served: served.into(),
        };
        self.peers.iter().map(message).collect()
    }

    /// Gives the time until the next messages, so that all together stay within their bytes.
    fn interval(&self, told: usize) -> Duration {
        let bytes = (SERVICE_HEADER_BYTES + told * TEAM_BYTES) * self.peers.len();
        let interval_ms = bytes * 1_000 / SERVICE_BYTES_PER_S;
        let interval = Duration::from_millis(interval_ms as u64);
        interval.clamp(SERVICE_INTERVAL_MIN, SERVICE_INTERVAL_MAX)
    }

    fn mark_waiting(&mut self, teams: impl Iterator<Item = (TeamId, usize)>, now: Timestamp) {
        for counter in self.counters.values_mut() {
            counter.is_waiting = false;
        }
        for (team, _) in teams {
            self.count(team, 0, now);
            let counter = self.counters.get_mut(&team);
            counter.expect("it was just counted").is_waiting = true;
        }
    }

    /// Takes the counters that are told now: those that moved most since they were told.
    fn take_due(&mut self, now: Timestamp) -> Vec<TeamService> {
        let bytes = SERVICE_BYTES_PER_S / self.peers.len();
        let most = bytes.saturating_sub(SERVICE_HEADER_BYTES) / TEAM_BYTES;
        let mut due: Vec<(u64, TeamId)> = Vec::new();
        for (team, counter) in &self.counters {
            let untold = match &counter.told {
                Some((told, _)) => counter.sums.moved_since(told),
                None => u64::MAX,
            };
            let is_old = counter
                .told
                .is_some_and(|(_, at)| now.since(at) >= REFRESH_AFTER);
            if counter.is_waiting && (untold > 0 || is_old) {
                due.push((untold, *team));
            }
        }
        due.sort_unstable_by(|left, right| right.cmp(left));
        due.truncate(most.max(1));
        let take = |(_, team): (u64, TeamId)| {
            let counter = self.counters.get_mut(&team).expect("it was just listed");
            counter.told = Some((counter.sums, now));
            TeamService {
                team,
                charged: counter.sums.charged,
                refunded: counter.sums.refunded,
            }
        };
        due.into_iter().map(take).collect()
    }

    fn expire(&mut self, now: Timestamp) {
        self.counters
            .retain(|_, counter| counter.is_waiting || now.since(counter.used_at) < COUNTER_KEPT);
        for source in self.sources.values_mut() {
            source
                .baselines
                .retain(|_, baseline| now.since(baseline.heard_at) < BASELINE_KEPT);
        }
        self.sources
            .retain(|_, source| now.since(source.heard_at) < BASELINE_KEPT);
    }
}

#[cfg(test)]
mod tests;
