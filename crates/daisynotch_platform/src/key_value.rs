//! A client of the platform's key-value service.
//!
//! It speaks the JSON form of the etcd v3 interface: `/v3/kv/range` reads,
//! `/v3/kv/txn` compares and swaps. Keys and values travel as base64, 64-bit
//! numbers as text.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::CONTENT_TYPE;
use hyper::{Method, Request};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The longest answer that is read: a value of a megabyte in base64, with room.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The service's number of the write that last changed a key; zero means absent.
#[daisynotch_macros::number]
pub struct ModRevision(pub u64);

/// A value with the write that it came from.
#[daisynotch_macros::value]
pub struct StoredValue {
    /// The value.
    pub value: Bytes,
    /// The write.
    pub mod_revision: ModRevision,
}

/// Why a call to the service gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum KeyValueError {
    /// No connection could be made; the call did not take effect.
    #[error("the key-value service at {address} can't be reached: {reason}")]
    Unreachable {
        /// Where the service was looked for.
        address: SocketAddr,
        /// What the connection attempt said.
        reason: String,
    },
    /// The call was sent but not answered; a write may have taken effect.
    #[error("the key-value service at {address} did not answer: {reason}")]
    NoAnswer {
        /// Where the service was looked for.
        address: SocketAddr,
        /// What was seen.
        reason: String,
    },
}

/// Talks to one address of the service.
#[derive(Debug, Clone)]
pub struct KeyValueClient {
    address: SocketAddr,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

#[derive(Serialize)]
struct RangeRequest {
    key: String,
}

#[derive(Deserialize, Default)]
struct RangeResponse {
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

#[derive(Deserialize)]
struct KeyValue {
    #[serde(default)]
    value: String,
    mod_revision: String,
}

#[derive(Serialize)]
struct TxnRequest {
    compare: [Compare; 1],
    success: [RequestOp; 1],
    failure: [RequestOp; 0],
}

#[derive(Serialize)]
struct Compare {
    key: String,
    target: &'static str,
    result: &'static str,
    mod_revision: String,
}

#[derive(Serialize)]
struct RequestOp {
    request_put: PutRequest,
}

#[derive(Serialize)]
struct PutRequest {
    key: String,
    value: String,
}

#[derive(Deserialize)]
struct TxnResponse {
    #[serde(default)]
    succeeded: bool,
}

impl KeyValueClient {
    /// Makes a client; no connection is opened yet.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        Self {
            address,
            timeout,
            client: builder.build(connector),
        }
    }

    /// Reads a key.
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, KeyValueError> {
        let request = RangeRequest { key: encode(key) };
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        response
            .kvs
            .into_iter()
            .next()
            .map(|kv| self.decode(&kv))
            .transpose()
    }

    /// Writes a key if its last write is still the expected one.
    ///
    /// Gives whether the write took effect. [`KeyValueError::NoAnswer`] leaves that
    /// open: read the key back.
    pub async fn put_if(
        &self,
        key: &str,
        expected: ModRevision,
        value: &[u8],
    ) -> Result<bool, KeyValueError> {
        let compare = Compare {
            key: encode(key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: expected.to_string(),
        };
        let request_put = PutRequest {
            key: encode(key),
            value: BASE64_STANDARD.encode(value),
        };
        let request = TxnRequest {
            compare: [compare],
            success: [RequestOp { request_put }],
            failure: [],
        };
        let response: TxnResponse = self.call("/v3/kv/txn", &request).await?;
        Ok(response.succeeded)
    }

    async fn call<R: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> Result<R, KeyValueError> {
        let body = serde_json::to_vec(request).expect("requests are plain data");
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("the address and path make a valid URI");
        let exchange = tokio::time::timeout(self.timeout, self.exchange(request));
        let body = exchange
            .await
            .map_err(|_| self.no_answer("it timed out"))??;
        serde_json::from_slice(&body).map_err(|error| self.no_answer(error))
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes, KeyValueError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                self.unreachable(error)
            } else {
                self.no_answer(error)
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), ANSWER_MAX_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| self.no_answer(error))?.to_bytes();
        if status.is_success() {
            Ok(body)
        } else {
            Err(self.no_answer(format_args!("it answered {status}")))
        }
    }

    fn decode(&self, kv: &KeyValue) -> Result<StoredValue, KeyValueError> {
        let value = BASE64_STANDARD
            .decode(&kv.value)
            .map_err(|error| self.no_answer(error))?;
        let mod_revision = kv
            .mod_revision
            .parse()
            .map_err(|error| self.no_answer(error))?;
        Ok(StoredValue {
            value: Bytes::from(value),
            mod_revision,
        })
    }

    fn unreachable(&self, reason: impl std::fmt::Display) -> KeyValueError {
        KeyValueError::Unreachable {
            address: self.address,
            reason: reason.to_string(),
        }
    }

    fn no_answer(&self, reason: impl std::fmt::Display) -> KeyValueError {
        KeyValueError::NoAnswer {
            address: self.address,
            reason: reason.to_string(),
        }
    }
}

fn encode(key: &str) -> String {
    BASE64_STANDARD.encode(key)
}
