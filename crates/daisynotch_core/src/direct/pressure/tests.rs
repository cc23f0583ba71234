use super::*;

const TICK_MS: u64 = 25;
const LATE: Duration = Duration::from_millis(100);
const ON_TIME: Duration = Duration::ZERO;

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

#[test]
fn a_late_router_sheds_requests_and_recovers() {
    let mut pressure = Pressure::default();
    assert!(!pressure.should_shed(0.99, at(0)));
    for tick in 0..40 {
        pressure.on_tick(LATE, false, at(tick * TICK_MS));
    }
    assert!(pressure.should_shed(0.06, at(1_000)));
    assert!(
        !pressure.should_shed(0.04, at(1_000)),
        "some requests are still admitted"
    );
    for tick in 40..160 {
        pressure.on_tick(ON_TIME, false, at(tick * TICK_MS));
    }
    assert!(!pressure.should_shed(0.99, at(4_000)));
}

#[test]
fn a_router_stays_crowded_for_some_time_after_the_pressure() {
    let mut pressure = Pressure::default();
    assert!(!pressure.on_tick(ON_TIME, false, at(0)));
    assert!(
        pressure.on_tick(ON_TIME, true, at(25)),
        "the router became crowded"
    );
    assert!(!pressure.on_tick(ON_TIME, false, at(50)));
    assert!(!pressure.on_tick(LATE, false, at(3_000)));
    assert!(!pressure.on_tick(ON_TIME, false, at(8_900)));
    assert!(pressure.is_crowded());
    assert!(pressure.on_tick(ON_TIME, false, at(9_000)));
    assert!(!pressure.is_crowded());
}

/// Guards against connection churn: with 600 requests per second of one team on a router with 0.12
/// cores, closing each connection after its answer made every request cost a new connection.
#[test]
fn callers_that_come_back_to_a_crowded_router_keep_their_connections() {
    let mut pressure = Pressure::default();
    pressure.on_tick(LATE, false, at(1_000));
    assert!(pressure.should_reconnect(at(900)));
    assert!(!pressure.should_reconnect(at(1_100)));
    pressure.on_tick(LATE, false, at(2_000));
    assert!(!pressure.should_reconnect(at(1_100)));
    pressure.on_tick(ON_TIME, false, at(9_000));
    assert!(!pressure.should_reconnect(at(900)));
}

/// Guards against refusals that take up all processor time under the same load: a refused
/// connection costs a third of a served request, so a router that accepted and refused all excess
/// connections would serve no requests.
#[test]
fn a_router_that_stays_crowded_pauses_accepting_connections() {
    let mut pressure = Pressure::default();
    let paused_ms = |pressure: &Pressure, from_ms: u64| {
        let period = from_ms..from_ms + ACCEPT_PERIOD.as_millis() as u64;
        period
            .filter(|ms| pressure.accept_pause(at(*ms)).is_some())
            .count()
    };
    for tick in 0..=8 {
        pressure.on_tick(LATE, false, at(tick * TICK_MS));
    }
    assert_eq!(
        paused_ms(&pressure, 200),
        0,
        "callers have had no time to move to another router"
    );
    // By now a quarter of the requests is admitted.
    let paused = paused_ms(&pressure, 2_000);
    assert!((140..=160).contains(&paused), "{paused}");
    assert!(
        !pressure.should_shed(0.99, at(2_000)),
        "requests on accepted connections are served"
    );
    for tick in 80..180 {
        pressure.on_tick(ON_TIME, false, at(tick * TICK_MS));
    }
    assert_eq!(paused_ms(&pressure, 4_500), 0);
}

#[test]
fn an_accept_pause_ends_with_its_period() {
    let mut pressure = Pressure::default();
    for tick in 0..40 {
        pressure.on_tick(LATE, false, at(tick * TICK_MS));
    }
    let pause = pressure.accept_pause(at(3_050)).unwrap();
    assert_eq!(pause, Duration::from_millis(150));
    assert_eq!(pressure.accept_pause(at(3_200)), None);
}

/// Guards against mistaking a stall for overload: an idle host that had been suspended for some
/// seconds sent its callers to other routers for 6 s and closed its listener to some.
#[test]
fn a_stalled_process_does_not_count_as_crowded() {
    let mut pressure = Pressure::default();
    pressure.on_tick(ON_TIME, false, at(0));
    for stall_ms in [400, 3_000, 60_000] {
        let stall = Duration::from_millis(stall_ms);
        assert!(!pressure.on_tick(stall, false, at(100_000)));
        assert!(!pressure.on_tick(ON_TIME, false, at(100_025)));
        assert!(!pressure.is_crowded());
        assert!(!pressure.should_shed(0.999, at(100_025)));
    }
    // A second late tick in a row is overload: the backlog in the sockets may exceed capacity.
    pressure.on_tick(Duration::from_secs(3), false, at(200_000));
    assert!(pressure.on_tick(Duration::from_secs(1), false, at(201_000)));
}
