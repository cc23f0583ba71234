//! For each fault of a router or of the network, bounds the time until exactly one scheduler
//! serves each shard again and the number of requests over-admitted meanwhile.
//!
//! `docs/design/membership.md` specifies the bounds.

mod network;

use std::time::Duration;

use network::{Network, objects};

const STEP: Duration = Duration::from_millis(20);
const ZONES: usize = 3;
const ROUTERS: usize = 9;
const SLOTS: u32 = 4;
/// Longest failover: silence until suspicion, time to refute it, a heartbeat and the gossip
/// of the result.
const FAILOVER_MAX: Duration = Duration::from_millis(3_500);
/// Longest time from the announcement that a router leaves until no router selects it as
/// a scheduler.
const LEAVE_MAX: Duration = Duration::from_secs(3);
/// Longest time until views are equal again after a partition: a probe and a fetched view.
const REJOIN_MAX: Duration = Duration::from_secs(10);
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(60);
const SEEDS: [u64; 8] = [3, 17, 40, 41, 99, 1_234, 5_678, 90_210];

fn start(seed: u64) -> Network {
    let mut network = Network::start(ROUTERS, ZONES, &objects(ZONES, SLOTS), seed, STEP);
    network.open_requests_per_router = 4;
    network.run_for(Duration::from_secs(5));
    assert!(network.has_converged());
    assert_eq!(
        network.over_admitted, 0,
        "no endpoint is over-admitted before a fault"
    );
    assert!(network.dispatched > 100, "{}", network.dispatched);
    network.reset_counters();
    network
}

/// Returns the first router that schedules a shard.
fn scheduler(network: &Network) -> usize {
    let routers = 0..ROUTERS;
    let mut schedulers = routers.filter(|router| !network.node(*router).schedulers().is_empty());
    schedulers
        .next()
        .expect("at least one router schedules a shard")
}

fn report(fault: &str, seed: u64, converged: Duration, network: &Network) {
    let over_admitted = network.over_admitted;
    println!("{fault}, seed {seed}: converged after {converged:?}, over-admitted {over_admitted}");
}

#[test]
fn a_crashed_scheduler_is_replaced() {
    for seed in SEEDS {
        let mut network = start(seed);
        let crashed = scheduler(&network);
        network.crash(crashed);
        let failover = network.run_until(CONVERGENCE_TIMEOUT, Network::has_converged);
        network.run_for(Duration::from_secs(10));
        report("crash", seed, failover, &network);
        assert!(failover <= FAILOVER_MAX, "{failover:?}");
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
        let failover = network.run_until(CONVERGENCE_TIMEOUT, Network::has_converged);
        network.run_for(Duration::from_secs(10));
        report("restart", seed, failover, &network);
        assert!(failover <= FAILOVER_MAX, "{failover:?}");
        assert!(network.over_admitted <= SLOTS, "{}", network.over_admitted);
    }
}

#[test]
fn a_paused_scheduler_is_replaced_and_grants_nothing_from_its_stale_view() {
    for seed in SEEDS {
        let mut network = start(seed);
        let paused = scheduler(&network);
        network.pause(paused);
        let failover = network.run_until(CONVERGENCE_TIMEOUT, Network::has_converged);
        network.run_for(Duration::from_secs(5));
        network.resume(paused);
        let rejoined = network.run_until(CONVERGENCE_TIMEOUT, Network::has_converged);
        network.run_for(Duration::from_secs(10));
        report("pause", seed, failover, &network);
        report("resume", seed, rejoined, &network);
        assert!(failover <= FAILOVER_MAX, "{failover:?}");
        assert!(rejoined <= REJOIN_MAX, "{rejoined:?}");
        assert_eq!(network.over_admitted, 0);
    }
}

#[test]
fn a_short_pause_changes_nothing() {
    for seed in SEEDS {
        let mut network = start(seed);
        let paused = scheduler(&network);
        network.pause(paused);
        network.run_for(Duration::from_millis(900));
        network.resume(paused);
        network.run_for(Duration::from_secs(5));
        assert!(network.has_converged());
        assert_eq!(network.over_admitted, 0);
    }
}

#[test]
fn both_sides_of_a_partition_serve_and_rejoin() {
    for seed in SEEDS {
        let mut network = start(seed);
        network.split(4);
        let (minority, majority): (Vec<usize>, Vec<usize>) =
            (0..ROUTERS).partition(|router| *router < 4);
        let is_split = |network: &Network| {
            network.agree_on_schedulers(&minority) && network.agree_on_schedulers(&majority)
        };
        let failover = network.run_until(CONVERGENCE_TIMEOUT, is_split);
        network.run_for(Duration::from_secs(10));
        network.heal();
        let rejoined = network.run_until(CONVERGENCE_TIMEOUT, Network::has_converged);
        network.run_for(Duration::from_secs(10));
        report("partition", seed, failover, &network);
        report("rejoin", seed, rejoined, &network);
        assert!(failover <= FAILOVER_MAX, "{failover:?}");
        assert!(rejoined <= REJOIN_MAX, "{rejoined:?}");
        assert!(network.over_admitted <= SLOTS, "{}", network.over_admitted);
        assert!(network.has_converged());
    }
}

#[test]
fn a_router_that_receives_nothing_is_replaced() {
    for seed in SEEDS {
        let mut network = start(seed);
        let isolated = scheduler(&network);
        let others: Vec<usize> = (0..ROUTERS).filter(|router| *router != isolated).collect();
        for other in &others {
            network.block(*other, isolated);
        }
        let is_replaced = |network: &Network| network.agree_on_schedulers(&others);
        let failover = network.run_until(CONVERGENCE_TIMEOUT, is_replaced);
        network.run_for(Duration::from_secs(5));
        network.heal();
        let rejoined = network.run_until(CONVERGENCE_TIMEOUT, Network::has_converged);
        network.run_for(Duration::from_secs(10));
        report("one-way partition", seed, failover, &network);
        report("one-way rejoin", seed, rejoined, &network);
        assert!(
            failover <= FAILOVER_MAX + Duration::from_millis(1_600),
            "{failover:?}"
        );
        assert!(rejoined <= REJOIN_MAX, "{rejoined:?}");
        assert!(network.over_admitted <= SLOTS, "{}", network.over_admitted);
    }
}

#[test]
fn a_one_way_link_failure_removes_neither_router() {
    for seed in SEEDS {
        let mut network = start(seed);
        network.block(0, 1);
        for _ in 0..100 {
            network.run_for(Duration::from_millis(200));
            assert!(
                network.has_converged(),
                "the other routers still receive heartbeats from both"
            );
        }
    }
}

#[test]
fn a_leaving_router_gets_no_new_work() {
    for seed in SEEDS {
        let mut network = start(seed);
        let leaving = scheduler(&network);
        network.leave(leaving);
        let has_left = |network: &Network| {
            let all: Vec<usize> = (0..ROUTERS).collect();
            let others: Vec<usize> = (0..ROUTERS).filter(|router| *router != leaving).collect();
            let sees_leaving = |router: &usize| {
                let members = network.node(*router).membership().members();
                members[&Network::id(leaving)].leaving
            };
            all.iter().all(sees_leaving) && network.agree_on_schedulers(&others)
        };
        let failover = network.run_until(CONVERGENCE_TIMEOUT, has_left);
        network.run_for(Duration::from_secs(10));
        report("leave", seed, failover, &network);
        assert!(failover <= LEAVE_MAX, "{failover:?}");
        assert_eq!(network.over_admitted, 0);
    }
}
