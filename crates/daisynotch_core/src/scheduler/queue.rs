//! Two-level fair queueing by weighted virtual time.
//!
//! Shares are ordered by service divided by share weight, the teams of a share by service
//! divided by team weight; a team without a share is ordered among the shares. A grant
//! charges the hint, scaled by the recent error of the team's hints; progress and the end
//! of the work correct the charge to the actual cost. See `docs/design/fairness.md`.

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

/// The number of a team's first tickets that are searched for one to serve out of order.
const LOOK_AHEAD_TICKETS: usize = 16;

/// The share of a team and the weights of both.
#[derive(Debug, Clone, Copy)]
pub(super) struct TeamShare {
    pub(super) share: ShareKey,
    pub(super) share_weight: u32,
    pub(super) weight: u32,
}

/// The waiting tickets of a team.
#[derive(Debug, Default)]
struct TeamQueue {
    /// Waiting tickets by arrival number.
    tickets: BTreeMap<u64, TicketKey>,
    hints: HintAccuracy,
}

/// The teams of a share.
#[derive(Debug)]
struct ShareQueue {
    order: ServiceOrder<TeamId>,
    teams: HashMap<TeamId, TeamQueue>,
}

/// Waiting tickets by share and team, in order of virtual time.
#[derive(Debug)]
pub(super) struct FairQueue {
    repayment_max: Cost,
    catalogue: Arc<Catalogue>,
    order: ServiceOrder<ShareKey>,
    shares: HashMap<ShareKey, ShareQueue>,
    /// The arrival number of each waiting ticket.
    arrival_numbers: HashMap<TicketKey, u64>,
    next_arrival_number: u64,
}

impl FairQueue {
    /// Creates an empty queue; a correction moves a team of weight 1 by at most `repayment_max`.
    pub(super) fn new(repayment_max: Cost, catalogue: Arc<Catalogue>) -> Self {
        Self {
            repayment_max,
            catalogue,
            order: ServiceOrder::new(repayment_max.0),
            shares: HashMap::new(),
            arrival_numbers: HashMap::new(),
            next_arrival_number: 0,
        }
    }

