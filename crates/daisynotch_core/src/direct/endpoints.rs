//! The registered endpoints, as last read from the store.
//!
//! Endpoints start, drain, crash and restart under the same name, and some of their reports
//! arrive late or twice. An older report does not override a newer one, unless the endpoint keeps
//! reporting: another writer may have claimed a later start under its name. An entry that lapsed
//! during a store outage is kept for as long as the store gives its owner to write it again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_objects::EndpointId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::Timestamp;

/// Time after the store's recovery during which a missing entry may have lapsed in the outage.
///
/// Live endpoints write their entries again within about two seconds of the recovery.
const LAPSE_WINDOW: Duration = Duration::from_millis(2_300);
/// How much earlier than a leaving endpoint stops serving such an entry is out of use, since the
/// endpoint may really have left: a removal takes up to two digests to get here, and a request takes
/// some time to arrive.
const DRAIN_MARGIN: Duration = Duration::from_millis(300);
/// Part of the interval between an endpoint's reports for which the store must have been out of
/// reach if an entry has lapsed for that: an entry outlives two reports that are missing, and reports
/// come at about their interval.
const LAPSE_OUTAGE_FRACTION: f64 = 0.75;
/// Time on the way that is assumed for a message whose own is unknown.
const TRANSIT_UNKNOWN: Duration = Duration::from_millis(200);
/// How long the last report of a departed endpoint is remembered.
const DEPARTED_RETENTION: Duration = Duration::from_secs(30);
/// How long an endpoint that announced that it leaves is remembered. Its entry may continue to
/// report it as ready, so this is many times what an endpoint takes to finish.
const LEAVING_RETENTION: Duration = Duration::from_secs(600);

/// How long ascending reports must arrive until they override a report that claims to be newer.
///
/// A write may take effect seconds late, but only a running endpoint keeps writing.
const OVERRIDE_AFTER: Duration = Duration::from_secs(5);
/// Number of ascending reports before the one that overrides: several writes may take effect late.
const OVERRIDE_REPORTS_MIN: u32 = 3;

/// Whether new requests may go to an endpoint.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum EndpointState {
    /// The endpoint accepts requests.
    Ready,
    /// The endpoint finishes its open requests and leaves.
    Draining,
}

/// An endpoint's latest report about itself.
#[daisynotch_macros::value]
pub struct EndpointEntry {
    /// The endpoint's name, which a restart may keep.
    pub name: Arc<str>,
    /// The wall-clock time of the start, in milliseconds; distinguishes the endpoint's starts.
    pub started_unix_ms: u64,
    /// Counts the endpoint's reports since the start.
    pub report_seq: u64,
    /// The service that the endpoint belongs to.
    pub service: Arc<str>,
    /// The address at which the endpoint listens.
    pub address: SocketAddr,
    /// The endpoint's availability zone.
    pub zone: Arc<str>,
    /// The number of requests that the endpoint runs concurrently.
    pub slots: u32,
    /// Whether the endpoint accepts requests.
    pub state: EndpointState,
    /// How long the endpoint stays cold after the report; `None` if it does not say.
    pub cold_remaining: Option<Duration>,
}

impl EndpointEntry {
    /// Returns the identifier of this start of the endpoint, which is the same on all routers.
    pub fn id(&self) -> EndpointId {
        let hash = xxh3_64_with_seed(self.name.as_bytes(), self.started_unix_ms);
        EndpointId(hash as u32)
    }

    fn report_order(&self) -> (u64, u64) {
        (self.started_unix_ms, self.report_seq)
    }
}

/// A start of an endpoint whose entry was removed from the store.
#[daisynotch_macros::message]
pub struct DepartedEndpoint {
    /// The endpoint's name.
    pub name: String,
    /// The wall-clock time of the start, in milliseconds.
    pub started_unix_ms: u64,
    /// The sequence number of the last report that was seen.
    pub report_seq: u64,
}

