//! Checks that the model check finds each fault seeded into the core.

use daisynotch_core::seeded_fault::{SeededFault, seed};

use crate::explore::{Bounds, every_schedule};
use crate::invariants::Invariant;
use crate::scenario::Scenario;
use crate::schedules::{CROWDED, ONE_SLOT, TWO_SHARDS};

fn assert_found(fault: SeededFault, scenario: Scenario, bounds: Bounds, invariant: Invariant) {
    seed(Some(fault));
    let explored = every_schedule(scenario, bounds);
    seed(None);
    let found = explored.counterexample.expect("the fault is found");
    assert_eq!(found.violation.invariant, invariant, "{}", found.violation);
    println!(
        "{fault:?}: schedule {} breaks {invariant:?}",
        explored.schedules
    );
}

const ONE_FAULT: Bounds = Bounds {
    steps: 10,
    deviations: 1,
};
const TWO_FAULTS: Bounds = Bounds {
    steps: 12,
    deviations: 2,
};

#[test]
fn a_second_dispatch_of_running_work_is_found() {
    let invariant = Invariant::OneDispatchAtATime;
    assert_found(
        SeededFault::DispatchWhileRunning,
        ONE_SLOT,
        ONE_FAULT,
        invariant,
    );
}

#[test]
fn a_second_run_of_failed_work_is_found() {
    let invariant = Invariant::AtMostOnce;
    assert_found(
        SeededFault::RetryAfterFailure,
        ONE_SLOT,
        ONE_FAULT,
        invariant,
    );
}

#[test]
fn a_refusal_of_running_work_is_found() {
    let invariant = Invariant::NotRunIsTrue;
    assert_found(SeededFault::KeepDeadline, TWO_SHARDS, ONE_FAULT, invariant);
}

#[test]
fn a_forgotten_request_is_found() {
    let invariant = Invariant::NothingLost;
    assert_found(
        SeededFault::ForgetUnreachable,
        ONE_SLOT,
        ONE_FAULT,
        invariant,
    );
}

#[test]
fn a_slot_that_is_never_asked_after_is_found() {
    assert_found(
        SeededFault::NoQuery,
        ONE_SLOT,
        ONE_FAULT,
        Invariant::NoSlotLeak,
    );
}

#[test]
fn a_slot_that_is_freed_twice_is_found() {
    let invariant = Invariant::NoOverAdmission;
    assert_found(SeededFault::FreeTwice, CROWDED, TWO_FAULTS, invariant);
}

#[test]
fn a_step_back_of_the_configuration_is_found() {
    let invariant = Invariant::RevisionMonotone;
    assert_found(
        SeededFault::AcceptOldRevision,
        ONE_SLOT,
        ONE_FAULT,
        invariant,
    );
}

#[test]
fn the_use_of_an_expired_grant_is_found() {
    let invariant = Invariant::GrantValidity;
    assert_found(SeededFault::IgnoreValidity, ONE_SLOT, ONE_FAULT, invariant);
}

#[test]
fn a_ticket_number_that_is_used_again_is_found() {
    let invariant = Invariant::GrantValidity;
    assert_found(
        SeededFault::KeepTicketNumber,
        TWO_SHARDS,
        TWO_FAULTS,
        invariant,
    );
}

#[test]
fn a_ticket_of_a_lost_entry_that_is_heard_is_found() {
    assert_found(
        SeededFault::AcceptLostEntry,
        ONE_SLOT,
        TWO_FAULTS,
        Invariant::NoSlotLeak,
    );
}
