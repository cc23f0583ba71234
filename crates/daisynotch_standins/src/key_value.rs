//! A stand-in for the key-value service, in memory, with the JSON interface of etcd v3.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use http_body_util::{BodyExt, Limited};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use viz::{IntoResponse, Request, Response, Result, Router, StatusCode, types::Json};

use crate::server::{ANY_PORT, StandinServer};

/// The longest value that the service accepts, which is the limit of the platform's service.
pub const VALUE_MAX_BYTES: usize = 1_000_000;
/// The longest request body that the service accepts.
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The number of calls that reached the service.
#[daisynotch_macros::value]
#[derive(Copy, Default)]
pub struct CallCounts {
    /// Range reads.
    pub reads: u64,
    /// Transactions, whether or not they were applied.
    pub writes: u64,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    values: BTreeMap<Vec<u8>, Value>,
    is_down: bool,
    delay: Duration,
    lose_responses: u32,
    lose_requests: u32,
    goes_down_after_write: bool,
    calls: CallCounts,
}

/// A stored value, in the base64 encoding in which it was received.
#[derive(Debug, Clone)]
struct Value {
    value: String,
    mod_revision: u64,
}

/// The key-value service, with faults that a test can inject.
#[derive(Debug)]
pub struct KeyValueStandin {
    server: StandinServer,
    state: Arc<Mutex<State>>,
}

#[derive(Deserialize)]
struct RangeRequest {
    key: String,
    #[serde(default)]
    range_end: Option<String>,
    #[serde(default)]
    keys_only: bool,
}

#[derive(Serialize)]
struct KeyValue {
    key: String,
    value: String,
    mod_revision: String,
}

#[derive(Serialize)]
struct RangeResponse {
    kvs: Vec<KeyValue>,
}

#[derive(Deserialize)]
struct TxnRequest {
    compare: Vec<Compare>,
    success: Vec<RequestOp>,
}

#[derive(Deserialize)]
#[serde(tag = "target")]
enum Compare {
    #[serde(rename = "MOD")]
    LastWrite { key: String, mod_revision: String },
    #[serde(rename = "CREATE")]
    Exists { key: String },
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RequestOp {
    RequestPut { key: String, value: String },
    RequestDeleteRange { key: String },
}

#[derive(Serialize)]
struct TxnResponse {
    succeeded: bool,
}

impl KeyValueStandin {
    /// Starts an empty service on a free loopback port.
    pub async fn start() -> std::io::Result<Self> {
        Self::start_at(ANY_PORT).await
    }

    /// Starts an empty service on the given address.
    pub async fn start_at(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let range_state = Arc::clone(&state);
        let txn_state = Arc::clone(&state);
        let router = Router::new()
            .post("/v3/kv/range", move |request| {
                range(Arc::clone(&range_state), request)
            })
            .post("/v3/kv/txn", move |request| {
                txn(Arc::clone(&txn_state), request)
            });
        let server = StandinServer::start_at(address, router).await?;
        Ok(Self { server, state })
    }

    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Starts or ends an outage, during which all calls get status 503.
    pub fn set_down(&self, is_down: bool) {
        lock(&self.state).is_down = is_down;
    }

    /// Delays every response from now on; the call itself is applied at once.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Loses the responses to the next `count` writes, which are applied nevertheless.
    pub fn lose_responses(&self, count: u32) {
        lock(&self.state).lose_responses = count;
    }

    /// Loses the next `count` writes before they are applied.
    pub fn lose_requests(&self, count: u32) {
        lock(&self.state).lose_requests = count;
    }

    /// Loses the response to the next write, which is applied, and starts an outage after it.
    pub fn go_down_after_next_write(&self) {
        lock(&self.state).goes_down_after_write = true;
    }

    /// Returns the number of calls so far, including those during an outage.
    pub fn calls(&self) -> CallCounts {
        lock(&self.state).calls
    }

