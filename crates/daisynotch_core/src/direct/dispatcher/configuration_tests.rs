//! New configurations while requests run.

use super::tests::{at, decide_new, dispatcher, expect_grant, spec};
use super::*;
use crate::direct::{CallerLimits, ServiceView};

fn table(engine: Option<EngineLimits>) -> RouteTable {
    let mut table = RouteTable::new(2, CallerLimits::default());
    table.add_service(ServiceView {
        name: Arc::from("models"),
        connections_max: 100,
        status_path: Arc::from("/status"),
        engine,
        cold_start: None,
    });
    table
}

fn running(dispatcher: &Dispatcher) -> u32 {
    let loads = dispatcher.endpoints.values();
    loads.map(|load| load.own.running).sum()
}

/// Requests that run go on whatever the configuration says, so their load must still count.
#[test]
fn running_requests_count_after_a_configuration_changes_or_drops_their_service() {
    let limits = EngineLimits {
        slots: 32,
        memory_tokens: 200_000,
    };
    let empty = RouteTable::new(2, CallerLimits::default());
    for table in [table(Some(limits)), empty] {
        let mut dispatcher = dispatcher(100_000);
        let grant = expect_grant(decide_new(&mut dispatcher, spec(1, 1, 1_000, at(0)), at(0)));
        dispatcher.on_routes(&table);
        assert_eq!(running(&dispatcher), 1);
        let again = expect_grant(decide_new(&mut dispatcher, spec(1, 2, 1_000, at(1)), at(1)));
        assert_eq!(running(&dispatcher), 2);
        dispatcher.on_ended(grant.run, RunOutcome::Done, at(2));
        assert_eq!(running(&dispatcher), 1);
        dispatcher.on_ended(again.run, RunOutcome::Done, at(3));
        assert_eq!(running(&dispatcher), 0);
    }
}

/// Endpoints of a dropped service are still engines for the requests that run there.
#[test]
fn limits_of_a_dropped_service_hold_for_its_running_requests() {
    let mut dispatcher = dispatcher(100_000);
    dispatcher.on_routes(&RouteTable::new(2, CallerLimits::default()));
    let engines = dispatcher
        .endpoints
        .values()
        .filter(|load| load.engine.is_some());
    assert_eq!(engines.count(), 4);
}
