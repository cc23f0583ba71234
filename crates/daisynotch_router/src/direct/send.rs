//! Sends a request to one endpoint and checks the head of the response.

use std::rc::Rc;

use bytes::Bytes;
use daisynotch_core::Delimiter;
use daisynotch_core::direct::{Grant, RunOutcome};
use daisynotch_platform::ports::EndpointRequestHeaders;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response::Parts as ResponseHead;
use hyper::{Request, Response, StatusCode};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::connections::{Connection, SendError};
use super::forward::Call;
use super::response::strip_connection_headers;
use super::state::{Router, RunGuard};
use super::witness::Witness;
use crate::delimiter::body_delimiter;

/// Statuses that callers take for a promise that the request has not run.
const REFUSAL_STATUSES: [StatusCode; 3] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Why a send produced no response that can be forwarded.
pub(super) enum SendFailure {
    /// The endpoint did not run the request.
    NotRun(RunOutcome, String),
    /// The endpoint may have run the request.
    Unknown(RunOutcome, String),
    /// The request's deadline passed.
    TimedOut,
}

/// A place that a request was granted at an endpoint; dropping it gives it back.
pub(super) struct Place {
    pub(super) grant: Grant,
    pub(super) guard: RunGuard,
}

pub(super) type ExchangeResult = Result<(Response<Incoming>, Connection), SendFailure>;

/// A request at an endpoint that has not begun to respond.
pub(super) struct Attempt {
    pub(super) grant: Grant,
    pub(super) guard: RunGuard,
    pub(super) sent_at: Instant,
    pub(super) arrival: Arrival,
}

/// The response that an attempt waits for.
pub(super) struct Arrival {
    exchange: LocalBoxFuture<'static, ExchangeResult>,
    /// A response that has arrived and was checked.
    pub(super) checked: Option<(Response<Incoming>, Connection)>,
    /// A second connection to the endpoint, if its service sends responses that end with their
    /// connection.
    witness: Option<Witness>,
    /// Notified when the request is about to be written to a connection.
    pub(super) connected: Rc<Notify>,
    /// Whether the exchange is known to have failed.
    pub(super) has_failed: bool,
}

/// A response of which the head has arrived.
pub(super) struct StartedResponse {
    pub(super) head: ResponseHead,
    pub(super) incoming: Incoming,
    pub(super) connection: Connection,
    pub(super) guard: RunGuard,
    pub(super) grant: Grant,
    /// A second connection to the endpoint, if the response ends with its connection.
    pub(super) witness: Option<Witness>,
}

impl Arrival {
    /// Waits until a response has arrived, which is kept; never completes if the exchange fails.
    pub(super) async fn until_answered(&mut self) {
        let sent = Witness::observe(&mut self.witness, &mut self.exchange).await;
        self.has_failed = sent.is_err();
        self.exchange = std::future::ready(sent).boxed_local();
        if self.has_failed {
            std::future::pending::<()>().await;
        }
    }
}

impl Call {
    /// Starts to send the request to the endpoint at which it has a place.
    pub(super) fn start_attempt(&mut self, place: Place, resume_after: Option<&str>) -> Attempt {
        let Place { grant, guard } = place;
        // What failed one run, a late answer or a silent path, may wait on other idle connections.
        let may_reuse = self.history.runs == 0 && !self.history.is_at_endpoint;
        self.spec.tried.push(grant.endpoint);
        self.history.on_send(&grant);
        let witness = self.witness_for_request(&grant);
        let endpoint_request = self.endpoint_request(&grant, resume_after);
        let router = Rc::clone(&self.router);
        let connected = Rc::new(Notify::new());
        let exchange = exchange(
            router,
            grant.clone(),
            endpoint_request,
            may_reuse,
            Rc::clone(&connected),
        );
        Attempt {
            grant,
            guard,
            sent_at: Instant::now(),
            arrival: Arrival {
                exchange: exchange.boxed_local(),
                checked: None,
                witness,
                connected,
                has_failed: false,
            },
        }
    }

    /// Waits for the head of the response and checks it.
    pub(super) async fn until_response(
        &self,
        grant: &Grant,
        arrival: &mut Arrival,
    ) -> ExchangeResult {
        if let Some(checked) = arrival.checked.take() {
            return Ok(checked);
        }
        let exchange = Witness::observe(&mut arrival.witness, &mut arrival.exchange);
        let sent = tokio::time::timeout_at(self.give_up_at, exchange).await;
        let (response, connection) = sent.map_err(|_| SendFailure::TimedOut)??;
        self.check_response(grant, &response)?;
        Ok((response, connection))
    }

    /// Returns a response of which the head has arrived, or ends the run that produced none.
    pub(super) fn settle_attempt(
        &mut self,
        attempt: Attempt,
        sent: ExchangeResult,
    ) -> Result<StartedResponse, SendFailure> {
        let Attempt {
            grant,
            guard,
            sent_at,
            arrival: Arrival { mut witness, .. },
        } = attempt;
        let (response, connection) = match sent {
            Ok(started) => started,
            Err(failure) => {
                match failure {
                    SendFailure::NotRun(ended, _) | SendFailure::Unknown(ended, _) => {
                        self.open_run = guard.open_run();
                        guard.end(ended);
                    }
                    SendFailure::TimedOut => guard.end(RunOutcome::Cancelled),
                }
                return Err(failure);
            }
        };
        guard.on_bytes();
        let (head, incoming) = response.into_parts();
        if body_delimiter(&head) == Delimiter::Connection {
            witness = witness.or_else(|| self.witness_for_response(&grant, sent_at));
        } else if let Some(unused) = witness.take() {
            unused.release(&self.router, &grant);
        }
        Ok(StartedResponse {
            head,
            incoming,
            connection,
            guard,
            grant,
            witness,
        })
    }

