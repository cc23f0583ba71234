//! Generated histories of facts that routers pass on with their ages.
//!
//! Routers are cut off in groups, which join and part again. Some run for a part of the time only or
//! pause; datagrams are lost, late and out of order, and some links lose one direction. No router may
//! hold or pass on a fact as younger than the reading at its source, over any number of hops. The check
//! also has to find faults that are seeded into the core.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use daisynotch_core::direct::{
    ConfigurationStamp, Confirmation, CostModel, CrashEvidence, CrashNews, CrashReport, Digest,
    Dispatcher, DispatcherSettings, HostIntroduction, HostPhase, HostTable, LimitNews,
    MessageTiming, PartIds, RequestRate, RetryBudgetSettings, RoundTrips, ShareSettings,
    StatedLimit, StorePosition,
};
use daisynotch_core::seeded_fault::{SeededFault, seed};
use daisynotch_core::{Incarnation, Timestamp, age_to_ms};
use daisynotch_objects::{EndpointId, RouterId};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const HISTORIES: u64 = 300;
/// Threads that play histories.
const THREADS: usize = 4;
const TICK_MS: u64 = 5;
const ROUND_MS: u64 = 75;
/// Routers that hear a router in one round.
const FANOUT: usize = 24;
const LENGTH_MS: u64 = 9_000;
/// Interval at which groups and pauses may change.
const CHANGE_MS: u64 = 500;
/// Part of each tenth of a second in which a slow router runs.
const SLOW_RUNS_MS: u64 = 20;
const SLOW_PERIOD_MS: u64 = 100;
/// Age of the configuration up to which a router that hears a reader of the store is current.
const CURRENT_MAX: Duration = Duration::from_millis(600);
const PART: u32 = 7;
const ENDPOINT: EndpointId = EndpointId(9);

#[derive(Debug, Clone, Copy)]
struct Plan {
    routers: usize,
    slow: usize,
    lost: f64,
    late_max_ms: u64,
    /// Fraction of the links that lose one direction.
    one_way: f64,
    /// When the store can't be reached any more.
    store_lost_ms: u64,
    /// Whether groups of routers are cut off from each other, and routers pause.
    is_disturbed: bool,
}

impl Plan {
    fn generate(rng: &mut StdRng) -> Self {
        let routers = match rng.random_range(0..60) {
            0 => 100,
            1..5 => 23,
            _ => rng.random_range(2..12),
        };
        Self {
            routers,
            slow: rng.random_range(0..=routers),
            lost: rng.random_range(0.0..0.3),
            late_max_ms: [3, 20, 500][rng.random_range(0..3)],
            one_way: [0.0, 0.2][rng.random_range(0..2)],
            store_lost_ms: rng.random_range(500..4_000),
            is_disturbed: true,
        }
    }
}

/// What a router sends to several others.
struct Content {
    digest: Digest,
    configuration_age_ms: Option<u32>,
    crashes: CrashNews,
    limits: LimitNews,
}

struct Message {
    due_ms: u64,
    to: usize,
    content: Rc<Content>,
    timing: MessageTiming,
}

struct Router {
    introduction: HostIntroduction,
    /// What this router's clock shows at the start of the history.
    clock_ms: u64,
    is_slow: bool,
    paused_until_ms: u64,
    group: usize,
    round_trips: RoundTrips,
    confirmation: Confirmation,
    hosts: HostTable,
    evidence: CrashEvidence,
    dispatcher: Dispatcher,
    /// Messages that were not read yet.
    unread: Vec<Message>,
    seq: u64,
    next_recipient: usize,
}

/// When the facts were last read at their sources.
#[derive(Default)]
struct Sources {
    store_ms: u64,
    proof_ms: u64,
    limit_ms: u64,
    /// The latest direct reading of each router's digests.
    heard_ms: HashMap<RouterId, u64>,
}

struct History {
    rng: StdRng,
    plan: Plan,
    routers: Vec<Router>,
    /// Directed links that lose everything.
    lost_links: Vec<(usize, usize)>,
    sources: Sources,
    in_transit: Vec<Message>,
    now_ms: u64,
    problems: Vec<String>,
}

