use super::*;
use crate::message::Incarnation;

fn introduction(name: &str, zone: &str, phase: HostPhase) -> HostIntroduction {
    let last = name.bytes().last().unwrap();
    HostIntroduction {
        router: name.parse().unwrap(),
        zone: zone.parse().unwrap(),
        incarnation: Incarnation(1),
        caller_address: format!("10.0.0.{last}:80").parse().unwrap(),
        peer_address: format!("10.0.0.{last}:7400").parse().unwrap(),
        phase,
        cpu_millicores: 250,
        is_crowded: false,
        has_store: true,
        has_callers: true,
    }
}

fn digest(name: &str, zone: &str, phase: HostPhase, seq: u64) -> Digest {
    Digest {
        host: introduction(name, zone, phase),
        seq,
        configuration: ConfigurationStamp::default(),
        configuration_age_ms: None,
        endpoints_at: StorePosition::default(),
        leaving: Vec::new(),
        arrivals_per_core_s: 100,
        endpoints: Vec::new(),
        teams: Vec::new(),
        placed: Vec::new(),
        is_brief: false,
        known_hosts: Vec::new(),
        known_hosts_len: 0,
        heartbeats: Vec::new(),
        introduced: Vec::new(),
    }
}

fn at(ms: u64) -> Timestamp {
    Timestamp(10_000_000 + ms * 1_000)
}

fn callers(table: &HostTable, now: Timestamp) -> Vec<String> {
    let own = introduction("own-a", "one", HostPhase::Serving);
    let addresses = table.caller_addresses(&own, now, 64);
    addresses.iter().map(ToString::to_string).collect()
}

#[test]
fn routers_in_the_own_zone_come_first_and_leaving_ones_are_left_out() {
    let mut table = HostTable::default();
    table.on_digest(&digest("r-b", "two", HostPhase::Serving, 1), at(0));
    table.on_digest(&digest("r-c", "one", HostPhase::Serving, 1), at(0));
    table.on_digest(&digest("r-d", "one", HostPhase::Leaving, 1), at(0));
    table.on_digest(&digest("r-e", "one", HostPhase::Starting, 1), at(0));
    assert_eq!(
        callers(&table, at(1)),
        ["10.0.0.97:80", "10.0.0.99:80", "10.0.0.98:80"]
    );
}

#[test]
fn a_router_whose_digests_stop_is_not_given_out() {
    let mut table = HostTable::default();
    table.on_digest(&digest("r-b", "one", HostPhase::Serving, 1), at(0));
    table.on_digest(&digest("r-c", "one", HostPhase::Serving, 1), at(900));
    assert_eq!(callers(&table, at(1_000)), ["10.0.0.97:80", "10.0.0.99:80"]);
}

#[test]
fn a_router_that_hears_no_other_gives_out_all_known_addresses() {
    let mut table = HostTable::default();
    table.on_digest(&digest("r-b", "one", HostPhase::Serving, 1), at(0));
    assert_eq!(callers(&table, at(5_000)), ["10.0.0.97:80", "10.0.0.98:80"]);
}

/// The last router of a fleet gave out addresses at which nothing answered, for a minute after all others
/// were lost.
#[test]
fn the_last_router_stops_giving_out_lost_ones_after_the_longest_partition() {
    let own = introduction("own-a", "one", HostPhase::Serving);
    let mut table = HostTable::default();
    table.on_digest(&digest("r-b", "one", HostPhase::Serving, 1), at(0));
    let mut idle = digest("r-c", "two", HostPhase::Serving, 1);
    idle.host.has_callers = false;
    table.on_digest(&idle, at(0));
    assert_eq!(callers(&table, at(5_400)).len(), 3);
    assert_eq!(callers(&table, at(5_500)), ["10.0.0.97:80"]);
    assert!(table.is_given_out(&own, at(5_500)));
    // One of them is back, and another one was lost later.
    table.on_digest(&digest("r-d", "one", HostPhase::Serving, 1), at(6_000));
    let mut restarted = digest("r-b", "one", HostPhase::Serving, 1);
    restarted.host.incarnation = Incarnation(2);
    table.on_digest(&restarted, at(9_000));
    assert_eq!(callers(&table, at(9_001)), ["10.0.0.97:80", "10.0.0.98:80"]);
}

