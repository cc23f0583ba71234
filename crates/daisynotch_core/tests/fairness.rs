//! Checks the bounds of `docs/design/fairness.md` on real nodes under a virtual clock.

#[path = "fairness/cluster.rs"]
mod cluster;

use cluster::{COST_MAX, Cluster, ExchangeFaults, Policy, Report, Setup, Team, UNIT_US};

const SECOND_US: u64 = 1_000_000;
const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];
/// The interval between two exchanges, plus their network latency.
const EXCHANGE_S: f64 = 1.1;
const UTILISATION_MIN: f64 = 0.98;

fn team(open: usize, routers: &[usize]) -> Team {
    Team {
        share: None,
        weight: 1,
        hint_tenths: 10,
        open,
        routers: routers.to_vec(),
        from_us: 0,
        until_us: u64::MAX,
        is_backlogged: true,
    }
}

fn setup(seed: u64, teams: Vec<Team>) -> Setup {
    Setup {
        seed,
        policy: Policy::Nodes,
        routers: 6,
        zones: 3,
        endpoints: vec![2, 2, 2],
        slots: 4,
        teams,
        faults: ExchangeFaults::default(),
        partition_us: None,
        warm_up_us: 10 * SECOND_US,
        end_us: 210 * SECOND_US,
    }
}

/// Returns the cost units that the pool's slots process per second.
fn capacity_per_s(setup: &Setup) -> f64 {
    setup.slot_count() as f64 * SECOND_US as f64 / UNIT_US as f64
}

/// Returns the bound on the gap: `(Z C + N C + R P) (1/w_i + 1/w_j)`.
fn gap_bound(setup: &Setup, silence_s: f64) -> f64 {
    let cost = COST_MAX as f64;
    let shards = setup.zones as f64;
    let slots = setup.slot_count() as f64;
    let exchanged = capacity_per_s(setup) * (EXCHANGE_S + silence_s);
    let least = setup.teams.iter().map(|team| team.weight).min();
    let weight = f64::from(least.expect("there is a team"));
    (shards * cost + slots * cost + exchanged) * 2.0 / weight
}

/// Returns the bound on the queueing time: `(C W / w + n C + N C) / R + C u + P`.
fn wait_bound_s(setup: &Setup, at: usize) -> f64 {
    let cost = COST_MAX as f64;
    let weights: u32 = setup.teams.iter().map(|team| team.weight).sum();
    let relative = f64::from(weights) / f64::from(setup.teams[at].weight);
    let requests = relative + setup.teams.len() as f64 + setup.slot_count() as f64;
    let unit_s = UNIT_US as f64 / SECOND_US as f64;
    cost * requests / capacity_per_s(setup) + cost * unit_s + EXCHANGE_S
}

/// Runs a setup and asserts the bound on the gap, the slot utilization and that no request is
/// dispatched twice.
fn assert_bounds(name: &str, setup: Setup, silence_s: f64) -> Report {
    let bound = gap_bound(&setup, silence_s);
    let report = Cluster::measure(setup);
    println!("{name}: bound {bound:.0}, {report:?}");
    assert!(report.gap <= bound, "{name}: {} > {bound}", report.gap);
    assert!(
        report.utilisation >= UTILISATION_MIN,
        "{name}: {}",
        report.utilisation
    );
    assert_eq!(report.dispatched_twice, 0, "{name}");
    report
}

#[test]
fn teams_that_enter_everywhere_are_served_alike() {
    assert_bounds("even", setup(1, vec![team(8, &ALL); 6]), 0.0);
}

#[test]
fn teams_that_enter_at_one_router_each_are_served_alike() {
    let teams = (0..6).map(|at| team(40, &[at])).collect();
    assert_bounds("one router each", setup(2, teams), 0.0);
}

#[test]
fn a_short_backlog_at_one_router_is_served_like_the_others() {
    let teams = (0..6).map(|at| team(8, &[at])).collect();
    assert_bounds("short backlogs", setup(3, teams), 0.0);
}

