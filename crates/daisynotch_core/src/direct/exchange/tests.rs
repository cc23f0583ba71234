use std::collections::{HashMap, HashSet};

use daisynotch_objects::RouterId;

use super::super::digest::{Digest, HostIntroduction, HostPhase};
use super::super::store_order::{ConfigurationStamp, StorePosition};
use super::*;
use crate::message::Incarnation;

const ROUND: Duration = Duration::from_millis(75);
const HEARTBEATS_MAX: usize = 32;
/// One in this many datagrams is lost.
const LOST_ONE_IN: u64 = 40;

/// Routers that exchange digests in simulated time.
struct Fleet {
    now: Timestamp,
    routers: Vec<Member>,
    by_address: HashMap<SocketAddr, usize>,
    draw: u64,
}

struct Member {
    own: HostIntroduction,
    hosts: HostTable,
    exchange: Exchange,
    seq: u64,
    is_down: bool,
    sent: usize,
}

fn address(number: usize) -> SocketAddr {
    let [.., high, low] = (number as u32).to_be_bytes();
    ([10, 0, high, low], 7_400).into()
}

impl Fleet {
    /// Starts all routers at the same time. Each knows only the first three.
    fn start(sizes: &[u32]) -> Self {
        let now = Timestamp(1_000_000);
        let members = sizes.iter().enumerate().map(|(number, cpu_millicores)| {
            let mut hosts = HostTable::default();
            for seed in (0..3).filter(|seed| *seed != number) {
                hosts.hint(address(seed), now);
            }
            Member {
                own: HostIntroduction {
                    router: format!("router-{number}").parse().unwrap(),
                    zone: format!("zone-{}", number % 6).parse().unwrap(),
                    incarnation: Incarnation(1),
                    caller_address: address(number),
                    peer_address: address(number),
                    phase: HostPhase::Serving,
                    cpu_millicores: *cpu_millicores,
                    is_crowded: false,
                    has_store: true,
                    has_callers: false,
                },
                hosts,
                exchange: Exchange::new(address(number), now),
                seq: 0,
                is_down: false,
                sent: 0,
            }
        });
        Self {
            now,
            routers: members.collect(),
            by_address: (0..sizes.len()).map(|n| (address(n), n)).collect(),
            draw: 1,
        }
    }

    fn draw(&mut self) -> u64 {
        self.draw = self
            .draw
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(99);
        self.draw >> 33
    }

    fn round(&mut self) {
        self.now = self.now + ROUND;
        for number in 0..self.routers.len() {
            if !self.routers[number].is_down {
                self.send_digests(number);
            }
        }
    }

    fn send_digests(&mut self, number: usize) {
        let now = self.now;
        let member = &mut self.routers[number];
        let role = OwnRole {
            has_callers: member.hosts.is_given_out(&member.own, now),
            is_leaving: false,
        };
        member.own.has_callers = role.has_callers;
        let recipients = member.exchange.next_round(&mut member.hosts, role, now);
        for (addresses, is_brief) in [(recipients.heartbeat, true), (recipients.load, false)] {
            if addresses.is_empty() {
                continue;
            }
            let digest = self.digest(number, is_brief, 3, 2);
            self.routers[number].sent += addresses.len();
            for to in addresses {
                self.deliver(&digest, to);
            }
        }
    }

    fn digest(&mut self, number: usize, is_brief: bool, known: usize, introduced: usize) -> Digest {
        let now = self.now;
        let draw = self.draw() as usize;
        let member = &mut self.routers[number];
        member.seq += 1;
        let mut known_hosts = member.hosts.peer_addresses(now);
        let turn = draw % known_hosts.len().max(1);
        known_hosts.rotate_left(turn);
        known_hosts.truncate(known);
        Digest {
            host: member.own.clone(),
            seq: member.seq,
            configuration: ConfigurationStamp::default(),
            configuration_age_ms: None,
            endpoints_at: StorePosition::default(),
            leaving: Vec::new(),
            arrivals_per_core_s: 0,
            endpoints: Vec::new(),
            teams: Vec::new(),
            placed: Vec::new(),
            is_brief,
            known_hosts,
            known_hosts_len: member.hosts.known_len() as u32,
            heartbeats: member.hosts.heartbeats(HEARTBEATS_MAX, draw, now),
            introduced: member.hosts.introductions(introduced, draw, now),
        }
    }

    fn deliver(&mut self, digest: &Digest, to: SocketAddr) {
        let Some(number) = self.by_address.get(&to).copied() else {
            return;
        };
        if self.draw().is_multiple_of(LOST_ONE_IN) || self.routers[number].is_down {
            return;
        }
        let now = self.now;
        let member = &mut self.routers[number];
        if digest.host.id() == member.own.id() {
            return;
        }
        let needs_welcome = member.hosts.needs_welcome(digest);
        if !member.hosts.on_digest(digest, now) {
            return;
        }
        member
            .hosts
            .on_rumors(digest, member.own.id(), Some(Duration::ZERO), now);
        if needs_welcome {
            let welcome = self.digest(number, true, 64, 24);
            self.routers[number].sent += 1;
            self.deliver(&welcome, digest.host.peer_address);
        }
    }

    fn run_for(&mut self, time: Duration) {
        for _ in 0..time.as_millis() / ROUND.as_millis() {
            self.round();
        }
    }

    /// Returns the addresses that a router gives out to callers.
    fn given_out(&self, number: usize) -> HashSet<SocketAddr> {
        let member = &self.routers[number];
        let addresses = member.hosts.caller_addresses(&member.own, self.now, 64);
        addresses.into_iter().collect()
    }

