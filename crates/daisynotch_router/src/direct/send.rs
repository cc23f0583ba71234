//! Sends a request to one endpoint and checks the head of the response.

use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::Delimiter;
use daisynotch_core::direct::{Grant, RouteKind, RunOutcome};
use daisynotch_platform::ports::EndpointRequestHeaders;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response::Parts as ResponseHead;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use super::connections::{Connection, SendError};
use super::forward::Call;
use super::response::strip_connection_headers;
use super::state::RunGuard;
use super::witness::Witness;
use crate::delimiter::body_delimiter;

/// Interval at which a waiting resumable stream checks whether its endpoint went silent.
pub(super) const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of an attempt at a request that may be repeated and is not a stream, as a multiple
/// of the route's latency objective.
const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 2.5;
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
    /// The endpoint went silent, and another one may be tried.
    Silent,
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

impl Call {
    /// Sends the request to the endpoint that a grant names.
    pub(super) async fn send(
        &mut self,
        grant: Grant,
        resume_after: Option<&str>,
    ) -> Result<StartedResponse, SendFailure> {
        let guard = self.router.guard_run(grant.run);
        let sent_at = Instant::now();
        let mut witness = self.witness_for_request(&grant);
        let attempt_timeout = self.attempt_timeout(&guard, &grant);
        let exchange = Witness::observe(&mut witness, self.exchange(&grant, resume_after));
        let sent = tokio::select! {
            sent = tokio::time::timeout_at(self.give_up_at, exchange) => sent,
            () = attempt_timeout => {
                guard.end(RunOutcome::Broken);
                return if self.spend_retry_budget() {
                    Err(SendFailure::Silent)
                } else {
                    let reason = "the endpoint went silent and the retry budget is spent".to_owned();
                    Err(SendFailure::Unknown(RunOutcome::Broken, reason))
                };
            }
        };
        let (response, connection) = match sent {
            Ok(Ok(started)) => started,
            Ok(Err(failure)) => {
                let (SendFailure::NotRun(ended, _) | SendFailure::Unknown(ended, _)) = failure
                else {
                    return Err(failure);
                };
                self.open_run = guard.open_run();
                guard.end(ended);
                return Err(failure);
            }
            Err(_) => {
                guard.end(RunOutcome::Cancelled);
                return Err(SendFailure::TimedOut);
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

    /// Completes when the request should be sent to another endpoint instead; never completes
    /// if it may not run again.
    async fn attempt_timeout(&self, guard: &RunGuard, grant: &Grant) {
        let may_run_again =
            self.route.kind.may_repeat() && self.history.runs + 1 < self.route.attempts_max;
        match self.route.kind {
            RouteKind::Safe if may_run_again => {
                let attempt_timeout = self.route.objective.mul_f64(ATTEMPT_TIMEOUT_OBJECTIVES);
                tokio::time::sleep(attempt_timeout.max(grant.expected * 3)).await;
            }
            RouteKind::ResumableStream if may_run_again => loop {
                tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
                if guard.is_lost() {
                    return;
                }
            },
            _ => std::future::pending().await,
        }
    }

    /// Sends the request on one connection and checks the head of the response.
    async fn exchange(
        &self,
        grant: &Grant,
        resume_after: Option<&str>,
    ) -> Result<(Response<Incoming>, Connection), SendFailure> {
        let unreachable = |error: SendError| match error {
            SendError::Refused(reason) | SendError::NotSent(reason) => {
                SendFailure::NotRun(RunOutcome::Unreachable, reason)
            }
            SendError::NoAnswer(reason) => SendFailure::Unknown(RunOutcome::Broken, reason),
        };
        // What failed one run, a late answer or a silent path, may wait on other idle connections.
        let may_reuse = self.history.runs == 0;
        let connections = &self.router.connections;
        let idle = may_reuse.then(|| connections.take(grant.endpoint, self.router.now()));
        let mut connection = match idle.flatten() {
            Some(connection) => connection,
            None => self.open(grant).await.map_err(unreachable)?,
        };
        let response = match connection
            .send(self.endpoint_request(grant, resume_after))
            .await
        {
            Ok(response) => response,
            // The endpoint closed an idle connection before anything was written.
            Err(SendError::NotSent(_)) => {
                connection = self.open(grant).await.map_err(unreachable)?;
                let endpoint_request = self.endpoint_request(grant, resume_after);
                connection
                    .send(endpoint_request)
                    .await
                    .map_err(unreachable)?
            }
            Err(error) => return Err(unreachable(error)),
        };
        self.check_response(grant, &response)?;
        Ok((response, connection))
    }

    /// Returns whether the endpoint accepts a connection, which is put into the pool for the
    /// next request.
    pub(super) async fn can_connect(&self, grant: &Grant) -> bool {
        match self.open(grant).await {
            Ok(connection) => {
                let now = self.router.now();
                self.router.connections.put(grant.endpoint, connection, now);
                true
            }
            Err(
                SendError::Refused(reason)
                | SendError::NotSent(reason)
                | SendError::NoAnswer(reason),
            ) => {
                log::debug!(
                    "can't connect to endpoint {}: {reason}",
                    grant.endpoint_name
                );
                false
            }
        }
    }

    async fn open(&self, grant: &Grant) -> Result<Connection, SendError> {
        self.router.metrics.connections_opened.inc();
        Connection::open(grant.address).await
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
