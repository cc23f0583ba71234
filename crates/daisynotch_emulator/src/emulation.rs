//! Runs an experiment as a discrete-event simulation of callers, routers, engines and faults.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::Timestamp;
use daisynotch_core::direct::{
    Digest, Dispatcher, EndpointEntry, QueueId, RequestSpec, RunId, RunOutcome, Verdict,
};
use daisynotch_objects::EndpointId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use crate::engine::{Engine, EngineCounters, Sequence, StepOutput};
use crate::experiment::{Experiment, FaultKind};
use crate::figures::{Figures, Outcome, Report, figures};
use crate::fleet::{SERVICE, dispatcher, endpoint_entry};
use crate::load::{Request, requests};
use crate::policy::{Baseline, PolicyName};

/// The interval at which a router decides on its queued requests if no other event makes it, as in
/// production.
const PUMP_INTERVAL_US: u64 = 25_000;
/// The largest fraction of the remaining time that a caller waits before it retries a refused
/// request.
const RETRY_AFTER_MAX_FRACTION: f64 = 1.0 / 3.0;
/// The number of times that a request is tried, at most.
const TRIES_MAX: u32 = 2;
/// The start of simulated time, above zero so that no age comes out negative.
const START_US: u64 = 100_000_000;

/// Simulates an experiment with each of its seeds and policies.
pub fn run(experiment: &Experiment) -> Report {
    let mut runs = Vec::new();
    for seed in &experiment.seeds {
        let requests = requests(experiment, *seed);
        for policy in &experiment.policies {
            let emulation = Emulation::new(experiment, *policy, *seed, &requests);
            runs.push(emulation.play());
        }
    }
    let name = experiment.name.clone();
    Report { name, runs }
}

#[derive(Debug)]
enum Event {
    Arrive {
        request: usize,
    },
    /// The caller's deadline passes.
    GiveUp {
        request: usize,
    },
    /// The request reaches the engine.
    Deliver {
        attempt: usize,
    },
    /// The engine runs its next step.
    Step {
        engine: usize,
        incarnation: u32,
    },
    /// An event of the response reaches the router and the caller.
    Output {
        attempt: usize,
        is_last: bool,
    },
    /// The router learns that the attempt failed.
    Fail {
        attempt: usize,
        outcome: RunOutcome,
    },
    /// The router decides on its queued requests.
    Pump {
        router: usize,
    },
    SendDigest {
        router: usize,
    },
    ReceiveDigest {
        router: usize,
        digest: Box<Digest>,
    },
    StartFault {
        fault: usize,
    },
    EndFault {
        fault: usize,
    },
}

/// One sending of a request to an engine.
#[derive(Debug)]
struct Attempt {
    request: usize,
    router: usize,
    engine: usize,
    /// The dispatcher's id of the attempt; none with a baseline policy.
    run: Option<RunId>,
    is_finished: bool,
}

/// The state of a caller's request.
#[derive(Debug, Default)]
struct Caller {
    tries: u32,
    /// The request's id in the router's queue, while it is queued.
    queue_id: Option<QueueId>,
    attempt: Option<usize>,
    last_event_us: Option<u64>,
    is_finished: bool,
}

enum Router {
    Direct(Box<Dispatcher>),
    Baseline(Baseline),
}

struct Emulation<'a> {
    experiment: &'a Experiment,
    policy: PolicyName,
    seed: u64,
    requests: &'a [Request],
    rng: StdRng,
    now_us: u64,
    next_event_id: u64,
    /// The times and ids of the scheduled events, the earliest first.
    event_queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    routers: Vec<Router>,
    /// The request behind each router and id in its queue.
    queued: HashMap<(usize, QueueId), usize>,
    engines: Vec<Engine>,
    is_stepping: Vec<bool>,
    /// The endpoint id of each engine.
    endpoints: Vec<EndpointId>,
    /// The engine of each endpoint id.
    engine_by_endpoint: HashMap<EndpointId, usize>,
    attempts: Vec<Attempt>,
    callers: Vec<Caller>,
    outcomes: Vec<Outcome>,
    digest_seqs: Vec<u64>,
}

