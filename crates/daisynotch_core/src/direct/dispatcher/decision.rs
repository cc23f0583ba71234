//! The decision on one queued request: send it, refuse it or leave it queued.

use std::time::Duration;

use super::{Dispatcher, Unplaced};
use crate::direct::crash_evidence::Assessment;
use crate::direct::placement::{
    Candidate, ServiceLatency, cross_zone_cost_ms, evaluate_endpoint, tie_break_ms,
};
use crate::direct::request::{CostModel, RefuseReason, RequestSpec, Verdict};
use crate::direct::waiting::{ENGINE_BACKLOG_MAX_MS, Rank, Waiting};
use crate::time::Timestamp;

/// Fraction of the objective that decisions plan with; the rest is for the answer's way back
/// to the caller.
const OBJECTIVE_PLANNED_FRACTION: f64 = 0.85;
/// Longest wait of a request that can no longer meet its objective, as a fraction of the time
/// from its arrival to its deadline; never less than the objective.
const LATE_WAIT_FRACTION: f64 = 0.2;
/// Longest wait of a request beyond its team's share, as a fraction of its objective, if few
/// others wait.
const BEYOND_SHARE_WAIT_FRACTION: f64 = 0.12;
/// Longest wait of a request while no endpoint can be tried, as a fraction of its objective.
const NO_ENDPOINT_WAIT_FRACTION: f64 = 0.5;
/// Time after which a caller beyond its team's share should retry, as a fraction of the share
/// window, for each whole share by which the team exceeds its own.
const BEYOND_SHARE_BACKOFF_FRACTION: f64 = 0.15;
/// Number of requests of one service that may find no room in a round before placement of the
/// rest is put off to the next round: they rank lower, and the search costs processor time
/// exactly when the router is loaded most.
pub(super) const UNPLACED_MAX: usize = 6;
/// Interval between probes, which are single requests sent to a suspect endpoint.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a caller of a service without endpoints should retry.
const NO_ENDPOINT_RETRY_MS: f64 = 300.0;
/// Largest jitter added to the pause that endpoints asked for, as a fraction of that pause.
const PUSHBACK_JITTER_FRACTION: f64 = 0.25;
/// Cost of a request at a limited endpoint that accepts no other one: what it costs to prefill a
/// long prompt on an engine that has not cached it.
const LIMIT_COST_MAX_MS: f64 = 400.0;
/// Largest cost by which a request that its best endpoint would begin late goes to another one. With
/// more, long prompts are prefilled again where they delay others (emulator, experiment "uneven":
/// goodput 0.864 without the bound, 0.883 with it).
const IN_TIME_COST_MAX_MS: f64 = 150.0;
/// Bounds of the retry time that a refused caller is told.
const RETRY_AFTER_RANGE_MS: (f64, f64) = (150.0, 2_000.0);

/// The decision on a request of a plain service.
pub(super) enum PlainDecision {
    Send,
    Wait,
    Refuse { retry_after_ms: f64 },
}

impl Dispatcher {
    /// Ranks a request, counting `tokens_before` of its team's queued requests ahead of it.
    pub(super) fn rank(&mut self, spec: &RequestSpec, tokens_before: u64, now: Timestamp) -> Rank {
        let tokens = tokens_before + spec.uncharged_tokens();
        let (used_fraction, lead) = spec.team.map_or((0.0, 0.0), |team| {
            let used_fraction = self.shares.used_fraction(team, tokens, now);
            (used_fraction, self.shares.lead(team, tokens, now))
        });
        Rank {
            is_late: self.is_late(spec, now),
            // A repeat was admitted within the share or from idle capacity.
            is_beyond_share: used_fraction > 1.0 && !spec.is_repeat(),
            used_fraction,
            lead,
            priority: spec.priority,
            arrived_at: spec.arrived_at,
        }
    }

    /// Returns whether a request would miss its objective even on an idle engine.
    fn is_late(&self, spec: &RequestSpec, now: Timestamp) -> bool {
        let waited = now.since(spec.arrived_at);
        let base_ms = match self.latencies.get(&spec.service) {
            Some(latency) if self.has_engines(&spec.service) => latency.first_token.base_ms(),
            _ => 0.0,
        };
        waited.as_secs_f64() * 1e3 + base_ms > self.planned_ms(spec)
    }

    pub(super) fn has_engines(&self, service: &str) -> bool {
        self.engine_limits.get(service).is_some_and(Option::is_some)
    }