/// How endpoints keep their entries, and how long they serve once an entry is gone.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct EndpointTiming {
    /// The interval at which an endpoint reports to the store.
    pub report_interval: Duration,
    /// How long an endpoint serves after it has left.
    pub drain_time: Duration,
}

impl EndpointTiming {
    /// Returns the shortest outage of the store in which the entry of a live endpoint may lapse.
    pub fn lapse_outage_min(&self) -> Duration {
        self.report_interval.mul_f64(LAPSE_OUTAGE_FRACTION)
    }

    fn lapsed_grace_period(&self) -> Duration {
        let latest = self.drain_time.saturating_sub(DRAIN_MARGIN);
        latest.min(LAPSE_WINDOW)
    }
}

impl Default for EndpointTiming {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_millis(1_200),
            drain_time: Duration::from_millis(2_000),
        }
    }
}

/// Word that entries of live endpoints may have lapsed in an outage of the store, for routers that
/// do not read it.
#[daisynotch_macros::message]
#[derive(Copy, Default)]
pub struct LapseNews {
    /// For how long a missing entry may still have lapsed; 0 if none may.
    pub window_left_ms: u32,
}

/// A change to the set of endpoints on which requests may be placed.
#[daisynotch_macros::value]
pub enum EndpointChange {
    /// The endpoint is new or changed its report.
    Usable(EndpointEntry),
    /// No new request may go to the endpoint.
    Closed(EndpointId),
}

#[derive(Debug)]
struct KnownEndpoint {
    entry: EndpointEntry,
    /// Until when the endpoint is used without an entry, if the entry disappeared.
    lapsed_until: Option<Timestamp>,
}

/// Reports of an endpoint that are older than its known one.
#[derive(Debug)]
struct OutdatedReports {
    first_at: Timestamp,
    latest_at: Timestamp,
    latest: (u64, u64),
    ascending: u32,
}

/// The known endpoints, and the departed and leaving ones that must not be used again.
#[derive(Debug, Default)]
pub struct EndpointList {
    known: HashMap<Arc<str>, KnownEndpoint>,
    departed: HashMap<Arc<str>, ((u64, u64), Timestamp)>,
    /// Reports that were ignored since the last one that was not.
    outdated: HashMap<Arc<str>, OutdatedReports>,
    /// Starts of endpoints that announced in an answer that they leave, with the time at which
    /// this router first learned of it.
    leaving: HashMap<EndpointId, Timestamp>,
    /// Until when a missing entry may have lapsed in a store outage.
    lapse_window_ends_at: Timestamp,
    /// How long an entry that disappears until then stays in use.
    lapsed_grace_period: Duration,
}

impl EndpointList {
    /// Records that the store answers again after an `outage`. Returns whether it was long enough
    /// for the entries of live endpoints to lapse.
    pub fn on_store_recovery(
        &mut self,
        outage: Duration,
        timing: &EndpointTiming,
        now: Timestamp,
    ) -> bool {
        let is_long = (outage >= timing.lapse_outage_min()
            || is_seeded(SeededFault::CountAnyFailure))
            && !is_seeded(SeededFault::IgnoreOutages);
        if is_long {
            self.on_entries_lost(timing, now);
        }
        is_long
    }

    /// Records that the store may lack entries of live endpoints, as one that was restored from a
    /// backup does.
    pub fn on_entries_lost(&mut self, timing: &EndpointTiming, now: Timestamp) {
        self.lapse_window_ends_at = now + LAPSE_WINDOW;
        self.lapsed_grace_period = timing.lapsed_grace_period();
    }

    /// Returns what other routers should know of lapsed entries.
    pub fn lapse_news(&self, now: Timestamp) -> LapseNews {
        let left = self.lapse_window_ends_at.since(now);
        LapseNews {
            window_left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        }
    }

