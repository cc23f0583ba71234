use super::*;

const POOL: PoolId = PoolId(1);

fn at(time_ms: u64) -> Timestamp {
    Timestamp(time_ms * 1_000)
}

fn monitor_after(first_tokens_ms: impl IntoIterator<Item = u64>) -> LatencyMonitor {
    let mut monitor = LatencyMonitor::default();
    for first_token_ms in first_tokens_ms {
        monitor.on_sent(RequestId(0), POOL, at(0));
        monitor.on_first_token(RequestId(0), POOL, Duration::from_millis(first_token_ms));
    }
    monitor
}

#[test]
fn first_token_is_late_relative_to_the_pool_average() {
    let mut monitor = monitor_after([100; 100]);
    monitor.on_sent(RequestId(1), POOL, at(0));
    assert_eq!(monitor.pop_late(at(99)), None);
    assert_eq!(monitor.pop_late(at(150)), Some(RequestId(1)));
    assert_eq!(monitor.pop_late(at(150)), None);
}

#[test]
fn varying_first_token_times_raise_the_threshold() {
    let mut monitor = monitor_after((0..100).map(|index| 50 + 100 * (index % 2)));
    monitor.on_sent(RequestId(1), POOL, at(0));
    assert_eq!(monitor.pop_late(at(200)), None);
}

#[test]
fn only_doubled_cost_or_a_change_of_speed_is_reported() {
    let mut monitor = LatencyMonitor::default();
    let mut last_report = LastReport::default();
    let mut should_report = |cost, gap_us| {
        monitor.should_report(&mut last_report, POOL, Cost(100), Cost(cost), Some(gap_us))
    };
    assert!(!should_report(100, 40_000));
    assert!(should_report(110, 200_000));
    assert!(!should_report(120, 200_000));
    assert!(should_report(130, 40_000));
    assert!(should_report(260, 40_000));
    assert!(!should_report(519, 40_000));
    assert!(should_report(520, 40_000));
}
