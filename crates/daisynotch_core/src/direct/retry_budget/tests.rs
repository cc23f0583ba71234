use super::*;

fn budget() -> RetryBudget {
    RetryBudget::new(RetryBudgetSettings {
        ratio: 0.2,
        allowance: 40.0,
        window: Duration::from_secs(10),
    })
}

fn at(ms: u64) -> Timestamp {
    Timestamp(10_000_000 + ms * 1_000)
}

#[test]
fn ten_routers_that_all_retry_stay_within_the_shared_budget() {
    let service: Arc<str> = Arc::from("models");
    let mut retries = 0;
    for _ in 0..10 {
        let mut budget = budget();
        for request in 0..30 {
            budget.on_request(&service, at(request));
        }
        retries += (0..100)
            .filter(|_| budget.try_take(&service, 10, at(100)))
            .count();
    }
    let allowed = 0.2 * 300.0 + 40.0;
    assert!((retries as f64) <= allowed, "{retries} of {allowed}");
    assert!(retries > 40);
}

#[test]
fn the_budget_is_restored_after_the_window() {
    let service: Arc<str> = Arc::from("models");
    let mut budget = budget();
    while budget.try_take(&service, 1, at(0)) {}
    assert!(!budget.try_take(&service, 1, at(9_000)));
    assert!(budget.try_take(&service, 1, at(10_001)));
}

#[test]
fn each_service_has_its_own_budget() {
    let mut budget = budget();
    let (one, other) = (Arc::from("one"), Arc::from("other"));
    while budget.try_take(&one, 1, at(0)) {}
    assert!(budget.try_take(&other, 1, at(0)));
}

#[test]
fn no_window_exceeds_the_budget() {
    bolero::check!()
        .with_type::<Vec<(u16, bool)>>()
        .for_each(|steps| {
            let service: Arc<str> = Arc::from("models");
            let mut budget = budget();
            let mut now = at(0);
            let mut requests = Vec::new();
            let mut retries = Vec::new();
            for (pause_ms, is_request) in steps {
                now = now + Duration::from_millis(u64::from(*pause_ms % 700));
                if *is_request {
                    budget.on_request(&service, now);
                    requests.push(now);
                } else if budget.try_take(&service, 1, now) {
                    retries.push(now);
                }
                let window = Duration::from_secs(10);
                let within = |times: &[Timestamp]| {
                    times.iter().filter(|at| now.since(**at) <= window).count() as f64
                };
                assert!(within(&retries) <= 0.2 * within(&requests) + 40.0);
            }
        });
}
