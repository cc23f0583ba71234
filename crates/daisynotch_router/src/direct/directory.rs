//! HTTP handlers for the directory, readiness checks and metrics.

use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::direct::HostPhase;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Response, StatusCode};
use serde_json::json;

use super::event_log::Importance;
use super::response::{LocalResponse, ResponseBody};
use super::state::Router;

/// Maximum number of addresses in one response, set by the platform's interface.
const ADDRESSES_MAX: usize = 64;
/// How long callers cache a directory response: short, since the address of a host that died
/// is in use until then.
const ADDRESS_TTL: Duration = Duration::from_secs(1);
/// How long a starting router that knows few other routers returns no addresses: it would send
/// most callers to itself.
const DISCOVERY_DURATION: Duration = Duration::from_millis(1_000);
/// Number of other known routers from which a starting router returns addresses earlier.
const DISCOVERED_ROUTERS_MIN: usize = 3;
/// Path under which operators read metrics.
const METRICS_PATH: &str = "/metrics";

/// Returns the addresses of the routers that callers should connect to.
pub(crate) fn directory(router: &Router, path: &str) -> Response<ResponseBody> {
    if !router.platform.is_directory_path(path) {
        return LocalResponse::new(StatusCode::NOT_FOUND, "unknown_path").into_response();
    }
    let is_fleet_known = router.hosts.borrow().known_len() >= DISCOVERED_ROUTERS_MIN;
    if !is_fleet_known && router.uptime() < DISCOVERY_DURATION {
        let after = DISCOVERY_DURATION - router.uptime();
        let response = LocalResponse::with_retry_after(
            StatusCode::SERVICE_UNAVAILABLE,
            "fleet_unknown",
            after,
        );
        return response.into_response();
    }
    let own = router.introduction.borrow().clone();
    let addresses = router
        .hosts
        .borrow()
        .caller_addresses(&own, router.now(), ADDRESSES_MAX);
    if addresses.is_empty() {
        let after = Duration::from_millis(300);
        let response =
            LocalResponse::with_retry_after(StatusCode::SERVICE_UNAVAILABLE, "no_router", after);
        return response.into_response();
    }
    router.log_directory_addresses(&addresses);
    let ttl_max = Duration::from_secs_f64(router.settings.borrow().address_ttl_max_s);
    let body = router
        .platform
        .encode_directory(&addresses, ADDRESS_TTL.min(ttl_max));
    with_content_type(body, "application/json")
}

/// Returns whether callers should be sent to this router.
pub(crate) fn readiness(router: &Router, path: &str) -> Response<ResponseBody> {
    if !router.platform.is_readiness_path(path) {
        return LocalResponse::new(StatusCode::NOT_FOUND, "unknown_path").into_response();
    }
    match router.phase() {
        HostPhase::Serving => with_content_type(Bytes::from_static(b"{}"), "application/json"),
        HostPhase::Starting => {
            LocalResponse::new(StatusCode::SERVICE_UNAVAILABLE, "starting").into_response()
        }
        HostPhase::Leaving => {
            LocalResponse::new(StatusCode::SERVICE_UNAVAILABLE, "leaving").into_response()
        }
    }
}

/// Returns the metrics in the text format.
pub(crate) fn metrics(router: &Router, path: &str) -> Response<ResponseBody> {
    if path != METRICS_PATH {
        return LocalResponse::new(StatusCode::NOT_FOUND, "unknown_path").into_response();
    }
    let dispatcher = router.dispatcher.borrow();
    router.metrics.waiting.set(dispatcher.waiting_len() as i64);
    router.metrics.running.set(dispatcher.running_len() as i64);
    drop(dispatcher);
    let bodies = [
        (&router.metrics.request_body_bytes, &router.request_memory),
        (&router.metrics.response_body_bytes, &router.response_memory),
    ];
    for (gauge, memory) in bodies {
        gauge.set(memory.used_bytes() as i64);
    }
    let unread_bytes = router.caller_queues.unread_bytes();
    router.metrics.caller_unread_bytes.set(unread_bytes as i64);
    match router.metrics.to_text() {
        Ok(text) => with_content_type(Bytes::from(text), "text/plain; version=0.0.4"),
        Err(error) => {
            let fields = json!({"error": error.to_string()});
            router
                .log
                .write(Importance::Essential, "metrics_unwritable", fields);
            LocalResponse::new(StatusCode::INTERNAL_SERVER_ERROR, "unwritable").into_response()
        }
    }
}

pub(super) fn with_content_type(body: Bytes, content_type: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(Some(body)));
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
