//! Which endpoints are presumed cold, and until when.
//!
//! Load pattern: engines start, return and restart under traffic, often all of a zone at once, while
//! hundreds of routers choose among them. An endpoint that started lately tolerates few requests per
//! second from all routers together. Its entry says so up to two seconds late, so routers presume it
//! from other signs, too. See `docs/design/cold-endpoints.md`.

mod news;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_objects::EndpointId;

pub use self::news::{ColdNews, FailedEndpoint, ReturnedZone};
use super::endpoints::EndpointEntry;
use super::routes::ColdStart;
use super::shared_limits::{Budget, RequestRate};
use crate::time::Timestamp;

/// How long after a sign an entry may arrive that was written before it: entries are up to 0.8 s
/// late, and routers learn of a sign at different times.
const ENTRY_LATENESS_MAX: Duration = Duration::from_millis(1_200);
/// How long a start is remembered after its entry was removed, so that it is not taken for a new
/// one when the entry appears again.
const CLOSED_RETENTION: Duration = Duration::from_secs(600);
/// How long the end of an evacuation is remembered after the zone's endpoints are warm, so that what
/// other routers say of it is not taken for another one.
const RETURNED_RETENTION: Duration = Duration::from_secs(10);
/// Pause from which a router counts as having stood still: it is active in each round of digests.
const STANDSTILL_MIN: Duration = Duration::from_millis(500);
/// Time for which bytes may be on their way: a request that was sent this shortly before the last
/// byte of another one may have reached a later start.
const IN_FLIGHT_MAX: Duration = Duration::from_millis(20);

/// The rate that is divided among routers, as a multiple of the rate that a cold endpoint
/// tolerates. The excess makes up for parts of routers that have no work at the moment.
const RATE_FACTOR: f64 = 1.1;
/// The rate that two views of the fleet may add, as a fraction of the divided rate.
const VIEWS_RESERVE: f64 = 0.34;
/// Requests that all routers together may send at once at most.
const BURST_MAX: f64 = 4.0;
/// Fraction of the allowed requests that is planned with.
const PLANNED_FRACTION: f64 = 0.95;

/// How many requests in one second a cold endpoint gets at most from all routers together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdSettings {
    /// The bound as a multiple of the rate that the endpoint tolerates.
    pub overrun: f64,
    /// Requests that the bound allows in addition.
    pub tolerance: f64,
}

impl Default for ColdSettings {
    fn default() -> Self {
        Self {
            overrun: 1.5,
            tolerance: 5.0,
        }
    }
}

impl ColdSettings {
    /// Returns the rate and the burst that keep the bound in each second even if two views of the
    /// fleet overlap.
    pub(crate) fn budget(self, rate: RequestRate) -> Budget {
        let allowed = (rate.per_s() * self.overrun + self.tolerance) * PLANNED_FRACTION;
        let per_s = (rate.per_s() * RATE_FACTOR).min((allowed - 1.0) / (1.0 + VIEWS_RESERVE));
        let per_s = per_s.max(Budget::RATE_MIN_PER_S);
        let burst = allowed - per_s * (1.0 + VIEWS_RESERVE);
        Budget {
            per_s,
            burst: burst.clamp(1.0, BURST_MAX),
        }
    }
}

/// Why an endpoint is presumed cold.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum ColdReason {
    /// The endpoint states it.
    Stated,
    /// The start of the endpoint is new.
    NewStart,
    /// The evacuation of the endpoint's zone ended.
    ZoneReturned,
    /// The endpoint could not be reached, or was silent, and may have restarted.
    Failed,
}

impl ColdReason {
    /// Returns the reason's name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stated => "stated",
            Self::NewStart => "new_start",
            Self::ZoneReturned => "zone_returned",
            Self::Failed => "failed",
        }
    }
}

/// A change of whether an endpoint is presumed cold.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct ColdChange {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// How long the endpoint is presumed cold from now; `None` if it is warm.
    pub remaining: Option<Duration>,
    /// Why it is, or was, presumed cold.
    pub reason: ColdReason,
}

/// A sign that an endpoint is cold, other than its own statement.
#[derive(Debug, Clone, Copy)]
struct Sign {
    /// When the first sign of this series was seen.
    since: Timestamp,
    /// When the latest one was.
    at: Timestamp,
    reason: ColdReason,
}

/// How long an endpoint stated that it stays cold.
#[derive(Debug, Clone, Copy)]
struct Statement {
    arrived_at: Timestamp,
    until: Timestamp,
    /// Whether the endpoint was asked for it, so that it is no older than the question.
    is_answer: bool,
}

/// What is known of one start of an endpoint.
#[derive(Debug)]
struct KnownStart {
    service: Arc<str>,
    zone: Arc<str>,
    report_seq: u64,
    stated: Option<Statement>,
    sign: Option<Sign>,
    /// When this router itself last saw a failure that nothing refuted.
    own_failure_at: Option<Timestamp>,
    /// A time in which the same process answered: from the sending of a request to the arrival of
    /// its bytes, and over requests that overlap.
    alive: (Timestamp, Timestamp),
    /// Why it was presumed cold in the latest look, and until when.
    reported: Option<(Timestamp, ColdReason)>,
    seen_at: Timestamp,
}

