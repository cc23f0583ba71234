//! Asks an endpoint which start of it answers.

use std::rc::Rc;

use daisynotch_core::direct::{Grant, ServiceView};
use daisynotch_core::{AskedOn, EndpointStatus, SenderEvidence};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::header::{HOST, HeaderValue};

use super::connections::{Connection, SendError};
use super::state::Router;

/// Why a question to an endpoint brought no answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum AskError {
    /// The question could not be written.
    #[error("not asked: {0}")]
    NotAsked(String),
    /// Nothing listens at the endpoint's address.
    #[error("refused: {0}")]
    Refused(String),
    /// No connection could be opened or used.
    #[error("not reached: {0}")]
    NotReached(String),
    /// The connection broke, or the answer was none to this question.
    #[error("no answer: {0}")]
    NoAnswer(String),
}

impl AskError {
    /// Returns the name in metrics.
    pub(super) fn as_str(&self) -> &'static str {
        match self {
            Self::NotAsked(_) => "not_asked",
            Self::Refused(_) => "refused",
            Self::NotReached(_) => "not_reached",
            Self::NoAnswer(_) => "no_answer",
        }
    }
}

impl From<SendError> for AskError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Refused(reason) => Self::Refused(reason),
            SendError::NotSent(reason) => Self::NotReached(reason),
            SendError::NoAnswer(reason) | SendError::Silent(reason) => Self::NoAnswer(reason),
        }
    }
}

/// Maximum size of an endpoint's description of itself, which lists its requests.
const STATUS_MAX_BYTES: usize = 256 * 1024;

impl Router {
    /// Asks whatever listens at an endpoint's address which start of an endpoint it is.
    pub(super) async fn ask_on_new_connection(
        self: &Rc<Self>,
        grant: &Grant,
        service: Option<&ServiceView>,
    ) -> Result<SenderEvidence, AskError> {
        self.metrics.connections_opened.inc();
        let connection = Connection::open_to_endpoint(grant.address).await?;
        self.ask_on(connection, grant, service, AskedOn::NewConnection)
            .await
    }

    /// Asks on a connection which start of an endpoint is at its other end. Requests can use the
    /// connection afterwards if it is the endpoint's.
    pub(super) async fn ask_on(
        &self,
        mut connection: Connection,
        grant: &Grant,
        service: Option<&ServiceView>,
        asked_on: AskedOn,
    ) -> Result<SenderEvidence, AskError> {
        let asked_at = self.now();
        let status = self.request_status(&mut connection, grant, service).await?;
        let (name, started_unix_ms) = (&grant.endpoint_name, grant.started_unix_ms);
        let evidence = SenderEvidence::from_status(name, started_unix_ms, &status, asked_on);
        self.on_endpoint_status(grant, &status, evidence, asked_at);
        let is_sender = matches!(
            evidence,
            SenderEvidence::SameStart | SenderEvidence::SameName
        );
        let is_in_use = self.dispatcher.borrow().has_endpoint_start(grant.endpoint);
        if is_sender && is_in_use && connection.is_usable() {
            self.connections.put(grant.endpoint, connection, self.now());
        }
        Ok(evidence)
    }

    async fn request_status(
        &self,
        connection: &mut Connection,
        grant: &Grant,
        service: Option<&ServiceView>,
    ) -> Result<EndpointStatus, AskError> {
        let service = service.ok_or_else(|| {
            AskError::NotAsked("the request's configuration lacks its service".to_owned())
        })?;
        let path = &service.status_path;
        let target = path.parse();
        let host = HeaderValue::from_str(&grant.address.to_string());
        let mut request = Request::new(Full::default());
        *request.uri_mut() = target
            .map_err(|error| AskError::NotAsked(format!("the status path `{path}`: {error}")))?;
        let host = host.expect("a socket address is a valid header value");
        request.headers_mut().insert(HOST, host);
        let (now, endpoint) = (self.now(), grant.endpoint);
        self.dispatcher.borrow_mut().on_question(endpoint, now);
        let (head, body) = connection.send(request).await?.into_parts();
        let body = Limited::new(body, STATUS_MAX_BYTES).collect().await;
        let body = body.map_err(|error| AskError::NoAnswer(error.to_string()))?;
        let platform = &self.platform;
        let status = platform.decode_endpoint_status(&head.headers, &body.to_bytes());
        status.ok_or_else(|| AskError::NoAnswer("the answer is one to a request".to_owned()))
    }
}
