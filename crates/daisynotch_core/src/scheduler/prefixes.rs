//! Records which endpoint last served a prompt prefix, as a hint for cache affinity.
//!
//! The endpoint may have evicted the prefix. The scheduler records its own grants because
//! the cache events of engines arrive late and with gaps. See `docs/design/slots.md`.

use std::collections::{HashMap, VecDeque};

use crate::EndpointId;
use crate::message::PrefixFingerprint;

/// The maximum number of prefixes that a shard's scheduler records.
const PREFIXES_MAX: usize = 1_024;

/// Maps each recent prefix to the endpoint that served it last.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    endpoints: HashMap<PrefixFingerprint, EndpointId>,
    order: VecDeque<PrefixFingerprint>,
}

impl Prefixes {
    /// Returns the endpoint that last served a prefix.
    pub(super) fn endpoint_of(&self, prefix: PrefixFingerprint) -> Option<EndpointId> {
        self.endpoints.get(&prefix).copied()
    }

    /// Records that an endpoint serves a prefix and evicts the oldest prefix if necessary.
    pub(super) fn record(&mut self, prefix: PrefixFingerprint, endpoint: EndpointId) {
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
