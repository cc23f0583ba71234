//! The discrete-event driver: nodes, engines and the messages between them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use daisynotch_core::{
    Catalogue, Cost, EndpointId, Incarnation, Input, Introduction, MembershipSettings, Node,
    NodeSettings, Output, Peer, PeerMessage, ReleaseReason, RequestId, Revision, RouterId,
    SchedulerSettings, Timestamp, ZoneId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::engine::Engine;
use crate::load::{Load, SECOND_US};

const TICK_US: u64 = 20_000;
const REPORT_US: u64 = SECOND_US;
const DISPATCH_DELAY_US: u64 = 500;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    Ours,
    /// Any endpoint, at once; engines serve in the order of arrival.
    Random,
    /// The endpoint with the fewest connections of the same router.
    LeastConnections,
}

impl Policy {
    pub(crate) const ALL: [Self; 3] = [Self::Ours, Self::Random, Self::LeastConnections];
}

/// What became of a request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    pub(crate) first_token_us: Option<u64>,
    pub(crate) ended_us: Option<u64>,
    pub(crate) is_refused: bool,
    pub(crate) gap_us: u64,
}

#[derive(Debug)]
enum Event {
    Arrive(usize),
    Deliver(usize, Peer, PeerMessage),
    Tick(usize),
    Start(usize),
    Engine(usize, u64),
    Report(usize),
    Slow(usize, u64),
}

/// A request at an engine.
#[derive(Debug)]
struct Attempt {
    work: usize,
    router: usize,
    request: RequestId,
    engine: usize,
    started_us: u64,
    first_us: Option<u64>,
    is_over: bool,
}

struct Fleet<'a> {
    policy: Policy,
    load: &'a Load,
    rng: StdRng,
    now_us: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    nodes: Vec<Node>,
    engines: Vec<Engine>,
    endpoints: HashMap<EndpointId, usize>,
    attempts: Vec<Attempt>,
    works: HashMap<(usize, RequestId), usize>,
    connections: HashMap<(usize, usize), u32>,
    outcomes: Vec<Outcome>,
}

/// Runs a load under a policy.
pub(crate) fn run(policy: Policy, load: &Load) -> Vec<Outcome> {
    let endpoint = |index| EndpointId::from(&format!("e-{index}").parse().expect("a name"));
    let mut fleet = Fleet {
        policy,
        load,
        rng: StdRng::seed_from_u64(7),
        now_us: 0,
        events: BTreeMap::new(),
        next_event: 0,
        nodes: Vec::new(),
        engines: vec![Engine::default(); load.engines],
        endpoints: (0..load.engines)
            .map(|index| (endpoint(index), index))
            .collect(),
        attempts: Vec::new(),
        works: HashMap::new(),
        connections: HashMap::new(),
        outcomes: vec![Outcome::default(); load.requests.len()],
    };
    if policy == Policy::Ours {
        fleet.start_nodes();
    }
    for (work, request) in load.requests.iter().enumerate() {
        fleet.at(request.at_us, Event::Arrive(work));
    }
    for (at_us, engine, factor) in &load.slowdowns {
        fleet.at(*at_us, Event::Slow(*engine, *factor));
    }
    while let Some(((at_us, _), event)) = fleet.events.pop_first()
        && at_us <= load.until_us
    {
        fleet.now_us = at_us;
        fleet.step(event);
    }
    fleet.outcomes
}

fn introduction(router: usize, zones: usize) -> Introduction {
    let zone = format!("zone-{}", router % zones).parse().expect("a name");
    Introduction {
        peer: Peer {
            router: RouterId(router as u64 + 1),
            incarnation: Incarnation(1),
        },
        zone: ZoneId::from(&zone),
        caller_address: "127.0.0.1:9".parse().expect("an address"),
        peer_address: "127.0.0.1:10".parse().expect("an address"),
    }
}

