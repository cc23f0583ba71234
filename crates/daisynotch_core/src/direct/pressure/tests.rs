use super::*;

const TICK_MS: u64 = 25;
const LATE: Duration = Duration::from_millis(100);
const IN_TIME: Duration = Duration::ZERO;

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

#[test]
fn a_router_that_is_late_reads_fewer_requests_and_finds_back() {
    let mut pressure = Pressure::default();
    assert!(!pressure.should_shed(0.99, at(0)));
    for tick in 0..40 {
        pressure.on_tick(LATE, false, at(tick * TICK_MS));
    }
    assert!(pressure.should_shed(0.06, at(1_000)));
    assert!(
        !pressure.should_shed(0.04, at(1_000)),
        "some are still read"
    );
    for tick in 40..160 {
        pressure.on_tick(IN_TIME, false, at(tick * TICK_MS));
    }
    assert!(!pressure.should_shed(0.99, at(4_000)));
}

#[test]
fn it_is_crowded_until_some_time_after_the_pressure() {
    let mut pressure = Pressure::default();
    assert!(!pressure.on_tick(IN_TIME, false, at(0)));
    assert!(pressure.on_tick(IN_TIME, true, at(25)), "it became crowded");
    assert!(!pressure.on_tick(IN_TIME, false, at(50)));
    assert!(!pressure.on_tick(LATE, false, at(3_000)));
    assert!(!pressure.on_tick(IN_TIME, false, at(8_900)));
    assert!(pressure.is_crowded());
    assert!(pressure.on_tick(IN_TIME, false, at(9_000)));
    assert!(!pressure.is_crowded());
}

/// 600 requests a second of one team on a router of 0.12 cores: closing each connection
/// after its answer made every request cost a new one.
#[test]
fn callers_that_come_back_to_a_crowded_router_keep_their_connections() {
    let mut pressure = Pressure::default();
    pressure.on_tick(LATE, false, at(1_000));
    assert!(pressure.should_reconnect(at(900)));
    assert!(!pressure.should_reconnect(at(1_100)));
    pressure.on_tick(LATE, false, at(2_000));
    assert!(!pressure.should_reconnect(at(1_100)));
    pressure.on_tick(IN_TIME, false, at(9_000));
    assert!(!pressure.should_reconnect(at(900)));
}

/// The same load: a refused connection costs a third of a served request, so that a router
/// that refuses all it can't serve ends up serving none.
#[test]
fn a_router_that_stays_crowded_closes_to_what_it_can_not_serve() {
    let mut pressure = Pressure::default();
    let closed_ms = |pressure: &Pressure, from_ms: u64| {
        let period = from_ms..from_ms + ACCEPT_PERIOD.as_millis() as u64;
        period
            .filter(|ms| pressure.accept_pause(at(*ms)).is_some())
            .count()
    };
    for tick in 0..=8 {
        pressure.on_tick(LATE, false, at(tick * TICK_MS));
    }
    assert_eq!(closed_ms(&pressure, 200), 0, "callers had no time to leave");
    // A quarter of what comes is admitted by now.
    let closed = closed_ms(&pressure, 2_000);
    assert!((140..=160).contains(&closed), "{closed}");
    assert!(
        !pressure.should_shed(0.99, at(2_000)),
        "who got in is served"
    );
    for tick in 80..180 {
        pressure.on_tick(IN_TIME, false, at(tick * TICK_MS));
    }
    assert_eq!(closed_ms(&pressure, 4_500), 0);
}

#[test]
fn a_pause_ends_with_its_period() {
    let mut pressure = Pressure::default();
    for tick in 0..40 {
        pressure.on_tick(LATE, false, at(tick * TICK_MS));
    }
    let pause = pressure.accept_pause(at(3_050)).unwrap();
    assert_eq!(pause, Duration::from_millis(150));
    assert_eq!(pressure.accept_pause(at(3_200)), None);
}

/// A host was suspended for some seconds and is idle. It told its callers to go elsewhere for
/// 6 s, and closed to some of them.
#[test]
fn a_process_that_stood_still_is_not_crowded_for_that() {
    let mut pressure = Pressure::default();
    pressure.on_tick(IN_TIME, false, at(0));
    for stall_ms in [400, 3_000, 60_000] {
        let stall = Duration::from_millis(stall_ms);
        assert!(!pressure.on_tick(stall, false, at(100_000)));
        assert!(!pressure.on_tick(IN_TIME, false, at(100_025)));
        assert!(!pressure.is_crowded());
        assert!(!pressure.should_shed(0.999, at(100_025)));
    }
    // What waited in its sockets may be more than it can do, though.
    pressure.on_tick(Duration::from_secs(3), false, at(200_000));
    assert!(pressure.on_tick(Duration::from_secs(1), false, at(201_000)));
}
