//! Each test replays the load pattern that its decision answers.

use smallvec::SmallVec;

use super::decision::UNPLACED_MAX;
use super::*;
use crate::direct::{
    CallerLimits, ConfigurationStamp, EndpointState, HostIntroduction, HostPhase, Part, Parts,
    RefuseReason, RetryBudgetSettings, ServiceView, ShareSettings, StorePosition,
};
use crate::message::Incarnation;

const ENGINES: usize = 4;

pub(super) fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

fn table(tokens_per_s: u64) -> RouteTable {
    let limits = CallerLimits {
        shared_tokens_per_s: Some(tokens_per_s),
        ..CallerLimits::default()
    };
    let mut table = RouteTable::new(1, limits);
    table.add_service(ServiceView {
        name: Arc::from("models"),
        connections_max: 100,
        engine: Some(EngineLimits {
            slots: 64,
            memory_tokens: 400_000,
        }),
    });
    table.add_service(ServiceView {
        name: Arc::from("orders"),
        connections_max: 100,
        engine: None,
    });
    table
}

fn entry(service: &str, index: usize) -> EndpointEntry {
    EndpointEntry {
        name: Arc::from(format!("{service}-{index}")),
        started_unix_ms: 1,
        report_seq: 1,
        service: Arc::from(service),
        address: format!("10.0.0.{index}:80").parse().unwrap(),
        zone: Arc::from("a"),
        slots: 6,
        state: EndpointState::Ready,
    }
}

pub(super) fn dispatcher(tokens_per_s: u64) -> Dispatcher {
    let settings = DispatcherSettings {
        shares: ShareSettings {
            tokens_per_s: None,
            window: Duration::from_secs(4),
        },
        retry_budget: RetryBudgetSettings::default(),
    };
    let table = table(tokens_per_s);
    let mut dispatcher = Dispatcher::new(Arc::from("a"), settings);
    dispatcher.on_routes(&table);
    for index in 0..ENGINES {
        let change = EndpointChange::Usable(entry("models", index));
        dispatcher.on_endpoint(change, &table);
    }
    for index in 0..2 {
        let change = EndpointChange::Usable(entry("orders", index));
        dispatcher.on_endpoint(change, &table);
    }
    dispatcher
}

pub(super) fn spec(team: u32, session: u32, prompt_tokens: u32, now: Timestamp) -> RequestSpec {
    let part = |id, tokens| Part { id, tokens };
    let parts = [
        part(1, prompt_tokens / 4),
        part(1_000 + session, prompt_tokens / 2),
        part(now.0 as u32 ^ session << 20, prompt_tokens / 4),
    ];
    RequestSpec {
        service: Arc::from("models"),
        team: Some(team),
        priority: 1,
        parts: Parts::from_slice(&parts),
        prompt_tokens,
        answer_tokens: 50,
        body_bytes: 1_000,
        arrived_at: now,
        objective: Duration::from_millis(500),
        give_up_at: now + Duration::from_secs(5),
        tried: SmallVec::new(),
    }
}

pub(super) fn plain_spec(now: Timestamp) -> RequestSpec {
    RequestSpec {
        service: Arc::from("orders"),
        team: None,
        parts: Parts::new(),
        prompt_tokens: 0,
        answer_tokens: 0,
        ..spec(0, 0, 0, now)
    }
}

fn ask(dispatcher: &mut Dispatcher, spec: RequestSpec, now: Timestamp) -> Option<Verdict> {
    dispatcher.on_request(&spec, now);
    let id = dispatcher.submit(spec);
    let verdicts = dispatcher.decide_waiting(now);
    let verdict = verdicts.into_iter().find(|(of, _)| *of == id);
    verdict.map(|(_, verdict)| verdict)
}

fn sent(verdict: Option<Verdict>) -> Grant {
    match verdict {
        Some(Verdict::Send(grant)) => grant,
        other => panic!("expected a grant, got {other:?}"),
    }
}

#[test]
fn a_session_returns_to_the_engine_that_keeps_its_prompt() {
    let mut dispatcher = dispatcher(10_000_000);
    let first = sent(ask(&mut dispatcher, spec(1, 7, 8_000, at(0)), at(0)));
    assert_eq!(first.cached_tokens, 0);
    dispatcher.on_bytes(first.run, at(150));
    let second = sent(ask(&mut dispatcher, spec(1, 7, 8_000, at(200)), at(200)));
    assert_eq!(second.endpoint, first.endpoint);
    assert_eq!(second.cached_tokens, 6_000);
}