impl<'a> Emulation<'a> {
    fn new(
        experiment: &'a Experiment,
        policy: PolicyName,
        seed: u64,
        requests: &'a [Request],
    ) -> Self {
        let engines = experiment.engines.count;
        let entries: Vec<EndpointEntry> = (0..engines)
            .map(|index| endpoint_entry(experiment, index))
            .collect();
        let routers = experiment.fleet.routers;
        let new_router = || match policy {
            PolicyName::Direct => Router::Direct(Box::new(dispatcher(experiment, &entries))),
            _ => Router::Baseline(Baseline::new(policy, engines)),
        };
        let endpoints: Vec<EndpointId> = entries.iter().map(EndpointEntry::id).collect();
        let by_id = endpoints.iter().enumerate();
        let mut emulation = Self {
            experiment,
            policy,
            seed,
            requests,
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            now_us: START_US,
            next_event_id: 0,
            event_queue: BinaryHeap::new(),
            events: HashMap::new(),
            routers: (0..routers).map(|_| new_router()).collect(),
            queued: HashMap::new(),
            engines: (0..engines)
                .map(|_| Engine::new(&experiment.engines))
                .collect(),
            is_stepping: vec![false; engines],
            engine_by_endpoint: by_id.map(|(index, id)| (*id, index)).collect(),
            endpoints,
            attempts: Vec::new(),
            callers: requests.iter().map(|_| Caller::default()).collect(),
            outcomes: vec![Outcome::default(); requests.len()],
            digest_seqs: vec![0; routers],
        };
        emulation.schedule_initial_events();
        emulation
    }

    /// Schedules the arrivals, deadlines and faults, and the first of each periodic event.
    fn schedule_initial_events(&mut self) {
        for (index, request) in self.requests.iter().enumerate() {
            let deadline_us = self.experiment.demand[request.demand].deadline_ms * 1_000;
            self.schedule(request.arrives_us, Event::Arrive { request: index });
            let gives_up_us = request.arrives_us + deadline_us;
            self.schedule(gives_up_us, Event::GiveUp { request: index });
        }
        for (fault, fault_spec) in self.experiment.faults.iter().enumerate() {
            self.schedule((fault_spec.at_s * 1e6) as u64, Event::StartFault { fault });
            let ends_us = ((fault_spec.at_s + fault_spec.for_s) * 1e6) as u64;
            self.schedule(ends_us, Event::EndFault { fault });
        }
        if self.policy == PolicyName::Direct {
            for router in 0..self.routers.len() {
                // Random offsets keep the routers' timers from firing in lockstep.
                let offset_us = self.rng.random_range(0..PUMP_INTERVAL_US);
                self.schedule(offset_us, Event::Pump { router });
                let offset_us = self.rng.random_range(0..self.digest_interval_us());
                self.schedule(offset_us, Event::SendDigest { router });
            }
        }
    }

    fn play(mut self) -> Figures {
        let longest_deadline_ms = self
            .experiment
            .demand
            .iter()
            .map(|demand| demand.deadline_ms)
            .max();
        let ends_us = START_US
            + (self.experiment.length_s * 1e6) as u64
            + longest_deadline_ms.unwrap_or(0) * 1_000;
        while let Some(Reverse((at_us, id))) = self.event_queue.pop() {
            if at_us > ends_us {
                break;
            }
            self.now_us = at_us;
            let event = self
                .events
                .remove(&id)
                .expect("each event is scheduled once");
            self.on_event(event);
        }
        let counters = self
            .engines
            .iter()
            .fold(EngineCounters::default(), |sum, engine| EngineCounters {
                read_tokens: sum.read_tokens + engine.counters.read_tokens,
                read_again_tokens: sum.read_again_tokens + engine.counters.read_again_tokens,
                cached_tokens: sum.cached_tokens + engine.counters.cached_tokens,
                preemptions: sum.preemptions + engine.counters.preemptions,
            });
        let (policy, seed) = (self.policy, self.seed);
        figures(
            self.experiment,
            policy,
            seed,
            self.requests,
            &self.outcomes,
            counters,
        )
    }

