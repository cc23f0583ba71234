//! The cases. Each returns 1 if its rule was broken, 0 if it held and 2 if it could not run.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use crate::client::call;
use crate::fleet::{config, Fleet, Plan};
use crate::record::Record;

pub fn run(case: &str, folder: &str, has_trouble: bool) -> i32 {
    let Ok(record) = Record::create(folder) else {
        return 2;
    };
    match case {
        "deadly-first-event" => deadly_part(record, has_trouble, 1, false),
        "deadly-bursts" => deadly_part(record, has_trouble, 0, true),
        "limit-after-quiet" => limit_after_quiet(record, has_trouble),
        "cold-return" => cold_return(record, has_trouble),
        "lone-machine" => lone_machine(record, has_trouble),
        _ => 2,
    }
}

fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// Key of the one tenant.
const KEY: &str = "asnmgkcuyj8pjbvk9m68";

/// BUDGET: not more than three requests with a part that crashes replicas reach replicas later than
/// `contactMs` after the fifth crash.
///
/// The deadly requests come one by one, or in two bursts that are ten seconds apart.
fn deadly_part(record: Record, has_trouble: bool, events: u64, in_bursts: bool) -> i32 {
    const CONTACT_S: f64 = 3.0;
    const BURST: u32 = 12;
    let config = config(7, &[("hule930", KEY)], None);
    let plan = Plan {
        routers: 3,
        replicas: 12,
        deadly: ("dead0001", events),
        limit: "",
        config: &config,
        cold: None,
        drain_ms: 2_000,
        retry_allowance: 58,
    };
    let fleet = Fleet::start(record, &plan);
    if !fleet.until_ready() {
        fleet.end();
        return 2;
    }
    pause(1_500);
    // Prompts begin with one of these first parts, sound ones and deadly ones alike.
    let family = |id: u32| 1 + id % 12;
    let sound_served = AtomicU32::new(0);
    let (rounds, round_ms) = if in_bursts { (560, 40) } else { (100, 250) };
    std::thread::scope(|scope| {
        let (fleet, sound_served) = (&fleet, &sound_served);
        // The requests of a burst are sent at the same moment.
        let deadly = |ids: std::ops::Range<u32>| {
            let start = Arc::new(Barrier::new(ids.len()));
            for id in ids {
                let (family, own) = (family(id), 0x2000_0000 + id);
                let parts = format!("5a5a{family:04x}:200,dead0001:180,{own:08x}:20");
                let start = Arc::clone(&start);
                scope.spawn(move || {
                    start.wait();
                    fleet.ask(
                        id as usize % fleet.routers.len(),
                        &format!("deadly-{id}"),
                        KEY,
                        &parts,
                    )
                });
            }
        };
        for round in 0..rounds {
            // Sound requests share the caller and the other parts.
            let parts = format!(
                "5a5a{:04x}:200,{:08x}:20",
                family(round),
                0x1000_0000 + round
            );
            let router = round as usize % fleet.routers.len();
            scope.spawn(move || {
                let status = fleet.ask(router, &format!("sound-{round}"), KEY, &parts);
                sound_served.fetch_add(u32::from(status == 200), Ordering::Relaxed);
            });
            if has_trouble {
                match (in_bursts, round) {
                    (false, _) if round % 2 == 0 => deadly(round..round + 1),
                    (true, 60) => deadly(0..BURST),
                    (true, 310) => deadly(100..100 + BURST),
                    _ => {}
                }
            }
            pause(round_ms);
        }
    });
    pause(500);
    let lines = fleet.lines.lock().unwrap().clone();
    let crashes: Vec<f64> = lines
        .iter()
        .filter(|(_, line)| line.contains(" crashes "))
        .map(|(at, _)| *at)
        .collect();
    let late = crashes.get(4).map_or(0, |fifth| {
        let runs = lines.iter().filter(|(at, _)| *at > fifth + CONTACT_S);
        runs.filter(|(_, line)| line.contains(" runs ") && line.ends_with("deadly true"))
            .count()
    });
    let served = sound_served.load(Ordering::Relaxed);
    fleet.record.line(&format!(
        "{} crashes; {late} deadly requests reached replicas later than {CONTACT_S} s after the fifth (3 are allowed); {served} of {rounds} sound requests served",
        crashes.len()
    ));
    fleet.end();
    verdict(late > 3, served > 0)
}

