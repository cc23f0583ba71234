//! Tracks whether the store is within reach, and what may have happened to its entries while it was
//! not. See `docs/design/store-outages.md`.

use std::time::Duration;

use daisynotch_core::direct::{LapseNews, StoreFailure};
use serde_json::json;

use super::event_log::Importance;
use super::state::Router;

impl Router {
    /// Updates the number of times that the store was restored from a backup.
    ///
    /// Entries of the seconds that the restore lost may be written again, as after an outage.
    pub(crate) fn on_store_era(&self, era: u64, source: &str) {
        let before = self.store_era.get();
        if era <= before {
            return;
        }
        self.store_era.set(era);
        // The first era that a router learns of is the one that it starts in.
        if before == 0 {
            return;
        }
        let now = self.now();
        let timing = self.settings.borrow().endpoint_timing();
        self.endpoints.borrow_mut().on_entries_lost(&timing, now);
        self.confirmation.borrow_mut().on_restore(now);
        self.store_restored.notify_one();
        let fields = json!({"era": era, "before": before, "source": source});
        self.log
            .write(Importance::Essential, "store_restored", fields);
    }

    /// Processes a response of the store.
    pub(crate) fn on_store_response(&self) {
        let now = self.now();
        let outage = self.store_outage.borrow_mut().on_response(now);
        self.set_store_reachable(true, "");
        if let Some(outage) = outage {
            self.on_store_recovery(outage);
        }
    }

    /// Processes a call to which the store gave no usable response.
    pub(crate) fn on_store_failure(&self, failure: StoreFailure, detail: &str) {
        let mut outage = self.store_outage.borrow_mut();
        outage.on_failure(failure, self.now());
        if outage.is_out_of_reach() {
            self.set_store_reachable(false, detail);
        }
    }

    /// Keeps endpoints in use whose entries may have lapsed in an outage of the store.
    fn on_store_recovery(&self, outage: Duration) {
        let now = self.now();
        // The store was only out of reach for this router if another one has read it meanwhile.
        let confirmed_ago = self.confirmation.borrow().age(now);
        if confirmed_ago.is_some_and(|age| age < outage) {
            return;
        }
        let timing = self.settings.borrow().endpoint_timing();
        let mut endpoints = self.endpoints.borrow_mut();
        if endpoints.on_store_recovery(outage, &timing, now) {
            let fields = json!({"outage_ms": outage.as_millis() as u64, "source": "store"});
            self.log
                .write(Importance::Essential, "entries_may_lapse", fields);
        }
    }

    /// Processes another router's word that entries may have lapsed. `transit` is an upper bound on
    /// the time that it was on its way.
    pub(super) fn on_lapse_news(&self, news: &LapseNews, transit: Option<Duration>, source: &str) {
        let timing = self.settings.borrow().endpoint_timing();
        let mut endpoints = self.endpoints.borrow_mut();
        if endpoints.on_lapse_news(news, transit, &timing, self.now()) {
            let fields = json!({"window_left_ms": news.window_left_ms, "source": source});
            self.log
                .write(Importance::Essential, "entries_may_lapse", fields);
        }
    }

    fn set_store_reachable(&self, is_reachable: bool, detail: &str) {
        if self.is_store_reachable.replace(is_reachable) == is_reachable {
            return;
        }
        self.introduction.borrow_mut().has_store = is_reachable;
        self.store_reachability_changed_at.set(self.now());
        let event = if is_reachable {
            "store_regained"
        } else {
            "store_lost"
        };
        self.log
            .write(Importance::Essential, event, json!({"detail": detail}));
    }

    /// Marks the store as reachable again when its loss is older than `after`, on a router that
    /// no longer reads it: only another attempt can tell whether it is.
    pub(crate) fn forget_store_loss(&self, after: Duration) {
        let is_expired = self.now().since(self.store_reachability_changed_at.get()) > after;
        if !self.is_store_reachable.get() && is_expired {
            self.is_store_reachable.set(true);
            self.introduction.borrow_mut().has_store = true;
        }
    }
}
