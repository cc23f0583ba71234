//! Decides for each request of this router's callers: send it where, keep it, or refuse it.

mod decision;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_objects::{EndpointId, RouterId};

use super::digest::{Digest, EndpointDigest, PlacedParts, TeamDigest};
use super::endpoints::{EndpointChange, EndpointEntry};
use super::engine::EndpointLoad;
use super::placement::{Choice, ServicePace};
use super::pushback::Pushbacks;
use super::request::{DispatcherSettings, Grant, QueueId, RequestSpec, RunId, RunOutcome, Verdict};
use super::retry_budget::RetryBudget;
use super::routes::{EngineLimits, RouteTable};
use super::shares::TeamShares;
use super::waiting::{Rank, Waiting};
use crate::time::Timestamp;

/// What one more answer weighs in a plain service's usual time.
const PLAIN_GAIN: f64 = 0.05;

#[derive(Debug)]
struct Run {
    endpoint: EndpointId,
    service: Arc<str>,
    unread_tokens: u64,
    memory_tokens: u64,
    /// Tokens before it and in it, when it was sent.
    tokens_to_read: f64,
    expected_ms: f64,
    rounds: f64,
    sent_at: Timestamp,
    due_at: Timestamp,
    has_begun: bool,
}

/// Requests of one service that found no place in this round.
#[derive(Debug, Clone, Copy, Default)]
struct Unplaced {
    requests: usize,
    tokens: u64,
}

/// All decisions of one router.
#[derive(Debug)]
pub struct Dispatcher {
    own_zone: Arc<str>,
    engines: HashMap<Arc<str>, Option<EngineLimits>>,
    endpoints: HashMap<EndpointId, EndpointLoad>,
    by_service: HashMap<Arc<str>, Vec<EndpointId>>,
    paces: HashMap<Arc<str>, ServicePace>,
    shares: TeamShares,
    budget: RetryBudget,
    waiting: Vec<Waiting>,
    runs: HashMap<RunId, Run>,
    placed: Vec<PlacedParts>,
    pushbacks: Pushbacks,
    /// The endpoints that each router's latest digest named.
    named_by: HashMap<RouterId, Vec<EndpointId>>,
    next_id: u64,
    routers: usize,
}

impl Dispatcher {
    /// Starts without endpoints.
    pub fn new(own_zone: Arc<str>, settings: DispatcherSettings) -> Self {
        Self {
            own_zone,
            engines: HashMap::new(),
            endpoints: HashMap::new(),
            by_service: HashMap::new(),
            paces: HashMap::new(),
            shares: TeamShares::new(settings.shares),
            budget: RetryBudget::new(settings.retry_budget),
            waiting: Vec::new(),
            runs: HashMap::new(),
            placed: Vec::new(),
            pushbacks: Pushbacks::default(),
            named_by: HashMap::new(),
            next_id: 0,
            routers: 1,
        }
    }

    /// Takes a new configuration.
    pub fn on_routes(&mut self, table: &RouteTable) {
        self.shares
            .set_tokens_per_s(table.limits.shared_tokens_per_s);
        let services: Vec<Arc<str>> = self.by_service.keys().cloned().collect();
        self.engines.clear();
        for name in services {
            let engine = table.service(&name).and_then(|service| service.engine);
            for id in &self.by_service[&name] {
                if let Some(load) = self.endpoints.get_mut(id)
                    && load.engine != engine
                {
                    *load = EndpointLoad::new(load.entry.clone(), engine);
                }
            }
            self.engines.insert(name, engine);
        }
    }

    /// Takes a change of the endpoints; `table` says what their services are.
    pub fn on_endpoint(&mut self, change: EndpointChange, table: &RouteTable) {
        match change {
            EndpointChange::Usable(entry) => self.add_endpoint(entry, table),
            EndpointChange::Closed(id) => self.remove_endpoint(id),
        }
    }

    /// Takes the number of routers that share the retry budget.
    pub fn set_routers(&mut self, routers: usize) {
        self.routers = routers.max(1);
    }

    /// Notes a caller's request, for the shares and the budget.
    pub fn on_request(&mut self, spec: &RequestSpec, now: Timestamp) {
        self.budget.on_request(&spec.service, now);
        if let Some(team) = spec.team {
            self.shares.on_asked(team, spec.shared_tokens(), now);
        }
    }

