//! Plays one history.

mod scenes;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::Timestamp;
use daisynotch_core::direct::{
    CallerLimits, ColdNews, ColdSettings, ColdStart, CostModel, Dispatcher, DispatcherSettings,
    EndpointChange, EndpointEntry, EndpointState, EngineLimits, LimitNews, Parts, RequestRate,
    RequestSpec, RetryBudgetSettings, RouteTable, RunId, RunOutcome, ServiceView, ShareSettings,
    Verdict,
};
use daisynotch_objects::RouterId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const TICK_MS: u64 = 25;
const ROUND_MS: u64 = 75;
/// Routers that hear a router in one round.
const FANOUT: usize = 24;
const SERVICE: &str = "models";
const LENGTH_MS: u64 = 16_000;
/// When the first endpoints start, return or become cold.
const BEGIN_MS: u64 = 5_000;
/// When routers have heard each other: a partition that is older can't be told from a small fleet.
const JOINED_MS: u64 = 3_000;
/// How long an endpoint is cold.
const COLD_MS: u64 = 3_000;
/// Interval at which endpoints write their entries, and how late they arrive.
const ENTRY_MS: u64 = 1_200;
const ENTRY_LATE_MS: u64 = 800;
/// How much later than the first router the last one gets an entry or an order.
const SPREAD_MS: u64 = 200;
const WINDOW_MS: u64 = 1_000;
const OVERRUN: f64 = 1.5;
const TOLERANCE: f64 = 5.0;

/// Why endpoints become cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Scene {
    /// Endpoints say that they are cold again.
    ColdAgain,
    /// The endpoints of a zone crash and return at once.
    ZoneCrash,
    /// An endpoint crashes and returns.
    Crash,
    /// A zone is evacuated, and the order withdrawn.
    Evacuation,
    /// All routers restart while the endpoints of a zone are cold.
    RouterRestarts,
}

/// How a router is disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    Restart,
    Standstill,
    Cut,
}

/// What one history plays.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Plan {
    pub(crate) routers: usize,
    pub(crate) zones: usize,
    pub(crate) endpoints: usize,
    pub(crate) lost: f64,
    pub(crate) late_max_ms: u64,
    pub(crate) disturbances: usize,
    /// Whether disturbances cut off half of the routers at once.
    pub(crate) cuts_halves: bool,
    /// The demand as a multiple of what all endpoints tolerate while cold.
    pub(crate) demand: f64,
    /// How uneven the demand of the routers is; 0 is even.
    pub(crate) skew: f64,
    pub(crate) cold_per_s: f64,
    pub(crate) scene: Scene,
}

impl Plan {
    pub(crate) fn generate(rng: &mut StdRng) -> Self {
        let routers = match rng.random_range(0..100) {
            0 => rng.random_range(100..=300),
            1..6 => rng.random_range(30..100),
            _ => rng.random_range(3..30),
        };
        let scenes = [
            Scene::ColdAgain,
            Scene::ZoneCrash,
            Scene::Crash,
            Scene::Evacuation,
            Scene::RouterRestarts,
        ];
        let scene = scenes[rng.random_range(0..scenes.len())];
        // A router that starts within a partition can't know who is on the other side.
        let cuts_halves = rng.random_bool(0.3) && scene != Scene::RouterRestarts;
        Self {
            routers,
            zones: rng.random_range(1..=3),
            endpoints: rng.random_range(1..=8),
            lost: rng.random_range(0.0..0.3),
            late_max_ms: [75, 300, 1_000][rng.random_range(0..3)],
            disturbances: rng.random_range(0..=20),
            cuts_halves,
            demand: rng.random_range(1.0..6.0),
            skew: rng.random_range(0.0..2.0),
            cold_per_s: [9.8, 17.0, rng.random_range(3.0..30.0)][rng.random_range(0..3)],
            scene,
        }
    }
}