#[test]
fn a_session_leaves_its_engine_when_waiting_there_costs_more_than_reading_again() {
    let mut dispatcher = dispatcher(10_000_000);
    let first = sent(ask(&mut dispatcher, spec(1, 7, 2_000, at(0)), at(0)));
    dispatcher.on_bytes(first.run, at(100));
    let busy = Digest {
        endpoints: vec![EndpointDigest {
            endpoint: first.endpoint,
            unread_tokens: 60_000,
            running: 10,
            memory_tokens: 60_000,
            is_suspect: false,
        }],
        ..digest()
    };
    dispatcher.on_digest(&busy, at(100));
    let second = sent(ask(&mut dispatcher, spec(1, 7, 2_000, at(110)), at(110)));
    assert_ne!(second.endpoint, first.endpoint);
}

#[test]
fn prompts_of_other_routers_are_known_from_their_digests() {
    let mut here = dispatcher(10_000_000);
    let mut there = dispatcher(10_000_000);
    let first = sent(ask(&mut there, spec(1, 7, 8_000, at(0)), at(0)));
    let (_, _, placed) = there.to_digest(at(10));
    assert_eq!(there.to_digest(at(11)).2, [], "placements are told once");
    here.on_digest(&Digest { placed, ..digest() }, at(20));
    let second = sent(ask(&mut here, spec(2, 7, 8_000, at(30)), at(30)));
    assert_eq!(
        (second.endpoint, second.cached_tokens),
        (first.endpoint, 6_000)
    );
}

/// Sends a request a millisecond of one team; gives the verdicts on all of them.
fn flood(
    dispatcher: &mut Dispatcher,
    requests: u32,
    mut after_each: impl FnMut(&Dispatcher),
) -> Vec<Verdict> {
    let mut verdicts = Vec::new();
    for request in 0..requests {
        let now = at(u64::from(request));
        let request = spec(1, request, 8_000, now);
        dispatcher.on_request(&request, now);
        dispatcher.submit(request);
        verdicts.extend(
            dispatcher
                .decide_waiting(now)
                .into_iter()
                .map(|(_, verdict)| verdict),
        );
        after_each(dispatcher);
    }
    verdicts
}

fn refusals(verdicts: &[Verdict]) -> Vec<(RefuseReason, Duration)> {
    let refusals = verdicts.iter().filter_map(|verdict| match verdict {
        Verdict::Refuse {
            reason,
            retry_after,
            ..
        } => Some((*reason, *retry_after)),
        Verdict::Send(_) => None,
    });
    refusals.collect()
}

/// One team asks for many times its share; another one comes later and asks little.
#[test]
fn a_team_beyond_its_share_does_not_fill_the_engines() {
    let mut dispatcher = dispatcher(20_000);
    let verdicts = flood(&mut dispatcher, 100, |_| ());
    let refused = refusals(&verdicts);
    assert!(refused.len() > 30, "{}", refused.len());
    assert!(
        refused
            .iter()
            .all(|(reason, _)| *reason == RefuseReason::BeyondShare)
    );
    let late = sent(ask(&mut dispatcher, spec(2, 99, 2_000, at(101)), at(101)));
    assert!(late.expected < Duration::from_millis(350), "{late:?}");
}

/// The load of the day on which 2,200 requests of one team waited at one router, and
/// each arrival looked for a place for all of them.
/// The first seconds of a rush: no team has used up its share of the window yet, and the
/// router whose own requests end refills the engines before the others know of the room.
#[test]
fn at_the_start_of_a_rush_a_team_that_got_little_goes_first() {
    let mut dispatcher = dispatcher(20_000);
    let asked_elsewhere = TeamDigest {
        team: 2,
        asked_tokens: 200_000,
        begun_tokens: 4_000,
    };
    // Each engine has about 150 ms to read before it.
    let engines: Vec<EndpointId> = dispatcher.endpoints.keys().copied().collect();
    let endpoints = engines.into_iter().map(|endpoint| EndpointDigest {
        endpoint,
        unread_tokens: 14_000,
        running: 4,
        memory_tokens: 14_000,
        is_suspect: false,
    });
    let busy = Digest {
        endpoints: endpoints.collect(),
        teams: vec![asked_elsewhere],
        ..digest()
    };
    dispatcher.on_digest(&busy, at(0));
    dispatcher.shares.on_asked(1, 200_000, at(0));
    dispatcher.shares.on_begun(1, 30_000, at(0));
    let much = spec(1, 3, 400, at(10));
    assert!(
        dispatcher
            .shares
            .used_fraction(1, much.weighted_tokens(), at(10))
            < 1.0
    );
    assert_eq!(ask(&mut dispatcher, much, at(10)), None);
    sent(ask(&mut dispatcher, spec(2, 4, 400, at(10)), at(10)));
}

