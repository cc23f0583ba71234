//! Limits of cold endpoints, which hold in each second and from the first moment.
//!
//! Routers that learn of a cold endpoint must already agree on its holders. They therefore keep track
//! of each other's demand before any endpoint is cold, and begin with the smallest part that
//! followed from it lately.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_objects::{EndpointId, RouterId};

use super::pace::RAISE_DELAY;
use super::parts::{Budget, Member, Part, cold_part_of, part_of};
use super::{PEER_SILENCE_MAX, START_TIME, SharedLimits, service_hash};
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::Timestamp;

/// Time after a router first heard another one in which it may not have heard all of them, and they
/// not it. Digests reach all routers of the largest fleets within it.
const JOIN_TIME: Duration = Duration::from_secs(1);

/// Silence after which what another router reported of its demand may be outdated: digests of the
/// largest fleets arrive every second, and some are lost.
const FRESH_MAX: Duration = Duration::from_secs(2);
/// Time in which the demand that routers report after a start comes close to what it is.
const DEMAND_SETTLES: Duration = Duration::from_secs(3);
/// Fraction of the demand that may be outdated while limits are divided by it.
const STALE_FRACTION_MAX: f64 = 0.1;

/// The routers among which the limits of a service's endpoints are divided.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Membership {
    /// Routers that were heard lately, or all if none was.
    pub(super) heard: Vec<Member>,
    /// Routers that were heard lately. Empty for services whose endpoints are never cold, like the
    /// last list.
    pub(super) present: Vec<Member>,
    /// The same or, if some routers fell silent lately, those of the time before.
    pub(super) settled: Vec<Member>,
}