struct Message {
    sent_ms: u64,
    to: usize,
    from: RouterId,
    news: Rc<(LimitNews, ColdNews)>,
    /// The endpoints that the sender saw fail, and when.
    failed: Rc<Vec<(usize, u64)>>,
}

struct Router {
    id: RouterId,
    dispatcher: Dispatcher,
    arrivals_per_tick: f64,
    /// While standing still or cut off, and until when.
    disturbed: Option<(Disturbance, u64)>,
    next_recipient: usize,
    /// The latest entry of each endpoint, by start and report.
    entries: HashMap<Arc<str>, EndpointEntry>,
}

/// A time in which an endpoint is cold and its bound is checked.
struct Counted {
    from_ms: u64,
    until_ms: u64,
}

struct Endpoint {
    name: Arc<str>,
    zone: usize,
    started_unix_ms: u64,
    report_seq: u64,
    next_entry_ms: u64,
    down_until_ms: u64,
    /// When it last crashed or became cold.
    began_ms: u64,
    cold_until_ms: u64,
    arrived_ms: Vec<u64>,
    /// The same, of routers that a sign had reached.
    informed_ms: Vec<u64>,
    counted: Vec<Counted>,
    /// Until when a sign says to each router that the endpoint is cold: a failure that it saw, or that
    /// a message which reached it told of; the end of an evacuation; an entry.
    informed_until_ms: Vec<u64>,
    /// When each router last saw the endpoint fail, since it was last warm.
    failed_ms: Vec<Option<u64>>,
}

impl Endpoint {
    /// Begins a time of which no router knows yet.
    fn begin(&mut self, now_ms: u64) {
        self.began_ms = now_ms;
        self.informed_until_ms.fill(0);
        self.failed_ms.fill(None);
    }

    fn inform(&mut self, router: usize, until_ms: u64) {
        let known_ms = &mut self.informed_until_ms[router];
        *known_ms = until_ms.max(*known_ms);
    }

    /// Informs a router of an entry, unless it is one of an earlier time.
    fn inform_of_entry(&mut self, router: usize, entry: &EndpointEntry) {
        let is_cold = entry.cold_remaining.is_some_and(|left| !left.is_zero());
        if is_cold && entry.started_unix_ms == self.started_unix_ms {
            self.inform(router, self.cold_until_ms);
        }
    }
}

struct Response {
    at_ms: u64,
    router: usize,
    run: RunId,
    endpoint: usize,
    is_reached: bool,
}

struct EntryOnWay {
    router: usize,
    entry: EndpointEntry,
}

pub(crate) struct History {
    rng: StdRng,
    pub(crate) plan: Plan,
    table: RouteTable,
    routers: Vec<Router>,
    endpoints: Vec<Endpoint>,
    responses: Vec<Response>,
    /// Messages on their way, by the time at which they arrive.
    in_transit: BTreeMap<u64, Vec<Message>>,
    /// Entries on their way, by the time at which they arrive.
    entries: BTreeMap<u64, Vec<EntryOnWay>>,
    /// The entries that the store holds.
    stored: HashMap<Arc<str>, EndpointEntry>,
    /// When the routers learn that the evacuated zone is open, and that it is evacuated.
    evacuated: Option<(u64, u64)>,
    now_ms: u64,
}

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

