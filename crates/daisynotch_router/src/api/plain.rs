//! Requests to plain services, by path prefix.

use std::sync::Arc;

use daisynotch_core::{Cost, LengthClass, RequestSpec};
use tokio::time::Instant;
use viz::{Method, Request, Response, Result, StatusCode};

use super::App;
use super::answer::ApiError;
use super::inbound::{read_body, strip_own_headers, team_of};
use super::inference::relay;
use crate::dispatch::{self, Outbound};
use crate::relay::{AnswerKind, RequestLabels};

/// What a plain request is expected to cost: a millisecond is a unit.
const PLAIN_HINT: Cost = Cost(50);

/// Answers every path that is not the router's own.
pub(super) async fn forward(app: Arc<App>, request: Request) -> Result<Response> {
    let arrived_at = Instant::now();
    let answer = try_forward(&app, request, arrived_at).await;
    Ok(answer.unwrap_or_else(|error| error.to_response()))
}

async fn try_forward(
    app: &Arc<App>,
    request: Request,
    arrived_at: Instant,
) -> Result<Response, ApiError> {
    let catalogue = app.core.catalogue();
    let team = team_of(&catalogue, request.headers())?;
    let path = request.uri().path();
    let route = catalogue.route_of_path(path);
    let found = route.and_then(|route| Some((route, catalogue.pools.get(&route.pool)?)));
    let (route, pool) = found.ok_or_else(|| {
        let message = format!("no route takes the path `{path}`");
        ApiError::not_run(StatusCode::NOT_FOUND, "unknown_path", message)
    })?;
    let labels = RequestLabels {
        route: route.name.to_string(),
        team: catalogue.teams[&team].name.to_string(),
        arrived_at,
    };
    let is_safe = matches!(*request.method(), Method::GET | Method::HEAD);
    let idempotent = route.idempotent || is_safe;
    let (mut head, body) = request.into_parts();
    let body = read_body(body, &app.settings.http).await?;
    let spec = RequestSpec {
        team,
        pool: route.pool,
        hint: PLAIN_HINT,
        class: LengthClass::Short,
        prefix: None,
        idempotent,
    };
    strip_own_headers(&mut head.headers);
    let outbound = Outbound {
        head,
        body,
        idempotent,
        refusal_statuses: false,
        first_byte_timeout: pool.first_byte_timeout,
    };
    let answer = async {
        let admitted = app.core.admit(spec).await?;
        Ok(dispatch::run(&app.core, &app.client, admitted, &outbound).await?)
    };
    let (open, response) = answer.await.inspect_err(|error: &ApiError| {
        let labels = [labels.route.as_str(), labels.team.as_str(), error.label()];
        app.metrics.requests.with_label_values(&labels).inc();
    })?;
    let dispatched_at = Instant::now();
    Ok(relay(
        app,
        open,
        response,
        AnswerKind::Plain,
        pool,
        dispatched_at,
        labels,
    ))
}
