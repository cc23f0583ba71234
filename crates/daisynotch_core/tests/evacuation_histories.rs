//! Generated histories of operators who evacuate availability zones.
//!
//! Orders follow each other and are withdrawn, some within the same second, while routers restart,
//! stand still and are cut off, digests are lost or late, and the store goes dark or is restored
//! from a backup. From the bound after its acknowledgement no router in contact may use an evacuated
//! zone, and some time after the withdrawal all of them use it again. The check also has to find a
//! fault that is seeded into the core.

use daisynotch_core::Timestamp;
use daisynotch_core::direct::{EvacuationNews, EvacuationOrder, Evacuations, StorePosition};
use daisynotch_core::seeded_fault::{SeededFault, seed};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::sync::Arc;

const HISTORIES: u64 = 300;
/// Threads that play histories.
const THREADS: usize = 4;
const TICK_MS: u64 = 25;
const LENGTH_MS: u64 = 40_000;
const READERS: usize = 4;
const FANOUT: usize = 24;
/// Rounds of digests of routers without callers are this many times as far apart as those of others.
const IDLE_ROUNDS: u64 = 8;
const ROUND_MS: u64 = 75;
/// Time after the acknowledgement of a change at which it must be in force.
const BOUND_MS: u64 = 5_000;
/// How long a router must have been undisturbed, and the store sound, for the bound to hold.
const CONTACT_MS: u64 = 4_000;
/// How long orders that a restore lost may outlive their withdrawal.
const HELD_MS: u64 = 3_000;
const ZONES: [&str; 3] = ["a", "b", "c"];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    Restart,
    Standstill,
    Cut,
    StoreCut,
}

/// A change that the store acknowledged.
#[derive(Debug, Clone, Copy)]
struct Change {
    revision: u64,
    zone: usize,
    is_ordered: bool,
}

#[derive(Debug, Default)]
struct Store {
    era: u64,
    revision: u64,
    changes: Vec<Change>,
    dark_until_ms: u64,
    /// When the store was last disturbed.
    disturbed_at_ms: u64,
}

impl Store {
    fn orders(&self) -> BTreeMap<usize, u64> {
        let mut orders = BTreeMap::new();
        for change in &self.changes {
            if change.is_ordered {
                orders.insert(change.zone, change.revision);
            } else {
                orders.remove(&change.zone);
            }
        }
        orders
    }

    fn write(&mut self, zone: usize, is_ordered: bool) {
        self.revision += 1;
        let revision = self.revision;
        self.changes.push(Change {
            revision,
            zone,
            is_ordered,
        });
    }
}

#[derive(Debug, Default)]
struct Router {
    evacuations: Evacuations,
    /// The position of the latest response of the store.
    position: Option<StorePosition>,
    next_read_ms: u64,
    disturbed: Option<(Disturbance, u64)>,
    undisturbed_since_ms: u64,
    is_ready: bool,
}

impl Router {
    fn is_stopped(&self) -> bool {
        matches!(self.disturbed,
            Some((kind, _)) if kind != Disturbance::Cut && kind != Disturbance::StoreCut)
    }

    fn is_cut(&self) -> bool {
        matches!(self.disturbed, Some((kind, _)) if kind != Disturbance::StoreCut)
    }
}

struct History {
    rng: StdRng,
    store: Store,
    routers: Vec<Router>,
    with_callers: usize,
    /// What the operators last asked for, by zone, and when the store acknowledged it.
    wanted: [(bool, u64); ZONES.len()],
    rewrite_at_ms: Option<u64>,
    in_transit: Vec<(u64, usize, EvacuationNews)>,
    lost: f64,
    late_max_ms: u64,
    disturbances: u64,
    now_ms: u64,
}

impl History {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let routers = match rng.random_range(0..40) {
            0 => rng.random_range(60..=300),
            _ => rng.random_range(3..30),
        };
        let with_callers = rng.random_range(3..=routers.min(26));
        let lost = rng.random_range(0.0..0.3);
        let late_max_ms = rng.random_range(0..=1_000);
        let disturbances = rng.random_range(0..40);
        let store = Store {
            revision: 10,
            ..Store::default()
        };
        Self {
            rng,
            store,
            routers: (0..routers).map(|_| Router::default()).collect(),
            with_callers,
            wanted: [(false, 0); ZONES.len()],
            rewrite_at_ms: None,
            in_transit: Vec::new(),
            lost,
            late_max_ms,
            disturbances,
            now_ms: 0,
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp(100_000_000 + self.now_ms * 1_000)
    }

