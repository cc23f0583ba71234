//! Chat completions, streamed or whole.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::{Catalogue, Cost, PoolView, ReleaseReason, RequestSpec, RouteView};
use daisynotch_platform::ConnectionUse;
use http_body_util::{BodyExt, Limited};
use hyper::header::{ACCEPT_ENCODING, CONTENT_TYPE};
use serde::Deserialize;
use tokio::time::Instant;
use viz::{Body, Request, Response, Result, StatusCode};

use super::App;
use super::answer::ApiError;
use super::chat::ChatRequest;
use super::inbound::{read_body, strip_own_headers, team_of};
use crate::dispatch::{self, Answer, OpenRequest, Outbound, Usage};
use crate::event_stream::EventStreamWatcher;
use crate::relay::{AnswerKind, GapWindow, RelayBody, RequestLabels};

/// The longest answer that is held before it is passed on whole.
const WHOLE_ANSWER_MAX_BYTES: usize = 32 * 1024 * 1024;

#[derive(Deserialize)]
struct WholeAnswer {
    usage: Option<WholeUsage>,
}

#[derive(Deserialize)]
struct WholeUsage {
    #[serde(default)]
    completion_tokens: u64,
}

/// Answers `POST /v1/chat/completions`.
pub(super) async fn complete(app: Arc<App>, request: Request) -> Result<Response> {
    let arrived_at = Instant::now();
    let answer = try_complete(&app, request, arrived_at).await;
    Ok(answer.unwrap_or_else(|error| error.to_response()))
}

async fn try_complete(
    app: &Arc<App>,
    request: Request,
    arrived_at: Instant,
) -> Result<Response, ApiError> {
    let catalogue = app.core.catalogue();
    let team = team_of(&catalogue, request.headers())?;
    let (mut head, body) = request.into_parts();
    let body = read_body(body, &app.settings.http).await?;
    let chat = ChatRequest::parse(&body)?;
    let (route, pool) = find_route(&catalogue, &chat.model)?;
    let labels = RequestLabels {
        route: route.name.to_string(),
        team: catalogue.teams[&team].name.to_string(),
        arrived_at,
    };
    let estimate = chat.estimate(&body);
    let spec = RequestSpec {
        team,
        pool: route.pool,
        hint: estimate.hint,
        class: estimate.class,
        prefix: estimate.prefix,
        idempotent: true,
    };
    strip_own_headers(&mut head.headers);
    head.headers.remove(ACCEPT_ENCODING);
    let outbound = Outbound {
        head,
        body,
        connection_use: if chat.stream {
            ConnectionUse::PooledWithFallback
        } else {
            ConnectionUse::Pooled
        },
        awaits_first_token: chat.stream,
        refusal_statuses: true,
        first_byte_timeout: pool.first_byte_timeout,
    };
    let answer = run(app, spec, &outbound, chat.stream, pool, labels.clone()).await;
    answer.inspect_err(|error| {
        let labels = [labels.route.as_str(), labels.team.as_str(), error.label()];
        app.metrics.requests.with_label_values(&labels).inc();
    })
}

fn find_route<'a>(
    catalogue: &'a Catalogue,
    model: &str,
) -> Result<(&'a RouteView, &'a PoolView), ApiError> {
    let route = catalogue.route_of_model(model);
    let found = route.and_then(|route| Some((route, catalogue.pools.get(&route.pool)?)));
    found.ok_or_else(|| {
        let message = format!("no route takes the model `{model}`");
        ApiError::not_run(StatusCode::NOT_FOUND, "unknown_model", message)
    })
}

async fn run(
    app: &Arc<App>,
    spec: RequestSpec,
    outbound: &Outbound,
    streamed: bool,
    pool: &PoolView,
    labels: RequestLabels,
) -> Result<Response, ApiError> {
    let admitted = app.core.admit(spec).await?;
    let answer = dispatch::run(&app.core, &app.client, admitted, outbound).await?;
    if !streamed {
        return whole(app, answer, pool.idle_timeout, &labels).await;
    }
    let is_events = answer
        .head
        .headers
        .get(CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    if answer.head.status.is_success() && !is_events {
        let message = "the endpoint did not answer with an event stream";
        return Err(failed(answer.open, message));
    }
    let kind = if is_events {
        AnswerKind::Events(EventStreamWatcher::default())
    } else {
        AnswerKind::Plain
    };
    Ok(relay(app, answer, kind, pool.idle_timeout, labels))
}

/// Passes an answer on while it comes in.
pub(super) fn relay(
    app: &Arc<App>,
    answer: Answer,
    kind: AnswerKind,
    idle_timeout: Duration,
    labels: RequestLabels,
) -> Response {
    let mut head = answer.head;
    let length = head.headers.get(hyper::header::CONTENT_LENGTH).cloned();
    strip_own_headers(&mut head.headers);
    if let Some(length) = length
        && matches!(kind, AnswerKind::Plain)
    {
        head.headers.insert(hyper::header::CONTENT_LENGTH, length);
    }
    let body = RelayBody {
        first: answer.first,
        incoming: answer.incoming,
        open: answer.open,
        kind,
        idle_timeout,
        idle: Box::pin(tokio::time::sleep(idle_timeout)),
        dispatched_at: answer.dispatched_at,
        first_byte_at: None,
        window: GapWindow::start(),
        metrics: Arc::clone(&app.metrics),
        labels,
        failure: None,
        is_done: false,
    };
    Response::from_parts(head, Body::wrap(body))
}

async fn whole(
    app: &Arc<App>,
    answer: Answer,
    idle_timeout: Duration,
    labels: &RequestLabels,
) -> Result<Response, ApiError> {
    let mut head = answer.head;
    let mut open = answer.open;
    let collected = Limited::new(answer.incoming, WHOLE_ANSWER_MAX_BYTES).collect();
    let body = match tokio::time::timeout(idle_timeout, collected).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return Err(failed(open, &format!("the answer broke off: {error}"))),
        Err(_) => return Err(failed(open, "the endpoint was silent for too long")),
    };
    let cost = match whole_cost(&body) {
        Some(cost) => cost,
        None if head.status.is_success() => {
            return Err(failed(open, "the endpoint's answer is no chat completion"));
        }
        None => Cost::default(),
    };
    // The whole answer came at once: when its first token was made is not known.
    open.note(Usage {
        cost,
        first_token_ms: None,
        token_gap_us: None,
    });
    open.finish(ReleaseReason::Done);
    count_whole(app, labels);
    strip_own_headers(&mut head.headers);
    let body = Body::from(http_body_util::Full::from(body));
    Ok(Response::from_parts(head, body))
}

fn whole_cost(body: &Bytes) -> Option<Cost> {
    let answer: WholeAnswer = serde_json::from_slice(body).ok()?;
    Some(Cost(
        answer.usage.map_or(1, |usage| usage.completion_tokens),
    ))
}

fn count_whole(app: &App, labels: &RequestLabels) {
    let names = [labels.route.as_str(), labels.team.as_str()];
    let seconds = labels.arrived_at.elapsed().as_secs_f64();
    app.metrics
        .first_token
        .with_label_values(&names)
        .observe(seconds);
    let names = [names[0], names[1], "done"];
    app.metrics.requests.with_label_values(&names).inc();
}

fn failed(mut open: OpenRequest, message: &str) -> ApiError {
    open.finish(ReleaseReason::Failed);
    ApiError::unknown("endpoint_failed", message)
}
