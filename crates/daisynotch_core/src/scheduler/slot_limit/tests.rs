use super::*;

fn sample(gap_us: u32, running: u32) -> Sample {
    Sample {
        first_token_ms: Some(100),
        token_gap_us: Some(gap_us),
        running,
    }
}

fn at(time_ms: u64) -> Timestamp {
    Timestamp(time_ms * 1_000)
}

fn observe(limit: &mut SlotLimit, gap_us: u32, running: u32, now: Timestamp) {
    for _ in 0..WINDOW_SAMPLES {
        limit.observe(sample(gap_us, running), now);
    }
}

#[test]
fn limit_grows_only_as_far_as_the_token_gaps_allow() {
    let mut limit = SlotLimit::new(8, true);
    observe(&mut limit, 40_000, 8, at(0));
    for step in 1..100 {
        limit.grow(at(step * 250));
    }
    assert_eq!(limit.get(), 16);
}

#[test]
fn limit_shrinks_immediately_when_gaps_are_too_long_but_not_below_one() {
    let mut limit = SlotLimit::new(8, true);
    observe(&mut limit, 114_000, 8, at(0));
    assert_eq!(limit.get(), 4);
    for step in 1..10 {
        observe(&mut limit, 1_000_000, 1, at(step));
    }
    assert_eq!(limit.get(), 1);
}

#[test]
fn late_first_tokens_shrink_the_limit() {
    let mut limit = SlotLimit::new(8, true);
    for _ in 0..WINDOW_SAMPLES {
        let late = Sample {
            first_token_ms: Some(400),
            token_gap_us: None,
            running: 8,
        };
        limit.observe(late, at(0));
    }
    assert_eq!(limit.get(), 6);
}

#[test]
fn limit_of_a_plain_pool_stays_fixed() {
    let mut limit = SlotLimit::new(8, false);
    observe(&mut limit, 114_000, 8, at(0));
    limit.grow(at(1_000));
    assert_eq!(limit.get(), 8);
}
