//! Generated histories of endpoints that are cold after they start, return or say so.
//!
//! Routers restart, stand still and are cut off, one by one, in halves and all at once; digests are lost
//! or late. In any second all routers together, in contact or not, must send a cold endpoint no more
//! than the bound, and while more is asked they must use most of what it tolerates. The check also has
//! to find faults that are seeded into the core.
//!
//! A router that no sign has reached can't know that an endpoint is cold, so its requests are not
//! counted until one has: a failure that it saw, a message that tells of one and is at most as old as an
//! endpoint is cold, the end of an evacuation, or an entry. Two things are not played, because no
//! router could know better: partitions that begin in the first 3 s of the routers' lives, and restarts
//! of all routers within a partition.

#[path = "cold_histories/play.rs"]
mod play;

use std::sync::atomic::{AtomicU64, Ordering};

use daisynotch_core::seeded_fault::{SeededFault, seed};
use play::{History, Plan, Scene};
use rand::RngExt;
use rand::rngs::StdRng;

const HISTORIES: u64 = 400;
/// Histories in which a seeded fault must show.
const SEARCHED: u64 = 150;
/// Threads that play histories.
const THREADS: usize = 4;
/// Fraction of the rate of cold endpoints that must be used while more is asked.
const USED_MIN: f64 = 0.9;

fn play(seed: u64, plan: fn(&mut StdRng) -> Plan) -> History {
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

/// An endpoint crashes, just after its start, from what hundreds of routers send it at once.
#[test]
fn routers_together_keep_the_bound_of_cold_endpoints() {
    let problems = problems(HISTORIES, Plan::generate, |history| {
        let excess = history.excess();
        (excess > 0.0).then(|| format!("{excess:.1} requests too many"))
    });
    assert!(problems.is_empty(), "{} {problems:#?}", problems.len());
}

/// Engines are at least as many as routers; with fewer, most routers hold no part of a limit.
fn steady_demand(rng: &mut StdRng) -> Plan {
    let routers = rng.random_range(2..=30);
    Plan {
        routers,
        zones: 1,
        endpoints: rng.random_range(routers..=2 * routers),
        disturbances: 0,
        lost: 0.0,
        late_max_ms: 75,
        demand: 2.5,
        scene: Scene::ColdAgain,
        ..Plan::generate(rng)
    }
}

/// Parts too small, or held by routers without work, would leave engines idle.
#[test]
fn routers_use_cold_endpoints_while_more_is_asked() {
    let problems = problems(HISTORIES / 4, steady_demand, |history| {
        let used = history.used();
        (used < USED_MIN).then(|| format!("{used:.2} used"))
    });
    assert!(problems.is_empty(), "{} {problems:#?}", problems.len());
}

/// Returns whether the check finds a fault that is seeded into the core.
fn is_found(fault: SeededFault) -> bool {
    seed(Some(fault));
    (0..SEARCHED).any(|seed| play(seed, Plan::generate).excess() > 0.0)
}

#[test]
fn seeded_faults_are_found() {
    let faults = [
        SeededFault::KeepWholeLimit,
        SeededFault::DivideAmongAll,
        SeededFault::KeepLimitSecret,
        SeededFault::KeepFailuresSecret,
        SeededFault::HoldAtStart,
        SeededFault::GiveSilentParts,
    ];
    // A seeded fault is in force on its thread alone.
    let missed = std::thread::scope(|scope| {
        let searches = faults.map(|fault| (fault, scope.spawn(move || is_found(fault))));
        let missed = searches.into_iter().filter_map(|(fault, search)| {
            let is_found = search.join().unwrap();
            (!is_found).then_some(fault)
        });
        missed.collect::<Vec<_>>()
    });
    assert!(missed.is_empty(), "{missed:?}");
}
