use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

fn engine(slots: u32, memory_tokens: u64) -> EngineLimits {
    EngineLimits {
        slots,
        memory_tokens,
    }
}

/// Guards against routers that all see room for the same requests: digests are up to 150 ms old.
#[test]
fn room_is_kept_for_as_much_as_arrived_lately() {
    let engine = engine(64, 100_000);
    let mut arriving = Arriving::default();
    assert!(arriving.leaves_room(engine, 85_000, at(0)));
    assert!(!arriving.leaves_room(engine, 85_001, at(0)));
    for digest in 0..4 {
        arriving.add(8_000, at(digest * 10));
    }
    assert!(!arriving.leaves_room(engine, 75_000, at(30)));
    assert!(arriving.leaves_room(engine, 65_000, at(30)));
    // More than half of the memory is never kept free.
    arriving.add(1_000_000, at(40));
    assert!(arriving.leaves_room(engine, 50_000, at(40)));
    assert!(arriving.leaves_room(engine, 85_000, at(3_000)));
}

#[test]
fn what_is_left_to_generate_is_divided_by_the_slots() {
    let load = Load {
        events_left: 640,
        ..Load::default()
    };
    assert!((load.decode_ms(engine(64, 1), 25.0) - 250.0).abs() < 1e-9);
}

/// A configuration may hold an engine without slots or memory, and a digest any numbers.
#[test]
fn extreme_loads_and_engines_stay_finite() {
    let most = Load {
        unread_tokens: u64::MAX,
        running: u32::MAX,
        memory_tokens: u64::MAX,
        events_left: u64::MAX,
    };
    let sum = most.plus(most);
    assert!(sum.decode_ms(engine(0, 0), 25.0).is_finite());
    assert_eq!(Load::default().minus(most).running, 0);
    let mut arriving = Arriving::default();
    assert!(arriving.leaves_room(engine(0, 0), 0, at(0)));
    arriving.add(u64::MAX, at(0));
    assert!(!arriving.leaves_room(engine(0, 0), 1, at(0)));
}
