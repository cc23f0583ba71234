use super::*;

const MAX: Duration = Duration::from_millis(4_250);

fn at(ms: u64) -> Timestamp {
    Timestamp(50_000_000 + ms * 1_000)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Takes turns every 25 ms, as a running process does.
fn run(confirmation: &mut Confirmation, from_ms: u64, to_ms: u64) {
    for now in (from_ms..=to_ms).step_by(25) {
        confirmation.on_wakeup(at(now));
    }
}

fn running(until_ms: u64) -> Confirmation {
    let mut confirmation = Confirmation::default();
    run(&mut confirmation, 0, until_ms);
    confirmation
}

#[test]
fn nothing_holds_before_anyone_confirmed_it() {
    assert!(!running(1_000).is_fresh(MAX, at(1_000)));
}

#[test]
fn keys_hold_for_a_bounded_time_without_store_and_routers() {
    let mut confirmation = running(1_000);
    confirmation.on_store_read(at(990), None, at(1_000));
    assert!(confirmation.is_fresh(MAX, at(990) + MAX - ms(1)));
    assert!(!confirmation.is_fresh(MAX, at(990) + MAX));
    // Contact is back.
    run(&mut confirmation, 1_025, 9_000);
    confirmation.on_peer_confirmation(ms(80), at(9_000));
    assert_eq!(confirmation.age(at(9_000)), Some(ms(80)));
}

/// The answer to a watch that came with changes may have been on its way ever since.
#[test]
fn an_answer_counts_from_when_it_must_be_true() {
    let mut confirmation = running(3_000);
    confirmation.on_store_read(at(500), None, at(3_000));
    assert_eq!(confirmation.age(at(3_000)), Some(ms(2_500)));
    confirmation.on_store_read(at(1_900), Some(ms(1_000)), at(3_000));
    assert_eq!(confirmation.age(at(3_000)), Some(ms(100)));
    // It never gets older by an older word.
    confirmation.on_peer_confirmation(ms(2_000), at(3_000));
    assert_eq!(confirmation.age(at(3_000)), Some(ms(100)));
}

/// A process that stood still reads what came to its sockets long ago.
#[test]
fn words_that_lay_in_the_sockets_during_a_standstill_do_not_count() {
    let mut confirmation = running(1_000);
    confirmation.on_store_read(at(990), None, at(1_000));
    confirmation.on_wakeup(at(11_000));
    confirmation.on_peer_confirmation(ms(75), at(11_000));
    confirmation.on_store_read(at(980), Some(ms(1_000)), at(11_001));
    run(&mut confirmation, 11_025, 11_400);
    confirmation.on_peer_confirmation(ms(75), at(11_400));
    assert!(!confirmation.is_fresh(MAX, at(11_400)));
    // A question sent after it is as good as ever, and so are later words.
    confirmation.on_store_read(at(11_405), None, at(11_410));
    assert!(confirmation.is_fresh(MAX, at(11_410)));
    run(&mut confirmation, 11_425, 11_600);
    confirmation.on_peer_confirmation(ms(75), at(11_600));
    assert_eq!(confirmation.age(at(11_600)), Some(ms(75)));
}

/// A withdrawal that the store lost is heard from other routers first.
#[test]
fn a_store_that_came_back_from_a_copy_confirms_nothing_for_a_moment() {
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
    let settled = at(1_000) + RESTORE_SETTLES_WITHIN;
    confirmation.on_store_read(settled, None, settled);
    assert_eq!(confirmation.age(settled), Some(Duration::ZERO));
}
