//! Runs an experiment as a discrete-event simulation of callers, routers, engines and faults.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::Timestamp;
use daisynotch_core::direct::{
    CrashNews, Digest, Dispatcher, EndpointEntry, QueueId, RefuseReason, RequestSpec, RunId,
    RunOutcome, SpeedNews, Verdict, WorkNews,
};
use daisynotch_objects::EndpointId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

pub(crate) use crashes::Crashes;

use crate::engine::{Engine, Sequence, StepOutput};
use crate::experiment::Experiment;
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
/// The largest length of a response that callers state, as a multiple of the mean.
const ANSWER_MAX_TIMES: u32 = 5;
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
        digest: Rc<(Digest, CrashNews, SpeedNews, WorkNews)>,
    },
    /// The engine crashes because it begins to answer a fatal request.
    Crash {
        engine: usize,
        incarnation: u32,
    },
    /// A crashed engine is back.
    Restart {
        engine: usize,
    },
    /// Other engines become slow.
    SlowMoment,
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
    fault_rng: StdRng,
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
    /// The first peer that gets each router's next digest.
    digest_cursors: Vec<usize>,
    crashes: Crashes,
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
            .map(|index| endpoint_entry(experiment, index, 0))
            .collect();
        let routers = experiment.fleet.routers;
        let new_router = || match policy {
            policy if policy.has_dispatcher() => {
                Router::Direct(Box::new(dispatcher(experiment, &entries)))
            }
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
            fault_rng: StdRng::seed_from_u64(seed ^ 0x510),
            now_us: START_US,
            next_event_id: 0,
            event_queue: BinaryHeap::new(),
            events: HashMap::new(),
            routers: (0..routers).map(|_| new_router()).collect(),
            queued: HashMap::new(),
            engines: (0..engines)
                .map(|index| Engine::new(&experiment.engines, index))
                .collect(),
            is_stepping: vec![false; engines],
            engine_by_endpoint: by_id.map(|(index, id)| (*id, index)).collect(),
            endpoints,
            attempts: Vec::new(),
            callers: requests.iter().map(|_| Caller::default()).collect(),
            outcomes: vec![Outcome::default(); requests.len()],
            digest_seqs: vec![0; routers],
            digest_cursors: (0..routers).collect(),
            crashes: Crashes::default(),
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
        if self.experiment.engines.slow_moments.is_some() {
            self.schedule(0, Event::SlowMoment);
        }
        if self.policy.has_dispatcher() {
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
        let engines = self.engines.iter();
        let counters: Vec<_> = engines
            .map(|engine| (engine.speed, engine.counters))
            .collect();
        let (policy, seed) = (self.policy, self.seed);
        figures(
            self.experiment,
            policy,
            seed,
            self.requests,
            &self.outcomes,
            &counters,
            &self.crashes,
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
                    dispatcher.on_digest(&digest.0, now);
                    dispatcher.on_crash_news(&digest.1, now);
                    dispatcher.on_speed_news(&digest.2, now);
                    dispatcher.on_work_news(&digest.0, &digest.3);
                }
            }
            Event::Crash {
                engine,
                incarnation,
            } => self.crash_by_part(engine, incarnation),
            Event::Restart { engine } => self.restart(engine),
            Event::SlowMoment => self.next_slow_moment(),
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
        let (mut spec, now) = (self.spec(request, SmallVec::new()), self.now());
        if let Router::Direct(dispatcher) = &mut self.routers[router] {
            dispatcher.estimate_answer(&mut spec, now);
            dispatcher.on_request(&spec, now);
        }
        self.submit(request, spec);
    }

    fn submit(&mut self, request: usize, mut spec: RequestSpec) {
        let router = self.requests[request].router;
        if self.is_blocked_by_count(request) {
            self.refuse_blocked(request);
            return;
        }
        match &mut self.routers[router] {
            Router::Direct(dispatcher) => {
                dispatcher.estimate_answer(&mut spec, Timestamp(self.now_us));
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
            route: Arc::from(demand.name.as_str()),
            answer_hint_tokens: Some(caller_request.hint_tokens),
            answer_max_tokens: demand.events * demand.tokens_per_event * ANSWER_MAX_TIMES,
            body_bytes: 1_000,
            arrived_at: self.now(),
            objective: Duration::from_millis(demand.objective_ms),
            give_up_at: Timestamp(gives_up_us),
            tried,
            ..RequestSpec::default()
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
                Verdict::Refuse {
                    reason: RefuseReason::CrashingPart,
                    ..
                } => self.refuse_blocked(request),
                Verdict::Refuse { retry_after, .. } => self.refuse(request, retry_after),
            }
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
        let answer_tokens = u64::from(caller_request.events * demand.tokens_per_event);
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
            if self.requests[self.attempts[attempt].request].is_fatal {
                let crash = Event::Crash {
                    engine,
                    incarnation,
                };
                self.schedule(duration_us, crash);
                continue;
            }
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
            dispatcher.on_event(run, 1, now);
        }
        if is_last {
            self.outcomes[request].is_complete = true;
            self.callers[request].is_finished = true;
            self.end(attempt, RunOutcome::Done);
        }
        self.pump(router);
    }
}

mod crashes;
mod digest;
mod ends;
mod faults;
#[cfg(test)]
mod tests;
