//! Rate limits that endpoints state for the whole fleet of routers.
//!
//! An endpoint that is short of capacity states in its responses how many requests per second it
//! accepts from all routers together. Responses arrive out of order, at different routers, and
//! some of them late; routers restart, stand still and hear each other late. Each router therefore
//! uses only a part of a limit, which all compute alike, and passes on what it knows.
//! See `docs/design/shared-limits.md`.

mod cold;
mod demand;
mod news;
mod pace;
mod parts;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_objects::{EndpointId, RouterId};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use self::cold::{Membership, SettledMembers};
use self::demand::Demand;
pub use self::demand::DemandLevel;
pub use self::news::{LimitNews, ServiceDemand, StatedLimit};
use self::pace::Pace;
pub(crate) use self::parts::Budget;
use self::parts::{Member, Part};
use crate::time::Timestamp;

/// How long a limit is remembered that no response confirms, and the end of one.
const STATEMENT_RETENTION: Duration = Duration::from_secs(60);
/// Time after the start in which others may not reckon with a router yet.
const START_TIME: Duration = Duration::from_secs(2);
/// Silence after which the part of another router is given to the others.
const PEER_SILENCE_MAX: Duration = Duration::from_secs(3);
/// Silence after which another router is forgotten, even if no router is heard at all.
const PEER_RETENTION: Duration = Duration::from_secs(60);
/// Time between two rounds from which the process counts as having stood still: other routers may
/// use its part by then.
const STANDSTILL_MIN: Duration = Duration::from_secs(1);

/// A request rate, in requests per 1,000 seconds.
#[daisynotch_macros::number]
pub struct RequestRate(pub u32);

impl RequestRate {
    /// Converts a number of requests per second; `None` if it is negative or not finite.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        let is_valid = per_s.is_finite() && per_s >= 0.0;
        is_valid.then_some(Self((per_s * 1e3) as u32))
    }

    /// Returns the number of requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / 1e3
    }
}

/// A change of the limit that an endpoint states.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct LimitChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The limit now; `None` if there is none any more.
    pub limit: Option<RequestRate>,
    /// The limit before.
    pub before: Option<RequestRate>,
}

/// What an endpoint last stated about its limit.
#[derive(Debug, Clone, Copy)]
struct Statement {
    limit: Option<RequestRate>,
    /// When the latest response that states this limit, or none, arrived at any router.
    confirmed_at: Timestamp,
}

impl Statement {
    /// Returns whether a limit is stricter than the stated one.
    fn is_tightened_by(&self, limit: Option<RequestRate>) -> bool {
        match (limit, self.limit) {
            (Some(limit), Some(known)) => limit < known,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }

    /// Replaces the statement and returns the change, if the limit is another one.
    fn restate(
        &mut self,
        endpoint: EndpointId,
        limit: Option<RequestRate>,
        confirmed_at: Timestamp,
    ) -> Option<LimitChange> {
        let before = std::mem::replace(&mut self.limit, limit);
        self.confirmed_at = confirmed_at;
        (limit != before).then_some(LimitChange {
            endpoint,
            limit,
            before,
        })
    }
}

/// The demands that another router last reported, by the hash of the service's name.
#[derive(Debug, Clone)]
struct PeerDemands {
    heard_at: Timestamp,
    levels: SmallVec<[(u32, DemandLevel); 4]>,
}

impl PeerDemands {
    fn level(&self, service: u32) -> DemandLevel {
        let mut levels = self.levels.iter();
        let level = levels.find(|(other, _)| *other == service);
        level.map_or(DemandLevel(0), |(_, level)| *level)
    }
}

/// This router's share in the limit of one endpoint.
#[derive(Debug, Clone, Copy)]
struct Share {
    budget: Budget,
    /// The part of `budget` that follows from the latest members.
    due: Part,
    pace: Pace,
}

/// How long a request would wait for endpoints that all limit their requests.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitWait {
    /// Time until the first of them accepts a request; `None` if this router has no part.
    pub(crate) first: Option<Duration>,
    /// Time until the request's turn comes; `None` if it never does.
    pub(crate) total: Option<Duration>,
}

