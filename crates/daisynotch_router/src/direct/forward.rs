//! Takes one request of a caller to an endpoint and its answer back.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::Timestamp;
use daisynotch_core::direct::{
    Grant, RefuseReason, RequestSpec, Route, RouteKind, RouteTable, RunOutcome, TeamEntry, Verdict,
};
use daisynotch_platform::ports::InboundMarks;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts as RequestHead;
use hyper::http::response::Parts as AnswerHead;
use hyper::{Request, Response, StatusCode};
use rand::RngExt;
use serde_json::json;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::answer::{AnswerBody, OwnAnswer, strip_connection_headers};
use super::event_log::Weight;
use super::send::{Begun, SendFailure};
use super::state::Router;
use super::stream_relay;

/// The deadline of a request that states none: the longest that callers use.
const DEADLINE_DEFAULT: Duration = Duration::from_secs(30);
/// Endpoints that may refuse or be unreachable before the caller is told.
const UNRUN_SENDS_MAX: u32 = 3;
/// The longest plain answer that is passed on: it is held in memory, on hosts of 88 MB.
const PLAIN_ANSWER_MAX_BYTES: usize = 1024 * 1024;
/// When a caller comes back after a refusal without a better estimate.
const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(300);
/// The part of the answer's longest length that is expected without a caller's guess.
const ANSWER_LENGTH_PART: f64 = 0.5;

/// One request with all that is known of it.
pub(super) struct Call {
    pub(super) router: Rc<Router>,
    pub(super) route: Arc<Route>,
    pub(super) team: Option<Arc<TeamEntry>>,
    pub(super) marks: InboundMarks,
    pub(super) attempt_id: HeaderValue,
    pub(super) head: RequestHead,
    pub(super) body: Bytes,
    pub(super) spec: RequestSpec,
    pub(super) arrived_at: Instant,
    pub(super) give_up_at: Instant,
    /// When the caller itself gives up, which endpoints are told.
    pub(super) deadline_at: Timestamp,
    pub(super) configuration_version: u64,
    pub(super) history: History,
    /// Whether the line on its end is written.
    has_ended: Cell<bool>,
}

impl Drop for Call {
    /// A request that is dropped before its end is one whose caller's connection closed.
    fn drop(&mut self) {
        if !self.has_ended.get() {
            self.log_end("caller_left", None);
        }
    }
}

/// What happened to a request, for its log line.
#[derive(Debug, Default)]
pub(super) struct History {
    /// Endpoints that may have run it, without one that has it now.
    pub(super) runs: u32,
    /// Whether an endpoint has it and has not begun to answer.
    pub(super) is_at_endpoint: bool,
    /// The age of the oldest digest of another router when the latest decision was made.
    pub(super) digests_age: Option<Duration>,
    /// Endpoints that did not.
    pub(super) unrun_sends: u32,
    pub(super) waited: Duration,
    pub(super) last_endpoint: Option<Arc<str>>,
    pub(super) expected: Duration,
    pub(super) cached_tokens: u32,
    pub(super) tokens_ahead: u64,
    pub(super) answer_start: Option<Duration>,
    /// The longest pause between two pieces of a stream.
    pub(super) pause_max: Duration,
    pub(super) failures: Vec<String>,
    /// What a refusal was decided on: the team's use of its share, and the backlog.
    pub(super) refused_on: Option<(u32, Option<Duration>)>,
}

/// Answers a caller's request; one whose connection was admitted while this router was behind
/// is not refused for that again.
pub(crate) async fn answer(
    router: &Rc<Router>,
    request: Request<Incoming>,
    is_admitted: bool,
) -> Response<AnswerBody> {
    match prepare(router, request, is_admitted).await {
        Ok(call) => forward(call).await,
        Err((answer, fields)) => {
            let labels = ["none", answer.reason];
            router.metrics.requests.with_label_values(&labels).inc();
            let mut fields = fields;
            fields["outcome"] = answer.reason.into();
            fields["status"] = answer.status.as_u16().into();
            router.log.write(Weight::Essential, "request", fields);
            answer.into_response()
        }
    }
}

type Refused = (OwnAnswer, serde_json::Value);

