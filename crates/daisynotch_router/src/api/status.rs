//! What operators and their tools ask a router: health, metrics, state.

use std::sync::Arc;

use daisynotch_core::Revision;
use serde::Serialize;
use viz::header::{CONTENT_TYPE, HeaderValue};
use viz::{Body, Request, Response, Result, StatusCode};

use super::App;
use super::answer::json;

#[derive(Serialize)]
struct StatusAnswer {
    router: String,
    zone: String,
    revision: Revision,
    leaving: bool,
    open_requests: usize,
    routers: Vec<RouterStatus>,
    shards: Vec<ShardAnswer>,
}

#[derive(Serialize)]
struct RouterStatus {
    caller_address: String,
    revision: Revision,
    leaving: bool,
    /// Known of the routers that this one exchanges heartbeats with.
    open_requests: Option<u32>,
}

#[derive(Serialize)]
struct ShardAnswer {
    pool: String,
    waiting: usize,
    granted: usize,
}

#[derive(Serialize)]
struct ReadyAnswer {
    ready: bool,
    reason: Option<&'static str>,
}

/// Answers `GET /v1/status`.
pub(super) async fn status(app: Arc<App>, _request: Request) -> Result<Response> {
    let status = app.core.status().await;
    let catalogue = app.core.catalogue();
    let routers = status.members.iter().map(|(_, member)| RouterStatus {
        caller_address: member.caller_address.to_string(),
        revision: member.revision,
        leaving: member.leaving,
        open_requests: member.open_requests,
    });
    let shards = status.shards.iter().map(|shard| ShardAnswer {
        pool: catalogue.pools.get(&shard.shard.pool).map_or_else(
            || shard.shard.pool.to_string(),
            |pool| pool.name.to_string(),
        ),
        waiting: shard.waiting,
        granted: shard.granted,
    });
    let answer = StatusAnswer {
        router: app.own_name().to_string(),
        zone: app.settings.zone.to_string(),
        revision: catalogue.revision,
        leaving: status.is_leaving,
        open_requests: status.open_requests,
        routers: routers.collect(),
        shards: shards.collect(),
    };
    Ok(json(StatusCode::OK, &answer))
}

/// Answers `GET /metrics`.
pub(super) async fn metrics(app: Arc<App>, _request: Request) -> Result<Response> {
    let text = app
        .metrics
        .to_text()
        .expect("registered metrics can be written");
    let mut response = Response::new(Body::from(http_body_util::Full::from(text)));
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    Ok(response)
}

/// Answers `GET /healthz`: the process runs.
pub(super) async fn healthz(_app: Arc<App>, _request: Request) -> Result<Response> {
    Ok(json(StatusCode::OK, &"ok"))
}

/// Answers `GET /readyz`: the router has objects and is not leaving.
pub(super) async fn readyz(app: Arc<App>, _request: Request) -> Result<Response> {
    let status = app.core.status().await;
    let has_objects = app.core.catalogue().revision > Revision::default();
    let reason = match (has_objects, status.is_leaving) {
        (false, _) => Some("no objects yet: neither the key-value service nor a peer gave any"),
        (true, true) => Some("this router is leaving"),
        (true, false) => None,
    };
    let ready = reason.is_none();
    let code = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    Ok(json(code, &ReadyAnswer { ready, reason }))
}