impl Fleet<'_> {
    fn start_nodes(&mut self) {
        let objects = self
            .load
            .objects()
            .parse()
            .expect("the objects can be read");
        let catalogue = Arc::new(Catalogue::new(Revision(1), &objects));
        for router in 0..self.load.routers {
            let settings = NodeSettings {
                own: introduction(router, self.load.zones),
                membership: MembershipSettings::default(),
                scheduler: SchedulerSettings::default(),
            };
            let mut node = Node::new(settings, Timestamp(0));
            for other in 0..self.load.routers {
                node.handle(
                    Input::Connected(introduction(other, self.load.zones)),
                    Timestamp(0),
                );
            }
            node.handle(Input::Configured(Arc::clone(&catalogue)), Timestamp(0));
            self.nodes.push(node);
            self.at(
                router as u64 * TICK_US / self.load.routers as u64,
                Event::Tick(router),
            );
        }
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.events.insert((at_us, self.next_event), event);
        self.next_event += 1;
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrive(work) if self.policy == Policy::Ours => self.admit(work),
            Event::Arrive(work) => self.send_at_once(work),
            Event::Deliver(to, from, message) => self.input(to, Input::Message { from, message }),
            Event::Tick(router) => {
                self.input(router, Input::Tick);
                self.at(self.now_us + TICK_US, Event::Tick(router));
            }
            Event::Start(id) => {
                let Attempt { work, engine, .. } = self.attempts[id];
                let request = &self.load.requests[work];
                self.engines[engine].advance(self.now_us);
                self.engines[engine].start(id, request.tokens, request.spec.prefix);
                self.run_engine(engine);
            }
            Event::Engine(engine, version) if self.engines[engine].version != version => {}
            Event::Engine(engine, _) => {
                self.engines[engine].advance(self.now_us);
                self.run_engine(engine);
            }
            Event::Report(id) => self.report(id),
            Event::Slow(engine, factor) => {
                self.engines[engine].advance(self.now_us);
                self.engines[engine].slow_factor = factor;
                self.run_engine(engine);
            }
        }
    }

    fn admit(&mut self, work: usize) {
        let request = &self.load.requests[work];
        let now = Timestamp(self.now_us);
        let (admitted, outputs) = self.nodes[request.router].admit(request.spec.clone(), now);
        match admitted {
            Ok(id) => drop(self.works.insert((request.router, id), work)),
            Err(_) => self.outcomes[work].is_refused = true,
        }
        self.run_outputs(request.router, outputs);
    }

    fn input(&mut self, router: usize, input: Input) {
        let outputs = self.nodes[router].handle(input, Timestamp(self.now_us));
        self.run_outputs(router, outputs);
    }

    fn run_outputs(&mut self, router: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let at_us = self.now_us + self.rng.random_range(500..=1_500);
                    let from = introduction(router, self.load.zones).peer;
                    self.at(at_us, Event::Deliver(to.0 as usize - 1, from, message));
                }
                Output::Dispatch(dispatch) => {
                    let work = self.works[&(router, dispatch.request)];
                    self.send(work, dispatch.request, self.endpoints[&dispatch.endpoint]);
                }
                Output::Refuse { request, .. } => {
                    let work = self.works[&(router, request)];
                    self.outcomes[work].is_refused = true;
                }
            }
        }
    }

    fn send_at_once(&mut self, work: usize) {
        let router = self.load.requests[work].router;
        let random = self.rng.random_range(0..self.engines.len());
        let others = (0..self.engines.len()).map(|offset| (random + offset) % self.engines.len());
        let open = |engine: usize| self.connections.get(&(router, engine)).copied();
        let engine = match self.policy {
            Policy::Ours | Policy::Random => random,
            Policy::LeastConnections => others.min_by_key(|e| open(*e)).expect("there are engines"),
        };
        *self.connections.entry((router, engine)).or_default() += 1;
        self.send(work, RequestId(work as u64), engine);
    }

    fn send(&mut self, work: usize, request: RequestId, engine: usize) {
        let router = self.load.requests[work].router;
        let (started_us, id) = (self.now_us, self.attempts.len());
        let (first_us, is_over) = (None, false);
        self.attempts.push(Attempt {
            work,
            router,
            request,
            engine,
            started_us,
            first_us,
            is_over,
        });
        self.at(self.now_us + DISPATCH_DELAY_US, Event::Start(id));
        self.at(self.now_us + REPORT_US, Event::Report(id));
    }

    /// Follows what an engine has done and schedules what comes next.
    fn run_engine(&mut self, engine: usize) {
        while let Some((id, is_end)) = self.engines[engine].pop_due() {
            if is_end {
                self.on_end(id);
            } else {
                self.attempts[id].first_us = Some(self.now_us);
                let outcome = &mut self.outcomes[self.attempts[id].work];
                outcome.first_token_us.get_or_insert(self.now_us);
            }
        }
        self.engines[engine].version += 1;
        if let Some(due_us) = self.engines[engine].next_due_us() {
            self.at(due_us, Event::Engine(engine, self.engines[engine].version));
        }
    }

    fn on_end(&mut self, id: usize) {
        let Attempt {
            work,
            router,
            request,
            engine,
            started_us,
            first_us,
            ..
        } = self.attempts[id];
        let tokens = self.load.requests[work].tokens;
        let first_us = first_us.expect("the first token comes first");
        let gap_us = (self.now_us - first_us) / tokens;
        self.attempts[id].is_over = true;
        self.outcomes[work].ended_us = Some(self.now_us);
        self.outcomes[work].gap_us = gap_us;
        if self.policy != Policy::Ours {
            *self.connections.entry((router, engine)).or_default() -= 1;
            return;
        }
        let finished = Input::Finished {
            request,
            reason: ReleaseReason::Done,
            cost: Cost(tokens),
            first_token_ms: Some(((first_us - started_us) / 1_000) as u32),
            token_gap_us: Some(gap_us as u32),
        };
        self.input(router, finished);
    }

    /// Reports running work as the daemon's relay does.
    fn report(&mut self, id: usize) {
        let Attempt {
            router,
            request,
            started_us,
            first_us,
            is_over,
            ..
        } = self.attempts[id];
        if is_over || self.policy != Policy::Ours {
            return;
        }
        if let Some(first_us) = first_us {
            let first_token_ms = Some(((first_us - started_us) / 1_000) as u32);
            let cost = Cost((self.now_us - first_us) / 50_000);
            let token_gap_us = None;
            self.input(
                router,
                Input::Progress {
                    request,
                    cost,
                    first_token_ms,
                    token_gap_us,
                },
            );
        }
        self.at(self.now_us + REPORT_US, Event::Report(id));
    }
}
