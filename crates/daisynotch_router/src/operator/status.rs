//! What a router tells operators about itself.

use std::net::SocketAddr;

use daisynotch_core::{Catalogue, Revision, ZoneId};
use daisynotch_objects::{RouterName, ZoneName};

use super::OperatorContext;

/// The state of one router.
#[daisynotch_macros::message]
pub struct RouterStatus {
    /// Its name.
    pub router: RouterName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The revision of the objects in force.
    pub revision: Revision,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests that its callers have open.
    pub open_requests: usize,
    /// The routers that it takes for live, itself included.
    pub live_routers: Vec<LiveRouter>,
    /// The shards that it schedules.
    pub shards: Vec<ScheduledShard>,
}

/// A live router as another one sees it.
#[daisynotch_macros::message]
pub struct LiveRouter {
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// The newest configuration that it said it has.
    pub revision: Revision,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests that its callers have open; known of the routers that this one
    /// exchanges heartbeats with.
    pub open_requests: Option<u32>,
}

/// A shard that a router schedules.
#[daisynotch_macros::message]
pub struct ScheduledShard {
    /// The pool's name.
    pub pool: String,
    /// The availability zone of the endpoints.
    pub zone: String,
    /// Tickets that wait.
    pub waiting: usize,
    /// Slots that are taken.
    pub granted: usize,
}

impl RouterStatus {
    /// Asks the core.
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

/// Names a pool, by its identifier when the objects no longer have it.
fn pool_name(catalogue: &Catalogue, pool: daisynotch_core::PoolId) -> String {
    let view = catalogue.pools.get(&pool);
    view.map_or_else(|| pool.to_string(), |view| view.name.to_string())
}

/// Names a zone, by its identifier when no endpoint is left in it.
fn zone_name(catalogue: &Catalogue, zone: ZoneId) -> String {
    let name = catalogue.zone_name(zone);
    name.map_or_else(|| zone.to_string(), ToString::to_string)
}
