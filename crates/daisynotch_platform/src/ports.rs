//! What a platform must offer a router that dispatches on its own.
//!
//! An adapter implements [`Platform`]: it writes and reads the bytes of the platform
//! and decides nothing. The router holds the sockets, the time-outs and the retries.
//! See `docs/design/platform.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::direct::{EndpointEntry, Parts, RouteTable};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};

/// Bytes that can't be understood.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{object} can't be read: {problem}")]
pub struct DecodeError {
    /// What was being read.
    pub object: &'static str,
    /// What is wrong.
    pub problem: String,
}

/// One HTTP call to the store.
#[daisynotch_macros::value]
pub struct StoreCall {
    /// `GET`, `POST` or `DELETE`.
    pub method: hyper::Method,
    /// Path and query.
    pub target: String,
    /// The body, empty for none.
    pub body: Bytes,
}

/// A key of the store with its value.
#[daisynotch_macros::message]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The revision that wrote it.
    pub revision: u64,
}

/// One page of keys.
#[daisynotch_macros::value]
pub struct RangePage {
    /// The items, by key.
    pub items: Vec<StoreItem>,
    /// Whether more follow.
    pub has_more: bool,
    /// The store's revision.
    pub at_revision: u64,
}

/// One change of a key.
#[daisynotch_macros::message]
pub enum StoreEvent {
    /// It was written.
    Written(StoreItem),
    /// It was removed.
    Removed {
        /// The key.
        key: String,
        /// The revision that removed it.
        revision: u64,
    },
}

impl StoreEvent {
    /// Gives the key.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// Gives the revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// The answer of a watch.
#[daisynotch_macros::value]
pub struct WatchPage {
    /// What changed, in order.
    pub events: Vec<StoreEvent>,
    /// The revision to go on from.
    pub at_revision: u64,
}

/// A lease as the store granted it.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct Lease {
    /// Its number.
    pub id: u64,
    /// How long it lasts without a renewal.
    pub ttl: Duration,
}

/// Which of the store's keys the router reads.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct StorePrefixes {
    /// The operators' configuration.
    pub configuration: &'static str,
    /// The endpoints' entries.
    pub endpoints: &'static str,
    /// The routers' own entries.
    pub routers: &'static str,
}

/// What the headers of a caller's request say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// Names this attempt of the caller.
    pub attempt_id: Option<HeaderValue>,
    /// The caller's credential.
    pub credential: Option<String>,
    /// How long the caller waits.
    pub deadline: Option<Duration>,
    /// The prompt's length in tokens.
    pub prompt_tokens: u32,
    /// The most tokens of the answer.
    pub answer_max_tokens: u32,
    /// The caller's guess of the answer's tokens.
    pub answer_hint_tokens: Option<u32>,
    /// The parts of the prompt.
    pub parts: Parts,
    /// The last event that the caller has already.
    pub resume_after: Option<String>,
}

/// What the router adds to a request that it sends to an endpoint.
#[daisynotch_macros::value]
pub struct EndpointRequestHeaders<'a> {
    /// The endpoint that is meant; another one refuses.
    pub endpoint_name: &'a str,
    /// The team, by name.
    pub team: Option<&'a str>,
    /// The time that is left.
    pub deadline: Duration,
    /// The last event that the caller has already.
    pub resume_after: Option<&'a str>,
}

/// What the headers of an endpoint's answer say.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct EndpointResponseHeaders {
    /// Whether it answers the attempt that was sent.
    pub matches_attempt: bool,
    /// Whether the endpoint vouches for it.
    pub is_signed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub is_not_run: bool,
    /// Whether the endpoint says that it leaves.
    pub is_leaving: bool,
    /// For how long the endpoint wants no request of this router, if it says so.
    pub pushback: Option<Duration>,
}

/// The port to a platform.
pub trait Platform {
    /// Gives the prefixes of the store's keys.
    fn prefixes(&self) -> StorePrefixes;

    /// Reads from an answer of the store how often it came back from a copy, if it says so.
    fn store_era(&self, headers: &HeaderMap) -> Option<u64>;

    /// Writes a call that lists keys, after a key; `may_be_stale` makes it cheaper.
    fn range(&self, prefix: &str, after: Option<&str>, may_be_stale: bool) -> StoreCall;

    /// Reads the answer to [`Self::range`].
    fn decode_range(&self, body: &[u8]) -> Result<RangePage, DecodeError>;

    /// Writes a call that waits for changes of any key after a revision.
    fn watch(&self, after_revision: u64, wait: Duration) -> StoreCall;

    /// Reads the answer to [`Self::watch`].
    fn decode_watch(&self, body: &[u8]) -> Result<WatchPage, DecodeError>;

    /// Writes a call that takes a lease.
    fn take_lease(&self, ttl: Duration) -> StoreCall;

    /// Reads the answer to [`Self::take_lease`].
    fn decode_lease(&self, body: &[u8]) -> Result<Lease, DecodeError>;

    /// Writes a call that renews a lease.
    fn renew_lease(&self, lease: u64) -> StoreCall;

    /// Writes a call that ends a lease.
    fn end_lease(&self, lease: u64) -> StoreCall;

    /// Writes a call that sets a key under a lease.
    fn put(&self, key: &str, value: &[u8], lease: u64) -> StoreCall;

    /// Reads a configuration.
    fn decode_configuration(&self, value: &[u8]) -> Result<RouteTable, DecodeError>;

    /// Reads an endpoint's entry; `name` is the rest of its key.
    fn decode_endpoint(&self, name: &str, value: &[u8]) -> Result<EndpointEntry, DecodeError>;

    /// Reads the headers of a caller's request.
    fn decode_caller_headers(&self, headers: &HeaderMap) -> Result<CallerHeaders, DecodeError>;

    /// Removes what a caller may not set, and sets what the router has to say.
    fn set_endpoint_request_headers(
        &self,
        headers: &mut HeaderMap,
        marks: &EndpointRequestHeaders<'_>,
    );

    /// Reads the status and the headers of an endpoint's answer.
    fn decode_endpoint_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        attempt_id: &HeaderValue,
    ) -> EndpointResponseHeaders;

    /// Says whether a path asks for readiness.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Says whether a path asks where to connect.
    fn is_directory_path(&self, path: &str) -> bool;

    /// Writes the answer to where to connect.
    fn encode_directory(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
}

/// A platform that is shared by the tasks of one thread.
pub type SharedPlatform = Arc<dyn Platform + Send + Sync>;
