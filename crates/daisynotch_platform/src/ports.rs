//! The port between a router that dispatches requests itself and its platform.
//!
//! An adapter implements [`Platform`]: it encodes and decodes the platform's headers, bodies
//! and store calls and makes no routing decisions. The router owns the sockets, timeouts and
//! retries. See `docs/design/platform.md`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::EndpointStatus;
use daisynotch_core::direct::{EndpointEntry, Parts, RequestRate, RouteTable};
use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderValue};

/// Data from the platform that an adapter can't decode.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{object} can't be read: {problem}")]
pub struct DecodeError {
    /// The kind of data that was decoded, such as "a request".
    pub object: &'static str,
    /// Why decoding failed.
    pub problem: String,
}

/// An HTTP request to the store.
#[daisynotch_macros::value]
pub struct StoreCall {
    /// `GET`, `POST` or `DELETE`.
    pub method: hyper::Method,
    /// Path and query.
    pub target: String,
    /// The request body; empty if there is none.
    pub body: Bytes,
}

/// A key-value pair of the store.
#[daisynotch_macros::message]
pub struct StoreItem {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The store revision of the last write to the key.
    pub revision: u64,
}

/// An item of a response that an adapter can't decode.
#[daisynotch_macros::value]
pub struct UnreadableItem {
    /// The key, if it can be decoded.
    pub key: Option<String>,
    /// Why decoding failed.
    pub problem: String,
}

/// One page of a key listing.
#[daisynotch_macros::value]
pub struct RangePage {
    /// The items in key order.
    pub items: Vec<StoreItem>,
    /// The items that can't be decoded.
    pub unreadable: Vec<UnreadableItem>,
    /// The last key of the page, that of an unreadable item included; the next page begins after
    /// it.
    pub last_key: Option<String>,
    /// Whether more pages follow.
    pub has_more: bool,
    /// The store revision at which the page was read.
    pub at_revision: u64,
}

/// A change of one key.
#[daisynotch_macros::message]
pub enum StoreEvent {
    /// The key was written.
    Written(StoreItem),
    /// The key was removed.
    Removed {
        /// The removed key.
        key: String,
        /// The store revision of the removal.
        revision: u64,
    },
}

impl StoreEvent {
    /// Returns the changed key.
    pub fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// Returns the store revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Written(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// The decoded response to a watch call.
#[daisynotch_macros::value]
pub struct WatchPage {
    /// The changes, in the order in which the store made them. A change to a value that can't be
    /// decoded is a removal.
    pub events: Vec<StoreEvent>,
    /// The changes that can't be decoded.
    pub unreadable: Vec<UnreadableItem>,
    /// The revision after which the next watch continues.
    pub at_revision: u64,
}

/// A lease granted by the store.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct Lease {
    /// The lease's number.
    pub id: u64,
    /// Time to live: the lease expires unless it is renewed within this time.
    pub ttl: Duration,
}

/// Prefixes of the store keys that the router reads.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct StorePrefixes {
    /// Prefix of the operators' configuration.
    pub configuration: &'static str,
    /// Prefix of the operators' orders to evacuate an availability zone, below that of the
    /// configuration; the rest of the key names the zone.
    pub evacuations: &'static str,
    /// Prefix of the endpoints' entries.
    pub endpoints: &'static str,
    /// Prefix of the routers' own entries.
    pub routers: &'static str,
    /// Prefix of the prompt parts that routers refuse.
    pub blocked_parts: &'static str,
}

/// The values that the router reads from the headers of a caller's request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerHeaders {
    /// The caller's identifier for this attempt.
    pub attempt_id: Option<HeaderValue>,
    /// The caller's credential.
    pub credential: Option<String>,
    /// How long the caller waits for the response.
    pub deadline: Option<Duration>,
    /// The prompt's length in tokens.
    pub prompt_tokens: u32,
    /// The maximum length of the response in tokens.
    pub answer_max_tokens: u32,
    /// The caller's estimate of the response length in tokens.
    pub answer_hint_tokens: Option<u32>,
    /// The parts of the prompt, each with its length in tokens.
    pub parts: Parts,
    /// The id of the last event that the caller has received, if it resumes a stream.
    pub resume_after: Option<String>,
}

/// The values that the router sets in the headers of a request to an endpoint.
#[daisynotch_macros::value]
pub struct EndpointRequestHeaders<'a> {
    /// The name of the addressed endpoint; any other endpoint rejects the request.
    pub endpoint_name: &'a str,
    /// The name of the caller's team.
    pub team: Option<&'a str>,
    /// The time that remains until the deadline.
    pub deadline: Duration,
    /// The id of the last event that the caller has received, if it resumes a stream.
    pub resume_after: Option<&'a str>,
}

