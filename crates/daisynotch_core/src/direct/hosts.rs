//! Tracks the other routers of the fleet and selects those whose addresses callers get.
//!
//! Hosts are killed, paused, partitioned and replaced while callers ask for addresses, and some
//! callers stay with the first address that they get. When the digests of a router with callers
//! stop, its address is no longer given out within a second. A router that hears no other may itself be
//! partitioned, and gives out the addresses that it knew for as long as a partition lasts. The others
//! may as well be gone.

mod selection;

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use daisynotch_objects::{RouterId, RouterName};

use super::digest::{Digest, Heartbeat, HostIntroduction, HostPhase, IntroducedHost};
use super::store_order::{ConfigurationStamp, StorePosition};
use crate::time::{Timestamp, age_to_ms};

/// Silence after which a router with callers counts as absent and is no longer given out: three
/// times the longest time between two heartbeats, including a lost one.
const ABSENT_AFTER: Duration = Duration::from_millis(700);
/// The same for a router without callers, which sends a digest every 600 ms to a few routers that
/// relay its heartbeats.
const IDLE_ABSENT_AFTER: Duration = Duration::from_millis(5_000);
/// How long routers with callers are still given out if none of them is heard: less than the time
/// within which every host must be reachable again.
const CALLERS_RETENTION: Duration = Duration::from_millis(3_000);
/// How long routers are still given out if no router at all is heard: longer than a partition, and
/// shorter than the time for which the address of a host that is gone may be given out.
const PARTITION_RETENTION: Duration = Duration::from_millis(5_500);
/// Silence after which a router is forgotten, and no digests are sent to it.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// The last known state of another router.
#[daisynotch_macros::value]
pub struct Host {
    /// The router's identity, addresses and state.
    pub introduction: HostIntroduction,
    /// When the router was last heard, by this router or by one that relayed its heartbeat.
    pub heard_at: Timestamp,
    /// The router's configuration.
    pub configuration: ConfigurationStamp,
    /// The position in the store's history up to which the router has seen endpoint entries.
    pub endpoints_at: StorePosition,
    /// Requests that arrive at the router per second, per whole core that it may use.
    pub arrivals_per_core_s: u32,
    /// The sequence number of the latest digest that this router received directly.
    received_seq: u64,
    /// The highest sequence number in a digest or in a relayed heartbeat.
    latest_seq: u64,
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

    /// Returns the one of two routers that has seen more of the store's history.
    fn further_ahead<'a>(&'a self, other: &'a Self) -> &'a Self {
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

    /// Returns whether the router has got endpoint entries from the store or from another router
    /// since it started.
    pub fn has_store_position(&self) -> bool {
        self.endpoints_at > StorePosition::default()
    }

    fn is_serving(&self) -> bool {
        self.introduction.phase == HostPhase::Serving
    }

    fn heartbeat(&self, now: Timestamp) -> Heartbeat {
        let introduction = &self.introduction;
        Heartbeat {
            router: introduction.id(),
            incarnation: introduction.incarnation,
            seq: self.latest_seq,
            age_ms: age_to_ms(now.since(self.heard_at)),
            phase: introduction.phase,
            is_crowded: introduction.is_crowded,
            has_callers: introduction.has_callers,
            arrivals_per_core_s: self.arrivals_per_core_s,
        }
    }
}

/// Arrivals per second and core below which a router never counts as having an excess: a tenth
/// of the streams that a core can handle (the bench `throughput`).
const EXCESS_MIN_PER_CORE_S: u32 = 300;
/// Multiple of the other routers' mean arrivals above which a router has an excess: twice the
/// imbalance that chance makes likely.
const EXCESS_FACTOR: f64 = 1.5;

/// Processor time budgeted per request: three times what a stream takes (the bench `throughput`).
const CORE_MS_PER_REQUEST: f64 = 1.0;
/// Age up to which a heartbeat of a router without callers is relayed.
const IDLE_HEARTBEAT_AGE_MAX: Duration = Duration::from_millis(2_500);

/// The other routers that are known, and addresses at which there may be more.
#[derive(Debug, Default)]
pub struct HostTable {
    hosts: HashMap<RouterId, Host>,
    /// Addresses from the store or from other routers at which no router is known yet.
    candidates: BTreeMap<SocketAddr, Timestamp>,
}

impl HostTable {
    /// Adds an address at which there may be a router.
    pub fn hint(&mut self, address: SocketAddr, now: Timestamp) {
        self.candidates.entry(address).or_insert(now);
    }

