//! What the dispatcher does about endpoints that are presumed cold.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_objects::{EndpointId, RouterId};

use super::Dispatcher;
use crate::direct::cold_starts::{ColdChange, ColdNews};
use crate::direct::endpoints::EndpointEntry;
use crate::direct::routes::{ColdStart, RouteTable};
use crate::direct::shared_limits::Budget;
use crate::time::Timestamp;

impl Dispatcher {
    /// Sets how the endpoints of services start.
    pub(super) fn set_cold_services(&mut self, table: &RouteTable) {
        let services = table.services();
        let services = services.filter_map(|service| {
            let name = Arc::clone(&service.name);
            service.cold_start.map(|cold| (name, cold))
        });
        let services: HashMap<Arc<str>, ColdStart> = services.collect();
        self.cold_starts.set_services(services);
        let services = self.cold_starts.services();
        self.shared_limits.set_cold_services(services);
    }

    /// Processes the entry of an endpoint that is in use, after [`Self::on_endpoint`] and before
    /// [`Self::refresh_cold`], which is called once for a whole listing.
    pub fn on_entry(&mut self, entry: &EndpointEntry, now: Timestamp) {
        self.cold_starts.on_entry(entry, now);
    }

    /// Records that all endpoints were listed: those that appear from now on are new.
    pub fn on_endpoints_listed(&mut self) {
        self.cold_starts.on_listed();
    }

    /// Records how long an endpoint stays cold, as it said when it was asked at `asked_at`.
    pub fn on_cold_answer(
        &mut self,
        own: RouterId,
        endpoint: EndpointId,
        remaining: Duration,
        asked_at: Timestamp,
        now: Timestamp,
    ) {
        self.cold_starts
            .on_answer(endpoint, remaining, asked_at, now);
        self.refresh_cold(own, now);
    }

    /// Records that an endpoint failed in a way after which it may have restarted.
    pub fn on_endpoint_failure(&mut self, own: RouterId, endpoint: EndpointId, now: Timestamp) {
        self.cold_starts.on_failure(endpoint, now);
        self.refresh_cold(own, now);
    }

    /// Records that the evacuation of a zone ended, before requests are sent there again.
    pub fn on_zone_returned(&mut self, own: RouterId, zone: &Arc<str>, now: Timestamp) {
        self.cold_starts.on_zone_returned(zone, now);
        self.refresh_cold(own, now);
    }

    /// Returns this router's signs of cold endpoints for other routers; with `includes_heard`, for
    /// one that starts, those of other routers, too.
    pub fn cold_news(&self, includes_heard: bool, now: Timestamp) -> ColdNews {
        self.cold_starts.to_news(includes_heard, now)
    }

    /// Applies another router's signs. `transit` is an upper bound on the time that they were on
    /// their way.
    pub fn on_cold_news(
        &mut self,
        own: RouterId,
        news: &ColdNews,
        transit: Option<Duration>,
        now: Timestamp,
    ) {
        if !self.cold_starts.is_off() && !news.is_empty() {
            self.cold_starts.on_news(news, transit, now);
            self.refresh_cold(own, now);
        }
    }

    /// Brings the limits of cold endpoints up to date; called in each round of digests, too.
    pub fn refresh_cold(&mut self, own: RouterId, now: Timestamp) {
        self.own_id = Some(own);
        if self.cold_starts.is_off() && self.cold_starts.cold_len() == 0 {
            return;
        }
        let settings = self.cold_settings;
        let cold = self.cold_starts.refresh(now).into_iter();
        let cold: HashMap<EndpointId, Budget> = cold
            .map(|(endpoint, rate)| (endpoint, settings.budget(rate)))
            .collect();
        let endpoints = &self.endpoints;
        let service_of = |endpoint| endpoints.get(&endpoint).map(|load| &load.entry.service);
        self.shared_limits.set_cold(own, cold, service_of, now);
    }

    /// Returns the changes of cold endpoints since the last call, for logs.
    pub fn take_cold_changes(&mut self) -> Vec<ColdChange> {
        self.cold_starts.take_changes()
    }

    /// Returns the number of endpoints that are presumed cold.
    pub fn cold_endpoints_len(&self) -> usize {
        self.cold_starts.cold_len()
    }

    /// Notes a failure that a run showed; limits follow at once if this router's id is known.
    pub(super) fn note_failure(&mut self, endpoint: EndpointId, now: Timestamp) {
        if self.cold_starts.is_off() {
            return;
        }
        if let Some(own) = self.own_id {
            self.on_endpoint_failure(own, endpoint, now);
        }
    }

    /// Notes endpoints that were silent for so long that they may have crashed.
    pub(super) fn note_silence(&mut self, now: Timestamp) {
        if self.cold_starts.is_off() {
            return;
        }
        let lost = self.endpoints.iter();
        let lost = lost.filter(|(_, load)| load.health.is_lost(now));
        for endpoint in lost.map(|(id, _)| *id) {
            self.cold_starts.on_failure(endpoint, now);
        }
    }
}
