//! Generated histories of endpoints that limit the requests of all routers together.
//!
//! Routers restart, stand still and are cut off; digests are lost or late. Over every four seconds
//! the routers together must not send much more than the limit, and while more is asked they must
//! use most of it. The check also has to find faults that are seeded into the core.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use daisynotch_core::Timestamp;
use daisynotch_core::direct::{
    CallerLimits, CostModel, Dispatcher, DispatcherSettings, EndpointChange, EndpointEntry,
    EndpointState, EngineLimits, LimitNews, Parts, RequestRate, RequestSpec, RetryBudgetSettings,
    RouteTable, RunId, RunOutcome, ServiceView, ShareSettings, Verdict,
};
use daisynotch_core::seeded_fault::{SeededFault, seed};
use daisynotch_objects::{EndpointId, RouterId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const HISTORIES: u64 = 1_000;
/// Threads that play histories.
const THREADS: usize = 4;
const TICK_MS: u64 = 25;
const ROUND_MS: u64 = 75;
/// Routers that hear a router in one round.
const FANOUT: usize = 24;
const SERVICE: &str = "models";
/// When the endpoints begin to state their limits.
const STATED_AT_MS: u64 = 4_000;
/// From when on the limits must be kept.
const KEPT_FROM_MS: u64 = STATED_AT_MS + 3_000;
const LENGTH_MS: u64 = 18_000;
const WINDOW_MS: u64 = 4_000;
/// How long a router is excused after it restarted, stood still or was cut off.
const EXCUSED_MS: u64 = 3_000;
/// Requests allowed in a window, as a multiple of what the limit allows, and in addition.
const ALLOWED_FACTOR: f64 = 1.1;
const ALLOWED_REQUESTS: f64 = 5.0;
/// Fraction of the limits that must be used while more is asked.
const USED_MIN: f64 = 0.9;

/// How a router is disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    Restart,
    Standstill,
    Cut,
}

/// What one history plays.
#[derive(Debug, Clone, Copy)]
struct Plan {
    routers: usize,
    endpoints: usize,
    lost: f64,
    late_max_ms: u64,
    disturbances: usize,
    /// The demand as a multiple of the limits together.
    demand: f64,
    /// How uneven the demand of the routers is; 0 is even.
    skew: f64,
}

impl Plan {
    fn generate(rng: &mut StdRng) -> Self {
        let routers = match rng.random_range(0..100) {
            0 => rng.random_range(100..=300),
            1..5 => rng.random_range(30..100),
            _ => rng.random_range(3..30),
        };
        Self {
            routers,
            endpoints: rng.random_range(1..=4),
            lost: rng.random_range(0.0..0.3),
            late_max_ms: rng.random_range(0..=1_000),
            disturbances: rng.random_range(0..=40),
            demand: rng.random_range(0.5..6.0),
            skew: rng.random_range(0.0..2.0),
        }
    }
}

struct Router {
    id: RouterId,
    dispatcher: Dispatcher,
    arrivals_per_tick: f64,
    /// While standing still or cut off, and until when.
    disturbed: Option<(Disturbance, u64)>,
    excused_until_ms: u64,
    next_recipient: usize,
}

struct Endpoint {
    id: EndpointId,
    limit: RequestRate,
    /// When requests of routers that are not excused arrived.
    arrived_ms: Vec<u64>,
    /// When those of all routers did.
    all_arrived_ms: Vec<u64>,
}

struct Response {
    at_ms: u64,
    router: usize,
    run: RunId,
    limit: Option<RequestRate>,
}

struct History {
    rng: StdRng,
    plan: Plan,
    table: RouteTable,
    routers: Vec<Router>,
    endpoints: Vec<Endpoint>,
    responses: Vec<Response>,
    in_transit: VecDeque<(u64, usize, RouterId, Arc<LimitNews>)>,
    now_ms: u64,
}

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

fn entry(index: usize) -> EndpointEntry {
    EndpointEntry {
        name: Arc::from(format!("engine-{index}")),
        started_unix_ms: 1,
        report_seq: 1,
        service: Arc::from(SERVICE),
        address: format!("10.0.0.{index}:80").parse().unwrap(),
        zone: Arc::from("a"),
        slots: 64,
        state: EndpointState::Ready,
        cold_remaining: None,
    }
}

