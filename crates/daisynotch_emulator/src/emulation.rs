//! The run of an experiment: an event queue with callers, routers, engines and faults.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::Timestamp;
use daisynotch_core::direct::{
    ConfigurationStamp, Digest, Dispatcher, EndpointEntry, QueueId, RequestSpec, RunId, RunOutcome,
    StorePosition, Verdict,
};
use daisynotch_objects::EndpointId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use smallvec::SmallVec;

use crate::engine::{Engine, Made, Sequence, Work};
use crate::experiment::{Experiment, FaultKind};
use crate::figures::{Figures, Outcome, Report, figures};
use crate::fleet::{SERVICE, dispatcher, entry, introduction};
use crate::load::{Request, requests};
use crate::policy::{Baseline, PolicyName};

/// How often a router decides when nothing else happens, as the product does.
const PUMP_US: u64 = 25_000;
/// How long callers wait at most for a refused request's second try, as a part of their time.
const RETURN_MAX_PART: f64 = 1.0 / 3.0;
/// Tries of one caller.
const TRIES_MAX: u32 = 2;
/// Where simulated time begins: ages of nothing must not be negative.
const START_US: u64 = 100_000_000;

/// Plays an experiment with each of its policies and seeds.
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
    Arrive { request: usize },
    GiveUp { request: usize },
    Deliver { attempt: usize },
    Step { engine: usize, incarnation: u32 },
    Piece { attempt: usize, is_last: bool },
    Fail { attempt: usize, ended: RunOutcome },
    Pump { router: usize },
    Tell { router: usize },
    Hear { router: usize, digest: Box<Digest> },
    Begin { fault: usize },
    End { fault: usize },
}

/// A request that was sent to an engine.
#[derive(Debug)]
struct Attempt {
    request: usize,
    router: usize,
    engine: usize,
    run: Option<RunId>,
    is_over: bool,
}

