//! Selects the routers that get a digest in each round.
//!
//! In a fleet of hundreds of hosts, a few large ones have the callers. These need each other's
//! load within a tenth of a second; the others only need to know which routers are present. The
//! traffic of a router must not grow with the fleet, and a router that rarely hears another one
//! must not count it as absent. See `docs/design/exchange.md`.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::hosts::HostTable;
use crate::time::Timestamp;

/// Maximum number of routers that get the load in one round; a larger set is served round-robin.
const LOAD_FANOUT_MAX: usize = 24;
/// Number of routers with callers that send heartbeats to each router without callers. With two,
/// one may fail without effect.
const HEARTBEAT_SENDERS: usize = 2;
/// Rounds between two of these heartbeats from the same sender: three of them fit into the
/// silence after which a router counts as absent.
const HEARTBEAT_INTERVAL_ROUNDS: u64 = 3;
/// Maximum number of routers without callers to which a router sends heartbeats in one round.
const HEARTBEAT_FANOUT_MAX: usize = 64;
/// Rounds between two digests of a router without callers.
const IDLE_INTERVAL_ROUNDS: u64 = 8;
/// Number of routers with callers to which a router without callers sends its digest. Any two of
/// them may fail.
const IDLE_FANOUT: usize = 3;
/// Number of routers that a router informs per round after it started or its role changed.
const CHANGE_FANOUT: usize = 12;
/// How long a router does so: in this time, rounds of twelve reach a fleet of 300 directly.
const CHANGE_ANNOUNCED_FOR: Duration = Duration::from_millis(2_000);

/// The recipients of one round's digests.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Recipients {
    /// Routers that need the load.
    pub load: Vec<SocketAddr>,
    /// Routers that only need to know which routers are present.
    pub heartbeat: Vec<SocketAddr>,
}

impl Recipients {
    /// Returns whether a router gets a digest in the round.
    pub fn includes(&self, address: SocketAddr) -> bool {
        self.load.contains(&address) || self.heartbeat.contains(&address)
    }
}

/// The properties of a router whose changes all others should learn of soon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnRole {
    /// Whether the router has callers or its address is given out to them.
    pub has_callers: bool,
    /// Whether the router is shutting down.
    pub is_leaving: bool,
}

/// Plans the digest rounds of one router.
#[derive(Debug)]
pub struct Exchange {
    own_address: SocketAddr,
    round: u64,
    load_cursor: usize,
    heartbeat_cursor: usize,
    role: OwnRole,
    changed_at: Timestamp,
}

impl Exchange {
    /// Creates the plan of a router that no other router knows yet.
    pub fn new(own_address: SocketAddr, now: Timestamp) -> Self {
        // The offset keeps routers that start at the same time from sending in step.
        let start = address_hash(own_address, own_address);
        Self {
            own_address,
            round: start % 1_024,
            load_cursor: start as usize % 1_024,
            heartbeat_cursor: start as usize % 1_024,
            role: OwnRole {
                has_callers: false,
                is_leaving: false,
            },
            changed_at: now,
        }
    }

    /// Starts the next round and returns its recipients.
    pub fn next_round(
        &mut self,
        hosts: &mut HostTable,
        role: OwnRole,
        now: Timestamp,
    ) -> Recipients {
        self.round += 1;
        if role != self.role {
            self.role = role;
            self.changed_at = now;
        }
        let has_recent_change = now.since(self.changed_at) < CHANGE_ANNOUNCED_FOR;
        if !role.has_callers
            && !has_recent_change
            && !self.round.is_multiple_of(IDLE_INTERVAL_ROUNDS)
        {
            return Recipients::default();
        }
        let all = hosts.peer_addresses(now);
        let with_callers = hosts.addresses_with_callers(now);
        let others: Vec<SocketAddr> = all
            .into_iter()
            .filter(|address| !with_callers.contains(address))
            .collect();
        let mut recipients = Recipients::default();
        if role.has_callers {
            recipients.load =
                next_round_robin(&with_callers, &mut self.load_cursor, LOAD_FANOUT_MAX);
            recipients.heartbeat = if has_recent_change {
                next_round_robin(&others, &mut self.heartbeat_cursor, CHANGE_FANOUT)
            } else {
                Vec::new()
            };
            for other in self.heartbeat_recipients(&others, &with_callers) {
                if !recipients.heartbeat.contains(&other) {
                    recipients.heartbeat.push(other);
                }
            }
            return recipients;
        }
        if has_recent_change || with_callers.is_empty() {
            let mut everyone = with_callers;
            everyone.extend(others);
            recipients.heartbeat =
                next_round_robin(&everyone, &mut self.heartbeat_cursor, CHANGE_FANOUT);
        } else {
            recipients.heartbeat =
                next_round_robin(&with_callers, &mut self.load_cursor, IDLE_FANOUT);
            recipients
                .heartbeat
                .extend(next_round_robin(&others, &mut self.heartbeat_cursor, 1));
        }
        recipients
    }

    /// Returns the routers without callers to which this router sends a heartbeat in this round.
    ///
    /// Rendezvous hashing assigns a few senders to each recipient. Each recipient gets heartbeats
    /// at an even rate, and the loss of a sender affects its own recipients only.
    fn heartbeat_recipients(
        &self,
        others: &[SocketAddr],
        with_callers: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let is_due = |other: &&SocketAddr| {
            let phase = address_hash(**other, **other);
            (phase.wrapping_add(self.round)).is_multiple_of(HEARTBEAT_INTERVAL_ROUNDS)
        };
        let is_assigned = |other: &&SocketAddr| {
            let own = address_hash(self.own_address, **other);
            let preceding = with_callers
                .iter()
                .filter(|sender| address_hash(**sender, **other) < own);
            preceding.take(HEARTBEAT_SENDERS).count() < HEARTBEAT_SENDERS
        };
        let recipients = others.iter().filter(is_due).filter(is_assigned);
        recipients.take(HEARTBEAT_FANOUT_MAX).copied().collect()
    }

    /// Returns the number of rounds in which the load reaches all routers with callers.
    pub fn rounds_to_reach_all(&self, hosts: &HostTable, now: Timestamp) -> usize {
        let with_callers = hosts.addresses_with_callers(now).len();
        with_callers.div_ceil(LOAD_FANOUT_MAX).max(1)
    }
}

/// Hashes a sender and a recipient, so that each recipient ranks the senders in its own order.
fn address_hash(sender: SocketAddr, recipient: SocketAddr) -> u64 {
    let number = |address: SocketAddr| match address {
        SocketAddr::V4(address) => u64::from(u32::from(*address.ip())) << 16,
        SocketAddr::V6(address) => xxh3_64(&address.ip().octets()),
    };
    let key = number(recipient) ^ u64::from(recipient.port());
    xxh3_64_with_seed(
        &(number(sender) ^ u64::from(sender.port())).to_le_bytes(),
        key,
    )
}

/// Returns the next addresses in round-robin order, at most `max`, and advances the cursor.
fn next_round_robin(addresses: &[SocketAddr], cursor: &mut usize, max: usize) -> Vec<SocketAddr> {
    let count = addresses.len().min(max);
    let selected = (0..count).map(|step| addresses[(*cursor + step) % addresses.len()]);
    let selected = selected.collect();
    *cursor = cursor.wrapping_add(count);
    selected
}

#[cfg(test)]
mod tests;
