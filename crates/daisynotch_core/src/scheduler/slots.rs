//! The slots of a shard's endpoints and the choice of an endpoint for a ticket.
//!
//! See `docs/design/slots.md`.

use std::collections::BTreeMap;

use crate::catalogue::Catalogue;
use crate::message::{LengthClass, ReleaseReason, ShardId, Ticket};
use crate::time::Timestamp;
use crate::{EndpointId, PoolKind};

use super::endpoint_health::{EndpointHealth, Health};
use super::length::{long_slot_quota, overflow_slots};
use super::prefixes::Prefixes;
use super::slot_limit::{Sample, SlotLimit};

/// A gap between tokens is slow if it exceeds the shard's average by this factor.
const SLOW_GAP_FACTOR: u64 = 2;
/// A new gap has weight `1 / SMOOTHING_DIVISOR` in the moving average.
const SMOOTHING_DIVISOR: u64 = 32;
/// A slow endpoint may fill `1 / SLOW_SLOTS_DIVISOR` of its slots, if no other has a free one.
const SLOW_SLOTS_DIVISOR: u32 = 4;

/// Whether long work may take slots beyond its quota.
#[daisynotch_macros::value]
#[derive(Copy)]
pub(super) enum LongQuota {
    /// Long work keeps to its quota, since short work waits or may arrive.
    Enforced,
    /// Only long work waits, so it may use slots that would stay idle.
    MayExceed,
}

/// The latency that a request observed at its endpoint.
#[daisynotch_macros::value]
#[derive(Copy, Default)]
pub(super) struct ObservedLatency {
    pub(super) first_token_ms: Option<u32>,
    pub(super) token_gap_us: Option<u32>,
}

/// The slots of an endpoint.
#[derive(Debug, Clone)]
struct Slots {
    limit: SlotLimit,
    health: EndpointHealth,
    taken: u32,
    taken_long: u32,
    leaving: bool,
}

impl Slots {
    /// Returns whether work of a class may take a slot, regardless of the endpoint's health.
    fn has_slot_for(&self, class: LengthClass, quota: LongQuota) -> bool {
        let limit = self.limit.get();
        match class {
            LengthClass::Short => self.taken < limit + overflow_slots(limit, self.taken_long),
            LengthClass::Long => {
                let within_quota = self.taken_long < long_slot_quota(limit);
                self.taken < limit && (within_quota || quota == LongQuota::MayExceed)
            }
        }
    }
}

/// The slots of a shard's endpoints.
#[derive(Debug, Default)]
pub(super) struct EndpointSlots {
    endpoints: BTreeMap<EndpointId, Slots>,
    prefixes: Prefixes,
    /// The moving average of the gap between tokens, in microseconds times
    /// [`SMOOTHING_DIVISOR`]; zero before the first gap.
    scaled_mean_gap: u64,
}

impl EndpointSlots {
    /// Applies the endpoints of a new revision; taken slots stay taken.
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

    /// Returns whether an endpoint is present, which includes leaving ones with taken slots.
    pub(super) fn has_endpoint(&self, id: EndpointId) -> bool {
        self.endpoints.contains_key(&id)
    }

    /// Returns the number of slots of all endpoints that accept new work.
    pub(super) fn total(&self) -> u32 {
        let accepting = self.endpoints.values().filter(|slots| !slots.leaving);
        accepting.map(|slots| slots.limit.get()).sum()
    }

    /// Returns the number of free slots of all endpoints that accept new work.
    pub(super) fn free(&self) -> u32 {
        let accepting = self.endpoints.values().filter(|slots| !slots.leaving);
        accepting
            .map(|slots| slots.limit.get().saturating_sub(slots.taken))
            .sum()
    }

    /// Chooses an endpoint with a free slot.
    ///
    /// Prefers healthy endpoints, then those that the ticket doesn't avoid, then the one that
    /// served the prefix last, then, for long work, the one with the least long work, then the
    /// least loaded.
    pub(super) fn choose(
        &self,
        ticket: &Ticket,
        quota: LongQuota,
        worst: Health,
        now: Timestamp,
    ) -> Option<EndpointId> {
        let is_minority_slow = self.is_minority_slow(now);
        let all_unreachable = self.are_all_unreachable();
        let health_of = |slots: &Slots| {
            let health = match all_unreachable {
                true => slots.health.health_as_last_resort(now),
                false => slots.health.health(slots.taken, now),
            };
            let is_second_attempt = ticket.avoid.is_some();
            match health {
                Health::Slow if !is_minority_slow => Health::Healthy,
                // A second attempt is late already and must not be the probe of a slow endpoint.
                Health::Healthy if is_second_attempt && slots.health.is_paused(now) => Health::Slow,
                Health::Healthy | Health::Slow | Health::Unreachable => health,
            }
        };
        let cached = ticket
            .prefix
            .and_then(|prefix| self.prefixes.endpoint_of(prefix));
        let taken_long = |slots: &Slots| match ticket.class {
            LengthClass::Short => 0,
            LengthClass::Long => slots.taken_long,
        };
        let rank = |id: EndpointId, slots: &Slots| {
            let load = slots.taken * 1_000 / slots.limit.get();
            let is_avoided = ticket.avoid == Some(id);
            (
                health_of(slots),
                is_avoided,
                cached != Some(id),
                taken_long(slots),
                load,
                id,
            )
        };
        let is_free = |slots: &Slots| {
            let health = health_of(slots);
            let has_room = match health {
                Health::Healthy => true,
                Health::Slow => slots.taken < slots.limit.get().div_ceil(SLOW_SLOTS_DIVISOR),
                Health::Unreachable => false,
            };
            let has_room = has_room && health <= worst;
            !slots.leaving && has_room && slots.has_slot_for(ticket.class, quota)
        };
        let free = self.endpoints.iter().filter(|(_, slots)| is_free(slots));
        free.min_by_key(|(id, slots)| rank(**id, slots))
            .map(|(id, _)| *id)
    }