#[test]
fn a_backlog_in_one_zone_leaves_no_slot_of_the_others_idle() {
    let mut setup = setup(4, vec![team(40, &[0])]);
    setup.endpoints = vec![1, 2, 3];
    assert_bounds("one team in one zone", setup, 0.0);
}

#[test]
fn zones_of_unequal_size_are_shared_alike() {
    let mut setup = setup(5, vec![team(12, &[0, 3]); 6]);
    setup.endpoints = vec![1, 2, 3];
    assert_bounds("unequal zones", setup, 0.0);
}

#[test]
fn a_team_that_floods_takes_nothing_from_the_others() {
    let mut teams = vec![team(4, &ALL); 5];
    teams.push(team(400, &ALL));
    assert_bounds("flood", setup(6, teams), 0.0);
}

#[test]
fn hints_ten_times_too_small_and_too_large_are_charged_by_the_truth() {
    let mut teams = vec![team(8, &ALL); 6];
    teams[0].hint_tenths = 1;
    teams[1].hint_tenths = 100;
    assert_bounds("wrong hints", setup(7, teams), 0.0);
}

#[test]
fn weights_are_kept() {
    let mut teams = vec![team(12, &ALL); 4];
    teams[0].weight = 3;
    teams[1].weight = 2;
    assert_bounds("weights", setup(8, teams), 0.0);
}

#[test]
fn teams_that_join_and_leave_do_not_upset_the_others() {
    let mut teams = vec![team(8, &ALL); 8];
    teams[6].from_us = 40 * SECOND_US;
    teams[6].until_us = 120 * SECOND_US;
    teams[7].from_us = 80 * SECOND_US;
    teams[7].until_us = 160 * SECOND_US;
    assert_bounds("join and leave", setup(9, teams), 0.0);
}

/// Allows 6 s of silence: at 30 % loss, six messages in a row are lost about once in 1,400 runs
/// of six.
#[test]
fn a_lost_doubled_or_late_exchange_costs_no_more_than_the_silence() {
    let teams = (0..6).map(|at| team(40, &[at])).collect();
    let mut setup = setup(10, teams);
    setup.faults = ExchangeFaults {
        lost_percent: 30,
        duplicated_percent: 20,
        delayed_percent: 20,
        delay_us: 3 * SECOND_US,
    };
    assert_bounds("exchange faults", setup, 6.0);
}

#[test]
fn a_partition_that_heals_starves_nobody() {
    let mut teams = vec![team(12, &ALL); 6];
    teams[0].routers = vec![0, 3];
    let mut setup = setup(11, teams);
    setup.partition_us = Some((50 * SECOND_US, 80 * SECOND_US));
    setup.warm_up_us = 85 * SECOND_US;
    let report = assert_bounds("after a partition", setup.clone(), 30.0);
    let least = report.served.iter().min().expect("there is a team");
    let fair = report.served.iter().sum::<u64>() / report.served.len() as u64;
    assert!(least * 2 >= fair, "{report:?}");
}

#[test]
fn the_smallest_team_waits_no_longer_than_its_bound() {
    let mut teams = vec![team(100, &ALL); 5];
    for large in &mut teams {
        large.weight = 4;
    }
    let mut smallest = team(1, &[2]);
    smallest.is_backlogged = false;
    teams.push(smallest);
    let setup = setup(12, teams);
    let bound_s = wait_bound_s(&setup, 5);
    let report = Cluster::measure(setup);
    let longest_s = report.longest_wait_us[5] as f64 / SECOND_US as f64;
    println!("smallest team: bound {bound_s:.1} s, longest {longest_s:.1} s");
    assert!(longest_s <= bound_s, "{longest_s} > {bound_s}");
    assert_eq!(report.refused[5], 0, "{report:?}");
}
