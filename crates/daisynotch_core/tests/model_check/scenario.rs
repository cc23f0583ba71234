//! The small fleets that schedules are run on.

use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::{
    Catalogue, Cost, Incarnation, Introduction, LengthClass, MembershipSettings, NodeSettings,
    Peer, RequestSpec, Revision, RouterId, SchedulerSettings, ZoneId, ZoneName,
};

/// One small fleet and the requests that its callers send.
///
/// The pool is of a plain service, whose endpoints keep the slots that they start with.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    /// A name for reports.
    pub(crate) name: &'static str,
    /// The number of routers.
    pub(crate) routers: u64,
    /// The number of endpoints, each with one slot.
    pub(crate) endpoints: u32,
    /// Whether each endpoint is in a zone, and thus a shard, of its own.
    pub(crate) endpoints_apart: bool,
    /// How long a request waits for a slot.
    pub(crate) queue_timeout_ms: u64,
    /// The router, by index, of each request; odd requests may not run twice.
    pub(crate) requests: &'static [u64],
}

/// The zones that routers and endpoints are in.
const ZONES: [&str; 3] = ["kaffrine", "fatick", "nioro"];

impl Scenario {
    /// Builds the objects at a revision.
    pub(crate) fn catalogue(&self, revision: u64) -> Arc<Catalogue> {
        let mut text = String::from(
            "[team.shop]\nlimits = \"queue\"\n[pool.conseil-lm]\nkind = \"plain\"\nslots = 1\n",
        );
        let timeout = self.queue_timeout_ms;
        text.push_str(&format!("[limits.queue]\nqueue_timeout_ms = {timeout}\n"));
        for index in 0..self.endpoints {
            let zone = if self.endpoints_apart {
                ZONES[index as usize]
            } else {
                ZONES[0]
            };
            let port = 9 + index;
            text.push_str(&format!(
                "[endpoint.conseil-{index}]\npool = \"conseil-lm\"\nzone = \"{zone}\"\naddress = \"127.0.0.1:{port}\"\n"
            ));
        }
        let objects = text.parse().expect("the objects can be read");
        Arc::new(Catalogue::new(Revision(revision), &objects))
    }

    /// Gives how a start of a router introduces itself.
    pub(crate) fn introduction(&self, router: RouterId, incarnation: u64) -> Introduction {
        let zone: ZoneName = ZONES[0].parse().expect("it is a name");
        Introduction {
            peer: Peer {
                router,
                incarnation: Incarnation(incarnation),
            },
            zone: ZoneId::from(&zone),
            caller_address: "127.0.0.1:9".parse().expect("it is an address"),
            peer_address: "127.0.0.1:9".parse().expect("it is an address"),
        }
    }

    /// Gives the settings of a start of a router.
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

    /// Gives what a caller asks for.
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