/// LIMIT: from `contactMs` after a replica first named its `Server-Limit` it gets in no 4 s more than
/// one and a half times what that allows, + 5 requests.
fn limit_after_quiet(record: Record, has_trouble: bool) -> i32 {
    const LIMIT_PER_S: f64 = 1.0;
    const CONTACT_S: f64 = 3.0;
    const QUIET_S: u64 = 64;
    const BURST: usize = 40;
    let config = config(7, &[("hule930", KEY)], None);
    let limit = if has_trouble {
        LIMIT_PER_S.to_string()
    } else {
        String::new()
    };
    let plan = Plan {
        routers: 3,
        replicas: 1,
        deadly: ("", 0),
        limit: &limit,
        config: &config,
        cold: None,
        drain_ms: 2_000,
        retry_allowance: 58,
    };
    let fleet = Fleet::start(record, &plan);
    if !fleet.until_ready() {
        fleet.end();
        return 2;
    }
    pause(1_500);
    let ask = |id: usize| {
        fleet.ask(
            id % fleet.routers.len(),
            &format!("plan-{id}"),
            KEY,
            &format!("5a5a0001:200,{:08x}:20", 0x1000_0000 + id),
        )
    };
    for id in 0..9 {
        ask(id);
        pause(700);
    }
    fleet
        .record
        .line(&format!("no client sends anything for {QUIET_S} s"));
    pause(QUIET_S * 1_000);
    let served = AtomicU32::new(0);
    std::thread::scope(|scope| {
        for id in 100..100 + BURST {
            let (ask, served) = (&ask, &served);
            scope.spawn(move || served.fetch_add(u32::from(ask(id) == 200), Ordering::Relaxed));
        }
    });
    pause(500);
    let lines = fleet.lines.lock().unwrap().clone();
    let runs: Vec<f64> = lines
        .iter()
        .filter(|(_, line)| line.contains(" runs "))
        .map(|(at, _)| *at)
        .collect();
    // The first answer comes at most half a second after its request.
    let bound_from = runs
        .first()
        .map_or(f64::INFINITY, |first| first + 0.5 + CONTACT_S);
    let runs: Vec<f64> = runs.into_iter().filter(|at| *at > bound_from).collect();
    let in_4_s = |from: &f64| {
        runs.iter()
            .filter(|at| **at >= *from && **at < *from + 4.0)
            .count()
    };
    let most = runs.iter().map(in_4_s).max().unwrap_or(0);
    let allowed = 1.5 * LIMIT_PER_S * 4.0 + 5.0;
    fleet.record.line(&format!("the replica names a limit of '{limit}' a second and got at most {most} requests in some 4 s ({allowed} are allowed with a limit)"));
    let served = served.load(Ordering::Relaxed);
    fleet.end();
    verdict(has_trouble && most as f64 > allowed, served > 0)
}

fn verdict(is_broken: bool, has_run: bool) -> i32 {
    match (is_broken, has_run) {
        (true, _) => 1,
        (false, true) => 0,
        (false, false) => 2,
    }
}

/// DRAIN: not more than three answers of the directory name, beside a running machine, one that was
/// killed over `contactMs` + 3 s before and has not started since.
fn lone_machine(record: Record, has_trouble: bool) -> i32 {
    const CONTACT_S: u64 = 4;
    let config = config(7, &[("hule930", "asnmgkcuyj8pjbvk9m68")], None);
    let plan = Plan {
        routers: 3,
        replicas: 3,
        deadly: ("", 0),
        limit: "",
        config: &config,
        cold: None,
        drain_ms: 3_000,
        retry_allowance: 156,
    };
    let mut fleet = Fleet::start(record, &plan);
    if !fleet.until_ready() {
        fleet.end();
        return 2;
    }
    pause(5_000);
    let killed: Vec<String> = fleet.routers[1..]
        .iter()
        .map(|router| router.callers.to_string())
        .collect();
    if has_trouble {
        for index in 1..fleet.routers.len() {
            fleet.routers[index].kill();
            let name = fleet.routers[index].name.clone();
            fleet
                .record
                .line(&format!("machine {name} is lost for good: SIGKILL"));
        }
    }
    let lost_at = Instant::now();
    let mut late = 0;
    let mut answers = 0;
    let own = fleet.routers[0].callers.to_string();
    while lost_at.elapsed() < Duration::from_secs(30) {
        let target = "/v1/resolve?name=advice.example&region=kaolack&zone=kaolack-nord";
        let answer = call(
            fleet.routers[0].directory,
            "GET",
            target,
            "Host: directory\r\n",
            b"",
        );
        let since = lost_at.elapsed();
        fleet.record.line(&format!(
            "directory of {} answers {}: {}",
            fleet.routers[0].name, answer.status, answer.body
        ));
        if answer.status == 200 {
            answers += 1;
            let names_lost = killed
                .iter()
                .any(|address| answer.body.contains(&format!("\"{address}\"")));
            let is_late = since > Duration::from_secs(CONTACT_S + 3);
            if has_trouble && is_late && names_lost && answer.body.contains(&format!("\"{own}\"")) {
                late += 1;
            }
        }
        pause(500);
    }
    fleet.record.line(&format!(
        "{answers} answers, {late} name a machine that was lost over {} s before (3 are allowed)",
        CONTACT_S + 3
    ));
    fleet.end();
    verdict(late > 3, answers > 0)
}

