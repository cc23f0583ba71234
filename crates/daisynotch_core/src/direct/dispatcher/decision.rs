//! The decision on one request that waits: send it, refuse it, or let it wait on.

use std::sync::Arc;
use std::time::Duration;

use super::{Dispatcher, Unplaced};
use crate::direct::placement::{Choice, choice, far_cost_ms, tie_break_ms};
use crate::direct::request::{RefuseReason, RequestSpec, Verdict};
use crate::direct::waiting::{Rank, Waiting};
use crate::time::Timestamp;

/// The part of the objective that is planned with; the rest is for the way back.
const OBJECTIVE_USED_PART: f64 = 0.85;
/// How long a request that can no longer be on time is kept, as a part of the time
/// until its deadline.
const LATE_KEPT_PART: f64 = 0.2;
/// How long a request beyond its team's share is kept, as a part of its objective, if
/// few others wait.
const BEYOND_SHARE_KEPT_PART: f64 = 0.12;
/// How long a request is kept while no endpoint can be tried, as a part of its objective.
const NO_ENDPOINT_KEPT_PART: f64 = 0.5;
/// When a caller beyond its team's share comes back, as a part of the window in which
/// shares are kept, for each whole share that the team is beyond.
const BEYOND_SHARE_RETURN_PART: f64 = 0.15;
/// Requests of one service that find no place before the rest are left for the next
/// round: they rank lower, and looking costs time when most needed.
pub(super) const UNPLACED_MAX: usize = 6;
/// The pause between single requests to an endpoint that is passed over.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// When a caller comes back to a service without endpoints.
const NO_ENDPOINT_RETURN_MS: f64 = 300.0;
/// What callers that return to endpoints which named a time are spread over, as a part of it.
const PUSHBACK_SPREAD: f64 = 0.25;
/// Bounds of the time after which a refused caller is told to come back.
const RETRY_AFTER_RANGE_MS: (f64, f64) = (150.0, 2_000.0);

/// What becomes of a request of a plain service.
enum Plain {
    Send,
    Wait,
    Refuse { after_ms: f64 },
}

impl Dispatcher {
    pub(super) fn rank(&mut self, spec: &RequestSpec, tokens_before: u64, now: Timestamp) -> Rank {
        let tokens = tokens_before + spec.shared_tokens();
        let (used_part, lead) = spec.team.map_or((0.0, 0.0), |team| {
            let used_part = self.shares.used_part(team, tokens, now);
            (used_part, self.shares.lead(team, tokens, now))
        });
        Rank {
            is_late: self.is_late(spec, now),
            is_beyond_share: used_part > 1.0,
            used_part,
            lead,
            priority: spec.priority,
            arrived_at: spec.arrived_at,
        }
    }

    /// Says whether a request could not be on time even at an idle engine.
    fn is_late(&self, spec: &RequestSpec, now: Timestamp) -> bool {
        let waited = now.since(spec.arrived_at);
        let base_ms = match self.paces.get(&spec.service) {
            Some(pace) if self.is_engine(&spec.service) => pace.engine.base_ms(),
            _ => 0.0,
        };
        waited.as_secs_f64() * 1e3 + base_ms > self.planned_ms(spec)
    }

    fn is_engine(&self, service: &str) -> bool {
        self.engines.get(service).is_some_and(Option::is_some)
    }

    fn planned_ms(&self, spec: &RequestSpec) -> f64 {
        spec.objective.as_secs_f64() * 1e3 * OBJECTIVE_USED_PART
    }

