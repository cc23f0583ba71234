//! Applies the operators' orders to evacuate availability zones.
//!
//! See `docs/design/evacuation.md`.

use std::sync::Arc;

use daisynotch_core::direct::{EvacuationChange, EvacuationNews, EvacuationOrder, StorePosition};
use daisynotch_platform::ports::{StoreEvent, StoreItem};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::event_log::Importance;
use super::state::Router;

/// An evacuated availability zone, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZone {
    /// The zone.
    pub zone: String,
    /// The position in the store's history at which the order was written.
    pub since: String,
    /// This router's requests that still run there.
    pub running: usize,
    /// What may be wrong with the order, if anything.
    pub problem: Option<String>,
}

/// Applies the orders in a listing of the operators' keys.
pub(super) fn apply_listing(router: &Router, items: &[StoreItem], at: StorePosition) {
    let prefix = router.platform.prefixes().evacuations;
    let orders = items.iter().filter_map(|item| {
        let zone = item.key.strip_prefix(prefix)?;
        let since = StorePosition {
            era: at.era,
            revision: item.revision,
        };
        let zone = Arc::from(zone);
        Some(EvacuationOrder { zone, since })
    });
    let now = router.now();
    let changes = router.evacuations.borrow_mut().on_listing(at, orders, now);
    router.on_evacuation_changes(&changes, "store");
}

/// Applies a change of the key of an order.
pub(super) fn apply_event(router: &Router, era: u64, event: &StoreEvent) {
    let prefix = router.platform.prefixes().evacuations;
    let Some(zone) = event.key().strip_prefix(prefix) else {
        return;
    };
    let is_ordered = matches!(event, StoreEvent::Written(_));
    let revision = event.revision();
    let at = StorePosition { era, revision };
    let now = router.now();
    let mut evacuations = router.evacuations.borrow_mut();
    let changes = evacuations.on_change(zone, at, is_ordered, now);
    drop(evacuations);
    router.on_evacuation_changes(&changes, "store");
}

impl Router {
    /// Applies the orders that another router knows.
    pub(super) fn on_evacuation_news(&self, news: EvacuationNews, source: &str) {
        let now = self.now();
        let changes = self.evacuations.borrow_mut().on_news(news, now);
        self.on_evacuation_changes(&changes, source);
    }

    /// Withdraws orders that a restore of the store lost.
    pub(super) fn expire_evacuations(&self) {
        let now = self.now();
        let changes = self.evacuations.borrow_mut().expire(now);
        self.on_evacuation_changes(&changes, "lapsed");
    }

    /// Returns the evacuated zones, for operators.
    pub(super) fn evacuated_zones(&self) -> Vec<EvacuatedZone> {
        let evacuations = self.evacuations.borrow();
        let zones = evacuations.orders().map(|order| EvacuatedZone {
            zone: order.zone.to_string(),
            since: order.since.to_string(),
            running: self.dispatcher.borrow().running_in_zone(&order.zone),
            problem: self.evacuation_problem(&order.zone).map(str::to_owned),
        });
        zones.collect()
    }

    fn evacuation_problem(&self, zone: &str) -> Option<&'static str> {
        let dispatcher = self.dispatcher.borrow();
        if !dispatcher.has_endpoints_in_zone(zone) {
            return Some("the zone has no endpoints; check its name");
        }
        dispatcher
            .is_everything_evacuated()
            .then_some("all zones with endpoints are evacuated, so all requests are refused")
    }

    fn on_evacuation_changes(&self, changes: &[EvacuationChange], source: &str) {
        if changes.is_empty() {
            return;
        }
        let orders: Vec<EvacuationOrder> = self.evacuations.borrow().orders().collect();
        for change in changes.iter().filter(|change| change.since.is_none()) {
            self.on_zone_returned(&change.zone, source);
        }
        let zones = orders.iter().map(|order| Arc::clone(&order.zone));
        self.dispatcher.borrow_mut().set_evacuated_zones(zones);
        self.metrics.evacuated_zones.set(orders.len() as i64);
        for change in changes {
            let running = self.dispatcher.borrow().running_in_zone(&change.zone);
            let is_ordered = change.since.is_some();
            let problem = self.evacuation_problem(&change.zone);
            let fields = json!({
                "zone": &*change.zone, "is_evacuated": is_ordered,
                "since": change.since.map(|since| since.to_string()), "running": running,
                "problem": problem.filter(|_| is_ordered), "source": source,
            });
            self.log.write(Importance::Essential, "evacuation", fields);
        }
        self.pump();
    }
}
