//! Simulates real nodes of one pool under a virtual clock, with backlogged callers.
//!
//! The same callers and endpoints also run under two baseline policies for
//! comparison. A run is deterministic for a given seed.

#![allow(
    dead_code,
    missing_docs,
    unreachable_pub,
    reason = "tests and benches each use a subset of this module, which is not a public interface"
)]

mod fleet;

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use daisynotch_core::{
    Cost, Dispatch, Incarnation, Input, Introduction, LengthClass, Node, Output, Peer, PeerMessage,
    PoolId, ReleaseReason, RequestId, RequestSpec, RouterId, TeamId, Timestamp, ZoneId,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use fleet::{catalogue, node, team_id, zone_id};

/// The time that an endpoint takes to process one cost unit.
pub const UNIT_US: u64 = 20_000;
/// The maximum cost of a request.
pub const COST_MAX: u64 = 150;
const COST_MIN: u64 = 50;
const TICK_US: u64 = 20_000;
const PROGRESS_US: u64 = 500_000;
const RETRY_US: u64 = 1_000_000;
const SAMPLE_US: u64 = 1_000_000;
/// The time after joining until a team counts as backlogged.
const SETTLE_US: u64 = 2_000_000;
const IN_ZONE_US: u64 = 200;
const CROSS_ZONE_US: u64 = 1_500;

/// How an endpoint is selected for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// The nodes under test select it.
    Nodes,
    /// A random endpoint with a FIFO queue.
    Random,
    /// The endpoint with the fewest requests from the same router, with a FIFO queue.
    LeastConnections,
}

/// The callers of one team.
#[derive(Debug, Clone)]
pub struct Team {
    pub share: Option<u32>,
    pub weight: u32,
    /// The ratio of the cost hint to the real cost, in tenths.
    pub hint_tenths: u64,
    /// The number of requests that the callers keep open at each router of `routers`.
    pub open: usize,
    pub routers: Vec<usize>,
    pub from_us: u64,
    pub until_us: u64,
    /// Whether enough requests are open that some are always queued.
    pub is_backlogged: bool,
}

/// The network faults of exchange messages; tickets, grants and releases are always delivered.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExchangeFaults {
    pub lost_percent: u32,
    pub duplicated_percent: u32,
    pub delayed_percent: u32,
    pub delay_us: u64,
}

#[derive(Debug, Clone)]
pub struct Setup {
    pub seed: u64,
    pub policy: Policy,
    pub routers: usize,
    pub zones: usize,
    /// The number of endpoints in each zone.
    pub endpoints: Vec<usize>,
    pub slots: u32,
    pub teams: Vec<Team>,
    pub faults: ExchangeFaults,
    /// The start and end of a partition between zone 0 and the others, in microseconds.
    pub partition_us: Option<(u64, u64)>,
    pub warm_up_us: u64,
    pub end_us: u64,
}

impl Setup {
    pub fn slot_count(&self) -> u64 {
        self.endpoints.iter().sum::<usize>() as u64 * u64::from(self.slots)
    }
}

/// The measurements of a run.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The cost units served to each team after the warm-up.
    pub served: Vec<u64>,
    /// The largest gap in weighted service between two teams over any interval.
    pub gap: f64,
    /// The two teams with the largest gap.
    pub gap_teams: (usize, usize),
    pub utilisation: f64,
    /// The longest time from admission to dispatch, for each team.
    pub longest_wait_us: Vec<u64>,
    pub dispatched_twice: usize,
    pub finished: usize,
    pub refused: Vec<usize>,
    /// The exchange bytes per second of the router that sent the most.
    pub exchange_bytes_per_s: f64,
    /// The control bytes of all kinds except heartbeats, per finished request.
    pub control_bytes_per_request: f64,
}

