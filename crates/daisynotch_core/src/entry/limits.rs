//! Limits of teams and shares at this router, and the `retry_after` of refused callers.
//!
//! Rate and concurrency limits hold for the fleet: each live router enforces an equal
//! fraction of them. Queue limits hold per router, so a flood of requests fills only its
//! own team's queue. See `docs/operations/fairness.md`.

mod rate;
mod retry;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use smallvec::SmallVec;

use crate::TeamId;
use crate::catalogue::{ShareKey, TeamView};
use crate::time::Timestamp;

use super::{RefusalReason, RequestId};
use rate::{DispatchInterval, TokenBucket};
pub(super) use retry::{RetryBudget, RetryJitter};

/// The queue length from which a request is refused if its expected wait is too long.
const EARLY_REFUSAL_QUEUED_MIN: u32 = 8;
/// How long the usage of a team without open requests is kept.
const IDLE_USAGE_TTL: Duration = Duration::from_secs(10);

/// The team or share that limits apply to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum LimitScope {
    Team(TeamId),
    Share(ShareKey),
}

/// The team, and its share if it belongs to one, that a request counts towards.
pub(super) type LimitScopes = SmallVec<[LimitScope; 2]>;

/// When an accepted request may ask for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// Immediately.
    Immediate,
    /// After another request of its team or share has ended.
    Held,
}

/// A refusal whose `retry_after` has no jitter yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LimitRefusal {
    pub(super) reason: RefusalReason,
    pub(super) retry_after: Duration,
}

/// The limits of a team or share; `None` means unlimited.
#[derive(Debug, Clone, Copy)]
struct Limits {
    concurrent: Option<u32>,
    queued: Option<u32>,
    rate_per_s: Option<u32>,
}

/// What a team or share uses of its limits at this router.
#[derive(Debug)]
struct Usage {
    queued: u32,
    active: u32,
    /// This router's fraction of the fleet-wide limit on concurrent requests.
    concurrent: Option<u32>,
    bucket: TokenBucket,
    dispatch_interval: DispatchInterval,
    used_at: Timestamp,
}

/// The usage of every team and share with open requests at this router.
#[derive(Debug)]
pub(super) struct TeamLimits {
    routers: u32,
    usage: HashMap<LimitScope, Usage>,
    /// Accepted requests that may not ask for a slot yet, by team.
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
    /// Sets the number of routers that share the fleet-wide limits.
    pub(super) fn set_routers(&mut self, routers: usize) {
        self.routers = u32::try_from(routers).unwrap_or(u32::MAX).max(1);
    }

    /// Returns the number of a team's requests that wait at this router.
    pub(super) fn queued(&self, team: TeamId) -> u32 {
        let usage = self.usage.get(&LimitScope::Team(team));
        usage.map_or(0, |usage| usage.queued)
    }

    /// Counts a team's request as waiting, or returns why it is refused.
    pub(super) fn admit(
        &mut self,
        request: RequestId,
        team: TeamId,
        view: &TeamView,
        now: Timestamp,
    ) -> Result<Admission, LimitRefusal> {
        let scopes = limit_scopes(team, view);
        for scope in &scopes {
            self.check(*scope, view, now)?;
        }
        for scope in &scopes {
            let usage = self.usage_of(*scope, now);
            usage.bucket.take();
            usage.queued += 1;
        }
        let has_held = self.held.contains_key(&team);
        if has_held || !self.has_concurrency_left(&scopes) {
            self.held.entry(team).or_default().insert(request);
            return Ok(Admission::Held);
        }
        self.mark_active(&scopes);
        Ok(Admission::Immediate)
    }

    /// Counts a request as waiting again after a dispatch that did not run.
    pub(super) fn requeue(&mut self, scopes: &LimitScopes, now: Timestamp) {
        for scope in scopes {
            self.usage_of(*scope, now).queued += 1;
        }
    }

    /// Counts a request as no longer waiting.
    pub(super) fn leave_queue(&mut self, request: RequestId, team: TeamId, scopes: &LimitScopes) {
        for scope in scopes {
            if let Some(usage) = self.usage.get_mut(scope) {
                usage.queued = usage.queued.saturating_sub(1);
            }
        }
        // A held request never asked for a slot and is not active yet, but `end` uncounts it.
        if self.remove_held(team, request) {
            self.mark_active(scopes);
        }
    }

    /// Records a dispatch, from which the expected wait is estimated.
    pub(super) fn on_dispatch(&mut self, scopes: &LimitScopes, now: Timestamp) {
        for scope in scopes {
            if let Some(usage) = self.usage.get_mut(scope) {
                usage.dispatch_interval.on_dispatch(usage.queued > 0, now);
            }
        }
    }

    /// Counts a request as ended.
    pub(super) fn end(&mut self, scopes: &LimitScopes) {
        for scope in scopes {
            if let Some(usage) = self.usage.get_mut(scope) {
                usage.active = usage.active.saturating_sub(1);
            }
        }
    }

