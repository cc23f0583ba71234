//! Weighted virtual time over the members of one level.
//!
//! Only members that wait or whose virtual time is ahead of the floor have state: a member
//! without state is equivalent to one at the floor.
//! See `docs/design/fairness.md`.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// The virtual time per cost unit at weight 1.
const VIRTUAL_TIME_SCALE: i128 = 1 << 20;

#[derive(Debug)]
struct Member {
    weight: u32,
    virtual_time: i128,
    is_waiting: bool,
}

/// Members in order of their virtual time.
#[derive(Debug)]
pub(super) struct ServiceOrder<K> {
    members: HashMap<K, Member>,
    /// Waiting members in service order.
    waiting: BTreeSet<(i128, K)>,
    /// Members that don't wait and whose virtual time is ahead of the floor.
    ahead: BTreeSet<(i128, K)>,
    /// The highest virtual time at which a member was served; it never decreases.
    floor: i128,
    /// The maximum distance of a member of weight 1 from the floor after a correction.
    repayment_max: i128,
}

impl<K: Copy + Ord + Hash> ServiceOrder<K> {
    /// Creates an order without members.
    ///
    /// A correction moves a member of weight 1 to at most `repayment_max` cost units from the
    /// floor.
    pub(super) fn new(repayment_max: u64) -> Self {
        Self {
            members: HashMap::new(),
            waiting: BTreeSet::new(),
            ahead: BTreeSet::new(),
            floor: 0,
            repayment_max: i128::from(repayment_max) * VIRTUAL_TIME_SCALE,
        }
    }

    /// Returns the number of members with state.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns the waiting member that is served next.
    pub(super) fn first(&self) -> Option<K> {
        self.waiting.first().map(|(_, key)| *key)
    }

    /// Returns the waiting members in service order.
    pub(super) fn iter_waiting(&self) -> impl Iterator<Item = K> {
        self.waiting.iter().map(|(_, key)| *key)
    }

    /// Marks a member as waiting and raises it to the floor, so it earns no credit while idle.
    pub(super) fn start_waiting(&mut self, key: K, weight: u32) {
        let floor = self.floor;
        self.update(key, weight, true, |member| {
            member.virtual_time = member.virtual_time.max(floor);
            member.is_waiting = true;
        });
    }

    /// Marks a member as not waiting.
    pub(super) fn stop_waiting(&mut self, key: K) {
        self.update(key, 1, false, |member| member.is_waiting = false);
    }

    /// Raises the floor to the virtual time of a member that is about to be served.
    pub(super) fn advance_floor(&mut self, key: K) {
        if let Some(member) = self.members.get(&key) {
            self.floor = self.floor.max(member.virtual_time);
        }
    }

    /// Moves a member's virtual time by a cost, up or down, within `repayment_max`.
    ///
    /// A positive cost creates the state of a member that has none.
    pub(super) fn charge(&mut self, key: K, weight: u32, cost: i128) {
        let floor = self.floor;
        let repayment_max = self.repayment_max;
        self.update(key, weight, cost > 0, |member| {
            let weight = i128::from(member.weight);
            let max_distance = repayment_max / weight;
            let moved = member.virtual_time + cost * VIRTUAL_TIME_SCALE / weight;
            member.virtual_time = moved.clamp(floor - max_distance, floor + max_distance);
        });
    }

    /// Sets the weight of a member that has state.
    pub(super) fn set_weight(&mut self, key: K, weight: u32) {
        if let Some(member) = self.members.get_mut(&key) {
            member.weight = weight.max(1);
        }
    }

    /// Removes and returns the members that don't wait and are no longer ahead of the floor.
    pub(super) fn prune(&mut self) -> Vec<K> {
        let mut pruned = Vec::new();
        while let Some((virtual_time, key)) = self.ahead.first().copied() {
            if virtual_time > self.floor {
                break;
            }
            self.ahead.pop_first();
            self.members.remove(&key);
            pruned.push(key);
        }
        pruned
    }

    /// Changes a member and keeps the ordered sets consistent.
    fn update(&mut self, key: K, weight: u32, create: bool, change: impl FnOnce(&mut Member)) {
        let floor = self.floor;
        let new = || Member {
            weight: weight.max(1),
            virtual_time: floor,
            is_waiting: false,
        };
        if create {
            self.members.entry(key).or_insert_with(new);
        }
        let Some(member) = self.members.get_mut(&key) else {
            return;
        };
        let position = (member.virtual_time, key);
        self.waiting.remove(&position);
        self.ahead.remove(&position);
        change(member);
        let position = (member.virtual_time, key);
        match member.is_waiting {
            true => self.waiting.insert(position),
            false => self.ahead.insert(position),
        };
    }
}

#[cfg(test)]
mod tests;
