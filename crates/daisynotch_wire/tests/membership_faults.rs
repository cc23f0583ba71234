//! Each fault of a router or network, the time until one scheduler serves each
//! shard again, and what was over-admitted meanwhile.
//!
//! The bounds are those of `docs/design/membership.md`.

mod network;

use std::time::Duration;

use network::{Network, objects};

const STEP: Duration = Duration::from_millis(20);
const ZONES: usize = 3;
const ROUTERS: usize = 9;
const SLOTS: u32 = 4;
/// Silence, time to refute, a heartbeat and the spreading of the word.
const PLACED_WITHIN: Duration = Duration::from_millis(3_500);
/// From the first word until nobody places anything on a router that leaves.
const LEFT_WITHIN: Duration = Duration::from_secs(3);
/// Until views are equal again after a partition: a probe and a fetched view.
const REJOINED_WITHIN: Duration = Duration::from_secs(10);
const HANG_GUARD: Duration = Duration::from_secs(60);
const SEEDS: [u64; 8] = [3, 17, 40, 41, 99, 1_234, 5_678, 90_210];

fn start(seed: u64) -> Network {
    let mut network = Network::start(ROUTERS, ZONES, &objects(ZONES, SLOTS), seed, STEP);
    network.load = 4;
    network.run_for(Duration::from_secs(5));
    assert!(network.is_settled());
    assert_eq!(network.over_admitted, 0, "nothing has failed yet");
    assert!(network.dispatched > 100, "{}", network.dispatched);
    network.reset_counters();
    network
}

/// Finds the router that schedules the first zone's shard.
fn scheduler(network: &Network) -> usize {
    let routers = 0..ROUTERS;
    let mut with_shards = routers.filter(|router| !network.node(*router).schedulers().is_empty());
    with_shards.next().expect("somebody schedules")
}

fn report(fault: &str, seed: u64, placed: Duration, network: &Network) {
    let over_admitted = network.over_admitted;
    println!("{fault}, seed {seed}: placed after {placed:?}, over-admitted {over_admitted}");
}

#[test]
fn a_crashed_scheduler_is_replaced() {
    for seed in SEEDS {
        let mut network = start(seed);
        let crashed = scheduler(&network);
        network.crash(crashed);
        let placed = network.run_until(HANG_GUARD, Network::is_settled);
        network.run_for(Duration::from_secs(10));
        report("crash", seed, placed, &network);
        assert!(placed <= PLACED_WITHIN, "{placed:?}");
        assert_eq!(network.over_admitted, 0);
    }
}

#[test]
fn a_restarted_scheduler_serves_at_the_same_address() {
    for seed in SEEDS {
        let mut network = start(seed);
        let restarted = scheduler(&network);
        network.crash(restarted);
        network.restart(restarted, (restarted + 1) % ROUTERS);
        let placed = network.run_until(HANG_GUARD, Network::is_settled);
        network.run_for(Duration::from_secs(10));
        report("restart", seed, placed, &network);
        assert!(placed <= PLACED_WITHIN, "{placed:?}");
        assert!(network.over_admitted <= SLOTS, "{}", network.over_admitted);
    }
}

#[test]
fn a_paused_scheduler_is_replaced_and_grants_nothing_from_its_old_view() {
    for seed in SEEDS {
        let mut network = start(seed);
        let paused = scheduler(&network);
        network.pause(paused);
        let placed = network.run_until(HANG_GUARD, Network::is_settled);
        network.run_for(Duration::from_secs(5));
        network.resume(paused);
        let rejoined = network.run_until(HANG_GUARD, Network::is_settled);
        network.run_for(Duration::from_secs(10));
        report("pause", seed, placed, &network);
        report("resume", seed, rejoined, &network);
        assert!(placed <= PLACED_WITHIN, "{placed:?}");
        assert!(rejoined <= REJOINED_WITHIN, "{rejoined:?}");
        assert_eq!(network.over_admitted, 0);
    }
}

#[test]
fn a_pause_too_short_to_be_missed_changes_nothing() {
    for seed in SEEDS {
        let mut network = start(seed);
        let paused = scheduler(&network);
        network.pause(paused);
        network.run_for(Duration::from_millis(900));
        network.resume(paused);
        network.run_for(Duration::from_secs(5));
        assert!(network.is_settled());
        assert_eq!(network.over_admitted, 0);
    }
}

#[test]
fn both_sides_of_a_partition_serve_and_find_each_other_again() {
    for seed in SEEDS {
        let mut network = start(seed);
        network.split(4);
        let (near, far): (Vec<usize>, Vec<usize>) = (0..ROUTERS).partition(|router| *router < 4);
        let is_split = |network: &Network| network.agree(&near) && network.agree(&far);
        let placed = network.run_until(HANG_GUARD, is_split);
        network.run_for(Duration::from_secs(10));
        network.heal();
        let rejoined = network.run_until(HANG_GUARD, Network::is_settled);
        network.run_for(Duration::from_secs(10));
        report("partition", seed, placed, &network);
        report("rejoin", seed, rejoined, &network);
        assert!(placed <= PLACED_WITHIN, "{placed:?}");
        assert!(rejoined <= REJOINED_WITHIN, "{rejoined:?}");
        assert!(network.over_admitted <= SLOTS, "{}", network.over_admitted);
        assert!(network.is_settled());
    }
}

#[test]
fn a_router_that_hears_nobody_is_replaced() {
    for seed in SEEDS {
        let mut network = start(seed);
        let deaf = scheduler(&network);
        let others: Vec<usize> = (0..ROUTERS).filter(|router| *router != deaf).collect();
        for other in &others {
            network.block(*other, deaf);
        }
        let is_replaced = |network: &Network| network.agree(&others);
        let placed = network.run_until(HANG_GUARD, is_replaced);
        network.run_for(Duration::from_secs(5));
        network.heal();
        let rejoined = network.run_until(HANG_GUARD, Network::is_settled);
        network.run_for(Duration::from_secs(10));
        report("one-way partition", seed, placed, &network);
        report("one-way rejoin", seed, rejoined, &network);
        assert!(
            placed <= PLACED_WITHIN + Duration::from_millis(1_600),
            "{placed:?}"
        );
        assert!(rejoined <= REJOINED_WITHIN, "{rejoined:?}");
        assert!(network.over_admitted <= SLOTS, "{}", network.over_admitted);
    }
}

#[test]
fn a_link_that_fails_one_way_between_two_routers_loses_neither() {
    for seed in SEEDS {
        let mut network = start(seed);
        network.block(0, 1);
        for _ in 0..100 {
            network.run_for(Duration::from_millis(200));
            assert!(network.is_settled(), "both are heard by the others");
        }
    }
}

#[test]
fn a_router_that_leaves_gets_no_new_work() {
    for seed in SEEDS {
        let mut network = start(seed);
        let leaving = scheduler(&network);
        network.leave(leaving);
        let has_left = |network: &Network| {
            let all: Vec<usize> = (0..ROUTERS).collect();
            let others: Vec<usize> = (0..ROUTERS).filter(|router| *router != leaving).collect();
            let sees_it_leave = |router: &usize| {
                let members = network.node(*router).membership().members();
                members[&Network::id(leaving)].leaving
            };
            all.iter().all(sees_it_leave) && network.agree(&others)
        };
        let placed = network.run_until(HANG_GUARD, has_left);
        network.run_for(Duration::from_secs(10));
        report("leave", seed, placed, &network);
        assert!(placed <= LEFT_WITHIN, "{placed:?}");
        assert_eq!(network.over_admitted, 0);
    }
}
