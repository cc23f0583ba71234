//! Which endpoint served a prompt's beginning lately: a hint, never a promise.
//!
//! The engine's cache events come late and with gaps, so that the scheduler
//! remembers its own grants. See `docs/design/slots.md`.

use std::collections::{HashMap, VecDeque};

use crate::EndpointId;
use crate::message::PrefixFingerprint;

/// Prefixes that a shard's scheduler remembers.
const PREFIXES_MAX: usize = 1_024;

/// The endpoint that served each of the latest prefixes last.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    endpoints: HashMap<PrefixFingerprint, EndpointId>,
    order: VecDeque<PrefixFingerprint>,
}

impl Prefixes {
    /// Gives the endpoint that served a prefix last.
    pub(super) fn endpoint_of(&self, prefix: PrefixFingerprint) -> Option<EndpointId> {
        self.endpoints.get(&prefix).copied()
    }

    /// Remembers that an endpoint serves a prefix; the oldest prefix makes room.
    pub(super) fn remember(&mut self, prefix: PrefixFingerprint, endpoint: EndpointId) {
        if self.endpoints.insert(prefix, endpoint).is_some() {
            return;
        }
        self.order.push_back(prefix);
        if self.order.len() > PREFIXES_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.endpoints.remove(&oldest);
        }
    }
}

#[cfg(test)]
mod tests;