    /// Releases held requests that may ask for a slot now.
    ///
    /// Teams with the fewest active requests come first.
    pub(super) fn release_held(
        &mut self,
        scopes_of: impl Fn(RequestId) -> Option<LimitScopes>,
    ) -> Vec<RequestId> {
        let mut released = Vec::new();
        let mut teams: Vec<TeamId> = self.held.keys().copied().collect();
        teams.sort_by_key(|team| self.active(*team));
        for team in teams {
            while let Some(request) = self.held.get(&team).and_then(|held| held.first().copied()) {
                let Some(scopes) = scopes_of(request) else {
                    self.remove_held(team, request);
                    continue;
                };
                if !self.has_concurrency_left(&scopes) {
                    break;
                }
                self.remove_held(team, request);
                self.mark_active(&scopes);
                released.push(request);
            }
        }
        released
    }

    /// Removes the usage of teams that have had no open requests for [`IDLE_USAGE_TTL`].
    pub(super) fn expire(&mut self, now: Timestamp) {
        if now < self.expire_at {
            return;
        }
        self.expire_at = now + IDLE_USAGE_TTL;
        let is_in_use = |usage: &Usage| {
            usage.queued > 0 || usage.active > 0 || now.since(usage.used_at) < IDLE_USAGE_TTL
        };
        self.usage.retain(|_, usage| is_in_use(usage));
    }

    /// Checks a new request against the queue limit, the expected wait and the rate limit.
    fn check(
        &mut self,
        scope: LimitScope,
        view: &TeamView,
        now: Timestamp,
    ) -> Result<(), LimitRefusal> {
        let limits = limits_of(scope, view);
        let routers = self.routers;
        let usage = self.usage_of(scope, now);
        usage.concurrent = limits
            .concurrent
            .map(|limit| limit.div_ceil(routers).max(1));
        let wait = usage.dispatch_interval.expected_wait(usage.queued, now);
        let is_full = limits.queued.is_some_and(|max| usage.queued >= max);
        let would_time_out = usage.queued >= EARLY_REFUSAL_QUEUED_MIN
            && wait.is_some_and(|wait| wait > view.limits.queue_timeout);
        if is_full || would_time_out {
            return Err(LimitRefusal {
                reason: RefusalReason::QueueFull,
                retry_after: wait.unwrap_or(view.limits.queue_timeout),
            });
        }
        match usage.bucket.refill(limits.rate_per_s, routers, now) {
            None => Ok(()),
            Some(retry_after) => Err(LimitRefusal {
                reason: RefusalReason::RateLimited,
                retry_after,
            }),
        }
    }

    fn active(&self, team: TeamId) -> u32 {
        let usage = self.usage.get(&LimitScope::Team(team));
        usage.map_or(0, |usage| usage.active)
    }

    /// Returns whether another request of these scopes may ask for a slot.
    fn has_concurrency_left(&self, scopes: &LimitScopes) -> bool {
        let has_room = |usage: &Usage| usage.concurrent.is_none_or(|max| usage.active < max);
        let mut usage = scopes.iter().filter_map(|scope| self.usage.get(scope));
        usage.all(has_room)
    }

    /// Counts a request as active: it may ask for a slot or already runs.
    fn mark_active(&mut self, scopes: &LimitScopes) {
        for scope in scopes {
            if let Some(usage) = self.usage.get_mut(scope) {
                usage.active += 1;
            }
        }
    }

    /// Removes a request from the held ones and returns whether it was held.
    fn remove_held(&mut self, team: TeamId, request: RequestId) -> bool {
        let Some(held) = self.held.get_mut(&team) else {
            return false;
        };
        let was_held = held.remove(&request);
        if held.is_empty() {
            self.held.remove(&team);
        }
        was_held
    }

    fn usage_of(&mut self, scope: LimitScope, now: Timestamp) -> &mut Usage {
        let usage = self.usage.entry(scope).or_insert_with(|| Usage {
            queued: 0,
            active: 0,
            concurrent: None,
            bucket: TokenBucket::full(now),
            dispatch_interval: DispatchInterval::default(),
            used_at: now,
        });
        usage.used_at = now;
        usage
    }
}

/// Returns the team, and its share if the team belongs to a configured share.
pub(super) fn limit_scopes(team: TeamId, view: &TeamView) -> LimitScopes {
    let mut scopes = LimitScopes::new();
    scopes.push(LimitScope::Team(team));
    if let ShareKey::Share(_) = view.share_key {
        scopes.push(LimitScope::Share(view.share_key));
    }
    scopes
}

fn limits_of(scope: LimitScope, view: &TeamView) -> Limits {
    match scope {
        LimitScope::Team(_) => Limits {
            concurrent: view.limits.concurrent_requests,
            queued: Some(view.limits.queued_requests),
            rate_per_s: view.limits.rate_per_s,
        },
        LimitScope::Share(_) => Limits {
            concurrent: view.share_limits.concurrent_requests,
            queued: view.share_limits.queued_requests,
            rate_per_s: view.share_limits.rate_per_s,
        },
    }
}

#[cfg(test)]
mod tests;