    /// Decides on one request; none means that it waits on.
    pub(super) fn decide(
        &mut self,
        waiting: &Waiting,
        rank: Rank,
        before: Unplaced,
        now: Timestamp,
    ) -> Option<Verdict> {
        let spec = &waiting.spec;
        let waited = now.since(spec.arrived_at);
        // Teams share what engines read and generate; plain services have no part in that.
        let is_engine = self.is_engine(&spec.service);
        let is_ahead = is_engine && rank.is_beyond_share && self.shares.is_ahead(rank.used_part);
        let may_place = before.requests < UNPLACED_MAX && !is_ahead;
        let choice = if may_place {
            self.choose(spec, now)
        } else {
            None
        };
        let backlog_ms = choice.as_ref().map(|choice| choice.backlog_ms);
        let backlog = backlog_ms.map(|ms| Duration::from_secs_f64(ms / 1e3));
        let refuse = |reason, after_ms: f64| {
            let (low, high) = RETRY_AFTER_RANGE_MS;
            // Spread by the identifier, so that those refused together return apart.
            let spread = 1.0 + (waiting.id.0 % 16) as f64 / 16.0;
            let after_ms = after_ms.clamp(low, high / 2.0) * spread;
            let retry_after = Duration::from_secs_f64(after_ms / 1e3);
            Some(Verdict::Refuse {
                reason,
                retry_after,
                share_used_percent: (rank.used_part * 100.0) as u32,
                backlog,
            })
        };
        // A process that stood still finds requests whose time was over meanwhile.
        if now >= spec.give_up_at {
            return refuse(RefuseReason::NoRoom, NO_ENDPOINT_RETURN_MS);
        }
        if choice.is_none() && may_place && !self.has_endpoint(&spec.service) {
            let kept = spec.objective.mul_f64(NO_ENDPOINT_KEPT_PART);
            return if waited < kept {
                None
            } else {
                refuse(RefuseReason::NoEndpoint, NO_ENDPOINT_RETURN_MS)
            };
        }
        if let Some(until) = self.wanted_again_at(spec, now) {
            let pause = until.since(now);
            let is_soon = waited + pause < spec.objective.mul_f64(OBJECTIVE_USED_PART);
            return if is_soon {
                None
            } else {
                let spread = PUSHBACK_SPREAD * ((waiting.id.0 % 16) as f64 / 16.0);
                Some(Verdict::Refuse {
                    reason: RefuseReason::PushedBack,
                    retry_after: pause.mul_f64(1.0 + spread),
                    share_used_percent: (rank.used_part * 100.0) as u32,
                    backlog,
                })
            };
        }
        if !is_engine {
            return match self.decide_plain(spec, choice.as_ref(), waited) {
                Plain::Send => choice.map(|choice| Verdict::Send(self.grant(spec, choice, now))),
                Plain::Wait => None,
                Plain::Refuse { after_ms } => refuse(RefuseReason::NoRoom, after_ms),
            };
        }
        let backlog_max_ms = rank.backlog_max_ms();
        if let Some(choice) = choice
            && choice.backlog_ms <= backlog_max_ms
        {
            return Some(Verdict::Send(self.grant(spec, choice, now)));
        }
        if rank.is_beyond_share {
            let kept = spec.objective.mul_f64(BEYOND_SHARE_KEPT_PART);
            if may_place && waited < kept {
                return None;
            }
            let window_ms = self.shares.window().as_secs_f64() * 1e3;
            let beyond = rank.used_part - 1.0;
            let after_ms = BEYOND_SHARE_RETURN_PART * window_ms * beyond;
            return refuse(RefuseReason::BeyondShare, after_ms);
        }
        let left = spec.give_up_at.since(spec.arrived_at);
        let kept = spec.objective.max(left.mul_f64(LATE_KEPT_PART));
        if waited < kept {
            return None;
        }
        let pace = self.paces.get(&spec.service);
        let reading_ms = pace.map_or(0.0, |pace| pace.engine.reading_ms(before.tokens as f64));
        refuse(RefuseReason::NoRoom, reading_ms + backlog_ms.unwrap_or(0.0))
    }

    /// Decides on a request of a plain service, which works in order of arrival.
    ///
    /// Load pattern: more comes than its endpoints answer. What can't be on time is refused
    /// before it takes a place in a queue in which all that follow would be late too. Where
    /// nothing is on time, the slots are used and no queue is built.
    fn decide_plain(&self, spec: &RequestSpec, choice: Option<&Choice>, waited: Duration) -> Plain {
        let Some(choice) = choice else {
            let kept = spec.objective.mul_f64(NO_ENDPOINT_KEPT_PART);
            return if waited < kept && self.has_untried_endpoint(spec) {
                Plain::Wait
            } else {
                Plain::Refuse {
                    after_ms: NO_ENDPOINT_RETURN_MS,
                }
            };
        };
        let pace = self.paces.get(&spec.service);
        let usual_ms = pace.and_then(|pace| pace.plain_ms).unwrap_or(0.0);
        let answered_ms = waited.as_secs_f64() * 1e3 + choice.backlog_ms + usual_ms;
        let beyond_ms = answered_ms - self.planned_ms(spec);
        if choice.backlog_ms <= 0.0 || beyond_ms <= 0.0 {
            return Plain::Send;
        }
        Plain::Refuse {
            after_ms: beyond_ms,
        }
    }

    /// Gives when the first endpoint wants requests again, if none does now.
    fn wanted_again_at(&self, spec: &RequestSpec, now: Timestamp) -> Option<Timestamp> {
        let ids = self.by_service.get(&spec.service)?;
        self.pushbacks.wanted_again_at(ids, &spec.tried, now)
    }

    fn has_endpoint(&self, service: &str) -> bool {
        let of_service = self.by_service.get(service);
        of_service.is_some_and(|of_service| !of_service.is_empty())
    }

    /// Finds the endpoint at which a request would cost least.
    fn choose(&mut self, spec: &RequestSpec, now: Timestamp) -> Option<Choice> {
        let ids = self.by_service.get(&spec.service)?;
        let pace = self.paces.entry(Arc::clone(&spec.service)).or_default();
        let session = spec.parts.iter().rev().nth(1).or(spec.parts.first());
        let session = session.map_or(0, |part| part.id);
        let mut best: Option<Choice> = None;
        let mut fallback: Option<Choice> = None;
        for id in ids {
            let Some(load) = self.endpoints.get(id) else {
                continue;
            };
            if spec.tried.contains(id) || self.pushbacks.holds(*id, now) {
                continue;
            }
            let Some(mut choice) = choice(*id, load, spec, pace) else {
                continue;
            };
            choice.cost_ms += tie_break_ms(*id, load, session, now);
            if load.entry.zone != self.own_zone {
                choice.cost_ms += far_cost_ms(spec);
            }
            let slot = if load.is_suspect(now) {
                if now.since(load.tried_at) < TRIAL_INTERVAL {
                    continue;
                }
                &mut fallback
            } else {
                &mut best
            };
            if slot
                .as_ref()
                .is_none_or(|best| choice.cost_ms < best.cost_ms)
            {
                *slot = Some(choice);
            }
        }
        if best.is_none()
            && let Some(trial) = &fallback
            && let Some(load) = self.endpoints.get_mut(&trial.endpoint)
        {
            load.tried_at = now;
        }
        best.or(fallback)
    }
}
