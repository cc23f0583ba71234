//! Whom a router tells what it knows, and when.
//!
//! Load pattern: hundreds of hosts, of which a few large ones have the callers. Those need
//! each other's load within a tenth of a second; the others only need to know who is there.
//! What a router sends and receives must not grow with the fleet, and a router that hears
//! another one seldom must not take it for absent. See `docs/design/exchange.md`.

use std::net::SocketAddr;
use std::time::Duration;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::hosts::HostTable;
use crate::time::Timestamp;

/// Routers that get the load in one round at most; more are told in turns.
const LOAD_FANOUT_MAX: usize = 24;
/// Routers with callers that send heartbeats to one without: either may fail unnoticed.
const SOURCES: usize = 2;
/// Rounds after which each of them does so again: three times within the silence after
/// which a router counts as absent.
const HEARTBEAT_ROUNDS: u64 = 3;
/// Routers without callers that one router tells in one round at most.
const HEARTBEAT_FANOUT_MAX: usize = 64;
/// Rounds between what a router without callers sends.
const IDLE_ROUNDS: u64 = 8;
/// Routers with callers that one without them tells: any two may fail.
const IDLE_TOLD: usize = 3;
/// Routers that are told in each round by one that has just started or changed.
const NEWS_TOLD: usize = 12;
/// How long that goes on: rounds of twelve reach a fleet of 300 directly by then.
const NEWS_FOR: Duration = Duration::from_millis(2_000);

/// Where the digests of one round go.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Recipients {
    /// Routers that need the load.
    pub load: Vec<SocketAddr>,
    /// Routers that only need to know who is there.
    pub heartbeat: Vec<SocketAddr>,
}

/// What a router says of itself that all others should hear soon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnRole {
    /// Whether it has callers or is given out to them.
    pub has_callers: bool,
    /// Whether it leaves.
    pub is_leaving: bool,
}

/// The rounds of one router.
#[derive(Debug)]
pub struct Exchange {
    own_address: SocketAddr,
    round: u64,
    load_turn: usize,
    heartbeat_turn: usize,
    role: OwnRole,
    changed_at: Timestamp,
}

impl Exchange {
    /// Starts with a router that nobody knows.
    pub fn new(own_address: SocketAddr, now: Timestamp) -> Self {
        // Routers that start together take their turns apart.
        let start = address_hash(own_address, own_address);
        Self {
            own_address,
            round: start % 1_024,
            load_turn: start as usize % 1_024,
            heartbeat_turn: start as usize % 1_024,
            role: OwnRole {
                has_callers: false,
                is_leaving: false,
            },
            changed_at: now,
        }
    }

    /// Plans one round.
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
        let has_news = now.since(self.changed_at) < NEWS_FOR;
        if !role.has_callers && !has_news && !self.round.is_multiple_of(IDLE_ROUNDS) {
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
            recipients.load = take_turns(&with_callers, &mut self.load_turn, LOAD_FANOUT_MAX);
            recipients.heartbeat = if has_news {
                take_turns(&others, &mut self.heartbeat_turn, NEWS_TOLD)
            } else {
                Vec::new()
            };
            for other in self.told_here(&others, &with_callers) {
                if !recipients.heartbeat.contains(&other) {
                    recipients.heartbeat.push(other);
                }
            }
            return recipients;
        }
        if has_news || with_callers.is_empty() {
            let mut everyone = with_callers;
            everyone.extend(others);
            recipients.heartbeat = take_turns(&everyone, &mut self.heartbeat_turn, NEWS_TOLD);
        } else {
            recipients.heartbeat = take_turns(&with_callers, &mut self.load_turn, IDLE_TOLD);
            recipients
                .heartbeat
                .extend(take_turns(&others, &mut self.heartbeat_turn, 1));
        }
        recipients
    }

    /// Gives the routers without callers that this one tells in this round.
    ///
    /// Each has its own few that tell it, by rendezvous hashing, so that what it hears comes
    /// evenly, and the loss of one of them moves nobody else.
    fn told_here(&self, others: &[SocketAddr], with_callers: &[SocketAddr]) -> Vec<SocketAddr> {
        let is_due = |other: &&SocketAddr| {
            let phase = address_hash(**other, **other);
            (phase.wrapping_add(self.round)).is_multiple_of(HEARTBEAT_ROUNDS)
        };
        let is_mine = |other: &&SocketAddr| {
            let own = address_hash(self.own_address, **other);
            let before = with_callers
                .iter()
                .filter(|source| address_hash(**source, **other) < own);
            before.take(SOURCES).count() < SOURCES
        };
        let told = others.iter().filter(is_due).filter(is_mine);
        told.take(HEARTBEAT_FANOUT_MAX).copied().collect()
    }

    /// Gives the rounds within which all routers with callers are told the load.
    pub fn rounds_to_reach_all(&self, hosts: &HostTable, now: Timestamp) -> usize {
        let with_callers = hosts.addresses_with_callers(now).len();
        with_callers.div_ceil(LOAD_FANOUT_MAX).max(1)
    }
}

/// Orders sources for one told router, each in its own way.
fn address_hash(source: SocketAddr, told: SocketAddr) -> u64 {
    let number = |address: SocketAddr| match address {
        SocketAddr::V4(address) => u64::from(u32::from(*address.ip())) << 16,
        SocketAddr::V6(address) => xxh3_64(&address.ip().octets()),
    };
    let key = number(told) ^ u64::from(told.port());
    xxh3_64_with_seed(
        &(number(source) ^ u64::from(source.port())).to_le_bytes(),
        key,
    )
}

/// Takes the next few of a list, which starts again at its end.
fn take_turns(from: &[SocketAddr], turn: &mut usize, most: usize) -> Vec<SocketAddr> {
    let count = from.len().min(most);
    let taken = (0..count).map(|step| from[(*turn + step) % from.len()]);
    let taken = taken.collect();
    *turn = turn.wrapping_add(count);
    taken
}

#[cfg(test)]
mod tests;
