//! Divides the limit of one endpoint among the routers.
//!
//! At hundreds of routers an equal part is less than one request, and whole requests from all of
//! them would add up to several times the limit. A few routers therefore hold the limit of an
//! endpoint, chosen by rendezvous hashing so that all routers choose alike without asking.

use std::time::Duration;

use daisynotch_objects::{EndpointId, RouterId};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::RequestRate;
use crate::seeded_fault::{SeededFault, is_seeded};

/// Maximum number of routers that hold the limit of one endpoint.
const HOLDERS_MAX: usize = 4;
/// Mean interval between the requests of one holder up to which a limit gets another one.
const HOLDER_INTERVAL: Duration = Duration::from_secs(2);
/// Requests that all holders of one endpoint together may send at once after a pause, beside what
/// the limit allows in [`BURST_TIME`].
const BURST_REQUESTS: f64 = 5.0;
const BURST_TIME: Duration = Duration::from_millis(400);
/// Part of a cold endpoint's limit whose holders may be silent for it to be given to others: as much
/// as may be sent in addition if they still run.
const SILENT_FRACTION_MAX: f64 = 0.34;

/// What all holders of one limit together may send.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Budget {
    pub(crate) per_s: f64,
    /// Requests that may be sent at once after a pause.
    pub(crate) burst: f64,
}

impl Budget {
    /// Lower bound of the rate that is divided: with fewer requests, nobody learns that a limit
    /// ended.
    pub(crate) const RATE_MIN_PER_S: f64 = 0.25;

    /// Returns what keeps both limits.
    pub(super) fn within(self, other: Self) -> Self {
        Self {
            per_s: self.per_s.min(other.per_s),
            burst: self.burst.min(other.burst),
        }
    }
}

impl From<RequestRate> for Budget {
    /// Returns what a stated limit allows; its bursts are for windows of 4 s.
    fn from(limit: RequestRate) -> Self {
        let per_s = limit.per_s().max(Self::RATE_MIN_PER_S);
        Self {
            per_s,
            burst: BURST_REQUESTS + per_s * BURST_TIME.as_secs_f64(),
        }
    }
}

/// A router among which limits are divided.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Member {
    pub(super) router: RouterId,
    /// The router's demand relative to that of the others.
    pub(super) weight: f64,
}

/// What one router may send to one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Part {
    pub(super) per_s: f64,
    /// Requests that may be sent at once after a pause.
    pub(super) burst: f64,
}

/// Returns the part of `own` in an endpoint's limit; zero if it is no holder.
pub(super) fn part_of(
    own: RouterId,
    endpoint: EndpointId,
    budget: impl Into<Budget>,
    members: &[Member],
) -> Part {
    let budget = budget.into();
    let limit_per_s = budget.per_s;
    if is_seeded(SeededFault::KeepWholeLimit) {
        let burst = BURST_REQUESTS;
        return Part {
            per_s: limit_per_s,
            burst,
        };
    }
    if is_seeded(SeededFault::DivideAmongAll) {
        let per_s = limit_per_s / members.len().max(1) as f64;
        return Part { per_s, burst: 1.0 };
    }
    part_among(own, budget, &holders(endpoint, budget, members))
}

/// Returns the part of `own` in a cold endpoint's limit. `settled` are the members before some of them
/// fell silent; `present` are those that are not.
///
/// Many silent holders are more likely cut off than dead, and use their parts on. Only the parts of
/// few are given to others. A router that does not know what was before holds nothing until the
/// silent ones are forgotten.
pub(super) fn cold_part_of(
    own: RouterId,
    endpoint: EndpointId,
    budget: Budget,
    present: &[Member],
    settled: &[Member],
) -> Part {
    if settled != present && !is_seeded(SeededFault::GiveSilentParts) {
        let holders = holders(endpoint, budget, settled);
        let is_silent = |member: &Member| present.iter().all(|other| other.router != member.router);
        let silent = holders.iter().filter(|(_, member)| is_silent(member));
        let silent: f64 = silent.map(|(_, member)| member.weight).sum();
        if silent >= SILENT_FRACTION_MAX * weight_of(&holders) {
            // The others may have given it away if it was less than this.
            let part = part_among(own, budget, &holders);
            return Part {
                per_s: part.per_s.min(SILENT_FRACTION_MAX * budget.per_s),
                ..part
            };
        }
    }
    part_of(own, endpoint, budget, present)
}

type Holders = SmallVec<[(f64, Member); HOLDERS_MAX + 1]>;

/// Returns the members that hold a limit.
fn holders(endpoint: EndpointId, budget: Budget, members: &[Member]) -> Holders {
    let holders_max = (budget.per_s * HOLDER_INTERVAL.as_secs_f64()).min(budget.burst) as usize;
    let holders_max = holders_max.clamp(1, HOLDERS_MAX);
    // The first `holders_max` in a random order in which heavier members tend to come first.
    let mut holders = Holders::new();
    for member in members {
        let order = -unit_hash(member.router, endpoint).ln() / member.weight;
        let position = holders.partition_point(|(other, _)| *other <= order);
        if position < holders_max {
            holders.insert(position, (order, *member));
            holders.truncate(holders_max);
        }
    }
    holders
}

fn weight_of(holders: &Holders) -> f64 {
    holders.iter().map(|(_, member)| member.weight).sum()
}

fn part_among(own: RouterId, budget: Budget, holders: &Holders) -> Part {
    let own = holders.iter().find(|(_, member)| member.router == own);
    own.map_or_else(Part::default, |(_, own)| Part {
        per_s: budget.per_s * own.weight / weight_of(holders),
        burst: budget.burst / holders.len() as f64,
    })
}

/// Hashes a router and an endpoint to a number above 0 and up to 1.
fn unit_hash(router: RouterId, endpoint: EndpointId) -> f64 {
    let hash = xxh3_64_with_seed(&endpoint.0.to_le_bytes(), router.0);
    ((hash >> 11) + 1) as f64 / (1_u64 << 53) as f64
}

#[cfg(test)]
mod tests;