impl KnownStart {
    /// Returns until when the endpoint is presumed cold, and why.
    fn cold_until(&self, cold: &ColdStart) -> Option<(Timestamp, ColdReason)> {
        let stated = self.stated.map(|stated| (stated.until, ColdReason::Stated));
        let Some(sign) = self.sign else {
            return stated;
        };
        let lateness = match sign.reason {
            ColdReason::NewStart => Duration::ZERO,
            _ => ENTRY_LATENESS_MAX,
        };
        let is_answered = self.stated.is_some_and(|stated| {
            let lateness = if stated.is_answer {
                Duration::ZERO
            } else {
                lateness
            };
            stated.arrived_at >= sign.at + lateness
        });
        if is_answered {
            return stated;
        }
        let signed = Some((sign.at + cold.lasts, sign.reason));
        signed.max_by_key_of(stated)
    }

    fn add_sign(&mut self, since: Timestamp, at: Timestamp, reason: ColdReason, lasts: Duration) {
        let sign = self.sign.get_or_insert(Sign { since, at, reason });
        let is_same_series = since <= sign.at + lasts;
        sign.since = if is_same_series {
            sign.since.min(since)
        } else {
            since
        };
        if at >= sign.at {
            sign.at = at;
            sign.reason = reason;
        }
    }

    /// Returns whether the same process answered before a failure and after it.
    fn is_refuted(&self, since: Timestamp, at: Timestamp) -> bool {
        let (from, to) = self.alive;
        from + IN_FLIGHT_MAX <= since && to >= at
    }

    fn refute_failures(&mut self) {
        if let Some(sign) = self.sign
            && sign.reason == ColdReason::Failed
            && self.is_refuted(sign.since, sign.at)
        {
            self.sign = None;
            self.own_failure_at = None;
        }
    }
}

/// Selects the presumption that ends later.
trait LaterEnd {
    fn max_by_key_of(self, other: Self) -> Self;
}

impl LaterEnd for Option<(Timestamp, ColdReason)> {
    fn max_by_key_of(self, other: Self) -> Self {
        match (self, other) {
            (Some(left), Some(right)) if right.0 > left.0 => Some(right),
            (Some(left), _) => Some(left),
            (None, right) => right,
        }
    }
}

/// The endpoints that are presumed cold.
#[derive(Debug, Default)]
pub(crate) struct ColdStarts {
    /// How the endpoints of services start, of those whose endpoints are ever cold.
    services: HashMap<Arc<str>, ColdStart>,
    known: HashMap<EndpointId, KnownStart>,
    /// Whether the endpoints were listed, so that those which appear now are new.
    is_listed: bool,
    /// When this router last did something, and when it last went on after it had stood still.
    active_at: Timestamp,
    resumed_at: Timestamp,
    /// Zones whose evacuation ended lately.
    returned_zones: HashMap<Arc<str>, Timestamp>,
    changes: Vec<ColdChange>,
}

impl ColdStarts {
    /// Sets how the endpoints of services start.
    pub(crate) fn set_services(&mut self, services: HashMap<Arc<str>, ColdStart>) {
        self.services = services;
    }

