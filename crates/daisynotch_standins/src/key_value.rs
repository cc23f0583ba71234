//! A key-value service in memory, in the JSON form of the etcd v3 interface.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde::{Deserialize, Serialize};
use viz::{IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode, types::Json};

use crate::server::{ANY_PORT, StandinServer};

#[derive(Debug, Default)]
struct State {
    revision: u64,
    values: BTreeMap<String, Value>,
    is_down: bool,
    lose_answers: u32,
}

#[derive(Debug, Clone)]
struct Value {
    value: String,
    mod_revision: u64,
}

/// The service. Keys and values are kept in the base64 form in which they come.
#[derive(Debug)]
pub struct KeyValueStandin {
    server: StandinServer,
    state: Arc<Mutex<State>>,
}

#[derive(Deserialize)]
struct RangeRequest {
    key: String,
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
struct Compare {
    key: String,
    mod_revision: String,
}

#[derive(Deserialize)]
struct RequestOp {
    request_put: PutRequest,
}

#[derive(Deserialize)]
struct PutRequest {
    key: String,
    value: String,
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
        self.lock().is_down = is_down;
    }

    /// Loses the answers of the next writes, which take effect all the same.
    pub fn lose_answers(&self, count: u32) {
        self.lock().lose_answers = count;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of the lock panics")
    }
}

async fn range(state: Arc<Mutex<State>>, mut request: Request) -> Result<Response> {
    let call: RangeRequest = request.json().await?;
    let state = state.lock().expect("no holder of the lock panics");
    if state.is_down {
        return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
    }
    let found = state.values.get(&call.key).map(|value| KeyValue {
        key: call.key,
        value: value.value.clone(),
        mod_revision: value.mod_revision.to_string(),
    });
    let kvs = found.into_iter().collect();
    Ok(Json::new(RangeResponse { kvs }).into_response())
}

async fn txn(state: Arc<Mutex<State>>, mut request: Request) -> Result<Response> {
    let call: TxnRequest = request.json().await?;
    let mut state = state.lock().expect("no holder of the lock panics");
    if state.is_down {
        return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
    }
    let matches = |compare: &Compare| {
        let value = state.values.get(&compare.key);
        let mod_revision = value.map_or(0, |value| value.mod_revision);
        compare.mod_revision == mod_revision.to_string()
    };
    let succeeded = call.compare.iter().all(matches);
    if succeeded {
        state.revision += 1;
        let mod_revision = state.revision;
        for RequestOp { request_put: put } in call.success {
            let value = put.value;
            state.values.insert(
                put.key,
                Value {
                    value,
                    mod_revision,
                },
            );
        }
    }
    if state.lose_answers > 0 {
        state.lose_answers -= 1;
        return Ok(StatusCode::GATEWAY_TIMEOUT.into_response());
    }
    Ok(Json::new(TxnResponse { succeeded }).into_response())
}
