//! Decides for each caller request whether to send it to an endpoint, queue it or refuse it.

mod cold;
mod crashes;
mod decision;
mod evacuations;
mod limits;
mod moves;
mod settlement;
mod speeds;

use std::collections::HashMap;
use std::hash::BuildHasherDefault;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_objects::{EndpointId, RouterId};
use smallvec::SmallVec;

use super::answer_length::{AnswerKeys, AnswerLengths};
use super::cold_starts::{ColdSettings, ColdStarts};
use super::crash_evidence::{CrashEvidence, PartIds, shared_part_ids};
use super::digest::{Digest, EndpointDigest, PlacedParts, TeamDigest};
use super::endpoints::{EndpointChange, EndpointEntry};
use super::engine::EndpointLoad;
use super::placement::{Candidate, ServiceLatency};
use super::pushback::Pushbacks;
use super::remaining_work::{EVENTS_LEFT_MIN, Load};
use super::request::{
    CostModel, DispatcherSettings, Grant, QueueId, RequestSpec, RunId, RunOutcome, Verdict,
};
use super::retry_budget::RetryBudget;
use super::routes::{EngineLimits, RouteTable};
use super::shared_limits::SharedLimits;
use super::shares::{Charge, IdHasher, TeamShares};
use super::speed_news::SpeedExchange;
use super::waiting::{Rank, Waiting};
use crate::time::Timestamp;

/// Smoothing factor of the moving average of a plain service's response time.
///
/// A plain service is one without batch engines.
const PLAIN_SMOOTHING: f64 = 0.05;

/// A request that was sent to an endpoint and has not ended.
#[derive(Debug)]
struct Run {
    endpoint: EndpointId,
    service: Arc<str>,
    unread_tokens: u64,
    memory_tokens: u64,
    prompt_tokens: u64,
    /// The number of events that the answer is expected to lack.
    events_left: u64,
    /// Prompt tokens to prefill until the first token, at the time of sending: those queued at
    /// the engine and this request's own.
    tokens_to_read: f64,
    expected_ms: f64,
    /// The time until the answer begins that is expected of an engine of average speed.
    average_ms: f64,
    rounds: f64,
    sent_at: Timestamp,
    due_at: Timestamp,
    /// When the first bytes of the response, its head, arrived.
    head_at: Option<Timestamp>,
    /// The parts of the prompt that other prompts may share.
    shared_parts: PartIds,
    /// When the first event of the answer, or all of a plain one, arrived.
    begun_at: Option<Timestamp>,
    /// Whether a later event showed that the endpoint outlived the beginning of the answer.
    is_beginning_outlived: bool,
    /// When the latest event of a stream arrived, unless the engine prefilled prompts then.
    last_event_at: Option<Timestamp>,
    /// The number of events of a stream that arrived.
    events: u64,
    answer: AnswerKeys,
    answer_max_tokens: u32,
    /// What was charged to the team's share; `None` for requests that were sent before.
    charge: Option<Charge>,
    /// Whether the run is a trial of a part that may crash endpoints.
    is_trial: bool,
}

/// Requests of one service that found no endpoint with room in this round.
#[derive(Debug, Clone, Copy, Default)]
struct Unplaced {
    requests: usize,
    tokens: u64,
}

