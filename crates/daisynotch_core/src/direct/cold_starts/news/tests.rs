use super::super::{ColdStart, RequestRate};
use super::*;
use crate::direct::{EndpointEntry, EndpointState};

const ENDPOINTS: u64 = 9;

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

fn entry(index: u64) -> EndpointEntry {
    EndpointEntry {
        name: Arc::from(format!("i-{index}")),
        started_unix_ms: 1,
        report_seq: 1,
        service: Arc::from("models"),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: Arc::from("a"),
        slots: 8,
        state: EndpointState::Ready,
        cold_remaining: Some(Duration::ZERO),
    }
}

fn id(index: u64) -> EndpointId {
    entry(index).id()
}

fn warm() -> ColdStarts {
    let mut starts = ColdStarts::default();
    let cold = ColdStart {
        lasts: Duration::from_secs(3),
        rate: RequestRate(9_800),
    };
    starts.set_services([(Arc::from("models"), cold)].into());
    for index in 0..ENDPOINTS {
        starts.on_entry(&entry(index), at(0));
    }
    starts.on_listed();
    starts
}

/// Runs rounds without news: a router that pauses distrusts what it reads next.
fn run(starts: &mut ColdStarts, from_ms: u64, until_ms: u64) {
    for ms in (from_ms..until_ms).step_by(75) {
        starts.refresh(at(ms));
    }
}

fn failed(indexes: std::ops::Range<u64>, age_ms: u32) -> ColdNews {
    let failed = indexes.map(|index| FailedEndpoint {
        endpoint: id(index),
        age_ms,
    });
    ColdNews {
        failed: failed.collect(),
        returned: Vec::new(),
    }
}

const TRANSIT: Option<Duration> = Some(Duration::from_millis(50));

/// A router that did not notice the outage would send its full rate to the endpoint that returns.
#[test]
fn a_failure_is_learned_from_another_router() {
    let mut starts = warm();
    starts.on_news(&failed(0..1, 100), TRANSIT, at(1_000));
    assert!(starts.refresh(at(3_899)).contains_key(&id(0)));
    assert!(starts.refresh(at(3_900)).is_empty());
    // It is passed on to a router that starts, but does not go round in a circle.
    assert!(starts.to_news(false, at(1_000)).is_empty());
    assert_eq!(starts.to_news(true, at(1_000)), failed(0..1, 100));
}

#[test]
fn a_failure_is_ignored_if_the_process_answered_before_and_after_it() {
    let mut starts = warm();
    run(&mut starts, 0, 990);
    starts.on_byte(id(0), at(500), at(990));
    starts.on_news(&failed(0..1, 100), TRANSIT, at(1_000));
    assert!(starts.refresh(at(1_000)).is_empty());
}

/// A router that was cut off from everything reports all endpoints when it returns.
#[test]
fn a_router_that_was_cut_off_does_not_throttle_the_fleet() {
    let mut starts = warm();
    run(&mut starts, 0, 990);
    starts.on_byte(id(8), at(940), at(990));
    starts.on_news(&failed(0..9, 100), TRANSIT, at(1_000));
    assert!(starts.refresh(at(1_000)).is_empty());
    // The endpoints of a zone are fewer, and may have crashed together.
    starts.on_news(&failed(0..3, 100), TRANSIT, at(1_000));
    assert_eq!(starts.refresh(at(1_000)).len(), 3);
}

/// The end of an evacuation must reach routers that start after it, and must not come round again
/// when the first routers have forgotten it.
#[test]
fn the_end_of_an_evacuation_is_learned_once() {
    let mut starts = warm();
    let zone: Arc<str> = Arc::from("a");
    starts.on_zone_returned(&zone, at(0));
    let news = starts.to_news(false, at(2_900));
    let mut started = warm();
    started.on_news(&news, TRANSIT, at(2_900));
    assert_eq!(started.refresh(at(2_950)).len(), ENDPOINTS as usize);
    let again = ColdNews {
        failed: Vec::new(),
        returned: vec![ReturnedZone {
            zone,
            age_ms: 2_900,
        }],
    };
    starts.expire(|_| true, at(3_100));
    starts.on_news(&again, TRANSIT, at(3_100));
    assert!(starts.refresh(at(3_100)).is_empty());
    assert!(starts.to_news(false, at(3_100)).is_empty());
}
