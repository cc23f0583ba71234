//! What membership costs a router, by the size of the fleet.
//!
//! `docs/design/membership.md` has the figures.

mod network;

use std::time::{Duration, Instant};

use network::{Network, objects};

const STEP: Duration = Duration::from_millis(100);
/// The letter's bound on all control traffic of a daemon.
const CONTROL_MAX_BYTES_PER_S: u64 = 2_000;

/// Gives the bytes a second that the busiest and the mean router send.
fn measure(routers: usize, zones: usize) -> (u64, u64) {
    let mut network = Network::start(routers, zones, &objects(zones, 4), 5, STEP);
    network.run_for(Duration::from_secs(4));
    assert!(network.is_settled(), "nobody is lost without a fault");
    network.reset_counters();
    let seconds = 5;
    let started_at = Instant::now();
    network.run_for(Duration::from_secs(seconds));
    let sent = network.sent_bytes();
    let most = sent.iter().max().expect("there are routers") / seconds;
    let mean = sent.iter().sum::<u64>() / seconds / routers as u64;
    let neighbours = network.node(0).membership().neighbours().count();
    let cpu_us = started_at.elapsed().as_micros() as u64 / seconds / routers as u64;
    println!(
        "{routers} routers: {mean} B/s a router, at most {most}, {neighbours} neighbours, \
         {cpu_us} us of processor a second a router with the driver"
    );
    (most, mean)
}

#[test]
fn a_fleet_of_nine_stays_under_the_control_bound() {
    assert!(measure(9, 4).0 <= CONTROL_MAX_BYTES_PER_S);
}

#[test]
fn a_fleet_of_any_size_stays_under_the_control_bound() {
    for routers in [100, 400, 1_700] {
        assert!(measure(routers, 16).0 <= CONTROL_MAX_BYTES_PER_S);
    }
}

#[test]
fn a_crash_in_a_large_fleet_is_known_to_all() {
    let mut network = Network::start(400, 16, &objects(16, 4), 5, STEP);
    network.run_for(Duration::from_secs(4));
    network.reset_counters();
    network.crash(7);
    let known = network.run_until(Duration::from_secs(30), Network::is_settled);
    let most = network.sent_bytes().into_iter().max();
    println!("400 routers: a crash was known to all after {known:?}, most bytes {most:?}");
    assert!(known <= Duration::from_secs(5), "{known:?}");
}
