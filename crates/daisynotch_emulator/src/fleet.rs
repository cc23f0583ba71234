//! Builds the routers' dispatchers, the engines' endpoint entries and the routers' introductions.

use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::Incarnation;
use daisynotch_core::direct::{
    CallerLimits, CostModel, Dispatcher, DispatcherSettings, EndpointChange, EndpointEntry,
    EndpointState, EngineLimits, HostIntroduction, HostPhase, RetryBudgetSettings, RouteTable,
    ServiceView, ShareSettings,
};

use crate::experiment::Experiment;

/// The service of all requests.
pub(crate) const SERVICE: &str = "models";

/// Returns the endpoint entry of one start of an engine.
pub(crate) fn endpoint_entry(experiment: &Experiment, index: usize, start: u32) -> EndpointEntry {
    EndpointEntry {
        name: Arc::from(format!("engine-{index}")),
        started_unix_ms: 1 + u64::from(start),
        report_seq: 1,
        service: Arc::from(SERVICE),
        address: ([10, 0, (index >> 8) as u8, index as u8], 80).into(),
        zone: Arc::from("a"),
        slots: experiment.engines.slots as u32,
        state: EndpointState::Ready,
        cold_remaining: None,
    }
}

/// Returns the configuration of the service.
pub(crate) fn route_table(experiment: &Experiment) -> RouteTable {
    let sharing = &experiment.sharing;
    let limits = CallerLimits {
        shared_tokens_per_s: Some(sharing.tokens_per_s),
        ..CallerLimits::default()
    };
    let mut table = RouteTable::new(1, limits);
    table.add_service(ServiceView {
        name: Arc::from(SERVICE),
        connections_max: experiment.engines.slots as u32 * 4,
        status_path: Arc::from("/status"),
        engine: Some(EngineLimits {
            slots: experiment.engines.slots as u32,
            memory_tokens: experiment.engines.memory_tokens,
        }),
        cold_start: None,
    });
    table
}

/// Returns a dispatcher that knows all engines.
pub(crate) fn dispatcher(experiment: &Experiment, entries: &[EndpointEntry]) -> Dispatcher {
    let sharing = &experiment.sharing;
    let table = route_table(experiment);
    let settings = DispatcherSettings {
        cost_model: CostModel::Learned,
        shares: ShareSettings {
            tokens_per_s: None,
            window: Duration::from_secs_f64(sharing.window_s),
        },
        retry_budget: RetryBudgetSettings::default(),
        cold: Default::default(),
    };
    let mut dispatcher = Dispatcher::new(Arc::from("a"), settings);
    dispatcher.on_routes(&table);
    for entry in entries {
        dispatcher.on_endpoint(EndpointChange::Usable(entry.clone()), &table);
    }
    dispatcher.set_routers(experiment.fleet.routers);
    dispatcher
}

/// Returns the introduction that a router sends in its digests.
pub(crate) fn host_introduction(router: usize) -> HostIntroduction {
    let address = |port: u16| ([10, 1, (router >> 8) as u8, router as u8], port).into();
    HostIntroduction {
        router: format!("router-{router}")
            .parse()
            .expect("a router name with a number is valid"),
        zone: "a".parse().expect("a letter is a valid zone name"),
        incarnation: Incarnation(1),
        caller_address: address(80),
        peer_address: address(7_400),
        phase: HostPhase::Serving,
        cpu_millicores: 250,
        is_crowded: false,
        has_store: true,
        has_callers: true,
    }
}
