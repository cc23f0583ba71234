//! `GET /v1/entry`: which addresses a caller should connect to, and its key prefix.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;

use daisynotch_core::{Member, RouterId};
use rand::Rng;
use rand::seq::SliceRandom;
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
        addresses: addresses(&status, app.own(), &mut rand::rng()),
        keep_ms: app.settings.entry_keep_ms,
        key_prefix: app.keys.prefix().to_string(),
    };
    Ok(json(StatusCode::OK, &answer))
}

/// Chooses a few near routers at random and puts the least loaded first.
///
/// Loads are half a second old: were the least loaded of all always first, every
/// caller of that time would go there. A router whose load is not known counts as
/// loaded as this one.
fn addresses(status: &NodeStatus, own: RouterId, rng: &mut impl Rng) -> Vec<SocketAddr> {
    let own = status.members.iter().find(|(router, _)| *router == own);
    let own = own.map(|(_, member)| member);
    let own_load = own.and_then(|member| member.open_requests).unwrap_or(0);
    let is_near = |member: &Member| own.is_some_and(|own| own.zone == member.zone);
    let members = status.members.iter().map(|(_, member)| member);
    let mut chosen: Vec<&Member> = members.filter(|member| !member.leaving).collect();
    chosen.shuffle(rng);
    chosen.sort_by_key(|member| Reverse(is_near(member)));
    chosen.truncate(ADDRESSES_MAX);
    chosen.sort_by_key(|member| {
        let load = member.open_requests.unwrap_or(own_load);
        (Reverse(is_near(member)), load)
    });
    chosen.iter().map(|member| member.caller_address).collect()
}

#[cfg(test)]
mod tests;