impl SharedLimits {
    /// Sets the services whose endpoints are ever cold.
    pub(crate) fn set_cold_services<'a>(&mut self, services: impl Iterator<Item = &'a Arc<str>>) {
        self.cold_services = services.map(|service| service_hash(service)).collect();
    }

    /// Sets the limits of the endpoints that are presumed cold.
    pub(crate) fn set_cold<'a>(
        &mut self,
        own: RouterId,
        cold: HashMap<EndpointId, Budget>,
        service_of: impl Fn(EndpointId) -> Option<&'a Arc<str>>,
        now: Timestamp,
    ) {
        let before = std::mem::replace(&mut self.cold, cold);
        let is_changed = |endpoint: &EndpointId| before.get(endpoint) != self.cold.get(endpoint);
        let endpoints = before.keys().chain(self.cold.keys());
        let mut changed: Vec<EndpointId> = endpoints.copied().filter(is_changed).collect();
        changed.sort_unstable();
        changed.dedup();
        for endpoint in changed {
            self.on_limit_changed(own, endpoint, service_of(endpoint), now);
        }
    }

    /// Returns whether requests to an endpoint are limited.
    pub(crate) fn is_limited(&self, endpoint: EndpointId) -> bool {
        self.is_cold(endpoint) || self.limit(endpoint).is_some()
    }

    pub(super) fn is_cold(&self, endpoint: EndpointId) -> bool {
        self.cold.contains_key(&endpoint)
    }

    /// Returns what all routers together may send to an endpoint; `None` if it has no limit.
    pub(super) fn budget(&self, endpoint: EndpointId) -> Option<Budget> {
        let cold = self.cold.get(&endpoint).copied();
        match (self.limit(endpoint), cold) {
            (Some(limit), Some(cold)) => Some(cold.within(Budget::from(limit))),
            (Some(limit), None) => Some(Budget::from(limit)),
            (None, cold) => cold,
        }
    }

    /// Returns this router's part that follows from the members.
    pub(super) fn due_part(
        &self,
        own: RouterId,
        endpoint: EndpointId,
        budget: Budget,
        members: &Membership,
        now: Timestamp,
    ) -> Part {
        if !self.is_cold(endpoint) {
            return part_of(own, endpoint, budget, &members.heard);
        }
        if !self.may_hold_cold(now) {
            return Part::default();
        }
        cold_part_of(own, endpoint, budget, &members.present, &members.settled)
    }

    /// Returns whether this router may hold parts of cold endpoints' limits: it knows the others
    /// by now, and they know it.
    pub(super) fn may_hold_cold(&self, now: Timestamp) -> bool {
        if is_seeded(SeededFault::HoldAtStart) {
            return true;
        }
        match (self.first_heard_at, self.first_round_at) {
            (Some(heard_at), _) => now.since(heard_at) >= JOIN_TIME,
            (None, Some(started_at)) => now.since(started_at) >= START_TIME,
            (None, None) => false,
        }
    }

    /// Returns the smallest part that was due lately, up to `due`.
    pub(super) fn least_part(
        &self,
        own: RouterId,
        endpoint: EndpointId,
        budget: Budget,
        service: u32,
        due: Part,
    ) -> Part {
        let before = self.members_before.iter();
        let before = before.filter(|(_, other, _)| *other == service);
        let parts = before.map(|(_, _, members)| {
            cold_part_of(own, endpoint, budget, &members.present, &members.settled)
        });
        parts.fold(due, |least, part| {
            if part.per_s < least.per_s {
                part
            } else {
                least
            }
        })
    }

    /// Keeps replaced members for as long as a larger part must have been due.
    pub(super) fn keep_members_before(
        &mut self,
        service: u32,
        before: Option<Membership>,
        now: Timestamp,
    ) {
        self.members_before
            .retain(|(replaced_at, _, _)| now.since(*replaced_at) < RAISE_DELAY);
        if self.cold_services.contains(&service) {
            let before = before.unwrap_or_default();
            self.members_before.push((now, service, before));
        }
    }

    /// Returns the members of the time before some fell silent; those `present` if few did.
    ///
    /// Both sides of a partition must divide limits alike, and neither hears how the demand of the
    /// other one changes.
    pub(super) fn settle_members(
        &mut self,
        own: RouterId,
        service: u32,
        present: &[Member],
        now: Timestamp,
    ) -> Vec<Member> {
        // Routers without demand hold nothing and send fewer digests, so they don't count.
        let stale_fraction = |age_max: Duration| {
            let peers = self.peers.iter().filter(|(router, _)| **router != own);
            let (mut all, mut stale) = (0.0, 0.0);
            for (_, peer) in peers {
                let weight = peer.level(service).weight();
                all += weight;
                if now.since(peer.heard_at) >= age_max {
                    stale += weight;
                }
            }
            if all > 0.0 { stale / all } else { 0.0 }
        };
        let is_fresh = stale_fraction(FRESH_MAX) <= STALE_FRACTION_MAX;
        let is_heard = stale_fraction(PEER_SILENCE_MAX) <= STALE_FRACTION_MAX;
        let has_settled = self.may_hold_cold(now - DEMAND_SETTLES);
        let settled = self.settled_members.entry(service).or_default();
        if !is_fresh {
            // In a fleet that never hears all of its routers within the time, there is no before.
            let is_unknown = settled.before.is_empty();
            return if is_unknown && is_heard {
                present.to_vec()
            } else {
                settled.before.clone()
            };
        }
        if has_settled {
            settled.on_fresh(present, now);
        }
        present.to_vec()
    }
}

/// Members of a time before any of them fell silent, as far as that can be known by now.
#[derive(Debug, Default)]
pub(super) struct SettledMembers {
    before: Vec<Member>,
    candidate: Vec<Member>,
    candidate_at: Timestamp,
}

impl SettledMembers {
    /// Notes the members while nearly all of them were heard within [`FRESH_MAX`].
    fn on_fresh(&mut self, members: &[Member], now: Timestamp) {
        if now.since(self.candidate_at) >= PEER_SILENCE_MAX {
            self.before = std::mem::replace(&mut self.candidate, members.to_vec());
            self.candidate_at = now;
        }
    }
}

#[cfg(test)]
mod tests;