/// Checks a request and reads its body.
async fn prepare(
    router: &Rc<Router>,
    request: Request<Incoming>,
    is_admitted: bool,
) -> Result<Call, Refused> {
    let arrived_at = Instant::now();
    let now = router.now();
    router.arrivals.add(now);
    let (head, body) = request.into_parts();
    let marks = router.platform.read_inbound(&head.headers);
    let (marks, problem) = match marks {
        Ok(marks) => (marks, None),
        Err(error) => (InboundMarks::default(), Some(error.to_string())),
    };
    let id = marks.attempt_id.as_ref();
    let id = id.map(|id| String::from_utf8_lossy(id.as_bytes()).into_owned());
    let version = router.routes().map(|routes| routes.version);
    let refuse = |answer: OwnAnswer| {
        let fields = json!({"id": id, "path": head.uri.path(), "configuration": version});
        (answer, fields)
    };
    let plain = |status, reason| refuse(OwnAnswer::new(status, reason));
    let Some(routes) = router.routes() else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(refuse(OwnAnswer::not_run(
            status,
            "no_configuration",
            RETRY_AFTER_DEFAULT,
        )));
    };
    let draw = rand::rng().random();
    if !is_admitted && router.pressure.borrow().should_shed(draw, now) {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(refuse(OwnAnswer::not_run(
            status,
            "router_behind",
            RETRY_AFTER_DEFAULT,
        )));
    }
    if let Some(problem) = problem {
        let (answer, mut fields) = plain(StatusCode::BAD_REQUEST, "malformed_header");
        fields["problem"] = problem.into();
        return Err((answer, fields));
    }
    let Some(attempt_id) = marks.attempt_id.clone() else {
        return Err(plain(StatusCode::BAD_REQUEST, "no_attempt_id"));
    };
    let route = match find_route(&routes, &head) {
        Ok(route) => route,
        Err((status, reason)) => return Err(plain(status, reason)),
    };
    if !route.anonymous && !router.trusts_keys() {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(refuse(OwnAnswer::not_run(
            status,
            "keys_unconfirmed",
            RETRY_AFTER_DEFAULT,
        )));
    }
    let credential = marks.credential.as_deref();
    let team = credential.and_then(|credential| routes.team_of(credential));
    if team.is_none() && !route.anonymous {
        return Err(plain(StatusCode::UNAUTHORIZED, "unknown_credential"));
    }
    let team = team.filter(|_| !route.anonymous).cloned();
    let Some(service) = route.pick_service(rand::rng().random()) else {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        return Err(refuse(OwnAnswer::not_run(
            status,
            "no_service",
            RETRY_AFTER_DEFAULT,
        )));
    };
    let deadline = marks.deadline.unwrap_or(DEADLINE_DEFAULT);
    let give_up = deadline.min(route.timeout);
    let limits = routes.limits;
    let read = Limited::new(body, limits.body_max_bytes).collect();
    let body = match tokio::time::timeout(give_up.min(limits.idle_timeout), read).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return Err(plain(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large"));
        }
        Ok(Err(_)) => return Err(plain(StatusCode::BAD_REQUEST, "body_unreadable")),
        Err(_) => return Err(plain(StatusCode::REQUEST_TIMEOUT, "body_too_slow")),
    };
    let answer_tokens = marks.answer_hint_tokens.map_or_else(
        || (f64::from(marks.answer_max_tokens) * ANSWER_LENGTH_PART) as u32,
        |hint| hint.min(marks.answer_max_tokens),
    );
    let priority = team.as_ref().and_then(|team| team.priority);
    let spec = RequestSpec {
        service: Arc::clone(service),
        team: team
            .as_ref()
            .map(|team| xxh3_64(team.name.as_bytes()) as u32),
        priority: priority.unwrap_or(route.priority),
        parts: marks.parts.clone(),
        prompt_tokens: marks.prompt_tokens,
        answer_tokens,
        body_bytes: body.len(),
        arrived_at: now,
        objective: route.objective,
        give_up_at: now + give_up,
        tried: smallvec::SmallVec::new(),
    };
    router
        .dispatcher
        .borrow_mut()
        .on_request(&spec, router.now());
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
        configuration_version: routes.version,
        history: History::default(),
        has_ended: Cell::new(false),
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

