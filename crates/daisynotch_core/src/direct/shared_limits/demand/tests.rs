use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

/// Sends requests at an even rate and returns the levels, one for each 75 ms.
fn levels(demand: &mut Demand, from_ms: u64, per_s: u64, seconds: u64) -> Vec<DemandLevel> {
    let mut levels = Vec::new();
    for ms in from_ms..from_ms + seconds * 1_000 {
        if ms % (1_000 / per_s) == 0 {
            demand.on_request(1.0, at(ms));
        }
        if ms % 75 == 0 {
            levels.push(demand.level(at(ms)));
        }
    }
    levels
}

#[test]
fn the_level_follows_the_rate() {
    let mut demand = Demand::default();
    assert_eq!(demand.level(at(0)), DemandLevel(0));
    let slow = *levels(&mut demand, 0, 2, 20).last().unwrap();
    let fast = *levels(&mut demand, 20_000, 40, 20).last().unwrap();
    assert!((8.0..40.0).contains(&(fast.weight() / slow.weight())));
    assert_eq!(demand.level(at(200_000)), DemandLevel(0));
    assert_eq!(DemandLevel(0).weight(), 0.0);
}

/// A level that changed with every request would change the parts of all routers all the time.
#[test]
fn an_even_rate_keeps_one_level() {
    let mut demand = Demand::default();
    levels(&mut demand, 0, 5, 20);
    let mut later = levels(&mut demand, 20_000, 5, 20);
    later.dedup();
    assert_eq!(later.len(), 1);
}
