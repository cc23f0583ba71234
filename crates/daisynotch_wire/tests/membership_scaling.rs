//! Measures the traffic and CPU time of membership per router as the fleet grows.
//!
//! `docs/design/membership.md` lists the results.

mod network;

use std::time::{Duration, Instant};

use network::{Network, objects};

const STEP: Duration = Duration::from_millis(100);
/// Required upper bound on all control traffic of a daemon.
const CONTROL_MAX_BYTES_PER_S: u64 = 2_000;

/// Returns the bytes per second sent by the busiest router and by the average router.
fn measure(routers: usize, zones: usize) -> (u64, u64) {
    let mut network = Network::start(routers, zones, &objects(zones, 4), 5, STEP);
    network.run_for(Duration::from_secs(4));
    assert!(
        network.has_converged(),
        "no router is declared absent without a fault"
    );
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
        "{routers} routers: mean {mean} B/s per router, maximum {most}, {neighbours} neighbours, \
         {cpu_us} us of CPU time per second and router, including the simulation"
    );
    (most, mean)
}

#[test]
fn control_traffic_of_nine_routers_is_bounded() {
    assert!(measure(9, 4).0 <= CONTROL_MAX_BYTES_PER_S);
}

#[test]
fn control_traffic_of_large_fleets_is_bounded() {
    for routers in [100, 400, 1_700] {
        assert!(measure(routers, 16).0 <= CONTROL_MAX_BYTES_PER_S);
    }
}

#[test]
fn all_routers_detect_a_crash_in_a_large_fleet() {
    let mut network = Network::start(400, 16, &objects(16, 4), 5, STEP);
    network.run_for(Duration::from_secs(4));
    network.reset_counters();
    network.crash(7);
    let detected = network.run_until(Duration::from_secs(30), Network::has_converged);
    let most = network.sent_bytes().into_iter().max();
    println!("400 routers: crash detected by all after {detected:?}, most bytes sent {most:?}");
    assert!(detected <= Duration::from_secs(5), "{detected:?}");
}