    /// Applies the weights of a new revision.
    ///
    /// A team that moved to another share keeps its waiting tickets.
    pub(super) fn configure(&mut self, catalogue: Arc<Catalogue>) {
        let mut waiting: Vec<(u64, TeamId, TicketKey)> = Vec::new();
        for (share, queue) in &mut self.shares {
            for (id, team) in &queue.teams {
                let team_share = team_share(&catalogue, *id);
                queue.order.set_weight(*id, team_share.weight);
                if team_share.share == *share {
                    self.order.set_weight(*share, team_share.share_weight);
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

    /// Adds a ticket behind the team's other tickets.
    pub(super) fn push(&mut self, id: TeamId, key: TicketKey) {
        let team_share = team_share(&self.catalogue, id);
        let number = self.next_arrival_number;
        self.next_arrival_number += 1;
        self.arrival_numbers.insert(key, number);
        let was_waiting = self.is_share_waiting(team_share.share);
        let share = self.share_mut(team_share.share);
        let team = share.teams.entry(id).or_default();
        let is_first = team.tickets.is_empty();
        team.tickets.insert(number, key);
        if is_first {
            share.order.start_waiting(id, team_share.weight);
        }
        if !was_waiting {
            self.order
                .start_waiting(team_share.share, team_share.share_weight);
        }
    }

    /// Removes a ticket without charging its team.
    pub(super) fn remove(&mut self, id: TeamId, key: TicketKey) {
        let Some(number) = self.arrival_numbers.remove(&key) else {
            return;
        };
        let share_key = team_share(&self.catalogue, id).share;
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

    /// Returns the ticket that is served next.
    pub(super) fn peek(&self) -> Option<TicketKey> {
        self.next_tickets(1).next()
    }

    /// Returns the next ticket that `accepts` accepts.
    ///
    /// Only the first [`LOOK_AHEAD_TICKETS`] of each team are considered.
    pub(super) fn first_where(&self, accepts: impl Fn(&TicketKey) -> bool) -> Option<TicketKey> {
        self.next_tickets(LOOK_AHEAD_TICKETS).find(accepts)
    }

    /// Returns the first tickets of every waiting team, in service order.
    fn next_tickets(&self, count: usize) -> impl Iterator<Item = TicketKey> {
        let shares = self.order.iter_waiting().map(|key| &self.shares[&key]);
        shares.flat_map(move |share| {
            let teams = share.order.iter_waiting();
            teams.flat_map(move |id| share.teams[&id].tickets.values().take(count).copied())
        })
    }

    /// Returns the teams with waiting tickets and the number of these tickets.
    pub(super) fn waiting_teams(&self) -> impl Iterator<Item = (TeamId, usize)> {
        let teams = self.shares.values().flat_map(|share| &share.teams);
        teams
            .filter(|(_, team)| !team.tickets.is_empty())
            .map(|(id, team)| (*id, team.tickets.len()))
    }

    /// Returns whether a team has waiting tickets.
    pub(super) fn is_waiting(&self, id: TeamId) -> bool {
        let share = self.shares.get(&team_share(&self.catalogue, id).share);
        let team = share.and_then(|share| share.teams.get(&id));
        team.is_some_and(|team| !team.tickets.is_empty())
    }

    /// Removes a ticket, charges its team and returns the charge.
    pub(super) fn pop(&mut self, id: TeamId, key: TicketKey, hint: Cost) -> Cost {
        let team_share = team_share(&self.catalogue, id);
        if let Some(share) = self.shares.get_mut(&team_share.share) {
            self.order.advance_floor(team_share.share);
            share.order.advance_floor(id);
        }
        let accuracy = self.shares.get(&team_share.share);
        let accuracy = accuracy.and_then(|share| share.teams.get(&id));
        let charge = accuracy.map_or(hint, |team| team.hints.expected_cost(hint));
        self.charge(team_share, id, i128::from(charge.0));
        self.remove(id, key);
        charge
    }

    /// Corrects a team's virtual time by a difference in cost, up or down.
    pub(super) fn correct(&mut self, id: TeamId, difference: i64) {
        if difference == 0 {
            return;
        }
        let team_share = team_share(&self.catalogue, id);
        self.charge(team_share, id, i128::from(difference));
        self.prune(team_share.share);
    }

    /// Records the cost of finished work to correct the team's later hints.
    pub(super) fn record_cost(&mut self, id: TeamId, hint: Cost, cost: Cost) {
        let share = self.shares.get_mut(&team_share(&self.catalogue, id).share);
        if let Some(team) = share.and_then(|share| share.teams.get_mut(&id)) {
            team.hints.record(hint, cost);
        }
    }

    /// Returns the number of teams with state.
    #[cfg(test)]
    pub(super) fn team_count(&self) -> usize {
        self.shares.values().map(|share| share.order.len()).sum()
    }

    fn charge(&mut self, team_share: TeamShare, id: TeamId, cost: i128) {
        self.order
            .charge(team_share.share, team_share.share_weight, cost);
        if cost > 0 {
            let share = self.share_mut(team_share.share);
            share.teams.entry(id).or_default();
        }
        if let Some(share) = self.shares.get_mut(&team_share.share) {
            share.order.charge(id, team_share.weight, cost);
        }
    }

    fn share_mut(&mut self, key: ShareKey) -> &mut ShareQueue {
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

    /// Drops the state of shares and teams that carries no information any more.
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

/// Returns a team's share and weights.
///
/// A team that is not in the configuration has no share and weight 1.
fn team_share(catalogue: &Catalogue, id: TeamId) -> TeamShare {
    match catalogue.teams.get(&id) {
        Some(team) => TeamShare {
            share: team.share_key,
            share_weight: team.share_weight,
            weight: team.weight,
        },
        None => TeamShare {
            share: ShareKey::Team(id),
            share_weight: 1,
            weight: 1,
        },
    }
}

#[cfg(test)]
mod tests;