    /// Records the sender of a digest. Returns `false` for a late or duplicate digest, which is
    /// ignored.
    pub fn on_digest(&mut self, digest: &Digest, now: Timestamp) -> bool {
        let id = digest.host.id();
        if let Some(known) = self.hosts.get(&id) {
            let last = (known.introduction.incarnation, known.received_seq);
            if (digest.host.incarnation, digest.seq) <= last {
                return false;
            }
        }
        self.candidates.remove(&digest.host.peer_address);
        let host = Host {
            introduction: digest.host.clone(),
            heard_at: now,
            configuration: digest.configuration,
            endpoints_at: digest.endpoints_at,
            arrivals_per_core_s: digest.arrivals_per_core_s,
            received_seq: digest.seq,
            latest_seq: digest.seq,
        };
        self.hosts.insert(id, host);
        true
    }

    /// Processes what a digest reports about routers other than its sender.
    ///
    /// `transit` is an upper bound on the time that the digest was on its way. Without it, heartbeats
    /// are ignored: passed on in a circle, they would keep a router present that nobody hears.
    pub fn on_rumors(
        &mut self,
        digest: &Digest,
        own: RouterId,
        transit: Option<Duration>,
        now: Timestamp,
    ) {
        let written_at = now - transit.unwrap_or_default();
        for introduced in &digest.introduced {
            if introduced.host.id() != own {
                self.on_introduced(introduced, written_at);
            }
        }
        if transit.is_some() {
            for heartbeat in &digest.heartbeats {
                self.on_heartbeat(heartbeat, written_at);
            }
        }
        for address in &digest.known_hosts {
            let mut hosts = self.hosts.values();
            if !hosts.any(|host| host.introduction.peer_address == *address) {
                self.hint(*address, now);
            }
        }
    }

    fn on_introduced(&mut self, introduced: &IntroducedHost, written_at: Timestamp) {
        let IntroducedHost { host, heartbeat } = introduced;
        let known = self.hosts.get(&host.id());
        if known.is_some_and(|known| known.introduction.incarnation >= host.incarnation) {
            return;
        }
        self.candidates.remove(&host.peer_address);
        let entry = Host {
            introduction: host.clone(),
            heard_at: written_at - Duration::from_millis(u64::from(heartbeat.age_ms)),
            // Only the router's own digests report its configuration and store position.
            configuration: ConfigurationStamp::default(),
            endpoints_at: StorePosition::default(),
            arrivals_per_core_s: heartbeat.arrivals_per_core_s,
            received_seq: 0,
            latest_seq: heartbeat.seq,
        };
        self.hosts.insert(host.id(), entry);
    }

    fn on_heartbeat(&mut self, heartbeat: &Heartbeat, written_at: Timestamp) {
        let Some(known) = self.hosts.get_mut(&heartbeat.router) else {
            return;
        };
        let introduction = &mut known.introduction;
        if introduction.incarnation != heartbeat.incarnation {
            return;
        }
        let heard_at = written_at - Duration::from_millis(u64::from(heartbeat.age_ms));
        known.heard_at = known.heard_at.max(heard_at);
        if heartbeat.seq > known.latest_seq {
            known.latest_seq = heartbeat.seq;
            known.arrivals_per_core_s = heartbeat.arrivals_per_core_s;
            introduction.phase = heartbeat.phase;
            introduction.is_crowded = heartbeat.is_crowded;
            introduction.has_callers = heartbeat.has_callers;
        }
    }

    /// Returns up to `max` heartbeats to relay, those of routers with callers first. The random
    /// number `draw` varies the selection if there are more.
    pub fn heartbeats(&self, max: usize, draw: usize, now: Timestamp) -> Vec<Heartbeat> {
        let mut with_callers: Vec<&Host> = Vec::new();
        let mut idle: Vec<&Host> = Vec::new();
        for host in self.present(now) {
            if host.introduction.has_callers {
                with_callers.push(host);
            } else if now.since(host.heard_at) < IDLE_HEARTBEAT_AGE_MAX {
                idle.push(host);
            }
        }
        let selected = consecutive(&with_callers, max, draw);
        let left = max - selected.len();
        let selected = selected.into_iter().chain(consecutive(&idle, left, draw));
        selected.map(|host| host.heartbeat(now)).collect()
    }

