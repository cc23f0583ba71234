//! How many requests each endpoint of a shard runs at once, and which goes next.
//!
//! See `docs/design/slots.md`.

use std::collections::BTreeMap;

use crate::catalogue::Catalogue;
use crate::message::{LengthClass, ReleaseReason, ShardId, Ticket};
use crate::time::Timestamp;
use crate::{EndpointId, PoolKind};

use super::endpoint_health::{EndpointHealth, Fitness};
use super::length::{long_slots, overflow_slots};
use super::prefixes::Prefixes;
use super::slot_limit::{Sample, SlotLimit};

/// An endpoint is slow when its gap between tokens is this many times the usual one.
const SLOW_GAP_FACTOR: u64 = 2;
/// The weight of the newest gap in the usual one is one part in this many.
const USUAL_GAP_PARTS: u64 = 32;
/// A slow endpoint gets this part of its slots, when no other has one.
const SLOW_PART: u32 = 4;

/// Whether long work may take slots beyond its share.
#[daisynotch_macros::value]
#[derive(Copy)]
pub(super) enum LongShare {
    /// Short work waits or may come.
    Kept,
    /// Only long work waits, and no slot is left idle.
    Borrowed,
}

/// What a request saw of its endpoint.
#[daisynotch_macros::value]
#[derive(Copy, Default)]
pub(super) struct Seen {
    pub(super) first_token_ms: Option<u32>,
    pub(super) token_gap_us: Option<u32>,
}

#[derive(Debug, Clone)]
struct Slots {
    limit: SlotLimit,
    health: EndpointHealth,
    taken: u32,
    taken_long: u32,
    leaving: bool,
}

impl Slots {
    /// Gives the slots that work of a class may take, before health is judged.
    fn open_to(&self, class: LengthClass, share: LongShare) -> bool {
        let limit = self.limit.get();
        match class {
            LengthClass::Short => self.taken < limit + overflow_slots(limit, self.taken_long),
            LengthClass::Long => {
                let within_share = self.taken_long < long_slots(limit);
                self.taken < limit && (within_share || share == LongShare::Borrowed)
            }
        }
    }
}