/// Admission control and placement of all requests of one router.
#[derive(Debug)]
pub struct Dispatcher {
    own_zone: Arc<str>,
    cost_model: CostModel,
    engine_limits: HashMap<Arc<str>, Option<EngineLimits>>,
    endpoints: HashMap<EndpointId, EndpointLoad, BuildHasherDefault<IdHasher>>,
    /// The endpoints to which requests may be sent: those outside evacuated zones.
    endpoints_by_service: HashMap<Arc<str>, Vec<EndpointId>>,
    evacuated_zones: SmallVec<[Arc<str>; 2]>,
    latencies: HashMap<Arc<str>, ServiceLatency>,
    shares: TeamShares,
    retry_budget: RetryBudget,
    waiting: Vec<Waiting>,
    runs: HashMap<RunId, Run>,
    /// Placements that no digest has reported yet.
    placed: Vec<PlacedParts>,
    pushbacks: Pushbacks,
    shared_limits: SharedLimits,
    cold_starts: ColdStarts,
    cold_settings: ColdSettings,
    /// This router, once it is known.
    own_id: Option<RouterId>,
    speeds: SpeedExchange,
    answer_lengths: AnswerLengths,
    crash_evidence: CrashEvidence,
    /// The endpoints listed in the latest digest of each other router.
    endpoints_by_peer: HashMap<RouterId, Vec<EndpointId>>,
    next_id: u64,
    routers: usize,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints.
    pub fn new(own_zone: Arc<str>, settings: DispatcherSettings) -> Self {
        Self {
            own_zone,
            cost_model: settings.cost_model,
            engine_limits: HashMap::new(),
            endpoints: HashMap::default(),
            endpoints_by_service: HashMap::new(),
            evacuated_zones: SmallVec::new(),
            latencies: HashMap::new(),
            shares: TeamShares::new(settings.shares),
            retry_budget: RetryBudget::new(settings.retry_budget),
            waiting: Vec::new(),
            runs: HashMap::new(),
            placed: Vec::new(),
            pushbacks: Pushbacks::default(),
            shared_limits: SharedLimits::default(),
            cold_starts: ColdStarts::default(),
            cold_settings: settings.cold,
            own_id: None,
            speeds: SpeedExchange::default(),
            answer_lengths: AnswerLengths::default(),
            crash_evidence: CrashEvidence::default(),
            endpoints_by_peer: HashMap::new(),
            next_id: 0,
            routers: 1,
        }
    }

    /// Applies a new configuration. Requests that run under the one before keep counting.
    pub fn on_routes(&mut self, table: &RouteTable) {
        self.shares
            .set_tokens_per_s(table.limits.shared_tokens_per_s);
        self.set_cold_services(table);
        let services: Vec<Arc<str>> = self.endpoints_by_service.keys().cloned().collect();
        for name in services {
            // Endpoints of a service that was dropped finish their requests under its limits.
            let Some(service) = table.service(&name) else {
                continue;
            };
            let engine = service.engine;
            let loads = self.endpoints.values_mut();
            for load in loads.filter(|load| load.entry.service == name) {
                load.set_engine(engine);
            }
            self.engine_limits.insert(name, engine);
        }
    }

    /// Applies a change of an endpoint; `table` holds the configuration of its service.
    pub fn on_endpoint(&mut self, change: EndpointChange, table: &RouteTable) {
        match change {
            EndpointChange::Usable(entry) => self.add_endpoint(entry, table),
            EndpointChange::Closed(id) => self.remove_endpoint(id),
        }
    }

    /// Sets the number of routers that share the retry budget.
    pub fn set_routers(&mut self, routers: usize) {
        self.routers = routers.max(1);
    }

    /// Counts a caller's request towards its team's demand and the retry budget.
    pub fn on_request(&mut self, spec: &RequestSpec, now: Timestamp) {
        self.retry_budget.on_request(&spec.service, now);
        let mut entitled = 1.0;
        if let Some(team) = spec.team {
            self.shares.on_asked(team, spec.weighted_tokens(), now);
            if self.has_engines(&spec.service) {
                entitled = self.shares.entitled_fraction(team, now);
            }
        }
        self.shared_limits.on_request(&spec.service, entitled, now);
    }

    /// Takes one retry from the budget; returns `false` if the budget is spent.
    pub fn take_retry(&mut self, service: &Arc<str>, now: Timestamp) -> bool {
        self.retry_budget.try_take(service, self.routers, now)
    }

    /// Queues a request; [`Self::decide_waiting`] decides on it.
    pub fn submit(&mut self, spec: RequestSpec) -> QueueId {
        let id = QueueId(self.next_id());
        self.waiting.push(Waiting { id, spec });
        id
    }

    /// Removes a queued request whose caller disconnected.
    pub fn withdraw(&mut self, id: QueueId) {
        self.waiting.retain(|waiting| waiting.id != id);
    }

    /// Returns whether any request is queued.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the number of queued requests.
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests at endpoints.
    pub fn running_len(&self) -> usize {
        self.runs.len()
    }

