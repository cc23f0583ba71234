use super::*;

const ENDPOINT: EndpointId = EndpointId(7);

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

fn per_s(rate: u32) -> Option<RequestRate> {
    Some(RequestRate(rate * 1_000))
}

#[test]
fn a_response_to_an_older_request_does_not_loosen_a_limit() {
    let mut limits = SharedLimits::default();
    limits.on_response(ENDPOINT, per_s(5), at(0), at(100));
    assert_eq!(limits.on_response(ENDPOINT, None, at(90), at(200)), None);
    assert_eq!(
        limits.on_response(ENDPOINT, per_s(9), at(99), at(200)),
        None
    );
    assert_eq!(limits.statements[&ENDPOINT].limit, per_s(5));
    let change = limits
        .on_response(ENDPOINT, per_s(9), at(101), at(200))
        .unwrap();
    assert_eq!((change.before, change.limit), (per_s(5), per_s(9)));
}

#[test]
fn a_stricter_limit_holds_at_once() {
    let mut limits = SharedLimits::default();
    limits.on_response(ENDPOINT, per_s(5), at(0), at(100));
    limits.on_response(ENDPOINT, per_s(3), at(0), at(101));
    assert_eq!(limits.statements[&ENDPOINT].limit, per_s(3));
    limits.on_response(ENDPOINT, None, at(102), at(200));
    assert_eq!(limits.statements[&ENDPOINT].limit, None);
    limits.on_response(ENDPOINT, per_s(4), at(0), at(201));
    assert_eq!(limits.statements[&ENDPOINT].limit, per_s(4));
}

#[test]
fn rates_that_are_no_numbers_of_requests_are_rejected() {
    for odd in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert_eq!(RequestRate::from_per_s(odd), None, "{odd}");
    }
    assert_eq!(RequestRate::from_per_s(7.4), Some(RequestRate(7_400)));
    assert_eq!(RequestRate::from_per_s(0.0), Some(RequestRate(0)));
    assert_eq!(RequestRate::from_per_s(1e300), Some(RequestRate(u32::MAX)));
}
