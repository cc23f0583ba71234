//! Which routers there are, and to which of them callers are sent.
//!
//! Load pattern: hosts are killed, frozen, cut off and replaced while callers ask
//! where to connect. A router whose digests stop is no longer given out within
//! half a second; a router that hears nobody takes itself to be the one cut off
//! and gives out all that it knew.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use daisynotch_objects::RouterId;

use super::digest::{Digest, HostIntroduction, HostPhase};
use crate::time::Timestamp;

/// Silence after which a router is not given out: five digests at their slowest.
const ABSENT_AFTER: Duration = Duration::from_millis(700);
/// Silence after which a router is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// Another router.
#[daisynotch_macros::value]
pub struct Host {
    /// Who it is.
    pub introduction: HostIntroduction,
    /// When its latest digest came.
    pub heard_at: Timestamp,
    /// The version of its configuration.
    pub configuration_version: u64,
    /// The store's revision up to which it has seen the endpoints.
    pub endpoints_revision: u64,
    /// Requests that reach it a second, for each whole core that it may use.
    pub arrivals_per_core_s: u32,
    last_seq: u64,
}

/// Requests a second and core below which a router is never overdrawn: a tenth of the
/// streams that a core can take (the bench `throughput`).
const OVERDRAWN_MIN_PER_CORE_S: u32 = 300;
/// How many times the others' mean a router may carry: twice what chance makes likely.
const OVERDRAWN_FACTOR: f64 = 1.5;

/// Large routers without which small ones are given out too.
const LARGE_MIN: usize = 3;

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
            configuration_version: digest.configuration_version,
            endpoints_revision: digest.endpoints_revision,
            arrivals_per_core_s: digest.arrivals_per_core_s,
            last_seq: digest.seq,
        };
        self.hosts.insert(id, host);
        for address in &digest.known_hosts {
            let is_known = self
                .hosts
                .values()
                .any(|host| host.introduction.peer_address == *address);
            if !is_known {
                self.hint(*address, now);
            }
        }
        true
    }

    /// Says whether a digest tells that the store answers a router again.
    pub fn tells_store_return(&self, digest: &Digest) -> bool {
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
        self.hosts
            .values()
            .filter(move |host| now.since(host.heard_at) < ABSENT_AFTER)
    }

    /// Says whether this router reads the store for the others, which hear it from those
    /// that do.
    ///
    /// The first few by a hash of their names do, of those that the store answers; each
    /// router works this out alone, and when two disagree one more reads for a moment.
    pub fn reads_store(&self, own: &HostIntroduction, readers: usize, now: Timestamp) -> bool {
        let others = || {
            let present = self.present(now).map(|host| &host.introduction);
            present.filter(|host| host.phase != HostPhase::Leaving && host.router != own.router)
        };
        // Where the store answers nobody, a few go on asking for all.
        let is_any_able = others().any(|host| host.has_store);
        let before = others()
            .filter(|host| host.has_store || !is_any_able)
            .filter(|host| host.id().0 < own.id().0)
            .count();
        before < readers
    }

    /// Gives the number of routers that share work, this one included.
    pub fn fleet_len(&self) -> usize {
        let leaving = |host: &&Host| host.introduction.phase != HostPhase::Leaving;
        1 + self.hosts.values().filter(leaving).count()
    }

    /// Says whether this router carries so much more than the others that callers should
    /// connect anew, elsewhere.
    ///
    /// A caller takes an idle connection before a new one, and a router that refuses at
    /// once has idle connections: without this it draws all of an overload to itself.
    pub fn is_overdrawn(&self, own_arrivals_per_core_s: u32, now: Timestamp) -> bool {
        // Small routers are idle while large ones carry the callers, and say nothing.
        let serving = || self.present(now).filter(|host| is_serving(host));
        let largest = serving().map(|host| host.introduction.cpu_millicores).max();
        let large =
            serving().filter(|host| host.introduction.cpu_millicores * 2 >= largest.unwrap_or(0));
        let others: Vec<u32> = large.map(|host| host.arrivals_per_core_s).collect();
        let mean = others.iter().sum::<u32>() as f64 / others.len().max(1) as f64;
        !others.is_empty()
            && own_arrivals_per_core_s >= OVERDRAWN_MIN_PER_CORE_S
            && f64::from(own_arrivals_per_core_s) > OVERDRAWN_FACTOR * mean
    }

    /// Gives the age of the oldest digest that counts, which decisions are made on.
    pub fn oldest_digest_age(&self, now: Timestamp) -> Option<Duration> {
        self.present(now).map(|host| now.since(host.heard_at)).max()
    }

    /// Gives where callers may connect, near routers first.
    ///
    /// Some callers stay with one address for as long as it is given out, all of a large
    /// team with the same one. Routers that are crowded are left out, and small ones
    /// where there are large ones, as long as enough remain.
    pub fn caller_addresses(
        &self,
        own: &HostIntroduction,
        now: Timestamp,
        max: usize,
    ) -> Vec<SocketAddr> {
        let present = self.present(now).filter(|host| is_serving(host));
        let mut hosts: Vec<&HostIntroduction> = present.map(|host| &host.introduction).collect();
        if hosts.is_empty() {
            let all = self.hosts.values().filter(|host| is_serving(host));
            hosts = all.map(|host| &host.introduction).collect();
        }
        if own.phase == HostPhase::Serving {
            hosts.push(own);
        }
        hosts.sort_unstable_by_key(|host| {
            (
                host.router != own.router,
                host.zone != own.zone,
                host.caller_address,
            )
        });
        let roomy: Vec<&HostIntroduction> = hosts
            .iter()
            .copied()
            .filter(|host| !host.is_crowded)
            .collect();
        if roomy.len() >= hosts.len().div_ceil(2) {
            hosts = roomy;
        }
        let largest = hosts.iter().map(|host| host.cpu_millicores).max();
        let is_large = |host: &&HostIntroduction| host.cpu_millicores * 2 >= largest.unwrap_or(0);
        if hosts.iter().filter(|host| is_large(host)).count() >= LARGE_MIN {
            hosts.retain(is_large);
        }
        hosts.truncate(max);
        hosts.iter().map(|host| host.caller_address).collect()
    }
}

fn is_serving(host: &Host) -> bool {
    host.introduction.phase == HostPhase::Serving
}

#[cfg(test)]
mod tests;