/// The limits that endpoints state, and this router's parts of them.
///
/// They are kept apart from the endpoints' load, which is dropped when an endpoint's entry lapses
/// for a moment.
#[derive(Debug, Default)]
pub(crate) struct SharedLimits {
    statements: HashMap<EndpointId, Statement>,
    shares: HashMap<EndpointId, Share>,
    /// The limits of cold endpoints.
    cold: HashMap<EndpointId, Budget>,
    /// The services whose endpoints are ever cold, as hashes of their names.
    cold_services: SmallVec<[u32; 4]>,
    /// The members in the latest round, by the hash of the service's name.
    members: HashMap<u32, Membership>,
    /// Earlier members of services whose endpoints are ever cold, with the time at which each was
    /// replaced.
    members_before: Vec<(Timestamp, u32, Membership)>,
    /// The members before any fell silent, by the hash of the service's name.
    settled_members: HashMap<u32, SettledMembers>,
    /// This router's demand by the hash of the service's name.
    demands: HashMap<u32, Demand>,
    peers: HashMap<RouterId, PeerDemands>,
    first_round_at: Option<Timestamp>,
    /// When this router first heard another one that reports its demand.
    first_heard_at: Option<Timestamp>,
    latest_round_at: Timestamp,
    /// Number of limits in messages so far, which tells where the next message begins.
    sent: usize,
}

impl SharedLimits {
    /// Counts a caller's request for a service with the part of it, from 0 to 1, to which its team
    /// is entitled: a team that asks for much more must not draw limits to the router that it uses.
    pub(crate) fn on_request(&mut self, service: &Arc<str>, entitled: f64, now: Timestamp) {
        let demand = self.demands.entry(service_hash(service)).or_default();
        demand.on_request(entitled, now);
    }

