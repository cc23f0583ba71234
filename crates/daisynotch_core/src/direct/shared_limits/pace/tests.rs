use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

const PART: Part = Part {
    per_s: 2.0,
    burst: 1.5,
};

/// Returns how many requests are sent in `seconds` if all that are allowed are sent.
fn sent(pace: &mut Pace, from_ms: u64, seconds: u64) -> u32 {
    let mut sent = 0;
    for ms in from_ms..from_ms + seconds * 1_000 {
        if pace.allows(at(ms)) {
            pace.charge(at(ms));
            sent += 1;
        }
    }
    sent
}

#[test]
fn requests_are_paced_at_the_part() {
    let mut pace = Pace::new(PART, at(0));
    assert_eq!(sent(&mut pace, 0, 4), 8);
    // After a pause no more than the burst is added.
    assert_eq!(sent(&mut pace, 60_000, 4), 9);
}

#[test]
fn a_larger_part_is_used_only_after_the_others_have_shrunk_theirs() {
    let mut pace = Pace::held(at(0));
    for ms in 0..500 {
        pace.set_part(PART, at(ms));
        assert!(!pace.allows(at(ms)), "{ms}");
    }
    pace.set_part(PART, at(500));
    assert_eq!(sent(&mut pace, 500, 4), 7);
}

#[test]
fn the_smallest_part_of_the_delay_is_used() {
    let mut pace = Pace::new(PART, at(0));
    let due = |per_s| Part { per_s, ..PART };
    pace.set_part(due(9.0), at(0));
    pace.set_part(due(3.0), at(200));
    pace.set_part(due(9.0), at(500));
    assert_eq!(pace.per_s(), 3.0);
    pace.set_part(due(1.0), at(501));
    assert_eq!(pace.per_s(), 1.0);
}

#[test]
fn questions_are_made_up_for_by_later_requests() {
    let mut pace = Pace::new(PART, at(0));
    for _ in 0..100 {
        pace.charge(at(0));
    }
    assert!(!pace.allows(at(1_000)));
    // The debt is bounded.
    assert!(pace.allows(at(3_000)));
}

#[test]
fn unused_requests_become_less_scarce() {
    let mut pace = Pace::new(PART, at(0));
    assert_eq!(pace.scarcity(at(0)), 1.0);
    assert_eq!(pace.scarcity(at(125)), 0.5);
    assert_eq!(pace.scarcity(at(9_000)), 0.0);
    pace.set_part(Part::default(), at(9_000));
    assert_eq!(pace.wait(at(9_000)), None);
}
