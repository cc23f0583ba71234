//! Weighted virtual time over the members of one level.
//!
//! Only members that wait, or that have been served ahead of the others, have
//! state: a member without state is the same as one that stands at the floor.
//! See `docs/design/fairness.md`.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Virtual time advances by this much for one cost unit at weight 1.
const VIRTUAL_TIME_SCALE: i128 = 1 << 20;

#[derive(Debug)]
struct Member {
    weight: u32,
    virtual_time: i128,
    is_waiting: bool,
}

/// Members in the order of their virtual time.
#[derive(Debug)]
pub(super) struct ServiceOrder<K> {
    members: HashMap<K, Member>,
    /// Members that wait, the next to be served first.
    waiting: BTreeSet<(i128, K)>,
    /// Members that don't wait but are ahead of the floor.
    ahead: BTreeSet<(i128, K)>,
    /// The virtual time of the member that was served last; it never goes back.
    floor: i128,
    /// How far corrections move a member of weight 1 from the floor.
    repayment_max: i128,
}

impl<K: Copy + Ord + Hash> ServiceOrder<K> {
    /// Starts without members; a correction moves a member at most `repayment_max` cost units.
    pub(super) fn new(repayment_max: u64) -> Self {
        Self {
            members: HashMap::new(),
            waiting: BTreeSet::new(),
            ahead: BTreeSet::new(),
            floor: 0,
            repayment_max: i128::from(repayment_max) * VIRTUAL_TIME_SCALE,
        }
    }

    /// Gives the number of members that have state.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.members.len()
    }

    /// Gives the waiting member that is served next.
    pub(super) fn first(&self) -> Option<K> {
        self.waiting.first().map(|(_, key)| *key)
    }

    /// Gives the waiting members, the next to be served first.
    pub(super) fn iter_waiting(&self) -> impl Iterator<Item = K> {
        self.waiting.iter().map(|(_, key)| *key)
    }

    /// Marks a member as waiting, no lower than the floor, so that idleness is not saved up.
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

    /// Raises the floor to a member that is about to be served.
    pub(super) fn serve(&mut self, key: K) {
        if let Some(member) = self.members.get(&key) {
            self.floor = self.floor.max(member.virtual_time);
        }
    }

    /// Moves a member by a cost, up or down, within what is ever repaid.
    ///
    /// A member without state gets it when it is moved ahead of the floor.
    pub(super) fn charge(&mut self, key: K, weight: u32, cost: i128) {
        let floor = self.floor;
        let repayment_max = self.repayment_max;
        self.update(key, weight, cost > 0, |member| {
            let weight = i128::from(member.weight);
            let furthest = repayment_max / weight;
            let moved = member.virtual_time + cost * VIRTUAL_TIME_SCALE / weight;
            member.virtual_time = moved.clamp(floor - furthest, floor + furthest);
        });
    }

    /// Takes in a new weight.
    pub(super) fn set_weight(&mut self, key: K, weight: u32) {
        if let Some(member) = self.members.get_mut(&key) {
            member.weight = weight.max(1);
        }
    }

    /// Drops members that don't wait and that the floor has caught up with, and gives them.
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

    fn update(&mut self, key: K, weight: u32, create: bool, step: impl FnOnce(&mut Member)) {
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
        let place = (member.virtual_time, key);
        self.waiting.remove(&place);
        self.ahead.remove(&place);
        step(member);
        let place = (member.virtual_time, key);
        match member.is_waiting {
            true => self.waiting.insert(place),
            false => self.ahead.insert(place),
        };
    }
}

#[cfg(test)]
mod tests;
