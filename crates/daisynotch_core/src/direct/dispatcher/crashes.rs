//! What the dispatcher does about prompt parts that crash endpoints.

use std::time::Duration;

use daisynotch_objects::EndpointId;
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Dispatcher;
use crate::direct::crash_evidence::{
    AnswerStage, CrashNews, EvidenceChange, LateCrashNews, OpenRun, PROOF_DELAY, PartBlock, PartIds,
};
use crate::direct::placement::{Candidate, evaluate_endpoint};
use crate::direct::remaining_work::EVENTS_LEFT_MIN;
use crate::direct::request::{CostModel, RequestSpec, RunId};
use crate::time::Timestamp;

/// How long an endpoint must have been in use before trials prefer it: one that goes down and up
/// by turns would fail the trial of a sound part.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// The same as a fraction of the longest time for which this router has known an endpoint.
const SETTLED_AGE_FRACTION: f64 = 0.5;

impl Dispatcher {
    /// Records that an event of a streamed answer, or a whole answer, arrived. If the endpoint
    /// outlives the first one for a while, the parts of the prompt crash no endpoint.
    ///
    /// `events` is the number of events of a stream that arrived; 0 for a whole answer.
    pub fn on_event(&mut self, run: RunId, events: u64, now: Timestamp) {
        let Some(run) = self.runs.get_mut(&run) else {
            return;
        };
        if let Some(begun_at) = run.begun_at {
            run.is_beginning_outlived |= now.since(begun_at) >= PROOF_DELAY;
        } else {
            run.begun_at = Some(now);
            let head_gap = run.head_at.map_or(Duration::ZERO, |at| now.since(at));
            self.crash_evidence.on_answer_begun(
                run.endpoint,
                &run.shared_parts,
                run.is_trial,
                head_gap,
                now,
            );
        }
        if events == 0 {
            return;
        }
        if self.cost_model == CostModel::Stated {
            return;
        }
        run.events = run.events.saturating_add(events);
        let Some(load) = self.endpoints.get_mut(&run.endpoint) else {
            return;
        };
        let events_left = run.events_left.saturating_sub(events).max(EVENTS_LEFT_MIN);
        load.own.events_left = load.own.events_left.saturating_sub(run.events_left) + events_left;
        run.events_left = events_left;
        // An answer that gets longer than was reserved for it holds on to what it generated.
        let held = run.prompt_tokens + run.generated_tokens(&self.answer_lengths);
        if held > run.memory_tokens {
            load.own.memory_tokens += held - run.memory_tokens;
            run.memory_tokens = held;
        }
        let is_prefilling = load.total().unread_tokens > 0;
        if let Some(before) = run.last_event_at
            && !is_prefilling
        {
            let events = u32::try_from(events).unwrap_or(u32::MAX);
            load.slowdown.observe_pause(now.since(before) / events, now);
        }
        run.last_event_at = (!is_prefilling).then_some(now);
    }

    /// Returns what is needed to report a crash of a run's endpoint; `None` if its prompt has no
    /// shared parts.
    ///
    /// The parts are left out if the endpoint has outlived the beginning of the answer.
    pub fn open_run(&self, run: RunId) -> Option<OpenRun> {
        let run = self.runs.get(&run)?;
        let stage = match run.begun_at {
            Some(_) => AnswerStage::Begun,
            None if run.head_at.is_some() => AnswerStage::Head,
            None => AnswerStage::Waiting,
        };
        let parts = if run.is_beginning_outlived {
            PartIds::new()
        } else {
            run.shared_parts.clone()
        };
        (!run.shared_parts.is_empty()).then_some(OpenRun {
            endpoint: run.endpoint,
            parts,
            stage,
            is_trial: run.is_trial,
        })
    }

    /// Returns when the endpoint of a trial will have outlived the beginning of the answer; `None`
    /// if the run is no trial or has not begun.
    pub fn trial_outlived_at(&self, run: RunId) -> Option<Timestamp> {
        let run = self.runs.get(&run).filter(|run| run.is_trial)?;
        run.begun_at.map(|at| at + PROOF_DELAY)
    }

    /// Returns whether an endpoint has begun an answer that it is not known to have outlived.
    pub fn has_begun_answer(&self, endpoint: EndpointId) -> bool {
        self.crash_evidence.has_begun_answer(endpoint)
    }

    /// Records that an endpoint was heard outside the answers to its requests.
    pub fn on_endpoint_alive(&mut self, endpoint: EndpointId, heard_at: Timestamp) {
        self.crash_evidence.on_alive(endpoint, heard_at);
    }

    /// Records that the endpoint of an open run crashed.
    pub fn on_crash(&mut self, run: &OpenRun, now: Timestamp) {
        self.crash_evidence.on_crash(run, now);
    }

