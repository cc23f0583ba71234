//! The endpoints that registered themselves, as the store last showed them.
//!
//! Load pattern: endpoints come, drain, crash and return under the same name while
//! some of their reports arrive late or twice. An older report never undoes a newer
//! one, and an entry that lapsed during an outage of the store is kept for as long
//! as the store grants its owner to write it again.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_objects::EndpointId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::time::Timestamp;

/// How long after the store's return an entry that vanishes may be one that lapsed.
///
/// Owners that live write theirs again within about two seconds of its return.
const LAPSES_SEEN_FOR: Duration = Duration::from_millis(2_300);
/// How long such an entry is used after it vanished: below the two seconds for which an
/// endpoint that did leave still serves, since the outage may have been this router's alone.
const LAPSED_KEPT: Duration = Duration::from_millis(1_700);
/// How long the reports of an endpoint that has gone are remembered.
const GONE_REMEMBERED: Duration = Duration::from_secs(30);
/// How long an endpoint that said itself that it leaves is remembered: many times what one
/// takes to finish, as its entry may go on to say that it takes requests.
const LEAVING_REMEMBERED: Duration = Duration::from_secs(600);

/// Whether new requests may go to an endpoint.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum EndpointState {
    /// It takes requests.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// What an endpoint said of itself.
#[daisynotch_macros::value]
pub struct EndpointEntry {
    /// Its name; a restart may keep it.
    pub name: Arc<str>,
    /// Tells its starts apart: the wall-clock time of the start, in milliseconds.
    pub started_unix_ms: u64,
    /// Counts its reports since the start.
    pub report_seq: u64,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: EndpointState,
}

impl EndpointEntry {
    /// Identifies this start of the endpoint on all routers.
    pub fn id(&self) -> EndpointId {
        let hash = xxh3_64_with_seed(self.name.as_bytes(), self.started_unix_ms);
        EndpointId(hash as u32)
    }

    fn age_key(&self) -> (u64, u64) {
        (self.started_unix_ms, self.report_seq)
    }
}

/// A start of an endpoint whose entry has gone.
#[daisynotch_macros::message]
pub struct DepartedEndpoint {
    /// Its name.
    pub name: String,
    /// The wall-clock time of the start, in milliseconds.
    pub started_unix_ms: u64,
    /// Its last report that was seen.
    pub report_seq: u64,
}

/// What a change means for those who place requests.
#[daisynotch_macros::value]
pub enum EndpointChange {
    /// An endpoint is new or said something new of itself.
    Usable(EndpointEntry),
    /// No new request may go there.
    Closed(EndpointId),
}

#[derive(Debug)]
struct Known {
    entry: EndpointEntry,
    /// When the entry vanished, if it did and is still used.
    lapsed_at: Option<Timestamp>,
}

/// All endpoints that are known.
#[derive(Debug, Default)]
pub struct EndpointList {
    known: HashMap<Arc<str>, Known>,
    gone: HashMap<Arc<str>, ((u64, u64), Timestamp)>,
    /// Starts of endpoints that said in an answer that they leave, and when that was heard.
    leaving: HashMap<EndpointId, Timestamp>,
    /// Until when a vanished entry may be one that lapsed in an outage.
    lapses_until: Timestamp,
}

impl EndpointList {
    /// Notes that the store answers again after an outage.
    pub fn on_store_recovery(&mut self, now: Timestamp) {
        self.lapses_until = now + LAPSES_SEEN_FOR;
    }

    /// Says whether a report is older than what is known, as one in a copy of the store may be.
    pub fn is_outdated(&self, entry: &EndpointEntry) -> bool {
        let gone = self.gone.get(&entry.name);
        let known = self.known.get(&entry.name);
        gone.is_some_and(|(last, _)| entry.age_key() <= *last)
            || known.is_some_and(|known| entry.age_key() < known.entry.age_key())
    }

    /// Gives the endpoints that left lately, for routers that start.
    pub fn departed(&self) -> impl Iterator<Item = DepartedEndpoint> {
        let gone = self.gone.iter();
        gone.map(
            |(name, ((started_unix_ms, report_seq), _))| DepartedEndpoint {
                name: name.to_string(),
                started_unix_ms: *started_unix_ms,
                report_seq: *report_seq,
            },
        )
    }

