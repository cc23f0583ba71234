use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

fn speed(endpoint: u32, slowdown: f64, age_ms: u64) -> EndpointSpeed {
    let age = Duration::from_millis(age_ms);
    EndpointSpeed::new(EndpointId(endpoint), slowdown, age)
}

/// Digests are most of the traffic between zones, so each carries a few speeds only.
#[test]
fn all_engines_are_reported_in_turns() {
    let mut exchange = SpeedExchange::default();
    let observed: Vec<_> = (0..90)
        .map(|id| (EndpointId(id << 20), 1.6, at(0)))
        .collect();
    let mut reported = std::collections::HashSet::new();
    for _ in 0..23 {
        let news = exchange.next_news(observed.iter().copied(), 4, at(10));
        assert!(news.speeds.len() <= 4);
        reported.extend(news.speeds.iter().map(|speed| speed.endpoint));
    }
    assert_eq!(reported.len(), 90);
    let late = exchange.next_news(observed.iter().copied(), 4, at(30_000));
    assert_eq!(late, SpeedNews::default());
}

#[test]
fn newer_observations_replace_older_ones() {
    let mut exchange = SpeedExchange::default();
    let mut apply = |speed, now| {
        let news = SpeedNews {
            speeds: vec![speed],
        };
        exchange.on_news(&news, now).count()
    };
    assert_eq!(apply(speed(1, 1.6, 100), at(0)), 1);
    assert_eq!(apply(speed(1, 0.6, 500), at(0)), 0);
    assert_eq!(apply(speed(1, 0.6, 100), at(500)), 1);
    assert_eq!(apply(speed(2, 0.6, 20_000), at(0)), 0);
    let heard = exchange.heard(EndpointId(1)).unwrap();
    assert!((heard / 0.6).ln().abs() < 0.03, "{heard}");
    exchange.expire(at(60_000));
    assert_eq!(exchange.heard(EndpointId(1)), None);
}

/// Every bit pattern of a report is a valid speed.
#[test]
fn extreme_reports_are_bounded() {
    for slowdown_log2_16 in [i8::MIN, 0, i8::MAX] {
        let speed = EndpointSpeed {
            endpoint: EndpointId(1),
            slowdown_log2_16,
            age_ds: u8::MAX,
        };
        assert!(speed.slowdown().is_finite() && speed.slowdown() > 0.0);
    }
    assert_eq!(speed(1, f64::INFINITY, 0).slowdown_log2_16, i8::MAX);
    assert_eq!(speed(1, f64::NAN, u64::MAX / 2).slowdown_log2_16, 0);
}
