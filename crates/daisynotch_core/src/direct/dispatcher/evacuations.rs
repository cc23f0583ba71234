//! What the dispatcher does about zones that operators evacuate.

use std::sync::Arc;

use super::Dispatcher;

impl Dispatcher {
    /// Sets the zones to whose endpoints no request is sent. Requests that run there go on.
    pub fn set_evacuated_zones(&mut self, zones: impl IntoIterator<Item = Arc<str>>) {
        self.evacuated_zones = zones.into_iter().collect();
        for ids in self.endpoints_by_service.values_mut() {
            ids.clear();
        }
        let mut open: Vec<_> = self.endpoints.iter().collect();
        open.retain(|(_, load)| !self.evacuated_zones.contains(&load.entry.zone));
        open.sort_unstable_by_key(|(id, _)| **id);
        for (id, load) in open {
            let service = Arc::clone(&load.entry.service);
            let ids = self.endpoints_by_service.entry(service).or_default();
            ids.push(*id);
        }
    }

    /// Returns the number of this router's requests at endpoints of a zone.
    pub fn running_in_zone(&self, zone: &str) -> usize {
        let in_zone = self.runs.values().filter(|run| {
            let load = self.endpoints.get(&run.endpoint);
            load.is_some_and(|load| &*load.entry.zone == zone)
        });
        in_zone.count()
    }

    /// Returns whether a zone has endpoints.
    pub fn has_endpoints_in_zone(&self, zone: &str) -> bool {
        let mut loads = self.endpoints.values();
        loads.any(|load| &*load.entry.zone == zone)
    }

    /// Returns whether there are endpoints, and all of them are in evacuated zones.
    pub fn is_everything_evacuated(&self) -> bool {
        !self.endpoints.is_empty() && self.endpoints_by_service.values().all(Vec::is_empty)
    }

    /// Returns whether a service has endpoints, all of them in evacuated zones.
    pub(super) fn is_service_evacuated(&self, service: &str) -> bool {
        !self.evacuated_zones.is_empty()
            && !self.has_endpoint(service)
            && self
                .endpoints
                .values()
                .any(|load| &*load.entry.service == service)
    }
}
