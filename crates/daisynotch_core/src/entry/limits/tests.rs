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

struct Bench {
    catalogue: Catalogue,
    limits: TeamLimits,
    next: u64,
}

impl Bench {
    fn new(routers: usize) -> Self {
        let objects = OBJECTS.parse().expect("the objects can be read");
        let mut limits = TeamLimits::default();
        limits.set_routers(routers);
        Self {
            catalogue: Catalogue::new(Revision(1), &objects),
            limits,
            next: 0,
        }
    }

    fn admit(&mut self, name: &str, time_ms: u64) -> Result<Start, Refused> {
        let team = TeamId::from(&name.parse().expect("it is a name"));
        let now = Timestamp(0) + Duration::from_millis(time_ms);
        self.next += 1;
        let view = &self.catalogue.teams[&team];
        self.limits.admit(RequestId(self.next), team, view, now)
    }

    fn holders(&self, name: &str) -> Holders {
        let team = TeamId::from(&name.parse().expect("it is a name"));
        holders_of(team, &self.catalogue.teams[&team])
    }

    /// Admits requests of a team and counts those that were not refused.
    fn accepted(&mut self, name: &str, count: usize, time_ms: u64) -> usize {
        let admit = |_| usize::from(self.admit(name, time_ms).is_ok());
        (0..count).map(admit).sum()
    }
}

#[test]
fn concurrent_requests_beyond_this_routers_part_are_held() {
    let mut bench = Bench::new(2);
    assert_eq!(bench.admit("a", 0), Ok(Start::Now));
    assert_eq!(bench.admit("a", 0), Ok(Start::Now));
    assert_eq!(bench.admit("a", 0), Ok(Start::Held));
    let holders = bench.holders("a");
    assert!(
        bench
            .limits
            .release_held(|_| Some(holders.clone()))
            .is_empty()
    );
    bench.limits.end(&holders);
    let released = bench.limits.release_held(|_| Some(holders.clone()));
    assert_eq!(released, [RequestId(3)]);
}

#[test]
fn a_rate_is_kept_over_the_routers_and_the_refusal_says_when_it_ends() {
    let mut bench = Bench::new(4);
    assert_eq!(bench.accepted("a", 10, 0), 2);
    let refused = bench.admit("a", 0).expect_err("no token is left");
    assert_eq!(refused.reason, RefusalReason::RateLimited);
    assert_eq!(refused.retry_after, Duration::from_millis(500));
    assert!(bench.admit("a", 500).is_ok());
    assert!(bench.admit("a", 600).is_err());
}

#[test]
fn a_share_bounds_its_teams_together_and_no_other_team() {
    let mut bench = Bench::new(1);
    assert_eq!(bench.accepted("b", 100, 0), 12);
    let refused = bench.admit("a", 0).expect_err("the share's queue is full");
    assert_eq!(refused.reason, RefusalReason::QueueFull);
    assert!(bench.admit("c", 0).is_ok());
}

#[test]
fn a_wait_that_would_end_in_a_timeout_is_refused_at_once() {
    let mut bench = Bench::new(1);
    let holders = bench.holders("c");
    let team = TeamId::from(&"c".parse().expect("it is a name"));
    assert_eq!(bench.accepted("c", 30, 0), 30);
    for at in 1..=4 {
        let now = Timestamp(0) + Duration::from_millis(at * 1_000);
        bench.limits.leave_queue(RequestId(at), team, &holders);
        bench.limits.on_dispatch(&holders, now);
    }
    let refused = bench
        .admit("c", 4_000)
        .expect_err("27 seconds are too long");
    assert_eq!(refused.reason, RefusalReason::QueueFull);
    assert_eq!(refused.retry_after, Duration::from_secs(27));
}

#[test]
fn usage_of_teams_with_nothing_open_is_forgotten() {
    let mut bench = Bench::new(1);
    let holders = bench.holders("c");
    let team = TeamId::from(&"c".parse().expect("it is a name"));
    bench.admit("c", 0).expect("the request is accepted");
    bench.limits.leave_queue(RequestId(1), team, &holders);
    bench.limits.expire(Timestamp(0) + IDLE_USAGE_KEPT);
    assert_eq!(bench.limits.usage.len(), 1, "the request still runs");
    bench.limits.end(&holders);
    bench.limits.expire(Timestamp(0) + 2 * IDLE_USAGE_KEPT);
    assert!(bench.limits.usage.is_empty());
}

#[test]
fn times_to_come_back_are_spread_and_follow_from_the_seed() {
    let times = |seed: u64| {
        let mut spread = RetrySpread::new(seed);
        (0..1_000)
            .map(|_| spread.spread(Duration::from_secs(10)).as_secs())
            .collect::<Vec<u64>>()
    };
    assert_eq!(times(1), times(1));
    for second in 10..20 {
        let count = times(1).iter().filter(|time| **time == second).count();
        assert!((50..=150).contains(&count), "{second} s: {count}");
    }
}

#[test]
fn retries_are_at_most_a_tenth_of_the_dispatches_in_the_long_run() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.on_dispatch();
        retries += u32::from(budget.take());
    }
    assert!(retries <= 10_000 / 10 + 10, "{retries}");
}
