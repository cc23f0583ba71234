//! Measures one dispatch decision of a router: a request arrives, is placed and ends.
//!
//! Run with `cargo bench -p daisynotch_core --bench direct_decision`. All teams are backlogged on
//! another router, whose digests report their sums.

use std::sync::Arc;
use std::time::{Duration, Instant};

use daisynotch_core::direct::{
    CallerLimits, ConfigurationStamp, CostModel, Digest, Dispatcher, DispatcherSettings,
    EndpointChange, EndpointEntry, EndpointState, EngineLimits, HostIntroduction, HostPhase, Part,
    RequestSpec, RetryBudgetSettings, RouteTable, RunOutcome, ServiceView, ShareSettings,
    StorePosition, TeamDigest, Verdict,
};
use daisynotch_core::{Incarnation, Timestamp};
use smallvec::SmallVec;

const DECISIONS: u64 = 50_000;
/// Time between requests at the router: one decision every 2 ms.
const GAP_US: u64 = 2_000;

fn main() {
    println!("engines   teams   one decision, digests apart");
    for engines in [12, 93, 1_000] {
        for teams in [20, 2_000, 20_000] {
            let decision = measure(engines, teams);
            println!("{engines:>7} {teams:>7}   {decision:?}");
        }
    }
}

fn measure(engines: usize, teams: u32) -> Duration {
    let mut dispatcher = dispatcher(engines);
    let mut spent = Duration::ZERO;
    for number in 0..DECISIONS {
        let now = Timestamp(100_000_000 + number * GAP_US);
        if number % 500 == 0 {
            dispatcher.on_digest(&digest(teams, number), now);
        }
        let mut spec = spec(number, teams, now);
        let began_at = Instant::now();
        dispatcher.estimate_answer(&mut spec, now);
        dispatcher.on_request(&spec, now);
        dispatcher.submit(spec);
        let verdicts = dispatcher.decide_waiting(now);
        for (_, verdict) in verdicts {
            if let Verdict::Send(grant) = verdict {
                dispatcher.on_bytes(grant.run, now);
                dispatcher.on_event(grant.run, 12, now);
                dispatcher.on_ended(grant.run, RunOutcome::Done, now);
            }
        }
        spent += began_at.elapsed();
        if number % 40 == 0 {
            // Clears the pending placements, as sending a digest does.
            dispatcher.to_digest(now);
        }
    }
    spent / u32::try_from(DECISIONS).expect("the number of decisions fits a `u32`")
}

fn spec(number: u64, teams: u32, now: Timestamp) -> RequestSpec {
    let part = |id, tokens| Part { id, tokens };
    let session = (number % 64) as u32;
    RequestSpec {
        service: Arc::from("models"),
        route: Arc::from("chat"),
        team: Some((number % u64::from(teams)) as u32),
        priority: 1,
        parts: [
            part(1, 1_500),
            part(100 + session, 4_800),
            part(1 << 20 | number as u32, 500),
        ]
        .into_iter()
        .collect(),
        prompt_tokens: 6_800,
        answer_hint_tokens: Some(50),
        answer_max_tokens: 100,
        answer_tokens: 50,
        answer_upper_tokens: 50,
        answer_events: 12,
        body_bytes: 1_000,
        arrived_at: now,
        objective: Duration::from_millis(500),
        give_up_at: now + Duration::from_secs(5),
        tried: SmallVec::new(),
    }
}

fn dispatcher(engines: usize) -> Dispatcher {
    let limits = CallerLimits {
        shared_tokens_per_s: Some(3_300_000),
        ..CallerLimits::default()
    };
    let mut table = RouteTable::new(1, limits);
    table.add_service(ServiceView {
        name: Arc::from("models"),
        connections_max: 600,
        status_path: Arc::from("/status"),
        engine: Some(EngineLimits {
            slots: 64,
            memory_tokens: 400_000,
        }),
        cold_start: None,
    });
    let settings = DispatcherSettings {
        cost_model: CostModel::Learned,
        shares: ShareSettings {
            tokens_per_s: None,
            window: Duration::from_secs(4),
        },
        retry_budget: RetryBudgetSettings::default(),
        cold: Default::default(),
    };
    let mut dispatcher = Dispatcher::new(Arc::from("a"), settings);
    dispatcher.on_routes(&table);
    for index in 0..engines {
        let entry = EndpointEntry {
            name: Arc::from(format!("engine-{index}")),
            started_unix_ms: 1,
            report_seq: 1,
            service: Arc::from("models"),
            address: ([10, 0, (index >> 8) as u8, index as u8], 80).into(),
            zone: Arc::from("a"),
            slots: 64,
            state: EndpointState::Ready,
            cold_remaining: None,
        };
        dispatcher.on_endpoint(EndpointChange::Usable(entry), &table);
    }
    dispatcher
}

/// Returns the digest of a router whose teams all ask for more than they get.
fn digest(teams: u32, seq: u64) -> Digest {
    let teams = (0..teams).map(|team| TeamDigest {
        team,
        asked_tokens: 40_000_000 / teams,
        begun_tokens: 10_000_000 / teams,
    });
    Digest {
        host: HostIntroduction {
            router: "other".parse().expect("a valid router name"),
            zone: "a".parse().expect("a valid zone name"),
            incarnation: Incarnation(1),
            caller_address: ([10, 1, 0, 1], 80).into(),
            peer_address: ([10, 1, 0, 1], 7_400).into(),
            phase: HostPhase::Serving,
            cpu_millicores: 250,
            is_crowded: false,
            has_store: true,
            has_callers: true,
        },
        seq,
        configuration: ConfigurationStamp::default(),
        configuration_age_ms: None,
        endpoints_at: StorePosition::default(),
        leaving: Vec::new(),
        arrivals_per_core_s: 0,
        endpoints: Vec::new(),
        teams: teams.collect(),
        placed: Vec::new(),
        is_brief: false,
        known_hosts: Vec::new(),
        known_hosts_len: 0,
        heartbeats: Vec::new(),
        introduced: Vec::new(),
    }
}
