//! The messages in which routers share signs of cold endpoints that others may not see.
//!
//! Entries reach all routers, so what they state is not repeated here. A message holds the sender's
//! own observations and their ages, so a lost one has no lasting effect and none goes round in a
//! circle.

use std::sync::Arc;
use std::time::Duration;

use daisynotch_objects::EndpointId;

use super::{ColdReason, ColdStarts};
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::{Timestamp, age_to_ms};

/// Maximum number of endpoints in a message.
const FAILED_MAX: usize = 64;
/// Number of failed endpoints up to which a report counts however few endpoints there are.
const FAILED_ALWAYS_COUNTED: usize = 2;
/// Time within which the entry of an endpoint that is in use was seen.
const LISTED_WITHIN: Duration = Duration::from_secs(5);
/// Time that a message was on its way if there is no bound: as late as digests usually are at most.
const TRANSIT_UNKNOWN: Duration = Duration::from_secs(1);

/// An endpoint that the sender could not reach, or that was silent.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct FailedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The time since the latest failure, in milliseconds.
    pub age_ms: u32,
}

/// A zone whose evacuation ended.
#[daisynotch_macros::message]
pub struct ReturnedZone {
    /// The availability zone.
    pub zone: Arc<str>,
    /// The time since the end, in milliseconds.
    pub age_ms: u32,
}

/// Signs of cold endpoints that one router saw.
#[daisynotch_macros::message]
#[derive(Default)]
pub struct ColdNews {
    /// Endpoints that failed lately.
    pub failed: Vec<FailedEndpoint>,
    /// Zones whose evacuation ended lately.
    pub returned: Vec<ReturnedZone>,
}

impl ColdNews {
    /// Returns whether the message says nothing.
    pub fn is_empty(&self) -> bool {
        self.failed.is_empty() && self.returned.is_empty()
    }
}

impl ColdStarts {
    /// Returns this router's observations for others; empty if no endpoint is ever cold. A router
    /// that starts gets what this one heard from others, too, with `includes_heard`.
    pub(crate) fn to_news(&self, includes_heard: bool, now: Timestamp) -> ColdNews {
        if self.is_off() || is_seeded(SeededFault::KeepFailuresSecret) {
            return ColdNews::default();
        }
        let failed = self.known.iter().filter_map(|(endpoint, known)| {
            let sign = known.sign.filter(|sign| sign.reason == ColdReason::Failed);
            let heard_at = sign.filter(|_| includes_heard).map(|sign| sign.at);
            let age = now.since(heard_at.or(known.own_failure_at)?);
            let cold = self.services.get(&known.service)?;
            (age < cold.lasts).then(|| FailedEndpoint {
                endpoint: *endpoint,
                age_ms: age_to_ms(age),
            })
        });
        let mut failed: Vec<FailedEndpoint> = failed.collect();
        failed.sort_unstable_by_key(|failed| failed.age_ms);
        failed.truncate(FAILED_MAX);
        let lasts_max = self.lasts_max();
        let returned = self.returned_zones.iter().filter_map(|(zone, at)| {
            let age = now.since(*at);
            (age < lasts_max).then(|| ReturnedZone {
                zone: Arc::clone(zone),
                age_ms: age_to_ms(age),
            })
        });
        ColdNews {
            failed,
            returned: returned.collect(),
        }
    }

    /// Applies another router's observations.
    ///
    /// A router that fails to reach most endpoints is itself cut off if one of them answers this
    /// router, so its report says nothing of them. A failure is also ignored if the process answered
    /// this router before and after it.
    pub(crate) fn on_news(&mut self, news: &ColdNews, transit: Option<Duration>, now: Timestamp) {
        let cold_services = &self.services;
        let listed = self.known.values().filter(|known| {
            cold_services.contains_key(&known.service) && now.since(known.seen_at) < LISTED_WITHIN
        });
        let failed_max = (listed.count() / 2).max(FAILED_ALWAYS_COUNTED);
        let answers_here = |failed: &FailedEndpoint| {
            let known = self.known.get(&failed.endpoint);
            let at = now - Duration::from_millis(u64::from(failed.age_ms));
            known.is_some_and(|known| known.alive.1 > at)
        };
        let is_cut_off = news.failed.len() > failed_max && news.failed.iter().any(answers_here);
        for failed in news.failed.iter().filter(|_| !is_cut_off) {
            let Some(known) = self.known.get_mut(&failed.endpoint) else {
                continue;
            };
            let Some(cold) = self.services.get(&known.service) else {
                continue;
            };
            let at = now - Duration::from_millis(u64::from(failed.age_ms));
            let since = at - transit.unwrap_or(TRANSIT_UNKNOWN);
            if now.since(at) < cold.lasts && !known.is_refuted(since, at) {
                known.add_sign(since, at, ColdReason::Failed, cold.lasts);
            }
        }
        for returned in &news.returned {
            let at = now - Duration::from_millis(u64::from(returned.age_ms));
            let known_at = self.returned_zones.get(&returned.zone);
            let is_known = known_at.is_some_and(|known_at| at < *known_at + self.lasts_max());
            if !is_known && now.since(at) < self.lasts_max() {
                self.on_zone_returned(&returned.zone, at);
            }
        }
    }
}

#[cfg(test)]
mod tests;