    /// Returns the services whose endpoints are ever cold.
    pub(crate) fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.keys()
    }

    /// Returns whether no endpoint is ever cold.
    pub(crate) fn is_off(&self) -> bool {
        self.services.is_empty()
    }

    /// Records that all endpoints were listed.
    pub(crate) fn on_listed(&mut self) {
        self.is_listed = true;
    }

    /// Notes that this router is active. What it reads after it stood still may have arrived long
    /// before.
    fn note_active(&mut self, now: Timestamp) {
        let is_first = self.active_at == Timestamp::default();
        if !is_first && now.since(self.active_at) >= STANDSTILL_MIN {
            self.resumed_at = now;
        }
        self.active_at = now;
    }

    /// Processes an entry that is in force.
    pub(crate) fn on_entry(&mut self, entry: &EndpointEntry, now: Timestamp) {
        self.note_active(now);
        let may_be_old =
            self.resumed_at != Timestamp::default() && now < self.resumed_at + ENTRY_LATENESS_MAX;
        let id = entry.id();
        let is_new = !self.known.contains_key(&id);
        let returned_at = self.returned_zones.get(&entry.zone).copied();
        let known = self.known.entry(id).or_insert_with(|| KnownStart {
            service: Arc::clone(&entry.service),
            zone: Arc::clone(&entry.zone),
            report_seq: 0,
            stated: None,
            sign: None,
            own_failure_at: None,
            alive: (now, Timestamp::default()),
            reported: None,
            seen_at: now,
        });
        known.seen_at = now;
        known.service = Arc::clone(&entry.service);
        known.zone = Arc::clone(&entry.zone);
        // The same report may be listed again and says nothing new then.
        if (is_new || entry.report_seq > known.report_seq)
            && let Some(remaining) = entry.cold_remaining
        {
            let until = now + remaining;
            // The entry may have been written before the endpoint answered.
            let is_doubtful = known.stated.is_some_and(|stated| {
                may_be_old || stated.is_answer && now < stated.arrived_at + ENTRY_LATENESS_MAX
            });
            match &mut known.stated {
                Some(stated) if is_doubtful => stated.until = stated.until.max(until),
                stated => {
                    *stated = Some(Statement {
                        arrived_at: now,
                        until,
                        is_answer: false,
                    });
                }
            }
        }
        known.report_seq = entry.report_seq;
        let Some(cold) = self.services.get(&entry.service).filter(|_| is_new) else {
            return;
        };
        if self.is_listed {
            known.add_sign(now, now, ColdReason::NewStart, cold.lasts);
        }
        if let Some(at) = returned_at {
            known.add_sign(at, at, ColdReason::ZoneReturned, cold.lasts);
        }
    }

    /// Records what an endpoint states when it is asked.
    pub(crate) fn on_answer(
        &mut self,
        endpoint: EndpointId,
        remaining: Duration,
        asked_at: Timestamp,
        now: Timestamp,
    ) {
        if let Some(known) = self.known.get_mut(&endpoint) {
            known.stated = Some(Statement {
                arrived_at: asked_at,
                until: now + remaining,
                is_answer: true,
            });
        }
    }

    /// Records that this router could not reach an endpoint, or that it was silent.
    pub(crate) fn on_failure(&mut self, endpoint: EndpointId, now: Timestamp) {
        let Some(known) = self.known.get_mut(&endpoint) else {
            return;
        };
        if let Some(cold) = self.services.get(&known.service) {
            known.add_sign(now, now, ColdReason::Failed, cold.lasts);
            known.own_failure_at = Some(now);
        }
    }

    /// Records that a byte arrived on a request that was sent at `sent_at`.
    pub(crate) fn on_byte(&mut self, endpoint: EndpointId, sent_at: Timestamp, now: Timestamp) {
        if self.is_off() {
            return;
        }
        self.note_active(now);
        let Some(known) = self.known.get_mut(&endpoint) else {
            return;
        };
        // Bytes of the time before may have been waiting to be read.
        if sent_at < self.resumed_at {
            return;
        }
        let (from, to) = known.alive;
        let from = if sent_at + IN_FLIGHT_MAX <= to {
            from.min(sent_at)
        } else {
            sent_at
        };
        known.alive = (from, now);
        known.refute_failures();
    }

    /// Records that the evacuation of a zone ended.
    pub(crate) fn on_zone_returned(&mut self, zone: &Arc<str>, at: Timestamp) {
        self.returned_zones.insert(Arc::clone(zone), at);
        for known in self.known.values_mut().filter(|known| known.zone == *zone) {
            if let Some(cold) = self.services.get(&known.service) {
                known.add_sign(at, at, ColdReason::ZoneReturned, cold.lasts);
            }
        }
    }

    /// Returns the longest time for which an endpoint of any service is cold.
    fn lasts_max(&self) -> Duration {
        let lasts = self.services.values().map(|cold| cold.lasts);
        lasts.max().unwrap_or_default()
    }

    /// Returns the endpoints that are presumed cold, with the rate that each tolerates, and notes
    /// what changed.
    pub(crate) fn refresh(&mut self, now: Timestamp) -> HashMap<EndpointId, RequestRate> {
        self.note_active(now);
        let mut cold_rates = HashMap::new();
        for (endpoint, known) in &mut self.known {
            let cold = self.services.get(&known.service);
            let until = cold.and_then(|cold| known.cold_until(cold));
            let until = until.filter(|(until, _)| *until > now);
            if let (Some(cold), Some(_)) = (cold, until) {
                cold_rates.insert(*endpoint, cold.rate);
            }
            let reported = std::mem::replace(&mut known.reported, until);
            let changed = match (reported, until) {
                (None, Some((until, reason))) => Some((Some(until.since(now)), reason)),
                (Some((_, reason)), None) => Some((None, reason)),
                _ => None,
            };
            self.changes
                .extend(changed.map(|(remaining, reason)| ColdChange {
                    endpoint: *endpoint,
                    remaining,
                    reason,
                }));
        }
        cold_rates
    }

    /// Forgets starts whose entries disappeared long ago, and zones that are warm by now.
    pub(crate) fn expire(&mut self, is_listed: impl Fn(EndpointId) -> bool, now: Timestamp) {
        self.known.retain(|endpoint, known| {
            if is_listed(*endpoint) {
                known.seen_at = now;
            }
            now.since(known.seen_at) < CLOSED_RETENTION
        });
        let retention = self.lasts_max() + RETURNED_RETENTION;
        self.returned_zones
            .retain(|_, at| now.since(*at) < retention);
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> Vec<ColdChange> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the number of endpoints that were presumed cold in the latest look.
    pub(crate) fn cold_len(&self) -> usize {
        let known = self.known.values();
        known.filter(|known| known.reported.is_some()).count()
    }
}

#[cfg(test)]
mod tests;