impl History {
    fn new(seed: u64, plan: impl FnOnce(&mut StdRng) -> Plan) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let plan = plan(&mut rng);
        let mut table = RouteTable::new(1, CallerLimits::default());
        table.add_service(ServiceView {
            name: Arc::from(SERVICE),
            connections_max: 100,
            status_path: Arc::from("/status"),
            engine: Some(EngineLimits {
                slots: 64,
                memory_tokens: 10_000_000,
            }),
            cold_start: None,
        });
        let endpoints = (0..plan.endpoints).map(|index| Endpoint {
            id: entry(index).id(),
            limit: RequestRate(rng.random_range(500..12_000)),
            arrived_ms: Vec::new(),
            all_arrived_ms: Vec::new(),
        });
        let endpoints: Vec<Endpoint> = endpoints.collect();
        let limits_per_s: f64 = endpoints
            .iter()
            .map(|endpoint| endpoint.limit.per_s())
            .sum();
        let weights = (0..plan.routers).map(|_| rng.random_range(0.05..1.0_f64).powf(plan.skew));
        let weights: Vec<f64> = weights.collect();
        let weights_sum: f64 = weights.iter().sum();
        let demand_per_tick = plan.demand * limits_per_s * TICK_MS as f64 / 1e3;
        let mut history = Self {
            rng,
            plan,
            table,
            routers: Vec::new(),
            endpoints,
            responses: Vec::new(),
            in_transit: VecDeque::new(),
            now_ms: 0,
        };
        for (index, weight) in weights.iter().enumerate() {
            let dispatcher = history.start_dispatcher();
            history.routers.push(Router {
                id: RouterId(1 + index as u64),
                dispatcher,
                arrivals_per_tick: demand_per_tick * weight / weights_sum,
                disturbed: None,
                excused_until_ms: 0,
                next_recipient: index,
            });
        }
        history
    }

    fn start_dispatcher(&self) -> Dispatcher {
        let settings = DispatcherSettings {
            cost_model: CostModel::Stated,
            shares: ShareSettings {
                tokens_per_s: None,
                window: Duration::from_secs(4),
            },
            retry_budget: RetryBudgetSettings::default(),
            cold: Default::default(),
        };
        let mut dispatcher = Dispatcher::new(Arc::from("a"), settings);
        dispatcher.on_routes(&self.table);
        for index in 0..self.plan.endpoints {
            let change = EndpointChange::Usable(entry(index));
            dispatcher.on_endpoint(change, &self.table);
        }
        dispatcher
    }

    fn play(&mut self) {
        let per_tick = self.plan.disturbances as f64 * TICK_MS as f64 / LENGTH_MS as f64;
        while self.now_ms < LENGTH_MS {
            if self.rng.random_bool(per_tick.min(1.0)) {
                self.disturb();
            }
            self.deliver_news();
            self.deliver_responses();
            for router in 0..self.routers.len() {
                self.run_router(router);
            }
            self.now_ms += TICK_MS;
        }
    }

    fn disturb(&mut self) {
        let index = self.rng.random_range(0..self.routers.len());
        let kinds = [
            Disturbance::Restart,
            Disturbance::Standstill,
            Disturbance::Cut,
        ];
        let kind = kinds[self.rng.random_range(0..kinds.len())];
        let ends_ms = self.now_ms + self.rng.random_range(200..5_000);
        self.routers[index].disturbed = Some((kind, ends_ms));
        self.routers[index].excused_until_ms = ends_ms + EXCUSED_MS;
        if kind == Disturbance::Restart {
            self.routers[index].dispatcher = self.start_dispatcher();
            self.responses.retain(|response| response.router != index);
        }
    }

    fn is_stopped(&self, router: usize) -> bool {
        matches!(self.routers[router].disturbed,
            Some((kind, _)) if kind != Disturbance::Cut)
    }

    fn is_cut(&self, router: usize) -> bool {
        self.routers[router].disturbed.is_some()
    }

    fn deliver_news(&mut self) {
        let mut late = VecDeque::new();
        while let Some((at_ms, router, sender, news)) = self.in_transit.pop_front() {
            if at_ms > self.now_ms {
                late.push_back((at_ms, router, sender, news));
            } else if !self.is_cut(router) {
                let own = self.routers[router].id;
                let dispatcher = &mut self.routers[router].dispatcher;
                dispatcher.on_limit_news(own, Some(sender), &news, at(self.now_ms));
            }
        }
        self.in_transit = late;
    }

    fn deliver_responses(&mut self) {
        let mut index = 0;
        while index < self.responses.len() {
            let response = &self.responses[index];
            if response.at_ms > self.now_ms || self.is_stopped(response.router) {
                index += 1;
                continue;
            }
            let Response {
                router, run, limit, ..
            } = self.responses.swap_remove(index);
            let now = at(self.now_ms);
            let Router { id, dispatcher, .. } = &mut self.routers[router];
            dispatcher.on_stated_limit(*id, run, limit, now);
            dispatcher.on_bytes(run, now);
            dispatcher.on_ended(run, RunOutcome::Done, now);
        }
    }

    fn run_router(&mut self, index: usize) {
        let now = at(self.now_ms);
        if let Some((_, ends_ms)) = self.routers[index].disturbed
            && ends_ms <= self.now_ms
        {
            self.routers[index].disturbed = None;
        }
        if self.is_stopped(index) {
            return;
        }
        if (self.now_ms / TICK_MS + index as u64).is_multiple_of(ROUND_MS / TICK_MS) {
            self.send_news(index);
        }
        let mut due = self.routers[index].arrivals_per_tick;
        while due > 0.0 {
            if self.rng.random_bool(due.min(1.0)) {
                let dispatcher = &mut self.routers[index].dispatcher;
                let spec = request(now);
                dispatcher.on_request(&spec, now);
                dispatcher.submit(spec);
            }
            due -= 1.0;
        }
        let verdicts = self.routers[index].dispatcher.decide_waiting(now);
        for (_, verdict) in verdicts {
            let Verdict::Send(grant) = verdict else {
                continue;
            };
            let is_excused = self.now_ms < self.routers[index].excused_until_ms;
            let mut endpoints = self.endpoints.iter_mut();
            let endpoint = endpoints.find(|endpoint| endpoint.id == grant.endpoint);
            let endpoint = endpoint.unwrap();
            endpoint.all_arrived_ms.push(self.now_ms);
            if !is_excused {
                endpoint.arrived_ms.push(self.now_ms);
            }
            let limit = (self.now_ms >= STATED_AT_MS).then_some(endpoint.limit);
            self.responses.push(Response {
                at_ms: self.now_ms + self.rng.random_range(20..300),
                router: index,
                run: grant.run,
                limit,
            });
        }
        if self.now_ms.is_multiple_of(250) {
            self.routers[index].dispatcher.expire(now);
        }
    }

    fn send_news(&mut self, index: usize) {
        let now = at(self.now_ms);
        let count = self.routers.len();
        let Router { id, dispatcher, .. } = &mut self.routers[index];
        let own = *id;
        dispatcher.divide_limits(own, now);
        let news = Arc::new(dispatcher.limit_news(256, now));
        if news.is_empty() || self.is_cut(index) {
            return;
        }
        for _ in 0..FANOUT.min(count - 1) {
            let next = &mut self.routers[index].next_recipient;
            *next = (*next + 1) % count;
            if *next == index {
                *next = (*next + 1) % count;
            }
            let recipient = *next;
            if !self.rng.random_bool(self.plan.lost) {
                let late_ms = self.rng.random_range(0..=self.plan.late_max_ms);
                let at_ms = self.now_ms + late_ms;
                self.in_transit
                    .push_back((at_ms, recipient, own, Arc::clone(&news)));
            }
        }
    }

    /// Returns the largest excess over what an endpoint's limit allows in a window.
    fn excess(&self) -> f64 {
        let of_endpoint = |endpoint: &Endpoint| {
            let allowed = ALLOWED_FACTOR * endpoint.limit.per_s() * WINDOW_MS as f64 / 1e3;
            let arrived: Vec<u64> = endpoint
                .arrived_ms
                .iter()
                .copied()
                .filter(|at_ms| *at_ms >= KEPT_FROM_MS)
                .collect();
            let within = |from: &u64| {
                let window = arrived.iter().filter(|at_ms| *at_ms >= from);
                window.filter(|at_ms| **at_ms <= from + WINDOW_MS).count()
            };
            let most = arrived.iter().map(within).max().unwrap_or(0);
            most as f64 - allowed - ALLOWED_REQUESTS
        };
        let excesses = self.endpoints.iter().map(of_endpoint);
        excesses.fold(f64::NEG_INFINITY, f64::max)
    }

    /// Returns the fraction of all limits that was used while they had to be kept.
    fn used(&self) -> f64 {
        let seconds = (LENGTH_MS - KEPT_FROM_MS) as f64 / 1e3;
        let limits = self.endpoints.iter().map(|endpoint| endpoint.limit.per_s());
        let arrived = self.endpoints.iter().map(|endpoint| {
            let arrived = endpoint.all_arrived_ms.iter();
            arrived.filter(|at_ms| **at_ms >= KEPT_FROM_MS).count() as f64
        });
        arrived.sum::<f64>() / (limits.sum::<f64>() * seconds)
    }
}

