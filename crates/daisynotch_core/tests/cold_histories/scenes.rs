//! What happens to endpoints in a history, and what is checked.

use std::sync::Arc;

use daisynotch_core::direct::{EndpointChange, EndpointEntry};
use rand::RngExt;

use super::{
    BEGIN_MS, COLD_MS, Counted, Disturbance, ENTRY_LATE_MS, Endpoint, EntryOnWay, History, OVERRUN,
    Router, SPREAD_MS, Scene, TICK_MS, TOLERANCE, WINDOW_MS, at,
};

impl History {
    /// Makes endpoints cold, twice in a history.
    pub(super) fn play_scene(&mut self) {
        let is_due = self.now_ms == BEGIN_MS || self.now_ms == BEGIN_MS + 5_500;
        let down_ms = self.rng.random_range(100..2_500);
        match self.plan.scene {
            Scene::ColdAgain if is_due => {
                for index in 0..self.endpoints.len() {
                    self.make_cold(index);
                    // The entry follows at once.
                    self.endpoints[index].next_entry_ms = self.now_ms;
                }
            }
            Scene::ZoneCrash | Scene::RouterRestarts if is_due => {
                for index in 0..self.endpoints.len() {
                    if self.endpoints[index].zone == 0 {
                        self.crash(index, down_ms);
                    }
                }
            }
            Scene::Crash if is_due => self.crash(0, down_ms),
            Scene::Evacuation if is_due => {
                let ends_ms = self.now_ms + 100 + down_ms;
                self.evacuated = Some((self.now_ms, ends_ms));
            }
            _ => {}
        }
        if let Some((began_ms, ends_ms)) = self.evacuated {
            self.play_evacuation(began_ms, ends_ms);
        }
        let returned = self.endpoints.iter();
        let returned = returned.map(|endpoint| endpoint.down_until_ms).max();
        let restarts_ms = returned.map_or(0, |at_ms| at_ms + 1_200);
        let restarts_ms = restarts_ms.next_multiple_of(TICK_MS);
        if self.plan.scene == Scene::RouterRestarts
            && restarts_ms == self.now_ms
            && restarts_ms > BEGIN_MS
        {
            for index in 0..self.routers.len() {
                let off_ms = self.rng.random_range(0..400);
                self.routers[index].disturbed = Some((Disturbance::Restart, self.now_ms + off_ms));
            }
        }
    }

    fn play_evacuation(&mut self, began_ms: u64, ends_ms: u64) {
        let ends_ms = ends_ms.next_multiple_of(TICK_MS);
        let zone: Arc<str> = Arc::from("zone-0");
        let count = self.routers.len() as u64;
        for index in 0..self.routers.len() {
            let later_ms = (index as u64 * SPREAD_MS / count).next_multiple_of(TICK_MS);
            let own = self.routers[index].id;
            let dispatcher = &mut self.routers[index].dispatcher;
            if self.now_ms == began_ms + later_ms {
                dispatcher.set_evacuated_zones([Arc::clone(&zone)]);
            }
            // Routers that stand still learn of it when they run again.
            if self.now_ms == ends_ms + later_ms {
                dispatcher.on_zone_returned(own, &zone, at(self.now_ms));
                dispatcher.set_evacuated_zones([]);
            }
        }
        if self.now_ms == ends_ms {
            for index in 0..self.endpoints.len() {
                if self.endpoints[index].zone == 0 {
                    self.make_cold(index);
                    let informed = &mut self.endpoints[index].informed_until_ms;
                    informed.fill(ends_ms + COLD_MS);
                }
            }
        }
    }

    fn make_cold(&mut self, index: usize) {
        let until_ms = self.now_ms + COLD_MS;
        let endpoint = &mut self.endpoints[index];
        endpoint.begin(self.now_ms);
        endpoint.cold_until_ms = until_ms;
        endpoint.counted.push(Counted {
            from_ms: self.now_ms,
            until_ms,
        });
    }

    fn crash(&mut self, index: usize, down_ms: u64) {
        let up_ms = (self.now_ms + down_ms).next_multiple_of(TICK_MS);
        let endpoint = &mut self.endpoints[index];
        endpoint.begin(self.now_ms);
        endpoint.down_until_ms = up_ms;
        endpoint.started_unix_ms += up_ms;
        endpoint.report_seq = 0;
        endpoint.next_entry_ms = up_ms;
        endpoint.cold_until_ms = up_ms + COLD_MS;
        endpoint.counted.push(Counted {
            from_ms: up_ms,
            until_ms: up_ms + COLD_MS,
        });
    }

