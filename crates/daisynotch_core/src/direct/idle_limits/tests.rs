use super::*;

fn at(s: u64) -> Timestamp {
    Timestamp(s * 1_000_000)
}

const fn s(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Guards against closing a connection that a caller may still use under another configuration.
#[test]
fn a_connection_keeps_the_longest_limit_of_its_life() {
    let mut limits = IdleLimits::default();
    assert_eq!(limits.longest_since(at(5)), s(15));
    limits.on_limit(s(1), at(10));
    limits.on_limit(s(4), at(20));
    limits.on_limit(s(2), at(30));
    assert_eq!(limits.longest_since(at(9)), s(15));
    assert_eq!(limits.longest_since(at(10)), s(4));
    assert_eq!(limits.longest_since(at(29)), s(4));
    assert_eq!(limits.longest_since(at(30)), s(2));
}

/// Guards against memory that grows with the number of configurations, and against a merge that
/// shortens a limit.
#[test]
fn old_limits_are_merged_into_the_longest() {
    let mut limits = IdleLimits::default();
    for version in 0..1_000 {
        limits.on_limit(s(20 + version % 7), at(100 + version));
    }
    assert_eq!(limits.limits.len(), LIMITS_MAX);
    assert_eq!(limits.longest_since(at(100)), s(26));
    assert_eq!(limits.longest_since(at(10_000)), s(20 + 999 % 7));
}