fn request(now: Timestamp) -> RequestSpec {
    RequestSpec {
        service: Arc::from(SERVICE),
        team: None,
        priority: 1,
        parts: Parts::new(),
        prompt_tokens: 10,
        answer_tokens: 10,
        answer_upper_tokens: 10,
        body_bytes: 100,
        arrived_at: now,
        objective: Duration::from_millis(500),
        give_up_at: now + Duration::from_secs(5),
        ..RequestSpec::default()
    }
}

fn play(seed: u64, plan: impl FnOnce(&mut StdRng) -> Plan) -> History {
    let mut history = History::new(seed, plan);
    history.play();
    history
}

/// Plays histories on several threads and returns the problems that `check` finds.
fn problems(
    histories: u64,
    plan: fn(&mut StdRng) -> Plan,
    check: fn(&History) -> Option<String>,
) -> Vec<String> {
    let next = AtomicU64::new(0);
    let work = || {
        let mut problems = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= histories {
                return problems;
            }
            let history = play(seed, plan);
            let problem = check(&history);
            problems.extend(
                problem.map(|problem| format!("seed {seed}: {problem}, {:?}", history.plan)),
            );
        }
    };
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let found = workers.into_iter().map(|worker| worker.join().unwrap());
        found.flatten().collect()
    })
}

