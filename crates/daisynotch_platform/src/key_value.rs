//! A client of the platform's key-value service.
//!
//! It speaks the JSON form of the etcd v3 interface: `/v3/kv/range` reads,
//! `/v3/kv/txn` compares and swaps. Keys and values travel as base64, 64-bit
//! numbers as text.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
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
#[derive(Clone)]
pub struct KeyValueClient {
    address: SocketAddr,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
    call_use: KeyValueUse,
    observer: Option<CallObserver>,
}

impl fmt::Debug for KeyValueClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("KeyValueClient")
            .field("address", &self.address)
            .field("call_use", &self.call_use)
            .finish_non_exhaustive()
    }
}

/// What a call is made for; each use is counted by itself.
#[daisynotch_macros::value]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub enum KeyValueUse {
    /// The value that names the newest revision of the objects.
    ConfigurationHead,
    /// A part of the objects.
    ConfigurationChunk,
    /// Anything else.
    Other,
}

impl fmt::Display for KeyValueUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::ConfigurationHead => "configuration_head",
            Self::ConfigurationChunk => "configuration_chunk",
            Self::Other => "other",
        })
    }
}

/// How a call ended, for counting.
#[daisynotch_macros::value]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub enum CallResult {
    /// It was answered.
    Ok,
    /// No connection could be made.
    Unreachable,
    /// It was sent and not answered.
    NoAnswer,
}

impl fmt::Display for CallResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Ok => "ok",
            Self::Unreachable => "unreachable",
            Self::NoAnswer => "no_answer",
        })
    }
}

/// Learns of every call.
pub type CallObserver = Arc<dyn Fn(KeyValueUse, CallResult) + Send + Sync>;

/// What must hold for a transaction to take effect.
#[daisynotch_macros::value]
pub enum Condition {
    /// A key was last changed by this write; zero means that it is absent.
    LastWrite(String, ModRevision),
    /// A key is there.
    Exists(String),
}

/// A write of a transaction.
#[daisynotch_macros::value]
pub enum Write {
    /// Sets a key.
    Put(String, Bytes),
    /// Removes a key.
    Delete(String),
}

#[derive(Serialize)]
struct RangeRequest {
    key: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<String>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    keys_only: bool,
}

#[derive(Deserialize, Default)]
struct RangeResponse {
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

#[derive(Deserialize)]
struct KeyValue {
    key: String,
    #[serde(default)]
    value: String,
    mod_revision: String,
}

#[derive(Serialize)]
struct TxnRequest {
    compare: Vec<Compare>,
    success: Vec<RequestOp>,
    failure: [RequestOp; 0],
}

#[derive(Serialize)]
struct Compare {
    key: String,
    target: &'static str,
    result: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    create_revision: Option<String>,
}

#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum RequestOp {
    RequestPut { key: String, value: String },
    RequestDeleteRange { key: String },
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
            call_use: KeyValueUse::Other,
            observer: None,
        }
    }

    /// Gives the same client for one use.
    #[must_use]
    pub fn for_use(self, call_use: KeyValueUse) -> Self {
        Self { call_use, ..self }
    }

    /// Tells an observer of every call from now on.
    #[must_use]
    pub fn with_observer(self, observer: CallObserver) -> Self {
        let observer = Some(observer);
        Self { observer, ..self }
    }

    /// Reads a key.
    pub async fn get(&self, key: &str) -> Result<Option<StoredValue>, KeyValueError> {
        let request = RangeRequest {
            key: encode(key),
            range_end: None,
            keys_only: false,
        };
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        response
            .kvs
            .into_iter()
            .next()
            .map(|kv| self.decode(&kv))
            .transpose()
    }

    /// Lists the keys that start with a prefix.
    pub async fn list_keys(&self, prefix: &str) -> Result<Vec<String>, KeyValueError> {
        let request = RangeRequest {
            key: encode(prefix),
            range_end: Some(BASE64_STANDARD.encode(prefix_end(prefix))),
            keys_only: true,
        };
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        let decode = |kv: KeyValue| {
            let key = BASE64_STANDARD.decode(&kv.key);
            let key = key.map_err(|error| self.no_answer(error))?;
            String::from_utf8(key).map_err(|error| self.no_answer(error))
        };
        response.kvs.into_iter().map(decode).collect()
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
        let condition = Condition::LastWrite(key.to_owned(), expected);
        let write = Write::Put(key.to_owned(), Bytes::copy_from_slice(value));
        self.transact(&[condition], &[write]).await
    }

    /// Makes all writes at once if every condition holds.
    ///
    /// Gives whether they took effect. [`KeyValueError::NoAnswer`] leaves that open.
    pub async fn transact(
        &self,
        conditions: &[Condition],
        writes: &[Write],
    ) -> Result<bool, KeyValueError> {
        let request = TxnRequest {
            compare: conditions.iter().map(compare).collect(),
            success: writes.iter().map(request_op).collect(),
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
        let response = self.call_uncounted(path, request).await;
        let result = match &response {
            Ok(_) => CallResult::Ok,
            Err(KeyValueError::Unreachable { .. }) => CallResult::Unreachable,
            Err(KeyValueError::NoAnswer { .. }) => CallResult::NoAnswer,
        };
        if let Some(observer) = &self.observer {
            observer(self.call_use, result);
        }
        response
    }

    async fn call_uncounted<R: DeserializeOwned>(
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

    fn unreachable(&self, reason: impl fmt::Display) -> KeyValueError {
        KeyValueError::Unreachable {
            address: self.address,
            reason: reason.to_string(),
        }
    }

    fn no_answer(&self, reason: impl fmt::Display) -> KeyValueError {
        KeyValueError::NoAnswer {
            address: self.address,
            reason: reason.to_string(),
        }
    }
}

fn encode(key: &str) -> String {
    BASE64_STANDARD.encode(key)
}

/// Gives the first key after all that start with a prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        // The prefixes in use end in an ASCII character, so this can't overflow.
        *last += 1;
    }
    end
}

fn compare(condition: &Condition) -> Compare {
    match condition {
        Condition::LastWrite(key, expected) => Compare {
            key: encode(key),
            target: "MOD",
            result: "EQUAL",
            mod_revision: Some(expected.to_string()),
            create_revision: None,
        },
        Condition::Exists(key) => Compare {
            key: encode(key),
            target: "CREATE",
            result: "GREATER",
            mod_revision: None,
            create_revision: Some("0".to_owned()),
        },
    }
}

fn request_op(write: &Write) -> RequestOp {
    match write {
        Write::Put(key, value) => RequestOp::RequestPut {
            key: encode(key),
            value: BASE64_STANDARD.encode(value),
        },
        Write::Delete(key) => RequestOp::RequestDeleteRange { key: encode(key) },
    }
}

#[cfg(test)]
mod tests;