    /// Returns whether at most half of the endpoints are slow.
    ///
    /// If more are slow, the cause is the load and not the endpoints.
    fn is_minority_slow(&self, now: Timestamp) -> bool {
        let is_slow = |slots: &&Slots| slots.health.health(slots.taken, now) == Health::Slow;
        let slow = self.endpoints.values().filter(is_slow).count();
        slow * 2 <= self.endpoints.len()
    }

    fn are_all_unreachable(&self) -> bool {
        let mut accepting = self.endpoints.values().filter(|slots| !slots.leaving);
        accepting.all(|slots| slots.health.is_unreachable())
    }

    /// Takes a slot for a granted ticket.
    pub(super) fn grant(&mut self, id: EndpointId, ticket: &Ticket, now: Timestamp) {
        if let Some(prefix) = ticket.prefix {
            self.prefixes.record(prefix, id);
        }
        if let Some(slots) = self.endpoints.get_mut(&id) {
            slots.health.on_granted(now);
        }
        self.take(id, ticket.class);
    }

    /// Takes a slot, even beyond the limit, since the work may be running already.
    pub(super) fn take(&mut self, id: EndpointId, class: LengthClass) {
        let Some(slots) = self.endpoints.get_mut(&id) else {
            return;
        };
        slots.taken += 1;
        if class == LengthClass::Long {
            slots.taken_long += 1;
        }
    }

    /// Reclassifies work that holds a slot as long.
    pub(super) fn mark_long(&mut self, id: EndpointId) {
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

    /// Records how a dispatch ended, before its slot is freed.
    pub(super) fn on_ended(
        &mut self,
        id: EndpointId,
        reason: ReleaseReason,
        latency: ObservedLatency,
        granted_at: Timestamp,
        now: Timestamp,
    ) {
        match reason {
            ReleaseReason::Unreachable => self.with_health(id, |health| health.on_unreachable(now)),
            ReleaseReason::Unused | ReleaseReason::Cancelled => {
                self.with_health(id, EndpointHealth::on_no_observation);
            }
            ReleaseReason::Done | ReleaseReason::Failed => {
                self.with_health(id, EndpointHealth::on_reached);
                self.record_sample(id, latency, granted_at, now);
            }
        }
    }

    /// Records the mean latency of a finished request as a sample for the slot limit.
    ///
    /// A request that ran while its endpoint was slow is ignored, since its latency doesn't
    /// reflect the load.
    fn record_sample(
        &mut self,
        id: EndpointId,
        latency: ObservedLatency,
        granted_at: Timestamp,
        now: Timestamp,
    ) {
        let slots = self.endpoints.get(&id);
        let was_slow = slots.is_some_and(|slots| slots.health.was_slow_since(granted_at));
        if self.is_minority_slow(now) && (was_slow || self.is_slow_gap(latency)) {
            return;
        }
        self.record_gap(latency);
        let Some(slots) = self.endpoints.get_mut(&id) else {
            return;
        };
        let sample = Sample {
            first_token_ms: latency.first_token_ms,
            token_gap_us: latency.token_gap_us,
            running: slots.taken,
        };
        slots.limit.observe(sample, now);
    }

    /// Updates the endpoint's health from a running request.
    ///
    /// A report without any latency means that the first token is late.
    pub(super) fn record_progress(
        &mut self,
        id: EndpointId,
        latency: ObservedLatency,
        now: Timestamp,
    ) {
        let has_no_latency = latency.first_token_ms.is_none() && latency.token_gap_us.is_none();
        if has_no_latency || self.is_slow_gap(latency) {
            self.with_health(id, |health| health.on_slow(!has_no_latency, now));
        } else if latency.token_gap_us.is_some() {
            self.with_health(id, |health| health.on_normal_speed(now));
        }
    }

    fn is_slow_gap(&self, latency: ObservedLatency) -> bool {
        let mean = self.scaled_mean_gap / SMOOTHING_DIVISOR;
        let gap = latency.token_gap_us.map_or(0, u64::from);
        mean > 0 && gap > mean * SLOW_GAP_FACTOR
    }

    fn record_gap(&mut self, latency: ObservedLatency) {
        let Some(gap) = latency.token_gap_us.map(u64::from) else {
            return;
        };
        self.scaled_mean_gap = match self.scaled_mean_gap / SMOOTHING_DIVISOR {
            0 => gap * SMOOTHING_DIVISOR,
            mean => self.scaled_mean_gap - mean + gap,
        };
    }

    fn with_health(&mut self, id: EndpointId, update: impl FnOnce(&mut EndpointHealth)) {
        if let Some(slots) = self.endpoints.get_mut(&id) {
            update(&mut slots.health);
        }
    }

    /// Raises the limits of full endpoints while work waits; returns whether one grew.
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
