//! The order in which teams are served: weighted virtual time.
//!
//! Each team has a virtual time that advances by cost over weight as it is
//! served; the waiting team with the smallest one goes next. A team that becomes
//! backlogged starts no lower than the smallest active virtual time, so that
//! idleness is not saved up. See `docs/design/fairness.md`.

use std::collections::{BTreeSet, HashMap, VecDeque};

use crate::TeamId;
use crate::catalogue::Catalogue;
use crate::cost::Cost;

use super::TicketKey;

/// Virtual time advances by this much for one cost unit at weight 1.
const VIRTUAL_TIME_SCALE: i128 = 1 << 20;

/// Tickets of a team that may be served before the team's first.
const LOOK_AHEAD_TICKETS: usize = 16;

#[derive(Debug)]
struct TeamQueue {
    weight: u32,
    virtual_time: i128,
    tickets: VecDeque<TicketKey>,
}

/// Waiting tickets by team, in the order of virtual time.
#[derive(Debug, Default)]
pub(super) struct FairQueue {
    teams: HashMap<TeamId, TeamQueue>,
    /// Backlogged teams, the next to be served first.
    order: BTreeSet<(i128, TeamId)>,
    /// The virtual time that a newly backlogged team starts from.
    floor: i128,
    weights: HashMap<TeamId, u32>,
}

impl FairQueue {
    /// Takes in the weights of a new revision.
    pub(super) fn configure(&mut self, catalogue: &Catalogue) {
        let weight = |share_weight: u32, weight: u32| share_weight.saturating_mul(weight).max(1);
        self.weights = catalogue
            .teams
            .iter()
            .map(|(id, team)| (*id, weight(team.share_weight, team.weight)))
            .collect();
        for (id, team) in &mut self.teams {
            team.weight = self.weights.get(id).copied().unwrap_or(1);
        }
    }

    /// Adds a ticket behind the team's others.
    pub(super) fn push(&mut self, id: TeamId, key: TicketKey) {
        let weight = self.weights.get(&id).copied().unwrap_or(1);
        let floor = self.floor;
        let team = self.teams.entry(id).or_insert_with(|| TeamQueue {
            weight,
            virtual_time: floor,
            tickets: VecDeque::new(),
        });
        if team.tickets.is_empty() {
            team.virtual_time = team.virtual_time.max(floor);
            self.order.insert((team.virtual_time, id));
        }
        team.tickets.push_back(key);
    }

    /// Removes a ticket that is no longer wanted.
    pub(super) fn remove(&mut self, id: TeamId, key: TicketKey) {
        let Some(team) = self.teams.get_mut(&id) else {
            return;
        };
        let Some(position) = team.tickets.iter().position(|ticket| *ticket == key) else {
            return;
        };
        team.tickets.remove(position);
        if team.tickets.is_empty() {
            self.order.remove(&(team.virtual_time, id));
        }
    }

    /// Gives the ticket that is served next.
    pub(super) fn peek(&self) -> Option<TicketKey> {
        let (_, id) = self.order.first()?;
        self.teams[id].tickets.front().copied()
    }

    /// Gives the ticket that is served next of those that `accepts` takes.
    ///
    /// Only the first tickets of each team are looked at.
    pub(super) fn first_where(&self, accepts: impl Fn(&TicketKey) -> bool) -> Option<TicketKey> {
        let teams = self.order.iter().map(|(_, id)| &self.teams[id].tickets);
        let mut firsts = teams.flat_map(|tickets| tickets.iter().take(LOOK_AHEAD_TICKETS));
        firsts.find(|key| accepts(key)).copied()
    }

    /// Takes a ticket of a team and charges the team for it.
    pub(super) fn pop(&mut self, id: TeamId, key: TicketKey, charge: Cost) {
        let Some(team) = self.teams.get_mut(&id) else {
            return;
        };
        team.tickets.retain(|ticket| *ticket != key);
        self.order.remove(&(team.virtual_time, id));
        self.floor = self.floor.max(team.virtual_time);
        team.virtual_time += advance(i128::from(charge.0), team.weight);
        if !team.tickets.is_empty() {
            self.order.insert((team.virtual_time, id));
        }
    }

    /// Moves a team's virtual time by a difference in cost, up or down.
    pub(super) fn correct(&mut self, id: TeamId, difference: i64) {
        let Some(team) = self.teams.get_mut(&id) else {
            return;
        };
        let is_waiting = !team.tickets.is_empty();
        if is_waiting {
            self.order.remove(&(team.virtual_time, id));
        }
        team.virtual_time += advance(i128::from(difference), team.weight);
        if is_waiting {
            self.order.insert((team.virtual_time, id));
        }
    }
}

fn advance(cost: i128, weight: u32) -> i128 {
    cost * VIRTUAL_TIME_SCALE / i128::from(weight)
}

#[cfg(test)]
mod tests;
