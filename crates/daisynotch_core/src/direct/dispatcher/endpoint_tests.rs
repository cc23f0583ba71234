//! Changes of endpoints' entries.

use super::tests::{at, decide_new, dispatcher, expect_grant, plain_spec};
use super::*;
use crate::direct::{CallerLimits, EndpointState, ServiceView};

/// An endpoint whose entry named another service for a moment was left without requests after its
/// next report, and its earlier service counted it as its own.
#[test]
fn endpoint_changes_its_service_at_once() {
    let mut dispatcher = dispatcher(10_000_000);
    let mut table = RouteTable::new(1, CallerLimits::default());
    for name in ["orders", "other"] {
        table.add_service(ServiceView {
            name: Arc::from(name),
            connections_max: 100,
            status_path: Arc::from("/status"),
            engine: None,
            cold_start: None,
        });
    }
    let known = dispatcher.endpoints.values();
    let known = known.filter(|load| &*load.entry.service == "orders");
    let entries: Vec<EndpointEntry> = known.map(|load| load.entry.clone()).collect();
    for entry in &entries {
        let mut moved = entry.clone();
        moved.service = Arc::from("other");
        moved.slots = u32::MAX;
        moved.state = EndpointState::Ready;
        dispatcher.on_endpoint(EndpointChange::Usable(moved), &table);
    }
    let to_other = RequestSpec {
        service: Arc::from("other"),
        ..plain_spec(at(0))
    };
    assert!(!dispatcher.has_untried_endpoint(&plain_spec(at(0))));
    expect_grant(decide_new(&mut dispatcher, to_other.clone(), at(0)));
    for entry in entries {
        dispatcher.on_endpoint(EndpointChange::Usable(entry), &table);
    }
    assert!(!dispatcher.has_untried_endpoint(&to_other));
    expect_grant(decide_new(&mut dispatcher, plain_spec(at(1)), at(1)));
}
