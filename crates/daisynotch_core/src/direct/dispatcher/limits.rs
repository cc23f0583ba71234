//! What the dispatcher does about limits that endpoints state for all routers together.

use daisynotch_objects::{EndpointId, RouterId};

use super::Dispatcher;
use crate::direct::request::{RequestSpec, RunId};
use crate::direct::shared_limits::{LimitChange, LimitNews, LimitWait, RequestRate};
use crate::time::Timestamp;

impl Dispatcher {
    /// Records the limit that the response of a run states, or that it states none.
    pub fn on_stated_limit(
        &mut self,
        own: RouterId,
        run: RunId,
        limit: Option<RequestRate>,
        now: Timestamp,
    ) -> Option<LimitChange> {
        let run = self.runs.get(&run)?;
        let (endpoint, sent_at) = (run.endpoint, run.sent_at);
        let limits = &mut self.shared_limits;
        let change = limits.on_response(endpoint, limit, sent_at, now)?;
        self.divide_changed(own, &change, now);
        Some(change)
    }

    /// Applies another router's limits and, if `sender` says who that is, its demand. Returns the
    /// limits that changed.
    pub fn on_limit_news(
        &mut self,
        own: RouterId,
        sender: Option<RouterId>,
        news: &LimitNews,
        now: Timestamp,
    ) -> Vec<LimitChange> {
        let changes = self.shared_limits.on_news(sender, news, now);
        for change in &changes {
            self.divide_changed(own, change, now);
        }
        changes
    }

    fn divide_changed(&mut self, own: RouterId, change: &LimitChange, now: Timestamp) {
        let load = self.endpoints.get(&change.endpoint);
        let service = load.map(|load| &load.entry.service);
        let limits = &mut self.shared_limits;
        limits.on_limit_changed(own, change.endpoint, service, now);
    }

    /// Divides the limits among the routers; called in each round of digests.
    pub fn divide_limits(&mut self, own: RouterId, now: Timestamp) {
        self.note_silence(now);
        self.refresh_cold(own, now);
        let endpoints = &self.endpoints;
        let service_of = |endpoint| endpoints.get(&endpoint).map(|load| &load.entry.service);
        self.shared_limits.divide(own, service_of, now);
    }

    /// Returns at most `limits_max` limits, and this router's demand, for other routers.
    pub fn limit_news(&mut self, limits_max: usize, now: Timestamp) -> LimitNews {
        self.shared_limits.next_news(limits_max, now)
    }

    /// Counts a question to an endpoint, which is asked whatever the endpoint's limit is.
    pub fn on_question(&mut self, endpoint: EndpointId, now: Timestamp) {
        self.shared_limits.charge(endpoint, now);
    }

    /// Returns the number of endpoints that state a limit.
    pub fn limited_endpoints_len(&self) -> usize {
        self.shared_limits.limited_len()
    }

    /// Returns how long a request with `ahead` others before it would wait if every endpoint that
    /// it may go to limits its requests; `None` if one does not.
    pub(super) fn limit_wait(
        &self,
        spec: &RequestSpec,
        ahead: usize,
        now: Timestamp,
    ) -> Option<LimitWait> {
        if !self.shared_limits.has_shares() {
            return None;
        }
        let ids = self.endpoints_by_service.get(&spec.service)?;
        let is_open =
            |id: &&EndpointId| !spec.tried.contains(id) && !self.pushbacks.is_active(**id, now);
        let open = ids.iter().filter(is_open).copied();
        self.shared_limits.wait(open, ahead, now)
    }
}
