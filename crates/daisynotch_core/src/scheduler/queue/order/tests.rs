use super::*;

#[test]
fn member_at_or_behind_the_floor_has_no_state() {
    let mut order = ServiceOrder::new(1_000);
    order.start_waiting(1, 1);
    order.start_waiting(2, 1);
    order.advance_floor(1);
    order.charge(1, 1, 10);
    order.stop_waiting(1);
    assert!(order.prune().is_empty());
    for _ in 0..2 {
        order.advance_floor(2);
        order.charge(2, 1, 10);
    }
    assert_eq!(order.prune(), [1]);
    assert_eq!(order.len(), 1);
}

#[test]
fn correction_is_bounded_by_the_maximum_repayment() {
    let mut order = ServiceOrder::new(100);
    order.start_waiting(1, 1);
    order.start_waiting(2, 1);
    order.charge(1, 1, 1_000_000);
    let mut served = 0;
    while order.first() == Some(2) {
        order.advance_floor(2);
        order.charge(2, 1, 10);
        served += 10;
    }
    assert_eq!(served, 100);
}
