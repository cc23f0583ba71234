//! Records the limits that endpoints state on the rate of requests from all routers.

use daisynotch_core::direct::{Grant, LimitChange, LimitNews, RequestRate};
use daisynotch_objects::RouterId;
use daisynotch_platform::ports::StatedRateLimit;
use serde_json::json;

use super::event_log::Importance;
use super::state::Router;

impl Router {
    /// Applies what the response to a run states about its endpoint's limit.
    pub(super) fn on_stated_limit(&self, grant: &Grant, stated: StatedRateLimit) {
        let limit = match stated {
            StatedRateLimit::Unlimited => None,
            StatedRateLimit::Limited(limit) => Some(limit),
            StatedRateLimit::Unreadable => {
                let problem = "the stated limit is not a number of requests per second";
                self.log_unreadable("endpoint_limit_unreadable", &grant.endpoint_name, problem);
                return;
            }
        };
        if limit.is_some() {
            self.metrics.limited_responses.inc();
        }
        let (own, now) = (self.introduction.borrow().id(), self.now());
        let mut dispatcher = self.dispatcher.borrow_mut();
        let change = dispatcher.on_stated_limit(own, grant.run, limit, now);
        drop(dispatcher);
        if let Some(change) = change {
            self.log_limit_change(&change, "answer");
        }
    }

    /// Applies the limits that another router knows, and its demand if it is the sender of a
    /// digest.
    pub(super) fn on_limit_news(&self, news: &LimitNews, sender: Option<RouterId>, source: &str) {
        let (own, now) = (self.introduction.borrow().id(), self.now());
        let mut dispatcher = self.dispatcher.borrow_mut();
        let changes = dispatcher.on_limit_news(own, sender, news, now);
        drop(dispatcher);
        for change in &changes {
            self.log_limit_change(change, source);
        }
    }

    /// Logs that the limit of an endpoint changed.
    fn log_limit_change(&self, change: &LimitChange, source: &str) {
        let dispatcher = self.dispatcher.borrow();
        let limited = dispatcher.limited_endpoints_len();
        drop(dispatcher);
        self.metrics.limited_endpoints.set(limited as i64);
        let fields = json!({
            "endpoint": self.endpoint_label(change.endpoint),
            "limit_per_s": change.limit.map(RequestRate::per_s),
            "before_per_s": change.before.map(RequestRate::per_s),
            "limited_endpoints": limited, "source": source,
        });
        self.log
            .write(Importance::Essential, "endpoint_limit", fields);
    }
}
