//! The shape of the objects in TOML.
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
    /// Weights and limits that teams have in common.
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
    /// The share's part of a pool relative to other shares.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limits of the share's teams together.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<LimitsName>,
}

/// A team, known by its credentials.
#[daisynotch_macros::message]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The share that the team belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub share: Option<ShareName>,
    /// The team's part relative to others of its share.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Limits of this team alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limits: Option<LimitsName>,
    /// Digests of the bearer tokens that the team's callers send.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub credentials: Vec<CredentialDigest>,
}

/// What the endpoints of a pool speak.
#[daisynotch_macros::message]
#[derive(Copy)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    /// Model engines that answer chat completions, streamed or not.
    Inference,
    /// Plain HTTP services.
    Plain,
}

/// Endpoints that can answer the same requests.
#[daisynotch_macros::message]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// What the endpoints speak.
    pub kind: PoolKind,
    /// Concurrent requests an endpoint gets before anything is known of it.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// The longest time until the first byte of an answer, in milliseconds.
    #[serde(default = "default_first_byte_timeout_ms")]
    pub first_byte_timeout_ms: u64,
    /// The longest silence within an answer, in milliseconds.
    #[serde(default = "default_idle_timeout_ms")]
    pub idle_timeout_ms: u64,
}

/// Whether an endpoint checks the fencing number of an order.
#[daisynotch_macros::message]
#[derive(Copy, Default)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Orders with an old number are refused by the endpoint.
    Checked,
    /// The endpoint takes any order.
    #[default]
    Ignored,
}

/// One back end.
#[daisynotch_macros::message]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// The pool that it serves.
    pub pool: PoolName,
    /// The availability zone that it runs in.
    pub zone: ZoneName,
    /// Where it listens, by IP number.
    pub address: SocketAddr,
    /// Whether it gets no new work.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Whether it checks fencing numbers.
    #[serde(default)]
    pub fencing: Fencing,
}

/// A route from what a caller asks for to a pool.
#[daisynotch_macros::message]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The pool that answers.
    pub pool: PoolName,
    /// The model name of chat completions that the route takes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<String>,
    /// The path prefix of plain requests that the route takes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub path_prefix: Option<String>,
    /// Whether a request may run twice without harm; `GET` and `HEAD` always may.
    #[serde(default)]
    pub idempotent: bool,
}

/// Limits of a team or share.
#[daisynotch_macros::message]
#[derive(Default)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests that run at the same time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent_requests: Option<u32>,
    /// Requests that wait at one router.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queued_requests: Option<u32>,
    /// Requests accepted a second, over the fleet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<u32>,
    /// The longest time that a request waits for a slot, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queue_timeout_ms: Option<u64>,
}

/// A promise that the burn report measures.
#[daisynotch_macros::message]
#[serde(deny_unknown_fields)]
pub struct ServiceLevel {
    /// The route whose requests count.
    pub route: RouteName,
    /// The teams whose requests count; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub teams: Vec<TeamName>,
    /// The longest time to the first token or byte of a good request, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_token_ms: Option<u64>,
    /// How many requests in ten thousand must be good.
    pub target_per_10000: u32,
    /// The window that the target holds for, in hours.
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
    /// Writes the objects as TOML in a fixed order.
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
