//! How many requests each endpoint of a shard runs at once, and which goes next.
//!
//! See `docs/design/slots.md`.

use std::collections::BTreeMap;

use crate::EndpointId;
use crate::catalogue::Catalogue;
use crate::message::{LengthClass, ShardId, Ticket};

#[derive(Debug, Clone)]
struct Slots {
    limit: u32,
    taken: u32,
    taken_long: u32,
    leaving: bool,
}

/// The slots of a shard's endpoints.
#[derive(Debug, Default)]
pub(super) struct EndpointSlots {
    endpoints: BTreeMap<EndpointId, Slots>,
}

impl EndpointSlots {
    /// Takes in the endpoints of a new revision; slots that are taken stay taken.
    pub(super) fn configure(&mut self, shard: ShardId, catalogue: &Catalogue) {
        for slots in self.endpoints.values_mut() {
            slots.leaving = true;
        }
        let Some(pool) = catalogue.pools.get(&shard.pool) else {
            return;
        };
        for id in pool.shards.get(&shard.zone).into_iter().flatten() {
            let leaving = catalogue.endpoints[id].leaving;
            let slots = self.endpoints.entry(*id).or_insert(Slots {
                limit: pool.slots,
                taken: 0,
                taken_long: 0,
                leaving,
            });
            slots.leaving = leaving;
        }
        self.endpoints
            .retain(|_, slots| !slots.leaving || slots.taken > 0);
    }

    /// Says whether an endpoint is here, also one that left with slots taken.
    pub(super) fn knows(&self, id: EndpointId) -> bool {
        self.endpoints.contains_key(&id)
    }

    /// Gives the slots of endpoints that take new work.
    pub(super) fn total(&self) -> u32 {
        let staying = self.endpoints.values().filter(|slots| !slots.leaving);
        staying.map(|slots| slots.limit).sum()
    }

    /// Gives the slots that new work could take at once.
    pub(super) fn free(&self) -> u32 {
        let staying = self.endpoints.values().filter(|slots| !slots.leaving);
        staying
            .map(|slots| slots.limit.saturating_sub(slots.taken))
            .sum()
    }

    /// Chooses the least loaded endpoint with a free slot; long work is spread first.
    pub(super) fn choose(&self, ticket: &Ticket) -> Option<EndpointId> {
        let is_free = |slots: &Slots| !slots.leaving && slots.taken < slots.limit;
        let load = |slots: &Slots| (slots.taken * 1_000) / slots.limit.max(1);
        let long = |slots: &Slots| match ticket.class {
            LengthClass::Short => 0,
            LengthClass::Long => slots.taken_long,
        };
        let rank = |id: EndpointId, slots: &Slots| {
            (ticket.avoid == Some(id), long(slots), load(slots), id)
        };
        let free = self.endpoints.iter().filter(|(_, slots)| is_free(slots));
        free.min_by_key(|(id, slots)| rank(**id, slots))
            .map(|(id, _)| *id)
    }

    /// Takes a slot, also one beyond the limit when the work runs already.
    pub(super) fn take(&mut self, id: EndpointId, class: LengthClass) {
        let Some(slots) = self.endpoints.get_mut(&id) else {
            return;
        };
        slots.taken += 1;
        if class == LengthClass::Long {
            slots.taken_long += 1;
        }
    }

    /// Frees a slot.
    pub(super) fn release(&mut self, id: EndpointId, class: LengthClass) {
        let Some(slots) = self.endpoints.get_mut(&id) else {
            return;
        };
        slots.taken = slots.taken.saturating_sub(1);
        if class == LengthClass::Long {
            slots.taken_long = slots.taken_long.saturating_sub(1);
        }
    }
}
