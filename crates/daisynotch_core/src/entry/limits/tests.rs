use super::*;
use crate::{Catalogue, Revision};

const OBJECTS: &str = r#"
    [limits.team]
    concurrent_requests = 4
    queued_requests = 10
    rate_per_s = 8

    [limits.share]
    queued_requests = 12

    [share.shops]
    limits = "share"

    [team.a]
    share = "shops"
    limits = "team"

    [team.b]
    share = "shops"

    [team.c]
"#;

struct Fixture {
    catalogue: Catalogue,
    limits: TeamLimits,
    next_request: u64,
}

impl Fixture {
    fn new(routers: usize) -> Self {
        let objects = OBJECTS.parse().expect("the objects are valid");
        let mut limits = TeamLimits::default();
        limits.set_routers(routers);
        Self {
            catalogue: Catalogue::new(Revision(1), &objects),
            limits,
            next_request: 0,
        }
    }

    fn admit(&mut self, name: &str, time_ms: u64) -> Result<Admission, LimitRefusal> {
        let team = TeamId::from(&name.parse().expect("the name is valid"));
        let now = Timestamp(0) + Duration::from_millis(time_ms);
        self.next_request += 1;
        let view = &self.catalogue.teams[&team];
        self.limits
            .admit(RequestId(self.next_request), team, view, now)
    }

    fn scopes(&self, name: &str) -> LimitScopes {
        let team = TeamId::from(&name.parse().expect("the name is valid"));
        limit_scopes(team, &self.catalogue.teams[&team])
    }

    /// Admits requests of a team and counts those that were not refused.
    fn count_admitted(&mut self, name: &str, count: usize, time_ms: u64) -> usize {
        let admit = |_| usize::from(self.admit(name, time_ms).is_ok());
        (0..count).map(admit).sum()
    }
}

#[test]
fn concurrent_requests_beyond_this_routers_fraction_are_held() {
    let mut fixture = Fixture::new(2);
    assert_eq!(fixture.admit("a", 0), Ok(Admission::Immediate));
    assert_eq!(fixture.admit("a", 0), Ok(Admission::Immediate));
    assert_eq!(fixture.admit("a", 0), Ok(Admission::Held));
    let scopes = fixture.scopes("a");
    assert!(
        fixture
            .limits
            .release_held(|_| Some(scopes.clone()))
            .is_empty()
    );
    fixture.limits.end(&scopes);
    let released = fixture.limits.release_held(|_| Some(scopes.clone()));
    assert_eq!(released, [RequestId(3)]);
}

#[test]
fn rate_limit_is_divided_among_routers_and_sets_retry_after() {
    let mut fixture = Fixture::new(4);
    assert_eq!(fixture.count_admitted("a", 10, 0), 2);
    let refused = fixture
        .admit("a", 0)
        .expect_err("the token bucket is empty");
    assert_eq!(refused.reason, RefusalReason::RateLimited);
    assert_eq!(refused.retry_after, Duration::from_millis(500));
    assert!(fixture.admit("a", 500).is_ok());
    assert!(fixture.admit("a", 600).is_err());
}

#[test]
fn share_queue_limit_covers_its_teams_together_and_no_other_team() {
    let mut fixture = Fixture::new(1);
    assert_eq!(fixture.count_admitted("b", 100, 0), 12);
    let refused = fixture
        .admit("a", 0)
        .expect_err("the share's queue is full");
    assert_eq!(refused.reason, RefusalReason::QueueFull);
    assert!(fixture.admit("c", 0).is_ok());
}

#[test]
fn request_is_refused_early_if_its_expected_wait_exceeds_the_timeout() {
    let mut fixture = Fixture::new(1);
    let scopes = fixture.scopes("c");
    let team = TeamId::from(&"c".parse().expect("the name is valid"));
    assert_eq!(fixture.count_admitted("c", 30, 0), 30);
    for at in 1..=4 {
        let now = Timestamp(0) + Duration::from_millis(at * 1_000);
        fixture.limits.leave_queue(RequestId(at), team, &scopes);
        fixture.limits.on_dispatch(&scopes, now);
    }
    let refused = fixture
        .admit("c", 4_000)
        .expect_err("the expected wait of 27 s exceeds the timeout");
    assert_eq!(refused.reason, RefusalReason::QueueFull);
    assert_eq!(refused.retry_after, Duration::from_secs(27));
}

#[test]
fn usage_of_teams_without_open_requests_expires() {
    let mut fixture = Fixture::new(1);
    let scopes = fixture.scopes("c");
    let team = TeamId::from(&"c".parse().expect("the name is valid"));
    fixture.admit("c", 0).expect("the request is accepted");
    fixture.limits.leave_queue(RequestId(1), team, &scopes);
    fixture.limits.expire(Timestamp(0) + IDLE_USAGE_TTL);
    assert_eq!(fixture.limits.usage.len(), 1, "the request still runs");
    fixture.limits.end(&scopes);
    fixture.limits.expire(Timestamp(0) + 2 * IDLE_USAGE_TTL);
    assert!(fixture.limits.usage.is_empty());
}

#[test]
fn retry_after_is_jittered_and_reproducible_from_the_seed() {
    let delays = |seed: u64| {
        let mut jitter = RetryJitter::new(seed);
        (0..1_000)
            .map(|_| jitter.apply(Duration::from_secs(10)).as_secs())
            .collect::<Vec<u64>>()
    };
    assert_eq!(delays(1), delays(1));
    for second in 10..20 {
        let count = delays(1).iter().filter(|delay| **delay == second).count();
        assert!((50..=150).contains(&count), "{second} s: {count}");
    }
}

#[test]
fn retries_stay_within_a_tenth_of_the_dispatches() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.on_dispatch();
        retries += u32::from(budget.try_take());
    }
    assert!(retries <= 10_000 / 10 + 10, "{retries}");
}
