//! The status that a router reports to operators.

use std::net::SocketAddr;

use daisynotch_core::{Catalogue, Revision, ZoneId};
use daisynotch_objects::{RouterName, ZoneName};

use super::OperatorContext;

/// The state of one router.
#[daisynotch_macros::message]
pub struct RouterStatus {
    /// The name of the router.
    pub router: RouterName,
    /// The availability zone of the router.
    pub zone: ZoneName,
    /// The revision of the objects in force.
    pub revision: Revision,
    /// Whether the router is leaving.
    pub leaving: bool,
    /// The number of open requests of the router's callers.
    pub open_requests: usize,
    /// The routers that this router considers present, including itself.
    pub live_routers: Vec<LiveRouter>,
    /// The shards that this router schedules.
    pub shards: Vec<ScheduledShard>,
}

/// A present router, as seen by the router that reports the status.
#[daisynotch_macros::message]
pub struct LiveRouter {
    /// The address on which callers connect.
    pub caller_address: SocketAddr,
    /// The newest revision of the objects that the router reported.
    pub revision: Revision,
    /// Whether the router is leaving.
    pub leaving: bool,
    /// The number of open requests of its callers; known only of routers with which the
    /// reporting router exchanges heartbeats.
    pub open_requests: Option<u32>,
}

/// A shard that a router schedules.
#[daisynotch_macros::message]
pub struct ScheduledShard {
    /// The pool's name.
    pub pool: String,
    /// The availability zone of the endpoints.
    pub zone: String,
    /// The number of waiting tickets.
    pub waiting: usize,
    /// The number of granted slots.
    pub granted: usize,
}

impl RouterStatus {
    /// Collects the status from the core.
    pub(super) async fn of(context: &OperatorContext) -> Self {
        let status = context.core.status().await;
        let catalogue = context.core.catalogue();
        let live_routers = status.members.iter().map(|(_, member)| LiveRouter {
            caller_address: member.caller_address,
            revision: member.revision,
            leaving: member.leaving,
            open_requests: member.open_requests,
        });
        let shards = status.shards.iter().map(|shard| ScheduledShard {
            pool: pool_name(&catalogue, shard.shard.pool),
            zone: zone_name(&catalogue, shard.shard.zone),
            waiting: shard.waiting,
            granted: shard.granted,
        });
        Self {
            router: context.settings.router.clone(),
            zone: context.settings.zone.clone(),
            revision: catalogue.revision,
            leaving: status.is_leaving,
            open_requests: status.open_requests,
            live_routers: live_routers.collect(),
            shards: shards.collect(),
        }
    }
}

/// Returns the name of a pool, or its identifier if the objects no longer contain it.
fn pool_name(catalogue: &Catalogue, pool: daisynotch_core::PoolId) -> String {
    let view = catalogue.pools.get(&pool);
    view.map_or_else(|| pool.to_string(), |view| view.name.to_string())
}

/// Returns the name of a zone, or its identifier if it has no endpoint any more.
fn zone_name(catalogue: &Catalogue, zone: ZoneId) -> String {
    let name = catalogue.zone_name(zone);
    name.map_or_else(|| zone.to_string(), ToString::to_string)
}
