use super::*;

const FIRST_START: Incarnation = Incarnation(1);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn at(ms: u64) -> Timestamp {
    Timestamp(ms * 1_000)
}

fn address(number: u8) -> SocketAddr {
    format!("10.0.0.{number}:7400").parse().unwrap()
}

/// Two routers whose clocks started at different times.
#[derive(Default)]
struct Pair {
    here: RoundTrips,
    there: RoundTrips,
}

/// How far the clock of the other router is ahead.
const CLOCK_OFFSET_MS: u64 = 70_000;

impl Pair {
    fn send_there(&mut self, written_ms: u64, read_ms: u64) -> Option<Duration> {
        let timing = self.here.timing_for(address(2), at(written_ms));
        let now = at(read_ms + CLOCK_OFFSET_MS);
        self.there
            .on_message(address(1), FIRST_START, &timing, FIRST_START, now)
    }

    fn send_here(&mut self, written_ms: u64, read_ms: u64) -> Option<Duration> {
        self.send_to_start(FIRST_START, written_ms, read_ms)
    }

    fn send_to_start(
        &mut self,
        own: Incarnation,
        written_ms: u64,
        read_ms: u64,
    ) -> Option<Duration> {
        let written_at = at(written_ms + CLOCK_OFFSET_MS);
        let timing = self.there.timing_for(address(1), written_at);
        self.here
            .on_message(address(2), FIRST_START, &timing, own, at(read_ms))
    }
}

#[test]
fn first_message_between_two_routers_has_no_bound() {
    assert_eq!(Pair::default().send_there(100, 103), None);
}

#[test]
fn bound_covers_the_way_there_and_back_but_not_the_time_between() {
    let mut pair = Pair::default();
    pair.send_there(100, 103);
    let transit = pair.send_here(900, 940).unwrap();
    assert!(transit >= ms(40), "{transit:?}");
    assert!(transit <= ms(44), "{transit:?}");
}

/// A paused router reads messages long after they were written.
#[test]
fn bound_covers_a_pause_of_the_reader() {
    let mut pair = Pair::default();
    pair.send_there(100, 103);
    assert!(pair.send_here(200, 6_200).unwrap() >= ms(6_000));
}

/// An echo of an earlier start carries a time of that start's clock.
#[test]
fn echo_of_an_earlier_start_gives_no_bound() {
    let mut pair = Pair::default();
    pair.send_there(100, 103);
    assert_eq!(pair.send_to_start(Incarnation(2), 200, 203), None);
}

#[test]
fn bound_holds_with_clocks_of_different_rates() {
    let mut pair = Pair::default();
    pair.send_there(0, 0);
    // The other clock gains 2 ms in 20 s, so it reports 20,002 ms as the time held.
    let transit = pair.send_here(20_002, 20_001).unwrap();
    assert!(transit >= ms(1), "{transit:?}");
}

#[test]
fn router_without_a_recent_message_to_echo_gets_one_at_intervals() {
    let mut pair = Pair::default();
    pair.send_here(100, 103);
    assert_eq!(pair.here.take_due_replies(at(110)), [address(2)]);
    pair.send_here(200, 203);
    assert_eq!(pair.here.take_due_replies(at(210)), []);
    pair.send_here(700, 703);
    assert_eq!(pair.here.take_due_replies(at(710)), [address(2)]);
    pair.send_there(720, 723);
    pair.send_here(1_400, 1_403);
    assert_eq!(pair.here.take_due_replies(at(1_410)), []);
    // The bound is large because of this message's delay or of the echoed one's.
    pair.send_here(2_000, 2_300);
    assert_eq!(pair.here.take_due_replies(at(2_310)), [address(2)]);
}