/// The slots of a shard's endpoints.
#[derive(Debug, Default)]
pub(super) struct EndpointSlots {
    endpoints: BTreeMap<EndpointId, Slots>,
    prefixes: Prefixes,
    /// The usual gap between tokens, in parts of a microsecond.
    usual_gap: u64,
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
            let slots = self.endpoints.entry(*id).or_insert_with(|| Slots {
                limit: SlotLimit::new(pool.slots, pool.kind == PoolKind::Inference),
                health: EndpointHealth::default(),
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
    pub(super) fn has_endpoint(&self, id: EndpointId) -> bool {
        self.endpoints.contains_key(&id)
    }

    /// Gives the slots of endpoints that take new work.
    pub(super) fn total(&self) -> u32 {
        let staying = self.endpoints.values().filter(|slots| !slots.leaving);
        staying.map(|slots| slots.limit.get()).sum()
    }

    /// Gives the slots that new work could take at once.
    pub(super) fn free(&self) -> u32 {
        let staying = self.endpoints.values().filter(|slots| !slots.leaving);
        staying
            .map(|slots| slots.limit.get().saturating_sub(slots.taken))
            .sum()
    }

    /// Chooses an endpoint with a free slot: a good one, one that has the prefix, the least loaded.
    pub(super) fn choose(
        &self,
        ticket: &Ticket,
        share: LongShare,
        worst: Fitness,
        now: Timestamp,
    ) -> Option<EndpointId> {
        let trusts_health = self.trusts_health(now);
        let none_reachable = self.is_none_reachable();
        let fitness_of = |slots: &Slots| {
            let fitness = match none_reachable {
                true => slots.health.fitness_alone(now),
                false => slots.health.fitness(slots.taken, now),
            };
            let is_second_attempt = ticket.avoid.is_some();
            match fitness {
                Fitness::Slow if !trusts_health => Fitness::Good,
                // A request that has been late already is not the one to try a slow endpoint.
                Fitness::Good if is_second_attempt && slots.health.is_paused(now) => Fitness::Slow,
                Fitness::Good | Fitness::Slow | Fitness::Unreachable => fitness,
            }
        };
        let cached = ticket
            .prefix
            .and_then(|prefix| self.prefixes.endpoint_of(prefix));
        let long = |slots: &Slots| match ticket.class {
            LengthClass::Short => 0,
            LengthClass::Long => slots.taken_long,
        };
        let rank = |id: EndpointId, slots: &Slots| {
            let load = slots.taken * 1_000 / slots.limit.get();
            let is_avoided = ticket.avoid == Some(id);
            (
                fitness_of(slots),
                is_avoided,
                cached != Some(id),
                long(slots),
                load,
                id,
            )
        };
        let is_free = |slots: &Slots| {
            let fitness = fitness_of(slots);
            let has_room = match fitness {
                Fitness::Good => true,
                Fitness::Slow => slots.taken < slots.limit.get().div_ceil(SLOW_PART),
                Fitness::Unreachable => false,
            };
            let has_room = has_room && fitness <= worst;
            !slots.leaving && has_room && slots.open_to(ticket.class, share)
        };
        let free = self.endpoints.iter().filter(|(_, slots)| is_free(slots));
        free.min_by_key(|(id, slots)| rank(**id, slots))
            .map(|(id, _)| *id)
    }

    /// Says whether slowness tells endpoints apart: when most are slow, it is the load.
    fn trusts_health(&self, now: Timestamp) -> bool {
        let is_slow = |slots: &&Slots| slots.health.fitness(slots.taken, now) == Fitness::Slow;
        let slow = self.endpoints.values().filter(is_slow).count();
        slow * 2 <= self.endpoints.len()
    }

    fn is_none_reachable(&self) -> bool {
        let mut staying = self.endpoints.values().filter(|slots| !slots.leaving);
        staying.all(|slots| slots.health.is_unreachable())
    }

    /// Takes a slot for a ticket.
    pub(super) fn grant(&mut self, id: EndpointId, ticket: &Ticket, now: Timestamp) {
        if let Some(prefix) = ticket.prefix {
            self.prefixes.remember(prefix, id);
        }
        if let Some(slots) = self.endpoints.get_mut(&id) {
            slots.health.on_granted(now);
        }
        self.take(id, ticket.class);
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

    /// Counts work that holds a slot as long from now on.
    pub(super) fn lengthen(&mut self, id: EndpointId) {
        if let Some(slots) = self.endpoints.get_mut(&id) {
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

    /// Takes in how a dispatch ended, before its slot is freed.
    pub(super) fn on_ended(
        &mut self,
        id: EndpointId,
        reason: ReleaseReason,
        seen: Seen,
        granted_at: Timestamp,
        now: Timestamp,
    ) {
        match reason {
            ReleaseReason::Unreachable => self.with_health(id, |health| health.on_unreachable(now)),
            ReleaseReason::Unused | ReleaseReason::Cancelled => {
                self.with_health(id, EndpointHealth::on_no_news);
            }
            ReleaseReason::Done | ReleaseReason::Failed => {
                self.with_health(id, EndpointHealth::on_reached);
                self.learn(id, seen, granted_at, now);
            }
        }
    }

    /// Takes in a whole request's mean; what a slow moment stretched says nothing of the load.
    fn learn(&mut self, id: EndpointId, seen: Seen, granted_at: Timestamp, now: Timestamp) {
        let slots = self.endpoints.get(&id);
        let was_slow = slots.is_some_and(|slots| slots.health.was_slow_since(granted_at));
        if self.trusts_health(now) && (was_slow || self.is_slow_gap(seen)) {
            return;
        }
        self.learn_usual_gap(seen);
        let Some(slots) = self.endpoints.get_mut(&id) else {
            return;
        };
        let sample = Sample {
            first_token_ms: seen.first_token_ms,
            token_gap_us: seen.token_gap_us,
            running: slots.taken,
        };
        slots.limit.observe(sample, now);
    }

    /// Takes in what a running request sees of its endpoint now, nothing yet included.
    pub(super) fn judge_speed(&mut self, id: EndpointId, seen: Seen, now: Timestamp) {
        let is_silent = seen.first_token_ms.is_none() && seen.token_gap_us.is_none();
        if is_silent || self.is_slow_gap(seen) {
            self.with_health(id, |health| health.on_slow(!is_silent, now));
        } else if seen.token_gap_us.is_some() {
            self.with_health(id, |health| health.on_good(now));
        }
    }

    fn is_slow_gap(&self, seen: Seen) -> bool {
        let usual = self.usual_gap / USUAL_GAP_PARTS;
        let gap = seen.token_gap_us.map_or(0, u64::from);
        usual > 0 && gap > usual * SLOW_GAP_FACTOR
    }

    fn learn_usual_gap(&mut self, seen: Seen) {
        let Some(gap) = seen.token_gap_us.map(u64::from) else {
            return;
        };
        self.usual_gap = match self.usual_gap / USUAL_GAP_PARTS {
            0 => gap * USUAL_GAP_PARTS,
            usual => self.usual_gap - usual + gap,
        };
    }

    fn with_health(&mut self, id: EndpointId, step: impl FnOnce(&mut EndpointHealth)) {
        if let Some(slots) = self.endpoints.get_mut(&id) {
            step(&mut slots.health);
        }
    }

    /// Lets full endpoints grow, as work waits; says whether one did.
    pub(super) fn grow(&mut self, now: Timestamp) -> bool {
        let mut has_grown = false;
        for slots in self.endpoints.values_mut() {
            if slots.taken >= slots.limit.get() && !slots.health.is_paused(now) {
                has_grown |= slots.limit.grow(now);
            }
        }
        has_grown
    }
}

#[cfg(test)]
mod tests;