#[test]
fn routers_together_keep_the_limits_of_endpoints() {
    let problems = problems(HISTORIES, Plan::generate, |history| {
        let excess = history.excess();
        (excess > 0.0).then(|| format!("{excess:.1} requests too many"))
    });
    assert!(problems.is_empty(), "{problems:#?}");
}

/// Engines are at least as many as routers; with fewer, most routers hold no part of a limit.
fn steady_demand(rng: &mut StdRng) -> Plan {
    let routers = rng.random_range(2..=30);
    Plan {
        routers,
        endpoints: rng.random_range(routers..=2 * routers),
        disturbances: 0,
        demand: 2.0,
        ..Plan::generate(rng)
    }
}

#[test]
fn routers_use_the_limits_while_more_is_asked() {
    let problems = problems(HISTORIES / 10, steady_demand, |history| {
        let used = history.used();
        (used < USED_MIN).then(|| format!("{used:.2} used"))
    });
    assert!(problems.is_empty(), "{problems:#?}");
}

/// Returns whether the check finds a fault that is seeded into the core.
fn is_found(fault: SeededFault) -> bool {
    seed(Some(fault));
    let is_found = (0..HISTORIES).any(|seed| play(seed, Plan::generate).excess() > 0.0);
    seed(None);
    is_found
}

#[test]
fn seeded_faults_are_found() {
    let faults = [
        SeededFault::KeepWholeLimit,
        SeededFault::DivideAmongAll,
        SeededFault::KeepLimitSecret,
    ];
    let missed: Vec<SeededFault> = faults
        .into_iter()
        .filter(|fault| !is_found(*fault))
        .collect();
    assert!(missed.is_empty(), "{missed:?}");
}
