use super::*;

fn at(time_ms: u64) -> Timestamp {
    Timestamp(time_ms * 1_000)
}

#[test]
fn an_unreachable_endpoint_is_probed_with_one_request_after_a_growing_time() {
    let mut health = EndpointHealth::default();
    health.on_unreachable(at(0));
    health.on_unreachable(at(1));
    assert_eq!(health.fitness(at(249)), Fitness::Unreachable);
    assert_eq!(health.fitness(at(250)), Fitness::Good);
    health.on_granted(at(250));
    assert_eq!(health.fitness(at(251)), Fitness::Unreachable);
    health.on_unreachable(at(260));
    assert_eq!(health.fitness(at(759)), Fitness::Unreachable);
    assert_eq!(health.fitness(at(760)), Fitness::Good);
    health.on_granted(at(760));
    health.on_good();
    assert_eq!(health.fitness(at(761)), Fitness::Good);
}

#[test]
fn the_pause_has_a_longest_length() {
    let mut health = EndpointHealth::default();
    let mut now = at(0);
    for _ in 0..20 {
        health.on_unreachable(now);
        now = now + UNREACHABLE_PAUSE_MAX;
    }
    assert_eq!(health.fitness(now), Fitness::Good);
}

#[test]
fn a_probe_that_was_not_used_is_repeated_at_once() {
    let mut health = EndpointHealth::default();
    health.on_unreachable(at(0));
    health.on_granted(at(250));
    health.on_no_news();
    assert_eq!(health.fitness(at(300)), Fitness::Good);
}

#[test]
fn an_endpoint_without_others_is_probed_at_the_shortest_time() {
    let mut health = EndpointHealth::default();
    for time_ms in [0, 250, 500] {
        health.on_granted(at(time_ms));
        health.on_unreachable(at(time_ms));
        assert_eq!(
            health.fitness_alone(at(time_ms + 249)),
            Fitness::Unreachable
        );
        assert_eq!(health.fitness_alone(at(time_ms + 250)), Fitness::Good);
    }
    assert_eq!(health.fitness(at(1_499)), Fitness::Unreachable);
    assert_eq!(health.fitness(at(1_500)), Fitness::Good);
}

#[test]
fn a_slow_endpoint_is_good_again_with_the_first_good_news() {
    let mut health = EndpointHealth::default();
    health.on_slow(at(0));
    assert_eq!(health.fitness(at(999)), Fitness::Slow);
    health.on_good();
    assert_eq!(health.fitness(at(999)), Fitness::Good);
}
