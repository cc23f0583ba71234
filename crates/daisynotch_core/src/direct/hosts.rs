//! Which routers there are, and to which of them callers are sent.
//!
//! Load pattern: hosts are killed, frozen, cut off and replaced while callers ask
//! where to connect, and some callers stay with the first address that they get. A router
//! with callers whose digests stop is no longer given out within a second; a router that
//! hears nobody takes itself to be the one cut off and gives out all that it knew.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use daisynotch_objects::RouterId;

use super::digest::{Digest, Heartbeat, HostIntroduction, HostPhase, IntroducedHost};
use super::store_order::{ConfigurationStamp, StorePosition};
use crate::time::Timestamp;

/// Silence after which a router with callers is not given out: three times the longest
/// time between two heartbeats, a lost one included.
const ABSENT_AFTER: Duration = Duration::from_millis(700);
/// The same for a router without callers, which sends every 600 ms to a few that pass its
/// heartbeats on.
const IDLE_ABSENT_AFTER: Duration = Duration::from_millis(5_000);
/// How long routers with callers are still given out where none of them is heard: below
/// the time within which every host must be in touch again.
const CALLERS_REMEMBERED: Duration = Duration::from_millis(3_000);
/// Silence after which a router is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// Another router.
#[daisynotch_macros::value]
pub struct Host {
    /// Who it is.
    pub introduction: HostIntroduction,
    /// When its latest digest came.
    pub heard_at: Timestamp,
    /// Its configuration.
    pub configuration: ConfigurationStamp,
    /// Up to where in the store's history it has seen the endpoints.
    pub endpoints_at: StorePosition,
    /// Requests that reach it a second, for each whole core that it may use.
    pub arrivals_per_core_s: u32,
    /// Its latest digest that came here.
    last_seq: u64,
    /// Its latest digest that anyone told of.
    told_seq: u64,
}

impl Host {
    fn is_present(&self, now: Timestamp) -> bool {
        let absent_after = if self.introduction.has_callers {
            ABSENT_AFTER
        } else {
            IDLE_ABSENT_AFTER
        };
        now.since(self.heard_at) < absent_after
    }

    /// Gives the one of two that has seen more of the store.
    fn ahead_of<'a>(&'a self, other: &'a Self) -> &'a Self {
        if self.configuration.is_same(&other.configuration) {
            return if other.endpoints_at > self.endpoints_at {
                other
            } else {
                self
            };
        }
        if other.configuration.is_newer_than(&self.configuration) {
            other
        } else {
            self
        }
    }

    /// Says whether it has heard from the store or from others since it started.
    pub fn has_store_position(&self) -> bool {
        self.endpoints_at > StorePosition::default()
    }

    fn is_serving(&self) -> bool {
        self.introduction.phase == HostPhase::Serving
    }

    fn heartbeat(&self, now: Timestamp) -> Heartbeat {
        let introduction = &self.introduction;
        let age_ms = now.since(self.heard_at).as_millis();
        Heartbeat {
            router: introduction.id(),
            incarnation: introduction.incarnation,
            seq: self.told_seq,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            phase: introduction.phase,
            is_crowded: introduction.is_crowded,
            has_callers: introduction.has_callers,
            arrivals_per_core_s: self.arrivals_per_core_s,
        }
    }
}

/// Requests a second and core below which a router is never overdrawn: a tenth of the
/// streams that a core can take (the bench `throughput`).
const OVERDRAWN_MIN_PER_CORE_S: u32 = 300;
/// How many times the others' mean a router may carry: twice what chance makes likely.
const OVERDRAWN_FACTOR: f64 = 1.5;

/// Large routers without which small ones are given out too.
const LARGE_MIN: usize = 2;
/// Processor time that is set aside for a request: three times what a stream takes (the
/// bench `throughput`).
const CORE_MS_PER_REQUEST: f64 = 1.0;
/// Age up to which a heartbeat of a router without callers is passed on.
const IDLE_HEARTBEAT_AGE: Duration = Duration::from_millis(2_500);

/// All routers that are known.
#[derive(Debug, Default)]
pub struct HostTable {
    hosts: HashMap<RouterId, Host>,
    /// Addresses that were named by others or found in the store.
    hinted: BTreeMap<SocketAddr, Timestamp>,
}

impl HostTable {
    /// Takes an address at which there may be a router.
    pub fn hint(&mut self, address: SocketAddr, now: Timestamp) {
        self.hinted.entry(address).or_insert(now);
    }

