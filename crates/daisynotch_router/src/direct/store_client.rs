//! Calls to the platform's store.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_platform::ports::StoreCall;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Request, StatusCode};

use super::connections::{Connection, SendError};
use super::state::Router;

/// The longest answer: a page of the store is about 1 MB, and a value as text a third more.
const ANSWER_MAX_BYTES: usize = 4 * 1024 * 1024;

/// How a call ended without a useful answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum StoreError {
    /// Nothing, or nothing whole, came back; the call may have taken effect.
    #[error("the store gave no answer: {0}")]
    NoAnswer(String),
    /// The answer is of a time before the store came back from a copy.
    #[error("the store answered from before its return")]
    Outdated,
    /// The store answered with another status than 200.
    #[error("the store answered with status {0}")]
    Status(StatusCode),
}

/// An answer of the store.
pub(crate) struct StoreAnswer {
    pub(crate) body: Bytes,
    /// How often the store had come back from a copy.
    pub(crate) era: u64,
}

/// One connection to the store, opened anew after a failure.
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

    /// Makes a call; `purpose` counts it.
    pub(crate) async fn call(
        &self,
        purpose: &str,
        call: StoreCall,
        timeout: Duration,
    ) -> Result<StoreAnswer, StoreError> {
        let ended = tokio::time::timeout(timeout, self.exchange(call)).await;
        let ended = ended.unwrap_or_else(|_| Err(StoreError::NoAnswer("it took too long".into())));
        let result = match &ended {
            Ok(_) => "ok".to_owned(),
            Err(StoreError::NoAnswer(_)) => "no_answer".to_owned(),
            Err(StoreError::Outdated) => "outdated".to_owned(),
            Err(StoreError::Status(status)) => status.as_u16().to_string(),
        };
        let calls = &self.router.metrics.store_calls;
        calls.with_label_values(&[purpose, result.as_str()]).inc();
        ended
    }

    async fn exchange(&self, call: StoreCall) -> Result<StoreAnswer, StoreError> {
        let failed = |error: SendError| match error {
            SendError::NotSent(reason) | SendError::NoAnswer(reason) => {
                StoreError::NoAnswer(reason)
            }
        };
        let kept = self.connection.take().filter(Connection::is_usable);
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::open(self.address).await.map_err(failed)?,
        };
        let host = HeaderValue::from_str(&self.address.to_string());
        let mut request = Request::new(Full::new(call.body));
        *request.method_mut() = call.method;
        *request.uri_mut() = call
            .target
            .parse()
            .map_err(|error| StoreError::NoAnswer(format!("`{}`: {error}", call.target)))?;
        let headers = request.headers_mut();
        headers.insert(HOST, host.expect("an address is a header value"));
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let answer = connection.send(request).await.map_err(failed)?;
        let status = answer.status();
        let era = self.router.platform.store_era(answer.headers());
        let era = era.unwrap_or(self.router.store_era.get());
        self.router.on_store_era(era, "store");
        let body = Limited::new(answer.into_body(), ANSWER_MAX_BYTES).collect();
        let body = body
            .await
            .map_err(|error| StoreError::NoAnswer(error.to_string()))?;
        *self.connection.borrow_mut() = Some(connection);
        if era < self.router.store_era.get() {
            return Err(StoreError::Outdated);
        }
        if status == StatusCode::OK {
            let body = body.to_bytes();
            return Ok(StoreAnswer { body, era });
        }
        Err(StoreError::Status(status))
    }
}
