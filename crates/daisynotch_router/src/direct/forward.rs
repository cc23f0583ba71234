//! Forwards a caller's request to an endpoint and relays the response.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::Timestamp;
use daisynotch_core::direct::{
    Grant, OpenRun, RefuseReason, RequestSpec, Route, RouteKind, RouteTable, RunOutcome,
    ServiceView, TeamEntry, Verdict,
};
use daisynotch_platform::ports::CallerHeaders;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::request::Parts as RequestHead;
use hyper::http::response::Parts as ResponseHead;
use hyper::{Request, Response, StatusCode};
use rand::RngExt;
use serde_json::json;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::body::{self, ReadBodyError};
use super::event_log::Importance;
use super::full_relay::FullRelayOutcome;
use super::relay_mode::RelayMode;
use super::response::{LocalResponse, ResponseBody, strip_connection_headers};
use super::send::{Attempt, Place, SendFailure, StartedResponse};
use super::state::Router;
use super::{full_relay, stream_relay};

/// Deadline of a request without one: the longest that callers use.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);
/// Number of endpoints that may refuse the request or be unreachable before the caller gets an
/// error.
const UNRUN_SENDS_MAX: u32 = 3;
/// `Retry-After` of a refusal when there is no better estimate.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(300);
/// Status of a request with a prompt part that crashes endpoints. Callers do not repeat a request
/// after it: the same prompt would be refused again.
const CRASHING_PART_STATUS: StatusCode = StatusCode::BAD_REQUEST;
/// Outcome of requests for which a leaving router has no time left.
const ROUTER_ENDING: &str = "router_ending";

/// A caller's request and its state while the router handles it.
pub(super) struct Call {
    pub(super) router: Rc<Router>,
    pub(super) route: Arc<Route>,
    pub(super) team: Option<Arc<TeamEntry>>,
    pub(super) marks: CallerHeaders,
    pub(super) attempt_id: HeaderValue,
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    pub(super) spec: RequestSpec,
    pub(super) arrived_at: Instant,
    pub(super) give_up_at: Instant,
    /// When the caller gives up. Endpoints receive the remaining time as their deadline.
    pub(super) deadline_at: Timestamp,
    /// The configuration that the request arrived under, which holds for it until its end.
    pub(super) routes: Rc<RouteTable>,
    pub(super) history: RequestHistory,
    /// The latest run whose connection broke before its response began.
    pub(super) open_run: Option<OpenRun>,
    /// Whether an endpoint may have run the request; set if it is dropped for lack of time.
    may_have_run: Rc<Cell<bool>>,
    /// Whether the log line on the end of the request was written.
    is_end_logged: Cell<bool>,
}

impl Drop for Call {
    /// Logs the end of a request that is dropped early: the caller's connection closed, or a
    /// leaving router has no time left.
    fn drop(&mut self) {
        if !self.is_end_logged.get() {
            let may_have_run = self.history.runs > 0 || self.history.is_at_endpoint;
            if self.router.last_answers.are_due() {
                self.may_have_run.set(may_have_run);
                self.log_end(ROUTER_ENDING, last_answer(may_have_run).status);
            } else {
                self.log_end("caller_left", None);
            }
        }
    }
}

/// What happened to a request, for its log line.
#[derive(Debug, Default)]
pub(super) struct RequestHistory {
    /// Number of endpoints that may have run the request, not counting the one that has it
    /// now.
    pub(super) runs: u32,
    /// Whether an endpoint has the request and has not begun to respond.
    pub(super) is_at_endpoint: bool,
    /// Age of the oldest digest of another router when the latest dispatch decision was made.
    pub(super) digests_age: Option<Duration>,
    /// Number of sends to endpoints that did not run the request.
    pub(super) unrun_sends: u32,
    pub(super) waited: Duration,
    pub(super) last_endpoint: Option<Arc<str>>,
    pub(super) expected: Duration,
    pub(super) cached_tokens: u32,
    pub(super) tokens_ahead: u64,
    pub(super) answer_start: Option<Duration>,
    /// How the latest response is passed on.
    pub(super) relay_mode: Option<RelayMode>,
    /// The longest pause between two chunks of a stream.
    pub(super) pause_max: Duration,
    /// Number of complete events of a stream that have arrived.
    pub(super) events: u64,
    pub(super) failures: Vec<String>,
    /// What a refusal is based on: the percentage of its share that the team uses, and the
    /// backlog.
    pub(super) refusal_basis: Option<(u32, Option<Duration>)>,
}