    pub(super) fn write_entries(&mut self) {
        for index in 0..self.endpoints.len() {
            if self.endpoints[index].next_entry_ms > self.now_ms {
                continue;
            }
            let entry = self.write_entry(index);
            let late_ms = self.rng.random_range(0..=ENTRY_LATE_MS);
            for router in 0..self.routers.len() {
                let spread_ms = self.rng.random_range(0..=SPREAD_MS);
                let due_ms = self.now_ms + late_ms + spread_ms;
                self.entries.entry(due_ms).or_default().push(EntryOnWay {
                    router,
                    entry: entry.clone(),
                });
            }
        }
    }

    pub(super) fn deliver_entries(&mut self) {
        let now_ms = self.now_ms;
        let later = self.entries.split_off(&(now_ms + 1));
        let due = std::mem::replace(&mut self.entries, later);
        for EntryOnWay { router, entry } in due.into_values().flatten() {
            let order = |entry: &EndpointEntry| (entry.started_unix_ms, entry.report_seq);
            let stored = self.stored.get(&entry.name);
            if stored.is_none_or(|stored| order(stored) < order(&entry)) {
                self.stored.insert(Arc::clone(&entry.name), entry.clone());
            }
            if self.is_stopped(router) {
                // It is read when the router runs again; one that restarts lists what is stored.
                let later = self.entries.entry(now_ms + TICK_MS).or_default();
                later.push(EntryOnWay { router, entry });
                continue;
            }
            let Router {
                id,
                dispatcher,
                entries,
                ..
            } = &mut self.routers[router];
            let known = entries.get(&entry.name);
            if known.is_some_and(|known| order(known) >= order(&entry)) {
                continue;
            }
            if let Some(known) = known.filter(|known| known.id() != entry.id()) {
                dispatcher.on_endpoint(EndpointChange::Closed(known.id()), &self.table);
            }
            entries.insert(Arc::clone(&entry.name), entry.clone());
            let mut endpoints = self.endpoints.iter_mut();
            let endpoint = endpoints.find(|endpoint| endpoint.name == entry.name);
            endpoint.unwrap().inform_of_entry(router, &entry);
            dispatcher.on_endpoint(EndpointChange::Usable(entry.clone()), &self.table);
            dispatcher.on_entry(&entry, at(now_ms));
            dispatcher.refresh_cold(*id, at(now_ms));
        }
    }

    fn allowed(&self) -> f64 {
        self.plan.cold_per_s * OVERRUN + TOLERANCE
    }

    /// Returns the largest excess over what a cold endpoint tolerates in a second.
    pub(crate) fn excess(&self) -> f64 {
        let of_endpoint = |endpoint: &Endpoint| {
            let most = endpoint.counted.iter().map(|counted| {
                let arrived = endpoint.informed_ms.iter().copied();
                let arrived: Vec<u64> = arrived
                    .filter(|at_ms| (counted.from_ms..counted.until_ms).contains(at_ms))
                    .collect();
                let within = |from: &u64| {
                    let window = arrived.iter().filter(|at_ms| *at_ms >= from);
                    window.filter(|at_ms| **at_ms < from + WINDOW_MS).count()
                };
                arrived.iter().map(within).max().unwrap_or(0)
            });
            most.max().unwrap_or(0) as f64 - self.allowed()
        };
        let excesses = self.endpoints.iter().map(of_endpoint);
        excesses.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the fraction of what cold endpoints tolerate that was used while they were cold.
    pub(crate) fn used(&self) -> f64 {
        let mut arrived = 0;
        let mut tolerated = 0.0;
        for endpoint in &self.endpoints {
            for counted in &endpoint.counted {
                // Before its entry has reached all routers, an endpoint is not paced.
                let from_ms = counted.from_ms + ENTRY_LATE_MS + SPREAD_MS;
                let range = from_ms..counted.until_ms;
                tolerated += self.plan.cold_per_s * (range.end - range.start) as f64 / 1e3;
                let times = endpoint.arrived_ms.iter();
                arrived += times.filter(|at_ms| range.contains(at_ms)).count();
            }
        }
        arrived as f64 / tolerated
    }
}
