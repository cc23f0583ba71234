//! `GET /v1/entry`: which addresses a caller should connect to, and its key prefix.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;

use daisynotch_core::{Member, RouterId};
use serde::Serialize;
use viz::{Request, Response, Result, StatusCode};

use super::App;
use super::answer::json;
use crate::core_task::NodeStatus;

/// The most addresses that are given out at once.
const ADDRESSES_MAX: usize = 3;

#[derive(Serialize)]
struct EntryAnswer {
    addresses: Vec<SocketAddr>,
    keep_ms: u64,
    /// Begins the idempotency keys that this router runs: append `.` and a number.
    key_prefix: String,
}

/// Answers with near routers first, the least loaded of them first; none is leaving.
pub(super) async fn get(app: Arc<App>, _request: Request) -> Result<Response> {
    let status = app.core.status().await;
    let answer = EntryAnswer {
        addresses: addresses(&status, app.own()),
        keep_ms: app.settings.entry_keep_ms,
        key_prefix: app.keys.prefix().to_string(),
    };
    Ok(json(StatusCode::OK, &answer))
}

fn addresses(status: &NodeStatus, own: RouterId) -> Vec<SocketAddr> {
    let own_zone = status.members.iter().find(|(router, _)| *router == own);
    let own_zone = own_zone.map(|(_, member)| member.zone);
    let mut staying: Vec<&(RouterId, Member)> = status
        .members
        .iter()
        .filter(|(_, member)| !member.leaving)
        .collect();
    staying.sort_by_key(|(router, member)| {
        (
            Reverse(Some(member.zone) == own_zone),
            member.open_requests,
            *router,
        )
    });
    let addresses = staying.iter().map(|(_, member)| member.caller_address);
    addresses.take(ADDRESSES_MAX).collect()
}
