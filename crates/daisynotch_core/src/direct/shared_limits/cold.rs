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
use super::{START_TIME, SharedLimits, service_hash};
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::Timestamp;

/// Time after a router first heard another one in which it may not have heard all of them, and they
/// not it. Digests reach all routers of the largest fleets within it.
const JOIN_TIME: Duration = Duration::from_secs(1);

/// The routers among which the limits of a service's endpoints are divided.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Membership {
    /// Routers that were heard lately.
    pub(super) heard: Vec<Member>,
    /// The same and those that fell silent, for services whose endpoints are ever cold.
    pub(super) known: Vec<Member>,
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
        cold_part_of(own, endpoint, budget, &members.heard, &members.known)
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
            cold_part_of(own, endpoint, budget, &members.heard, &members.known)
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

    /// Keeps this router's weight among routers of which some are silent at what it was before:
    /// they don't hear that it grew.
    pub(super) fn bound_own_weight(
        &mut self,
        own: RouterId,
        service: u32,
        mut members: Membership,
    ) -> Membership {
        let hears_all = members.known.len() == members.heard.len();
        let mut known = members.known.iter_mut();
        let Some(known_own) = known.find(|member| member.router == own) else {
            return members;
        };
        if hears_all {
            let weight = known_own.weight;
            self.own_weights.insert(service, weight);
        } else if let Some(weight) = self.own_weights.get(&service) {
            known_own.weight = known_own.weight.min(*weight);
        }
        members
    }
}

#[cfg(test)]
mod tests;
