//! What routers tell each other of the speed of engines.
//!
//! Load pattern: a router that starts, or that got few answers from an engine, places requests by
//! the average speed of the service, so the slow engines get as much as the fast ones. A router
//! reports only what it observed itself, a few engines in each digest in turns, so that the reports
//! stay small beside the load. See `docs/design/request-cost.md`.

use std::collections::HashMap;
use std::time::Duration;

use daisynotch_objects::EndpointId;

use crate::time::Timestamp;

/// Age above which an observation is neither reported nor used.
const SPEED_MAX_AGE: Duration = Duration::from_secs(20);
/// Maximum number of engines whose reported speed is kept: ten times those of the largest service.
const HEARD_MAX: usize = 1_024;
/// Steps of a reported slowdown in a factor of two, each of 4%.
const STEPS_PER_DOUBLING: f64 = 16.0;

/// The speed of one start of an engine.
#[daisynotch_macros::message]
pub struct EndpointSpeed {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How many times as long it takes as the service on average, as a logarithm to the base 2, in
    /// sixteenths.
    pub slowdown_log2_16: i8,
    /// The time since the sender observed it, in tenths of a second, rounded up.
    pub age_ds: u8,
}

/// Speeds of engines that a router observed, for other routers.
#[daisynotch_macros::message]
#[derive(Default)]
pub struct SpeedNews {
    /// The speeds.
    pub speeds: Vec<EndpointSpeed>,
}

/// What a router's requests still need, for other routers, beside what its digest says.
#[daisynotch_macros::message]
#[derive(Default)]
pub struct WorkNews {
    /// For each endpoint in the digest, in the same order, the number of events that the answers
    /// are expected to lack.
    pub events_left: Vec<u32>,
}

impl EndpointSpeed {
    fn new(endpoint: EndpointId, slowdown: f64, age: Duration) -> Self {
        Self {
            endpoint,
            slowdown_log2_16: (slowdown.log2() * STEPS_PER_DOUBLING).round() as i8,
            age_ds: u8::try_from(age.as_millis().div_ceil(100)).unwrap_or(u8::MAX),
        }
    }

    fn slowdown(&self) -> f64 {
        (f64::from(self.slowdown_log2_16) / STEPS_PER_DOUBLING).exp2()
    }

    fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_ds) * 100)
    }
}

#[derive(Debug, Clone, Copy)]
struct HeardSpeed {
    slowdown: f64,
    observed_at: Timestamp,
}

/// The speeds that other routers reported, also of engines that this router does not know yet, and
/// the engine that is reported next.
#[derive(Debug, Default)]
pub(crate) struct SpeedExchange {
    heard: HashMap<EndpointId, HeardSpeed>,
    next: EndpointId,
}

impl SpeedExchange {
    /// Records reported speeds, and returns those that are newer than what was known.
    ///
    /// Their time on the way, which is below the resolution of the ages unless a digest is late, is
    /// left out: a speed counts for many seconds.
    pub(crate) fn on_news(
        &mut self,
        news: &SpeedNews,
        now: Timestamp,
    ) -> impl Iterator<Item = (EndpointId, f64)> {
        let mut changed = Vec::new();
        for speed in &news.speeds {
            let observed_at = now - speed.age();
            let known = self.heard.get(&speed.endpoint);
            let is_newer = known.is_none_or(|known| observed_at > known.observed_at);
            let has_room = known.is_some() || self.heard.len() < HEARD_MAX;
            if speed.age() < SPEED_MAX_AGE && is_newer && has_room {
                let slowdown = speed.slowdown();
                let heard = HeardSpeed {
                    slowdown,
                    observed_at,
                };
                self.heard.insert(speed.endpoint, heard);
                changed.push((speed.endpoint, slowdown));
            }
        }
        changed.into_iter()
    }

    /// Returns what another router reported of an engine.
    pub(crate) fn heard(&self, endpoint: EndpointId) -> Option<f64> {
        let heard = self.heard.get(&endpoint)?;
        Some(heard.slowdown)
    }

    /// Drops reports that are too old.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.heard
            .retain(|_, heard| now.since(heard.observed_at) < SPEED_MAX_AGE);
    }

    /// Returns at most `speeds_max` of this router's own observations, in turns.
    pub(crate) fn next_news(
        &mut self,
        observed: impl Iterator<Item = (EndpointId, f64, Timestamp)>,
        speeds_max: usize,
        now: Timestamp,
    ) -> SpeedNews {
        let fresh = observed.filter(|(_, _, at)| now.since(*at) < SPEED_MAX_AGE);
        let mut fresh: Vec<_> = fresh.collect();
        fresh.sort_unstable_by_key(|(endpoint, ..)| *endpoint);
        let first = fresh.partition_point(|(endpoint, ..)| *endpoint < self.next);
        fresh.rotate_left(first);
        if let Some((endpoint, ..)) = fresh.get(speeds_max) {
            self.next = *endpoint;
        }
        fresh.truncate(speeds_max);
        let speeds = fresh.into_iter();
        let speeds = speeds
            .map(|(endpoint, slowdown, at)| EndpointSpeed::new(endpoint, slowdown, now.since(at)));
        SpeedNews {
            speeds: speeds.collect(),
        }
    }
}

#[cfg(test)]
mod tests;