#[test]
fn an_overload_of_one_team_does_not_pile_up() {
    let mut dispatcher = dispatcher(20_000);
    // 80,000 tokens are its share in a window: ten of these requests, and a few more wait.
    flood(&mut dispatcher, 2_000, |dispatcher| {
        assert!(dispatcher.waiting_len() <= 10 + UNPLACED_MAX);
    });
}

#[test]
fn a_refusal_says_when_to_come_back_and_spreads_the_return() {
    let mut dispatcher = dispatcher(1_000);
    let verdicts = flood(&mut dispatcher, 200, |_| ());
    let mut after: Vec<Duration> = refusals(&verdicts)
        .iter()
        .map(|(_, after)| *after)
        .collect();
    assert!(after.iter().all(|after| *after <= Duration::from_secs(2)));
    assert!(
        after
            .iter()
            .all(|after| *after >= Duration::from_millis(150))
    );
    after.sort_unstable();
    after.dedup();
    assert!(after.len() >= 8, "{after:?}");
}

/// Demand beyond what the engines can read: what is within its share waits here and is
/// refused once it could only be late, not held until its deadline.
#[test]
fn what_can_not_begin_in_time_is_refused_before_its_deadline() {
    let mut dispatcher = dispatcher(100_000_000);
    for request in 0..40 {
        ask(
            &mut dispatcher,
            spec(request, request, 16_000, at(0)),
            at(0),
        );
    }
    assert!(dispatcher.waiting_len() > 0);
    let mut refused = 0;
    for ms in (0..=1_000).step_by(25) {
        for (_, verdict) in dispatcher.decide_waiting(at(ms)) {
            if let Verdict::Refuse { reason, .. } = verdict {
                assert_eq!(reason, RefuseReason::NoRoom);
                refused += 1;
            }
        }
    }
    assert!(refused > 0);
    assert_eq!(dispatcher.waiting_len(), 0);
}

/// An engine crashes without a word while requests wait for their first token.
#[test]
fn an_engine_that_falls_silent_is_passed_over_by_all_routers() {
    let mut here = dispatcher(10_000_000);
    let mut there = dispatcher(10_000_000);
    let lost = sent(ask(&mut here, spec(1, 7, 8_000, at(0)), at(0)));
    assert!(!here.is_lost(lost.run, at(900)));
    assert!(here.is_lost(lost.run, at(1_600)));
    let next = sent(ask(&mut here, spec(1, 7, 8_000, at(1_500)), at(1_500)));
    assert_ne!(next.endpoint, lost.endpoint);
    let (endpoints, _, _) = here.to_digest(at(1_500));
    there.on_digest(
        &Digest {
            endpoints,
            ..digest()
        },
        at(1_510),
    );
    for session in 0..20 {
        let now = at(1_520);
        let grant = sent(ask(&mut there, spec(1, session, 1_000, now), now));
        assert_ne!(grant.endpoint, lost.endpoint);
        there.on_ended(grant.run, RunOutcome::Done, now);
    }
}

/// A stream that pauses while others at its engine go on is not at a dead engine.
#[test]
fn an_engine_that_sends_to_others_is_not_quiet() {
    let mut dispatcher = dispatcher(10_000_000);
    let paused = sent(ask(&mut dispatcher, spec(1, 7, 2_000, at(0)), at(0)));
    let other = sent(ask(&mut dispatcher, spec(1, 7, 2_000, at(1)), at(1)));
    assert_eq!(paused.endpoint, other.endpoint);
    let window = Duration::from_millis(1_400);
    dispatcher.on_bytes(paused.run, at(100));
    dispatcher.on_bytes(other.run, at(2_000));
    assert!(!dispatcher.is_endpoint_quiet(paused.run, window, at(2_100)));
    assert!(dispatcher.is_endpoint_quiet(paused.run, window, at(3_500)));
}

