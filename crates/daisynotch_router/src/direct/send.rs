//! Sends a request to one endpoint and checks the head of its answer.

use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::direct::{Grant, RouteKind, RunOutcome};
use daisynotch_platform::ports::OutboundMarks;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_ENCODING;
use hyper::http::response::Parts as AnswerHead;
use hyper::{Request, Response, StatusCode};

use super::answer::strip_connection_headers;
use super::connections::{Connection, SendError};
use super::forward::Call;
use super::state::RunGuard;

/// How often a waiting resumable stream looks whether its endpoint fell silent.
pub(super) const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The silence, in objectives, after which a repeatable plain request is sent elsewhere.
const PLAIN_PATIENCE_OBJECTIVES: f64 = 2.5;

/// How one send went without an answer that can be passed on.
pub(super) enum SendFailure {
    /// The endpoint did not run the request.
    NotRun(RunOutcome, String),
    /// It may have.
    Unknown(RunOutcome, String),
    /// The time was over.
    TimedOut,
    /// The endpoint fell silent and another one may be tried.
    Silent,
}

/// An answer that has begun.
pub(super) struct Begun {
    pub(super) head: AnswerHead,
    pub(super) incoming: Incoming,
    pub(super) connection: Connection,
    pub(super) guard: RunGuard,
    pub(super) grant: Grant,
}

impl Call {
    /// Sends the request under a grant.
    pub(super) async fn send(
        &mut self,
        grant: Grant,
        resume_after: Option<&str>,
    ) -> Result<Begun, SendFailure> {
        let guard = self.router.guard(grant.run);
        let watch = self.patience(&guard, &grant);
        let exchange = self.exchange(&grant, resume_after);
        let sent = tokio::select! {
            sent = tokio::time::timeout_at(self.give_up_at, exchange) => sent,
            () = watch => {
                guard.end(RunOutcome::Broken);
                return if self.take_repeat() {
                    Err(SendFailure::Silent)
                } else {
                    let reason = "silent, and the retry budget is spent".to_owned();
                    Err(SendFailure::Unknown(RunOutcome::Broken, reason))
                };
            }
        };
        let (answer, connection) = match sent {
            Ok(Ok(begun)) => begun,
            Ok(Err(failure)) => {
                let (SendFailure::NotRun(ended, _) | SendFailure::Unknown(ended, _)) = failure
                else {
                    return Err(failure);
                };
                guard.end(ended);
                return Err(failure);
            }
            Err(_) => {
                guard.end(RunOutcome::Cancelled);
                return Err(SendFailure::TimedOut);
            }
        };
        guard.on_bytes();
        let (head, incoming) = answer.into_parts();
        Ok(Begun {
            head,
            incoming,
            connection,
            guard,
            grant,
        })
    }

    /// Ends when a repeatable request should rather be sent elsewhere.
    async fn patience(&self, guard: &RunGuard, grant: &Grant) {
        let may_run_again =
            self.route.kind.may_repeat() && self.history.runs + 1 < self.route.attempts_max;
        match self.route.kind {
            RouteKind::Safe if may_run_again => {
                let patience = self.route.objective.mul_f64(PLAIN_PATIENCE_OBJECTIVES);
                tokio::time::sleep(patience.max(grant.expected * 3)).await;
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

    /// Sends the request on one connection and checks the head of the answer.
    async fn exchange(
        &self,
        grant: &Grant,
        resume_after: Option<&str>,
    ) -> Result<(Response<Incoming>, Connection), SendFailure> {
        let unreachable = |error: SendError| match error {
            SendError::NotSent(reason) => SendFailure::NotRun(RunOutcome::Unreachable, reason),
            SendError::NoAnswer(reason) => SendFailure::Unknown(RunOutcome::Broken, reason),
        };
        let kept = self
            .router
            .connections
            .take(grant.endpoint, self.router.now());
        let mut connection = match kept {
            Some(connection) => connection,
            None => self.open(grant).await.map_err(unreachable)?,
        };
        let answer = match connection.send(self.request(grant, resume_after)).await {
            Ok(answer) => answer,
            // The endpoint closed a kept connection before anything was written.
            Err(SendError::NotSent(_)) => {
                connection = self.open(grant).await.map_err(unreachable)?;
                let request = self.request(grant, resume_after);
                connection.send(request).await.map_err(unreachable)?
            }
            Err(error) => return Err(unreachable(error)),
        };
        self.check(grant, &answer)?;
        Ok((answer, connection))
    }

    /// Says whether an endpoint takes a connection; it is kept for the next request.
    pub(super) async fn reaches(&self, grant: &Grant) -> bool {
        match self.open(grant).await {
            Ok(connection) => {
                let now = self.router.now();
                self.router
                    .connections
                    .keep(grant.endpoint, connection, now);
                true
            }
            Err(SendError::NotSent(reason) | SendError::NoAnswer(reason)) => {
                log::debug!("{} can't be reached: {reason}", grant.endpoint_name);
                false
            }
        }
    }

    async fn open(&self, grant: &Grant) -> Result<Connection, SendError> {
        self.router.metrics.connections_opened.inc();
        Connection::open(grant.address).await
    }

    /// Checks that an answer is this request's and that the endpoint vouches for it.
    fn check(&self, grant: &Grant, answer: &Response<Incoming>) -> Result<(), SendFailure> {
        let (status, headers) = (answer.status(), answer.headers());
        let platform = &self.router.platform;
        let marks = platform.read_answer(status, headers, &self.attempt_id);
        let broken =
            |reason: &str| Err(SendFailure::Unknown(RunOutcome::Broken, reason.to_owned()));
        // One that is misdirected was answered by another endpoint, at an address used again.
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
        if !marks.is_for_attempt {
            return broken("the answer is another request's");
        }
        if !marks.is_signed {
            return broken("the answer is not signed");
        }
        if headers.contains_key(CONTENT_ENCODING) {
            return broken("the answer's bytes were encoded on the way");
        }
        Ok(())
    }

    fn request(&self, grant: &Grant, resume_after: Option<&str>) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        let target = self.head.uri.path_and_query().cloned();
        *request.uri_mut() = target.map_or_else(hyper::Uri::default, hyper::Uri::from);
        let mut headers = self.head.headers.clone();
        strip_connection_headers(&mut headers);
        let left = self
            .deadline_at
            .min(self.spec.give_up_at)
            .since(self.router.now());
        let marks = OutboundMarks {
            endpoint_name: &grant.endpoint_name,
            team: self.team.as_ref().map(|team| &*team.name),
            deadline: left,
            resume_after: resume_after.or(self.marks.resume_after.as_deref()),
        };
        self.router.platform.mark_outbound(&mut headers, &marks);
        *request.headers_mut() = headers;
        request
    }
}
