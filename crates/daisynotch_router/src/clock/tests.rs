use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn suspended_time_is_added() {
    let clock = Clock::start();
    let before = clock.at(ms(5_000), Duration::ZERO);
    let after = clock.at(ms(5_010), ms(8_000));
    assert_eq!(after.since(before), ms(8_010));
}

#[test]
fn the_delay_between_two_clock_reads_is_not_a_suspension() {
    let clock = Clock::start();
    assert_eq!(
        clock.at(ms(5_000), ms(1)),
        clock.at(ms(5_000), Duration::ZERO)
    );
    let mut last = clock.now();
    for _ in 0..10_000 {
        let now = clock.now();
        assert!(now >= last, "{now} after {last}");
        last = now;
    }
}