impl RequestHistory {
    /// Records that the request is at an endpoint.
    pub(super) fn on_send(&mut self, grant: &Grant) {
        self.last_endpoint = Some(Arc::clone(&grant.endpoint_name));
        self.expected = grant.expected;
        self.cached_tokens = grant.cached_tokens;
        self.tokens_ahead = grant.tokens_ahead;
        self.is_at_endpoint = true;
    }
}

/// Handles a caller's request.
///
/// `is_admitted` is set unless the connection is older than the router's current overload.
/// Requests on admitted connections are not refused for overload again: `ingress::accept` has
/// already decided on the connection.
pub(crate) async fn handle_request(
    router: &Rc<Router>,
    request: Request<Incoming>,
    is_admitted: bool,
) -> Response<ResponseBody> {
    let has_body = !request.body().is_end_stream();
    let prepared = tokio::select! {
        prepared = prepare(router, request, is_admitted) => prepared,
        () = router.last_answers.until_due() => Err((last_answer(false), json!({}))),
    };
    match prepared {
        Ok(call) => {
            let may_have_run = Rc::clone(&call.may_have_run);
            tokio::select! {
                response = forward(call) => response,
                () = router.last_answers.until_due() => {
                    last_answer(may_have_run.get()).into_response()
                }
            }
        }
        Err((response, fields)) => {
            let labels = ["none", response.reason];
            router.metrics.requests.with_label_values(&labels).inc();
            let mut fields = fields;
            fields["outcome"] = response.reason.into();
            fields["status"] = response.status.as_u16().into();
            router.log.write(Importance::Essential, "request", fields);
            let mut response = response.into_response();
            if has_body {
                // The HTTP library closes the connection unless the whole body has arrived.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        }
    }
}

/// Returns the answer to a request for which a leaving router has no time left.
fn last_answer(may_have_run: bool) -> LocalResponse {
    if may_have_run {
        return LocalResponse::new(StatusCode::GATEWAY_TIMEOUT, ROUTER_ENDING);
    }
    let status = StatusCode::SERVICE_UNAVAILABLE;
    LocalResponse::with_retry_after(status, ROUTER_ENDING, RETRY_AFTER_DEFAULT)
}

type Refusal = (LocalResponse, serde_json::Value);

/// Checks a request and reads its body.
async fn prepare(
    router: &Rc<Router>,
    request: Request<Incoming>,
    is_admitted: bool,
) -> Result<Call, Refusal> {
    let arrived_at = Instant::now();
    let now = router.now();
    router.arrivals.add(now);
    let (head, mut body) = request.into_parts();
    let marks = router.platform.decode_caller_headers(&head.headers);
    let (marks, problem) = match marks {
        Ok(marks) => (marks, None),
        Err(error) => (CallerHeaders::default(), Some(error.to_string())),
    };
    let id = marks.attempt_id.as_ref();
    let id = id.map(|id| String::from_utf8_lossy(id.as_bytes()).into_owned());
    let version = router.routes().map(|routes| routes.version);
    let refuse = |response: LocalResponse| {
        let fields = json!({"id": id, "path": head.uri.path(), "configuration": version});
        (response, fields)
    };
    let reject = |status, reason| refuse(LocalResponse::new(status, reason));
    let Some(routes) = router.routes() else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(refuse(LocalResponse::with_retry_after(
            status,
            "no_configuration",
            RETRY_AFTER_DEFAULT,
        )));
    };
    let draw = rand::rng().random();
    if !is_admitted && router.pressure.borrow().should_shed(draw, now) {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(refuse(LocalResponse::with_retry_after(
            status,
            "router_behind",
            RETRY_AFTER_DEFAULT,
        )));
    }
    if let Some(problem) = problem {
        let (response, mut fields) = reject(StatusCode::BAD_REQUEST, "malformed_header");
        fields["problem"] = problem.into();
        return Err((response, fields));
    }
    let Some(attempt_id) = marks.attempt_id.clone() else {
        return Err(reject(StatusCode::BAD_REQUEST, "no_attempt_id"));
    };
    let route = match find_route(&routes, &head) {
        Ok(route) => route,
        Err((status, reason)) => return Err(reject(status, reason)),
    };
    if !route.anonymous && !router.trusts_keys() {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(refuse(LocalResponse::with_retry_after(
            status,
            "keys_unconfirmed",
            RETRY_AFTER_DEFAULT,
        )));
    }
    let credential = marks.credential.as_deref();
    let team = credential.and_then(|credential| routes.team_of(credential));
    if team.is_none() && !route.anonymous {
        return Err(reject(StatusCode::UNAUTHORIZED, "unknown_credential"));
    }
    let team = team.filter(|_| !route.anonymous).cloned();
    let Some(service) = route.pick_service(rand::rng().random()) else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(refuse(LocalResponse::with_retry_after(
            status,
            "no_service",
            RETRY_AFTER_DEFAULT,
        )));
    };
    let deadline = marks.deadline.unwrap_or(DEADLINE_DEFAULT);
    let give_up = deadline.min(route.timeout);
    let limits = routes.limits;
    let memory = &router.request_memory;
    let read = body::read(&mut body, limits.body_max_bytes, memory, || false);
    let body = match tokio::time::timeout(give_up.min(limits.idle_timeout), read).await {
        Ok(Ok(body)) => body.into_bytes(),
        Ok(Err(ReadBodyError::TooLong(_))) => {
            return Err(reject(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
        }
        Ok(Err(ReadBodyError::NoMemory(_))) => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Err(refuse(LocalResponse::with_retry_after(
                status,
                "no_body_memory",
                RETRY_AFTER_DEFAULT,
            )));
        }
        Ok(Err(ReadBodyError::Broken(_))) => {
            return Err(reject(StatusCode::BAD_REQUEST, "body_unreadable"));
        }
        Err(_) => return Err(reject(StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
    };
    let priority = team.as_ref().and_then(|team| team.priority);
    let mut spec = RequestSpec {
        service: Arc::clone(service),
        route: Arc::clone(&route.name),
        team: team
            .as_ref()
            .map(|team| xxh3_64(team.name.as_bytes()) as u32),
        priority: priority.unwrap_or(route.priority),
        parts: marks.parts.clone(),
        prompt_tokens: marks.prompt_tokens,
        answer_hint_tokens: marks.answer_hint_tokens,
        answer_max_tokens: marks.answer_max_tokens,
        answer_tokens: 0,
        answer_upper_tokens: 0,
        answer_events: 0,
        body_bytes: body.len(),
        arrived_at: now,
        objective: route.objective,
        give_up_at: now + give_up,
        tried: smallvec::SmallVec::new(),
    };
    let mut dispatcher = router.dispatcher.borrow_mut();
    dispatcher.estimate_answer(&mut spec, now);
    dispatcher.on_request(&spec, router.now());
    drop(dispatcher);
    Ok(Call {
        router: Rc::clone(router),
        route,
        team,
        marks,
        attempt_id,
        head,
        body,
        spec,
        arrived_at,
        give_up_at: arrived_at + give_up,
        deadline_at: now + deadline,
        routes,
        history: RequestHistory::default(),
        open_run: None,
        may_have_run: Rc::default(),
        is_end_logged: Cell::new(false),
    })
}

fn find_route(
    routes: &RouteTable,
    head: &RequestHead,
) -> Result<Arc<Route>, (StatusCode, &'static str)> {
    let mut hosts = head.headers.get_all(HOST).iter();
    let host = hosts.next().and_then(|host| host.to_str().ok());
    let (Some(host), None) = (host, hosts.next()) else {
        return Err((StatusCode::BAD_REQUEST, "host_header"));
    };
    let route = routes.find_route(host, head.uri.path());
    route.cloned().ok_or((StatusCode::NOT_FOUND, "no_route"))
}

/// Sends a request to endpoints until one responds or no retry is left.
async fn forward(mut call: Call) -> Response<ResponseBody> {
    loop {
        let started = match call.start_response(None).await {
            Ok(started) => started,
            Err(response) => {
                call.log_end(response.reason, response.status);
                return response.into_response();
            }
        };
        // Decided for every response: an error may be followed by a stream.
        let mode = RelayMode::of(call.route.kind, started.head.status);
        call.history.relay_mode = Some(mode);
        match mode {
            RelayMode::Stream => return stream_relay::start(call, started),
            RelayMode::Full => match full_relay::relay(&mut call, started).await {
                FullRelayOutcome::Response(response) => return response,
                FullRelayOutcome::Retry => {}
            },
        }
    }
}

/// Converts the response of an endpoint to the response to the caller.
pub(super) fn to_caller_response(
    mut head: ResponseHead,
    body: ResponseBody,
) -> Response<ResponseBody> {
    strip_connection_headers(&mut head.headers);
    head.version = hyper::Version::HTTP_11;
    head.extensions.clear();
    Response::from_parts(head, body)
}

impl Call {
    /// Returns the service that the request is for.
    pub(super) fn service(&self) -> Option<&Arc<ServiceView>> {
        self.routes.service(&self.spec.service)
    }

    /// Sends the request to endpoints until one starts to respond.
    ///
    /// `resume_after` is the id of the last event that the caller has received, when a
    /// truncated stream continues on another endpoint.
    pub(super) async fn start_response(
        &mut self,
        resume_after: Option<&str>,
    ) -> Result<StartedResponse, LocalResponse> {
        self.continue_response(None, resume_after).await
    }

    /// Like [`Self::start_response`], but another endpoint may already have the request.
    pub(super) async fn continue_response(
        &mut self,
        mut moved: Option<Attempt>,
        resume_after: Option<&str>,
    ) -> Result<StartedResponse, LocalResponse> {
        loop {
            let attempt = match moved.take() {
                Some(attempt) => attempt,
                None => {
                    let place = self.wait_for_place().await?;
                    self.start_attempt(place, resume_after)
                }
            };
            let (grant, sent) = self.finish_attempt(attempt, resume_after).await;
            let endpoint_name = Arc::clone(&grant.endpoint_name);
            match sent {
                Ok(started) => {
                    self.history.runs += 1;
                    let elapsed = self.arrived_at.elapsed();
                    self.history.answer_start.get_or_insert(elapsed);
                    return Ok(started);
                }
                Err(SendFailure::NotRun(ended, reason)) => {
                    if ended == RunOutcome::Unreachable {
                        self.check_refusing_endpoint(&grant);
                    }
                    self.history
                        .failures
                        .push(format!("{endpoint_name}: not run: {reason}"));
                    self.history.unrun_sends += 1;
                    let may_send =
                        self.history.unrun_sends < UNRUN_SENDS_MAX && self.spend_retry_budget();
                    if !may_send {
                        return Err(self.unavailable("endpoints_refused", RETRY_AFTER_DEFAULT));
                    }
                }
                Err(SendFailure::Unknown(_, reason)) => {
                    self.history
                        .failures
                        .push(format!("{endpoint_name}: {reason}"));
                    self.history.runs += 1;
                    let open_run = self.open_run.take();
                    if !self.may_go_elsewhere(&grant, open_run).await || !self.take_retry() {
                        return Err(LocalResponse::new(
                            StatusCode::BAD_GATEWAY,
                            "endpoint_failed",
                        ));
                    }
                }
                Err(SendFailure::TimedOut) => {
                    self.history
                        .failures
                        .push(format!("{endpoint_name}: no answer in time"));
                    self.history.runs += 1;
                    return Err(LocalResponse::new(StatusCode::GATEWAY_TIMEOUT, "timed_out"));
                }
            }
        }
    }

    /// Returns whether the request may run on one more endpoint, and takes a retry from the
    /// budget.
    pub(super) fn take_retry(&mut self) -> bool {
        self.can_retry() && self.spend_retry_budget()
    }

    /// Returns whether the request may be retried on an endpoint that it was not sent to.
    pub(super) fn has_another_endpoint(&self) -> bool {
        let dispatcher = self.router.dispatcher.borrow();
        self.can_retry() && dispatcher.has_untried_endpoint(&self.spec)
    }

    fn can_retry(&self) -> bool {
        self.route.kind.may_repeat()
            && self.history.runs < self.route.attempts_max
            && Instant::now() < self.give_up_at
    }

    pub(super) fn spend_retry_budget(&self) -> bool {
        let now = self.router.now();
        let mut dispatcher = self.router.dispatcher.borrow_mut();
        dispatcher.take_retry(&self.spec.service, now)
    }

    fn unavailable(&self, reason: &'static str, after: Duration) -> LocalResponse {
        if self.history.runs > 0 {
            return LocalResponse::new(StatusCode::BAD_GATEWAY, reason);
        }
        LocalResponse::with_retry_after(StatusCode::SERVICE_UNAVAILABLE, reason, after)
    }

    async fn wait_for_place(&mut self) -> Result<Place, LocalResponse> {
        let began_at = Instant::now();
        let mut queued = self.router.submit(self.spec.clone());
        let verdict = tokio::time::timeout_at(self.give_up_at, &mut queued.verdict).await;
        let waited = began_at.elapsed();
        self.history.waited += waited;
        let now = self.router.now();
        self.history.digests_age = self.router.hosts.borrow().oldest_load_age(now);
        self.router.metrics.wait.observe(waited.as_secs_f64());
        match verdict {
            Ok(Ok(Verdict::Send(grant))) => Ok(Place {
                guard: self.router.guard_run(grant.run),
                grant,
            }),
            Ok(Ok(Verdict::Refuse {
                reason,
                retry_after,
                share_used_percent,
                backlog,
            })) => {
                self.history.refusal_basis = Some((share_used_percent, backlog));
                let mut response = self.unavailable(reason.as_str(), retry_after);
                if self.history.runs == 0 {
                    match reason {
                        RefuseReason::BeyondShare => {
                            response.status = StatusCode::TOO_MANY_REQUESTS;
                        }
                        RefuseReason::CrashingPart => {
                            response = LocalResponse::new(CRASHING_PART_STATUS, reason.as_str());
                        }
                        _ => {}
                    }
                }
                Err(response)
            }
            Ok(Err(_)) => Err(self.unavailable(ROUTER_ENDING, RETRY_AFTER_DEFAULT)),
            Err(_) => Err(self.unavailable("no_room_in_time", RETRY_AFTER_DEFAULT)),
        }
    }

    /// Logs how the request ended, and counts it.
    ///
    /// `status` is the status that was sent to the caller, if any.
    pub(super) fn log_end(&self, outcome: &str, status: impl Into<Option<StatusCode>>) {
        self.is_end_logged.set(true);
        let kind = match self.route.kind {
            RouteKind::Safe => "safe",
            RouteKind::Once => "once",
            RouteKind::Stream => "stream",
            RouteKind::ResumableStream => "resumable_stream",
        };
        let router = &self.router;
        router
            .metrics
            .requests
            .with_label_values(&[kind, outcome])
            .inc();
        let history = &self.history;
        if let Some(start) = history.answer_start {
            let starts = &router.metrics.answer_start;
            starts
                .with_label_values(&[kind])
                .observe(start.as_secs_f64());
        }
        if outcome == "done" && history.events > 0 && self.spec.answer_events > 0 {
            let ratio = history.events as f64 / f64::from(self.spec.answer_events);
            router.metrics.answer_length_ratio.observe(ratio);
        }
        let importance = if outcome == "done" {
            Importance::Success
        } else {
            Importance::Essential
        };
        let ms = |duration: Duration| (duration.as_secs_f64() * 1e4).round() / 10.0;
        // Only failures are compared by the parts of their prompts.
        let parts = (!history.failures.is_empty()).then(|| {
            let parts = self.spec.parts.iter();
            parts
                .map(|part| format!("{:x}", part.id))
                .collect::<Vec<_>>()
        });
        let fields = json!({
            "id": String::from_utf8_lossy(self.attempt_id.as_bytes()),
            "outcome": outcome,
            "status": status.into().map(|status| status.as_u16()),
            "route": &*self.route.name,
            "service": &*self.spec.service,
            "team": self.team.as_ref().map(|team| &*team.name),
            "prompt_tokens": self.spec.prompt_tokens,
            "cached_tokens": history.cached_tokens,
            "tokens_ahead": history.tokens_ahead,
            "digests_age_ms": history.digests_age.map(ms),
            "endpoint": history.last_endpoint.as_deref(),
            "runs": history.runs + u32::from(history.is_at_endpoint),
            "unrun_sends": history.unrun_sends,
            "failures": history.failures,
            "waited_ms": ms(history.waited),
            "expected_ms": ms(history.expected),
            "answer_start_ms": history.answer_start.map(ms),
            "relay": history.relay_mode.map(RelayMode::as_str),
            "pause_max_ms": ms(history.pause_max),
            "events": history.events,
            "expected_events": self.spec.answer_events,
            "parts": parts,
            "total_ms": ms(self.arrived_at.elapsed()),
            "share_used_percent": history.refusal_basis.map(|(percent, _)| percent),
            "backlog_ms": history.refusal_basis.and_then(|(_, backlog)| backlog).map(ms),
            "configuration": self.routes.version,
        });
        router.log.write(importance, "request", fields);
    }
}
