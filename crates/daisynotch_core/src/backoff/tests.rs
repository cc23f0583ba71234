use super::*;

const SETTINGS: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(100),
    longest: Duration::from_millis(1_000),
    budget: Some(6),
};

#[test]
fn delays_double_up_to_the_bound_until_the_budget_is_exhausted() {
    let mut backoff = Backoff::new(SETTINGS, 7);
    for bound_ms in [100, 200, 400, 800, 1_000, 1_000] {
        let delay = backoff
            .next_delay()
            .expect("the retry budget is not exhausted");
        let bound = Duration::from_millis(bound_ms);
        assert!(delay >= bound / 2 && delay <= bound, "{delay:?}");
    }
    assert_eq!(backoff.next_delay(), None);
    backoff.reset();
    assert!(backoff.next_delay().is_some());
}

/// After an outage, no 100 ms slice may have twice its fair share of the retries of 1,700
/// routers.
#[test]
fn jitter_spreads_the_first_calls_after_an_outage() {
    const ROUTERS: usize = 1_700;
    const SLICES: usize = 5;
    let mut slices = [0_usize; SLICES];
    for seed in 0..ROUTERS as u64 {
        let delay = jittered(SETTINGS.longest, seed, 1);
        let slice = (delay.as_millis() as usize - 500) / 100;
        slices[slice.min(SLICES - 1)] += 1;
    }
    let fair = ROUTERS / SLICES;
    let most = slices.iter().max().expect("SLICES is not zero");
    assert!(*most < 2 * fair, "{slices:?}");
}