    /// Processes another router's word. `transit` is an upper bound on the time that it was on its
    /// way, without which it would prolong itself as routers pass it on in a circle. Returns whether
    /// entries may lapse that could not before.
    pub fn on_lapse_news(
        &mut self,
        news: &LapseNews,
        transit: Option<Duration>,
        timing: &EndpointTiming,
        now: Timestamp,
    ) -> bool {
        let left = Duration::from_millis(u64::from(news.window_left_ms)).min(LAPSE_WINDOW);
        let transit = transit.unwrap_or(TRANSIT_UNKNOWN);
        let ends_at = now + left.saturating_sub(transit);
        if ends_at <= self.lapse_window_ends_at.max(now) {
            return false;
        }
        let is_new = self.lapse_window_ends_at <= now;
        self.lapse_window_ends_at = ends_at;
        self.lapsed_grace_period = timing.lapsed_grace_period();
        is_new
    }

    /// Returns whether a report is ignored because it is older than the known one, as reports in a
    /// restored store may be.
    pub fn is_outdated(&self, entry: &EndpointEntry, now: Timestamp) -> bool {
        let overrides = |outdated: &OutdatedReports| {
            entry.report_order() > outdated.latest
                && outdated.ascending >= OVERRIDE_REPORTS_MIN
                && now.since(outdated.first_at) >= OVERRIDE_AFTER
        };
        self.is_older(entry) && !self.outdated.get(&entry.name).is_some_and(overrides)
    }

    fn is_older(&self, entry: &EndpointEntry) -> bool {
        let departed = self.departed.get(&entry.name);
        let known = self.known.get(&entry.name);
        departed.is_some_and(|(last, _)| entry.report_order() <= *last)
            || known.is_some_and(|known| entry.report_order() < known.entry.report_order())
    }

    /// Returns the endpoints that left lately, for routers that start.
    pub fn departed(&self) -> impl Iterator<Item = DepartedEndpoint> {
        let departed = self.departed.iter();
        departed.map(
            |(name, ((started_unix_ms, report_seq), _))| DepartedEndpoint {
                name: name.to_string(),
                started_unix_ms: *started_unix_ms,
                report_seq: *report_seq,
            },
        )
    }

    /// Processes another router's report that an endpoint left.
    pub fn on_departed(
        &mut self,
        departed: &DepartedEndpoint,
        now: Timestamp,
    ) -> Vec<EndpointChange> {
        let report_order = (departed.started_unix_ms, departed.report_seq);
        let known = self.known.get(departed.name.as_str());
        match known {
            Some(known) if known.entry.report_order() > report_order => Vec::new(),
            Some(_) => self.forget(&departed.name, now),
            None => {
                let entry = self.departed.entry(Arc::from(departed.name.as_str()));
                let (last, _) = entry.or_insert((report_order, now));
                *last = report_order.max(*last);
                Vec::new()
            }
        }
    }