/// A router that leaves names no other one for longer, if all others are gone.
#[test]
fn the_last_router_that_leaves_gives_out_no_address() {
    let own = introduction("own-a", "one", HostPhase::Leaving);
    let mut table = HostTable::default();
    table.on_digest(&digest("r-b", "one", HostPhase::Serving, 1), at(0));
    assert_eq!(table.caller_addresses(&own, at(5_400), 64).len(), 1);
    assert!(table.caller_addresses(&own, at(5_500), 64).is_empty());
}

#[test]
fn a_late_digest_is_ignored() {
    let mut table = HostTable::default();
    assert!(table.on_digest(&digest("r-b", "one", HostPhase::Leaving, 5), at(0)));
    assert!(!table.on_digest(&digest("r-b", "one", HostPhase::Serving, 4), at(1)));
    assert_eq!(callers(&table, at(2)), ["10.0.0.97:80"]);
    let mut restarted = digest("r-b", "one", HostPhase::Serving, 1);
    restarted.host.incarnation = Incarnation(2);
    assert!(table.on_digest(&restarted, at(3)));
}

#[test]
fn routers_are_discovered_through_others() {
    let mut table = HostTable::default();
    let mut naming = digest("r-b", "one", HostPhase::Serving, 1);
    naming.known_hosts = vec!["10.0.0.120:7400".parse().unwrap()];
    table.on_digest(&naming, at(0));
    table.on_rumors(
        &naming,
        introduction("own-a", "one", HostPhase::Serving).id(),
        Some(Duration::ZERO),
        at(0),
    );
    let addresses = table.peer_addresses(at(1));
    assert_eq!(addresses.len(), 2);
    assert_eq!(table.peer_addresses(at(70_000)).len(), 0);
}

/// One router attracted 1,650 requests per second: callers reuse idle connections, and a router
/// that refuses requests at once has many of them.
#[test]
fn a_router_with_excess_arrivals_sends_callers_elsewhere() {
    let mut table = HostTable::default();
    for name in ["r-b", "r-c", "r-d"] {
        table.on_digest(&digest(name, "one", HostPhase::Serving, 1), at(0));
    }
    assert!(!table.has_excess_arrivals(120, at(1)));
    let mut idle = digest("r-e", "one", HostPhase::Serving, 1);
    idle.host.cpu_millicores = 60;
    idle.arrivals_per_core_s = 0;
    table.on_digest(&idle, at(0));
    assert!(
        !table.has_excess_arrivals(140, at(1)),
        "small routers are idle"
    );
    assert!(table.has_excess_arrivals(1_650, at(1)));
    assert!(
        !table.has_excess_arrivals(1_650, at(5_000)),
        "no other router is present"
    );
}

/// All callers of a large team may stay with the one address that they got.
#[test]
fn a_crowded_router_is_not_given_out_unless_most_are() {
    let mut table = HostTable::default();
    let mut crowded = digest("r-b", "one", HostPhase::Serving, 1);
    crowded.host.is_crowded = true;
    table.on_digest(&crowded, at(0));
    table.on_digest(&digest("r-c", "one", HostPhase::Serving, 1), at(0));
    table.on_digest(&digest("r-d", "one", HostPhase::Serving, 1), at(0));
    let crowded_address = crowded.host.caller_address.to_string();
    assert!(!callers(&table, at(1)).contains(&crowded_address));
    for name in ["r-c", "r-d"] {
        let mut crowded = digest(name, "one", HostPhase::Serving, 2);
        crowded.host.is_crowded = true;
        table.on_digest(&crowded, at(2));
    }
    assert_eq!(callers(&table, at(3)).len(), 4);
}