    /// Records what a response states, to a request that was sent at `sent_at`.
    ///
    /// A stricter limit holds at once. A looser one, or none, holds only if the request was sent
    /// after the known limit was last confirmed: any other response may be the older one.
    pub(crate) fn on_response(
        &mut self,
        endpoint: EndpointId,
        limit: Option<RequestRate>,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> Option<LimitChange> {
        let Some(known) = self.statements.get_mut(&endpoint) else {
            return Some(self.insert(endpoint, limit?, now));
        };
        let is_looser = limit != known.limit && !known.is_tightened_by(limit);
        if is_looser && sent_at <= known.confirmed_at {
            return None;
        }
        known.restate(endpoint, limit, now)
    }

    fn insert(
        &mut self,
        endpoint: EndpointId,
        limit: RequestRate,
        confirmed_at: Timestamp,
    ) -> LimitChange {
        let limit = Some(limit);
        let statement = Statement {
            limit,
            confirmed_at,
        };
        self.statements.insert(endpoint, statement);
        LimitChange {
            endpoint,
            limit,
            before: None,
        }
    }

    /// Returns the limit that an endpoint states, if any.
    pub(crate) fn limit(&self, endpoint: EndpointId) -> Option<RequestRate> {
        self.statements.get(&endpoint)?.limit
    }

    /// Returns whether a request may be sent to an endpoint.
    pub(crate) fn allows(&self, endpoint: EndpointId, now: Timestamp) -> bool {
        match self.shares.get(&endpoint) {
            Some(share) => share.pace.allows(now),
            None => !self.is_limited(endpoint),
        }
    }

    /// Returns how scarce the requests are that a limited endpoint still accepts, from 0 to 1.
    pub(crate) fn scarcity(&self, endpoint: EndpointId, now: Timestamp) -> f64 {
        let share = self.shares.get(&endpoint);
        share.map_or(0.0, |share| share.pace.scarcity(now))
    }

    /// Counts a request to an endpoint, or a question.
    pub(crate) fn charge(&mut self, endpoint: EndpointId, now: Timestamp) {
        if let Some(share) = self.shares.get_mut(&endpoint) {
            share.pace.charge(now);
        }
    }

    /// Returns how long a request would wait for one of these endpoints, after `ahead` others;
    /// `None` if there is none or one of them has no limit.
    pub(crate) fn wait(
        &self,
        endpoints: impl Iterator<Item = EndpointId>,
        ahead: usize,
        now: Timestamp,
    ) -> Option<LimitWait> {
        let mut per_s = 0.0;
        let mut first: Option<Duration> = None;
        let mut is_any = false;
        for endpoint in endpoints {
            self.budget(endpoint)?;
            is_any = true;
            let Some(share) = self.shares.get(&endpoint) else {
                continue;
            };
            per_s += share.pace.per_s();
            if let Some(wait) = share.pace.wait(now) {
                first = Some(first.map_or(wait, |other| other.min(wait)));
            }
        }
        let turn = Duration::try_from_secs_f64(ahead as f64 / per_s).ok();
        let total = first.zip(turn).map(|(first, turn)| first + turn);
        is_any.then_some(LimitWait { first, total })
    }

    /// Returns whether this router has a part of any limit, or waits for one.
    pub(crate) fn has_shares(&self) -> bool {
        !self.shares.is_empty()
    }

    /// Divides one limit, after an endpoint stated it first or changed it.
    pub(crate) fn on_limit_changed(
        &mut self,
        own: RouterId,
        endpoint: EndpointId,
        service: Option<&Arc<str>>,
        now: Timestamp,
    ) {
        let (Some(budget), Some(service)) = (self.budget(endpoint), service) else {
            self.shares.remove(&endpoint);
            return;
        };
        let service = service_hash(service);
        let members = self.members(own, service, now);
        let due = self.due_part(own, endpoint, budget, &members, now);
        let started_at = self.first_round_at.unwrap_or(now);
        let is_settled = now.since(started_at) >= START_TIME;
        let new_pace = if self.is_cold(endpoint) {
            Pace::empty(self.least_part(own, endpoint, budget, service, due), now)
        } else if is_settled {
            Pace::new(due, now)
        } else {
            Pace::held(now)
        };
        let share = self.shares.entry(endpoint).or_insert_with(|| Share {
            budget,
            due,
            pace: new_pace,
        });
        share.budget = budget;
        share.due = due;
        share.pace.set_part(due, now);
    }

    /// Divides all limits among the routers that were heard lately; called in each round.
    pub(crate) fn divide<'a>(
        &mut self,
        own: RouterId,
        service_of: impl Fn(EndpointId) -> Option<&'a Arc<str>>,
        now: Timestamp,
    ) {
        self.first_round_at.get_or_insert(now);
        self.note_standstill(now);
        let stated = self.statements.iter();
        let stated = stated.filter(|(_, known)| known.limit.is_some());
        let limited = stated.map(|(endpoint, _)| *endpoint);
        let mut limited: Vec<EndpointId> = limited.chain(self.cold.keys().copied()).collect();
        limited.sort_unstable();
        limited.dedup();
        self.shares
            .retain(|endpoint, _| limited.binary_search(endpoint).is_ok());
        let mut changed: HashMap<u32, bool> = HashMap::new();
        for service in self.cold_services.clone() {
            self.refresh_members(own, service, &mut changed, now);
        }
        for endpoint in limited {
            let (Some(service), Some(budget)) = (service_of(endpoint), self.budget(endpoint))
            else {
                continue;
            };
            let service = service_hash(service);
            let is_changed = self.refresh_members(own, service, &mut changed, now);
            let known = self.shares.get(&endpoint);
            let is_held = self.is_cold(endpoint) && !self.may_hold_cold(now);
            let due = match known {
                Some(share) if !is_changed && !is_held && share.budget == budget => share.due,
                _ => self.due_part(own, endpoint, budget, &self.members[&service], now),
            };
            let share = self.shares.entry(endpoint).or_insert_with(|| Share {
                budget,
                due,
                pace: Pace::held(now),
            });
            share.budget = budget;
            share.due = due;
            share.pace.set_part(due, now);
        }
    }