    /// Returns the time from arrival within which the answer should begin at the endpoint.
    fn planned_ms(&self, spec: &RequestSpec) -> f64 {
        spec.objective.as_secs_f64() * 1e3 * OBJECTIVE_PLANNED_FRACTION
    }

    /// Decides on one request; `None` leaves it queued.
    pub(super) fn decide(
        &mut self,
        waiting: &Waiting,
        rank: Rank,
        unplaced_before: Unplaced,
        now: Timestamp,
    ) -> Option<Verdict> {
        let spec = &waiting.spec;
        let waited = now.since(spec.arrived_at);
        // Shares divide the tokens that engines read and generate, so they don't limit requests
        // of plain services.
        let has_engines = self.has_engines(&spec.service);
        let must_yield = has_engines
            && rank.is_beyond_share
            && self.shares.must_yield_idle_capacity(rank.used_fraction);
        let may_place = unplaced_before.requests < UNPLACED_MAX && !must_yield;
        let trial_of = match self.crash_evidence.assess(&spec.parts, now) {
            Assessment::Clear => None,
            Assessment::Suspect(part) => Some(part),
            Assessment::Blocked { left } => {
                return Some(Verdict::Refuse {
                    reason: RefuseReason::CrashingPart,
                    retry_after: left,
                    share_used_percent: (rank.used_fraction * 100.0) as u32,
                    backlog: None,
                });
            }
        };
        let is_trial = trial_of.is_some();
        let choice = match trial_of {
            _ if !may_place => None,
            Some(part) => self.choose_trial_endpoint(spec, part, now),
            None if has_engines => self.choose_endpoint(spec, rank.backlog_max_ms(), now),
            None => self.choose_endpoint(spec, f64::INFINITY, now),
        };
        let backlog_ms = choice.as_ref().map(|choice| choice.backlog_ms);
        let backlog = backlog_ms.map(|ms| Duration::from_secs_f64(ms / 1e3));
        let refuse = |reason, retry_after_ms: f64| {
            let (low, high) = RETRY_AFTER_RANGE_MS;
            // Jitter from the identifier spreads the retries of requests refused together.
            let jitter = 1.0 + (waiting.id.0 % 16) as f64 / 16.0;
            let retry_after_ms = retry_after_ms.clamp(low, high / 2.0) * jitter;
            let retry_after = Duration::from_secs_f64(retry_after_ms / 1e3);
            Some(Verdict::Refuse {
                reason,
                retry_after,
                share_used_percent: (rank.used_fraction * 100.0) as u32,
                backlog,
            })
        };
        // Deadlines may have passed while the process was stalled.
        if now >= spec.give_up_at {
            return refuse(RefuseReason::NoRoom, NO_ENDPOINT_RETRY_MS);
        }
        if choice.is_none() && may_place && !self.has_endpoint(&spec.service) {
            if self.is_service_evacuated(&spec.service) {
                return refuse(RefuseReason::Evacuated, RETRY_AFTER_RANGE_MS.1);
            }
            let wait_max = spec.objective.mul_f64(NO_ENDPOINT_WAIT_FRACTION);
            return if waited < wait_max {
                None
            } else {
                refuse(RefuseReason::NoEndpoint, NO_ENDPOINT_RETRY_MS)
            };
        }
        if let Some(until) = self.pushback_ends_at(spec, now) {
            let pause = until.since(now);
            let ends_in_time = waited + pause < spec.objective.mul_f64(OBJECTIVE_PLANNED_FRACTION);
            return if ends_in_time {
                None
            } else {
                let jitter = PUSHBACK_JITTER_FRACTION * ((waiting.id.0 % 16) as f64 / 16.0);
                Some(Verdict::Refuse {
                    reason: RefuseReason::PushedBack,
                    retry_after: pause.mul_f64(1.0 + jitter),
                    share_used_percent: (rank.used_fraction * 100.0) as u32,
                    backlog,
                })
            };
        }
        let ahead = unplaced_before.requests;
        if !has_engines {
            if choice.is_none()
                && let Some(retry_after_ms) = self.limits_retry_ms(spec, ahead, now)
            {
                return refuse(RefuseReason::EndpointLimits, retry_after_ms);
            }
            return match self.decide_plain(spec, choice.as_ref(), waited) {
                PlainDecision::Send => {
                    choice.map(|choice| Verdict::Send(self.grant(spec, choice, is_trial, now)))
                }
                PlainDecision::Wait => None,
                PlainDecision::Refuse { retry_after_ms } => {
                    refuse(RefuseReason::NoRoom, retry_after_ms)
                }
            };
        }
        let backlog_max_ms = rank.backlog_max_ms();
        if let Some(choice) = choice
            && choice.admission_ms <= backlog_max_ms
        {
            return Some(Verdict::Send(self.grant(spec, choice, is_trial, now)));
        }
        if rank.is_beyond_share {
            let wait_max = spec.objective.mul_f64(BEYOND_SHARE_WAIT_FRACTION);
            if may_place && waited < wait_max {
                return None;
            }
            let window_ms = self.shares.window().as_secs_f64() * 1e3;
            let beyond = rank.used_fraction - 1.0;
            let retry_after_ms = BEYOND_SHARE_BACKOFF_FRACTION * window_ms * beyond;
            return refuse(RefuseReason::BeyondShare, retry_after_ms);
        }
        if let Some(retry_after_ms) = self.limits_retry_ms(spec, ahead, now) {
            return refuse(RefuseReason::EndpointLimits, retry_after_ms);
        }
        let time_limit = spec.give_up_at.since(spec.arrived_at);
        let wait_max = spec.objective.max(time_limit.mul_f64(LATE_WAIT_FRACTION));
        if waited < wait_max {
            return None;
        }
        let latency = self.latencies.get(&spec.service);
        let prefill_ms = latency.map_or(0.0, |latency| {
            latency
                .first_token
                .prefill_ms(unplaced_before.tokens as f64)
        });
        refuse(RefuseReason::NoRoom, prefill_ms + backlog_ms.unwrap_or(0.0))
    }

