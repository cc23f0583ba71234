use super::*;

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era, revision }
}

fn order(zone: &str, since: StorePosition) -> EvacuationOrder {
    let zone = Arc::from(zone);
    EvacuationOrder { zone, since }
}

const NOW: Timestamp = Timestamp(1_000_000);

/// A listing from before a withdrawal, or a late message, must not bring an order back.
#[test]
fn older_states_are_ignored() {
    let mut evacuations = Evacuations::default();
    evacuations.on_listing(at(1, 10), [order("a", at(1, 7))], NOW);
    let late = evacuations.to_news();
    let changes = evacuations.on_change("a", at(1, 12), false, NOW);
    assert_eq!(changes[0].since, None);
    assert!(evacuations.on_news(late, NOW).is_empty());
    let stale = evacuations.on_listing(at(1, 11), [order("a", at(1, 7))], NOW);
    assert!(stale.is_empty());
    assert!(!evacuations.is_evacuated("a"));
}

/// An order that is withdrawn and given again within a second is in force.
#[test]
fn latest_of_quick_changes_counts() {
    let mut evacuations = Evacuations::default();
    evacuations.on_change("a", at(1, 5), true, NOW);
    evacuations.on_change("a", at(1, 6), false, NOW);
    let changes = evacuations.on_change("a", at(1, 8), true, NOW);
    let expected = EvacuationChange {
        zone: Arc::from("a"),
        since: Some(at(1, 8)),
    };
    assert_eq!(changes, [expected]);
    assert!(evacuations.on_change("a", at(1, 6), false, NOW).is_empty());
    assert!(evacuations.is_evacuated("a"));
}

/// A restore that loses an order must not send requests to the zone before the operators have
/// written the order again, and must not evacuate the zone for ever either.
#[test]
fn order_that_a_restore_lost_lapses_unless_it_is_written_again() {
    for is_written_again in [false, true] {
        let mut evacuations = Evacuations::default();
        evacuations.on_change("a", at(1, 50), true, NOW);
        evacuations.on_listing(at(2, 40), [], NOW);
        assert!(evacuations.is_evacuated("a"));
        // A router that starts hears of the order from this one.
        let mut other = Evacuations::default();
        other.on_news(evacuations.to_news(), NOW);
        assert!(other.is_evacuated("a"));
        if is_written_again {
            evacuations.on_change("a", at(2, 42), true, NOW);
            other.on_news(evacuations.to_news(), NOW);
        }
        for known in [&mut evacuations, &mut other] {
            let changes = known.expire(NOW + RESTORE_GRACE);
            assert_eq!(changes.len(), usize::from(!is_written_again));
            assert_eq!(known.is_evacuated("a"), is_written_again);
        }
    }
}

/// Two zones in turn: the state holds both orders and each withdrawal affects one zone.
#[test]
fn orders_are_independent() {
    let mut evacuations = Evacuations::default();
    evacuations.on_change("a", at(0, 1), true, NOW);
    evacuations.on_change("b", at(0, 2), true, NOW);
    evacuations.on_change("a", at(0, 3), false, NOW);
    let zones: Vec<Arc<str>> = evacuations.orders().map(|order| order.zone).collect();
    assert_eq!(zones, [Arc::from("b")]);
}
