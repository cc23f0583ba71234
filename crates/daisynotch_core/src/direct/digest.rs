//! What routers tell each other.
//!
//! One digest fits a datagram. It holds sums and not changes, apart from the latest
//! placements, so that a lost one does no lasting harm.

use std::net::SocketAddr;

use daisynotch_objects::{EndpointId, RouterId, RouterName, ZoneName};

use super::part_cache::Parts;
use super::store_order::{ConfigurationStamp, StorePosition};
use crate::message::Incarnation;

/// Whether callers should be sent to a router.
#[daisynotch_macros::message]
#[derive(Copy)]
pub enum HostPhase {
    /// It has no configuration yet.
    Starting,
    /// It takes callers.
    Serving,
    /// It ends what it has and takes no new callers.
    Leaving,
}

/// Who a router is and where it can be reached.
#[daisynotch_macros::message]
pub struct HostIntroduction {
    /// Its name.
    pub router: RouterName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Tells its starts apart; a later one is higher.
    pub incarnation: Incarnation,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where digests and questions of other routers go.
    pub peer_address: SocketAddr,
    /// Whether callers should be sent there.
    pub phase: HostPhase,
    /// The processor time that it may use, in thousandths of a core.
    pub cpu_millicores: u32,
    /// Whether it carries more than it should, so that callers go elsewhere.
    pub is_crowded: bool,
    /// Whether the store answered it lately, as far as it knows.
    pub has_store: bool,
    /// Whether it has callers or is given out to them, and so needs fresh loads.
    pub has_callers: bool,
}

impl HostIntroduction {
    /// Gives the router's identifier.
    pub fn id(&self) -> RouterId {
        RouterId::from(&self.router)
    }
}

/// A heartbeat of a router that one other heard and passes on.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct Heartbeat {
    /// The router.
    pub router: RouterId,
    /// The start of it that was heard.
    pub incarnation: Incarnation,
    /// The digest that was heard.
    pub seq: u64,
    /// How long ago that was, in milliseconds.
    pub age_ms: u32,
    /// Whether callers should be sent there.
    pub phase: HostPhase,
    /// Whether it carries more than it should.
    pub is_crowded: bool,
    /// Whether it has callers or is given out to them.
    pub has_callers: bool,
    /// Requests that arrive there a second, for each whole core that it may use.
    pub arrivals_per_core_s: u32,
}

/// A router that others may not know, with its latest heartbeat.
#[daisynotch_macros::message]
pub struct IntroducedHost {
    /// Who it is.
    pub host: HostIntroduction,
    /// When and how it was last heard.
    pub heartbeat: Heartbeat,
}

/// A router's own load on one endpoint.
#[daisynotch_macros::message]
pub struct EndpointDigest {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Prompt tokens of requests that have not begun to answer.
    pub unread_tokens: u32,
    /// Requests that were sent and have not ended.
    pub running: u16,
    /// Tokens that these may hold in its memory.
    pub memory_tokens: u32,
    /// Whether the router passes it over.
    pub is_suspect: bool,
}

/// What a team asked and began in the latest window, at one router.
#[daisynotch_macros::message]
pub struct TeamDigest {
    /// The team, as a hash of its name.
    pub team: u32,
    /// Tokens of requests that arrived.
    pub asked_tokens: u32,
    /// Tokens of requests that were sent to an endpoint.
    pub begun_tokens: u32,
}

/// The prompt of a request that went to an endpoint since the last digest.
#[daisynotch_macros::message]
pub struct PlacedParts {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The parts of the prompt.
    pub parts: Parts,
}

/// What one router knows that the others need.
#[daisynotch_macros::message]
pub struct Digest {
    /// Who sends it.
    pub host: HostIntroduction,
    /// Counts the digests of this start, so that a late one is told from a new one.
    pub seq: u64,
    /// Its configuration.
    pub configuration: ConfigurationStamp,
    /// The time since that was known to be the newest, in milliseconds; none if it never was.
    pub configuration_age_ms: Option<u32>,
    /// Up to where in the store's history it has seen the endpoints' entries.
    pub endpoints_at: StorePosition,
    /// Requests that arrive a second, for each whole core that it may use.
    pub arrivals_per_core_s: u32,
    /// Its load on endpoints.
    pub endpoints: Vec<EndpointDigest>,
    /// Endpoints that told it lately that they leave.
    pub leaving: Vec<EndpointId>,
    /// What its teams asked and began.
    pub teams: Vec<TeamDigest>,
    /// Prompts that it placed.
    pub placed: Vec<PlacedParts>,
    /// Whether load, teams and prompts are left out, for routers without callers.
    pub is_brief: bool,
    /// A few of the routers that it knows, by where they take digests.
    pub known_hosts: Vec<SocketAddr>,
    /// How many routers it knows; one that knows few is told of many.
    pub known_hosts_len: u32,
    /// Heartbeats of routers that the receiver may hear seldom.
    pub heartbeats: Vec<Heartbeat>,
    /// Routers that the receiver may not know.
    pub introduced: Vec<IntroducedHost>,
}