#[test]
fn when_all_endpoints_failed_single_requests_try_them_again() {
    let mut dispatcher = dispatcher(10_000_000);
    let mut sends = 0;
    for request in 0..100 {
        let now = at(request * 10);
        if let Some(Verdict::Send(grant)) = ask(&mut dispatcher, plain_spec(now), now) {
            dispatcher.on_ended(grant.run, RunOutcome::Unreachable, now);
            sends += 1;
        }
    }
    // Two endpoints, a trial each half second, and the requests before the first pause.
    assert!((3..=12).contains(&sends), "{sends}");
}

#[test]
fn plain_work_is_spread_by_what_is_open() {
    let mut dispatcher = dispatcher(10_000_000);
    let mut by_endpoint: HashMap<EndpointId, u32> = HashMap::new();
    for _ in 0..12 {
        let grant = sent(ask(&mut dispatcher, plain_spec(at(0)), at(0)));
        *by_endpoint.entry(grant.endpoint).or_default() += 1;
    }
    assert_eq!(by_endpoint.values().copied().collect::<Vec<_>>(), [6, 6]);
}

#[test]
fn an_endpoint_that_was_tried_is_not_tried_again() {
    let mut dispatcher = dispatcher(10_000_000);
    let first = sent(ask(&mut dispatcher, plain_spec(at(0)), at(0)));
    let mut again = plain_spec(at(1));
    again.tried.push(first.endpoint);
    let second = sent(ask(&mut dispatcher, again, at(1)));
    assert_ne!(second.endpoint, first.endpoint);
}

#[test]
fn a_service_without_endpoints_is_refused_with_a_time() {
    let mut dispatcher = dispatcher(10_000_000);
    for index in 0..2 {
        let id = entry("orders", index).id();
        dispatcher.on_endpoint(EndpointChange::Closed(id), &table(1));
    }
    assert_eq!(ask(&mut dispatcher, plain_spec(at(0)), at(0)), None);
    let verdicts = dispatcher.decide_waiting(at(300));
    let (_, verdict) = &verdicts[0];
    let is_refused = matches!(
        verdict,
        Verdict::Refuse {
            reason: RefuseReason::NoEndpoint,
            ..
        }
    );
    assert!(is_refused, "{verdict:?}");
}

/// Whatever order things end in, no load is left behind.
#[test]
fn load_returns_to_nothing() {
    bolero::check!()
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|steps| {
            let mut dispatcher = dispatcher(1_000_000);
            let mut runs = Vec::new();
            let mut now = at(0);
            for (step, value) in steps {
                now = now + Duration::from_millis(u64::from(value % 50));
                let pick = |runs: &Vec<RunId>| usize::from(*value) % runs.len();
                match step % 4 {
                    0 | 1 => {
                        let request = spec(u32::from(*value), u32::from(*step), 4_000, now);
                        dispatcher.on_request(&request, now);
                        dispatcher.submit(request);
                    }
                    2 if !runs.is_empty() => dispatcher.on_bytes(runs[pick(&runs)], now),
                    3 if !runs.is_empty() => {
                        let run = runs.swap_remove(pick(&runs));
                        dispatcher.on_ended(run, RunOutcome::Cancelled, now);
                        dispatcher.on_ended(run, RunOutcome::Done, now);
                    }
                    _ => {}
                }
                for (_, verdict) in dispatcher.decide_waiting(now) {
                    if let Verdict::Send(grant) = verdict {
                        runs.push(grant.run);
                    }
                }
            }
            // Those that still wait are given up on.
            for (_, verdict) in dispatcher.decide_waiting(now + Duration::from_secs(10)) {
                if let Verdict::Send(grant) = verdict {
                    runs.push(grant.run);
                }
            }
            for run in runs {
                dispatcher.on_ended(run, RunOutcome::Done, now);
            }
            assert_eq!(dispatcher.running_len(), 0);
            let later = now + Duration::from_secs(60);
            let (endpoints, _, _) = dispatcher.to_digest(later);
            assert_eq!(endpoints, []);
        });
}

