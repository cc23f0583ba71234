//! The order in which teams are served: weighted virtual time on two levels.
//!
//! Shares are ordered by service over share weight, the teams of a share by
//! service over team weight; a team without a share stands beside the shares. The
//! charge at a grant is the hint, corrected by how far the team's hints were off
//! lately; progress and the end of the work correct it to the truth. See
//! `docs/design/fairness.md`.

mod hints;
mod order;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::TeamId;
use crate::catalogue::{Catalogue, ShareKey};
use crate::cost::Cost;

use super::TicketKey;
use hints::HintAccuracy;
use order::ServiceOrder;

/// Tickets of a team that may be served before the team's first.
const LOOK_AHEAD_TICKETS: usize = 16;

/// A team's place on the two levels.
#[derive(Debug, Clone, Copy)]
pub(super) struct Placement {
    pub(super) share: ShareKey,
    pub(super) share_weight: u32,
    pub(super) weight: u32,
}

#[derive(Debug, Default)]
struct TeamQueue {
    /// Tickets by the number under which they came.
    tickets: BTreeMap<u64, TicketKey>,
    hints: HintAccuracy,
}

#[derive(Debug)]
struct ShareQueue {
    order: ServiceOrder<TeamId>,
    teams: HashMap<TeamId, TeamQueue>,
}

/// Waiting tickets by share and team, in the order of virtual time.
#[derive(Debug)]
pub(super) struct FairQueue {
    repayment_max: Cost,
    catalogue: Arc<Catalogue>,
    order: ServiceOrder<ShareKey>,
    shares: HashMap<ShareKey, ShareQueue>,
    /// The number under which each waiting ticket came.
    numbers: HashMap<TicketKey, u64>,
    next_number: u64,
}

impl FairQueue {
    /// Starts without tickets; a correction moves a team at most by `repayment_max`.
    pub(super) fn new(repayment_max: Cost, catalogue: Arc<Catalogue>) -> Self {
        Self {
            repayment_max,
            catalogue,
            order: ServiceOrder::new(repayment_max.0),
            shares: HashMap::new(),
            numbers: HashMap::new(),
            next_number: 0,
        }
    }

    /// Takes in the weights of a new revision.
    ///
    /// A team that moved to another share keeps its waiting tickets.
    pub(super) fn configure(&mut self, catalogue: Arc<Catalogue>) {
        let mut waiting: Vec<(u64, TeamId, TicketKey)> = Vec::new();
        for (share, queue) in &mut self.shares {
            for (id, team) in &queue.teams {
                let placement = placement(&catalogue, *id);
                queue.order.set_weight(*id, placement.weight);
                if placement.share == *share {
                    self.order.set_weight(*share, placement.share_weight);
                } else {
                    let tickets = team.tickets.iter();
                    waiting.extend(tickets.map(|(number, key)| (*number, *id, *key)));
                }
            }
        }
        waiting.sort_unstable();
        for (_, id, key) in &waiting {
            self.remove(*id, *key);
        }
        self.catalogue = catalogue;
        for (_, id, key) in waiting {
            self.push(id, key);
        }
    }

    /// Adds a ticket behind the team's others.
    pub(super) fn push(&mut self, id: TeamId, key: TicketKey) {
        let placement = placement(&self.catalogue, id);
        let number = self.next_number;
        self.next_number += 1;
        self.numbers.insert(key, number);
        let was_waiting = self.is_share_waiting(placement.share);
        let share = self.share(placement.share);
        let team = share.teams.entry(id).or_default();
        let is_first = team.tickets.is_empty();
        team.tickets.insert(number, key);
        if is_first {
            share.order.start_waiting(id, placement.weight);
        }
        if !was_waiting {
            self.order
                .start_waiting(placement.share, placement.share_weight);
        }
    }

    /// Removes a ticket that is no longer wanted.
    pub(super) fn remove(&mut self, id: TeamId, key: TicketKey) {
        let Some(number) = self.numbers.remove(&key) else {
            return;
        };
        let share_key = placement(&self.catalogue, id).share;
        let Some(share) = self.shares.get_mut(&share_key) else {
            return;
        };
        let Some(team) = share.teams.get_mut(&id) else {
            return;
        };
        team.tickets.remove(&number);
        if team.tickets.is_empty() {
            share.order.stop_waiting(id);
        }
        if share.order.first().is_none() {
            self.order.stop_waiting(share_key);
        }
        self.prune(share_key);
    }

    /// Gives the ticket that is served next.
    pub(super) fn peek(&self) -> Option<TicketKey> {
        self.firsts(1).next()
    }

