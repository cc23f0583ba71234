use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

const FIRST: EndpointId = EndpointId(1);
const SECOND: EndpointId = EndpointId(2);

#[test]
fn a_pause_lasts_until_its_end_and_is_never_shortened() {
    let mut pushbacks = Pushbacks::default();
    pushbacks.record(FIRST, at(2_000));
    pushbacks.record(FIRST, at(500));
    assert!(pushbacks.is_active(FIRST, at(1_999)));
    assert!(!pushbacks.is_active(FIRST, at(2_000)));
    assert!(!pushbacks.is_active(SECOND, at(0)));
    pushbacks.expire(at(2_000));
    assert!(pushbacks.until.is_empty());
}

#[test]
fn the_earliest_end_is_given_when_all_endpoints_are_paused() {
    let mut pushbacks = Pushbacks::default();
    let both = [FIRST, SECOND];
    assert_eq!(pushbacks.earliest_end(&both, &[], at(0)), None);
    pushbacks.record(FIRST, at(3_000));
    assert_eq!(pushbacks.earliest_end(&both, &[], at(0)), None);
    let tried_other = pushbacks.earliest_end(&both, &[SECOND], at(0));
    assert_eq!(tried_other, Some(at(3_000)));
    pushbacks.record(SECOND, at(1_000));
    assert_eq!(pushbacks.earliest_end(&both, &[], at(0)), Some(at(1_000)));
    assert_eq!(pushbacks.earliest_end(&both, &[], at(1_500)), None);
}
