//! HTTP handlers for operators: metrics, blocked prompt parts and evacuated zones.

use hyper::{Method, Response, StatusCode};
use serde::{Deserialize, Serialize};

use super::directory;
use super::event_log::Importance;
use super::response::{LocalResponse, ResponseBody};
use super::state::Router;

/// Path under which operators read blocked parts. One part is unblocked by `DELETE` below it.
const BLOCKED_PARTS_PATH: &str = "/blocked-parts";

/// Path under which operators read evacuated availability zones.
const EVACUATIONS_PATH: &str = "/evacuations";

/// Prompt parts that a router refuses, as operators see them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockedParts {
    /// The parts in hexadecimal. Requests with all of them are refused.
    pub parts: Vec<String>,
    /// The endpoints that crashed under them.
    pub crashed: Vec<String>,
    /// The time since the latest of these crashes, in milliseconds.
    pub age_ms: u32,
    /// The time until requests with the parts are tried again, in milliseconds.
    pub trial_in_ms: u32,
    /// The number of trials that failed since the block began.
    pub failed_trials: u32,
}

pub(crate) fn serve(router: &Router, method: &Method, path: &str) -> Response<ResponseBody> {
    let part = path
        .strip_prefix(BLOCKED_PARTS_PATH)
        .and_then(|rest| rest.strip_prefix('/'));
    match (method, part) {
        (&Method::GET, None) if path == BLOCKED_PARTS_PATH => blocked_parts(router),
        (&Method::GET, None) if path == EVACUATIONS_PATH => to_json(&router.evacuated_zones()),
        (&Method::DELETE, Some(part)) => unblock(router, part),
        _ => directory::metrics(router, path),
    }
}

fn blocked_parts(router: &Router) -> Response<ResponseBody> {
    let blocks = router.dispatcher.borrow().blocked_parts(router.now());
    let blocks = blocks.into_iter().map(|block| BlockedParts {
        parts: block.parts.iter().map(|part| format!("{part:x}")).collect(),
        crashed: block
            .endpoints
            .iter()
            .map(|endpoint| router.endpoint_label(*endpoint))
            .collect(),
        age_ms: block.age_ms,
        trial_in_ms: block.pause_ms.saturating_sub(block.age_ms),
        failed_trials: block.renewals,
    });
    let blocks: Vec<BlockedParts> = blocks.collect();
    to_json(&blocks)
}

fn to_json(value: &impl Serialize) -> Response<ResponseBody> {
    let body = serde_json::to_vec(value).expect("names and numbers can be encoded as JSON");
    directory::with_content_type(body.into(), "application/json")
}

fn unblock(router: &Router, part: &str) -> Response<ResponseBody> {
    let Ok(part) = u32::from_str_radix(part, 16) else {
        return LocalResponse::new(StatusCode::BAD_REQUEST, "part_is_not_hexadecimal")
            .into_response();
    };
    let now = router.now();
    let mut dispatcher = router.dispatcher.borrow_mut();
    let blocks = dispatcher.blocked_parts(now);
    if !blocks.iter().any(|block| block.parts.contains(&part)) {
        return LocalResponse::new(StatusCode::NOT_FOUND, "part_is_not_blocked").into_response();
    }
    dispatcher.lift_block(part, now);
    drop(dispatcher);
    let fields = serde_json::json!({"part": format!("{part:x}")});
    router
        .log
        .write(Importance::Essential, "operator_unblocked", fields);
    router.log_evidence_changes("operator");
    directory::with_content_type("{}".into(), "application/json")
}