/// FAILBACK: a cold replica gets in no second more than `coldPerS` x `coldOverrun` + `coldTolerance`
/// requests, from all machines together.
///
/// An evacuation ends, the zone's replica is cold, and all routers are killed at that moment.
fn cold_return(record: Record, has_trouble: bool) -> i32 {
    const COLD: (f64, f64) = (9.8, 3.0);
    const BOUND: f64 = COLD.0 * 1.5 + 5.0;
    const RETURNED: usize = 1;
    /// Requests in a second, well above what a cold replica tolerates, at which it crashes.
    const CRASH_RATE: usize = 25;
    let config = config(7, &[("hule930", KEY)], Some(COLD));
    let plan = Plan {
        routers: 3,
        replicas: 2,
        deadly: ("", 0),
        limit: "",
        config: &config,
        cold: Some(COLD),
        drain_ms: 3_000,
        retry_allowance: 156,
    };
    let mut fleet = Fleet::start(record, &plan);
    if !fleet.until_ready() {
        fleet.end();
        return 2;
    }
    pause(2_000);
    let order = format!("op/evacuate/{}", crate::fleet::ZONES[RETURNED]);
    let mut next = 0;
    send_for(&fleet, 3_000, &mut next);
    fleet.store.write(&order, "{}");
    fleet.record.line(&format!("{order} is acknowledged"));
    send_for(&fleet, 6_000, &mut next);
    fleet.until_beat(RETURNED);
    let id = fleet.make_cold(RETURNED, Duration::from_secs_f64(COLD.1), CRASH_RATE);
    fleet.store.remove(&order);
    let cold_from = fleet.record.now();
    fleet.record.line(&format!(
        "{order} is taken back; replica {id} is cold for {} s",
        COLD.1
    ));
    if has_trouble {
        for router in &mut fleet.routers {
            router.kill();
        }
        fleet.record.line("all routers are killed");
        pause(300);
        let folder = fleet.folder.clone();
        for router in &mut fleet.routers {
            let log = folder.join(format!("{}-2.log", router.name));
            router.start(&log.to_string_lossy());
        }
        fleet.record.line("all routers start again");
    }
    send_for(&fleet, 3_000, &mut next);
    pause(500);
    let lines = fleet.lines.lock().unwrap().clone();
    let prefix = format!("{id} runs");
    let runs = lines.iter().filter(|(at, line)| {
        line.starts_with(&prefix) && *at >= cold_from && *at < cold_from + COLD.1
    });
    let runs: Vec<f64> = runs.map(|(at, _)| *at).collect();
    let in_1_s = |from: &f64| {
        runs.iter()
            .filter(|at| **at >= *from && **at < *from + 1.0)
            .count()
    };
    let most = runs.iter().map(in_1_s).max().unwrap_or(0);
    let crashes = fleet.crashes.load(Ordering::Relaxed);
    fleet.record.line(&format!(
        "the cold replica got {} requests while it was cold, at most {most} in a second ({BOUND:.1} are allowed); {crashes} replicas crashed",
        runs.len()
    ));
    let all = lines
        .iter()
        .filter(|(_, line)| line.contains(" runs "))
        .count();
    fleet.end();
    verdict(most as f64 > BOUND, all > 100)
}

/// Sends requests at 150 a second to all routers in turn.
fn send_for(fleet: &Fleet, ms: u64, next: &mut u32) {
    let until = Instant::now() + Duration::from_millis(ms);
    std::thread::scope(|scope| {
        while Instant::now() < until {
            let id = *next;
            *next += 1;
            let parts = format!("5a5a{:04x}:200,{:08x}:20", 1 + id % 40, 0x1000_0000 + id);
            scope.spawn(move || {
                fleet.ask(
                    id as usize % fleet.routers.len(),
                    &format!("plan-{id}"),
                    KEY,
                    &parts,
                )
            });
            std::thread::sleep(Duration::from_micros(6_600));
        }
    });
}
