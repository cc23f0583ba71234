use super::*;

const PEER: RouterId = RouterId(7);
const MAX: Duration = Duration::from_millis(4_250);

fn at(ms: u64) -> Timestamp {
    Timestamp(50_000_000 + ms * 1_000)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Wakes up every 25 ms, as a running process does.
fn run_process(confirmation: &mut Confirmation, from_ms: u64, to_ms: u64) {
    for now in (from_ms..=to_ms).step_by(25) {
        confirmation.on_wakeup(at(now));
    }
}

fn process_running(until_ms: u64) -> Confirmation {
    let mut confirmation = Confirmation::default();
    run_process(&mut confirmation, 0, until_ms);
    confirmation
}

#[test]
fn configuration_is_not_fresh_before_its_first_confirmation() {
    assert!(!process_running(1_000).is_fresh(MAX, at(1_000)));
}

#[test]
fn configuration_goes_stale_without_store_and_routers() {
    let mut confirmation = process_running(1_000);
    confirmation.on_store_read(at(990), None, at(1_000));
    assert!(confirmation.is_fresh(MAX, at(990) + MAX - ms(1)));
    assert!(!confirmation.is_fresh(MAX, at(990) + MAX));
    // The connection to the other routers is restored.
    run_process(&mut confirmation, 1_025, 9_000);
    confirmation.on_peer_confirmation(PEER, ms(80), at(9_000));
    assert_eq!(confirmation.age(at(9_000)), Some(ms(80)));
}

/// A watch answer with changes may have been sent at any time since the request, so it confirms
/// the configuration only at the time of the request.
#[test]
fn store_answer_confirms_up_to_request_or_end_of_wait() {
    let mut confirmation = process_running(3_000);
    confirmation.on_store_read(at(500), None, at(3_000));
    assert_eq!(confirmation.age(at(3_000)), Some(ms(2_500)));
    confirmation.on_store_read(at(1_900), Some(ms(1_000)), at(3_000));
    assert_eq!(confirmation.age(at(3_000)), Some(ms(100)));
    // An older confirmation does not replace a newer one.
    confirmation.on_peer_confirmation(PEER, ms(2_000), at(3_000));
    assert_eq!(confirmation.age(at(3_000)), Some(ms(100)));
}

/// After a pause, a process reads messages that arrived in its socket buffers long ago.
#[test]
fn messages_buffered_during_a_pause_confirm_nothing() {
    let mut confirmation = process_running(1_000);
    confirmation.on_store_read(at(990), None, at(1_000));
    confirmation.on_wakeup(at(11_000));
    confirmation.on_peer_confirmation(PEER, ms(75), at(11_000));
    confirmation.on_store_read(at(980), Some(ms(1_000)), at(11_001));
    run_process(&mut confirmation, 11_025, 11_400);
    confirmation.on_peer_confirmation(PEER, ms(75), at(11_400));
    assert!(!confirmation.is_fresh(MAX, at(11_400)));
    // Requests sent after the pause count again, and so do messages that arrive after the drain.
    confirmation.on_store_read(at(11_405), None, at(11_410));
    assert!(confirmation.is_fresh(MAX, at(11_410)));
    run_process(&mut confirmation, 11_425, 11_600);
    confirmation.on_peer_confirmation(PEER, ms(75), at(11_600));
    assert_eq!(confirmation.age(at(11_600)), Some(ms(75)));
}

/// The backup may lack a revocation, which then arrives from other routers.
#[test]
fn restored_store_confirms_nothing_until_it_settles() {
    let mut confirmation = Confirmation::default();
    confirmation.on_wakeup(at(0));
    confirmation.on_store_read(at(0), None, at(5));
    confirmation.on_restore(at(1_000));
    confirmation.on_wakeup(at(1_100));
    confirmation.on_store_read(at(1_050), None, at(1_100));
    assert_eq!(
        confirmation.age(at(1_100)),
        Some(Duration::from_millis(1_100))
    );
    let settled = at(1_000) + RESTORE_SETTLE_TIME;
    confirmation.on_store_read(settled, None, settled);
    assert_eq!(confirmation.age(settled), Some(Duration::ZERO));
}