    /// Records that an endpoint crashed while it had no request of this router.
    pub fn on_unattended_crash(&mut self, endpoint: EndpointId, now: Timestamp) {
        let run = OpenRun {
            endpoint,
            parts: PartIds::new(),
            stage: AnswerStage::Waiting,
            is_trial: false,
        };
        self.crash_evidence.on_crash(&run, now);
    }

    /// Returns whether an endpoint start is known to have crashed.
    pub fn has_crashed(&self, endpoint: EndpointId) -> bool {
        self.crash_evidence.has_crashed(endpoint)
    }

    /// Returns whether a request whose endpoint crashed can be sent to another one without the
    /// risk that it crashes that one, too.
    pub fn may_repeat_after_crash(&self, spec: &RequestSpec, now: Timestamp) -> bool {
        self.crash_evidence.may_repeat(&spec.parts, now)
    }

    /// Returns the evidence on prompt parts for other routers, with at most `reports_max` reports.
    pub fn crash_news(&self, reports_max: usize, now: Timestamp) -> CrashNews {
        CrashNews {
            trials: self.trials(now).into_vec(),
            ..self.crash_evidence.to_news(reports_max, now)
        }
    }

    /// Returns the evidence on crashes after the first event alone, with at most `reports_max` reports.
    pub fn late_crash_news(&self, reports_max: usize, now: Timestamp) -> LateCrashNews {
        self.crash_evidence.late_news(reports_max, now)
    }

    /// Applies another router's evidence on prompt parts.
    pub fn on_crash_news(&mut self, news: &CrashNews, now: Timestamp) {
        self.crash_evidence.on_news(news, now);
    }

    /// Returns the prompt parts that are blocked.
    pub fn blocked_parts(&self, now: Timestamp) -> Vec<PartBlock> {
        self.crash_evidence.blocks(now)
    }

    /// Returns the number of blocks in force.
    pub fn blocked_len(&self) -> usize {
        self.crash_evidence.blocks_len()
    }

    /// Sends requests with a part again, on an operator's request.
    pub fn lift_block(&mut self, part: u32, now: Timestamp) {
        self.crash_evidence.lift(part, now);
    }

    /// Returns the changes of the evidence since the last call, for logs.
    pub fn take_evidence_changes(&mut self) -> Vec<EvidenceChange> {
        self.crash_evidence.take_changes()
    }

    /// Returns the endpoints on which this router tries suspect parts.
    pub(super) fn trials(&self, now: Timestamp) -> SmallVec<[EndpointId; 4]> {
        if self.crash_evidence.is_idle() {
            return SmallVec::new();
        }
        let waiting = self.runs.values();
        let waiting = waiting.filter(|run| run.is_trial && run.begun_at.is_none());
        let waiting = waiting.map(|run| run.endpoint);
        let begun = self.crash_evidence.begun_trials(now);
        let mut endpoints: SmallVec<[EndpointId; 4]> = waiting.chain(begun).collect();
        endpoints.sort_unstable();
        endpoints.dedup();
        endpoints
    }

    /// Finds the endpoint on which all routers try a suspect part; `None` if it has no room.
    ///
    /// Rendezvous hashing makes routers that have not heard of each other's trials choose the same
    /// endpoint, so that a fatal part crashes one endpoint and not one for each router. For the
    /// same reason there is no second choice.
    pub(super) fn choose_trial_endpoint(
        &self,
        spec: &RequestSpec,
        part: u32,
        now: Timestamp,
    ) -> Option<Candidate> {
        let ids = self.endpoints_by_service.get(&spec.service)?;
        let latency = self.latencies.get(&spec.service);
        let default_latency = Default::default();
        let latency = latency.unwrap_or(&default_latency);
        let age = |id: &EndpointId| {
            let since = self.endpoints.get(id)?.seen_since?;
            Some(now.since(since))
        };
        let oldest = ids.iter().filter_map(age).max().unwrap_or_default();
        let settled_after = SETTLED_AFTER.min(oldest.mul_f64(SETTLED_AGE_FRACTION));
        let candidates = ids.iter().filter_map(|id| {
            let load = self.endpoints.get(id)?;
            let is_excluded = spec.tried.contains(id)
                || self.pushbacks.is_active(*id, now)
                || !self.shared_limits.allows(*id, now)
                || self.crash_evidence.has_crashed(*id)
                || load.is_suspect(now);
            if is_excluded {
                return None;
            }
            let is_settled = age(id).is_some_and(|age| age >= settled_after);
            let hash = xxh3_64_with_seed(&id.0.to_le_bytes(), u64::from(part));
            Some((is_settled, hash, *id))
        });
        let (_, _, id) = candidates.max()?;
        let has_limit = self.shared_limits.is_limited(id);
        evaluate_endpoint(
            id,
            self.endpoints.get(&id)?,
            has_limit,
            spec,
            latency,
            self.cost_model,
            now,
        )
    }
}
