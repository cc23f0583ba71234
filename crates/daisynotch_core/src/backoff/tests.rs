use super::*;

const SETTINGS: BackoffSettings = BackoffSettings {
    first: Duration::from_millis(100),
    longest: Duration::from_millis(1_000),
    budget: Some(6),
};

#[test]
fn delays_grow_to_the_longest_and_end_with_the_budget() {
    let mut backoff = Backoff::new(SETTINGS, 7);
    for bound_ms in [100, 200, 400, 800, 1_000, 1_000] {
        let delay = backoff.next_delay().expect("the budget is not spent");
        let bound = Duration::from_millis(bound_ms);
        assert!(delay >= bound / 2 && delay <= bound, "{delay:?}");
    }
    assert_eq!(backoff.next_delay(), None);
    backoff.reset();
    assert!(backoff.next_delay().is_some());
}

/// After an outage 1,700 routers retry within at most this part of them in any 100 ms.
#[test]
fn seeds_spread_the_first_calls_after_an_outage() {
    const ROUTERS: usize = 1_700;
    const SLICES: usize = 5;
    let mut slices = [0_usize; SLICES];
    for seed in 0..ROUTERS as u64 {
        let delay = jittered(SETTINGS.longest, seed, 1);
        let slice = (delay.as_millis() as usize - 500) / 100;
        slices[slice.min(SLICES - 1)] += 1;
    }
    let fair = ROUTERS / SLICES;
    let most = slices.iter().max().expect("there are slices");
    assert!(*most < 2 * fair, "{slices:?}");
}