    fn chance(&mut self, times: u64) -> bool {
        let per_tick = times as f64 * TICK_MS as f64 / LENGTH_MS as f64;
        self.rng.random_bool(per_tick.min(1.0))
    }

    /// Plays the history and returns the first violation.
    fn play(&mut self) -> Option<String> {
        while self.now_ms < LENGTH_MS {
            self.operate();
            self.disturb();
            self.deliver();
            for index in 0..self.routers.len() {
                self.run_router(index);
            }
            if let Some(problem) = self.problem() {
                return Some(problem);
            }
            self.now_ms += TICK_MS;
        }
        None
    }

    fn operate(&mut self) {
        let is_dark = self.now_ms < self.store.dark_until_ms;
        if is_dark {
            return;
        }
        if self.rewrite_at_ms.is_some_and(|at_ms| at_ms <= self.now_ms) {
            self.rewrite_at_ms = None;
            let orders = self.store.orders();
            for zone in 0..ZONES.len() {
                let (is_ordered, _) = self.wanted[zone];
                if is_ordered != orders.contains_key(&zone) {
                    self.store.write(zone, is_ordered);
                }
            }
        }
        if self.rewrite_at_ms.is_some() || !self.chance(6) {
            return;
        }
        let zone = self.rng.random_range(0..ZONES.len());
        let (is_ordered, _) = self.wanted[zone];
        self.store.write(zone, !is_ordered);
        self.wanted[zone] = (!is_ordered, self.now_ms);
        // Some changes are taken back within the same second.
        if self.rng.random_bool(0.2) {
            self.store.write(zone, is_ordered);
            self.wanted[zone] = (is_ordered, self.now_ms);
        }
        // Some acknowledgements are the last response of the store for a while.
        if self.rng.random_bool(0.2) {
            let dark_ms = self.rng.random_range(500..5_000);
            self.store.dark_until_ms = self.now_ms + dark_ms;
            self.store.disturbed_at_ms = self.store.dark_until_ms;
        }
    }

    fn disturb(&mut self) {
        if self.chance(1) && self.rewrite_at_ms.is_none() {
            // The backup lacks the latest changes, and their revisions are used again.
            let lost = self.rng.random_range(0..=self.store.changes.len().min(2));
            let kept = self.store.changes.len() - lost;
            self.store.changes.truncate(kept);
            let latest = self.store.changes.last();
            self.store.revision = latest.map_or(10, |change| change.revision);
            self.store.era += 1;
            self.store.disturbed_at_ms = self.store.disturbed_at_ms.max(self.now_ms);
            self.rewrite_at_ms = Some(self.now_ms + self.rng.random_range(0..2_000));
        }
        if self.chance(self.disturbances) {
            let index = self.rng.random_range(0..self.routers.len());
            self.disturb_router(index);
        }
        if self.chance(1) {
            for index in 0..self.routers.len() {
                if self.rng.random_bool(0.7) {
                    self.disturb_router(index);
                }
            }
        }
    }

    fn disturb_router(&mut self, index: usize) {
        let kinds = [
            Disturbance::Restart,
            Disturbance::Standstill,
            Disturbance::Cut,
            Disturbance::StoreCut,
        ];
        let kind = kinds[self.rng.random_range(0..kinds.len())];
        let ends_ms = self.now_ms + self.rng.random_range(200..6_000);
        let router = &mut self.routers[index];
        if kind == Disturbance::Restart {
            *router = Router::default();
        }
        router.disturbed = Some((kind, ends_ms));
        router.undisturbed_since_ms = ends_ms;
    }

    fn deliver(&mut self) {
        let now = self.now();
        for (at_ms, index, news) in std::mem::take(&mut self.in_transit) {
            if at_ms > self.now_ms {
                self.in_transit.push((at_ms, index, news));
            } else if !self.routers[index].is_cut() {
                let router = &mut self.routers[index];
                router.is_ready |= news.at > StorePosition::default();
                router.evacuations.on_news(news, now);
            }
        }
    }

