//! The small fleets that the schedules run on.

use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::{
    Catalogue, Cost, Incarnation, Introduction, LengthClass, MembershipSettings, NodeSettings,
    Peer, RequestSpec, Revision, RouterId, SchedulerSettings, ZoneId, ZoneName,
};

/// The size of a fleet and the requests that its callers send.
///
/// The pool serves a `plain` service, whose endpoints keep their initial number of slots.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    /// The name printed in reports.
    pub(crate) name: &'static str,
    /// The number of routers.
    pub(crate) routers: u64,
    /// The number of endpoints, each with one slot.
    pub(crate) endpoints: u32,
    /// Whether each endpoint is in its own zone, and thus in its own shard.
    pub(crate) has_zone_per_endpoint: bool,
    /// The longest time that a request is queued for a slot.
    pub(crate) queue_timeout_ms: u64,
    /// The index of the router that receives each request; requests with an odd index are not
    /// idempotent.
    pub(crate) requests: &'static [u64],
}

/// The availability zones of the routers and endpoints.
const ZONES: [&str; 3] = ["kaffrine", "fatick", "nioro"];

impl Scenario {
    /// Builds the catalogue of this scenario with the given revision.
    pub(crate) fn catalogue(&self, revision: u64) -> Arc<Catalogue> {
        let mut text = String::from(
            "[team.shop]\nlimits = \"queue\"\n[pool.conseil-lm]\nkind = \"plain\"\nslots = 1\n",
        );
        let timeout = self.queue_timeout_ms;
        text.push_str(&format!("[limits.queue]\nqueue_timeout_ms = {timeout}\n"));
        for index in 0..self.endpoints {
            let zone = if self.has_zone_per_endpoint {
                ZONES[index as usize]
            } else {
                ZONES[0]
            };
            let port = 9 + index;
            text.push_str(&format!(
                "[endpoint.conseil-{index}]\npool = \"conseil-lm\"\nzone = \"{zone}\"\naddress = \"127.0.0.1:{port}\"\n"
            ));
        }
        let objects = text.parse().expect("the scenario's objects are valid");
        Arc::new(Catalogue::new(Revision(revision), &objects))
    }

    /// Returns the introduction that an incarnation of a router sends to its peers.
    pub(crate) fn introduction(&self, router: RouterId, incarnation: u64) -> Introduction {
        let zone: ZoneName = ZONES[0].parse().expect("the zone name is valid");
        Introduction {
            peer: Peer {
                router,
                incarnation: Incarnation(incarnation),
            },
            zone: ZoneId::from(&zone),
            caller_address: "127.0.0.1:9".parse().expect("the address is valid"),
            peer_address: "127.0.0.1:9".parse().expect("the address is valid"),
        }
    }

    /// Returns the settings of an incarnation of a router.
    pub(crate) fn settings(&self, router: RouterId, incarnation: u64) -> NodeSettings {
        NodeSettings {
            own: self.introduction(router, incarnation),
            membership: MembershipSettings::default(),
            scheduler: SchedulerSettings {
                takeover_grace: Duration::from_millis(500),
                ..SchedulerSettings::default()
            },
        }
    }

    /// Returns the request with the given index.
    pub(crate) fn spec(&self, catalogue: &Catalogue, index: usize) -> RequestSpec {
        RequestSpec {
            team: *catalogue.teams.keys().next().expect("there is a team"),
            pool: *catalogue.pools.keys().next().expect("there is a pool"),
            hint: Cost(10),
            class: LengthClass::Short,
            prefix: None,
            idempotent: index.is_multiple_of(2),
        }
    }
}