fn address(index: usize) -> SocketAddr {
    format!("10.0.{}.{}:7400", index / 200, index % 200)
        .parse()
        .unwrap()
}

fn start_router(index: usize, clock_ms: u64, is_slow: bool) -> Router {
    let settings = DispatcherSettings {
        cost_model: CostModel::Stated,
        shares: ShareSettings {
            tokens_per_s: None,
            window: Duration::from_secs(4),
        },
        retry_budget: RetryBudgetSettings::default(),
        cold: Default::default(),
    };
    Router {
        introduction: HostIntroduction {
            router: format!("router-{index}").parse().unwrap(),
            zone: "a".parse().unwrap(),
            incarnation: Incarnation(1_000 + index as u64),
            caller_address: address(index),
            peer_address: address(index),
            phase: HostPhase::Serving,
            cpu_millicores: 250,
            is_crowded: false,
            has_store: true,
            has_callers: true,
        },
        clock_ms,
        is_slow,
        paused_until_ms: 0,
        group: 0,
        round_trips: RoundTrips::default(),
        confirmation: Confirmation::default(),
        hosts: HostTable::default(),
        evidence: CrashEvidence::default(),
        dispatcher: Dispatcher::new(Arc::from("a"), settings),
        unread: Vec::new(),
        seq: 0,
        next_recipient: index,
    }
}

impl Router {
    fn clock(&self, now_ms: u64) -> Timestamp {
        Timestamp((self.clock_ms + now_ms) * 1_000)
    }

    fn runs(&self, now_ms: u64) -> bool {
        let is_in_turn = !self.is_slow || now_ms % SLOW_PERIOD_MS < SLOW_RUNS_MS;
        is_in_turn && now_ms >= self.paused_until_ms
    }

    /// Applies a message as a router does when it reads one. Returns whether its sender was read
    /// directly.
    fn read(&mut self, message: &Message, now_ms: u64) -> bool {
        let now = self.clock(now_ms);
        self.confirmation.on_wakeup(now);
        let content = &message.content;
        let sender = &content.digest.host;
        let own = self.introduction.id();
        if !self.hosts.on_digest(&content.digest, now) {
            return false;
        }
        let transit = self.round_trips.on_message(
            sender.peer_address,
            sender.incarnation,
            &message.timing,
            self.introduction.incarnation,
            now,
        );
        self.hosts.on_rumors(&content.digest, own, transit, now);
        let (mut crashes, mut limits) = (content.crashes.clone(), content.limits.clone());
        crashes.add_transit(transit);
        limits.add_transit(transit);
        self.evidence.on_news(&crashes, now);
        self.dispatcher
            .on_limit_news(own, Some(sender.id()), &limits, now);
        if let (Some(age_ms), Some(transit)) = (content.configuration_age_ms, transit) {
            let age = Duration::from_millis(u64::from(age_ms)) + transit;
            self.confirmation
                .on_peer_confirmation(sender.id(), age, now);
        }
        true
    }

    fn write(&mut self, now_ms: u64, draw: usize) -> Content {
        let now = self.clock(now_ms);
        self.seq += 1;
        let configuration_age_ms = self.confirmation.age(now).map(age_to_ms);
        Content {
            digest: Digest {
                host: self.introduction.clone(),
                seq: self.seq,
                configuration: ConfigurationStamp::default(),
                configuration_age_ms,
                endpoints_at: StorePosition::default(),
                leaving: Vec::new(),
                arrivals_per_core_s: 0,
                endpoints: Vec::new(),
                teams: Vec::new(),
                placed: Vec::new(),
                is_brief: true,
                known_hosts: Vec::new(),
                known_hosts_len: 0,
                heartbeats: self.hosts.heartbeats(12, draw, now),
                introduced: Vec::new(),
            },
            configuration_age_ms,
            crashes: self.evidence.to_news(16, now),
            limits: self.dispatcher.limit_news(16, now),
        }
    }
}