    /// Decides on all queued requests in order of their rank.
    ///
    /// Requests without a verdict stay queued.
    pub fn decide_waiting(&mut self, now: Timestamp) -> Vec<(QueueId, Verdict)> {
        let mut verdicts = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        let mut ranked: Vec<(Rank, Waiting)> = waiting
            .into_iter()
            .map(|waiting| (self.rank(&waiting.spec, 0, now), waiting))
            .collect();
        ranked.sort_by(|(left, _), (right, _)| left.compare(right));
        let mut unplaced: HashMap<Arc<str>, Unplaced> = HashMap::new();
        let mut tokens_waiting: HashMap<u32, u64> = HashMap::new();
        for (_, waiting) in ranked {
            // Requests ranked before this one use up the team's share even if they stay queued.
            let of_team = waiting
                .spec
                .team
                .map(|team| tokens_waiting.entry(team).or_default());
            let tokens_before = of_team.as_ref().map_or(0, |tokens| **tokens);
            let rank = self.rank(&waiting.spec, tokens_before, now);
            let unplaced_before = unplaced.get(&waiting.spec.service);
            let unplaced_before = unplaced_before.copied().unwrap_or_default();
            match self.decide(&waiting, rank, unplaced_before, now) {
                Some(verdict) => verdicts.push((waiting.id, verdict)),
                None => {
                    if let Some(tokens) = of_team {
                        *tokens += waiting.spec.uncharged_tokens();
                    }
                    let service = Arc::clone(&waiting.spec.service);
                    let of_service = unplaced.entry(service).or_default();
                    of_service.requests += 1;
                    of_service.tokens += u64::from(waiting.spec.prompt_tokens);
                    self.waiting.push(waiting);
                }
            }
        }
        verdicts
    }

    /// Records that bytes of an answer arrived; the first ones give the time to first byte.
    pub fn on_bytes(&mut self, run: RunId, now: Timestamp) {
        let Some(run) = self.runs.get_mut(&run) else {
            return;
        };
        let Some(load) = self.endpoints.get_mut(&run.endpoint) else {
            return;
        };
        load.health.on_byte(now);
        self.cold_starts.on_byte(run.endpoint, run.sent_at, now);
        self.crash_evidence.on_alive(run.endpoint, now);
        if run.head_at.is_some() {
            return;
        }
        run.head_at = Some(now);
        load.own.unread_tokens = load.own.unread_tokens.saturating_sub(run.unread_tokens);
        run.unread_tokens = 0;
        let taken = now.since(run.sent_at);
        let taken_ms = taken.as_secs_f64() * 1e3;
        let latency = self.latencies.entry(Arc::clone(&run.service)).or_default();
        if load.engine.is_some() {
            load.slowdown.observe_answer(taken_ms, run.average_ms, now);
            load.slowdown.observe_stated(taken_ms, run.expected_ms);
            latency.first_token.observe(run.tokens_to_read, taken);
        } else {
            // Compare with the service's average: the expectation from before the service's
            // first answer is a guess, so a deviation from it says nothing about this endpoint.
            let round_ms = taken_ms / run.rounds;
            let usual_ms = latency.plain_unqueued_ms.get_or_insert(round_ms);
            load.slowdown.observe_plain(round_ms, *usual_ms);
            *usual_ms += PLAIN_SMOOTHING * (round_ms - *usual_ms);
        }
        let endpoint = run.endpoint;
        self.refresh_due(endpoint);
    }

    /// Removes a run and records its outcome in the endpoint's load and health.
    pub fn on_ended(&mut self, run: RunId, ended: RunOutcome, now: Timestamp) {
        let Some(run) = self.runs.remove(&run) else {
            return;
        };
        let mut may_have_restarted = matches!(ended, RunOutcome::Unreachable | RunOutcome::Broken);
        if let Some(load) = self.endpoints.get_mut(&run.endpoint) {
            may_have_restarted |= ended == RunOutcome::Cancelled && load.health.is_lost(now);
            load.own = load.own.minus(Load {
                unread_tokens: run.unread_tokens,
                running: 1,
                memory_tokens: run.memory_tokens,
                events_left: run.events_left,
            });
            match ended {
                RunOutcome::Done => load.health.on_success(),
                RunOutcome::ErrorAnswer | RunOutcome::Refused => load.health.on_error_answer(now),
                RunOutcome::Unreachable => load.health.on_connection_failure(now, true),
                RunOutcome::Broken => load.health.on_connection_failure(now, false),
                RunOutcome::Cancelled | RunOutcome::PushedBack => {}
            }
        }
        self.settle(&run, ended, now);
        self.refresh_due(run.endpoint);
        if may_have_restarted {
            self.note_failure(run.endpoint, now);
        }
    }