/// The values that the router reads from the status and headers of an endpoint's response.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct EndpointResponseHeaders {
    /// Whether the response carries the attempt id of the request that was sent.
    pub matches_attempt: bool,
    /// Whether the response carries an endpoint's signature.
    pub is_signed: bool,
    /// Whether the endpoint reports that it did not run the request.
    pub is_not_run: bool,
    /// Whether the endpoint reports that it is leaving.
    pub is_leaving: bool,
    /// How long the endpoint asks this router not to send further requests, if it does.
    pub pushback: Option<Duration>,
    /// The rate at which all routers together may send requests to the endpoint.
    pub rate_limit: StatedRateLimit,
}

/// What a response states about the rate at which all routers together may send requests to its
/// endpoint.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum StatedRateLimit {
    /// The response states no limit.
    Unlimited,
    /// The response states a limit.
    Limited(RequestRate),
    /// The response states something that is not a rate.
    Unreadable,
}

/// Encodes and decodes a platform's headers, bodies and store calls for a router.
pub trait Platform {
    /// Returns the prefixes of the store keys that the router reads.
    fn prefixes(&self) -> StorePrefixes;

    /// Decodes the store era from the headers of a store response, if they report one.
    ///
    /// The era counts how often the store was restored from a backup.
    fn store_era(&self, headers: &HeaderMap) -> Option<u64>;

    /// Encodes a call that lists the keys with `prefix`, starting after the key `after`.
    ///
    /// `may_be_stale` permits an outdated listing, which is cheaper for the store.
    fn range(&self, prefix: &str, after: Option<&str>, may_be_stale: bool) -> StoreCall;

    /// Decodes the response to [`Self::range`].
    fn decode_range(&self, body: &[u8]) -> Result<RangePage, DecodeError>;

    /// Encodes a call that waits up to `wait` for changes of any key after a revision.
    fn watch(&self, after_revision: u64, wait: Duration) -> StoreCall;

    /// Decodes the response to [`Self::watch`].
    fn decode_watch(&self, body: &[u8]) -> Result<WatchPage, DecodeError>;

    /// Encodes a call that acquires a lease.
    fn take_lease(&self, ttl: Duration) -> StoreCall;

    /// Decodes the response to [`Self::take_lease`].
    fn decode_lease(&self, body: &[u8]) -> Result<Lease, DecodeError>;

    /// Encodes a call that renews a lease.
    fn renew_lease(&self, lease: u64) -> StoreCall;

    /// Encodes a call that revokes a lease.
    fn end_lease(&self, lease: u64) -> StoreCall;

    /// Encodes a call that writes a key and attaches it to a lease.
    fn put(&self, key: &str, value: &[u8], lease: u64) -> StoreCall;

    /// Decodes the operators' configuration.
    fn decode_configuration(&self, value: &[u8]) -> Result<RouteTable, DecodeError>;

    /// Decodes an endpoint's entry; `name` is its key without the prefix.
    fn decode_endpoint(&self, name: &str, value: &[u8]) -> Result<EndpointEntry, DecodeError>;

    /// Decodes what an endpoint says about itself at the status path of its service; `None` if the
    /// response is one to a caller's request, which may come late.
    fn decode_endpoint_status(&self, headers: &HeaderMap, body: &[u8]) -> Option<EndpointStatus>;

    /// Decodes the headers of a caller's request.
    fn decode_caller_headers(&self, headers: &HeaderMap) -> Result<CallerHeaders, DecodeError>;

    /// Removes the headers that a caller may not set, and sets those of the router.
    fn set_endpoint_request_headers(
        &self,
        headers: &mut HeaderMap,
        marks: &EndpointRequestHeaders<'_>,
    );

    /// Decodes the status and headers of an endpoint's response.
    fn decode_endpoint_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        attempt_id: &HeaderValue,
    ) -> EndpointResponseHeaders;

    /// Returns whether a path is that of the readiness check.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Returns whether a path is that of the router directory.
    fn is_directory_path(&self, path: &str) -> bool;

    /// Encodes the directory response: the router addresses to connect to, valid for `ttl`.
    fn encode_directory(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;
}

/// A platform adapter shared by the router's tasks, which run on one thread.
pub type SharedPlatform = Arc<dyn Platform + Send + Sync>;