    /// Returns whether the endpoint accepts a connection, which is put into the pool for the
    /// next request.
    pub(super) async fn can_connect(&self, grant: &Grant) -> bool {
        match open(&self.router, grant).await {
            Ok(connection) => {
                let now = self.router.now();
                self.router.connections.put(grant.endpoint, connection, now);
                true
            }
            Err(
                SendError::Refused(reason)
                | SendError::NotSent(reason)
                | SendError::NoAnswer(reason)
                | SendError::Silent(reason),
            ) => {
                log::debug!(
                    "can't connect to endpoint {}: {reason}",
                    grant.endpoint_name
                );
                false
            }
        }
    }

    /// Checks that a response belongs to this request and carries the endpoint's signature.
    fn check_response(
        &self,
        grant: &Grant,
        response: &Response<Incoming>,
    ) -> Result<(), SendFailure> {
        let (status, headers) = (response.status(), response.headers());
        let platform = &self.router.platform;
        let marks = platform.decode_endpoint_response(status, headers, &self.attempt_id);
        let broken =
            |reason: &str| Err(SendFailure::Unknown(RunOutcome::Broken, reason.to_owned()));
        // A late copy of an earlier answer says nothing about this request.
        if !marks.matches_attempt {
            return broken("the response is not known to belong to this request");
        }
        // Another endpoint received the request, because the address was reassigned to it.
        if status == StatusCode::MISDIRECTED_REQUEST {
            let reason = format!("status {status}");
            return Err(SendFailure::NotRun(RunOutcome::Refused, reason));
        }
        if marks.is_leaving {
            self.router.on_endpoint_leaving(grant.endpoint, "answer");
        }
        self.router.on_stated_limit(grant, marks.rate_limit);
        if let Some(pause) = marks.pushback {
            self.router.on_pushback(grant, pause);
        }
        if marks.is_not_run {
            let ended = marks
                .pushback
                .map_or(RunOutcome::Refused, |_| RunOutcome::PushedBack);
            return Err(SendFailure::NotRun(ended, format!("status {status}")));
        }
        if REFUSAL_STATUSES.contains(&status) {
            return broken(
                "the response is a refusal and does not say that the request has not run",
            );
        }
        if !marks.is_signed {
            return broken("the response is not signed");
        }
        if headers.contains_key(CONTENT_ENCODING) {
            return broken(
                "the response has a Content-Encoding header: its bytes were changed in transit",
            );
        }
        Ok(())
    }

    fn endpoint_request(&self, grant: &Grant, resume_after: Option<&str>) -> Request<Full<Bytes>> {
        let mut endpoint_request = Request::new(Full::new(self.body.clone()));
        *endpoint_request.method_mut() = self.head.method.clone();
        let target = self.head.uri.path_and_query().cloned();
        *endpoint_request.uri_mut() = target.map_or_else(hyper::Uri::default, hyper::Uri::from);
        let mut headers = self.head.headers.clone();
        strip_connection_headers(&mut headers);
        let time_left = self
            .deadline_at
            .min(self.spec.give_up_at)
            .since(self.router.now());
        let marks = EndpointRequestHeaders {
            endpoint_name: &grant.endpoint_name,
            team: self.team.as_ref().map(|team| &*team.name),
            deadline: time_left,
            resume_after: resume_after.or(self.marks.resume_after.as_deref()),
        };
        self.router
            .platform
            .set_endpoint_request_headers(&mut headers, &marks);
        *endpoint_request.headers_mut() = headers;
        endpoint_request
    }
}

/// Sends a request on one connection and waits for the head of the response.
async fn exchange(
    router: Rc<Router>,
    grant: Grant,
    endpoint_request: Request<Full<Bytes>>,
    may_reuse: bool,
    connected: Rc<Notify>,
) -> ExchangeResult {
    let unreachable = |error: SendError| match error {
        SendError::Refused(reason) | SendError::NotSent(reason) => {
            SendFailure::NotRun(RunOutcome::Unreachable, reason)
        }
        SendError::NoAnswer(reason) | SendError::Silent(reason) => {
            SendFailure::Unknown(RunOutcome::Broken, reason)
        }
    };
    let idle = may_reuse.then(|| router.connections.take(grant.endpoint, router.now()));
    let mut connection = match idle.flatten() {
        Some(connection) => connection,
        None => open(&router, &grant).await.map_err(unreachable)?,
    };
    connected.notify_one();
    let response = match connection.send(endpoint_request.clone()).await {
        Ok(response) => response,
        // The endpoint closed an idle connection before anything was written.
        Err(SendError::NotSent(_)) => {
            connection = open(&router, &grant).await.map_err(unreachable)?;
            connection
                .send(endpoint_request)
                .await
                .map_err(unreachable)?
        }
        Err(error) => return Err(unreachable(error)),
    };
    Ok((response, connection))
}

async fn open(router: &Router, grant: &Grant) -> Result<Connection, SendError> {
    router.metrics.connections_opened.inc();
    Connection::open_to_endpoint(grant.address).await
}
