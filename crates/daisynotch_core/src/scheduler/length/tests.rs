use super::*;

#[test]
fn request_hinted_short_becomes_long_by_attained_service() {
    let mut classifier = LengthClassifier::default();
    for _ in 0..200 {
        classifier.record(LengthClass::Short, Cost(40));
    }
    assert_eq!(
        classifier.classify(LengthClass::Short, Cost(240)),
        LengthClass::Short
    );
    assert_eq!(
        classifier.classify(LengthClass::Short, Cost(320)),
        LengthClass::Long
    );
    assert_eq!(
        classifier.classify(LengthClass::Long, Cost(0)),
        LengthClass::Long
    );
}

#[test]
fn short_work_may_overflow_only_while_long_work_exceeds_its_quota() {
    assert_eq!(long_slot_quota(16), 12);
    assert_eq!(overflow_slots(16, 12), 0);
    assert_eq!(overflow_slots(16, 14), 2);
    assert_eq!(overflow_slots(16, 16), 4);
    assert_eq!(long_slot_quota(1), 1);
}