impl History {
    fn new(seed: u64, plan: fn(&mut StdRng) -> Plan) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let plan = plan(&mut rng);
        let routers = (0..plan.routers).map(|index| {
            // The clocks of routers have nothing in common.
            let clock_ms = rng.random_range(100_000..10_000_000);
            start_router(index, clock_ms, index < plan.slow)
        });
        let routers = routers.collect();
        let mut lost_links = Vec::new();
        for from in 0..plan.routers {
            for to in 0..plan.routers {
                if rng.random_bool(plan.one_way) {
                    lost_links.push((from, to));
                }
            }
        }
        Self {
            rng,
            plan,
            routers,
            lost_links,
            sources: Sources::default(),
            in_transit: Vec::new(),
            now_ms: 0,
            problems: Vec::new(),
        }
    }

    fn play(&mut self) {
        while self.now_ms < LENGTH_MS && self.problems.is_empty() {
            if self.plan.is_disturbed && self.now_ms.is_multiple_of(CHANGE_MS) {
                self.disturb();
            }
            self.read_sources();
            self.deliver();
            for index in 0..self.routers.len() {
                self.run_router(index);
            }
            self.now_ms += TICK_MS;
        }
    }

    /// Moves routers to other groups, and pauses one.
    fn disturb(&mut self) {
        let groups = self.rng.random_range(1..=3);
        for router in &mut self.routers {
            if self.rng.random_bool(0.3) {
                router.group = self.rng.random_range(0..groups);
            }
        }
        let paused = self.rng.random_range(0..self.routers.len());
        let pause_ms = [0, 200, 2_000][self.rng.random_range(0..3)];
        self.routers[paused].paused_until_ms = self.now_ms + pause_ms;
    }

    /// Reads the store, proves a part and hears of a limit at one router each.
    fn read_sources(&mut self) {
        if self.now_ms >= self.plan.store_lost_ms || !self.now_ms.is_multiple_of(ROUND_MS) {
            return;
        }
        let index = self.rng.random_range(0..self.routers.len());
        let now_ms = self.now_ms;
        let router = &mut self.routers[index];
        if !router.runs(now_ms) {
            return;
        }
        let now = router.clock(now_ms);
        router.confirmation.on_wakeup(now);
        router.confirmation.on_store_read(now, None, now);
        router.evidence.on_proof(&[PART], now);
        let stated = LimitNews {
            limits: vec![StatedLimit {
                endpoint: ENDPOINT,
                limit: Some(RequestRate(5_000)),
                age_ms: 0,
            }],
            demands: Vec::new(),
        };
        let own = router.introduction.id();
        router.dispatcher.on_limit_news(own, None, &stated, now);
        self.sources.store_ms = now_ms;
        self.sources.proof_ms = now_ms;
        self.sources.limit_ms = now_ms;
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let arrived = self
            .in_transit
            .extract_if(.., |message| message.due_ms <= now_ms);
        for message in arrived {
            self.routers[message.to].unread.push(message);
        }
    }

    fn run_router(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let router = &mut self.routers[index];
        if !router.runs(now_ms) {
            return;
        }
        router.confirmation.on_wakeup(router.clock(now_ms));
        for message in std::mem::take(&mut router.unread) {
            if router.read(&message, now_ms) {
                let sender = message.content.digest.host.id();
                self.sources.heard_ms.insert(sender, now_ms);
            }
        }
        self.check_confirmation(index);
        if (now_ms / TICK_MS + index as u64).is_multiple_of(ROUND_MS / TICK_MS) {
            self.send(index);
        }
    }

    fn check_confirmation(&mut self, index: usize) {
        let router = &self.routers[index];
        let Some(age) = router.confirmation.age(router.clock(self.now_ms)) else {
            return;
        };
        let age_ms = age_to_ms(age);
        self.check("the configuration", index, age_ms, self.sources.store_ms);
    }

    fn check(&mut self, fact: &str, index: usize, age_ms: u32, source_ms: u64) {
        let source_age_ms = self.now_ms - source_ms;
        if u64::from(age_ms) < source_age_ms {
            self.problems.push(format!(
                "router {index} holds {fact} as {age_ms} ms old, its source is {source_age_ms} ms old"
            ));
        }
    }

    fn check_content(&mut self, index: usize, content: &Content) {
        let (proof_ms, limit_ms) = (self.sources.proof_ms, self.sources.limit_ms);
        for proof in &content.crashes.proofs {
            self.check("a proof", index, proof.age_ms, proof_ms);
        }
        for stated in &content.limits.limits {
            self.check("a limit", index, stated.age_ms, limit_ms);
        }
        for heartbeat in &content.digest.heartbeats {
            let heard_ms = self.sources.heard_ms[&heartbeat.router];
            self.check("a heartbeat", index, heartbeat.age_ms, heard_ms);
        }
    }

    fn send(&mut self, index: usize) {
        let (now_ms, count) = (self.now_ms, self.routers.len());
        let draw = self.rng.random_range(0..1_000);
        let router = &mut self.routers[index];
        // A report on a proven part makes the router pass its proof on.
        let report = CrashReport {
            endpoint: ENDPOINT,
            age_ms: 30_000,
            has_head: true,
            is_trial: false,
            parts: PartIds::from_slice(&[PART]),
        };
        let reports = CrashNews {
            reports: vec![report],
            ..CrashNews::default()
        };
        let now = router.clock(now_ms);
        router.evidence.on_news(&reports, now);
        let content = Rc::new(router.write(now_ms, draw));
        let replies = router.round_trips.take_due_replies(now);
        let mut recipients: Vec<usize> = (0..count)
            .filter(|other| replies.contains(&address(*other)))
            .collect();
        for _ in 0..FANOUT.min(count - 1) {
            let next = &mut self.routers[index].next_recipient;
            *next = (*next + 1) % count;
            if *next == index {
                *next = (*next + 1) % count;
            }
            if !recipients.contains(next) {
                recipients.push(*next);
            }
        }
        self.check_content(index, &content);
        for to in recipients {
            let is_cut = self.routers[to].group != self.routers[index].group;
            if is_cut
                || self.lost_links.contains(&(index, to))
                || self.rng.random_bool(self.plan.lost)
            {
                continue;
            }
            let late_ms = self.rng.random_range(0..=self.plan.late_max_ms);
            let timing = self.routers[index].round_trips.timing_for(address(to), now);
            self.in_transit.push(Message {
                due_ms: now_ms + late_ms,
                to,
                content: Rc::clone(&content),
                timing,
            });
        }
    }
}