    /// Processes a report, unless [`Self::is_outdated`] holds for it.
    pub fn write(&mut self, entry: EndpointEntry, now: Timestamp) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        if self.is_outdated(&entry, now) {
            self.record_outdated(&entry, now);
            return changes;
        }
        self.outdated.remove(&entry.name);
        if let Some(known) = self.known.get(&entry.name)
            && known.entry.id() != entry.id()
        {
            changes.push(EndpointChange::Closed(known.entry.id()));
        }
        self.departed.remove(&entry.name);
        let is_usable =
            entry.state == EndpointState::Ready && !self.leaving.contains_key(&entry.id());
        changes.push(if is_usable {
            EndpointChange::Usable(entry.clone())
        } else {
            EndpointChange::Closed(entry.id())
        });
        let name = Arc::clone(&entry.name);
        let lapsed_until = None;
        let known = KnownEndpoint {
            entry,
            lapsed_until,
        };
        self.known.insert(name, known);
        changes
    }

    fn record_outdated(&mut self, entry: &EndpointEntry, now: Timestamp) {
        let order = entry.report_order();
        let name = Arc::clone(&entry.name);
        let outdated = self.outdated.entry(name).or_insert(OutdatedReports {
            first_at: now,
            latest_at: now,
            latest: order,
            ascending: 1,
        });
        if order > outdated.latest {
            outdated.ascending += 1;
            outdated.latest = order;
            outdated.latest_at = now;
        }
    }

    /// Processes the removal of an entry, or an entry that can't be decoded.
    pub fn remove(&mut self, name: &str, now: Timestamp) -> Vec<EndpointChange> {
        let Some(known) = self.known.get_mut(name) else {
            return Vec::new();
        };
        if now < self.lapse_window_ends_at {
            let until = now + self.lapsed_grace_period;
            known.lapsed_until.get_or_insert(until);
            return Vec::new();
        }
        self.forget(name, now)
    }

    /// Processes an endpoint's announcement, to this or another router, that it leaves.
    ///
    /// The announcement is final: whatever the entry reports, only another start of the endpoint
    /// gets requests again.
    pub fn on_leaving(&mut self, id: EndpointId, now: Timestamp) -> Vec<EndpointChange> {
        if self.leaving.contains_key(&id) {
            return Vec::new();
        }
        self.leaving.insert(id, now);
        vec![EndpointChange::Closed(id)]
    }

    /// Returns the endpoints of which this router first learned within `window` that they leave.
    pub fn leaving_within(
        &self,
        window: Duration,
        now: Timestamp,
    ) -> impl Iterator<Item = EndpointId> {
        let heard = self.leaving.iter();
        heard.filter_map(move |(id, at)| (now.since(*at) < window).then_some(*id))
    }

    /// Returns all endpoints that are known to leave, for routers that start.
    pub fn leaving(&self) -> impl Iterator<Item = EndpointId> {
        self.leaving.keys().copied()
    }

    /// Processes a complete listing of entries; those that it lacks count as removed.
    pub fn replace(&mut self, entries: Vec<EndpointEntry>, now: Timestamp) -> Vec<EndpointChange> {
        let names = self.known.keys();
        let is_listed = |name: &Arc<str>| entries.iter().any(|entry| entry.name == *name);
        let missing: Vec<Arc<str>> = names.filter(|name| !is_listed(name)).cloned().collect();
        let mut changes = Vec::new();
        for name in missing {
            changes.extend(self.remove(&name, now));
        }
        for entry in entries {
            changes.extend(self.write(entry, now));
        }
        changes
    }

    /// Closes endpoints whose lapsed entries were not written again in time.
    pub fn close_lapsed(&mut self, now: Timestamp) -> Vec<EndpointChange> {
        if is_seeded(SeededFault::KeepLapsedEntries) {
            return Vec::new();
        }
        let is_expired = |known: &KnownEndpoint| known.lapsed_until.is_some_and(|end| now >= end);
        let lapsed = self.known.iter().filter(|(_, known)| is_expired(known));
        let lapsed: Vec<Arc<str>> = lapsed.map(|(name, _)| Arc::clone(name)).collect();
        lapsed
            .iter()
            .flat_map(|name| self.forget(name, now))
            .collect()
    }

    /// Discards old records of departed and leaving endpoints.
    pub fn expire(&mut self, now: Timestamp) {
        self.departed
            .retain(|_, (_, at)| now.since(*at) < DEPARTED_RETENTION);
        self.outdated
            .retain(|_, outdated| now.since(outdated.latest_at) < DEPARTED_RETENTION);
        self.leaving
            .retain(|_, at| now.since(*at) < LEAVING_RETENTION);
    }

    /// Returns all entries, for routers that can't reach the store.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.known.values().map(|known| &known.entry)
    }

    fn forget(&mut self, name: &str, now: Timestamp) -> Vec<EndpointChange> {
        let Some((name, known)) = self.known.remove_entry(name) else {
            return Vec::new();
        };
        self.departed
            .insert(name, (known.entry.report_order(), now));
        vec![EndpointChange::Closed(known.entry.id())]
    }
}

#[cfg(test)]
mod tests;
