//! The messages in which routers report their state and load to each other.
//!
//! A digest fits into one datagram. Apart from the latest placements, it holds totals instead of
//! changes, so a lost digest has no lasting effect.

use std::net::SocketAddr;

use daisynotch_objects::{EndpointId, RouterId, RouterName, ZoneName};

use super::part_cache::Parts;
use super::store_order::{ConfigurationStamp, StorePosition};
use crate::message::Incarnation;

/// Whether callers should be sent to a router.
#[daisynotch_macros::message]
#[derive(Copy)]
pub enum HostPhase {
    /// The router has no configuration yet.
    Starting,
    /// The router accepts callers.
    Serving,
    /// The router finishes its open requests and accepts no new callers.
    Leaving,
}

/// Identity, addresses and state of a router.
#[daisynotch_macros::message]
pub struct HostIntroduction {
    /// The router's name.
    pub router: RouterName,
    /// The router's availability zone.
    pub zone: ZoneName,
    /// Distinguishes the router's starts; later starts have higher values.
    pub incarnation: Incarnation,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other routers send digests and requests.
    pub peer_address: SocketAddr,
    /// Whether callers should be sent to the router.
    pub phase: HostPhase,
    /// The processor time that the router may use, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Whether the router is overloaded, so that callers should use another one.
    pub is_crowded: bool,
    /// Whether the store answered the router lately, as far as the router knows.
    pub has_store: bool,
    /// Whether the router has callers or its address is given out to them. Such a router needs
    /// fresh load digests.
    pub has_callers: bool,
}

impl HostIntroduction {
    /// Returns the router's identifier.
    pub fn id(&self) -> RouterId {
        RouterId::from(&self.router)
    }
}

/// The latest heartbeat of a router, as relayed by a router that received it.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct Heartbeat {
    /// The router that sent the heartbeat.
    pub router: RouterId,
    /// The router's incarnation at that time.
    pub incarnation: Incarnation,
    /// The sequence number of the router's latest digest.
    pub seq: u64,
    /// The time since the router was last heard, in milliseconds, rounded up.
    pub age_ms: u32,
    /// Whether callers should be sent to the router.
    pub phase: HostPhase,
    /// Whether the router is overloaded.
    pub is_crowded: bool,
    /// Whether the router has callers or its address is given out to them.
    pub has_callers: bool,
    /// Requests that arrive at the router per second, per whole core that it may use.
    pub arrivals_per_core_s: u32,
}

/// A router that the receiver may not know, with its latest heartbeat.
#[daisynotch_macros::message]
pub struct IntroducedHost {
    /// The router's identity and addresses.
    pub host: HostIntroduction,
    /// The router's latest heartbeat.
    pub heartbeat: Heartbeat,
}

/// The load that one router puts on one endpoint.
#[daisynotch_macros::message]
pub struct EndpointDigest {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Prompt tokens of requests whose answers have not begun.
    pub unread_tokens: u32,
    /// Requests that the router sent to the endpoint and that have not ended.
    pub running: u16,
    /// Tokens that these requests may hold in the endpoint's memory.
    pub memory_tokens: u32,
    /// Whether the router suspects the endpoint of a fault and avoids it.
    pub is_suspect: bool,
}

/// A team's demand and admitted work at one router in the latest window.
#[daisynotch_macros::message]
pub struct TeamDigest {
    /// The team, as a hash of its name.
    pub team: u32,
    /// Tokens of the team's requests that arrived.
    pub asked_tokens: u32,
    /// Tokens of the team's requests that were sent to an endpoint.
    pub begun_tokens: u32,
}

/// The prompt of a request that was recently placed on an endpoint.
#[daisynotch_macros::message]
pub struct PlacedParts {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The parts of the prompt.
    pub parts: Parts,
}

/// The state of one router that it reports to the others.
#[daisynotch_macros::message]
pub struct Digest {
    /// The router that sends the digest.
    pub host: HostIntroduction,
    /// Counts the digests since the sender started, to detect late and duplicate ones.
    pub seq: u64,
    /// The sender's configuration.
    pub configuration: ConfigurationStamp,
    /// The time since that configuration was last confirmed to be the newest, in milliseconds,
    /// rounded up; `None` if it never was.
    pub configuration_age_ms: Option<u32>,
    /// The position in the store's history up to which the sender has seen endpoint entries.
    pub endpoints_at: StorePosition,
    /// Requests that arrive at the sender per second, per whole core that it may use.
    pub arrivals_per_core_s: u32,
    /// The sender's load on endpoints.
    pub endpoints: Vec<EndpointDigest>,
    /// Endpoints that lately announced that they leave.
    pub leaving: Vec<EndpointId>,
    /// Demand and admitted work of the sender's teams.
    pub teams: Vec<TeamDigest>,
    /// Prompts of requests that the sender placed.
    pub placed: Vec<PlacedParts>,
    /// Whether load, teams and prompts are omitted, for routers without callers.
    pub is_brief: bool,
    /// Peer addresses of a few of the routers that the sender knows.
    pub known_hosts: Vec<SocketAddr>,
    /// The number of routers that the sender knows. A sender that knows few gets a long list.
    pub known_hosts_len: u32,
    /// Heartbeats of routers that the receiver may rarely hear directly.
    pub heartbeats: Vec<Heartbeat>,
    /// Routers that the receiver may not know.
    pub introduced: Vec<IntroducedHost>,
}
