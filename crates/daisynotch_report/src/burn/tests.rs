use super::*;

const OBJECTS: &str = r#"
[team.kaolack-1]
[pool.conseil-lm]
kind = "inference"
[route.conseil]
pool = "conseil-lm"
model = "conseil-lm"
[service_level.first-token]
route = "conseil"
first_token_ms = 320
target_per_10000 = 9000
window_h = 24
"#;

fn router(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

fn seen_sample(time_h: u64, number: u16, done: u64, failed: u64, on_time: u64) -> Sample {
    let counters = Counters {
        ended: BTreeMap::from([("done".to_owned(), done), ("failed".to_owned(), failed)]),
        first_token_by_us: BTreeMap::from([(160_000, 0), (320_000, on_time)]),
        first_tokens: done,
    };
    let series = Series {
        route: "conseil".to_owned(),
        team: "kaolack-1".to_owned(),
        counters,
    };
    Sample {
        time_ms: time_h * MS_PER_H,
        router: router(number),
        observation: Observation::Seen(vec![series]),
    }
}

fn missing_sample(time_h: u64, number: u16) -> Sample {
    Sample {
        time_ms: time_h * MS_PER_H,
        router: router(number),
        observation: Observation::Missing("the connection timed out".to_owned()),
    }
}

fn report(samples: &[Sample]) -> BurnReport {
    let objects = OBJECTS.parse().expect("the objects parse");
    BurnReport::new(&objects, samples, BurnWindows::default())
}

#[test]
fn failed_and_late_requests_consume_the_budget() {
    let report = report(&[seen_sample(100, 1, 95, 5, 90)]);
    let row = &report.rows[0];
    assert_eq!((row.requests, row.bad), (100, 10));
    assert!(row.budget_left.is_some_and(|left| left.abs() < 1e-9));
    assert!(row.short_burn.is_some_and(|burn| (burn - 1.0).abs() < 1e-9));
}

#[test]
fn a_window_counts_only_the_requests_within_it() {
    let report = report(&[
        seen_sample(100, 1, 80, 20, 80),
        seen_sample(110, 1, 180, 20, 180),
    ]);
    let row = &report.rows[0];
    assert_eq!((row.requests, row.bad), (200, 20));
    assert_eq!(row.short_burn, Some(0.0));
    assert_eq!(row.long_burn, Some(0.0));
}

#[test]
fn a_restarted_router_counts_from_zero() {
    let report = report(&[
        seen_sample(100, 1, 100, 0, 100),
        seen_sample(101, 1, 10, 0, 10),
    ]);
    assert_eq!(report.rows[0].requests, 110);
    assert_eq!(report.rows[0].bad, 0);
}

#[test]
fn a_missing_router_is_reported_and_keeps_its_earlier_counts() {
    let samples = [
        seen_sample(100, 1, 100, 0, 100),
        seen_sample(100, 2, 100, 0, 100),
        seen_sample(101, 1, 150, 0, 150),
        missing_sample(101, 2),
    ];
    let report = report(&samples);
    assert_eq!(report.rows[0].requests, 250);
    assert!(report.routers[0].missing.is_none());
    assert!(report.routers[1].missing.is_some());
    insta::assert_snapshot!(report.to_table(), @r"
    service level        team               requests      bad  budget left  short burn   long burn
    first-token          kaolack-1               250        0       100.0%        0.00        0.00
    router 127.0.0.1:2 is missing: the connection timed out
    ");
}

#[test]
fn without_requests_there_is_no_burn_rate() {
    let report = report(&[seen_sample(100, 1, 0, 0, 0)]);
    let row = &report.rows[0];
    assert_eq!((row.budget_left, row.short_burn), (None, None));
}
