//! Endpoints that refused a request and asked for a pause without requests.
//!
//! A full or overloaded endpoint refuses requests, and any request sent during the pause takes
//! up the time that it asked for. If all endpoints of a service are paused at once, queued
//! requests are refused with the time after which to retry.

use std::collections::HashMap;

use daisynotch_objects::EndpointId;

use crate::time::Timestamp;

/// The ends of the pauses that endpoints asked this router for.
///
/// They are kept apart from the endpoints' load, which is dropped when an endpoint's entry
/// lapses for a moment.
#[derive(Debug, Default)]
pub(crate) struct Pushbacks {
    until: HashMap<EndpointId, Timestamp>,
}

impl Pushbacks {
    /// Records that an endpoint is paused until a time; never shortens a pause.
    pub(crate) fn record(&mut self, endpoint: EndpointId, until: Timestamp) {
        let current = self.until.entry(endpoint).or_insert(until);
        *current = until.max(*current);
    }

    /// Returns whether an endpoint is paused.
    pub(crate) fn is_active(&self, endpoint: EndpointId, now: Timestamp) -> bool {
        self.until.get(&endpoint).is_some_and(|until| now < *until)
    }

    /// Returns when the first pause among a service's endpoints ends; `None` if an endpoint that
    /// was not tried is not paused, or if no endpoint is paused.
    pub(crate) fn earliest_end(
        &self,
        endpoints: &[EndpointId],
        tried: &[EndpointId],
        now: Timestamp,
    ) -> Option<Timestamp> {
        if self.until.is_empty() {
            return None;
        }
        let is_open = |id: &EndpointId| !self.is_active(*id, now) && !tried.contains(id);
        if endpoints.iter().any(is_open) {
            return None;
        }
        let paused = endpoints.iter().filter(|id| self.is_active(**id, now));
        paused.filter_map(|id| self.until.get(id)).min().copied()
    }

    /// Drops pauses that have ended.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.until.retain(|_, until| now < *until);
    }
}

#[cfg(test)]
mod tests;
