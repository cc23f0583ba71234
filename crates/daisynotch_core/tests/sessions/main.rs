//! Snapshot tests of whole sessions under a virtual clock.
//!
//! A transcript lists every message about a request, every decision and the end of
//! every request, in text for operators; it omits heartbeats. A protocol change
//! shows up as a changed snapshot, to be reviewed before it is accepted.

mod transcript;

use daisynotch_core::{Input, ReleaseReason};

use transcript::Session;

#[test]
fn a_callers_session() {
    let mut session = Session::start();
    let scheduler = session.scheduler();
    let entry = session.other_than(scheduler);
    session.note("a caller sends two requests to a router that doesn't schedule");
    let first = session.admit(entry);
    let second = session.admit(entry);
    session.run_ms(700);
    session.finish(entry, first, ReleaseReason::Done);
    session.run_ms(20);
    session.note("the endpoint can't be reached: the work did not run and is tried again");
    session.finish(entry, second, ReleaseReason::Unreachable);
    session.run_ms(3_000);
    session.finish(entry, second, ReleaseReason::Done);
    session.run_ms(20);
    session.status();
    insta::assert_snapshot!(session.text());
}

#[test]
fn a_drain() {
    let mut session = Session::start();
    let scheduler = session.scheduler();
    let entry = session.other_than(scheduler);
    let of_entry = session.admit(entry);
    let of_scheduler = session.admit(scheduler);
    session.run_ms(700);
    session.note("the router that schedules begins to leave; its own request runs on");
    session.input(scheduler, Input::Leave);
    session.run_ms(1_500);
    session.finish(scheduler, of_scheduler, ReleaseReason::Done);
    session.run_ms(700);
    session.finish(entry, of_entry, ReleaseReason::Done);
    session.run_ms(700);
    session.status();
    insta::assert_snapshot!(session.text());
}

#[test]
fn a_schedulers_crash() {
    let mut session = Session::start();
    let scheduler = session.scheduler();
    let entry = session.other_than(scheduler);
    let first = session.admit(entry);
    let second = session.admit(entry);
    session.run_ms(700);
    session.note("the router that schedules crashes while work runs");
    session.crash(scheduler);
    session.run_ms(5_000);
    session.finish(entry, first, ReleaseReason::Done);
    session.run_ms(700);
    session.finish(entry, second, ReleaseReason::Done);
    session.run_ms(700);
    session.status();
    insta::assert_snapshot!(session.text());
}
