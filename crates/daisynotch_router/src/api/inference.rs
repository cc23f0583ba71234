//! Chat completion requests, with streamed or complete (buffered) responses.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::{
    BodyContent, Catalogue, Cost, EndVerdict, PoolView, ReleaseReason, RequestSpec, RouteView,
};
use daisynotch_platform::ConnectionUse;
use http_body_util::{BodyExt, Limited};
use hyper::header::{ACCEPT_ENCODING, CONTENT_TYPE};
use serde::Deserialize;
use tokio::time::Instant;
use viz::{Body, Request, Response, Result, StatusCode};

use super::App;
use super::chat::ChatRequest;
use super::inbound::{authenticate_team, read_body, strip_unforwarded_headers};
use super::response::ApiError;
use crate::delimiter::body_delimiter;
use crate::dispatch::{self, EndpointResponse, OpenRequest, Outbound, Usage};
use crate::event_stream::EventStreamWatcher;
use crate::relay::{RelayBody, RequestLabels, ResponseKind, TokenGapWindow};

/// The longest response that is buffered when the caller did not ask for a stream.
const BUFFERED_RESPONSE_MAX_BYTES: usize = 32 * 1024 * 1024;

#[derive(Deserialize)]
struct CompletionResponse {
    usage: Option<CompletionUsage>,
}

#[derive(Deserialize)]
struct CompletionUsage {
    #[serde(default)]
    completion_tokens: u64,
}

/// Handles `POST /v1/chat/completions`.
pub(super) async fn complete(app: Arc<App>, request: Request) -> Result<Response> {
    let arrived_at = Instant::now();
    let response = try_complete(&app, request, arrived_at).await;
    Ok(response.unwrap_or_else(|error| error.to_response()))
}

async fn try_complete(
    app: &Arc<App>,
    request: Request,
    arrived_at: Instant,
) -> Result<Response, ApiError> {
    let catalogue = app.core.catalogue();
    let team = authenticate_team(&catalogue, request.headers())?;
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
    strip_unforwarded_headers(&mut head.headers);
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
    let response = run(app, spec, &outbound, chat.stream, pool, labels.clone()).await;
    response.inspect_err(|error| {
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
    let response = dispatch::run(&app.core, &app.client, admitted, outbound).await?;
    if !streamed {
        return respond_buffered(app, response, pool.idle_timeout, &labels).await;
    }
    let is_event_stream = response
        .head
        .headers
        .get(CONTENT_TYPE)
        .is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
    if response.head.status.is_success() && !is_event_stream {
        let message = "the endpoint did not answer with an event stream";
        return Err(fail(response.open_request, message));
    }
    let kind = if is_event_stream {
        ResponseKind::EventStream(EventStreamWatcher::default())
    } else {
        ResponseKind::Opaque(body_delimiter(&response.head))
    };
    Ok(relay(app, response, kind, pool.idle_timeout, labels))
}

/// Streams an endpoint's response to the caller as it arrives.
pub(super) fn relay(
    app: &Arc<App>,
    response: EndpointResponse,
    kind: ResponseKind,
    idle_timeout: Duration,
    labels: RequestLabels,
) -> Response {
    let mut head = response.head;
    let length = head.headers.get(hyper::header::CONTENT_LENGTH).cloned();
    strip_unforwarded_headers(&mut head.headers);
    if let Some(length) = length
        && matches!(kind, ResponseKind::Opaque(_))
    {
        head.headers.insert(hyper::header::CONTENT_LENGTH, length);
    }
    let body = RelayBody {
        first_bytes: response.first_bytes,
        incoming: response.incoming,
        open_request: response.open_request,
        kind,
        idle_timeout,
        idle_timer: Box::pin(tokio::time::sleep(idle_timeout)),
        dispatched_at: response.dispatched_at,
        first_byte_at: None,
        gap_window: TokenGapWindow::start(),
        metrics: Arc::clone(&app.metrics),
        labels,
        failure: None,
        is_done: false,
    };
    Response::from_parts(head, Body::wrap(body))
}

async fn respond_buffered(
    app: &Arc<App>,
    response: EndpointResponse,
    idle_timeout: Duration,
    labels: &RequestLabels,
) -> Result<Response, ApiError> {
    let mut head = response.head;
    let mut request = response.open_request;
    let collected = Limited::new(response.incoming, BUFFERED_RESPONSE_MAX_BYTES).collect();
    let body = match tokio::time::timeout(idle_timeout, collected).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return Err(fail(request, &format!("the answer broke off: {error}"))),
        Err(_) => return Err(fail(request, "the endpoint was silent for too long")),
    };
    let cost = match completion_cost(&body) {
        // A completion is one JSON object, so it does not end early.
        Some(cost) => cost,
        None if head.status.is_success() => {
            return Err(fail(request, "the endpoint's answer is no chat completion"));
        }
        None => {
            let delimiter = body_delimiter(&head);
            let judged = EndVerdict::judge(delimiter, BodyContent::Opaque, None).into_result();
            if let Err(reason) = judged {
                return Err(fail(request, &format!("the answer was cut: {reason}")));
            }
            Cost::default()
        }
    };
    // The response arrived in one piece, so the time of its first token is unknown.
    request.record_usage(Usage {
        cost,
        first_token_ms: None,
        token_gap_us: None,
    });
    request.finish(ReleaseReason::Done);
    count_buffered(app, labels);
    strip_unforwarded_headers(&mut head.headers);
    let body = Body::from(http_body_util::Full::from(body));
    Ok(Response::from_parts(head, body))
}

fn completion_cost(body: &Bytes) -> Option<Cost> {
    let response: CompletionResponse = serde_json::from_slice(body).ok()?;
    Some(Cost(
        response.usage.map_or(1, |usage| usage.completion_tokens),
    ))
}

fn count_buffered(app: &App, labels: &RequestLabels) {
    let names = [labels.route.as_str(), labels.team.as_str()];
    let seconds = labels.arrived_at.elapsed().as_secs_f64();
    app.metrics
        .first_token
        .with_label_values(&names)
        .observe(seconds);
    let names = [names[0], names[1], "done"];
    app.metrics.requests.with_label_values(&names).inc();
}

fn fail(mut request: OpenRequest, message: &str) -> ApiError {
    request.finish(ReleaseReason::Failed);
    ApiError::unknown("endpoint_failed", message)
}
