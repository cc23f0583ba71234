use super::*;

#[test]
fn a_member_that_the_floor_has_caught_up_with_has_no_state() {
    let mut order = ServiceOrder::new(1_000);
    order.start_waiting(1, 1);
    order.start_waiting(2, 1);
    order.serve(1);
    order.charge(1, 1, 10);
    order.stop_waiting(1);
    assert!(order.prune().is_empty());
    for _ in 0..2 {
        order.serve(2);
        order.charge(2, 1, 10);
    }
    assert_eq!(order.prune(), [1]);
    assert_eq!(order.len(), 1);
}

#[test]
fn a_correction_moves_a_member_no_further_than_is_ever_repaid() {
    let mut order = ServiceOrder::new(100);
    order.start_waiting(1, 1);
    order.start_waiting(2, 1);
    order.charge(1, 1, 1_000_000);
    let mut served = 0;
    while order.first() == Some(2) {
        order.serve(2);
        order.charge(2, 1, 10);
        served += 10;
    }
    assert_eq!(served, 100);
}
