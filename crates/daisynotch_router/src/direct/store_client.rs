//! HTTP client of the platform's store.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_platform::ports::StoreCall;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Request, StatusCode};

use super::connections::{Connection, SendError};
use super::state::Router;

/// Maximum size of a response: a page of the store is about 1 MB, and the text encoding of its
/// values adds a third.
const RESPONSE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Why a call returned no usable response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StoreError {
    /// No response or only a part of it arrived; the call may have taken effect.
    #[error("no response from the store: {0}")]
    NoAnswer(String),
    /// Nothing came back in time, so the store or the way to it may have been down since the call was
    /// sent.
    #[error("the store is silent: {0}")]
    Silent(String),
    /// The response is from before the store was restored from a backup.
    #[error("the response is from before the store was restored from a backup")]
    Outdated,
    /// The response exceeds the limit.
    #[error("the response has more than {RESPONSE_MAX_BYTES} bytes")]
    TooLarge,
    /// The store responded with a status other than 200.
    #[error("the store responded with status {0}")]
    Status(StatusCode),
}

/// A response of the store.
pub(crate) struct StoreResponse {
    pub(crate) body: Bytes,
    /// Number of times that the store had been restored from a backup.
    pub(crate) era: u64,
}

/// A client with one connection to the store, which is reopened after a failure.
pub(crate) struct StoreClient {
    router: Rc<Router>,
    address: SocketAddr,
    connection: RefCell<Option<Connection>>,
}

impl StoreClient {
    pub(crate) fn new(router: &Rc<Router>) -> Self {
        Self {
            router: Rc::clone(router),
            address: router.settings.borrow().store_address,
            connection: RefCell::default(),
        }
    }

    /// Makes a call, which metrics count under `purpose`.
    pub(crate) async fn call(
        &self,
        purpose: &str,
        call: StoreCall,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreError> {
        let outcome = tokio::time::timeout(timeout, self.exchange(call)).await;
        let outcome =
            outcome.unwrap_or_else(|_| Err(StoreError::Silent("the call timed out".into())));
        let result = match &outcome {
            Ok(_) => "ok".to_owned(),
            Err(StoreError::NoAnswer(_) | StoreError::Silent(_)) => "no_answer".to_owned(),
            Err(StoreError::Outdated) => "outdated".to_owned(),
            Err(StoreError::TooLarge) => "too_large".to_owned(),
            Err(StoreError::Status(status)) => status.as_u16().to_string(),
        };
        let calls = &self.router.metrics.store_calls;
        calls.with_label_values(&[purpose, result.as_str()]).inc();
        outcome
    }

    async fn exchange(&self, call: StoreCall) -> Result<StoreResponse, StoreError> {
        let not_connected = |error: SendError| match error {
            SendError::Refused(reason) => StoreError::NoAnswer(reason),
            error => StoreError::Silent(error.to_string()),
        };
        let failed = |error: SendError| match error {
            SendError::Silent(reason) => StoreError::Silent(reason),
            error => StoreError::NoAnswer(error.to_string()),
        };
        let idle = self.connection.take().filter(Connection::is_usable);
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::open(self.address)
                .await
                .map_err(not_connected)?,
        };
        let host = HeaderValue::from_str(&self.address.to_string());
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = call
            .target
            .parse()
            .map_err(|error| StoreError::NoAnswer(format!("`{}`: {error}", call.target)))?;
        let headers = request.headers_mut();
        headers.insert(
            HOST,
            host.expect("a socket address is a valid header value"),
        );
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let response = connection.send(request).await.map_err(failed)?;
        let status = response.status();
        let era = self.router.platform.store_era(response.headers());
        let era = era.unwrap_or(self.router.store_era.get());
        self.router.on_store_era(era, "store");
        let body = Limited::new(response.into_body(), RESPONSE_MAX_BYTES).collect();
        let body = body.await.map_err(|error| {
            if error.is::<LengthLimitError>() {
                StoreError::TooLarge
            } else {
                StoreError::NoAnswer(error.to_string())
            }
        })?;
        *self.connection.borrow_mut() = Some(connection);
        if era < self.router.store_era.get() {
            return Err(StoreError::Outdated);
        }
        if status == StatusCode::OK {
            let body = body.to_bytes();
            return Ok(StoreResponse { body, era });
        }
        Err(StoreError::Status(status))
    }
}
