use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp(10_000_000 + ms * 1_000)
}

#[test]
fn an_unreachable_endpoint_is_passed_over_for_a_while() {
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
fn one_failed_answer_among_many_does_not_make_an_endpoint_suspect() {
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
fn an_endpoint_with_an_overdue_answer_is_suspect_until_it_sends_a_byte() {
    let mut health = Health::default();
    health.expect_answer(Some(at(100)));
    assert!(!health.is_suspect(at(400)));
    assert!(health.is_suspect(at(500)));
    health.on_byte(at(500));
    assert!(!health.is_suspect(at(600)));
    health.expect_answer(None);
    assert!(!health.is_suspect(at(10_000)));
}

/// Requests at an engine that is only slow stay there: no other engine is a better place for them.
#[test]
fn outstanding_requests_move_later_than_an_endpoint_becomes_suspect() {
    let mut health = Health::default();
    health.expect_answer(Some(at(100)));
    assert!(health.is_suspect(at(700)) && !health.is_lost(at(700)));
    assert!(health.is_lost(at(1_200)));
    health.on_byte(at(1_200));
    assert!(!health.is_lost(at(1_300)));
}
