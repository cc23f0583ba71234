//! What a team and its share may have open at this router, and when a refused caller comes back.
//!
//! Limits on rate and on concurrent requests hold for the fleet; each live router
//! enforces its even part of them. Queue bounds hold for one router, so that a
//! flood fills its own team's queue and nobody else's. See
//! `docs/operations/fairness.md`.

mod pace;
mod retry;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use smallvec::SmallVec;

use crate::TeamId;
use crate::catalogue::{ShareKey, TeamView};
use crate::time::Timestamp;

use super::{RefusalReason, RequestId};
use pace::{Pace, TokenBucket};
pub(super) use retry::{RetryBudget, RetrySpread};

/// Requests that wait before a long estimate of the wait is a reason to refuse.
const EARLY_REFUSAL_QUEUED_MIN: u32 = 8;
/// How long the usage of a team with nothing open is remembered.
const IDLE_USAGE_KEPT: Duration = Duration::from_secs(10);

/// Whose limits count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Holder {
    Team(TeamId),
    Share(ShareKey),
}

/// The team and the share that a request counts for.
pub(super) type Holders = SmallVec<[Holder; 2]>;

/// Whether an accepted request may ask for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Start {
    /// At once.
    Now,
    /// When another request of its team or share has ended.
    Held,
}

/// A refusal before its time to come back is spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Refused {
    pub(super) reason: RefusalReason,
    pub(super) retry_after: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Bounds {
    concurrent: Option<u32>,
    queued: Option<u32>,
    rate_per_s: Option<u32>,
}

#[derive(Debug)]
struct Usage {
    queued: u32,
    active: u32,
    /// This router's part of the concurrent requests.
    concurrent: Option<u32>,
    bucket: TokenBucket,
    pace: Pace,
    used_at: Timestamp,
}

/// The usage of every team and share with something open here.
#[derive(Debug)]
pub(super) struct TeamLimits {
    routers: u32,
    usage: HashMap<Holder, Usage>,
    /// Accepted requests that may not ask for a slot yet.
    held: BTreeMap<TeamId, BTreeSet<RequestId>>,
    expire_at: Timestamp,
}

impl Default for TeamLimits {
    fn default() -> Self {
        Self {
            routers: 1,
            usage: HashMap::new(),
            held: BTreeMap::new(),
            expire_at: Timestamp::default(),
        }
    }
}

impl TeamLimits {
    /// Sets how many routers share the limits that hold for the fleet.
    pub(super) fn set_routers(&mut self, routers: usize) {
        self.routers = u32::try_from(routers).unwrap_or(u32::MAX).max(1);
    }

    /// Gives the requests of a team that wait here.
    pub(super) fn queued(&self, team: TeamId) -> u32 {
        let usage = self.usage.get(&Holder::Team(team));
        usage.map_or(0, |usage| usage.queued)
    }

    /// Counts a request of a team as waiting, or says why it is refused.
    pub(super) fn admit(
        &mut self,
        request: RequestId,
        team: TeamId,
        view: &TeamView,
        now: Timestamp,
    ) -> Result<Start, Refused> {
        let holders = holders_of(team, view);
        for holder in &holders {
            self.check(*holder, view, now)?;
        }
        for holder in &holders {
            let usage = self.usage_of(*holder, now);
            usage.bucket.take();
            usage.queued += 1;
        }
        let is_behind = self.held.contains_key(&team);
        if is_behind || !self.may_start(&holders) {
            self.held.entry(team).or_default().insert(request);
            return Ok(Start::Held);
        }
        self.start(&holders);
        Ok(Start::Now)
    }

    /// Counts a request that did not run as waiting again.
    pub(super) fn requeue(&mut self, holders: &Holders, now: Timestamp) {
        for holder in holders {
            self.usage_of(*holder, now).queued += 1;
        }
    }

    /// Counts a request as no longer waiting.
    pub(super) fn leave_queue(&mut self, request: RequestId, team: TeamId, holders: &Holders) {
        for holder in holders {
            if let Some(usage) = self.usage.get_mut(holder) {
                usage.queued = usage.queued.saturating_sub(1);
            }
        }
        // A held request never asked for a slot, so it doesn't count as active.
        if self.unhold(team, request) {
            self.start(holders);
        }
    }

    /// Takes in that a request was dispatched.
    pub(super) fn on_dispatch(&mut self, holders: &Holders, now: Timestamp) {
        for holder in holders {
            if let Some(usage) = self.usage.get_mut(holder) {
                usage.pace.on_dispatch(usage.queued > 0, now);
            }
        }
    }

    /// Counts a request as ended.
    pub(super) fn end(&mut self, holders: &Holders) {
        for holder in holders {
            if let Some(usage) = self.usage.get_mut(holder) {
                usage.active = usage.active.saturating_sub(1);
            }
        }
    }

