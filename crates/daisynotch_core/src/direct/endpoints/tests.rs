use super::*;

fn entry(name: &str, started_unix_ms: u64, report_seq: u64) -> EndpointEntry {
    EndpointEntry {
        name: Arc::from(name),
        started_unix_ms,
        report_seq,
        service: Arc::from("models"),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: Arc::from("a"),
        slots: 4,
        state: EndpointState::Ready,
    }
}

fn draining(mut entry: EndpointEntry) -> EndpointEntry {
    entry.state = EndpointState::Draining;
    entry
}

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn a_late_report_does_not_undo_a_newer_one() {
    let mut list = EndpointList::default();
    let first = entry("a", 10, 5);
    assert_eq!(
        list.write(first.clone()),
        [EndpointChange::Usable(first.clone())]
    );
    let draining_report = draining(entry("a", 10, 7));
    assert_eq!(
        list.write(draining_report),
        [EndpointChange::Closed(first.id())]
    );
    assert_eq!(list.write(entry("a", 10, 6)), []);
}

#[test]
fn a_restart_under_the_same_name_is_another_endpoint() {
    let mut list = EndpointList::default();
    let before = entry("a", 10, 90);
    let after = entry("a", 20, 1);
    assert_ne!(before.id(), after.id());
    list.write(before.clone());
    assert_eq!(
        list.write(after.clone()),
        [
            EndpointChange::Closed(before.id()),
            EndpointChange::Usable(after)
        ]
    );
}

#[test]
fn a_late_report_does_not_bring_back_a_departed_endpoint() {
    let mut list = EndpointList::default();
    let now = Timestamp::default() + 10 * SECOND;
    list.write(entry("a", 10, 5));
    assert_eq!(
        list.remove("a", now),
        [EndpointChange::Closed(entry("a", 10, 5).id())]
    );
    assert_eq!(list.write(entry("a", 10, 5)), []);
    let alive = entry("a", 10, 6);
    assert_eq!(list.write(alive.clone()), [EndpointChange::Usable(alive)]);
}

#[test]
fn a_lapsed_entry_is_kept_after_an_outage_until_it_could_be_rewritten() {
    let mut list = EndpointList::default();
    let back_at = Timestamp::default() + 10 * SECOND;
    let (kept, lost) = (entry("kept", 10, 5), entry("lost", 10, 5));
    list.write(kept.clone());
    list.write(lost.clone());
    list.on_store_recovery(back_at);
    assert_eq!(list.replace(Vec::new(), back_at), []);
    assert_eq!(list.expire(back_at + SECOND), []);
    let again = entry("kept", 10, 6);
    assert_eq!(list.write(again.clone()), [EndpointChange::Usable(again)]);
    let changes = list.expire(back_at + 3 * SECOND);
    assert_eq!(changes, [EndpointChange::Closed(lost.id())]);
}

#[test]
fn without_an_outage_a_removal_takes_effect_at_once() {
    let mut list = EndpointList::default();
    let now = Timestamp::default() + 10 * SECOND;
    list.write(entry("a", 10, 5));
    list.write(entry("b", 10, 5));
    let changes = list.replace(vec![entry("b", 10, 6)], now);
    assert_eq!(changes[0], EndpointChange::Closed(entry("a", 10, 5).id()));
    assert_eq!(changes.len(), 2);
}

/// The outage may have affected this router only, so the endpoint may really have left.
#[test]
fn an_endpoint_that_left_after_an_outage_is_closed_before_it_stops_serving() {
    let mut list = EndpointList::default();
    let back_at = Timestamp::default() + 10 * SECOND;
    list.write(entry("a", 10, 5));
    list.on_store_recovery(back_at);
    let left_at = back_at + 2 * SECOND;
    assert_eq!(list.remove("a", left_at), []);
    assert_eq!(list.expire(left_at + SECOND), []);
    let changes = list.expire(left_at + Duration::from_millis(1_750));
    assert_eq!(changes, [EndpointChange::Closed(entry("a", 10, 5).id())]);
}

/// An endpoint may announce that it leaves while its entry in the store still reports it as ready.
#[test]
fn an_endpoint_that_announced_its_departure_is_not_used_again() {
    let mut list = EndpointList::default();
    let now = Timestamp(1_000_000);
    let first = entry("a", 10, 5);
    list.write(first.clone());
    let closed = [EndpointChange::Closed(first.id())];
    assert_eq!(list.on_leaving(first.id(), now), closed);
    assert_eq!(list.on_leaving(first.id(), now + SECOND), []);
    assert_eq!(list.write(entry("a", 10, 6)), closed);
    assert_eq!(list.leaving_within(SECOND, now).count(), 1);
    assert_eq!(list.leaving_within(SECOND, now + SECOND).count(), 0);
    list.expire(now + SECOND * 60);
    assert_eq!(list.write(entry("a", 10, 60)), closed);
    let next = entry("a", 20, 1);
    let changes = list.write(next.clone());
    assert!(
        changes.contains(&EndpointChange::Usable(next)),
        "{changes:?}"
    );
}

/// Another router's report that an endpoint leaves may arrive before the endpoint's entry.
#[test]
fn an_endpoint_whose_departure_is_known_before_its_entry_is_not_used() {
    let mut list = EndpointList::default();
    let first = entry("a", 10, 5);
    list.on_leaving(first.id(), Timestamp(1_000_000));
    assert_eq!(
        list.write(first.clone()),
        [EndpointChange::Closed(first.id())]
    );
}

/// A router that starts after the store was restored from a backup may read the entry of an
/// endpoint that already left.
#[test]
fn a_peer_report_that_an_endpoint_left_closes_that_start_only() {
    let now = Timestamp(1_000_000);
    let mut running = EndpointList::default();
    running.write(entry("a", 10, 5));
    running.remove("a", now);
    let departed: Vec<DepartedEndpoint> = running.departed().collect();
    let mut starting = EndpointList::default();
    let restored = entry("a", 10, 4);
    starting.write(restored.clone());
    let changes = starting.on_departed(&departed[0], now);
    assert_eq!(changes, [EndpointChange::Closed(restored.id())]);
    assert_eq!(starting.write(restored.clone()), []);
    assert!(starting.is_outdated(&restored));
    // A newer report shows that the endpoint still runs.
    let newer = entry("a", 10, 6);
    assert_eq!(
        starting.write(newer.clone()),
        [EndpointChange::Usable(newer)]
    );
    assert_eq!(starting.on_departed(&departed[0], now), []);
}