    /// Records that an endpoint asked this router to send it no requests for `pause`.
    pub fn on_pushback(&mut self, endpoint: EndpointId, pause: Duration, now: Timestamp) {
        self.pushbacks.record(endpoint, now + pause);
    }

    /// Returns whether a run should be abandoned because its endpoint has stopped sending.
    pub fn is_lost(&self, run: RunId, now: Timestamp) -> bool {
        let run = self.runs.get(&run);
        let load = run.and_then(|run| self.endpoints.get(&run.endpoint));
        load.is_some_and(|load| load.health.is_lost(now))
    }

    /// Returns whether a run's endpoint has sent no byte, for any run, within `window`.
    pub fn is_endpoint_quiet(&self, run: RunId, window: Duration, now: Timestamp) -> bool {
        let run = self.runs.get(&run);
        let load = run.and_then(|run| self.endpoints.get(&run.endpoint));
        load.is_none_or(|load| !load.health.received_byte_within(now, window))
    }

    /// Applies another router's digest, unless it is brief and therefore carries no load.
    pub fn on_digest(&mut self, digest: &Digest, now: Timestamp) {
        if digest.is_brief {
            return;
        }
        let router = digest.host.id();
        self.shares.on_peer(router, &digest.teams, now);
        let named = digest
            .endpoints
            .iter()
            .map(|named| named.endpoint)
            .collect();
        let named_before = self.endpoints_by_peer.insert(router, named);
        for id in named_before.into_iter().flatten() {
            let is_named = digest.endpoints.iter().any(|named| named.endpoint == id);
            if !is_named && let Some(load) = self.endpoints.get_mut(&id) {
                load.forget_peer(router);
            }
        }
        for named in &digest.endpoints {
            if let Some(load) = self.endpoints.get_mut(&named.endpoint) {
                load.on_peer(router, named, now);
            }
        }
        for placed in &digest.placed {
            if let Some(load) = self.endpoints.get_mut(&placed.endpoint) {
                load.cache.insert(&placed.parts);
            }
        }
    }

    /// Drops the load of routers whose digests have stopped, and pushbacks that have ended.
    pub fn expire(&mut self, now: Timestamp) {
        for load in self.endpoints.values_mut() {
            load.expire_peers(now);
            load.seen_since.get_or_insert(now);
        }
        self.pushbacks.expire(now);
        self.shared_limits.expire(now);
        let endpoints = &self.endpoints;
        let is_listed = |endpoint| endpoints.contains_key(&endpoint);
        self.cold_starts.expire(is_listed, now);
        self.speeds.expire(now);
        self.crash_evidence.expire(now);
    }

    /// Returns this router's part of a digest; each placement is reported only once.
    pub fn to_digest(
        &mut self,
        now: Timestamp,
    ) -> (Vec<EndpointDigest>, Vec<TeamDigest>, Vec<PlacedParts>) {
        let endpoints = self.endpoints.iter();
        let endpoints = endpoints.filter_map(|(id, load)| load.to_digest(*id, now));
        let endpoints = endpoints.collect();
        let placed = std::mem::take(&mut self.placed);
        (endpoints, self.shares.own_sums(now), placed)
    }

    fn next_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn add_endpoint(&mut self, entry: EndpointEntry, table: &RouteTable) {
        let id = entry.id();
        if let Some(load) = self.endpoints.get_mut(&id) {
            if load.entry.service == entry.service && load.entry.zone == entry.zone {
                load.entry = entry;
                return;
            }
            self.remove_endpoint(id);
        }
        let engine = table
            .service(&entry.service)
            .and_then(|service| service.engine);
        let service = Arc::clone(&entry.service);
        self.engine_limits.insert(Arc::clone(&service), engine);
        let of_service = self.endpoints_by_service.entry(service).or_default();
        if !self.evacuated_zones.contains(&entry.zone) {
            of_service.push(id);
        }
        let mut load = EndpointLoad::new(entry, engine);
        if let Some(slowdown) = self.speeds.heard(id).filter(|_| engine.is_some()) {
            load.slowdown.on_peer(slowdown);
        }
        self.endpoints.insert(id, load);
        self.crash_evidence.set_engines(self.endpoints.len());
    }

    fn remove_endpoint(&mut self, id: EndpointId) {
        if let Some(load) = self.endpoints.remove(&id)
            && let Some(of_service) = self.endpoints_by_service.get_mut(&load.entry.service)
        {
            of_service.retain(|other| *other != id);
        }
        self.crash_evidence.set_engines(self.endpoints.len());
    }

