//! News that follows messages between routers: evidence on crashes, and stated limits.
//!
//! Routers of an earlier version read the part that they know and ignore the rest.

use daisynotch_core::direct::{CrashNews, LimitNews};
use daisynotch_objects::RouterId;
use serde_json::json;

use super::event_log::Importance;
use super::state::Router;

/// Maximum number of reports on crashes in a digest.
const CRASH_REPORTS_MAX: usize = 16;
/// Maximum number of limits in a digest.
const LIMITS_MAX: usize = 256;

/// Encodes the news for a digest; empty if there are none.
pub(super) fn encode_for_digest(router: &Router) -> Vec<u8> {
    encode(router, CRASH_REPORTS_MAX, LIMITS_MAX)
}

/// Encodes all news, for a router that fetches the store's state.
pub(super) fn encode_all(router: &Router) -> Vec<u8> {
    encode(router, usize::MAX, usize::MAX)
}

fn encode(router: &Router, crash_reports_max: usize, limits_max: usize) -> Vec<u8> {
    let now = router.now();
    let mut dispatcher = router.dispatcher.borrow_mut();
    let crashes = dispatcher.crash_news(crash_reports_max, now);
    let limits = dispatcher.limit_news(limits_max, now);
    drop(dispatcher);
    let encoded = if !limits.is_empty() {
        postcard::to_stdvec(&(crashes, limits))
    } else if !crashes.is_empty() {
        postcard::to_stdvec(&crashes)
    } else {
        return Vec::new();
    };
    encoded.unwrap_or_else(|error| {
        let fields = json!({"error": error.to_string()});
        router
            .log
            .write(Importance::Essential, "news_unwritable", fields);
        Vec::new()
    })
}

/// Applies the news that follow a message of `sender`, if it is known.
pub(super) fn apply(router: &Router, encoded: &[u8], sender: Option<RouterId>, source: &str) {
    if encoded.is_empty() {
        return;
    }
    let decoded = postcard::take_from_bytes::<CrashNews>(encoded).and_then(|(crashes, rest)| {
        let limits = (!rest.is_empty()).then(|| postcard::from_bytes::<LimitNews>(rest));
        Ok((crashes, limits.transpose()?))
    });
    match decoded {
        Ok((crashes, limits)) => {
            let now = router.now();
            router.dispatcher.borrow_mut().on_crash_news(&crashes, now);
            router.log_evidence_changes(source);
            if let Some(limits) = limits {
                router.on_limit_news(&limits, sender, source);
            }
        }
        Err(error) => {
            let fields = json!({"error": error.to_string(), "source": source});
            router
                .log
                .write(Importance::Essential, "news_unreadable", fields);
        }
    }
}
