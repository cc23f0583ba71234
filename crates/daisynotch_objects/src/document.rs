//! The TOML schema of the objects.
//!
//! ```
//! let objects: daisynotch_objects::Objects = r#"
//!     [pool.conseil-lm]
//!     kind = "inference"
//!
//!     [endpoint.conseil-1]
//!     pool = "conseil-lm"
//!     zone = "fatick"
//!     address = "10.0.0.7:8000"
//! "#
//! .parse()
//! .unwrap();
//! assert_eq!(objects.endpoint.len(), 1);
//! ```

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;

use crate::credential::CredentialDigest;
use crate::error::ParseError;
use crate::names::{
    EndpointName, LimitsName, PoolName, RouteName, ServiceLevelName, ShareName, TeamName, ZoneName,
};

/// All objects of one revision, by kind and name.
#[daisynotch_macros::message]
#[derive(Default)]
#[serde(deny_unknown_fields, default)]
pub struct Objects {
    /// Shares: weights and limits that several teams have in common.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub share: BTreeMap<ShareName, Share>,
    /// Teams.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub team: BTreeMap<TeamName, Team>,
    /// Endpoint pools.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub pool: BTreeMap<PoolName, Pool>,
    /// Endpoints.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub endpoint: BTreeMap<EndpointName, Endpoint>,
    /// Routes.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub route: BTreeMap<RouteName, Route>,
    /// Named sets of limits.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub limits: BTreeMap<LimitsName, Limits>,
    /// Service levels.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub service_level: BTreeMap<ServiceLevelName, ServiceLevel>,
}

/// A weight and limits that several teams have in common.
#[daisynotch_macros::message]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The share's weight in a pool relative to other shares.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limits on the total of the share's teams.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<LimitsName>,
}

/// A team, identified by the credentials of its callers.
#[daisynotch_macros::message]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The share that the team belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<ShareName>,
    /// The team's weight relative to the other teams of its share.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limits on this team alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<LimitsName>,
    /// Digests of the bearer tokens that the team's callers send.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub credentials: Vec<CredentialDigest>,
}

/// The protocol that the endpoints of a pool serve.
#[daisynotch_macros::message]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Chat completions from model engines, streamed or not.
    Inference,
    /// Ordinary HTTP requests, such as to a web service.
    Plain,
}

/// A group of interchangeable endpoints that serve the same requests.
#[daisynotch_macros::message]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// The protocol that the endpoints serve.
    pub kind: PoolKind,
    /// The initial limit on concurrent requests per endpoint, before any measurement of it.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// The timeout for the first byte of a response, in milliseconds.
    #[serde(default = "default_first_byte_timeout_ms")]
    pub first_byte_timeout_ms: u64,
    /// The timeout between two reads of a response body, in milliseconds.
    #[serde(default = "default_idle_timeout_ms")]
    pub idle_timeout_ms: u64,
}

/// Whether an endpoint checks the fencing number of an order.
#[daisynotch_macros::message]
#[derive(Copy, Default)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The endpoint rejects orders with an outdated fencing number.
    Checked,
    /// The endpoint accepts orders with any fencing number.
    #[default]
    Ignored,
}

/// A backend server of a pool.
#[daisynotch_macros::message]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The pool that the endpoint belongs to.
    pub pool: PoolName,
    /// The availability zone that the endpoint runs in.
    pub zone: ZoneName,
    /// The IP address and port that the endpoint listens on.
    pub address: SocketAddr,
    /// Whether the endpoint is draining and receives no new requests.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Whether the endpoint checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
}

/// Maps a model name or a path prefix to a pool.
#[daisynotch_macros::message]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The pool that serves matching requests.
    pub pool: PoolName,
    /// The model name that chat completion requests must have to match.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The path prefix that ordinary HTTP requests must have to match.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
    /// Whether requests are idempotent and may be executed twice. `GET` and `HEAD` requests always
    /// count as idempotent.
    #[serde(default)]
    pub idempotent: bool,
}

/// Limits of a team or share.
#[daisynotch_macros::message]
#[derive(Default)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum number of concurrent requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent_requests: Option<u32>,
    /// The maximum number of queued requests at each router.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queued_requests: Option<u32>,
    /// The maximum number of requests admitted per second across the fleet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<u32>,
    /// The maximum time that a request stays queued for a slot, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_timeout_ms: Option<u64>,
}

/// A service level objective, measured by the burn report.
#[daisynotch_macros::message]
#[serde(deny_unknown_fields)]
pub struct ServiceLevel {
    /// The route whose requests count.
    pub route: RouteName,
    /// The teams whose requests count; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamName>,
    /// The longest time to the first token, or first byte, for a request to count as good, in
    /// milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_token_ms: Option<u64>,
    /// The number of requests in ten thousand that must be good.
    pub target_per_10000: u32,
    /// The length of the window that the target applies to, in hours.
    #[serde(default = "default_window_h")]
    pub window_h: u32,
}

impl FromStr for Objects {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        toml::from_str(text).map_err(|error| ParseError(error.to_string()))
    }
}

impl Objects {
    /// Serializes the objects as TOML in a deterministic order.
    pub fn to_toml(&self) -> Result<String, ParseError> {
        toml::to_string(self).map_err(|error| ParseError(error.to_string()))
    }
}

fn default_weight() -> u32 {
    1
}

fn default_slots() -> u32 {
    8
}

fn default_first_byte_timeout_ms() -> u64 {
    30_000
}

fn default_idle_timeout_ms() -> u64 {
    15_000
}

fn default_window_h() -> u32 {
    24 * 28
}