    /// Decides on a request of a plain service, whose endpoints serve in order of arrival.
    ///
    /// When more requests arrive than the endpoints can answer, a request that can't meet its
    /// objective is refused, because queueing it would make all later requests late too. If no
    /// request can meet its objective, free slots are still used but no queue builds up.
    pub(super) fn decide_plain(
        &self,
        spec: &RequestSpec,
        choice: Option<&Candidate>,
        waited: Duration,
    ) -> PlainDecision {
        let Some(choice) = choice else {
            let wait_max = spec.objective.mul_f64(NO_ENDPOINT_WAIT_FRACTION);
            return if waited < wait_max && self.has_untried_endpoint(spec) {
                PlainDecision::Wait
            } else {
                PlainDecision::Refuse {
                    retry_after_ms: NO_ENDPOINT_RETRY_MS,
                }
            };
        };
        let latency = self.latencies.get(&spec.service);
        let usual_ms = latency
            .and_then(|latency| latency.plain_unqueued_ms)
            .unwrap_or(0.0);
        let answer_ms = waited.as_secs_f64() * 1e3 + choice.backlog_ms + usual_ms;
        let overrun_ms = answer_ms - self.planned_ms(spec);
        if choice.backlog_ms <= 0.0 || overrun_ms <= 0.0 {
            return PlainDecision::Send;
        }
        PlainDecision::Refuse {
            retry_after_ms: overrun_ms,
        }
    }

    /// Returns the time after which to retry, in milliseconds, if every endpoint that the request
    /// may go to limits its requests and its turn, after `ahead` others, comes too late.
    ///
    /// Such a request would only take the place of an earlier one.
    fn limits_retry_ms(&self, spec: &RequestSpec, ahead: usize, now: Timestamp) -> Option<f64> {
        let wait = self.limit_wait(spec, ahead, now)?;
        let waited = now.since(spec.arrived_at);
        let total = wait.total.map(|total| waited + total);
        if total.is_some_and(|total| total.as_secs_f64() * 1e3 < self.planned_ms(spec)) {
            return None;
        }
        let first_ms = wait.first.map(|first| first.as_secs_f64() * 1e3);
        Some(first_ms.unwrap_or(NO_ENDPOINT_RETRY_MS))
    }

    /// Returns when the first pushback ends, if every endpoint is paused or already tried.
    fn pushback_ends_at(&self, spec: &RequestSpec, now: Timestamp) -> Option<Timestamp> {
        let ids = self.endpoints_by_service.get(&spec.service)?;
        self.pushbacks.earliest_end(ids, &spec.tried, now)
    }

    pub(super) fn has_endpoint(&self, service: &str) -> bool {
        let of_service = self.endpoints_by_service.get(service);
        of_service.is_some_and(|of_service| !of_service.is_empty())
    }