    /// Updates the members of a service once in a round and returns whether they changed.
    fn refresh_members(
        &mut self,
        own: RouterId,
        service: u32,
        changed: &mut HashMap<u32, bool>,
        now: Timestamp,
    ) -> bool {
        if let Some(is_changed) = changed.get(&service) {
            return *is_changed;
        }
        let members = self.members(own, service, now);
        let is_changed = self.members.get(&service) != Some(&members);
        if is_changed {
            let before = self.members.insert(service, members);
            self.keep_members_before(service, before, now);
        }
        changed.insert(service, is_changed);
        is_changed
    }

    /// Gives up all parts after the process stood still: other routers may use them by now, and
    /// what this router knows of them is as old.
    fn note_standstill(&mut self, now: Timestamp) {
        let since_round = now.since(self.latest_round_at);
        let is_first = self.latest_round_at == Timestamp::default();
        self.latest_round_at = now;
        if is_first || since_round < STANDSTILL_MIN {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.heard_at = peer.heard_at + since_round;
        }
        for share in self.shares.values_mut() {
            share.pace = Pace::held(now);
        }
    }

    /// Returns the routers among which the limits of a service's endpoints are divided.
    ///
    /// A router that hears no other may be the one that is cut off, so it goes on reckoning with
    /// those that it knew.
    fn members(&mut self, own: RouterId, service: u32, now: Timestamp) -> Membership {
        let is_heard = |peer: &PeerDemands| now.since(peer.heard_at) < PEER_SILENCE_MAX;
        let hears_any = self.peers.values().any(is_heard);
        let own_level = self.demands.entry(service).or_default().level(now);
        let peers = self.peers.iter().filter(|(router, _)| **router != own);
        let levels = |may_be_silent: bool| {
            let peers = peers.clone();
            let peers = peers.filter(move |(_, peer)| may_be_silent || is_heard(peer));
            peers.map(|(router, peer)| (*router, peer.level(service)))
        };
        let mut members = Membership {
            heard: weigh(own, own_level, levels(!hears_any)),
            ..Membership::default()
        };
        if self.cold_services.contains(&service) {
            members.present = weigh(own, own_level, levels(false));
            members.settled = self.settle_members(own, service, &members.present, now);
        }
        members
    }

    /// Returns the number of endpoints that state a limit.
    pub(crate) fn limited_len(&self) -> usize {
        let statements = self.statements.values();
        statements
            .filter(|statement| statement.limit.is_some())
            .count()
    }

    /// Forgets statements that no response has confirmed for long, and routers that are gone.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.statements
            .retain(|_, statement| now.since(statement.confirmed_at) < STATEMENT_RETENTION);
        self.peers
            .retain(|_, peer| now.since(peer.heard_at) < PEER_RETENTION);
    }
}

/// Returns the routers with demand, or all of them if none has any.
fn weigh(
    own: RouterId,
    own_level: DemandLevel,
    peers: impl Iterator<Item = (RouterId, DemandLevel)>,
) -> Vec<Member> {
    let mut levels: Vec<(RouterId, DemandLevel)> = peers.collect();
    levels.push((own, own_level));
    // Without any demand, all routers are equal.
    let has_demand = levels.iter().any(|(_, level)| level.0 > 0);
    let members = levels.into_iter().map(|(router, level)| Member {
        router,
        weight: if has_demand { level.weight() } else { 1.0 },
    });
    let mut members: Vec<Member> = members.filter(|member| member.weight > 0.0).collect();
    members.sort_unstable_by_key(|member| member.router);
    members
}

fn service_hash(service: &str) -> u32 {
    xxh3_64(service.as_bytes()) as u32
}

#[cfg(test)]
mod tests;