    /// Gives the held requests that may ask for a slot now, the least active teams first.
    pub(super) fn release_held(
        &mut self,
        holders_of: impl Fn(RequestId) -> Option<Holders>,
    ) -> Vec<RequestId> {
        let mut released = Vec::new();
        let mut teams: Vec<TeamId> = self.held.keys().copied().collect();
        teams.sort_by_key(|team| self.active(*team));
        for team in teams {
            while let Some(request) = self.held.get(&team).and_then(|held| held.first().copied()) {
                let Some(holders) = holders_of(request) else {
                    self.unhold(team, request);
                    continue;
                };
                if !self.may_start(&holders) {
                    break;
                }
                self.unhold(team, request);
                self.start(&holders);
                released.push(request);
            }
        }
        released
    }

    /// Forgets the usage of teams that have had nothing open for a while.
    pub(super) fn expire(&mut self, now: Timestamp) {
        if now < self.expire_at {
            return;
        }
        self.expire_at = now + IDLE_USAGE_KEPT;
        let is_used = |usage: &Usage| {
            usage.queued > 0 || usage.active > 0 || now.since(usage.used_at) < IDLE_USAGE_KEPT
        };
        self.usage.retain(|_, usage| is_used(usage));
    }

    fn check(&mut self, holder: Holder, view: &TeamView, now: Timestamp) -> Result<(), Refused> {
        let bounds = bounds_of(holder, view);
        let routers = self.routers;
        let usage = self.usage_of(holder, now);
        usage.concurrent = bounds
            .concurrent
            .map(|limit| limit.div_ceil(routers).max(1));
        let wait = usage.pace.expected_wait(usage.queued, now);
        let is_full = bounds.queued.is_some_and(|most| usage.queued >= most);
        let is_late = usage.queued >= EARLY_REFUSAL_QUEUED_MIN
            && wait.is_some_and(|wait| wait > view.limits.queue_timeout);
        if is_full || is_late {
            return Err(Refused {
                reason: RefusalReason::QueueFull,
                retry_after: wait.unwrap_or(view.limits.queue_timeout),
            });
        }
        match usage.bucket.refill(bounds.rate_per_s, routers, now) {
            None => Ok(()),
            Some(retry_after) => Err(Refused {
                reason: RefusalReason::RateLimited,
                retry_after,
            }),
        }
    }

    fn active(&self, team: TeamId) -> u32 {
        let usage = self.usage.get(&Holder::Team(team));
        usage.map_or(0, |usage| usage.active)
    }

    fn may_start(&self, holders: &Holders) -> bool {
        let has_room = |usage: &Usage| usage.concurrent.is_none_or(|most| usage.active < most);
        let mut usage = holders.iter().filter_map(|holder| self.usage.get(holder));
        usage.all(has_room)
    }

    fn start(&mut self, holders: &Holders) {
        for holder in holders {
            if let Some(usage) = self.usage.get_mut(holder) {
                usage.active += 1;
            }
        }
    }

    /// Takes a request off the held ones; says whether it was one.
    fn unhold(&mut self, team: TeamId, request: RequestId) -> bool {
        let Some(held) = self.held.get_mut(&team) else {
            return false;
        };
        let was_held = held.remove(&request);
        if held.is_empty() {
            self.held.remove(&team);
        }
        was_held
    }

    fn usage_of(&mut self, holder: Holder, now: Timestamp) -> &mut Usage {
        let usage = self.usage.entry(holder).or_insert_with(|| Usage {
            queued: 0,
            active: 0,
            concurrent: None,
            bucket: TokenBucket::full(now),
            pace: Pace::default(),
            used_at: now,
        });
        usage.used_at = now;
        usage
    }
}

/// Gives the team, and the share when it has limits of its own.
pub(super) fn holders_of(team: TeamId, view: &TeamView) -> Holders {
    let mut holders = Holders::new();
    holders.push(Holder::Team(team));
    if let ShareKey::Share(_) = view.share_key {
        holders.push(Holder::Share(view.share_key));
    }
    holders
}

fn bounds_of(holder: Holder, view: &TeamView) -> Bounds {
    match holder {
        Holder::Team(_) => Bounds {
            concurrent: view.limits.concurrent_requests,
            queued: Some(view.limits.queued_requests),
            rate_per_s: view.limits.rate_per_s,
        },
        Holder::Share(_) => Bounds {
            concurrent: view.share_limits.concurrent_requests,
            queued: view.share_limits.queued_requests,
            rate_per_s: view.share_limits.rate_per_s,
        },
    }
}

#[cfg(test)]
mod tests;
