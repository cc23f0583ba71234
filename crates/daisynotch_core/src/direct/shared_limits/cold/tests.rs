use super::*;
use crate::direct::{DemandLevel, LimitNews, RequestRate, ServiceDemand};

const OWN: RouterId = RouterId(1);
const ENDPOINT: EndpointId = EndpointId(7);
const BUDGET: Budget = Budget {
    per_s: 10.0,
    burst: 4.0,
};

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

fn service() -> Arc<str> {
    Arc::from("models")
}

fn demand(level: u8) -> LimitNews {
    LimitNews {
        limits: Vec::new(),
        demands: vec![ServiceDemand {
            service: service_hash("models"),
            level: DemandLevel(level),
        }],
    }
}

/// Runs rounds in which `peers` are heard.
fn run(limits: &mut SharedLimits, peers: std::ops::Range<u64>, from_ms: u64, until_ms: u64) {
    let service = service();
    for ms in (from_ms..until_ms).step_by(75) {
        limits.on_request(&service, 1.0, at(ms));
        for peer in peers.clone() {
            limits.on_news(Some(RouterId(peer)), &demand(10), at(ms));
        }
        limits.divide(OWN, |_| Some(&service), at(ms));
    }
}

fn set_cold(limits: &mut SharedLimits, ms: u64) {
    let service = service();
    let cold = [(ENDPOINT, BUDGET)].into();
    limits.set_cold(OWN, cold, |_| Some(&service), at(ms));
}

fn per_s(limits: &SharedLimits) -> f64 {
    limits.shares[&ENDPOINT].pace.per_s()
}

fn cold_limits() -> SharedLimits {
    let mut limits = SharedLimits::default();
    limits.set_cold_services([service()].iter());
    limits
}

/// Routers that learn of a cold endpoint must divide its limit without another word.
#[test]
fn demand_is_reported_before_any_endpoint_is_cold() {
    let mut limits = cold_limits();
    limits.on_request(&service(), 1.0, at(0));
    limits.on_request(&Arc::from("other"), 1.0, at(0));
    let news = limits.next_news(9, at(100));
    assert!(!news.is_empty());
    assert_eq!(news.demands.len(), 1);
    assert_eq!(news.demands[0].service, service_hash("models"));
    let mut without = SharedLimits::default();
    without.on_request(&service(), 1.0, at(0));
    assert!(without.next_news(9, at(100)).is_empty());
}

#[test]
fn a_cold_endpoint_is_limited_at_once_and_without_a_burst() {
    let mut limits = cold_limits();
    run(&mut limits, 2..3, 0, 6_000);
    assert!(limits.allows(ENDPOINT, at(6_000)));
    set_cold(&mut limits, 6_000);
    assert!(!limits.allows(ENDPOINT, at(6_000)));
    assert!(per_s(&limits) > 0.0 && per_s(&limits) <= 10.0);
    assert!(limits.allows(ENDPOINT, at(7_000)));
    let service = service();
    limits.set_cold(OWN, HashMap::new(), |_| Some(&service), at(7_000));
    assert!(limits.allows(ENDPOINT, at(7_000)));
}

/// After a restart of all routers each would take the whole limit until it hears the others.
#[test]
fn a_router_that_starts_holds_nothing_until_it_knows_the_others() {
    let mut limits = cold_limits();
    set_cold(&mut limits, 0);
    run(&mut limits, 2..3, 0, 1_400);
    assert_eq!(per_s(&limits), 0.0);
    run(&mut limits, 2..3, 1_400, 3_000);
    assert!(per_s(&limits) > 0.0);
}

/// In a partition each side would give the parts of the other one to itself.
#[test]
fn parts_of_many_silent_holders_are_not_given_to_others() {
    let mut limits = cold_limits();
    run(&mut limits, 2..5, 0, 12_000);
    run(&mut limits, 2..3, 12_000, 20_000);
    set_cold(&mut limits, 20_000);
    run(&mut limits, 2..3, 20_000, 22_000);
    assert!(per_s(&limits) <= 3.4, "{}", per_s(&limits));
    // A router that is alone in the fleet has it all.
    let mut alone = cold_limits();
    run(&mut alone, 0..0, 0, 12_000);
    set_cold(&mut alone, 12_000);
    assert_eq!(per_s(&alone), 10.0);
}

#[test]
fn the_stricter_of_a_stated_and_a_cold_limit_holds() {
    let mut limits = cold_limits();
    set_cold(&mut limits, 0);
    assert_eq!(limits.budget(ENDPOINT), Some(BUDGET));
    limits.on_response(ENDPOINT, Some(RequestRate(4_000)), at(0), at(1));
    let both = limits.budget(ENDPOINT).unwrap();
    assert_eq!((both.per_s, both.burst), (4.0, 4.0));
}

/// Routers without callers send few digests, and there may be hundreds of them.
#[test]
fn silent_routers_without_demand_do_not_leave_limits_unused() {
    let mut limits = cold_limits();
    for peer in 100..300 {
        limits.on_news(Some(RouterId(peer)), &demand(0), at(0));
    }
    run(&mut limits, 2..3, 0, 12_000);
    set_cold(&mut limits, 12_000);
    run(&mut limits, 2..3, 12_000, 13_000);
    assert!(per_s(&limits) > 0.0);
}

/// In the largest fleets, a part of the routers is never heard within two seconds.
#[test]
fn routers_that_are_heard_rarely_do_not_leave_limits_unused() {
    let mut limits = cold_limits();
    for second in 0..12 {
        let from_ms = second * 1_000;
        for peer in (10..20).filter(|peer| peer % 3 == second % 3) {
            limits.on_news(Some(RouterId(peer)), &demand(10), at(from_ms));
        }
        run(&mut limits, 2..3, from_ms, from_ms + 1_000);
    }
    let members = limits.members(OWN, service_hash("models"), at(11_900));
    assert_eq!(members.settled.len(), 12);
}
