//! Tells the dispatcher of signs that endpoints are cold, and logs which are.
//!
//! See `docs/design/cold-endpoints.md`.

use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::direct::{ColdNews, Grant};
use daisynotch_core::{EndpointStatus, SenderEvidence, Timestamp};
use serde_json::json;

use super::event_log::Importance;
use super::state::Router;

impl Router {
    /// Applies signs that another router saw.
    pub(super) fn on_cold_news(&self, news: &ColdNews, transit: Option<Duration>, source: &str) {
        if news.is_empty() {
            return;
        }
        let (own, now) = (self.introduction.borrow().id(), self.now());
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.on_cold_news(own, news, transit, now);
        drop(dispatcher);
        self.log_cold_changes(source);
    }

    /// Records that the evacuation of a zone ended.
    pub(super) fn on_zone_returned(&self, zone: &Arc<str>, source: &str) {
        let (own, now) = (self.introduction.borrow().id(), self.now());
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.on_zone_returned(own, zone, now);
        drop(dispatcher);
        self.log_cold_changes(source);
    }

    /// Records that all endpoints were listed, by the store or by another router.
    pub(super) fn on_endpoints_listed(&self) {
        self.dispatcher.borrow_mut().on_endpoints_listed();
    }

    /// Applies what an endpoint said about itself when it was asked at `asked_at`.
    pub(super) fn on_endpoint_status(
        &self,
        grant: &Grant,
        status: &EndpointStatus,
        evidence: SenderEvidence,
        asked_at: Timestamp,
    ) {
        let (own, now) = (self.introduction.borrow().id(), self.now());
        let mut dispatcher = self.dispatcher.borrow_mut();
        match (evidence, status.cold_remaining) {
            (SenderEvidence::SameStart | SenderEvidence::SameName, Some(remaining)) => {
                dispatcher.on_cold_answer(own, grant.endpoint, remaining, asked_at, now);
            }
            // Requests to the earlier start reach the one that answers now.
            (SenderEvidence::OtherStart, _) => {
                dispatcher.on_endpoint_failure(own, grant.endpoint, now);
            }
            _ => return,
        }
        drop(dispatcher);
        self.log_cold_changes("status");
    }

    /// Brings the presumptions up to date after a change of the configuration.
    pub(super) fn refresh_cold(&self, source: &str) {
        let (own, now) = (self.introduction.borrow().id(), self.now());
        self.dispatcher.borrow_mut().refresh_cold(own, now);
        self.log_cold_changes(source);
    }

    /// Logs which endpoints became presumed cold or warm since the last call.
    pub(super) fn log_cold_changes(&self, source: &str) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        let changes = dispatcher.take_cold_changes();
        if changes.is_empty() {
            return;
        }
        let cold = dispatcher.cold_endpoints_len();
        drop(dispatcher);
        self.metrics.cold_endpoints.set(cold as i64);
        for change in changes {
            let remaining = change.remaining;
            let fields = json!({
                "endpoint": self.endpoint_label(change.endpoint),
                "is_cold": remaining.is_some(), "reason": change.reason.as_str(),
                "remaining_ms": remaining.map(|remaining| remaining.as_millis() as u64),
                "cold_endpoints": cold, "source": source,
            });
            self.log
                .write(Importance::Essential, "endpoint_cold", fields);
        }
    }
}
