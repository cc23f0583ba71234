//! News that follows messages between routers: evidence on crashes, stated limits and, after the
//! timing of a digest, fleet news: evacuations, signs of cold endpoints, lapsed entries and further
//! evidence on crashes.
//!
//! Routers of an earlier version read the part that they know and ignore the rest. They take what
//! follows the limits in a digest for its timing, so later parts come after that.

use std::time::Duration;

use daisynotch_core::direct::{
    ColdNews, CrashNews, Digest, EndpointDigest, EvacuationNews, LapseNews, LateCrashNews,
    LimitNews, SpeedNews, WorkNews,
};
use daisynotch_objects::RouterId;
use serde_json::json;

use super::event_log::Importance;
use super::state::Router;

/// Maximum number of reports on crashes in a digest.
const CRASH_REPORTS_MAX: usize = 16;
/// Maximum number of limits in a digest.
const LIMITS_MAX: usize = 256;
/// Maximum number of engine speeds in a digest, of up to 7 bytes each. Digests are most of the
/// traffic between zones; 90 engines are reported within 2 s.
pub(super) const SPEEDS_MAX: usize = 4;
/// Maximum number of engine speeds for a router that fetches the store's state.
const VIEW_SPEEDS_MAX: usize = 1_024;

/// What a router says of crashes and limits.
#[derive(Debug, Default)]
pub(super) struct News {
    crashes: CrashNews,
    limits: LimitNews,
}

/// Encodes the news for a digest.
pub(super) fn encode_for_digest(router: &Router) -> Vec<u8> {
    encode(router, CRASH_REPORTS_MAX, LIMITS_MAX)
}

/// Encodes all news, for a router that fetches the store's state.
pub(super) fn encode_all(router: &Router) -> Vec<u8> {
    encode(router, usize::MAX, usize::MAX)
}

fn encode(router: &Router, crash_reports_max: usize, limits_max: usize) -> Vec<u8> {
    let now = router.now();
    let mut dispatcher = router.dispatcher.borrow_mut();
    let crashes = dispatcher.crash_news(crash_reports_max, now);
    let limits = dispatcher.limit_news(limits_max, now);
    drop(dispatcher);
    postcard::to_stdvec(&(crashes, limits)).unwrap_or_else(|error| {
        let fields = json!({"error": error.to_string()});
        router
            .log
            .write(Importance::Essential, "news_unwritable", fields);
        Vec::new()
    })
}

impl News {
    /// Decodes the news that follow a message, and returns what follows them. Routers of an earlier
    /// version leave out parts that say nothing.
    pub(super) fn decode(encoded: &[u8]) -> Result<(Self, &[u8]), postcard::Error> {
        let mut news = Self::default();
        let mut rest = encoded;
        if !rest.is_empty() {
            (news.crashes, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            (news.limits, rest) = postcard::take_from_bytes(rest)?;
        }
        Ok((news, rest))
    }

    /// Applies the news of `sender`, if it is known. `transit` is an upper bound on the time that
    /// they were on their way.
    pub(super) fn apply(
        mut self,
        router: &Router,
        sender: Option<RouterId>,
        transit: Option<Duration>,
        source: &str,
    ) {
        let has_limits = !self.limits.is_empty();
        self.crashes.add_transit(transit);
        self.limits.add_transit(transit);
        if !self.crashes.is_empty() {
            let now = router.now();
            let mut dispatcher = router.dispatcher.borrow_mut();
            dispatcher.on_crash_news(&self.crashes, now);
            drop(dispatcher);
            router.log_evidence_changes(source);
        }
        if has_limits {
            router.on_limit_news(&self.limits, sender, source);
        }
    }
}

/// What a router tells all others, whether it has callers or not.
#[derive(Debug, Default)]
pub(super) struct FleetNews {
    evacuations: EvacuationNews,
    cold: ColdNews,
    speeds: SpeedNews,
    work: WorkNews,
    lapse: LapseNews,
    /// The evidence on crashes after the first event of an answer.
    late_crashes: LateCrashNews,
}

/// Encodes the fleet news for a digest, with at most `speeds_max` speeds of engines and with what the
/// endpoints of the digest still have to do.
pub(super) fn encode_fleet(
    router: &Router,
    speeds_max: usize,
    endpoints: &[EndpointDigest],
) -> Vec<u8> {
    encode_fleet_with(router, false, speeds_max, CRASH_REPORTS_MAX, endpoints)
}

/// Encodes the fleet news for a router that starts.
pub(super) fn encode_fleet_for_start(router: &Router) -> Vec<u8> {
    encode_fleet_with(router, true, VIEW_SPEEDS_MAX, usize::MAX, &[])
}

fn encode_fleet_with(
    router: &Router,
    includes_heard: bool,
    speeds_max: usize,
    crash_reports_max: usize,
    endpoints: &[EndpointDigest],
) -> Vec<u8> {
    let evacuations = router.evacuations.borrow().to_news();
    let now = router.now();
    let mut dispatcher = router.dispatcher.borrow_mut();
    let cold = dispatcher.cold_news(includes_heard, now);
    let speeds = dispatcher.speed_news(speeds_max, now);
    let work = dispatcher.work_news(endpoints);
    let late_crashes = dispatcher.late_crash_news(crash_reports_max, now);
    drop(dispatcher);
    let lapse = router.endpoints.borrow().lapse_news(now);
    postcard::to_stdvec(&(evacuations, cold, speeds, work, lapse, late_crashes)).unwrap_or_else(
        |error| {
            let fields = json!({"error": error.to_string()});
            router
                .log
                .write(Importance::Essential, "news_unwritable", fields);
            Vec::new()
        },
    )
}

impl FleetNews {
    /// Decodes fleet news; routers of an earlier version leave out the last parts or all.
    pub(super) fn decode(encoded: &[u8]) -> Result<Self, postcard::Error> {
        let mut news = Self::default();
        let mut rest = encoded;
        if !rest.is_empty() {
            (news.evacuations, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            (news.cold, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            (news.speeds, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            (news.work, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            (news.lapse, rest) = postcard::take_from_bytes(rest)?;
        }
        if !rest.is_empty() {
            (news.late_crashes, _) = postcard::take_from_bytes(rest)?;
        }
        Ok(news)
    }

    /// Applies the news; `digest` is the one that they follow, if any. `transit` is an upper bound on
    /// the time that they were on their way.
    pub(super) fn apply(
        self,
        router: &Router,
        digest: Option<&Digest>,
        transit: Option<Duration>,
        source: &str,
    ) {
        router.on_cold_news(&self.cold, transit, source);
        router.on_evacuation_news(self.evacuations, source);
        router.on_lapse_news(&self.lapse, transit, source);
        let mut crashes = CrashNews {
            after_first_event: self.late_crashes,
            ..CrashNews::default()
        };
        crashes.add_transit(transit);
        if !crashes.is_empty() {
            let now = router.now();
            router.dispatcher.borrow_mut().on_crash_news(&crashes, now);
            router.log_evidence_changes(source);
        }
        let mut dispatcher = router.dispatcher.borrow_mut();
        dispatcher.on_speed_news(&self.speeds, router.now());
        if let Some(digest) = digest {
            dispatcher.on_work_news(digest, &self.work);
        }
    }
}

/// Logs news that can't be decoded, which are ignored.
pub(super) fn log_unreadable(router: &Router, error: &postcard::Error, source: &str) {
    let fields = json!({"error": error.to_string(), "source": source});
    router
        .log
        .write(Importance::Essential, "news_unreadable", fields);
}

#[cfg(test)]
mod tests;
