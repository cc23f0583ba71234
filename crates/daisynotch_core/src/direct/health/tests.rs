use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp(10_000_000 + ms * 1_000)
}

#[test]
fn an_endpoint_that_can_not_be_reached_is_passed_over_for_a_while() {
    let mut health = Health::default();
    assert!(!health.is_suspect(at(0)));
    health.on_connection_failure(at(0), true);
    assert!(health.is_suspect(at(399)));
    assert!(!health.is_suspect(at(401)));
    // The second failure in a row doubles the pause.
    health.on_connection_failure(at(500), true);
    assert!(health.is_suspect(at(1_200)));
    assert!(!health.is_suspect(at(1_301)));
}

#[test]
fn one_failed_answer_among_many_changes_nothing() {
    let mut health = Health::default();
    for _ in 0..20 {
        health.on_success();
    }
    health.on_error_answer(at(0));
    assert!(!health.is_suspect(at(0)));
    for _ in 0..5 {
        health.on_error_answer(at(1));
    }
    assert!(health.is_suspect(at(1)));
}

#[test]
fn silence_beyond_what_is_due_is_suspect_until_a_byte_comes() {
    let mut health = Health::default();
    health.expect_answer(Some(at(100)));
    assert!(!health.is_suspect(at(400)));
    assert!(health.is_suspect(at(500)));
    health.on_byte(at(500));
    assert!(!health.is_suspect(at(600)));
    health.expect_answer(None);
    assert!(!health.is_suspect(at(10_000)));
}

/// Work at an engine that is only behind is not given up: there is no better place for it.
#[test]
fn work_is_given_up_later_than_an_endpoint_is_passed_over() {
    let mut health = Health::default();
    health.expect_answer(Some(at(100)));
    assert!(health.is_suspect(at(700)) && !health.is_lost(at(700)));
    assert!(health.is_lost(at(1_200)));
    health.on_byte(at(1_200));
    assert!(!health.is_lost(at(1_300)));
}
