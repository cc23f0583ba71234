use super::*;

#[test]
fn a_request_that_was_called_short_becomes_long_by_attained_service() {
    let mut judge = LengthJudge::default();
    for _ in 0..200 {
        judge.learn(LengthClass::Short, Cost(40));
    }
    assert_eq!(
        judge.class_of(LengthClass::Short, Cost(240)),
        LengthClass::Short
    );
    assert_eq!(
        judge.class_of(LengthClass::Short, Cost(320)),
        LengthClass::Long
    );
    assert_eq!(
        judge.class_of(LengthClass::Long, Cost(0)),
        LengthClass::Long
    );
}

#[test]
fn short_work_gets_room_only_where_long_work_has_borrowed() {
    assert_eq!(long_slots(16), 12);
    assert_eq!(overflow_slots(16, 12), 0);
    assert_eq!(overflow_slots(16, 14), 2);
    assert_eq!(overflow_slots(16, 16), 4);
    assert_eq!(long_slots(1), 1);
}