    /// Takes one repeat out of the budget, unless it is spent.
    pub fn take_retry(&mut self, service: &Arc<str>, now: Timestamp) -> bool {
        self.budget.take(service, self.routers, now)
    }

    /// Lets a request wait; [`Self::decide_waiting`] decides on it.
    pub fn submit(&mut self, spec: RequestSpec) -> QueueId {
        let id = QueueId(self.next_id());
        self.waiting.push(Waiting { id, spec });
        id
    }

    /// Forgets a waiting request whose caller left.
    pub fn withdraw(&mut self, id: QueueId) {
        self.waiting.retain(|waiting| waiting.id != id);
    }

    /// Says whether requests wait.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Gives the number of requests that wait.
    pub fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// Gives the number of requests at endpoints.
    pub fn running_len(&self) -> usize {
        self.runs.len()
    }

    /// Decides on all requests that wait, in their order.
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
            // Those before it in this round use the share too, sent or not.
            let of_team = waiting
                .spec
                .team
                .map(|team| tokens_waiting.entry(team).or_default());
            let tokens_before = of_team.as_ref().map_or(0, |tokens| **tokens);
            let rank = self.rank(&waiting.spec, tokens_before, now);
            let before = unplaced.get(&waiting.spec.service);
            let before = before.copied().unwrap_or_default();
            match self.decide(&waiting, rank, before, now) {
                Some(verdict) => verdicts.push((waiting.id, verdict)),
                None => {
                    if let Some(tokens) = of_team {
                        *tokens += waiting.spec.shared_tokens();
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

    /// Notes bytes of an answer; the first ones say how long it took to begin.
    pub fn on_bytes(&mut self, run: RunId, now: Timestamp) {
        let Some(run) = self.runs.get_mut(&run) else {
            return;
        };
        let Some(load) = self.endpoints.get_mut(&run.endpoint) else {
            return;
        };
        load.health.on_heard(now);
        if run.has_begun {
            return;
        }
        run.has_begun = true;
        load.own.unread_tokens = load.own.unread_tokens.saturating_sub(run.unread_tokens);
        run.unread_tokens = 0;
        let taken = now.since(run.sent_at);
        let taken_ms = taken.as_secs_f64() * 1e3;
        let pace = self.paces.entry(Arc::clone(&run.service)).or_default();
        if load.engine.is_some() {
            load.slowdown.observe(taken_ms, run.expected_ms);
            pace.engine.observe(run.tokens_to_read, taken);
        } else {
            // What was expected before the first answer says nothing of this endpoint.
            let round_ms = taken_ms / run.rounds;
            let usual_ms = pace.plain_ms.get_or_insert(round_ms);
            load.slowdown.observe(round_ms, *usual_ms);
            *usual_ms += PLAIN_GAIN * (round_ms - *usual_ms);
        }
        let endpoint = run.endpoint;
        self.refresh_due(endpoint);
    }

    /// Ends a run.
    pub fn on_ended(&mut self, run: RunId, ended: RunOutcome, now: Timestamp) {
        let Some(run) = self.runs.remove(&run) else {
            return;
        };
        if let Some(load) = self.endpoints.get_mut(&run.endpoint) {
            load.own.running = load.own.running.saturating_sub(1);
            load.own.unread_tokens = load.own.unread_tokens.saturating_sub(run.unread_tokens);
            load.own.memory_tokens = load.own.memory_tokens.saturating_sub(run.memory_tokens);
            match ended {
                RunOutcome::Done => load.health.on_success(),
                RunOutcome::ErrorAnswer | RunOutcome::Refused => load.health.on_error_answer(now),
                RunOutcome::Unreachable => load.health.on_broken(now, true),
                RunOutcome::Broken => load.health.on_broken(now, false),
                RunOutcome::Cancelled | RunOutcome::PushedBack => {}
            }
        }
        self.refresh_due(run.endpoint);
    }

    /// Takes an endpoint's word that it wants no request of this router for a time.
    pub fn on_pushback(&mut self, endpoint: EndpointId, pause: Duration, now: Timestamp) {
        self.pushbacks.note(endpoint, now + pause);
    }

    /// Says whether a run should be given up, since its endpoint sends nothing any more.
    pub fn is_lost(&self, run: RunId, now: Timestamp) -> bool {
        let run = self.runs.get(&run);
        let load = run.and_then(|run| self.endpoints.get(&run.endpoint));
        load.is_some_and(|load| load.health.is_lost(now))
    }

    /// Says whether no byte came from the endpoint of a run within a time.
    pub fn is_endpoint_quiet(&self, run: RunId, window: Duration, now: Timestamp) -> bool {
        let run = self.runs.get(&run);
        let load = run.and_then(|run| self.endpoints.get(&run.endpoint));
        load.is_none_or(|load| !load.health.heard_within(now, window))
    }

    /// Takes another router's digest; a brief one says nothing of its load.
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
        let named_before = self.named_by.insert(router, named);
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

    /// Forgets the load of routers that fell silent.
    pub fn expire(&mut self, now: Timestamp) {
        for load in self.endpoints.values_mut() {
            load.expire_peers(now);
        }
        self.pushbacks.expire(now);
    }

    /// Gives what the other routers need to know; placements are given once.
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
            let moved = load.entry.service != entry.service;
            load.entry = entry;
            if !moved {
                return;
            }
            self.remove_endpoint(id);
            return;
        }
        let engine = table
            .service(&entry.service)
            .and_then(|service| service.engine);
        let service = Arc::clone(&entry.service);
        self.engines.insert(Arc::clone(&service), engine);
        self.by_service.entry(service).or_default().push(id);
        self.endpoints.insert(id, EndpointLoad::new(entry, engine));
    }

    fn remove_endpoint(&mut self, id: EndpointId) {
        if let Some(load) = self.endpoints.remove(&id)
            && let Some(of_service) = self.by_service.get_mut(&load.entry.service)
        {
            of_service.retain(|other| *other != id);
        }
    }

    /// Says whether a service has an endpoint that a request was not sent to.
    pub fn has_untried_endpoint(&self, spec: &RequestSpec) -> bool {
        let of_service = self.by_service.get(&spec.service);
        of_service.is_some_and(|ids| ids.iter().any(|id| !spec.tried.contains(id)))
    }

    fn grant(&mut self, spec: &RequestSpec, choice: Choice, now: Timestamp) -> Grant {
        let id = RunId(self.next_id());
        let load = self
            .endpoints
            .get_mut(&choice.endpoint)
            .expect("the choice is among the endpoints");
        let unread_tokens = u64::from(spec.prompt_tokens.saturating_sub(choice.cached_tokens));
        let memory_tokens = u64::from(spec.prompt_tokens) + u64::from(spec.answer_tokens);
        load.own.running += 1;
        load.own.unread_tokens += unread_tokens;
        load.own.memory_tokens += memory_tokens;
        let expected = Duration::from_secs_f64(choice.expected_ms / 1e3);
        let run = Run {
            endpoint: choice.endpoint,
            service: Arc::clone(&spec.service),
            unread_tokens,
            memory_tokens,
            tokens_to_read: (choice.tokens_ahead + unread_tokens) as f64,
            expected_ms: choice.expected_ms,
            rounds: choice.rounds,
            sent_at: now,
            due_at: now + expected.mul_f64(1.5),
            has_begun: false,
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
            address: load.entry.address,
            expected,
            cached_tokens: choice.cached_tokens,
            tokens_ahead: choice.tokens_ahead,
        };
        self.runs.insert(id, run);
        if let Some(team) = spec.team {
            self.shares.on_begun(team, spec.shared_tokens(), now);
        }
        self.refresh_due(choice.endpoint);
        grant
    }

    /// Works out when an endpoint's next answer should begin.
    fn refresh_due(&mut self, endpoint: EndpointId) {
        let runs = self.runs.values();
        let waiting = runs.filter(|run| run.endpoint == endpoint && !run.has_begun);
        let due_at = waiting.map(|run| run.due_at).min();
        if let Some(load) = self.endpoints.get_mut(&endpoint) {
            load.health.expect_answer(due_at);
        }
    }
}

#[cfg(test)]
mod overload_tests;
#[cfg(test)]
mod tests;
