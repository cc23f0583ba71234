//! `GET /v1/entry`: the addresses that a caller should connect to, and a key prefix.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;

use daisynotch_core::{Member, RouterId};
use rand::Rng;
use rand::seq::SliceRandom;
use serde::Serialize;
use viz::{Request, Response, Result, StatusCode};

use super::App;
use super::response::json;
use crate::core_task::NodeStatus;

/// The maximum number of addresses in one response.
const ADDRESSES_MAX: usize = 3;

#[derive(Serialize)]
struct EntryResponse {
    addresses: Vec<SocketAddr>,
    keep_ms: u64,
    /// The prefix of idempotency keys that this router owns; callers append `.` and a number.
    key_prefix: String,
}

/// Handles `GET /v1/entry`.
///
/// Routers in this router's availability zone come first, ordered by load; leaving routers
/// are omitted.
pub(super) async fn get_entry(app: Arc<App>, _request: Request) -> Result<Response> {
    let status = app.core.status().await;
    let response = EntryResponse {
        addresses: choose_addresses(&status, app.own(), &mut rand::rng()),
        keep_ms: app.settings.entry_keep_ms,
        key_prefix: app.keys.prefix().to_string(),
    };
    Ok(json(StatusCode::OK, &response))
}

/// Samples a few routers, preferring this router's availability zone, and puts the least
/// loaded first.
///
/// Load reports are up to half a second old: if the least loaded router of the fleet always
/// came first, all callers within that time would connect to it. A router whose load is
/// unknown counts as loaded as this one.
fn choose_addresses(status: &NodeStatus, own: RouterId, rng: &mut impl Rng) -> Vec<SocketAddr> {
    let own = status.members.iter().find(|(router, _)| *router == own);
    let own = own.map(|(_, member)| member);
    let own_load = own.and_then(|member| member.open_requests).unwrap_or(0);
    let is_same_zone = |member: &Member| own.is_some_and(|own| own.zone == member.zone);
    let members = status.members.iter().map(|(_, member)| member);
    let mut chosen: Vec<&Member> = members.filter(|member| !member.leaving).collect();
    chosen.shuffle(rng);
    chosen.sort_by_key(|member| Reverse(is_same_zone(member)));
    chosen.truncate(ADDRESSES_MAX);
    chosen.sort_by_key(|member| {
        let load = member.open_requests.unwrap_or(own_load);
        (Reverse(is_same_zone(member)), load)
    });
    chosen.iter().map(|member| member.caller_address).collect()
}

#[cfg(test)]
mod tests;