    /// Returns the length of every value by key.
    pub fn value_lengths_bytes(&self) -> BTreeMap<String, usize> {
        let state = lock(&self.state);
        let values = state.values.iter();
        let lengths = values.map(|(key, value)| {
            let key = String::from_utf8_lossy(key).into_owned();
            (key, decode(&value.value).len())
        });
        lengths.collect()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

fn decode(text: &str) -> Vec<u8> {
    BASE64_STANDARD.decode(text).unwrap_or_default()
}

async fn read_json<C: DeserializeOwned>(request: Request) -> Option<C> {
    let body = Limited::new(request.into_body(), BODY_MAX_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

async fn range(state: Arc<Mutex<State>>, request: Request) -> Result<Response> {
    let Some(request) = read_json::<RangeRequest>(request).await else {
        return Ok(StatusCode::BAD_REQUEST.into_response());
    };
    let (response, delay) = {
        let mut state = lock(&state);
        state.calls.reads += 1;
        (state.range(&request), state.delay)
    };
    tokio::time::sleep(delay).await;
    Ok(response)
}

async fn txn(state: Arc<Mutex<State>>, request: Request) -> Result<Response> {
    let Some(request) = read_json::<TxnRequest>(request).await else {
        return Ok(StatusCode::BAD_REQUEST.into_response());
    };
    let (response, delay) = {
        let mut state = lock(&state);
        state.calls.writes += 1;
        (state.txn(request), state.delay)
    };
    tokio::time::sleep(delay).await;
    Ok(response)
}

impl State {
    fn range(&self, request: &RangeRequest) -> Response {
        if self.is_down {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let first = decode(&request.key);
        let end = request.range_end.as_deref().map(decode);
        let is_in_range = |key: &Vec<u8>| match &end {
            Some(end) => *key >= first && key < end,
            None => *key == first,
        };
        let matching = self.values.iter().filter(|(key, _)| is_in_range(key));
        let kvs = matching.map(|(key, value)| KeyValue {
            key: BASE64_STANDARD.encode(key),
            value: if request.keys_only {
                String::new()
            } else {
                value.value.clone()
            },
            mod_revision: value.mod_revision.to_string(),
        });
        let kvs = kvs.collect();
        Json::new(RangeResponse { kvs }).into_response()
    }

    fn txn(&mut self, request: TxnRequest) -> Response {
        if self.is_down {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        if self.lose_requests > 0 {
            self.lose_requests -= 1;
            return StatusCode::GATEWAY_TIMEOUT.into_response();
        }
        let is_too_long = |op: &RequestOp| matches!(op, RequestOp::RequestPut { value, .. } if decode(value).len() > VALUE_MAX_BYTES);
        if request.success.iter().any(is_too_long) {
            return StatusCode::PAYLOAD_TOO_LARGE.into_response();
        }
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.is_satisfied(compare));
        if succeeded {
            self.revision += 1;
            request.success.into_iter().for_each(|op| self.apply(op));
        }
        if std::mem::take(&mut self.goes_down_after_write) {
            self.is_down = true;
            return StatusCode::GATEWAY_TIMEOUT.into_response();
        }
        if self.lose_responses > 0 {
            self.lose_responses -= 1;
            return StatusCode::GATEWAY_TIMEOUT.into_response();
        }
        Json::new(TxnResponse { succeeded }).into_response()
    }

    fn is_satisfied(&self, compare: &Compare) -> bool {
        match compare {
            Compare::LastWrite { key, mod_revision } => {
                let value = self.values.get(&decode(key));
                let last = value.map_or(0, |value| value.mod_revision);
                *mod_revision == last.to_string()
            }
            Compare::Exists { key } => self.values.contains_key(&decode(key)),
        }
    }

    fn apply(&mut self, op: RequestOp) {
        match op {
            RequestOp::RequestPut { key, value } => {
                let mod_revision = self.revision;
                let value = Value {
                    value,
                    mod_revision,
                };
                self.values.insert(decode(&key), value);
            }
            RequestOp::RequestDeleteRange { key } => {
                self.values.remove(&decode(&key));
            }
        }
    }
}