impl History {
    pub(crate) fn new(seed: u64, plan: impl FnOnce(&mut StdRng) -> Plan) -> Self {
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
            cold_start: Some(ColdStart {
                lasts: Duration::from_millis(COLD_MS),
                rate: RequestRate::from_per_s(plan.cold_per_s).unwrap(),
            }),
        });
        let endpoints = (0..plan.endpoints).map(|index| Endpoint {
            name: Arc::from(format!("engine-{index}")),
            zone: index % plan.zones,
            started_unix_ms: 1,
            report_seq: 0,
            next_entry_ms: (index as u64 * 300) % ENTRY_MS,
            down_until_ms: 0,
            began_ms: 0,
            cold_until_ms: 0,
            arrived_ms: Vec::new(),
            informed_ms: Vec::new(),
            informed_until_ms: vec![0; plan.routers],
            failed_ms: vec![None; plan.routers],
            counted: Vec::new(),
        });
        let endpoints: Vec<Endpoint> = endpoints.collect();
        let weights = (0..plan.routers).map(|_| rng.random_range(0.05..1.0_f64).powf(plan.skew));
        let weights: Vec<f64> = weights.collect();
        let weights_sum: f64 = weights.iter().sum();
        let cold_per_s = plan.cold_per_s * plan.endpoints as f64;
        let demand_per_tick = plan.demand * cold_per_s * TICK_MS as f64 / 1e3;
        let mut history = Self {
            rng,
            plan,
            table,
            routers: Vec::new(),
            endpoints,
            responses: Vec::new(),
            in_transit: BTreeMap::new(),
            entries: BTreeMap::new(),
            stored: HashMap::new(),
            evacuated: None,
            now_ms: 0,
        };
        for endpoint in 0..history.endpoints.len() {
            let entry = history.write_entry(endpoint);
            history.stored.insert(Arc::clone(&entry.name), entry);
        }
        for (index, weight) in weights.iter().enumerate() {
            history.routers.push(Router {
                id: RouterId(1 + index as u64),
                dispatcher: history.new_dispatcher(),
                arrivals_per_tick: demand_per_tick * weight / weights_sum,
                disturbed: None,
                next_recipient: index,
                entries: HashMap::new(),
            });
            history.start_router(index, None);
        }
        history
    }

    fn new_dispatcher(&self) -> Dispatcher {
        let settings = DispatcherSettings {
            cost_model: CostModel::Stated,
            shares: ShareSettings {
                tokens_per_s: None,
                window: Duration::from_secs(4),
            },
            retry_budget: RetryBudgetSettings::default(),
            cold: ColdSettings {
                overrun: OVERRUN,
                tolerance: TOLERANCE,
            },
        };
        Dispatcher::new(Arc::from("zone-0"), settings)
    }

    /// Starts a router as the daemon does: with the news of another router, the configuration and a
    /// listing.
    fn start_router(&mut self, index: usize, view: Option<ColdNews>) {
        let mut dispatcher = self.new_dispatcher();
        let (own, now) = (self.routers[index].id, at(self.now_ms));
        dispatcher.on_routes(&self.table);
        let evacuated = self
            .evacuated
            .filter(|(from_ms, until_ms)| (*from_ms..*until_ms).contains(&self.now_ms));
        dispatcher.set_evacuated_zones(evacuated.map(|_| Arc::from("zone-0")));
        for entry in self.stored.values() {
            dispatcher.on_endpoint(EndpointChange::Usable(entry.clone()), &self.table);
            dispatcher.on_entry(entry, now);
        }
        dispatcher.refresh_cold(own, now);
        dispatcher.on_endpoints_listed();
        if let Some(view) = view {
            dispatcher.on_cold_news(own, &view, Some(Duration::from_millis(50)), now);
        }
        self.routers[index].dispatcher = dispatcher;
        self.routers[index].entries = self.stored.clone();
    }

    fn write_entry(&mut self, index: usize) -> EndpointEntry {
        let endpoint = &mut self.endpoints[index];
        endpoint.report_seq += 1;
        endpoint.next_entry_ms += ENTRY_MS;
        let remaining_ms = endpoint.cold_until_ms.saturating_sub(self.now_ms);
        EndpointEntry {
            name: Arc::clone(&endpoint.name),
            started_unix_ms: endpoint.started_unix_ms,
            report_seq: endpoint.report_seq,
            service: Arc::from(SERVICE),
            address: format!("10.0.0.{}:80", index + 1).parse().unwrap(),
            zone: Arc::from(format!("zone-{}", endpoint.zone)),
            slots: 64,
            state: EndpointState::Ready,
            cold_remaining: Some(Duration::from_millis(remaining_ms)),
        }
    }

    pub(crate) fn play(&mut self) {
        let per_tick = self.plan.disturbances as f64 * TICK_MS as f64 / LENGTH_MS as f64;
        while self.now_ms < LENGTH_MS {
            let is_disturbed = self.rng.random_bool(per_tick.min(1.0));
            if is_disturbed && self.now_ms >= JOINED_MS {
                self.disturb();
            }
            self.play_scene();
            self.write_entries();
            self.deliver_entries();
            self.deliver_news();
            self.deliver_responses();
            for router in 0..self.routers.len() {
                self.run_router(router);
            }
            self.now_ms += TICK_MS;
        }
    }

    fn disturb(&mut self) {
        let kinds = [
            Disturbance::Restart,
            Disturbance::Standstill,
            Disturbance::Cut,
        ];
        let kind = kinds[self.rng.random_range(0..kinds.len())];
        let ends_ms = self.now_ms + self.rng.random_range(200..5_000);
        if self.plan.cuts_halves {
            for router in self.routers.iter_mut().step_by(2) {
                router.disturbed = Some((Disturbance::Cut, ends_ms));
            }
            return;
        }
        let index = self.rng.random_range(0..self.routers.len());
        self.routers[index].disturbed = Some((kind, ends_ms));
    }

    fn is_stopped(&self, router: usize) -> bool {
        matches!(self.routers[router].disturbed,
            Some((kind, _)) if kind != Disturbance::Cut)
    }

    fn is_cut(&self, router: usize) -> bool {
        self.routers[router].disturbed.is_some()
    }

    /// Returns whether a message is lost because one end is cut off. Halves hear their own side.
    fn loses(&self, from: usize, to: usize) -> bool {
        if self.plan.cuts_halves && !self.is_stopped(from) && !self.is_stopped(to) {
            return self.is_cut(from) != self.is_cut(to);
        }
        self.is_cut(from) || self.is_cut(to)
    }

    fn deliver_news(&mut self) {
        let now_ms = self.now_ms;
        let later = self.in_transit.split_off(&(now_ms + 1));
        let due = std::mem::replace(&mut self.in_transit, later);
        for message in due.into_values().flatten() {
            let from = (message.from.0 - 1) as usize;
            if self.loses(from, message.to) {
                continue;
            }
            let Router { id, dispatcher, .. } = &mut self.routers[message.to];
            for (endpoint, failed_ms) in &*message.failed {
                let endpoint = &mut self.endpoints[*endpoint];
                if *failed_ms >= endpoint.began_ms {
                    endpoint.inform(message.to, failed_ms + COLD_MS);
                }
            }
            let (limits, cold) = &*message.news;
            let now = at(now_ms);
            let transit = Duration::from_millis(now_ms - message.sent_ms);
            dispatcher.on_limit_news(*id, Some(message.from), limits, now);
            dispatcher.on_cold_news(*id, cold, Some(transit), now);
        }
    }

    fn deliver_responses(&mut self) {
        let now_ms = self.now_ms;
        let mut due = Vec::new();
        let mut index = 0;
        while index < self.responses.len() {
            let response = &self.responses[index];
            let endpoint = &self.endpoints[response.endpoint];
            // A crash ends what runs.
            let is_broken = now_ms < endpoint.down_until_ms;
            if (response.at_ms > now_ms && !is_broken) || self.is_stopped(response.router) {
                index += 1;
                continue;
            }
            due.push((self.responses.swap_remove(index), is_broken));
        }
        for (response, is_broken) in due {
            let dispatcher = &mut self.routers[response.router].dispatcher;
            let now = at(now_ms);
            if !response.is_reached || is_broken {
                let endpoint = &mut self.endpoints[response.endpoint];
                endpoint.failed_ms[response.router] = Some(now_ms);
                endpoint.inform(response.router, now_ms + COLD_MS);
            }
            if !response.is_reached {
                dispatcher.on_ended(response.run, RunOutcome::Unreachable, now);
            } else if is_broken {
                dispatcher.on_ended(response.run, RunOutcome::Broken, now);
            } else {
                dispatcher.on_bytes(response.run, now);
                dispatcher.on_ended(response.run, RunOutcome::Done, now);
            }
        }
    }

    fn run_router(&mut self, index: usize) {
        let now = at(self.now_ms);
        if let Some((kind, ends_ms)) = self.routers[index].disturbed
            && ends_ms <= self.now_ms
        {
            self.routers[index].disturbed = None;
            if kind == Disturbance::Restart {
                self.restart(index);
            }
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
            let mut endpoints = self.endpoints.iter();
            let endpoint = endpoints.position(|other| other.name == grant.endpoint_name);
            let endpoint = endpoint.unwrap();
            let is_reached = self.now_ms >= self.endpoints[endpoint].down_until_ms;
            if is_reached {
                self.endpoints[endpoint].arrived_ms.push(self.now_ms);
                if self.now_ms < self.endpoints[endpoint].informed_until_ms[index] {
                    self.endpoints[endpoint].informed_ms.push(self.now_ms);
                }
            }
            let took_ms = if is_reached { 20..300 } else { 5..40 };
            self.responses.push(Response {
                at_ms: self.now_ms + self.rng.random_range(took_ms),
                router: index,
                run: grant.run,
                endpoint,
                is_reached,
            });
        }
        if self.now_ms.is_multiple_of(250) {
            self.routers[index].dispatcher.expire(now);
        }
    }

    /// Starts a router that was off. It fetches the state of one that runs.
    fn restart(&mut self, index: usize) {
        self.responses.retain(|response| response.router != index);
        let running = (0..self.routers.len()).filter(|other| *other != index);
        let running: Vec<usize> = running.filter(|other| !self.is_cut(*other)).collect();
        let now = at(self.now_ms);
        let other = (!running.is_empty()).then(|| running[self.rng.random_range(0..running.len())]);
        for endpoint in &mut self.endpoints {
            let known_ms = other.map_or(0, |other| endpoint.informed_until_ms[other]);
            // Entries tell what the view does not.
            let is_failure = known_ms != endpoint.cold_until_ms || endpoint.down_until_ms == 0;
            endpoint.informed_until_ms[index] = if is_failure { known_ms } else { 0 };
            endpoint.failed_ms[index] = None;
            let entry = &self.stored[&endpoint.name];
            endpoint.inform_of_entry(index, entry);
        }
        let view = other.map(|other| self.routers[other].dispatcher.cold_news(true, now));
        self.start_router(index, view);
    }

    fn send_news(&mut self, index: usize) {
        let now = at(self.now_ms);
        let count = self.routers.len();
        let Router { id, dispatcher, .. } = &mut self.routers[index];
        let own = *id;
        dispatcher.divide_limits(own, now);
        let news = (
            dispatcher.limit_news(256, now),
            dispatcher.cold_news(false, now),
        );
        let news = Rc::new(news);
        let failed = self.endpoints.iter().enumerate();
        let failed = failed.filter_map(|(endpoint, of)| Some((endpoint, of.failed_ms[index]?)));
        let failed: Rc<Vec<(usize, u64)>> = Rc::new(failed.collect());
        for _ in 0..FANOUT.min(count - 1) {
            let next = &mut self.routers[index].next_recipient;
            *next = (*next + 1) % count;
            if *next == index {
                *next = (*next + 1) % count;
            }
            let recipient = *next;
            if !self.loses(index, recipient) && !self.rng.random_bool(self.plan.lost) {
                let late_ms = self.rng.random_range(0..=self.plan.late_max_ms);
                let due_ms = self.now_ms + late_ms;
                self.in_transit.entry(due_ms).or_default().push(Message {
                    sent_ms: self.now_ms,
                    to: recipient,
                    from: own,
                    news: Rc::clone(&news),
                    failed: Rc::clone(&failed),
                });
            }
        }
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