    /// Returns whether requests may be sent to an endpoint start.
    pub fn has_endpoint_start(&self, endpoint: EndpointId) -> bool {
        self.endpoints.contains_key(&endpoint)
    }

    /// Returns whether the request's service has an endpoint that has not been tried for it.
    pub fn has_untried_endpoint(&self, spec: &RequestSpec) -> bool {
        let of_service = self.endpoints_by_service.get(&spec.service);
        of_service.is_some_and(|ids| ids.iter().any(|id| !spec.tried.contains(id)))
    }

    fn grant(
        &mut self,
        spec: &RequestSpec,
        choice: Candidate,
        is_trial: bool,
        now: Timestamp,
    ) -> Grant {
        let id = RunId(self.next_id());
        let load = self
            .endpoints
            .get_mut(&choice.endpoint)
            .expect("a chosen endpoint is in `endpoints`");
        let unread_tokens = u64::from(spec.prompt_tokens.saturating_sub(choice.cached_tokens));
        let memory_tokens = spec.memory_tokens();
        let events_left = u64::from(spec.answer_events).max(EVENTS_LEFT_MIN);
        load.own.running += 1;
        load.own.unread_tokens += unread_tokens;
        load.own.memory_tokens += memory_tokens;
        load.own.events_left += events_left;
        let expected = Duration::from_secs_f64(choice.expected_ms / 1e3);
        let run = Run {
            endpoint: choice.endpoint,
            service: Arc::clone(&spec.service),
            unread_tokens,
            memory_tokens,
            prompt_tokens: spec.prompt_tokens.into(),
            events_left,
            tokens_to_read: (choice.tokens_ahead + unread_tokens) as f64,
            expected_ms: choice.expected_ms,
            average_ms: choice.average_ms,
            rounds: choice.rounds,
            sent_at: now,
            due_at: now + expected.mul_f64(1.5),
            head_at: None,
            shared_parts: shared_part_ids(&spec.parts),
            begun_at: None,
            is_beginning_outlived: false,
            last_event_at: None,
            events: 0,
            answer: AnswerKeys::new(spec),
            answer_max_tokens: spec.answer_max_tokens,
            charge: (!spec.is_repeat()).then(|| Charge {
                tokens: spec.weighted_tokens(),
                asked_at: spec.arrived_at,
                begun_at: now,
            }),
            is_trial,
        };
        if !spec.parts.is_empty() {
            load.cache.insert(&spec.parts);
            let placed = PlacedParts {
                endpoint: choice.endpoint,
                parts: spec.parts.clone(),
            };
            self.placed.push(placed);
        }
        let grant = Grant {
            run: id,
            endpoint: choice.endpoint,
            endpoint_name: Arc::clone(&load.entry.name),
            started_unix_ms: load.entry.started_unix_ms,
            address: load.entry.address,
            expected,
            cached_tokens: choice.cached_tokens,
            tokens_ahead: choice.tokens_ahead,
        };
        self.runs.insert(id, run);
        self.shared_limits.charge(choice.endpoint, now);
        if let Some(team) = spec.team {
            self.shares.on_begun(team, spec.uncharged_tokens(), now);
        }
        self.refresh_due(choice.endpoint);
        grant
    }

    /// Updates the time by which an endpoint's next answer should begin.
    fn refresh_due(&mut self, endpoint: EndpointId) {
        let runs = self.runs.values();
        let waiting = runs.filter(|run| run.endpoint == endpoint && run.head_at.is_none());
        let due_at = waiting.map(|run| run.due_at).min();
        if let Some(load) = self.endpoints.get_mut(&endpoint) {
            load.health.expect_answer(due_at);
        }
    }
}

#[cfg(test)]
mod cold_tests;
#[cfg(test)]
mod configuration_tests;
#[cfg(test)]
mod crash_tests;
#[cfg(test)]
mod endpoint_tests;
#[cfg(test)]
mod extreme_tests;
#[cfg(test)]
mod limit_tests;
#[cfg(test)]
mod move_tests;
#[cfg(test)]
mod overload_tests;
#[cfg(test)]
mod settlement_tests;
#[cfg(test)]
mod speed_tests;
#[cfg(test)]
mod tests;
#[cfg(test)]
mod work_tests;