    /// Takes another router's word that an endpoint left.
    pub fn on_departed(
        &mut self,
        departed: &DepartedEndpoint,
        now: Timestamp,
    ) -> Vec<EndpointChange> {
        let age_key = (departed.started_unix_ms, departed.report_seq);
        let known = self.known.get(departed.name.as_str());
        match known {
            Some(known) if known.entry.age_key() > age_key => Vec::new(),
            Some(_) => self.forget(&departed.name, now),
            None => {
                let gone = self.gone.entry(Arc::from(departed.name.as_str()));
                let (last, _) = gone.or_insert((age_key, now));
                *last = age_key.max(*last);
                Vec::new()
            }
        }
    }

    /// Takes a report; an older one than the last is ignored.
    pub fn write(&mut self, entry: EndpointEntry) -> Vec<EndpointChange> {
        let mut changes = Vec::new();
        if self.is_outdated(&entry) {
            return changes;
        }
        if let Some(known) = self.known.get(&entry.name)
            && known.entry.id() != entry.id()
        {
            changes.push(EndpointChange::Closed(known.entry.id()));
        }
        self.gone.remove(&entry.name);
        let is_usable =
            entry.state == EndpointState::Ready && !self.leaving.contains_key(&entry.id());
        changes.push(if is_usable {
            EndpointChange::Usable(entry.clone())
        } else {
            EndpointChange::Closed(entry.id())
        });
        let name = Arc::clone(&entry.name);
        let lapsed_at = None;
        self.known.insert(name, Known { entry, lapsed_at });
        changes
    }

    /// Takes the removal of an entry, or one that can't be read.
    pub fn remove(&mut self, name: &str, now: Timestamp) -> Vec<EndpointChange> {
        let Some(known) = self.known.get_mut(name) else {
            return Vec::new();
        };
        if now < self.lapses_until {
            known.lapsed_at.get_or_insert(now);
            return Vec::new();
        }
        self.forget(name, now)
    }

    /// Takes an endpoint's own word, heard here or by another router, that it leaves.
    ///
    /// It binds for good: only another start takes requests again, whatever the entry says.
    pub fn on_leaving(&mut self, id: EndpointId, now: Timestamp) -> Vec<EndpointChange> {
        if self.leaving.contains_key(&id) {
            return Vec::new();
        }
        self.leaving.insert(id, now);
        vec![EndpointChange::Closed(id)]
    }

    /// Gives the endpoints whose word that they leave was first heard within a time.
    pub fn leaving_within(
        &self,
        window: Duration,
        now: Timestamp,
    ) -> impl Iterator<Item = EndpointId> {
        let heard = self.leaving.iter();
        heard.filter_map(move |(id, at)| (now.since(*at) < window).then_some(*id))
    }

    /// Gives all endpoints that are known to leave, for routers that start.
    pub fn leaving(&self) -> impl Iterator<Item = EndpointId> {
        self.leaving.keys().copied()
    }

    /// Takes a whole listing: what it lacks has vanished.
    pub fn replace(&mut self, entries: Vec<EndpointEntry>, now: Timestamp) -> Vec<EndpointChange> {
        let names = self.known.keys();
        let is_listed = |name: &Arc<str>| entries.iter().any(|entry| entry.name == *name);
        let missing: Vec<Arc<str>> = names.filter(|name| !is_listed(name)).cloned().collect();
        let mut changes = Vec::new();
        for name in missing {
            changes.extend(self.remove(&name, now));
        }
        for entry in entries {
            changes.extend(self.write(entry));
        }
        changes
    }

    /// Gives up entries that lapsed and did not come back in time.
    pub fn expire(&mut self, now: Timestamp) -> Vec<EndpointChange> {
        self.gone
            .retain(|_, (_, at)| now.since(*at) < GONE_REMEMBERED);
        self.leaving
            .retain(|_, at| now.since(*at) < LEAVING_REMEMBERED);
        let is_over = |known: &Known| {
            known
                .lapsed_at
                .is_some_and(|at| now.since(at) >= LAPSED_KEPT)
        };
        let lapsed = self.known.iter().filter(|(_, known)| is_over(known));
        let lapsed: Vec<Arc<str>> = lapsed.map(|(name, _)| Arc::clone(name)).collect();
        lapsed
            .iter()
            .flat_map(|name| self.forget(name, now))
            .collect()
    }

    /// Gives all entries, for routers that can't reach the store.
    pub fn entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.known.values().map(|known| &known.entry)
    }

    fn forget(&mut self, name: &str, now: Timestamp) -> Vec<EndpointChange> {
        let Some((name, known)) = self.known.remove_entry(name) else {
            return Vec::new();
        };
        self.gone.insert(name, (known.entry.age_key(), now));
        vec![EndpointChange::Closed(known.entry.id())]
    }
}

#[cfg(test)]
mod tests;
