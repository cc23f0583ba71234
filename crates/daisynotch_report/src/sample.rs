//! A sample of a router's counters.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The counters of one route and team since the router's start.
#[daisynotch_macros::message]
#[derive(Default)]
pub struct Counters {
    /// The number of ended requests by outcome.
    pub ended: BTreeMap<String, u64>,
    /// The cumulative histogram of the time to first token, by upper bound in microseconds.
    pub first_token_by_us: BTreeMap<u64, u64>,
    /// The number of requests that got a first token.
    pub first_tokens: u64,
}

/// The counters of one route and team, with their labels.
#[daisynotch_macros::message]
pub struct Series {
    /// The route's name.
    pub route: String,
    /// The team's name.
    pub team: String,
    /// The counters' values.
    pub counters: Counters,
}

/// The result of sampling a router.
#[daisynotch_macros::message]
#[serde(rename_all = "snake_case")]
pub enum Observation {
    /// The router responded with these counters.
    Seen(Vec<Series>),
    /// The router did not respond, for this reason; nothing is known of its requests.
    Missing(String),
}

/// One sample of one router; a line of the samples file.
#[daisynotch_macros::message]
pub struct Sample {
    /// The time of the sample, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The router's address.
    pub router: SocketAddr,
    /// The result.
    pub observation: Observation,
}