/// A caller's request while it lasts.
#[derive(Debug, Default)]
struct Caller {
    tries: u32,
    /// Where it waits, if it does.
    queued: Option<QueueId>,
    attempt: Option<usize>,
    last_piece_us: Option<u64>,
    is_over: bool,
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
    next_event: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    routers: Vec<Router>,
    queued: HashMap<(usize, QueueId), usize>,
    engines: Vec<Engine>,
    is_stepping: Vec<bool>,
    /// The engines' names, and the other way round.
    endpoints: Vec<EndpointId>,
    engine_of: HashMap<EndpointId, usize>,
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
        let entries: Vec<EndpointEntry> =
            (0..engines).map(|index| entry(experiment, index)).collect();
        let routers = experiment.fleet.routers;
        let make = || match policy {
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
            next_event: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            routers: (0..routers).map(|_| make()).collect(),
            queued: HashMap::new(),
            engines: (0..engines)
                .map(|_| Engine::new(&experiment.engines))
                .collect(),
            is_stepping: vec![false; engines],
            engine_of: by_id.map(|(index, id)| (*id, index)).collect(),
            endpoints,
            attempts: Vec::new(),
            callers: requests.iter().map(|_| Caller::default()).collect(),
            outcomes: vec![Outcome::default(); requests.len()],
            digest_seqs: vec![0; routers],
        };
        emulation.plan();
        emulation
    }

    /// Puts all that is known before the start into the queue.
    fn plan(&mut self) {
        for (index, request) in self.requests.iter().enumerate() {
            let deadline_us = self.experiment.demand[request.demand].deadline_ms * 1_000;
            self.after(request.arrives_us, Event::Arrive { request: index });
            let gives_up_us = request.arrives_us + deadline_us;
            self.after(gives_up_us, Event::GiveUp { request: index });
        }
        for (fault, planned) in self.experiment.faults.iter().enumerate() {
            self.after((planned.at_s * 1e6) as u64, Event::Begin { fault });
            let ends_us = ((planned.at_s + planned.for_s) * 1e6) as u64;
            self.after(ends_us, Event::End { fault });
        }
        if self.policy == PolicyName::Direct {
            for router in 0..self.routers.len() {
                // Routers don't act in step.
                let offset_us = self.rng.random_range(0..PUMP_US);
                self.after(offset_us, Event::Pump { router });
                let offset_us = self.rng.random_range(0..self.digest_us());
                self.after(offset_us, Event::Tell { router });
            }
        }
    }

    fn play(mut self) -> Figures {
        let longest_ms = self
            .experiment
            .demand
            .iter()
            .map(|demand| demand.deadline_ms)
            .max();
        let ends_us =
            START_US + (self.experiment.length_s * 1e6) as u64 + longest_ms.unwrap_or(0) * 1_000;
        while let Some(Reverse((at_us, id))) = self.queue.pop() {
            if at_us > ends_us {
                break;
            }
            self.now_us = at_us;
            let event = self.events.remove(&id).expect("each event is queued once");
            self.on_event(event);
        }
        let work = self
            .engines
            .iter()
            .fold(Work::default(), |sum, engine| Work {
                read_tokens: sum.read_tokens + engine.work.read_tokens,
                read_again_tokens: sum.read_again_tokens + engine.work.read_again_tokens,
                kept_tokens: sum.kept_tokens + engine.work.kept_tokens,
                preemptions: sum.preemptions + engine.work.preemptions,
            });
        let (policy, seed) = (self.policy, self.seed);
        figures(
            self.experiment,
            policy,
            seed,
            self.requests,
            &self.outcomes,
            work,
        )
    }

    fn after(&mut self, delay_us: u64, event: Event) {
        let id = self.next_event;
        self.next_event += 1;
        self.queue.push(Reverse((self.now_us + delay_us, id)));
        self.events.insert(id, event);
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.now_us)
    }

    fn link_us(&self) -> u64 {
        (self.experiment.fleet.link_ms * 1e3) as u64
    }

    fn digest_us(&self) -> u64 {
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
            Event::Piece { attempt, is_last } => self.piece(attempt, is_last),
            Event::Fail { attempt, ended } => self.fail(attempt, ended),
            Event::Pump { router } => {
                self.pump(router);
                self.after(PUMP_US, Event::Pump { router });
            }
            Event::Tell { router } => self.tell(router),
            Event::Hear { router, digest } => {
                let now = self.now();
                if let Router::Direct(dispatcher) = &mut self.routers[router] {
                    dispatcher.on_digest(&digest, now);
                }
            }
            Event::Begin { fault } => self.turn_fault(fault, true),
            Event::End { fault } => self.turn_fault(fault, false),
        }
    }

    fn arrive(&mut self, request: usize) {
        if self.callers[request].is_over {
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
                self.callers[request].queued = Some(id);
                self.pump(router);
            }
            Router::Baseline(baseline) => {
                let engine = baseline.choose(&self.requests[request].parts, &mut self.rng);
                self.send(request, engine, None);
            }
        }
    }

    fn spec(&self, request: usize, tried: SmallVec<[EndpointId; 2]>) -> RequestSpec {
        let asked = &self.requests[request];
        let demand = &self.experiment.demand[asked.demand];
        // A try is measured from the caller's first one, which the router does not know.
        let gives_up_us = START_US + asked.arrives_us + demand.deadline_ms * 1_000;
        RequestSpec {
            service: Arc::from(SERVICE),
            team: Some(asked.team),
            priority: demand.priority,
            prompt_tokens: asked.parts.iter().map(|part| part.tokens).sum(),
            parts: asked.parts.iter().copied().collect(),
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
            let request = self.queued.remove(&(router, id)).expect("it was queued");
            self.callers[request].queued = None;
            match verdict {
                Verdict::Send(grant) => {
                    let engine = self.engine_of[&grant.endpoint];
                    self.send(request, engine, Some(grant.run));
                }
                Verdict::Refuse { retry_after, .. } => self.refuse(request, retry_after),
            }
        }
    }

    fn refuse(&mut self, request: usize, retry_after: Duration) {
        self.outcomes[request].refusals += 1;
        let asked = &self.requests[request];
        let deadline_us = self.experiment.demand[asked.demand].deadline_ms * 1_000;
        let left_us = (START_US + asked.arrives_us + deadline_us).saturating_sub(self.now_us);
        let after_us = retry_after.as_micros() as u64;
        let has_time = after_us as f64 <= left_us as f64 * RETURN_MAX_PART;
        if self.callers[request].tries < TRIES_MAX && has_time {
            self.after(after_us, Event::Arrive { request });
        } else {
            self.callers[request].is_over = true;
        }
    }

    fn send(&mut self, request: usize, engine: usize, run: Option<RunId>) {
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            router: self.requests[request].router,
            engine,
            run,
            is_over: false,
        });
        self.callers[request].attempt = Some(attempt);
        self.after(self.link_us(), Event::Deliver { attempt });
    }

    fn deliver(&mut self, attempt: usize) {
        let Attempt {
            request,
            engine,
            is_over,
            ..
        } = self.attempts[attempt];
        if is_over {
            return;
        }
        if self.engines[engine].is_down {
            let ended = RunOutcome::Unreachable;
            self.after(self.link_us(), Event::Fail { attempt, ended });
            return;
        }
        if self.rng.random::<f64>() < self.engines[engine].failing_part {
            let ended = RunOutcome::ErrorAnswer;
            self.after(self.link_us(), Event::Fail { attempt, ended });
            return;
        }
        let asked = &self.requests[request];
        let demand = &self.experiment.demand[asked.demand];
        let answer_tokens = u64::from(demand.events * demand.tokens_per_event);
        let per_event = u64::from(demand.tokens_per_event);
        let sequence = Sequence::new(attempt, &asked.parts, answer_tokens, per_event);
        self.engines[engine].push(sequence);
        if !self.is_stepping[engine] {
            self.is_stepping[engine] = true;
            let incarnation = self.engines[engine].incarnation;
            self.after(
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
        let (made, took_us) = self.engines[engine].step();
        for made in made {
            let (attempt, is_last) = match made {
                Made::Event(attempt) => (attempt, false),
                Made::Last(attempt) => (attempt, true),
            };
            self.after(took_us + self.link_us(), Event::Piece { attempt, is_last });
        }
        let next = Event::Step {
            engine,
            incarnation,
        };
        self.after(took_us, next);
    }

    fn piece(&mut self, attempt: usize, is_last: bool) {
        let Attempt {
            request,
            router,
            run,
            is_over,
            ..
        } = self.attempts[attempt];
        if is_over {
            return;
        }
        let since_arrival_us = self.now_us - START_US - self.requests[request].arrives_us;
        let outcome = &mut self.outcomes[request];
        outcome.first_us.get_or_insert(since_arrival_us);
        let caller = &mut self.callers[request];
        if let Some(last_us) = caller.last_piece_us.replace(self.now_us) {
            outcome.pause_max_us = outcome.pause_max_us.max(self.now_us - last_us);
        }
        let now = self.now();
        if let (Router::Direct(dispatcher), Some(run)) = (&mut self.routers[router], run) {
            dispatcher.on_bytes(run, now);
        }
        if is_last {
            self.outcomes[request].is_complete = true;
            self.callers[request].is_over = true;
            self.end(attempt, RunOutcome::Done);
        }
        self.pump(router);
    }

    fn fail(&mut self, attempt: usize, ended: RunOutcome) {
        let Attempt {
            request,
            router,
            engine,
            is_over,
            ..
        } = self.attempts[attempt];
        if is_over {
            return;
        }
        self.end(attempt, ended);
        let has_begun = self.outcomes[request].first_us.is_some();
        let now = self.now();
        let may_repeat = match &mut self.routers[router] {
            Router::Direct(dispatcher) => dispatcher.take_retry(&Arc::from(SERVICE), now),
            Router::Baseline(_) => self.callers[request].tries < TRIES_MAX,
        };
        if has_begun || !may_repeat {
            self.callers[request].is_over = true;
            return;
        }
        self.callers[request].tries += 1;
        let spec = self.spec(request, SmallVec::from_slice(&[self.endpoints[engine]]));
        self.submit(request, spec);
    }

    fn end(&mut self, attempt: usize, ended: RunOutcome) {
        let now = self.now();
        let attempt = &mut self.attempts[attempt];
        attempt.is_over = true;
        match &mut self.routers[attempt.router] {
            Router::Direct(dispatcher) => {
                let run = attempt.run.expect("the product names each run");
                dispatcher.on_ended(run, ended, now);
            }
            Router::Baseline(baseline) => baseline.on_ended(attempt.engine),
        }
    }

    fn give_up(&mut self, request: usize) {
        if std::mem::replace(&mut self.callers[request].is_over, true) {
            return;
        }
        let router = self.requests[request].router;
        if let (Router::Direct(dispatcher), Some(id)) =
            (&mut self.routers[router], self.callers[request].queued)
        {
            dispatcher.withdraw(id);
            self.queued.remove(&(router, id));
        }
        if let Some(attempt) = self.callers[request].attempt
            && !self.attempts[attempt].is_over
        {
            self.end(attempt, RunOutcome::Cancelled);
            let engine = self.attempts[attempt].engine;
            self.engines[engine].cancel(attempt);
        }
    }

    fn tell(&mut self, router: usize) {
        let now = self.now();
        self.digest_seqs[router] += 1;
        let seq = self.digest_seqs[router];
        let Router::Direct(dispatcher) = &mut self.routers[router] else {
            return;
        };
        dispatcher.expire(now);
        let (endpoints, teams, placed) = dispatcher.to_digest(now);
        let digest = Digest {
            host: introduction(router),
            seq,
            configuration: ConfigurationStamp::default(),
            configuration_age_ms: None,
            endpoints_at: StorePosition::default(),
            leaving: Vec::new(),
            arrivals_per_core_s: 0,
            endpoints,
            teams,
            placed,
            is_brief: false,
            known_hosts: Vec::new(),
            known_hosts_len: 0,
            heartbeats: Vec::new(),
            introduced: Vec::new(),
        };
        for other in (0..self.routers.len()).filter(|other| *other != router) {
            let digest = Box::new(digest.clone());
            let hear = Event::Hear {
                router: other,
                digest,
            };
            self.after(self.link_us(), hear);
        }
        self.after(self.digest_us(), Event::Tell { router });
    }

    fn turn_fault(&mut self, fault: usize, begins: bool) {
        let planned = &self.experiment.faults[fault];
        for engine in 0..planned.engines {
            match planned.kind {
                FaultKind::Slow => {
                    self.engines[engine].slowness = if begins { planned.times } else { 1.0 };
                }
                FaultKind::Grey => {
                    self.engines[engine].failing_part = if begins { planned.times } else { 0.0 };
                }
                FaultKind::Crash => {
                    self.engines[engine].is_down = begins;
                    if begins {
                        self.is_stepping[engine] = false;
                        for attempt in self.engines[engine].crash() {
                            let ended = RunOutcome::Broken;
                            self.after(self.link_us(), Event::Fail { attempt, ended });
                        }
                    }
                }
                // The arrivals have these already.
                FaultKind::Burst | FaultKind::HotTeam => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;