    fn run_router(&mut self, index: usize) {
        if self.routers[index]
            .disturbed
            .is_some_and(|(_, ends_ms)| ends_ms <= self.now_ms)
        {
            self.routers[index].disturbed = None;
        }
        if self.routers[index].is_stopped() {
            return;
        }
        let now = self.now();
        self.routers[index].evacuations.expire(now);
        if self.reads_store(index) {
            self.read_store(index);
        }
        let rounds = if index < self.with_callers {
            1
        } else {
            IDLE_ROUNDS
        };
        let is_round =
            (self.now_ms / TICK_MS + index as u64).is_multiple_of(rounds * ROUND_MS / TICK_MS);
        if is_round && !self.routers[index].is_cut() {
            let news = self.routers[index].evacuations.to_news();
            for _ in 0..FANOUT.min(self.routers.len()) {
                let recipient = self.rng.random_range(0..self.routers.len());
                if recipient != index && !self.rng.random_bool(self.lost) {
                    let late_ms = self.rng.random_range(0..=self.late_max_ms);
                    let at_ms = self.now_ms + late_ms;
                    self.in_transit.push((at_ms, recipient, news.clone()));
                }
            }
        }
    }

    /// Returns whether a router is among the readers: the first that reach the store.
    fn reads_store(&self, index: usize) -> bool {
        let reaches = |router: &Router| router.disturbed.is_none();
        let before = &self.routers[..index];
        let preceding = before.iter().filter(|router| reaches(router)).count();
        preceding < READERS && reaches(&self.routers[index])
    }

    fn read_store(&mut self, index: usize) {
        if self.now_ms < self.store.dark_until_ms {
            let pause_ms = self.rng.random_range(100..800);
            self.routers[index].next_read_ms = self.now_ms + pause_ms;
            return;
        }
        let now = self.now();
        let router = &mut self.routers[index];
        if self.now_ms < router.next_read_ms {
            return;
        }
        router.next_read_ms = self.now_ms + self.rng.random_range(0..100);
        let era = self.store.era;
        let at = StorePosition {
            era,
            revision: self.store.revision,
        };
        match router.position.filter(|position| position.era == era) {
            Some(position) => {
                for change in &self.store.changes {
                    if change.revision > position.revision {
                        let revision = change.revision;
                        router.evacuations.on_change(
                            ZONES[change.zone],
                            StorePosition { era, revision },
                            change.is_ordered,
                            now,
                        );
                    }
                }
            }
            None => {
                let orders = self.store.orders().into_iter();
                let orders = orders.map(|(zone, revision)| EvacuationOrder {
                    zone: Arc::from(ZONES[zone]),
                    since: StorePosition { era, revision },
                });
                router.evacuations.on_listing(at, orders, now);
                router.is_ready = true;
            }
        }
        router.position = Some(at);
    }

    fn problem(&self) -> Option<String> {
        let is_store_sound =
            self.now_ms >= self.store.disturbed_at_ms + CONTACT_MS && self.rewrite_at_ms.is_none();
        if !is_store_sound {
            return None;
        }
        for (index, router) in self.routers.iter().enumerate() {
            let is_in_contact = router.disturbed.is_none()
                && router.is_ready
                && self.now_ms >= router.undisturbed_since_ms + CONTACT_MS;
            if !is_in_contact {
                continue;
            }
            for (zone, (is_ordered, at_ms)) in self.wanted.iter().enumerate() {
                let held_ms = if *is_ordered { 0 } else { HELD_MS };
                if self.now_ms < at_ms + BOUND_MS + held_ms {
                    continue;
                }
                let is_evacuated = router.evacuations.is_evacuated(ZONES[zone]);
                if is_evacuated != *is_ordered {
                    let name = ZONES[zone];
                    return Some(format!(
                        "router {index} at {} ms: zone {name} is evacuated: {is_evacuated}, asked \
                         for at {at_ms} ms: {is_ordered}",
                        self.now_ms
                    ));
                }
            }
        }
        None
    }
}

/// Guards against requests to an evacuated zone, and against zones that stay empty.
#[test]
fn orders_are_in_force_in_time_at_all_routers_in_contact() {
    let play = |thread: u64| {
        let seeds = (thread..HISTORIES).step_by(THREADS);
        let problems = seeds.filter_map(|seed| {
            let problem = History::new(seed).play()?;
            Some(format!("history {seed}: {problem}"))
        });
        problems.collect::<Vec<String>>()
    };
    let problems: Vec<String> = std::thread::scope(|scope| {
        let threads = (0..THREADS as u64).map(|thread| scope.spawn(move || play(thread)));
        let threads: Vec<_> = threads.collect();
        let problems = threads.into_iter().map(|thread| thread.join().unwrap());
        problems.flatten().collect()
    });
    assert!(problems.is_empty(), "{}", problems.join("\n"));
}

#[test]
fn orders_that_are_not_passed_on_are_found() {
    seed(Some(SeededFault::IgnoreEvacuationNews));
    let found = (0..20).any(|seed| History::new(seed).play().is_some());
    seed(None);
    assert!(found);
}
