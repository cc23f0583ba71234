//! Checks that no schedule within the bounds breaks an invariant.

use crate::explore::{Bounds, Explored, every_schedule, random_schedules};
use crate::scenario::Scenario;

/// Two requests at different routers compete for one slot.
pub(crate) const ONE_SLOT: Scenario = Scenario {
    name: "two routers, one slot, two requests",
    routers: 2,
    endpoints: 1,
    has_zone_per_endpoint: false,
    queue_timeout_ms: 10_000,
    requests: &[0, 1],
};

/// Three requests at a router that isn't the scheduler compete for one slot.
pub(crate) const CROWDED: Scenario = Scenario {
    name: "two routers, one slot, three requests",
    requests: &[0, 0, 0],
    ..ONE_SLOT
};

/// Three routers, two endpoints of one shard.
pub(crate) const THREE_ROUTERS: Scenario = Scenario {
    name: "three routers, two slots, three requests",
    routers: 3,
    endpoints: 2,
    has_zone_per_endpoint: false,
    queue_timeout_ms: 10_000,
    requests: &[0, 1, 2],
};

/// Two shards of one pool, with a queue timeout shorter than an outage.
pub(crate) const TWO_SHARDS: Scenario = Scenario {
    name: "two routers, two shards, three requests",
    routers: 2,
    endpoints: 2,
    has_zone_per_endpoint: true,
    queue_timeout_ms: 2_500,
    requests: &[0, 1, 0],
};

/// The seeds of the random schedules.
const SEEDS: [u64; 4] = [1, 2, 3, 4];

const fn bounds(steps: usize, deviations: usize) -> Bounds {
    Bounds { steps, deviations }
}

fn assert_holds(explored: &Explored) {
    assert!(explored.schedules > 0);
    if let Some(found) = &explored.counterexample {
        panic!("{} after {:#?}", found.violation, found.steps);
    }
}

#[test]
fn every_schedule_with_two_faults_on_one_slot() {
    assert_holds(&every_schedule(ONE_SLOT, bounds(10, 2)));
}

#[test]
fn every_schedule_with_two_faults_on_two_shards() {
    assert_holds(&every_schedule(TWO_SHARDS, bounds(8, 2)));
}

#[test]
fn every_schedule_with_two_faults_on_three_routers() {
    assert_holds(&every_schedule(THREE_ROUTERS, bounds(5, 2)));
}

#[test]
fn every_long_schedule_with_one_fault_on_three_routers() {
    assert_holds(&every_schedule(THREE_ROUTERS, bounds(24, 1)));
}

/// Takes minutes; run it by name in a release build.
#[test]
#[ignore = "takes minutes; see docs/design/protocol-specification.md"]
fn every_schedule_with_three_faults() {
    for scenario in [ONE_SLOT, CROWDED, TWO_SHARDS, THREE_ROUTERS] {
        assert_holds(&every_schedule(scenario, bounds(9, 3)));
    }
}

#[test]
fn random_schedules_with_many_faults() {
    for scenario in [ONE_SLOT, CROWDED, TWO_SHARDS, THREE_ROUTERS] {
        for seed in SEEDS {
            println!("{}: seed {seed}", scenario.name);
            assert_holds(&random_schedules(scenario, bounds(60, 12), seed, 200));
        }
    }
}