    /// Schedules an event relative to the current time.
    fn schedule(&mut self, delay_us: u64, event: Event) {
        let id = self.next_event_id;
        self.next_event_id += 1;
        self.event_queue.push(Reverse((self.now_us + delay_us, id)));
        self.events.insert(id, event);
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.now_us)
    }

    fn link_us(&self) -> u64 {
        (self.experiment.fleet.link_ms * 1e3) as u64
    }

    fn digest_interval_us(&self) -> u64 {
        self.experiment.fleet.digest_ms * 1_000
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive { request } => self.arrive(request),
            Event::GiveUp { request } => self.give_up(request),
            Event::Deliver { attempt } => self.deliver(attempt),
            Event::Step {
                engine,
                incarnation,
            } => self.step(engine, incarnation),
            Event::Output { attempt, is_last } => self.on_output(attempt, is_last),
            Event::Fail { attempt, outcome } => self.fail(attempt, outcome),
            Event::Pump { router } => {
                self.pump(router);
                self.schedule(PUMP_INTERVAL_US, Event::Pump { router });
            }
            Event::SendDigest { router } => self.send_digest(router),
            Event::ReceiveDigest { router, digest } => {
                let now = self.now();
                if let Router::Direct(dispatcher) = &mut self.routers[router] {
                    dispatcher.on_digest(&digest, now);
                }
            }
            Event::StartFault { fault } => self.set_fault_active(fault, true),
            Event::EndFault { fault } => self.set_fault_active(fault, false),
        }
    }

    fn arrive(&mut self, request: usize) {
        if self.callers[request].is_finished {
            return;
        }
        self.callers[request].tries += 1;
        let router = self.requests[request].router;
        let (spec, now) = (self.spec(request, SmallVec::new()), self.now());
        if let Router::Direct(dispatcher) = &mut self.routers[router] {
            dispatcher.on_request(&spec, now);
        }
        self.submit(request, spec);
    }

    fn submit(&mut self, request: usize, spec: RequestSpec) {
        let router = self.requests[request].router;
        match &mut self.routers[router] {
            Router::Direct(dispatcher) => {
                let id = dispatcher.submit(spec);
                self.queued.insert((router, id), request);
                self.callers[request].queue_id = Some(id);
                self.pump(router);
            }
            Router::Baseline(baseline) => {
                let engine = baseline.choose(&self.requests[request].parts, &mut self.rng);
                self.send(request, engine, None);
            }
        }
    }

    fn spec(&self, request: usize, tried: SmallVec<[EndpointId; 2]>) -> RequestSpec {
        let caller_request = &self.requests[request];
        let demand = &self.experiment.demand[caller_request.demand];
        // The deadline counts from the caller's first try, which the router does not know of.
        let gives_up_us = START_US + caller_request.arrives_us + demand.deadline_ms * 1_000;
        RequestSpec {
            service: Arc::from(SERVICE),
            team: Some(caller_request.team),
            priority: demand.priority,
            prompt_tokens: caller_request.parts.iter().map(|part| part.tokens).sum(),
            parts: caller_request.parts.iter().copied().collect(),
            answer_tokens: demand.events * demand.tokens_per_event,
            body_bytes: 1_000,
            arrived_at: self.now(),
            objective: Duration::from_millis(demand.objective_ms),
            give_up_at: Timestamp(gives_up_us),
            tried,
        }
    }

    fn pump(&mut self, router: usize) {
        let now = self.now();
        let Router::Direct(dispatcher) = &mut self.routers[router] else {
            return;
        };
        for (id, verdict) in dispatcher.decide_waiting(now) {
            let request = self
                .queued
                .remove(&(router, id))
                .expect("a decided request is queued");
            self.callers[request].queue_id = None;
            match verdict {
                Verdict::Send(grant) => {
                    let engine = self.engine_by_endpoint[&grant.endpoint];
                    self.send(request, engine, Some(grant.run));
                }
                Verdict::Refuse { retry_after, .. } => self.refuse(request, retry_after),
            }
        }
    }

    fn refuse(&mut self, request: usize, retry_after: Duration) {
        self.outcomes[request].refusals += 1;
        let caller_request = &self.requests[request];
        let deadline_us = self.experiment.demand[caller_request.demand].deadline_ms * 1_000;
        let left_us =
            (START_US + caller_request.arrives_us + deadline_us).saturating_sub(self.now_us);
        let after_us = retry_after.as_micros() as u64;
        let has_time = after_us as f64 <= left_us as f64 * RETRY_AFTER_MAX_FRACTION;
        if self.callers[request].tries < TRIES_MAX && has_time {
            self.schedule(after_us, Event::Arrive { request });
        } else {
            self.callers[request].is_finished = true;
        }
    }

    fn send(&mut self, request: usize, engine: usize, run: Option<RunId>) {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            router: self.requests[request].router,
            engine,
            run,
            is_finished: false,
        });
        self.callers[request].attempt = Some(attempt);
        self.schedule(self.link_us(), Event::Deliver { attempt });
    }

    fn deliver(&mut self, attempt: usize) {
        let Attempt {
            request,
            engine,
            is_finished,
            ..
        } = self.attempts[attempt];
        if is_finished {
            return;
        }
        if self.engines[engine].is_down {
            let outcome = RunOutcome::Unreachable;
            self.schedule(self.link_us(), Event::Fail { attempt, outcome });
            return;
        }
        if self.rng.random::<f64>() < self.engines[engine].error_fraction {
            let outcome = RunOutcome::ErrorAnswer;
            self.schedule(self.link_us(), Event::Fail { attempt, outcome });
            return;
        }
        let caller_request = &self.requests[request];
        let demand = &self.experiment.demand[caller_request.demand];
        let answer_tokens = u64::from(demand.events * demand.tokens_per_event);
        let tokens_per_event = u64::from(demand.tokens_per_event);
        let sequence = Sequence::new(
            attempt,
            &caller_request.parts,
            answer_tokens,
            tokens_per_event,
        );
        self.engines[engine].push(sequence);
        if !self.is_stepping[engine] {
            self.is_stepping[engine] = true;
            let incarnation = self.engines[engine].incarnation;
            self.schedule(
                0,
                Event::Step {
                    engine,
                    incarnation,
                },
            );
        }
    }

    fn step(&mut self, engine: usize, incarnation: u32) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        if self.engines[engine].is_idle() {
            self.is_stepping[engine] = false;
            return;
        }
        let (outputs, duration_us) = self.engines[engine].step();
        for output in outputs {
            let (attempt, is_last) = match output {
                StepOutput::Event(attempt) => (attempt, false),
                StepOutput::LastEvent(attempt) => (attempt, true),
            };
            self.schedule(
                duration_us + self.link_us(),
                Event::Output { attempt, is_last },
            );
        }
        let next = Event::Step {
            engine,
            incarnation,
        };
        self.schedule(duration_us, next);
    }

    fn on_output(&mut self, attempt: usize, is_last: bool) {
        let Attempt {
            request,
            router,
            run,
            is_finished,
            ..
        } = self.attempts[attempt];
        if is_finished {
            return;
        }
        let since_arrival_us = self.now_us - START_US - self.requests[request].arrives_us;
        let outcome = &mut self.outcomes[request];
        outcome.first_event_us.get_or_insert(since_arrival_us);
        let caller = &mut self.callers[request];
        if let Some(last_us) = caller.last_event_us.replace(self.now_us) {
            outcome.pause_max_us = outcome.pause_max_us.max(self.now_us - last_us);
        }
        let now = self.now();
        if let (Router::Direct(dispatcher), Some(run)) = (&mut self.routers[router], run) {
            dispatcher.on_bytes(run, now);
        }
        if is_last {
            self.outcomes[request].is_complete = true;
            self.callers[request].is_finished = true;
            self.end(attempt, RunOutcome::Done);
        }
        self.pump(router);
    }

    fn fail(&mut self, attempt: usize, outcome: RunOutcome) {
        let Attempt {
            request,
            router,
            engine,
            is_finished,
            ..
        } = self.attempts[attempt];
        if is_finished {
            return;
        }
        self.end(attempt, outcome);
        let has_started = self.outcomes[request].first_event_us.is_some();
        let now = self.now();
        let may_retry = match &mut self.routers[router] {
            Router::Direct(dispatcher) => dispatcher.take_retry(&Arc::from(SERVICE), now),
            Router::Baseline(_) => self.callers[request].tries < TRIES_MAX,
        };
        if has_started || !may_retry {
            self.callers[request].is_finished = true;
            return;
        }
        self.callers[request].tries += 1;
        let spec = self.spec(request, SmallVec::from_slice(&[self.endpoints[engine]]));
        self.submit(request, spec);
    }

    fn end(&mut self, attempt: usize, outcome: RunOutcome) {
        let now = self.now();
        let attempt = &mut self.attempts[attempt];
        attempt.is_finished = true;
        match &mut self.routers[attempt.router] {
            Router::Direct(dispatcher) => {
                let run = attempt
                    .run
                    .expect("the dispatcher assigns each attempt a run");
                dispatcher.on_ended(run, outcome, now);
            }
            Router::Baseline(baseline) => baseline.on_ended(attempt.engine),
        }
    }

    fn give_up(&mut self, request: usize) {
        if std::mem::replace(&mut self.callers[request].is_finished, true) {
            return;
        }
        let router = self.requests[request].router;
        if let (Router::Direct(dispatcher), Some(id)) =
            (&mut self.routers[router], self.callers[request].queue_id)
        {
            dispatcher.withdraw(id);
            self.queued.remove(&(router, id));
        }
        if let Some(attempt) = self.callers[request].attempt
            && !self.attempts[attempt].is_finished
        {
            self.end(attempt, RunOutcome::Cancelled);
            let engine = self.attempts[attempt].engine;
            self.engines[engine].cancel(attempt);
        }
    }

    fn set_fault_active(&mut self, fault: usize, is_active: bool) {
        let fault_spec = &self.experiment.faults[fault];
        for engine in 0..fault_spec.engines {
            match fault_spec.kind {
                FaultKind::Slow => {
                    self.engines[engine].slowdown = if is_active { fault_spec.times } else { 1.0 };
                }
                FaultKind::Grey => {
                    self.engines[engine].error_fraction =
                        if is_active { fault_spec.times } else { 0.0 };
                }
                FaultKind::Crash => {
                    self.engines[engine].is_down = is_active;
                    if is_active {
                        self.is_stepping[engine] = false;
                        for attempt in self.engines[engine].crash() {
                            let outcome = RunOutcome::Broken;
                            self.schedule(self.link_us(), Event::Fail { attempt, outcome });
                        }
                    }
                }
                // The generated arrivals already contain these.
                FaultKind::Burst | FaultKind::HotTeam => {}
            }
        }
    }
}

mod digest;
#[cfg(test)]
mod tests;