    /// Returns up to `max` routers with callers, to introduce them to routers that may not know
    /// them. The random number `draw` varies the selection if there are more.
    pub fn introductions(&self, max: usize, draw: usize, now: Timestamp) -> Vec<IntroducedHost> {
        let present = self.present(now);
        let selected: Vec<&Host> = present
            .filter(|host| host.introduction.has_callers && host.is_serving())
            .collect();
        let selected = consecutive(&selected, max, draw).into_iter();
        let introduced = selected.map(|host| IntroducedHost {
            host: host.introduction.clone(),
            heartbeat: host.heartbeat(now),
        });
        introduced.collect()
    }

    /// Returns whether the sender of a digest should get a long list of routers at once, because
    /// its incarnation is new to this router and it knows few others.
    pub fn needs_welcome(&self, digest: &Digest) -> bool {
        let is_new = self
            .hosts
            .get(&digest.host.id())
            .is_none_or(|known| known.introduction.incarnation != digest.host.incarnation);
        is_new && (digest.known_hosts_len as usize) * 2 < self.hosts.len()
    }

    /// Returns the name of a known router.
    pub fn name(&self, id: RouterId) -> Option<&RouterName> {
        self.hosts.get(&id).map(|host| &host.introduction.router)
    }

    /// Returns the number of known other routers, including absent ones that have not timed out.
    pub fn known_len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns the peer addresses of the routers with callers, in a fixed order.
    pub fn addresses_with_callers(&self, now: Timestamp) -> Vec<SocketAddr> {
        let present = self.present(now);
        let with_callers = present.filter(|host| host.introduction.has_callers);
        let mut addresses: Vec<SocketAddr> = with_callers
            .map(|host| host.introduction.peer_address)
            .collect();
        addresses.sort_unstable();
        addresses
    }

    /// Returns the peer addresses of all known routers and the addresses at which there may be
    /// one. Removes routers and addresses that timed out.
    pub fn peer_addresses(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        self.hosts
            .retain(|_, host| now.since(host.heard_at) < FORGOTTEN_AFTER);
        self.candidates
            .retain(|_, at| now.since(*at) < FORGOTTEN_AFTER);
        let known = self
            .hosts
            .values()
            .map(|host| host.introduction.peer_address);
        let mut addresses: Vec<SocketAddr> = known.chain(self.candidates.keys().copied()).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses
    }

    /// Returns the routers that were heard recently enough not to count as absent.
    pub fn present(&self, now: Timestamp) -> impl Iterator<Item = &Host> {
        self.hosts.values().filter(move |host| host.is_present(now))
    }

    /// Returns whether this router reads the store. Only a few routers do; the others get its
    /// contents from them.
    ///
    /// The readers are the first `readers` routers that the store answers. Routers with callers
    /// come first, then larger ones, then the order follows a hash of their names. Each router
    /// decides this on its own; while two disagree, an additional router reads the store.
    pub fn reads_store(&self, own: &HostIntroduction, readers: usize, now: Timestamp) -> bool {
        self.preceding_readers(own, now) < readers
    }

    /// Returns the number of routers that read the store before this one is asked to.
    pub fn preceding_readers(&self, own: &HostIntroduction, now: Timestamp) -> usize {
        let others = || {
            let present = self.present(now).map(|host| &host.introduction);
            present.filter(|host| host.phase != HostPhase::Leaving && host.router != own.router)
        };
        // If the store answers no router, a few keep trying on behalf of all.
        let is_store_reachable = others().any(|host| host.has_store);
        let order = |host: &HostIntroduction| {
            let millicores = Reverse(host.cpu_millicores);
            (!host.has_callers, millicores, host.id())
        };
        others()
            .filter(|host| host.has_store || !is_store_reachable)
            .filter(|host| order(host) < order(own))
            .count()
    }