#[derive(Debug)]
enum Event {
    Tick(usize),
    Deliver {
        to: usize,
        from: Peer,
        message: PeerMessage,
    },
    Progress(Work),
    Finish(Work),
    Admit {
        router: usize,
        team: usize,
    },
    EndPartition,
    Sample,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Work {
    router: usize,
    request: RequestId,
}

#[derive(Debug, Clone, Copy)]
struct OpenWork {
    team: usize,
    cost: u64,
    admitted_us: u64,
    started_us: Option<u64>,
    counted: u64,
    endpoint: Option<usize>,
}

/// An endpoint under a baseline policy, with its own queue.
#[derive(Debug, Default)]
struct Endpoint {
    running: u32,
    queue: VecDeque<Work>,
}

pub struct Cluster {
    setup: Setup,
    random: StdRng,
    nodes: Vec<Node>,
    peers: Vec<Peer>,
    introductions: Vec<Introduction>,
    zones: Vec<usize>,
    team_ids: Vec<TeamId>,
    pool: PoolId,
    now_us: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    work: HashMap<Work, OpenWork>,
    dispatched: HashSet<Work>,
    endpoints: Vec<Endpoint>,
    connections: HashMap<(usize, usize), u32>,
    next_request: u64,
    served: Vec<u64>,
    samples: Vec<Vec<u64>>,
    busy_us: u64,
    exchange_bytes: Vec<u64>,
    control_bytes: u64,
    report: Report,
}

impl Cluster {
    pub fn measure(setup: Setup) -> Report {
        let mut cluster = Self::new(setup);
        cluster.start();
        while let Some(((at_us, _), event)) = cluster.events.pop_first() {
            if at_us >= cluster.setup.end_us {
                break;
            }
            cluster.now_us = at_us;
            cluster.on_event(event);
        }
        cluster.report()
    }

    fn new(setup: Setup) -> Self {
        let catalogue = Arc::new(catalogue(&setup));
        let zones: Vec<usize> = (0..setup.routers).map(|at| at % setup.zones).collect();
        let zone_ids: Vec<ZoneId> = (0..setup.zones).map(zone_id).collect();
        let introduction = |at: usize| Introduction {
            peer: Peer {
                router: RouterId(1 + at as u64),
                incarnation: Incarnation(1),
            },
            zone: zone_ids[zones[at]],
            peer_address: "127.0.0.1:9".parse().expect("the address is valid"),
            caller_address: "127.0.0.1:9".parse().expect("the address is valid"),
        };
        let introductions: Vec<Introduction> = (0..setup.routers).map(introduction).collect();
        let mut nodes = Vec::new();
        let node_count = match setup.policy {
            Policy::Nodes => setup.routers,
            Policy::Random | Policy::LeastConnections => 0,
        };
        for own in introductions.iter().take(node_count) {
            nodes.push(node(*own, &introductions, &catalogue));
        }
        let endpoint_count = setup.endpoints.iter().sum();
        Self {
            random: StdRng::seed_from_u64(setup.seed),
            peers: introductions.iter().map(|own| own.peer).collect(),
            team_ids: (0..setup.teams.len()).map(team_id).collect(),
            pool: *catalogue.pools.keys().next().expect("there is a pool"),
            now_us: 0,
            events: BTreeMap::new(),
            next_event: 0,
            work: HashMap::new(),
            dispatched: HashSet::new(),
            endpoints: (0..endpoint_count).map(|_| Endpoint::default()).collect(),
            connections: HashMap::new(),
            next_request: 0,
            served: vec![0; setup.teams.len()],
            samples: Vec::new(),
            busy_us: 0,
            exchange_bytes: vec![0; setup.routers],
            control_bytes: 0,
            report: Report {
                longest_wait_us: vec![0; setup.teams.len()],
                refused: vec![0; setup.teams.len()],
                ..Report::default()
            },
            nodes,
            zones,
            introductions,
            setup,
        }
    }