    fn present(&self, number: usize) -> HashSet<RouterId> {
        let present = self.routers[number].hosts.present(self.now);
        present.map(|host| host.introduction.id()).collect()
    }

    fn up(&self) -> impl Iterator<Item = usize> {
        (0..self.routers.len()).filter(|number| !self.routers[*number].is_down)
    }
}

fn sizes(large: usize, small: usize) -> Vec<u32> {
    // The small routers come first, so they are the seeds and known before the large ones.
    let small = std::iter::repeat_n(120, small);
    small.chain(std::iter::repeat_n(500, large)).collect()
}

fn large_addresses(large: usize, small: usize) -> HashSet<SocketAddr> {
    (small..small + large).map(address).collect()
}

/// In a fleet of 67, a small router was given out in the first second; all callers of a team
/// connected to it and stayed there for the day.
#[test]
fn only_large_routers_are_given_out_a_second_after_all_start() {
    for (large, small) in [(6, 61), (18, 277)] {
        let mut fleet = Fleet::start(&sizes(large, small));
        fleet.run_for(Duration::from_millis(1_000));
        let expected = large_addresses(large, small);
        for number in fleet.up() {
            let given_out = fleet.given_out(number);
            assert!(
                !given_out.is_empty() && given_out.is_subset(&expected),
                "router {number} of {} gives out small ones: {given_out:?}",
                large + small
            );
        }
    }
}

/// In a fleet of 295, routers that got heartbeats in turns of 24 considered each other absent
/// several times a second.
#[test]
fn routers_with_callers_are_never_considered_absent() {
    for (large, small) in [(6, 61), (18, 277)] {
        let mut fleet = Fleet::start(&sizes(large, small));
        fleet.run_for(Duration::from_secs(3));
        let expected = large_addresses(large, small);
        for _ in 0..80 {
            fleet.round();
            for number in fleet.up() {
                assert_eq!(fleet.given_out(number), expected, "router {number}");
            }
        }
    }
}

/// A router with callers sends its load to the other routers with callers, and heartbeats to its
/// share of the routers without. The traffic of a router without callers does not depend on the
/// fleet's size.
#[test]
fn the_digests_that_a_router_sends_are_bounded() {
    let rounds_per_s = 1_000.0 / ROUND.as_millis() as f64;
    for (large, small) in [(18, 60), (18, 180)] {
        let mut fleet = Fleet::start(&sizes(large, small));
        fleet.run_for(Duration::from_secs(4));
        fleet.routers.iter_mut().for_each(|member| member.sent = 0);
        fleet.run_for(Duration::from_secs(3));
        let even_share =
            (small * HEARTBEAT_SENDERS) as f64 / (large as f64 * HEARTBEAT_INTERVAL_ROUNDS as f64);
        for member in &fleet.routers {
            let sent_per_s = member.sent as f64 / 3.0;
            let most = if member.own.cpu_millicores > 200 {
                // Hashing distributes the recipients unevenly.
                (large as f64 + 1.7 * even_share) * rounds_per_s
            } else {
                8.0
            };
            let router = &member.own.router;
            assert!(
                sent_per_s <= most,
                "{router} sent {sent_per_s} a second of {most}"
            );
        }
    }
}

#[test]
fn all_routers_notice_a_dead_router_within_a_second() {
    let (large, small) = (18, 277);
    let mut fleet = Fleet::start(&sizes(large, small));
    fleet.run_for(Duration::from_secs(4));
    let dead = small;
    fleet.routers[dead].is_down = true;
    fleet.run_for(Duration::from_millis(1_050));
    for number in fleet.up() {
        assert!(
            !fleet.given_out(number).contains(&address(dead)),
            "router {number}"
        );
    }
}

#[test]
fn small_routers_take_over_if_all_large_ones_fail() {
    let (large, small) = (6, 61);
    let mut fleet = Fleet::start(&sizes(large, small));
    fleet.run_for(Duration::from_secs(4));
    for number in small..small + large {
        fleet.routers[number].is_down = true;
    }
    fleet.run_for(Duration::from_secs(4));
    let dead = large_addresses(large, small);
    for number in fleet.up() {
        let given_out = fleet.given_out(number);
        assert!(given_out.is_disjoint(&dead), "router {number}");
        assert!(given_out.len() > 30, "router {number}: {}", given_out.len());
    }
}

#[test]
fn the_same_few_routers_read_the_store_for_all() {
    let (large, small) = (18, 277);
    let mut fleet = Fleet::start(&sizes(large, small));
    fleet.run_for(Duration::from_secs(3));
    let mut readers_before = None;
    for _ in 0..40 {
        fleet.round();
        let reads = |number: &usize| {
            let member = &fleet.routers[*number];
            member.hosts.reads_store(&member.own, 4, fleet.now)
        };
        let readers: Vec<usize> = fleet.up().filter(reads).collect();
        assert_eq!(readers.len(), 4);
        assert_eq!(*readers_before.get_or_insert(readers.clone()), readers);
    }
}

/// In a fleet of equal hosts every router has callers, and each must be heard in time.
#[test]
fn all_routers_of_an_equal_fleet_hear_each_other() {
    let mut fleet = Fleet::start(&[250; 120]);
    fleet.run_for(Duration::from_secs(4));
    for _ in 0..20 {
        fleet.round();
        for number in fleet.up() {
            assert_eq!(fleet.present(number).len(), 119, "router {number}");
        }
    }
}
