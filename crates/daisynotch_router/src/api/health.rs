//! Liveness and readiness checks.

use std::sync::Arc;

use daisynotch_core::ConfigurationState;
use serde::Serialize;
use viz::{Request, Response, Result, StatusCode};

use super::App;
use super::response::json;

#[derive(Serialize)]
struct ReadyResponse {
    ready: bool,
    reason: Option<&'static str>,
}

/// Handles `GET /healthz`, which succeeds while the process runs.
pub(super) async fn healthz(_app: Arc<App>, _request: Request) -> Result<Response> {
    Ok(json(StatusCode::OK, &"ok"))
}

/// Handles `GET /readyz`, which succeeds while the router has objects and is not leaving.
pub(super) async fn readyz(app: Arc<App>, _request: Request) -> Result<Response> {
    let status = app.core.status().await;
    let reason = match (status.configuration, status.is_leaving) {
        (ConfigurationState::InForce, false) => None,
        (ConfigurationState::InForce, true) => Some("this router is leaving"),
        (ConfigurationState::Starting, _) => {
            Some("no objects yet: the key-value service has not answered yet")
        }
        (ConfigurationState::NothingPublished, _) => {
            Some("no objects yet: none were ever published; publish some with `daisynotch apply`")
        }
        (ConfigurationState::Fetching, _) => Some("no objects yet: they are being fetched"),
        (ConfigurationState::NoSource, _) => Some(
            "no objects yet: the key-value service does not answer, and no reachable router \
             has any",
        ),
    };
    let ready = reason.is_none();
    let code = if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    Ok(json(code, &ReadyResponse { ready, reason }))
}