    fn start(&mut self) {
        for router in 0..self.nodes.len() {
            let phase_us = router as u64 * 997 % TICK_US;
            self.at(phase_us, Event::Tick(router));
        }
        let teams = self.setup.teams.clone();
        for (team, spec) in teams.iter().enumerate() {
            for router in &spec.routers {
                for _ in 0..spec.open {
                    let jitter_us = self.random.random_range(0..50_000);
                    let event = Event::Admit {
                        router: *router,
                        team,
                    };
                    self.at(spec.from_us + jitter_us, event);
                }
            }
        }
        self.at(self.setup.warm_up_us, Event::Sample);
        if let Some((_, end_us)) = self.setup.partition_us {
            self.at(end_us, Event::EndPartition);
        }
    }

    fn at(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at_us, self.next_event), event);
    }

    fn on_event(&mut self, event: Event) {
        let now = Timestamp(self.now_us);
        match event {
            Event::Tick(router) => {
                self.at(self.now_us + TICK_US, Event::Tick(router));
                let outputs = self.nodes[router].handle(Input::Tick, now);
                self.run(router, outputs);
            }
            Event::Deliver { to, from, message } => {
                let outputs = self.nodes[to].handle(Input::Message { from, message }, now);
                self.run(to, outputs);
            }
            Event::Progress(work) => self.progress(work),
            Event::Finish(work) => self.finish(work),
            Event::Admit { router, team } => self.admit(router, team),
            Event::EndPartition => {
                for router in 0..self.nodes.len() {
                    for other in self.introductions.clone() {
                        if other.peer != self.peers[router] {
                            let outputs = self.nodes[router].handle(Input::Connected(other), now);
                            self.run(router, outputs);
                        }
                    }
                }
            }
            Event::Sample => {
                self.samples.push(self.served.clone());
                self.at(self.now_us + SAMPLE_US, Event::Sample);
            }
        }
    }

    fn admit(&mut self, router: usize, team: usize) {
        let spec = &self.setup.teams[team];
        if self.now_us >= spec.until_us {
            return;
        }
        let hint_tenths = spec.hint_tenths;
        let cost = self.random.random_range(COST_MIN..=COST_MAX);
        let open = OpenWork {
            team,
            cost,
            admitted_us: self.now_us,
            started_us: None,
            counted: 0,
            endpoint: None,
        };
        if self.setup.policy != Policy::Nodes {
            return self.admit_to_baseline(router, open);
        }
        let spec = RequestSpec {
            team: self.team_ids[team],
            pool: self.pool,
            hint: Cost((cost * hint_tenths / 10).max(1)),
            class: LengthClass::Short,
            prefix: None,
            idempotent: true,
        };
        let (admitted, outputs) = self.nodes[router].admit(spec, Timestamp(self.now_us));
        match admitted {
            Ok(request) => {
                self.work.insert(Work { router, request }, open);
            }
            Err(_) => {
                self.report.refused[team] += 1;
                self.at(self.now_us + RETRY_US, Event::Admit { router, team });
            }
        }
        self.run(router, outputs);
    }

    fn run(&mut self, router: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(router, to, &message),
                Output::Dispatch(dispatch) => self.dispatch(router, dispatch),
                Output::Refuse { request, .. } => {
                    if let Some(open) = self.work.remove(&Work { router, request }) {
                        let team = open.team;
                        self.report.refused[team] += 1;
                        self.at(self.now_us + RETRY_US, Event::Admit { router, team });
                    }
                }
            }
        }
    }

    fn send(&mut self, from: usize, to: RouterId, message: &PeerMessage) {
        let to = to.0 as usize - 1;
        let bytes = postcard_bytes(message);
        let is_exchange = is_exchange(message);
        if self.now_us >= self.setup.warm_up_us && !matches!(message, PeerMessage::Heartbeat(_)) {
            self.control_bytes += bytes;
            if is_exchange {
                self.exchange_bytes[from] += bytes;
            }
        }
        let crosses = self.zones[from] != self.zones[to];
        let cuts = |zone: usize| zone == 0;
        let is_cut = self.setup.partition_us.is_some_and(|(start_us, end_us)| {
            (start_us..end_us).contains(&self.now_us)
                && cuts(self.zones[from]) != cuts(self.zones[to])
        });
        if is_cut {
            return;
        }
        let latency_us = if crosses { CROSS_ZONE_US } else { IN_ZONE_US };
        let latency_us = latency_us + self.random.random_range(0..latency_us);
        let from = self.peers[from];
        let mut arrivals = vec![self.now_us + latency_us];
        if is_exchange {
            let faults = self.setup.faults;
            let mut happens = |percent: u32| self.random.random_range(0..100) < percent;
            if happens(faults.duplicated_percent) {
                arrivals.push(self.now_us + 3 * latency_us);
            }
            if happens(faults.delayed_percent) {
                arrivals[0] += faults.delay_us;
            }
            if happens(faults.lost_percent) {
                arrivals.remove(0);
            }
        }
        for at_us in arrivals {
            let message = message.clone();
            self.at(at_us, Event::Deliver { to, from, message });
        }
    }

    fn dispatch(&mut self, router: usize, dispatch: Dispatch) {
        let work = Work {
            router,
            request: dispatch.request,
        };
        if !self.dispatched.insert(work) {
            self.report.dispatched_twice += 1;
        }
        self.begin(work);
    }

    fn begin(&mut self, work: Work) {
        let now_us = self.now_us;
        let open = self.work.get_mut(&work).expect("dispatched work is open");
        open.started_us = Some(now_us);
        let (team, cost, admitted_us) = (open.team, open.cost, open.admitted_us);
        if now_us >= self.setup.warm_up_us {
            let longest = &mut self.report.longest_wait_us[team];
            *longest = (*longest).max(now_us - admitted_us);
        }
        self.at(now_us + cost * UNIT_US, Event::Finish(work));
        self.at(now_us + PROGRESS_US, Event::Progress(work));
    }

    /// Adds the cost units processed for a request since the last call to its team's total.
    fn count(&mut self, work: Work) -> Option<u64> {
        let now_us = self.now_us;
        let open = self.work.get_mut(&work)?;
        let done = ((now_us - open.started_us?) / UNIT_US).min(open.cost);
        let more = done - open.counted;
        open.counted = done;
        self.served[open.team] += more;
        if now_us >= self.setup.warm_up_us {
            self.busy_us += more * UNIT_US;
        }
        Some(done)
    }

    fn progress(&mut self, work: Work) {
        let Some(done) = self.count(work) else {
            return;
        };
        self.at(self.now_us + PROGRESS_US, Event::Progress(work));
        if self.setup.policy == Policy::Nodes {
            let input = Input::Progress {
                request: work.request,
                cost: Cost(done),
                first_token_ms: Some(100),
                token_gap_us: Some(20_000),
            };
            let outputs = self.nodes[work.router].handle(input, Timestamp(self.now_us));
            self.run(work.router, outputs);
        }
    }

    fn finish(&mut self, work: Work) {
        self.count(work);
        let open = self.work.remove(&work).expect("finished work was open");
        self.dispatched.remove(&work);
        self.report.finished += usize::from(self.now_us >= self.setup.warm_up_us);
        let (router, team) = (work.router, open.team);
        if let Some(endpoint) = open.endpoint {
            self.finish_at_baseline(work, endpoint);
        } else {
            let input = Input::Finished {
                request: work.request,
                reason: ReleaseReason::Done,
                cost: Cost(open.cost),
                first_token_ms: Some(100),
                token_gap_us: Some(20_000),
            };
            let outputs = self.nodes[router].handle(input, Timestamp(self.now_us));
            self.run(router, outputs);
        }
        self.at(self.now_us, Event::Admit { router, team });
    }

    fn admit_to_baseline(&mut self, router: usize, mut open: OpenWork) {
        let count = self.endpoints.len();
        let random = self.random.random_range(0..count);
        let connections = |at: usize| self.connections.get(&(router, at)).copied().unwrap_or(0);
        let endpoint = match self.setup.policy {
            Policy::LeastConnections => (0..count)
                .min_by_key(|at| (connections(*at), (at + random) % count))
                .expect("there is an endpoint"),
            Policy::Nodes | Policy::Random => random,
        };
        *self.connections.entry((router, endpoint)).or_default() += 1;
        open.endpoint = Some(endpoint);
        let request = RequestId(self.next_request);
        self.next_request += 1;
        let work = Work { router, request };
        self.work.insert(work, open);
        self.endpoints[endpoint].queue.push_back(work);
        self.start_next(endpoint);
    }

    fn finish_at_baseline(&mut self, work: Work, endpoint: usize) {
        if let Some(open) = self.connections.get_mut(&(work.router, endpoint)) {
            *open -= 1;
        }
        self.endpoints[endpoint].running -= 1;
        self.start_next(endpoint);
    }

    fn start_next(&mut self, endpoint: usize) {
        if self.endpoints[endpoint].running >= self.setup.slots {
            return;
        }
        if let Some(work) = self.endpoints[endpoint].queue.pop_front() {
            self.endpoints[endpoint].running += 1;
            self.begin(work);
        }
    }

    fn report(mut self) -> Report {
        let measured_us = self.setup.end_us - self.setup.warm_up_us;
        let slot_us = self.setup.slot_count() * measured_us;
        let mut report = std::mem::take(&mut self.report);
        report.utilisation = self.busy_us as f64 / slot_us as f64;
        let first = self.samples.first().cloned().unwrap_or_default();
        let served = self.served.iter().zip(first);
        report.served = served.map(|(last, first)| last - first).collect();
        self.measure_gap(&mut report);
        let measured_s = measured_us as f64 / 1e6;
        let most = self.exchange_bytes.iter().max().copied().unwrap_or(0);
        report.exchange_bytes_per_s = most as f64 / measured_s;
        report.control_bytes_per_request =
            self.control_bytes as f64 / report.finished.max(1) as f64;
        report
    }

    /// Finds the pair of teams whose difference in weighted service changes most while both are
    /// backlogged.
    fn measure_gap(&self, report: &mut Report) {
        let count = self.setup.teams.len();
        for left in 0..count {
            for right in left + 1..count {
                let gap = self.gap_between(left, right);
                if gap > report.gap {
                    report.gap = gap;
                    report.gap_teams = (left, right);
                }
            }
        }
    }

    fn gap_between(&self, left: usize, right: usize) -> f64 {
        let (one, other) = (&self.setup.teams[left], &self.setup.teams[right]);
        if !one.is_backlogged || !other.is_backlogged {
            return 0.0;
        }
        let from_us = one.from_us.max(other.from_us) + SETTLE_US;
        let until_us = one.until_us.min(other.until_us);
        let differences = self.samples.iter().enumerate().filter_map(|(at, sample)| {
            let at_us = self.setup.warm_up_us + at as u64 * SAMPLE_US;
            let difference = sample[left] as f64 / f64::from(one.weight)
                - sample[right] as f64 / f64::from(other.weight);
            (from_us..until_us).contains(&at_us).then_some(difference)
        });
        let (least, most) = differences.fold((f64::MAX, f64::MIN), |(least, most), one| {
            (least.min(one), most.max(one))
        });
        (most - least).max(0.0)
    }
}

fn is_exchange(message: &PeerMessage) -> bool {
    matches!(
        message,
        PeerMessage::Service(_)
            | PeerMessage::Want(_)
            | PeerMessage::Forward(_)
            | PeerMessage::ForwardedGrant(_)
    )
}

fn postcard_bytes(message: &PeerMessage) -> u64 {
    let bytes = postcard::to_allocvec(message).expect("the message can be serialized");
    bytes.len() as u64
}