    /// Finds the endpoint with the lowest cost for a request.
    ///
    /// Endpoints on which a prompt part is on trial are chosen only if there is no other
    /// candidate. Suspect endpoints are only probed: one is chosen if there is still none and its
    /// last probe is older than [`PROBE_INTERVAL`].
    fn choose_endpoint(
        &mut self,
        spec: &RequestSpec,
        backlog_max_ms: f64,
        now: Timestamp,
    ) -> Option<Candidate> {
        let (best, fallback) = self.find_candidates(spec, backlog_max_ms, now);
        if best.is_none()
            && let Some(probe) = &fallback
            && let Some(load) = self.endpoints.get_mut(&probe.endpoint)
        {
            load.probed_at = now;
        }
        best.or(fallback)
    }

    /// Finds the endpoint with the lowest cost, among those that are not suspect and among those
    /// that are due to be probed.
    ///
    /// If that endpoint would begin late, another one that can be in time takes its place. If it
    /// has a larger backlog than `backlog_max_ms`, a limited one with room takes
    /// its place, which is idle otherwise.
    pub(super) fn find_candidates(
        &self,
        spec: &RequestSpec,
        backlog_max_ms: f64,
        now: Timestamp,
    ) -> (Option<Candidate>, Option<Candidate>) {
        let Some(ids) = self.endpoints_by_service.get(&spec.service) else {
            return (None, None);
        };
        let initial_latency = ServiceLatency::default();
        let latency = self.latencies.get(&spec.service);
        let latency = latency.unwrap_or(&initial_latency);
        let session = spec.parts.iter().rev().nth(1).or(spec.parts.first());
        let session = session.map_or(0, |part| part.id);
        let mut best: Option<Candidate> = None;
        let mut reserved: Option<Candidate> = None;
        let mut fallback: Option<Candidate> = None;
        let mut spare: Option<Candidate> = None;
        let mut in_time: Option<Candidate> = None;
        let waited_ms = now.since(spec.arrived_at).as_secs_f64() * 1e3;
        let left_ms = self.planned_ms(spec) - waited_ms;
        let trials = self.trials(now);
        for id in ids {
            let Some(load) = self.endpoints.get(id) else {
                continue;
            };
            if spec.tried.contains(id)
                || self.pushbacks.is_active(*id, now)
                || !self.shared_limits.allows(*id, now)
            {
                continue;
            }
            let has_limit = self.shared_limits.is_limited(*id);
            let Some(mut candidate) =
                evaluate_endpoint(*id, load, has_limit, spec, latency, self.cost_model, now)
            else {
                continue;
            };
            candidate.cost_ms += tie_break_ms(*id, load, session, now);
            let mut is_spare = false;
            if has_limit && load.engine.is_some() {
                let scarcity = self.shared_limits.scarcity(*id, now);
                candidate.cost_ms += scarcity * LIMIT_COST_MAX_MS;
                candidate.admission_ms += scarcity * ENGINE_BACKLOG_MAX_MS;
                is_spare = candidate.admission_ms <= backlog_max_ms
                    && scarcity * LIMIT_COST_MAX_MS <= candidate.prefill_cost_ms;
            }
            if load.entry.zone != self.own_zone {
                candidate.cost_ms += cross_zone_cost_ms(spec);
            }
            let current = if load.is_suspect(now) {
                if now.since(load.probed_at) < PROBE_INTERVAL {
                    continue;
                }
                &mut fallback
            } else if trials.contains(id) || self.crash_evidence.has_peer_trial(*id, now) {
                &mut reserved
            } else {
                if is_spare {
                    keep_cheaper(&mut spare, candidate);
                }
                let is_in_time = candidate.expected_ms <= left_ms;
                let is_learned = self.cost_model == CostModel::Learned;
                if is_learned
                    && load.engine.is_some()
                    && is_in_time
                    && candidate.admission_ms <= backlog_max_ms
                {
                    keep_cheaper(&mut in_time, candidate);
                }
                &mut best
            };
            keep_cheaper(current, candidate);
        }
        if let (Some(late), Some(other)) = (best, in_time)
            && late.expected_ms > left_ms
            && other.cost_ms < late.cost_ms + IN_TIME_COST_MAX_MS
        {
            best = Some(other);
        }
        if best.is_some_and(|best| best.admission_ms > backlog_max_ms) {
            best = spare.or(best);
        }
        (best.or(reserved), fallback)
    }
}

/// Replaces a candidate by another one that costs less.
fn keep_cheaper(current: &mut Option<Candidate>, other: Candidate) {
    if current.is_none_or(|current| other.cost_ms < current.cost_ms) {
        *current = Some(other);
    }
}