/// Sends a request until an endpoint answers it or there is no way left.
async fn forward(mut call: Call) -> Response<AnswerBody> {
    let begun = match call.begin(None).await {
        Ok(begun) => begun,
        Err(answer) => {
            call.log_end(answer.reason, answer.status);
            return answer.into_response();
        }
    };
    if call.route.kind.is_stream() && begun.head.status.is_success() {
        return stream_relay::start(call, begun);
    }
    whole(call, begun).await
}

/// Reads a plain answer to its end and passes it on.
async fn whole(mut call: Call, mut begun: Begun) -> Response<AnswerBody> {
    loop {
        let is_error = begun.head.status.is_server_error();
        let read = Limited::new(begun.incoming, PLAIN_ANSWER_MAX_BYTES).collect();
        let failure = match tokio::time::timeout_at(call.give_up_at, read).await {
            Ok(Ok(body)) => {
                let ended = if is_error {
                    RunOutcome::ErrorAnswer
                } else {
                    RunOutcome::Done
                };
                begun.guard.end(ended);
                if begun.connection.is_usable() {
                    let connections = &call.router.connections;
                    let now = call.router.now();
                    connections.keep(begun.grant.endpoint, begun.connection, now);
                }
                let again = is_error && call.may_repeat();
                if !again {
                    let status = begun.head.status;
                    let outcome = if status.is_success() {
                        "done"
                    } else {
                        "endpoint_error"
                    };
                    call.log_end(outcome, status);
                    return pass_on(begun.head, AnswerBody::Whole(Some(body.to_bytes())));
                }
                call.history
                    .failures
                    .push(format!("status {}", begun.head.status));
                None
            }
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                begun.guard.end(RunOutcome::Broken);
                let problem = format!("the answer has over {PLAIN_ANSWER_MAX_BYTES} bytes");
                call.history.failures.push(problem);
                Some(OwnAnswer::new(StatusCode::BAD_GATEWAY, "answer_too_long"))
            }
            Ok(Err(error)) => {
                begun.guard.end(RunOutcome::Broken);
                call.history
                    .failures
                    .push(format!("the answer broke off: {error}"));
                let again = call.may_repeat();
                (!again).then(|| OwnAnswer::new(StatusCode::BAD_GATEWAY, "answer_broke_off"))
            }
            Err(_) => {
                begun.guard.end(RunOutcome::Cancelled);
                Some(OwnAnswer::new(StatusCode::GATEWAY_TIMEOUT, "timed_out"))
            }
        };
        if let Some(answer) = failure {
            call.log_end(answer.reason, answer.status);
            return answer.into_response();
        }
        begun = match call.begin(None).await {
            Ok(begun) => begun,
            Err(answer) => {
                call.log_end(answer.reason, answer.status);
                return answer.into_response();
            }
        };
    }
}

/// Makes the caller's answer out of an endpoint's.
pub(super) fn pass_on(mut head: AnswerHead, body: AnswerBody) -> Response<AnswerBody> {
    strip_connection_headers(&mut head.headers);
    head.version = hyper::Version::HTTP_11;
    head.extensions.clear();
    Response::from_parts(head, body)
}

impl Call {
    /// Finds an endpoint that begins to answer.
    ///
    /// `resume_after` names the last event that the caller has, when a stream that
    /// broke off goes on elsewhere.
    pub(super) async fn begin(&mut self, resume_after: Option<&str>) -> Result<Begun, OwnAnswer> {
        loop {
            let grant = self.wait_for_place().await?;
            self.spec.tried.push(grant.endpoint);
            self.history.last_endpoint = Some(Arc::clone(&grant.endpoint_name));
            self.history.expected = grant.expected;
            self.history.cached_tokens = grant.cached_tokens;
            self.history.tokens_ahead = grant.tokens_ahead;
            let endpoint_name = Arc::clone(&grant.endpoint_name);
            self.history.is_at_endpoint = true;
            let sent = self.send(grant, resume_after).await;
            self.history.is_at_endpoint = false;
            match sent {
                Ok(begun) => {
                    self.history.runs += 1;
                    let taken = self.arrived_at.elapsed();
                    self.history.answer_start.get_or_insert(taken);
                    return Ok(begun);
                }
                Err(SendFailure::NotRun(_, reason)) => {
                    self.history
                        .failures
                        .push(format!("{endpoint_name}: not run: {reason}"));
                    self.history.unrun_sends += 1;
                    let may_send = self.history.unrun_sends < UNRUN_SENDS_MAX && self.take_repeat();
                    if !may_send {
                        return Err(self.not_run("endpoints_refused", RETRY_AFTER_DEFAULT));
                    }
                }
                Err(SendFailure::Unknown(_, reason)) => {
                    self.history
                        .failures
                        .push(format!("{endpoint_name}: {reason}"));
                    self.history.runs += 1;
                    if !self.may_repeat() {
                        return Err(OwnAnswer::new(StatusCode::BAD_GATEWAY, "endpoint_failed"));
                    }
                }
                Err(SendFailure::Silent) => {
                    self.history
                        .failures
                        .push(format!("{endpoint_name}: silent"));
                    self.history.runs += 1;
                }
                Err(SendFailure::TimedOut) => {
                    self.history
                        .failures
                        .push(format!("{endpoint_name}: no answer in time"));
                    self.history.runs += 1;
                    return Err(OwnAnswer::new(StatusCode::GATEWAY_TIMEOUT, "timed_out"));
                }
            }
        }
    }

