//! What was read of a router at one time.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Counters of one route and team since the router's start.
#[daisynotch_macros::message]
#[derive(Default)]
pub struct Counters {
    /// Ended requests by outcome.
    pub ended: BTreeMap<String, u64>,
    /// First tokens by the upper bound of their time, in microseconds, cumulative.
    pub first_token_by_us: BTreeMap<u64, u64>,
    /// All first tokens.
    pub first_tokens: u64,
}

/// The counters of one route and team.
#[daisynotch_macros::message]
pub struct Series {
    /// The route.
    pub route: String,
    /// The team.
    pub team: String,
    /// The counters.
    pub counters: Counters,
}

/// What came of reading a router.
#[daisynotch_macros::message]
#[serde(rename_all = "snake_case")]
pub enum Observation {
    /// It answered.
    Seen(Vec<Series>),
    /// It did not answer; nothing is known of its requests.
    Missing(String),
}

/// One reading of one router; a line of the samples file.
#[daisynotch_macros::message]
pub struct Sample {
    /// When it was read, in milliseconds since 1970.
    pub time_ms: u64,
    /// The router.
    pub router: SocketAddr,
    /// What came of it.
    pub observation: Observation,
}