#[test]
fn small_routers_are_given_out_if_large_ones_lack_capacity() {
    let own = introduction("own-a", "one", HostPhase::Serving);
    let fleet = |arrivals_per_core_s| {
        let mut table = HostTable::default();
        for (name, cpu_millicores) in [("r-b", 500), ("r-c", 500), ("r-d", 500), ("r-e", 120)] {
            let mut sized = digest(name, "one", HostPhase::Serving, 1);
            sized.host.cpu_millicores = cpu_millicores;
            sized.arrivals_per_core_s = arrivals_per_core_s;
            table.on_digest(&sized, at(0));
        }
        table
    };
    let leave = |table: &mut HostTable, name| {
        table.on_digest(&digest(name, "one", HostPhase::Leaving, 2), at(2));
    };
    let mut table = fleet(100);
    // The own router, with 250 millicores, is left out while three of twice its size suffice.
    let addresses = table.caller_addresses(&own, at(1), 64);
    assert_eq!(addresses.len(), 3);
    assert!(!addresses.contains(&own.caller_address));
    leave(&mut table, "r-b");
    leave(&mut table, "r-c");
    assert_eq!(
        table.caller_addresses(&own, at(3), 64).len(),
        2,
        "two large routers can handle 62 requests per second"
    );
    // With two large routers the small one is left out, since a large team might stay with it.
    // The last large router alone needs the small one's capacity.
    let alone = introduction("own-a", "one", HostPhase::Leaving);
    assert_eq!(table.caller_addresses(&alone, at(3), 64).len(), 2);
    // 810 requests per second exceed the capacity of 750 millicores.
    let mut table = fleet(1_500);
    leave(&mut table, "r-b");
    leave(&mut table, "r-c");
    assert_eq!(table.caller_addresses(&own, at(3), 64).len(), 3);
}

#[test]
fn crowded_large_routers_are_not_replaced_by_small_ones() {
    let own = introduction("own-a", "one", HostPhase::Serving);
    let mut table = HostTable::default();
    let mut add = |name, cpu_millicores, is_crowded| {
        let mut sized = digest(name, "one", HostPhase::Serving, 1);
        sized.host.cpu_millicores = cpu_millicores;
        sized.host.is_crowded = is_crowded;
        table.on_digest(&sized, at(0));
    };
    for name in ["r-b", "r-c", "r-d"] {
        add(name, 800, true);
    }
    for name in ["r-f", "r-g", "r-h", "r-i", "r-j"] {
        add(name, 120, false);
    }
    assert_eq!(table.caller_addresses(&own, at(1), 64).len(), 3);
}

#[test]
fn a_router_that_hears_none_with_callers_gives_out_recently_heard_ones() {
    let own = introduction("own-a", "one", HostPhase::Serving);
    let mut table = HostTable::default();
    let mut add = |name, cpu_millicores, has_callers, seq, now| {
        let mut sized = digest(name, "one", HostPhase::Serving, seq);
        sized.host.cpu_millicores = cpu_millicores;
        sized.host.has_callers = has_callers;
        table.on_digest(&sized, now);
    };
    for name in ["r-b", "r-c", "r-d"] {
        add(name, 800, true, 1, at(0));
    }
    add("r-e", 120, false, 1, at(0));
    add("r-e", 120, false, 2, at(2_900));
    assert_eq!(table.caller_addresses(&own, at(2_900), 64).len(), 3);
    let after = table.caller_addresses(&own, at(3_100), 64);
    assert_eq!(
        after.len(),
        2,
        "expected the own router and the one that it hears: {after:?}"
    );
}

#[test]
fn a_router_is_present_while_other_routers_hear_it() {
    let mut here = HostTable::default();
    let mut there = HostTable::default();
    let own = introduction("own-a", "one", HostPhase::Serving).id();
    for seq in 1..=20 {
        let received = digest("r-b", "one", HostPhase::Serving, seq);
        if seq == 1 {
            here.on_digest(&received, at(0));
        }
        there.on_digest(&received, at(seq * 75));
        let mut relayed = digest("r-c", "one", HostPhase::Serving, seq);
        relayed.heartbeats = there.heartbeats(32, 0, at(seq * 75 + 10));
        here.on_rumors(&relayed, own, Some(Duration::ZERO), at(seq * 75 + 10));
    }
    assert_eq!(here.present(at(2_000)).count(), 1);
    // Relaying an old heartbeat does not keep a router present that no router hears any more.
    let mut relayed = digest("r-c", "one", HostPhase::Serving, 21);
    relayed.heartbeats = there.heartbeats(32, 0, at(2_100));
    here.on_rumors(&relayed, own, Some(Duration::ZERO), at(2_110));
    assert_eq!(here.present(at(2_250)).count(), 0);
}