fn play(seed: u64, plan: fn(&mut StdRng) -> Plan) -> History {
    let mut history = History::new(seed, plan);
    history.play();
    history
}

/// Guards against routers that renew each other's facts while they are cut off from the source: a
/// withdrawn key stays in use, a router that ended is given out, a limit outlives its statement.
#[test]
fn no_fact_is_held_for_younger_than_its_reading_at_the_source() {
    let next = AtomicU64::new(0);
    let work = || {
        let mut problems = Vec::new();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= HISTORIES {
                return problems;
            }
            let history = play(seed, Plan::generate);
            let found = history.problems.iter();
            problems.extend(found.map(|problem| format!("seed {seed}: {problem}")));
        }
    };
    let problems: Vec<String> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..THREADS).map(|_| scope.spawn(work)).collect();
        let found = workers.into_iter().map(|worker| worker.join().unwrap());
        found.flatten().collect()
    });
    assert!(problems.is_empty(), "{}: {problems:#?}", problems.len());
}

fn undisturbed(rng: &mut StdRng) -> Plan {
    Plan {
        routers: rng.random_range(2..12),
        slow: 0,
        lost: 0.1,
        late_max_ms: 3,
        one_way: 0.0,
        store_lost_ms: LENGTH_MS,
        is_disturbed: false,
    }
}

/// A router without a path to the store accepts keys for as long as it hears one that reads it.
#[test]
fn routers_that_hear_a_reader_of_the_store_stay_current() {
    for seed in 0..20 {
        let history = play(seed, undisturbed);
        for router in &history.routers {
            let age = router.confirmation.age(router.clock(history.now_ms));
            assert!(
                age.unwrap() < CURRENT_MAX,
                "seed {seed}: {age:?}, {:?}",
                history.plan
            );
        }
    }
}

#[test]
fn seeded_faults_are_found() {
    for fault in [SeededFault::IgnoreTransit, SeededFault::AssumeNoTransit] {
        seed(Some(fault));
        let is_found = (0..HISTORIES).any(|seed| !play(seed, Plan::generate).problems.is_empty());
        seed(None);
        assert!(is_found, "{fault:?}");
    }
}
