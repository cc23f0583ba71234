//! Client for the platform's key-value service.
//!
//! The client speaks the JSON form of the etcd v3 API: `/v3/kv/range` reads, `/v3/kv/txn`
//! compares and swaps. Keys and values are base64-encoded, 64-bit numbers are strings.

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

/// Maximum length of a response body: a 1 MB value in base64, with a margin.
const RESPONSE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The service's revision of the last write to a key; zero means that the key is absent.
#[daisynotch_macros::number]
pub struct ModRevision(pub u64);

/// A value with the revision of the write that stored it.
#[daisynotch_macros::value]
pub struct StoredValue {
    /// The value.
    pub value: Bytes,
    /// The revision of the write.
    pub mod_revision: ModRevision,
}

/// Why a call to the service returned no usable response.
#[derive(Debug, thiserror::Error)]
pub enum KeyValueError {
    /// No connection could be opened; the call did not take effect.
    #[error("the key-value service at {address} can't be reached: {reason}")]
    Unreachable {
        /// The configured address of the service.
        address: SocketAddr,
        /// Why the connection attempt failed.
        reason: String,
    },
    /// The call was sent, but no valid response was received; a write may have taken effect.
    #[error("the key-value service at {address} returned no valid response: {reason}")]
    NoAnswer {
        /// The configured address of the service.
        address: SocketAddr,
        /// What went wrong after the call was sent.
        reason: String,
    },
}

/// Calls the service at one address.
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

/// The purpose of a call; calls are counted separately for each purpose.
#[daisynotch_macros::value]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub enum KeyValueUse {
    /// Reads or writes the value that names the newest revision of the objects.
    ConfigurationHead,
    /// Reads, writes or removes a chunk of the objects.
    ConfigurationChunk,
    /// Any other call.
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

/// The outcome of a call, by which calls are counted.
#[daisynotch_macros::value]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub enum CallResult {
    /// A valid response was received.
    Ok,
    /// No connection could be opened.
    Unreachable,
    /// The call was sent, but no valid response was received.
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

/// Callback that is run after every call with its purpose and outcome.
pub type CallObserver = Arc<dyn Fn(KeyValueUse, CallResult) + Send + Sync>;

/// A condition that must hold for a transaction to take effect.
#[daisynotch_macros::value]
pub enum Condition {
    /// The last write to the key has this revision; zero means that the key is absent.
    LastWrite(String, ModRevision),
    /// The key exists.
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
    /// Creates a client without opening a connection.
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

    /// Returns the client with calls counted under the given purpose.
    #[must_use]
    pub fn for_use(self, call_use: KeyValueUse) -> Self {
        Self { call_use, ..self }
    }

    /// Returns the client with an observer that is run after every call.
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
    /// Returns whether the write took effect. After [`KeyValueError::NoAnswer`] this is unknown:
    /// read the key back.
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

    /// Applies all writes atomically if every condition holds.
    ///
    /// Returns whether they took effect. After [`KeyValueError::NoAnswer`] this is unknown.
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
        let response = self.call_unobserved(path, request).await;
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

    async fn call_unobserved<R: DeserializeOwned>(
        &self,
        path: &str,
        request: &impl Serialize,
    ) -> Result<R, KeyValueError> {
        let body = serde_json::to_vec(request).expect("requests serialize to JSON");
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("the address and path make a valid URI");
        let exchange = tokio::time::timeout(self.timeout, self.exchange(request));
        let body = exchange
            .await
            .map_err(|_| self.no_answer("the call timed out"))??;
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
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES)
            .collect()
            .await;
        let body = body.map_err(|error| self.no_answer(error))?.to_bytes();
        if status.is_success() {
            Ok(body)
        } else {
            Err(self.no_answer(format_args!("the response status is {status}")))
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

/// Returns the exclusive end of the key range that starts with a prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        // All prefixes in use end in an ASCII character, so the increment can't overflow.
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
