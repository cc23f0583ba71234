//! Operators' orders to send nothing more to the endpoints of an availability zone.
//!
//! Load pattern: a zone is evacuated while its endpoints run requests and more arrive at every
//! router, some of which restart, are cut off or hear each other late. The state is the complete set
//! of orders at a position of the store, so routers replace it as a whole and a lost message has no
//! lasting effect. See `docs/design/evacuation.md`.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::store_order::StorePosition;
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::Timestamp;

/// How long an order stays in force that is missing after a restore of the store. Operators write
/// their orders again after a restore.
const RESTORE_GRACE: Duration = Duration::from_secs(3);

/// An order to evacuate a zone.
#[daisynotch_macros::message]
pub struct EvacuationOrder {
    /// The availability zone.
    pub zone: Arc<str>,
    /// The position at which the order was written.
    pub since: StorePosition,
}

/// All orders that are in force, for other routers.
#[daisynotch_macros::message]
#[derive(Default)]
pub struct EvacuationNews {
    /// The position up to which the orders are complete; zero if the sender knows nothing.
    pub at: StorePosition,
    /// The orders in force at that position.
    pub orders: Vec<EvacuationOrder>,
}

/// A change of the zones that are evacuated.
#[daisynotch_macros::value]
pub struct EvacuationChange {
    /// The availability zone.
    pub zone: Arc<str>,
    /// The position of the order that is now in force; `None` after a withdrawal.
    pub since: Option<StorePosition>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Order {
    since: StorePosition,
    /// When the order lapses, if it was missing in the store after a restore.
    lapses_at: Option<Timestamp>,
}

/// The orders in force at the latest known position of the store.
#[derive(Debug, Default)]
pub struct Evacuations {
    at: StorePosition,
    orders: BTreeMap<Arc<str>, Order>,
}

impl Evacuations {
    /// Processes a complete listing of the orders, unless a later state is known.
    pub fn on_listing(
        &mut self,
        at: StorePosition,
        orders: impl IntoIterator<Item = EvacuationOrder>,
        now: Timestamp,
    ) -> Vec<EvacuationChange> {
        if at <= self.at {
            return Vec::new();
        }
        let is_restored = at.era > self.at.era && self.at != StorePosition::default();
        let mut listed: BTreeMap<Arc<str>, Order> = orders
            .into_iter()
            .map(|order| {
                // The sender still holds an order that a restore lost.
                let is_held = order.since.era < at.era;
                let lapses_at = is_held.then(|| now + RESTORE_GRACE);
                let since = order.since;
                (order.zone, Order { since, lapses_at })
            })
            .collect();
        for (zone, order) in &self.orders {
            let lapses_at = match order.lapses_at {
                Some(lapses_at) => lapses_at,
                None if is_restored => now + RESTORE_GRACE,
                None => continue,
            };
            listed.entry(Arc::clone(zone)).or_insert_with(|| Order {
                since: order.since,
                lapses_at: Some(lapses_at),
            });
        }
        self.at = at;
        self.replace(listed)
    }

    /// Processes a change of one order, unless a later state is known. `is_ordered` is `false` after
    /// a withdrawal.
    ///
    /// Changes must arrive without gaps from a position that the known state covers.
    pub fn on_change(
        &mut self,
        zone: &str,
        at: StorePosition,
        is_ordered: bool,
        now: Timestamp,
    ) -> Vec<EvacuationChange> {
        if at <= self.at {
            return Vec::new();
        }
        let is_restored = at.era > self.at.era && self.at != StorePosition::default();
        let mut orders = self.orders.clone();
        if is_restored {
            for order in orders.values_mut() {
                order.lapses_at.get_or_insert(now + RESTORE_GRACE);
            }
        }
        if is_ordered {
            let order = Order {
                since: at,
                lapses_at: None,
            };
            orders.insert(Arc::from(zone), order);
        } else {
            orders.remove(zone);
        }
        self.at = at;
        self.replace(orders)
    }

    /// Applies another router's state, unless it is older.
    pub fn on_news(&mut self, news: EvacuationNews, now: Timestamp) -> Vec<EvacuationChange> {
        if is_seeded(SeededFault::IgnoreEvacuationNews) {
            return Vec::new();
        }
        self.on_listing(news.at, news.orders, now)
    }

    /// Withdraws orders that a restore lost and that were not written again.
    pub fn expire(&mut self, now: Timestamp) -> Vec<EvacuationChange> {
        let is_in_force = |order: &Order| order.lapses_at.is_none_or(|lapses_at| now < lapses_at);
        if self.orders.values().all(is_in_force) {
            return Vec::new();
        }
        let mut orders = self.orders.clone();
        orders.retain(|_, order| is_in_force(order));
        self.replace(orders)
    }

    /// Returns the state for other routers.
    pub fn to_news(&self) -> EvacuationNews {
        EvacuationNews {
            at: self.at,
            orders: self.orders().collect(),
        }
    }

    /// Returns the orders in force.
    pub fn orders(&self) -> impl Iterator<Item = EvacuationOrder> {
        self.orders.iter().map(|(zone, order)| EvacuationOrder {
            zone: Arc::clone(zone),
            since: order.since,
        })
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.orders.contains_key(zone)
    }

    fn replace(&mut self, orders: BTreeMap<Arc<str>, Order>) -> Vec<EvacuationChange> {
        let before = std::mem::replace(&mut self.orders, orders);
        let withdrawn = before.keys().filter(|zone| !self.is_evacuated(zone));
        let withdrawn = withdrawn.map(|zone| EvacuationChange {
            zone: Arc::clone(zone),
            since: None,
        });
        let ordered = self.orders.iter();
        let ordered = ordered.filter(|(zone, order)| {
            before
                .get(*zone)
                .is_none_or(|known| known.since != order.since)
        });
        let ordered = ordered.map(|(zone, order)| EvacuationChange {
            zone: Arc::clone(zone),
            since: Some(order.since),
        });
        withdrawn.chain(ordered).collect()
    }
}

#[cfg(test)]
mod tests;