    /// Gives the ticket that is served next of those that `accepts` takes.
    ///
    /// Only the first tickets of each team are looked at.
    pub(super) fn first_where(&self, accepts: impl Fn(&TicketKey) -> bool) -> Option<TicketKey> {
        self.firsts(LOOK_AHEAD_TICKETS).find(accepts)
    }

    /// Gives the first tickets of every waiting team, the next to be served first.
    fn firsts(&self, count: usize) -> impl Iterator<Item = TicketKey> {
        let shares = self.order.iter_waiting().map(|key| &self.shares[&key]);
        shares.flat_map(move |share| {
            let teams = share.order.iter_waiting();
            teams.flat_map(move |id| share.teams[&id].tickets.values().take(count).copied())
        })
    }

    /// Gives the teams that wait, with the number of their tickets.
    pub(super) fn waiting_teams(&self) -> impl Iterator<Item = (TeamId, usize)> {
        let teams = self.shares.values().flat_map(|share| &share.teams);
        teams
            .filter(|(_, team)| !team.tickets.is_empty())
            .map(|(id, team)| (*id, team.tickets.len()))
    }

    /// Says whether a team waits.
    pub(super) fn is_waiting(&self, id: TeamId) -> bool {
        let share = self.shares.get(&placement(&self.catalogue, id).share);
        let team = share.and_then(|share| share.teams.get(&id));
        team.is_some_and(|team| !team.tickets.is_empty())
    }

    /// Takes a team's ticket and charges the team for it; gives what was charged.
    pub(super) fn pop(&mut self, id: TeamId, key: TicketKey, hint: Cost) -> Cost {
        let placement = placement(&self.catalogue, id);
        if let Some(share) = self.shares.get_mut(&placement.share) {
            self.order.serve(placement.share);
            share.order.serve(id);
        }
        let accuracy = self.shares.get(&placement.share);
        let accuracy = accuracy.and_then(|share| share.teams.get(&id));
        let charge = accuracy.map_or(hint, |team| team.hints.expect(hint));
        self.charge(placement, id, i128::from(charge.0));
        self.remove(id, key);
        charge
    }

    /// Moves a team's virtual time by a difference in cost, up or down.
    pub(super) fn correct(&mut self, id: TeamId, difference: i64) {
        if difference == 0 {
            return;
        }
        let placement = placement(&self.catalogue, id);
        self.charge(placement, id, i128::from(difference));
        self.prune(placement.share);
    }

    /// Takes in what finished work cost, so that the team's next hints are judged by it.
    pub(super) fn learn(&mut self, id: TeamId, hint: Cost, cost: Cost) {
        let share = self.shares.get_mut(&placement(&self.catalogue, id).share);
        if let Some(team) = share.and_then(|share| share.teams.get_mut(&id)) {
            team.hints.learn(hint, cost);
        }
    }

    /// Gives the number of teams that have state.
    #[cfg(test)]
    pub(super) fn team_count(&self) -> usize {
        self.shares.values().map(|share| share.order.len()).sum()
    }

    fn charge(&mut self, placement: Placement, id: TeamId, cost: i128) {
        self.order
            .charge(placement.share, placement.share_weight, cost);
        if cost > 0 {
            let share = self.share(placement.share);
            share.teams.entry(id).or_default();
        }
        if let Some(share) = self.shares.get_mut(&placement.share) {
            share.order.charge(id, placement.weight, cost);
        }
    }

    fn share(&mut self, key: ShareKey) -> &mut ShareQueue {
        let repayment_max = self.repayment_max;
        self.shares.entry(key).or_insert_with(|| ShareQueue {
            order: ServiceOrder::new(repayment_max.0),
            teams: HashMap::new(),
        })
    }

    fn is_share_waiting(&self, key: ShareKey) -> bool {
        let share = self.shares.get(&key);
        share.is_some_and(|share| share.order.first().is_some())
    }

    /// Drops state that says nothing any more.
    fn prune(&mut self, share_key: ShareKey) {
        for key in self.order.prune() {
            self.shares.remove(&key);
        }
        let Some(share) = self.shares.get_mut(&share_key) else {
            return;
        };
        for id in share.order.prune() {
            share.teams.remove(&id);
        }
    }
}

/// Finds a team's place; one that the objects don't have stands alone with weight 1.
fn placement(catalogue: &Catalogue, id: TeamId) -> Placement {
    match catalogue.teams.get(&id) {
        Some(team) => Placement {
            share: team.share_key,
            share_weight: team.share_weight,
            weight: team.weight,
        },
        None => Placement {
            share: ShareKey::Team(id),
            share_weight: 1,
            weight: 1,
        },
    }
}

#[cfg(test)]
mod tests;
