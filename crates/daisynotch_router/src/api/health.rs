//! What tools ask a router about its health.

use std::sync::Arc;

use daisynotch_core::Revision;
use serde::Serialize;
use viz::{Request, Response, Result, StatusCode};

use super::App;
use super::answer::json;

#[derive(Serialize)]
struct ReadyAnswer {
    ready: bool,
    reason: Option<&'static str>,
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
