//! Requests to plain HTTP services (pools of kind `plain`), routed by path prefix.

use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::{Cost, IdempotencyKey, KeyError, LengthClass, RequestSpec};
use daisynotch_platform::ConnectionUse;
use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue};
use tokio::time::Instant;
use viz::{Method, Request, Response, Result, StatusCode};

use super::App;
use super::inbound::{authenticate_team, read_body, strip_unforwarded_headers};
use super::inference::relay;
use super::keyed::{self, FORWARDED_HEADER, KEY_HEADER};
use super::response::ApiError;
use crate::delimiter::body_delimiter;
use crate::dispatch::{self, Outbound};
use crate::relay::{RequestLabels, ResponseKind};

/// The expected cost of a request to a plain service, in milliseconds of service time.
const PLAIN_COST_HINT: Cost = Cost(50);

/// A validated call to a plain service.
pub(super) struct PlainCall {
    pub(super) spec: RequestSpec,
    pub(super) outbound: Outbound,
    pub(super) idle_timeout: Duration,
    /// The timeout for forwarding the call to the router that owns its key.
    pub(super) forward_timeout: Duration,
    /// Whether another router forwarded the call.
    pub(super) is_forwarded: bool,
    /// The caller's credential, sent along when the call is forwarded to its key's owner.
    pub(super) authorization: Option<(HeaderName, HeaderValue)>,
    labels: RequestLabels,
}

impl PlainCall {
    /// Counts the call under the given outcome label.
    pub(super) fn count(&self, app: &App, outcome: &str) {
        count(app, &self.labels, outcome);
    }
}

/// Handles every path that the router itself does not serve.
pub(super) async fn forward(app: Arc<App>, request: Request) -> Result<Response> {
    let arrived_at = Instant::now();
    let has_key = request.headers().contains_key(KEY_HEADER) && !is_safe(request.method());
    let response = match prepare(&app, request, arrived_at).await {
        Ok((call, Some(key))) => keyed::handle(&app, call, key).await,
        Ok((call, None)) => run(&app, call).await,
        Err(error) if has_key => Err(error.with_unknown_outcome()),
        Err(error) => Err(error),
    };
    Ok(response.unwrap_or_else(|error| error.to_response()))
}

fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD)
}

/// Validates a request; also returns its idempotency key if it must not run twice.
async fn prepare(
    app: &Arc<App>,
    request: Request,
    arrived_at: Instant,
) -> Result<(PlainCall, Option<IdempotencyKey>), ApiError> {
    let catalogue = app.core.catalogue();
    let team = authenticate_team(&catalogue, request.headers())?;
    let path = request.uri().path();
    let route = catalogue.route_of_path(path);
    let found = route.and_then(|route| Some((route, catalogue.pools.get(&route.pool)?)));
    let (route, pool) = found.ok_or_else(|| {
        let message = format!("no route takes the path `{path}`");
        ApiError::not_run(StatusCode::NOT_FOUND, "unknown_path", message)
    })?;
    let team_view = &catalogue.teams[&team];
    let labels = RequestLabels {
        route: route.name.to_string(),
        team: team_view.name.to_string(),
        arrived_at,
    };
    let idempotent = route.idempotent || is_safe(request.method());
    let key = if idempotent {
        None
    } else {
        parse_key(request.headers())?
    };
    let (mut head, body) = request.into_parts();
    let body = read_body(body, &app.settings.http).await?;
    let spec = RequestSpec {
        team,
        pool: route.pool,
        hint: PLAIN_COST_HINT,
        class: LengthClass::Short,
        prefix: None,
        idempotent,
    };
    let authorization = head.headers.get(AUTHORIZATION).cloned();
    let is_forwarded = head.headers.remove(FORWARDED_HEADER).is_some();
    strip_unforwarded_headers(&mut head.headers);
    let outbound = Outbound {
        head,
        body,
        connection_use: if idempotent {
            ConnectionUse::PooledWithFallback
        } else {
            ConnectionUse::Fresh
        },
        awaits_first_token: false,
        refusal_statuses: false,
        first_byte_timeout: pool.first_byte_timeout,
    };
    let queue_timeout = team_view.limits.queue_timeout;
    let call = PlainCall {
        spec,
        outbound,
        idle_timeout: pool.idle_timeout,
        forward_timeout: queue_timeout + pool.first_byte_timeout + pool.idle_timeout,
        is_forwarded,
        authorization: authorization.map(|value| (AUTHORIZATION, value)),
        labels,
    };
    Ok((call, key))
}

fn parse_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, ApiError> {
    let Some(value) = headers.get(KEY_HEADER) else {
        return Ok(None);
    };
    let key = value.to_str().map_err(|_| KeyError::Malformed);
    let key = key.and_then(str::parse);
    key.map(Some).map_err(|error| {
        let status = StatusCode::BAD_REQUEST;
        ApiError::not_run(status, "malformed_key", error.to_string())
    })
}

fn count(app: &App, labels: &RequestLabels, outcome: &str) {
    let labels = [labels.route.as_str(), labels.team.as_str(), outcome];
    app.metrics.requests.with_label_values(&labels).inc();
}

async fn run(app: &Arc<App>, call: PlainCall) -> Result<Response, ApiError> {
    let response = async {
        let admitted = app.core.admit(call.spec.clone()).await?;
        Ok(dispatch::run(&app.core, &app.client, admitted, &call.outbound).await?)
    };
    let response = response
        .await
        .inspect_err(|error: &ApiError| call.count(app, error.label()))?;
    let kind = ResponseKind::Opaque(body_delimiter(&response.head));
    Ok(relay(app, response, kind, call.idle_timeout, call.labels))
}
