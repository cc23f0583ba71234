//! Endpoints that refused a request and named a time until which they want nothing.
//!
//! Load pattern: an endpoint that is full or overloaded turns requests away, and each one
//! that comes all the same costs it the time that it asked for. When all endpoints of a
//! service do so at once, what waits is told when to come back.

use std::collections::HashMap;

use daisynotch_objects::EndpointId;

use crate::time::Timestamp;

/// Until when endpoints want no request of this router.
///
/// It is kept apart from their load, which is forgotten when an entry lapses for a moment.
#[derive(Debug, Default)]
pub(crate) struct Pushbacks {
    until: HashMap<EndpointId, Timestamp>,
}

impl Pushbacks {
    /// Notes that an endpoint wants nothing until a time; an earlier time changes nothing.
    pub(crate) fn record(&mut self, endpoint: EndpointId, until: Timestamp) {
        let current = self.until.entry(endpoint).or_insert(until);
        *current = until.max(*current);
    }

    /// Says whether an endpoint wants nothing now.
    pub(crate) fn is_active(&self, endpoint: EndpointId, now: Timestamp) -> bool {
        self.until.get(&endpoint).is_some_and(|until| now < *until)
    }

    /// Gives when the first endpoint of a service wants requests again; none if one that was
    /// not tried wants them now, or if no endpoint named a time.
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

    /// Forgets times that are over.
    pub(crate) fn expire(&mut self, now: Timestamp) {
        self.until.retain(|_, until| now < *until);
    }
}

#[cfg(test)]
mod tests;
