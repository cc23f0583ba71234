//! Discrete-event simulation of nodes, engines and the messages between them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use daisynotch_core::{
    Catalogue, Cost, EndpointId, Incarnation, Input, Introduction, MembershipSettings, Node,
    NodeSettings, Output, Peer, PeerMessage, ReleaseReason, RequestId, Revision, RouterId,
    SchedulerSettings, TicketSeq, Timestamp, ZoneId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::engine::{Engine, PREFILL_TOKENS};
use crate::load::{Load, SECOND_US};

const TICK_INTERVAL_US: u64 = 20_000;
const REPORT_INTERVAL_US: u64 = SECOND_US / 4;
const DISPATCH_DELAY_US: u64 = 500;
/// Number of recent attempts to search for others of a request; hedges are among these.
const LATEST_ATTEMPTS: usize = 4_096;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    Ours,
    /// A random endpoint, immediately; engines serve requests in order of arrival.
    Random,
    /// The endpoint with the fewest connections from the same router.
    LeastConnections,
}

impl Policy {
    pub(crate) const ALL: [Self; 3] = [Self::Ours, Self::Random, Self::LeastConnections];
}

/// Result of a request.
#[derive(Debug, Clone, Default)]
pub(crate) struct Outcome {
    pub(crate) first_token_us: Option<u64>,
    pub(crate) ended_us: Option<u64>,
    pub(crate) is_refused: bool,
    pub(crate) gap_us: u64,
    /// Tokens spent on attempts that were cancelled.
    pub(crate) wasted_tokens: u64,
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

/// One attempt to serve a request on an engine.
#[derive(Debug)]
struct Attempt {
    request_index: usize,
    router: usize,
    request: RequestId,
    ticket: TicketSeq,
    engine: usize,
    tokens: u64,
    started_us: u64,
    first_us: Option<u64>,
    is_finished: bool,
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
    request_indices: HashMap<(usize, RequestId), usize>,
    connections: HashMap<(usize, usize), u32>,
    outcomes: Vec<Outcome>,
}

/// Runs a load under a policy and returns the outcome of each request in order.
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
        request_indices: HashMap::new(),
        connections: HashMap::new(),
        outcomes: vec![Outcome::default(); load.requests.len()],
    };
    if policy == Policy::Ours {
        fleet.start_nodes();
    }
    for (request_index, request) in load.requests.iter().enumerate() {
        fleet.schedule(request.at_us, Event::Arrive(request_index));
    }
    for (at_us, engine, factor) in &load.slowdowns {
        fleet.schedule(*at_us, Event::Slow(*engine, *factor));
    }
    while let Some(((at_us, _), event)) = fleet.events.pop_first()
        && at_us <= load.until_us
    {
        fleet.now_us = at_us;
        fleet.handle_event(event);
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
            .expect("the generated objects should parse");
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
            self.schedule(
                router as u64 * TICK_INTERVAL_US / self.load.routers as u64,
                Event::Tick(router),
            );
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.events.insert((at_us, self.next_event), event);
        self.next_event += 1;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Arrive(index) if self.policy == Policy::Ours => self.admit(index),
            Event::Arrive(index) => self.dispatch_immediately(index),
            Event::Deliver(to, from, message) => self.input(to, Input::Message { from, message }),
            Event::Tick(router) => {
                self.input(router, Input::Tick);
                self.schedule(self.now_us + TICK_INTERVAL_US, Event::Tick(router));
            }
            Event::Start(id) if self.attempts[id].is_finished => {}
            Event::Start(id) => {
                let Attempt {
                    request_index,
                    engine,
                    ..
                } = self.attempts[id];
                let request = &self.load.requests[request_index];
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

    fn admit(&mut self, request_index: usize) {
        let request = &self.load.requests[request_index];
        let now = Timestamp(self.now_us);
        let (admitted, outputs) = self.nodes[request.router].admit(request.spec.clone(), now);
        match admitted {
            Ok(id) => drop(
                self.request_indices
                    .insert((request.router, id), request_index),
            ),
            Err(_) => self.outcomes[request_index].is_refused = true,
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
                    self.schedule(at_us, Event::Deliver(to.0 as usize - 1, from, message));
                }
                Output::Dispatch(dispatch) => {
                    let request_index = self.request_indices[&(router, dispatch.request)];
                    let engine = self.endpoints[&dispatch.endpoint];
                    self.send(request_index, dispatch.request, dispatch.ticket, engine);
                    self.input(router, Input::Sent(dispatch.request));
                }
                Output::Refuse { request, .. } => {
                    let request_index = self.request_indices[&(router, request)];
                    self.outcomes[request_index].is_refused = true;
                }
            }
        }
    }

    fn dispatch_immediately(&mut self, request_index: usize) {
        let router = self.load.requests[request_index].router;
        let random = self.rng.random_range(0..self.engines.len());
        let others = (0..self.engines.len()).map(|offset| (random + offset) % self.engines.len());
        let open = |engine: usize| self.connections.get(&(router, engine)).copied();
        let engine = match self.policy {
            Policy::Ours | Policy::Random => random,
            Policy::LeastConnections => others.min_by_key(|e| open(*e)).expect("there are engines"),
        };
        *self.connections.entry((router, engine)).or_default() += 1;
        self.send(
            request_index,
            RequestId(request_index as u64),
            TicketSeq(0),
            engine,
        );
    }

    fn send(&mut self, request_index: usize, request: RequestId, ticket: TicketSeq, engine: usize) {
        let id = self.attempts.len();
        self.attempts.push(Attempt {
            request_index,
            router: self.load.requests[request_index].router,
            request,
            ticket,
            engine,
            tokens: 0,
            started_us: self.now_us,
            first_us: None,
            is_finished: false,
        });
        self.schedule(self.now_us + DISPATCH_DELAY_US, Event::Start(id));
        self.schedule(self.now_us + REPORT_INTERVAL_US, Event::Report(id));
    }

    /// Handles the due first tokens and completions of an engine and schedules its next event.
    fn run_engine(&mut self, engine: usize) {
        while let Some((id, is_end)) = self.engines[engine].pop_due() {
            if is_end {
                self.on_end(id);
            } else {
                self.on_first_token(id);
            }
        }
        self.engines[engine].version += 1;
        if let Some(due_us) = self.engines[engine].next_due_us() {
            self.schedule(due_us, Event::Engine(engine, self.engines[engine].version));
        }
    }

    /// Records a first token and cancels the request's other attempts, as the daemon does.
    fn on_first_token(&mut self, id: usize) {
        let Attempt {
            request_index,
            router,
            request,
            ticket,
            started_us,
            ..
        } = self.attempts[id];
        self.attempts[id].first_us = Some(self.now_us);
        self.outcomes[request_index]
            .first_token_us
            .get_or_insert(self.now_us);
        if self.policy != Policy::Ours {
            return;
        }
        let others = (0..self.attempts.len()).rev().take(LATEST_ATTEMPTS);
        let is_other =
            |other: &usize| *other != id && self.attempts[*other].request_index == request_index;
        for other in others.filter(is_other).collect::<Vec<_>>() {
            self.cancel(other);
        }
        self.input(router, Input::Answered { request, ticket });
        let first_token_ms = Some(((self.now_us - started_us) / 1_000) as u32);
        let (cost, token_gap_us) = (Cost(1), None);
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

    fn cancel(&mut self, id: usize) {
        let Attempt {
            request_index,
            engine,
            ..
        } = self.attempts[id];
        self.attempts[id].is_finished = true;
        self.engines[engine].advance(self.now_us);
        let left = self.engines[engine].tokens_left(id);
        self.engines[engine].cancel(id);
        let total = self.load.requests[request_index].tokens + PREFILL_TOKENS;
        self.outcomes[request_index].wasted_tokens += total - left.min(total);
        self.schedule(
            self.now_us,
            Event::Engine(engine, self.engines[engine].version),
        );
    }

    fn on_end(&mut self, id: usize) {
        let Attempt {
            request_index,
            router,
            request,
            engine,
            started_us,
            first_us,
            ..
        } = self.attempts[id];
        let tokens = self.load.requests[request_index].tokens;
        let first_us = first_us.expect("a request should complete only after its first token");
        let gap_us = (self.now_us - first_us) / tokens;
        self.attempts[id].is_finished = true;
        self.outcomes[request_index].ended_us = Some(self.now_us);
        self.outcomes[request_index].gap_us = gap_us;
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

    /// Reports the progress of a running attempt, as the daemon's relay does.
    fn report(&mut self, id: usize) {
        let Attempt {
            request_index,
            router,
            request,
            engine,
            started_us,
            first_us,
            is_finished,
            ..
        } = self.attempts[id];
        if is_finished || self.policy != Policy::Ours {
            return;
        }
        if let Some(first_us) = first_us {
            self.engines[engine].advance(self.now_us);
            let left = self.engines[engine].tokens_left(id);
            let tokens = self.load.requests[request_index].tokens - left;
            let recent = (tokens - self.attempts[id].tokens).max(1);
            self.attempts[id].tokens = tokens;
            let since_us = REPORT_INTERVAL_US.min(self.now_us - first_us);
            let first_token_ms = Some(((first_us - started_us) / 1_000) as u32);
            let token_gap_us = Some((since_us / recent) as u32);
            let cost = Cost(tokens);
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
        self.schedule(self.now_us + REPORT_INTERVAL_US, Event::Report(id));
    }
}
