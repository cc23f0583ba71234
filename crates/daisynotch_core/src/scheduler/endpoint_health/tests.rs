use super::*;

fn at(time_ms: u64) -> Timestamp {
    Timestamp(time_ms * 1_000)
}

#[test]
fn unreachable_endpoint_is_probed_with_one_request_after_a_growing_backoff() {
    let mut endpoint = EndpointHealth::default();
    endpoint.on_unreachable(at(0));
    endpoint.on_unreachable(at(1));
    assert_eq!(endpoint.health(0, at(249)), Health::Unreachable);
    assert_eq!(endpoint.health(0, at(250)), Health::Healthy);
    endpoint.on_granted(at(250));
    assert_eq!(endpoint.health(0, at(251)), Health::Unreachable);
    endpoint.on_unreachable(at(260));
    assert_eq!(endpoint.health(0, at(759)), Health::Unreachable);
    assert_eq!(endpoint.health(0, at(760)), Health::Healthy);
    endpoint.on_granted(at(760));
    endpoint.on_normal_speed(at(999));
    assert_eq!(endpoint.health(0, at(761)), Health::Healthy);
}

#[test]
fn pause_length_is_bounded() {
    let mut endpoint = EndpointHealth::default();
    let mut now = at(0);
    for _ in 0..20 {
        endpoint.on_unreachable(now);
        now = now + UNREACHABLE_PAUSE_MAX;
    }
    assert_eq!(endpoint.health(0, now), Health::Healthy);
}

#[test]
fn unused_probe_is_repeated_immediately() {
    let mut endpoint = EndpointHealth::default();
    endpoint.on_unreachable(at(0));
    endpoint.on_granted(at(250));
    endpoint.on_no_observation();
    assert_eq!(endpoint.health(0, at(300)), Health::Healthy);
}

#[test]
fn only_remaining_endpoint_is_probed_after_the_initial_backoff() {
    let mut endpoint = EndpointHealth::default();
    for time_ms in [0, 250, 500] {
        endpoint.on_granted(at(time_ms));
        endpoint.on_unreachable(at(time_ms));
        assert_eq!(
            endpoint.health_as_last_resort(at(time_ms + 249)),
            Health::Unreachable
        );
        assert_eq!(
            endpoint.health_as_last_resort(at(time_ms + 250)),
            Health::Healthy
        );
    }
    assert_eq!(endpoint.health(0, at(1_499)), Health::Unreachable);
    assert_eq!(endpoint.health(0, at(1_500)), Health::Healthy);
}

#[test]
fn slow_endpoint_is_healthy_after_one_report_of_normal_speed() {
    let mut endpoint = EndpointHealth::default();
    endpoint.on_slow(false, at(0));
    assert_eq!(endpoint.health(0, at(999)), Health::Slow);
    endpoint.on_normal_speed(at(999));
    assert_eq!(endpoint.health(0, at(999)), Health::Healthy);
}

#[test]
fn slow_endpoint_is_not_probed_while_streams_run_there() {
    let mut endpoint = EndpointHealth::default();
    endpoint.on_slow(true, at(0));
    assert_eq!(endpoint.health(1, at(1_000)), Health::Slow);
    assert_eq!(endpoint.health(0, at(1_000)), Health::Healthy);
    assert_eq!(endpoint.health(1, at(8_000)), Health::Healthy);
    endpoint.on_normal_speed(at(8_500));
    assert!(endpoint.was_slow_since(at(8_500)));
    assert!(!endpoint.was_slow_since(at(8_501)));
}