#[test]
fn a_heartbeat_of_an_earlier_incarnation_is_ignored() {
    let mut here = HostTable::default();
    let own = introduction("own-a", "one", HostPhase::Serving).id();
    let old = digest("r-b", "one", HostPhase::Serving, 900);
    let mut there = HostTable::default();
    there.on_digest(&old, at(0));
    let mut restarted = digest("r-b", "one", HostPhase::Leaving, 1);
    restarted.host.incarnation = Incarnation(2);
    here.on_digest(&restarted, at(10));
    let mut relayed = digest("r-c", "one", HostPhase::Serving, 1);
    relayed.heartbeats = there.heartbeats(32, 0, at(20));
    relayed.introduced = there.introductions(8, 0, at(20));
    here.on_rumors(&relayed, own, Some(Duration::ZERO), at(20));
    assert_eq!(callers(&here, at(21)), ["10.0.0.97:80"]);
}

#[test]
fn a_few_routers_read_the_store_and_others_replace_partitioned_ones() {
    let names = ["r-b", "r-c", "r-d", "r-e", "r-f"];
    let mut table = HostTable::default();
    for name in names {
        table.on_digest(&digest(name, "one", HostPhase::Serving, 1), at(0));
    }
    let readers = |table: &HostTable, now| {
        let reads = |name: &&&str| {
            let own = introduction(name, "one", HostPhase::Serving);
            table.reads_store(&own, 2, now)
        };
        names.iter().filter(reads).copied().collect::<Vec<_>>()
    };
    let first = readers(&table, at(1));
    assert_eq!(first.len(), 2);
    let mut partitioned = digest(first[0], "one", HostPhase::Serving, 2);
    partitioned.host.has_store = false;
    table.on_digest(&partitioned, at(2));
    // The partitioned router keeps trying, and another one reads in its place.
    assert_eq!(readers(&table, at(3)).len(), 3);
    assert_eq!(
        readers(&table, at(5_000)).len(),
        5,
        "no router hears another"
    );
}

fn position(revision: u64) -> StorePosition {
    StorePosition { era: 1, revision }
}

/// A key was revoked while a host was partitioned. Another host restarted, took its configuration
/// from the partitioned one, and accepted the key again.
#[test]
fn a_starting_router_asks_the_one_that_is_furthest_ahead() {
    let mut table = HostTable::default();
    for (name, version, revision) in [
        ("r-b", 3, 40),
        ("r-c", 9, 70),
        ("r-d", 9, 72),
        ("r-e", 3, 41),
    ] {
        let mut received = digest(name, "one", HostPhase::Serving, 1);
        received.configuration = ConfigurationStamp::new(version, b"", 1, None);
        received.endpoints_at = position(revision);
        table.on_digest(&received, at(0));
    }
    let selected = |is_starting, draw| {
        let none = ConfigurationStamp::default();
        let ahead = table.host_ahead(&none, StorePosition::default(), is_starting, draw, at(1));
        let host = ahead.unwrap();
        host.introduction.router.to_string()
    };
    for draw in 0..8 {
        assert_eq!(selected(true, draw), "r-d");
    }
    let spread: std::collections::HashSet<String> =
        (0..8).map(|draw| selected(false, draw)).collect();
    assert_eq!(spread.len(), 4, "running routers spread their requests");
    let newest = ConfigurationStamp::new(9, b"", 1, None);
    let ahead = table.host_ahead(&newest, position(72), false, 0, at(1));
    assert!(ahead.is_none());
}

/// In a fleet of hundreds, the oldest heartbeats are seconds old, but placement does not use them.
#[test]
fn load_age_covers_only_routers_with_callers() {
    let mut table = HostTable::default();
    let mut idle = digest("r-b", "one", HostPhase::Serving, 1);
    idle.host.has_callers = false;
    table.on_digest(&idle, at(0));
    assert_eq!(table.oldest_load_age(at(10)), None);
    let mut loaded = digest("r-c", "one", HostPhase::Serving, 1);
    loaded.host.has_callers = true;
    table.on_digest(&loaded, at(400));
    let age = table.oldest_load_age(at(450));
    assert_eq!(age, Some(Duration::from_millis(50)));
}