    /// Takes a digest's introduction; gives `false` for one that is late or doubled.
    pub fn on_digest(&mut self, digest: &Digest, now: Timestamp) -> bool {
        let id = digest.host.id();
        if let Some(known) = self.hosts.get(&id) {
            let last = (known.introduction.incarnation, known.last_seq);
            if (digest.host.incarnation, digest.seq) <= last {
                return false;
            }
        }
        self.hinted.remove(&digest.host.peer_address);
        let host = Host {
            introduction: digest.host.clone(),
            heard_at: now,
            configuration: digest.configuration,
            endpoints_at: digest.endpoints_at,
            arrivals_per_core_s: digest.arrivals_per_core_s,
            last_seq: digest.seq,
            told_seq: digest.seq,
        };
        self.hosts.insert(id, host);
        true
    }

    /// Takes what a digest says of other routers than its sender.
    pub fn on_rumors(&mut self, digest: &Digest, own: RouterId, now: Timestamp) {
        for introduced in &digest.introduced {
            if introduced.host.id() != own {
                self.on_introduced(introduced, now);
            }
        }
        for heartbeat in &digest.heartbeats {
            self.on_heartbeat(heartbeat, now);
        }
        for address in &digest.known_hosts {
            let mut hosts = self.hosts.values();
            if !hosts.any(|host| host.introduction.peer_address == *address) {
                self.hint(*address, now);
            }
        }
    }

    fn on_introduced(&mut self, introduced: &IntroducedHost, now: Timestamp) {
        let IntroducedHost { host, heartbeat } = introduced;
        let known = self.hosts.get(&host.id());
        if known.is_some_and(|known| known.introduction.incarnation >= host.incarnation) {
            return;
        }
        self.hinted.remove(&host.peer_address);
        let entry = Host {
            introduction: host.clone(),
            heard_at: now - Duration::from_millis(u64::from(heartbeat.age_ms)),
            // What it has seen of the store is known from itself only.
            configuration: ConfigurationStamp::default(),
            endpoints_at: StorePosition::default(),
            arrivals_per_core_s: heartbeat.arrivals_per_core_s,
            last_seq: 0,
            told_seq: heartbeat.seq,
        };
        self.hosts.insert(host.id(), entry);
    }

    fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Timestamp) {
        let Some(known) = self.hosts.get_mut(&heartbeat.router) else {
            return;
        };
        let introduction = &mut known.introduction;
        if introduction.incarnation != heartbeat.incarnation {
            return;
        }
        let heard_at = now - Duration::from_millis(u64::from(heartbeat.age_ms));
        known.heard_at = known.heard_at.max(heard_at);
        if heartbeat.seq > known.told_seq {
            known.told_seq = heartbeat.seq;
            known.arrivals_per_core_s = heartbeat.arrivals_per_core_s;
            introduction.phase = heartbeat.phase;
            introduction.is_crowded = heartbeat.is_crowded;
            introduction.has_callers = heartbeat.has_callers;
        }
    }

    /// Gives heartbeats to pass on: of routers with callers, then of others; `draw` spreads the
    /// choice where there are more than `max`.
    pub fn heartbeats(&self, max: usize, draw: usize, now: Timestamp) -> Vec<Heartbeat> {
        let mut with_callers: Vec<&Host> = Vec::new();
        let mut idle: Vec<&Host> = Vec::new();
        for host in self.present(now) {
            if host.introduction.has_callers {
                with_callers.push(host);
            } else if now.since(host.heard_at) < IDLE_HEARTBEAT_AGE {
                idle.push(host);
            }
        }
        let told = some_of(&with_callers, max, draw);
        let left = max - told.len();
        let told = told.into_iter().chain(some_of(&idle, left, draw));
        told.map(|host| host.heartbeat(now)).collect()
    }

    /// Gives routers with callers, for those who may not know them.
    pub fn introductions(&self, max: usize, draw: usize, now: Timestamp) -> Vec<IntroducedHost> {
        let present = self.present(now);
        let told: Vec<&Host> = present
            .filter(|host| host.introduction.has_callers && host.is_serving())
            .collect();
        let told = some_of(&told, max, draw).into_iter();
        let introduced = told.map(|host| IntroducedHost {
            host: host.introduction.clone(),
            heartbeat: host.heartbeat(now),
        });
        introduced.collect()
    }

    /// Says whether the sender of a digest should be told of many routers at once: it is new
    /// here and knows few.
    pub fn needs_welcome(&self, digest: &Digest) -> bool {
        let is_new = self
            .hosts
            .get(&digest.host.id())
            .is_none_or(|known| known.introduction.incarnation != digest.host.incarnation);
        is_new && (digest.known_hosts_len as usize) * 2 < self.hosts.len()
    }

    /// Gives the number of routers that were heard of lately.
    pub fn known_len(&self) -> usize {
        self.hosts.len()
    }

    /// Gives where the routers with callers take digests, in a fixed order.
    pub fn addresses_with_callers(&self, now: Timestamp) -> Vec<SocketAddr> {
        let present = self.present(now);
        let with_callers = present.filter(|host| host.introduction.has_callers);
        let mut addresses: Vec<SocketAddr> = with_callers
            .map(|host| host.introduction.peer_address)
            .collect();
        addresses.sort_unstable();
        addresses
    }

    /// Says whether a digest tells that the store answers a router again.
    pub fn reports_store_recovery(&self, digest: &Digest) -> bool {
        let known = self.hosts.get(&digest.host.id());
        digest.host.has_store && known.is_some_and(|known| !known.introduction.has_store)
    }

    /// Gives where digests go: all known routers, and places where one may be.
    pub fn peer_addresses(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        self.hosts
            .retain(|_, host| now.since(host.heard_at) < FORGOTTEN_AFTER);
        self.hinted.retain(|_, at| now.since(*at) < FORGOTTEN_AFTER);
        let known = self
            .hosts
            .values()
            .map(|host| host.introduction.peer_address);
        let mut addresses: Vec<SocketAddr> = known.chain(self.hinted.keys().copied()).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Gives routers that were heard lately.
    pub fn present(&self, now: Timestamp) -> impl Iterator<Item = &Host> {
        self.hosts.values().filter(move |host| host.is_present(now))
    }

    /// Says whether this router reads the store for the others, which hear it from those
    /// that do.
    ///
    /// The first few do, of those that the store answers: those with callers first, then
    /// large ones, then by a hash of their names. Each router works this out alone, and when two disagree one more reads for
    /// a moment.
    pub fn reads_store(&self, own: &HostIntroduction, readers: usize, now: Timestamp) -> bool {
        let others = || {
            let present = self.present(now).map(|host| &host.introduction);
            present.filter(|host| host.phase != HostPhase::Leaving && host.router != own.router)
        };
        // Where the store answers nobody, a few go on asking for all.
        let is_any_able = others().any(|host| host.has_store);
        let order = |host: &HostIntroduction| {
            let millicores = Reverse(host.cpu_millicores);
            (!host.has_callers, millicores, host.id())
        };
        let before = others()
            .filter(|host| host.has_store || !is_any_able)
            .filter(|host| order(host) < order(own))
            .count();
        before < readers
    }

    /// Gives a router that has seen more of the store: any one, or for a router that starts
    /// the one that has seen most, since one that is cut off still has what others dropped.
    pub fn host_ahead(
        &self,
        configuration: &ConfigurationStamp,
        endpoints_at: StorePosition,
        is_starting: bool,
        draw: usize,
        now: Timestamp,
    ) -> Option<&Host> {
        let ahead = self.present(now).filter(|host| {
            host.configuration.is_newer_than(configuration) || host.endpoints_at > endpoints_at
        });
        if is_starting {
            return ahead.reduce(Host::ahead_of);
        }
        let ahead: Vec<&Host> = ahead.collect();
        ahead.get(draw % ahead.len().max(1)).copied()
    }

    /// Gives the number of routers that share work, this one included: those that have
    /// callers, or had them when they were last heard.
    pub fn fleet_len(&self) -> usize {
        let shares_work = |host: &&Host| {
            host.introduction.has_callers && host.introduction.phase != HostPhase::Leaving
        };
        1 + self.hosts.values().filter(shares_work).count()
    }

    /// Says whether this router carries so much more than the others that callers should
    /// connect anew, elsewhere.
    ///
    /// A caller takes an idle connection before a new one, and a router that refuses at
    /// once has idle connections: without this it draws all of an overload to itself.
    pub fn has_excess_arrivals(&self, own_arrivals_per_core_s: u32, now: Timestamp) -> bool {
        // Small routers are idle while large ones carry the callers, and say nothing.
        let serving = || self.present(now).filter(|host| host.is_serving());
        let largest = serving().map(|host| host.introduction.cpu_millicores).max();
        let large =
            serving().filter(|host| host.introduction.cpu_millicores * 2 >= largest.unwrap_or(0));
        let others: Vec<u32> = large.map(|host| host.arrivals_per_core_s).collect();
        let mean = others.iter().sum::<u32>() as f64 / others.len().max(1) as f64;
        !others.is_empty()
            && own_arrivals_per_core_s >= OVERDRAWN_MIN_PER_CORE_S
            && f64::from(own_arrivals_per_core_s) > OVERDRAWN_FACTOR * mean
    }

    /// Gives the age of the oldest load that decisions are made on: routers without callers have
    /// none, and are heard seldom.
    pub fn oldest_load_age(&self, now: Timestamp) -> Option<Duration> {
        let loaded = self
            .present(now)
            .filter(|host| host.introduction.has_callers);
        loaded.map(|host| now.since(host.heard_at)).max()
    }

    /// Gives where callers may connect, near routers first.
    ///
    /// Some callers stay with one address for as long as it answers, all of a large team
    /// with the same one. Small routers are left out while the large ones can carry the
    /// callers, then crowded ones as long as enough remain.
    pub fn caller_addresses(
        &self,
        own: &HostIntroduction,
        now: Timestamp,
        max: usize,
    ) -> Vec<SocketAddr> {
        let mut hosts = self.caller_hosts(own, now);
        let roomy = |host: &&HostIntroduction| !host.is_crowded;
        if hosts.iter().copied().filter(|host| roomy(host)).count() >= hosts.len().div_ceil(2) {
            hosts.retain(roomy);
        }
        hosts.sort_unstable_by_key(|host| {
            (
                host.router != own.router,
                host.zone != own.zone,
                host.caller_address,
            )
        });
        hosts.truncate(max);
        hosts.iter().map(|host| host.caller_address).collect()
    }

    /// Says whether this router is one to which callers are sent.
    pub fn is_given_out(&self, own: &HostIntroduction, now: Timestamp) -> bool {
        let hosts = self.caller_hosts(own, now);
        hosts.iter().any(|host| host.router == own.router)
    }

    /// Gives the routers that are there for callers, crowded ones included.
    fn caller_hosts<'host>(
        &'host self,
        own: &'host HostIntroduction,
        now: Timestamp,
    ) -> Vec<&'host HostIntroduction> {
        let present = self.present(now).filter(|host| host.is_serving());
        let mut hosts: Vec<&HostIntroduction> = present.map(|host| &host.introduction).collect();
        if !hosts.iter().any(|host| host.has_callers) {
            // Whoever hears none of them may itself be the one that is cut off.
            let silent = self.hosts.values().filter(|host| {
                let is_recent = now.since(host.heard_at) < CALLERS_REMEMBERED;
                (is_recent && host.introduction.has_callers) || hosts.is_empty()
            });
            let silent = silent.filter(|host| host.is_serving());
            let silent: Vec<_> = silent.map(|host| &host.introduction).collect();
            hosts.extend(silent);
        }
        if own.phase == HostPhase::Serving {
            hosts.push(own);
        }
        let largest = hosts.iter().map(|host| host.cpu_millicores).max();
        let is_large = |host: &&HostIntroduction| host.cpu_millicores * 2 >= largest.unwrap_or(0);
        let large = hosts.iter().copied().filter(|host| is_large(host));
        let (count, millicores) = large.fold((0, 0), |(count, sum), host| {
            (count + 1, sum + u64::from(host.cpu_millicores))
        });
        if count >= LARGE_MIN && millicores as f64 >= self.needed_millicores(now) {
            hosts.retain(is_large);
        }
        hosts
    }

    /// Gives the processor time that the callers of all routers need.
    fn needed_millicores(&self, now: Timestamp) -> f64 {
        let arrivals = self.present(now).map(|host| {
            let cores = f64::from(host.introduction.cpu_millicores) / 1e3;
            cores * f64::from(host.arrivals_per_core_s)
        });
        arrivals.sum::<f64>() * CORE_MS_PER_REQUEST
    }
}

/// Takes some hosts that follow each other in a list, from where `draw` says.
fn some_of<'host>(hosts: &[&'host Host], max: usize, draw: usize) -> Vec<&'host Host> {
    let count = hosts.len().min(max);
    let taken = (0..count).map(|step| hosts[(draw % hosts.len() + step) % hosts.len()]);
    taken.collect()
}

#[cfg(test)]
mod tests;
