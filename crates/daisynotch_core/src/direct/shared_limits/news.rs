//! The messages in which routers share stated limits and the demand by which they divide them.
//!
//! A message holds states and their ages instead of changes, so a lost one has no lasting effect.

use std::time::Duration;

use daisynotch_objects::{EndpointId, RouterId};

use super::demand::DemandLevel;
use super::{LimitChange, PeerDemands, RequestRate, SharedLimits, Statement};
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::{Timestamp, age_to_ms};

/// How much later than the known limit another router must have heard of a looser one. A looser limit
/// that is taken too early exceeds what the endpoint can bear.
const LOOSER_MARGIN: Duration = Duration::from_secs(1);

/// The limit that an endpoint states, or that it states none any more.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct StatedLimit {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The limit.
    pub limit: Option<RequestRate>,
    /// The time since a response last confirmed it, in milliseconds.
    pub age_ms: u32,
}

/// The demand for one service.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct ServiceDemand {
    /// The service, as a hash of its name.
    pub service: u32,
    /// The demand.
    pub level: DemandLevel,
}

/// What one router knows of stated limits, and its own demand.
#[daisynotch_macros::message]
#[derive(Default)]
pub struct LimitNews {
    /// Limits, and those that ended lately.
    pub limits: Vec<StatedLimit>,
    /// The sender's demand for services.
    pub demands: Vec<ServiceDemand>,
}

impl LimitNews {
    /// Adds the time on the way to the ages of limits. Without an upper bound on that time, limits
    /// are dropped: passed on in a circle, they would outlive the responses that stated them.
    pub fn add_transit(&mut self, transit: Option<Duration>) {
        let Some(transit) = transit else {
            self.limits.clear();
            return;
        };
        for stated in &mut self.limits {
            stated.age_ms = stated.age_ms.saturating_add(age_to_ms(transit));
        }
    }

    /// Returns whether the message says nothing.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty() && self.demands.is_empty()
    }
}

impl SharedLimits {
    /// Returns the next message for other routers; empty while no limit is known and no endpoint is
    /// ever cold. If there are more than `limits_max` limits, they are sent in turns.
    ///
    /// The demand for services whose endpoints may become cold is always exchanged, because
    /// routers have to divide a cold endpoint's limit at once.
    pub(crate) fn next_news(&mut self, limits_max: usize, now: Timestamp) -> LimitNews {
        let is_silent = self.statements.is_empty() && self.cold_services.is_empty();
        if is_silent || is_seeded(SeededFault::KeepLimitSecret) {
            return LimitNews::default();
        }
        let mut known: Vec<(&EndpointId, &Statement)> = self.statements.iter().collect();
        known.sort_unstable_by_key(|(endpoint, _)| **endpoint);
        let count = known.len().min(limits_max);
        let selected = known
            .iter()
            .cycle()
            .skip(self.sent % known.len().max(1))
            .take(count);
        let limits = selected.map(|(endpoint, statement)| StatedLimit {
            endpoint: **endpoint,
            limit: statement.limit,
            age_ms: age_to_ms(now.since(statement.confirmed_at)),
        });
        let limits = limits.collect();
        self.sent = self.sent.wrapping_add(count);
        let cold_services = &self.cold_services;
        let has_limits = !self.statements.is_empty();
        let demands = self.demands.iter_mut();
        let demands = demands
            .filter(|(service, _)| has_limits || cold_services.contains(service))
            .map(|(service, demand)| ServiceDemand {
                service: *service,
                level: demand.level(now),
            });
        LimitNews {
            limits,
            demands: demands.collect(),
        }
    }

    /// Applies another router's message and returns the limits that changed. Without the sender,
    /// its demand is ignored.
    pub(crate) fn on_news(
        &mut self,
        sender: Option<RouterId>,
        news: &LimitNews,
        now: Timestamp,
    ) -> Vec<LimitChange> {
        if let Some(sender) = sender {
            if self.first_heard_at.is_none() {
                self.first_heard_at = Some(now);
                self.settled_members.clear();
            }
            let levels = news.demands.iter();
            let levels = levels.map(|demand| (demand.service, demand.level));
            let demands = PeerDemands {
                heard_at: now,
                levels: levels.collect(),
            };
            self.peers.insert(sender, demands);
        }
        let changes = news.limits.iter();
        changes
            .filter_map(|stated| self.on_peer_statement(stated, now))
            .collect()
    }

    fn on_peer_statement(&mut self, stated: &StatedLimit, now: Timestamp) -> Option<LimitChange> {
        let confirmed_at = now - Duration::from_millis(u64::from(stated.age_ms));
        let Some(known) = self.statements.get_mut(&stated.endpoint) else {
            let limit = stated.limit?;
            return Some(self.insert(stated.endpoint, limit, confirmed_at));
        };
        let is_newer = if stated.limit == known.limit || known.is_tightened_by(stated.limit) {
            confirmed_at > known.confirmed_at
        } else {
            confirmed_at > known.confirmed_at + LOOSER_MARGIN
        };
        if !is_newer {
            return None;
        }
        known.restate(stated.endpoint, stated.limit, confirmed_at)
    }
}

#[cfg(test)]
mod tests;
