//! A key-value service in memory, in the JSON form of the etcd v3 interface.

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

/// The longest value that the service takes, as the platform's does.
pub const VALUE_MAX_BYTES: usize = 1_000_000;
/// The longest request body that the service takes.
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Calls that reached the service.
#[daisynotch_macros::value]
#[derive(Copy, Default)]
pub struct CallCounts {
    /// Reads.
    pub reads: u64,
    /// Transactions, whether they took effect or not.
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
    falls_after_write: bool,
    calls: CallCounts,
}

/// A value in the base64 form in which it came.
#[derive(Debug, Clone)]
struct Value {
    value: String,
    mod_revision: u64,
}

/// The service, with faults that a test can bring about.
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
    /// Starts an empty service.
    pub async fn start() -> std::io::Result<Self> {
        Self::start_at(ANY_PORT).await
    }

    /// Starts an empty service on an address.
    pub async fn start_at(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let for_range = Arc::clone(&state);
        let for_txn = Arc::clone(&state);
        let router = Router::new()
            .post("/v3/kv/range", move |request| {
                range(Arc::clone(&for_range), request)
            })
            .post("/v3/kv/txn", move |request| {
                txn(Arc::clone(&for_txn), request)
            });
        let server = StandinServer::start_at(address, router).await?;
        Ok(Self { server, state })
    }

    /// Gives where the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Makes the service refuse all calls, or serve again.
    pub fn set_down(&self, is_down: bool) {
        lock(&self.state).is_down = is_down;
    }

    /// Delays every answer from now on; the call takes effect at once.
    pub fn set_delay(&self, delay: Duration) {
        lock(&self.state).delay = delay;
    }

    /// Loses the answers of the next writes, which take effect all the same.
    pub fn lose_responses(&self, count: u32) {
        lock(&self.state).lose_responses = count;
    }

    /// Loses the next writes before they take effect.
    pub fn lose_requests(&self, count: u32) {
        lock(&self.state).lose_requests = count;
    }

    /// Makes the service lose the next write's answer and be down from then on.
    pub fn go_down_after_next_write(&self) {
        lock(&self.state).falls_after_write = true;
    }

    /// Gives the calls so far, those during an outage included.
    pub fn calls(&self) -> CallCounts {
        lock(&self.state).calls
    }

    /// Gives the length of every value by key.
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

async fn read_call<C: DeserializeOwned>(request: Request) -> Option<C> {
    let body = Limited::new(request.into_body(), BODY_MAX_BYTES);
    let bytes = body.collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

async fn range(state: Arc<Mutex<State>>, request: Request) -> Result<Response> {
    let Some(call) = read_call::<RangeRequest>(request).await else {
        return Ok(StatusCode::BAD_REQUEST.into_response());
    };
    let (response, delay) = {
        let mut state = lock(&state);
        state.calls.reads += 1;
        (state.range(&call), state.delay)
    };
    tokio::time::sleep(delay).await;
    Ok(response)
}

async fn txn(state: Arc<Mutex<State>>, request: Request) -> Result<Response> {
    let Some(call) = read_call::<TxnRequest>(request).await else {
        return Ok(StatusCode::BAD_REQUEST.into_response());
    };
    let (response, delay) = {
        let mut state = lock(&state);
        state.calls.writes += 1;
        (state.txn(call), state.delay)
    };
    tokio::time::sleep(delay).await;
    Ok(response)
}

impl State {
    fn range(&self, call: &RangeRequest) -> Response {
        if self.is_down {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        let first = decode(&call.key);
        let end = call.range_end.as_deref().map(decode);
        let is_wanted = |key: &Vec<u8>| match &end {
            Some(end) => *key >= first && key < end,
            None => *key == first,
        };
        let found = self.values.iter().filter(|(key, _)| is_wanted(key));
        let kvs = found.map(|(key, value)| KeyValue {
            key: BASE64_STANDARD.encode(key),
            value: if call.keys_only {
                String::new()
            } else {
                value.value.clone()
            },
            mod_revision: value.mod_revision.to_string(),
        });
        let kvs = kvs.collect();
        Json::new(RangeResponse { kvs }).into_response()
    }

    fn txn(&mut self, call: TxnRequest) -> Response {
        if self.is_down {
            return StatusCode::SERVICE_UNAVAILABLE.into_response();
        }
        if self.lose_requests > 0 {
            self.lose_requests -= 1;
            return StatusCode::GATEWAY_TIMEOUT.into_response();
        }
        let is_too_long = |op: &RequestOp| matches!(op, RequestOp::RequestPut { value, .. } if decode(value).len() > VALUE_MAX_BYTES);
        if call.success.iter().any(is_too_long) {
            return StatusCode::PAYLOAD_TOO_LARGE.into_response();
        }
        let succeeded = call.compare.iter().all(|compare| self.holds(compare));
        if succeeded {
            self.revision += 1;
            call.success.into_iter().for_each(|op| self.write(op));
        }
        if std::mem::take(&mut self.falls_after_write) {
            self.is_down = true;
            return StatusCode::GATEWAY_TIMEOUT.into_response();
        }
        if self.lose_responses > 0 {
            self.lose_responses -= 1;
            return StatusCode::GATEWAY_TIMEOUT.into_response();
        }
        Json::new(TxnResponse { succeeded }).into_response()
    }

    fn holds(&self, compare: &Compare) -> bool {
        match compare {
            Compare::LastWrite { key, mod_revision } => {
                let value = self.values.get(&decode(key));
                let last = value.map_or(0, |value| value.mod_revision);
                *mod_revision == last.to_string()
            }
            Compare::Exists { key } => self.values.contains_key(&decode(key)),
        }
    }

    fn write(&mut self, op: RequestOp) {
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