fn digest() -> Digest {
    Digest {
        host: HostIntroduction {
            router: "other".parse().unwrap(),
            zone: "a".parse().unwrap(),
            incarnation: Incarnation(1),
            caller_address: "10.0.0.9:80".parse().unwrap(),
            peer_address: "10.0.0.9:7400".parse().unwrap(),
            phase: HostPhase::Serving,
            cpu_millicores: 250,
            is_crowded: false,
            has_store: true,
            has_callers: true,
        },
        seq: 1,
        configuration: ConfigurationStamp::default(),
        configuration_age_ms: None,
        endpoints_at: StorePosition::default(),
        leaving: Vec::new(),
        arrivals_per_core_s: 0,
        endpoints: Vec::new(),
        teams: Vec::new(),
        placed: Vec::new(),
        is_brief: false,
        known_hosts: Vec::new(),
        known_hosts_len: 0,
        heartbeats: Vec::new(),
        introduced: Vec::new(),
    }
}

/// An overloaded service turns requests away and says for how long: more of them would only
/// cost it that time, and what waits for nobody is told at once when to come back.
#[test]
fn endpoints_that_push_back_get_nothing_and_callers_hear_until_when() {
    let mut dispatcher = dispatcher(10_000_000);
    let first = sent(ask(&mut dispatcher, plain_spec(at(0)), at(0)));
    let pause = Duration::from_secs(3);
    dispatcher.on_pushback(first.endpoint, pause, at(5));
    dispatcher.on_ended(first.run, RunOutcome::PushedBack, at(5));
    // Its entry lapses and returns meanwhile.
    let table = table(10_000_000);
    for index in 0..2 {
        let entry = entry("orders", index);
        if entry.id() == first.endpoint {
            dispatcher.on_endpoint(EndpointChange::Closed(entry.id()), &table);
            dispatcher.on_endpoint(EndpointChange::Usable(entry), &table);
        }
    }
    let second = sent(ask(&mut dispatcher, plain_spec(at(10)), at(10)));
    assert_ne!(second.endpoint, first.endpoint);
    dispatcher.on_pushback(second.endpoint, pause * 2, at(15));
    dispatcher.on_ended(second.run, RunOutcome::PushedBack, at(15));
    let Some(Verdict::Refuse {
        reason,
        retry_after,
        ..
    }) = ask(&mut dispatcher, plain_spec(at(20)), at(20))
    else {
        panic!("nobody wants it");
    };
    assert_eq!(reason, RefuseReason::PushedBack);
    let left = Duration::from_millis(2_985);
    assert!(
        (left..left.mul_f64(1.3)).contains(&retry_after),
        "{retry_after:?}"
    );
    // One that is wanted soon enough waits for that.
    assert_eq!(ask(&mut dispatcher, plain_spec(at(2_900)), at(2_900)), None);
    let verdicts = dispatcher.decide_waiting(at(3_005));
    assert!(
        matches!(&verdicts[..], [(_, Verdict::Send(grant))] if grant.endpoint == first.endpoint)
    );
}

/// Chat streams run at some engines while long prompts come: their events paused for longer
/// than callers bear, although an engine with hardly any streams had the same to read.
#[test]
fn a_long_prompt_is_read_where_few_streams_run() {
    let mut dispatcher = dispatcher(10_000_000);
    let mut streams: HashMap<EndpointId, u32> = HashMap::new();
    for request in 0..60 {
        // Their prompts are kept, so that they run where the first of each went.
        let grant = sent(ask(
            &mut dispatcher,
            spec(1, request % 3, 400, at(0)),
            at(0),
        ));
        dispatcher.on_bytes(grant.run, at(50));
        *streams.entry(grant.endpoint).or_default() += 1;
    }
    let ids: Vec<EndpointId> = dispatcher.endpoints.keys().copied().collect();
    let running = |id: &EndpointId| streams.get(id).copied().unwrap_or(0);
    let fewest = ids.iter().map(running).min().unwrap();
    for session in 100..110 {
        let grant = sent(ask(
            &mut dispatcher,
            spec(2, session, 9_000, at(60)),
            at(60),
        ));
        assert_eq!(running(&grant.endpoint), fewest, "{streams:?}");
        dispatcher.on_bytes(grant.run, at(61));
        dispatcher.on_ended(grant.run, RunOutcome::Done, at(61));
    }
}