    /// Says whether the request may run on one more endpoint, and pays for it.
    pub(super) fn may_repeat(&mut self) -> bool {
        self.can_repeat() && self.take_repeat()
    }

    /// Says whether there is an endpoint that the request was not sent to.
    pub(super) fn can_go_elsewhere(&self) -> bool {
        let dispatcher = self.router.dispatcher.borrow();
        self.can_repeat() && dispatcher.has_untried_endpoint(&self.spec)
    }

    fn can_repeat(&self) -> bool {
        self.route.kind.may_repeat()
            && self.history.runs < self.route.attempts_max
            && Instant::now() < self.give_up_at
    }

    pub(super) fn take_repeat(&self) -> bool {
        let now = self.router.now();
        let mut dispatcher = self.router.dispatcher.borrow_mut();
        dispatcher.take_retry(&self.spec.service, now)
    }

    fn not_run(&self, reason: &'static str, after: Duration) -> OwnAnswer {
        if self.history.runs > 0 {
            return OwnAnswer::new(StatusCode::BAD_GATEWAY, reason);
        }
        OwnAnswer::not_run(StatusCode::SERVICE_UNAVAILABLE, reason, after)
    }

    async fn wait_for_place(&mut self) -> Result<Grant, OwnAnswer> {
        let began_at = Instant::now();
        let mut queued = self.router.submit(self.spec.clone());
        let verdict = tokio::time::timeout_at(self.give_up_at, &mut queued.verdict).await;
        let waited = began_at.elapsed();
        self.history.waited += waited;
        let now = self.router.now();
        self.history.digests_age = self.router.hosts.borrow().oldest_load_age(now);
        self.router.metrics.wait.observe(waited.as_secs_f64());
        match verdict {
            Ok(Ok(Verdict::Send(grant))) => Ok(grant),
            Ok(Ok(Verdict::Refuse {
                reason,
                retry_after,
                share_used_percent,
                backlog,
            })) => {
                self.history.refused_on = Some((share_used_percent, backlog));
                let mut answer = self.not_run(reason.as_str(), retry_after);
                if reason == RefuseReason::BeyondShare && self.history.runs == 0 {
                    answer.status = StatusCode::TOO_MANY_REQUESTS;
                }
                Err(answer)
            }
            Ok(Err(_)) => Err(self.not_run("router_ending", RETRY_AFTER_DEFAULT)),
            Err(_) => Err(self.not_run("no_room_in_time", RETRY_AFTER_DEFAULT)),
        }
    }

    /// Writes the line on how the request ended, and counts it.
    ///
    /// The status is what the caller was sent, if it was sent any.
    pub(super) fn log_end(&self, outcome: &str, status: impl Into<Option<StatusCode>>) {
        self.has_ended.set(true);
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
        let weight = if outcome == "done" {
            Weight::Success
        } else {
            Weight::Essential
        };
        let ms = |duration: Duration| (duration.as_secs_f64() * 1e4).round() / 10.0;
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
            "pause_max_ms": ms(history.pause_max),
            "total_ms": ms(self.arrived_at.elapsed()),
            "share_used_percent": history.refused_on.map(|(percent, _)| percent),
            "backlog_ms": history.refused_on.and_then(|(_, backlog)| backlog).map(ms),
            "configuration": self.configuration_version,
        });
        router.log.write(weight, "request", fields);
    }
}