    /// Returns a router that has seen more of the store's history than the given positions.
    ///
    /// A starting router gets the one that has seen the most, since a partitioned router may
    /// still hold what the others have dropped. Otherwise the random number `draw` selects one.
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
            return ahead.reduce(Host::further_ahead);
        }
        let ahead: Vec<&Host> = ahead.collect();
        ahead.get(draw % ahead.len().max(1)).copied()
    }

    /// Returns the number of routers that share the work, including this one: those that had
    /// callers when they were last heard.
    pub fn fleet_len(&self) -> usize {
        let shares_work = |host: &&Host| {
            host.introduction.has_callers && host.introduction.phase != HostPhase::Leaving
        };
        1 + self.hosts.values().filter(shares_work).count()
    }

    /// Returns whether this router gets so many more requests than the others that its callers
    /// should connect to another router.
    ///
    /// Callers prefer an idle connection over a new one, and a router that refuses requests at
    /// once has idle connections. Without this check it attracts all of an overload.
    pub fn has_excess_arrivals(&self, own_arrivals_per_core_s: u32, now: Timestamp) -> bool {
        // Small routers are idle while large ones serve the callers, so they are left out.
        let serving = || self.present(now).filter(|host| host.is_serving());
        let largest = serving().map(|host| host.introduction.cpu_millicores).max();
        let large =
            serving().filter(|host| host.introduction.cpu_millicores * 2 >= largest.unwrap_or(0));
        let others: Vec<u32> = large.map(|host| host.arrivals_per_core_s).collect();
        let mean = others.iter().sum::<u32>() as f64 / others.len().max(1) as f64;
        !others.is_empty()
            && own_arrivals_per_core_s >= EXCESS_MIN_PER_CORE_S
            && f64::from(own_arrivals_per_core_s) > EXCESS_FACTOR * mean
    }

    /// Returns the age of the oldest load digest that placement uses. Routers without callers are
    /// left out: they have no load and are rarely heard.
    pub fn oldest_load_age(&self, now: Timestamp) -> Option<Duration> {
        let loaded = self
            .present(now)
            .filter(|host| host.introduction.has_callers);
        loaded.map(|host| now.since(host.heard_at)).max()
    }

    /// Returns up to `max` addresses to which callers may connect: first this router's, then those
    /// in its availability zone, then the others.
    ///
    /// Some callers stay with one address for as long as it answers, and all callers of a large
    /// team may choose the same one. Therefore small routers are left out while the large ones
    /// have enough capacity, and crowded routers are left out if at least half of the rest remain.
    pub fn caller_addresses(
        &self,
        own: &HostIntroduction,
        now: Timestamp,
        max: usize,
    ) -> Vec<SocketAddr> {
        let mut hosts = self.caller_hosts(own, now);
        let is_uncrowded = |host: &&HostIntroduction| !host.is_crowded;
        if hosts
            .iter()
            .copied()
            .filter(|host| is_uncrowded(host))
            .count()
            >= hosts.len().div_ceil(2)
        {
            hosts.retain(is_uncrowded);
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

    /// Returns whether this router's address is given out to callers.
    pub fn is_given_out(&self, own: &HostIntroduction, now: Timestamp) -> bool {
        let hosts = self.caller_hosts(own, now);
        hosts.iter().any(|host| host.router == own.router)
    }

    /// Returns the routers that callers may use, including crowded ones.
    fn caller_hosts<'host>(
        &'host self,
        own: &'host HostIntroduction,
        now: Timestamp,
    ) -> Vec<&'host HostIntroduction> {
        let present = self.present(now).filter(|host| host.is_serving());
        let mut hosts: Vec<&HostIntroduction> = present.map(|host| &host.introduction).collect();
        if !hosts.iter().any(|host| host.has_callers) {
            // A router that hears no router with callers may itself be partitioned. If it hears some
            // router, the others are more likely gone.
            let hears_none = hosts.is_empty();
            let retention = if hears_none {
                PARTITION_RETENTION
            } else {
                CALLERS_RETENTION
            };
            let silent = self.hosts.values().filter(|host| {
                let is_recent = now.since(host.heard_at) < retention;
                is_recent && (host.introduction.has_callers || hears_none)
            });
            let silent = silent.filter(|host| host.is_serving());
            let silent: Vec<_> = silent.map(|host| &host.introduction).collect();
            hosts.extend(silent);
        }
        if own.phase == HostPhase::Serving {
            hosts.push(own);
        }
        selection::retain_needed(&mut hosts, self.needed_millicores(now));
        hosts
    }

    /// Returns the processor time that the callers of the other routers need, in thousandths of a
    /// core.
    fn needed_millicores(&self, now: Timestamp) -> f64 {
        let arrivals = self.present(now).map(|host| {
            let cores = f64::from(host.introduction.cpu_millicores) / 1e3;
            cores * f64::from(host.arrivals_per_core_s)
        });
        arrivals.sum::<f64>() * CORE_MS_PER_REQUEST
    }
}

/// Returns up to `max` consecutive hosts, starting at position `draw` and wrapping around.
fn consecutive<'host>(hosts: &[&'host Host], max: usize, draw: usize) -> Vec<&'host Host> {
    let count = hosts.len().min(max);
    let selected = (0..count).map(|step| hosts[(draw % hosts.len() + step) % hosts.len()]);
    selected.collect()
}

#[cfg(test)]
mod tests;
