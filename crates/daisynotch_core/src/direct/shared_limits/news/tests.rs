use super::*;

const ENDPOINT: EndpointId = EndpointId(7);
const PEER: RouterId = RouterId(2);

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

fn per_s(rate: u32) -> Option<RequestRate> {
    Some(RequestRate(rate * 1_000))
}

fn news(limit: Option<RequestRate>, age_ms: u32) -> LimitNews {
    let endpoint = ENDPOINT;
    LimitNews {
        limits: vec![StatedLimit {
            endpoint,
            limit,
            age_ms,
        }],
        demands: Vec::new(),
    }
}

#[test]
fn a_limit_is_learned_from_another_router() {
    let mut limits = SharedLimits::default();
    let changes = limits.on_news(Some(PEER), &news(per_s(5), 100), at(200));
    assert_eq!(changes[0].limit, per_s(5));
    assert_eq!(limits.limit(ENDPOINT), per_s(5));
    assert_eq!(limits.next_news(9, at(300)).limits[0].age_ms, 200);
    // A limit that ended before this router knew of any is not worth a line.
    let mut limits = SharedLimits::default();
    assert_eq!(limits.on_news(Some(PEER), &news(None, 0), at(0)), []);
    assert!(limits.next_news(9, at(0)).is_empty());
}

/// Digests may be a second late, so that what they say looks newer than it is.
#[test]
fn a_late_digest_does_not_end_a_limit() {
    let mut limits = SharedLimits::default();
    limits.on_response(ENDPOINT, per_s(5), at(0), at(100));
    limits.on_news(Some(PEER), &news(None, 0), at(1_000));
    assert_eq!(limits.limit(ENDPOINT), per_s(5));
    limits.on_news(Some(PEER), &news(None, 0), at(1_200));
    assert_eq!(limits.limit(ENDPOINT), None);
}

#[test]
fn an_older_limit_does_not_replace_a_newer_one() {
    let mut limits = SharedLimits::default();
    limits.on_response(ENDPOINT, per_s(5), at(0), at(2_000));
    limits.on_news(Some(PEER), &news(per_s(3), 1_500), at(2_100));
    assert_eq!(limits.limit(ENDPOINT), per_s(5));
    limits.on_news(Some(PEER), &news(per_s(3), 0), at(2_100));
    assert_eq!(limits.limit(ENDPOINT), per_s(3));
}

#[test]
fn many_limits_are_sent_in_turns() {
    let mut limits = SharedLimits::default();
    for endpoint in 0..10 {
        limits.on_response(EndpointId(endpoint), per_s(5), at(0), at(0));
    }
    let mut sent: Vec<EndpointId> = (0..3)
        .flat_map(|_| limits.next_news(4, at(0)).limits)
        .map(|stated| stated.endpoint)
        .collect();
    sent.sort_unstable();
    sent.dedup();
    assert_eq!(sent.len(), 10);
}
