//! Each test applies the load that motivates the decision under test.

use super::decision::UNPLACED_MAX;
use super::*;
use crate::direct::{
    CallerLimits, ConfigurationStamp, CostModel, EndpointState, HostIntroduction, HostPhase, Part,
    Parts, RefuseReason, RetryBudgetSettings, ServiceView, ShareSettings, StorePosition,
};
use crate::message::Incarnation;

const ENGINES: usize = 4;

pub(super) fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

pub(super) fn table(tokens_per_s: u64) -> RouteTable {
    let limits = CallerLimits {
        shared_tokens_per_s: Some(tokens_per_s),
        ..CallerLimits::default()
    };
    let mut table = RouteTable::new(1, limits);
    let engine = EngineLimits {
        slots: 64,
        memory_tokens: 400_000,
    };
    for (name, engine) in [("models", Some(engine)), ("orders", None)] {
        table.add_service(ServiceView {
            name: Arc::from(name),
            connections_max: 100,
            status_path: Arc::from("/status"),
            engine,
            cold_start: None,
        });
    }
    table
}

pub(super) fn entry(service: &str, index: usize) -> EndpointEntry {
    EndpointEntry {
        name: Arc::from(format!("{service}-{index}")),
        started_unix_ms: 1,
        report_seq: 1,
        service: Arc::from(service),
        address: format!("10.0.0.{index}:80").parse().unwrap(),
        zone: Arc::from("a"),
        slots: 6,
        state: EndpointState::Ready,
        cold_remaining: None,
    }
}

pub(super) fn dispatcher(tokens_per_s: u64) -> Dispatcher {
    let settings = DispatcherSettings {
        cost_model: CostModel::Learned,
        shares: ShareSettings {
            tokens_per_s: None,
            window: Duration::from_secs(4),
        },
        retry_budget: RetryBudgetSettings::default(),
        cold: Default::default(),
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
        answer_upper_tokens: 50,
        body_bytes: 1_000,
        arrived_at: now,
        objective: Duration::from_millis(500),
        give_up_at: now + Duration::from_secs(5),
        ..RequestSpec::default()
    }
}

pub(super) fn plain_spec(now: Timestamp) -> RequestSpec {
    RequestSpec {
        service: Arc::from("orders"),
        team: None,
        parts: Parts::new(),
        prompt_tokens: 0,
        answer_tokens: 0,
        answer_upper_tokens: 0,
        ..spec(0, 0, 0, now)
    }
}

/// Queues a request and returns the verdict on it; `None` if it stays queued.
pub(super) fn decide_new(
    dispatcher: &mut Dispatcher,
    spec: RequestSpec,
    now: Timestamp,
) -> Option<Verdict> {
    dispatcher.on_request(&spec, now);
    let id = dispatcher.submit(spec);
    let verdicts = dispatcher.decide_waiting(now);
    let verdict = verdicts
        .into_iter()
        .find(|(verdict_id, _)| *verdict_id == id);
    verdict.map(|(_, verdict)| verdict)
}

pub(super) fn expect_grant(verdict: Option<Verdict>) -> Grant {
    match verdict {
        Some(Verdict::Send(grant)) => grant,
        other => panic!("expected a grant, got {other:?}"),
    }
}

#[test]
fn a_session_returns_to_the_engine_that_cached_its_prompt() {
    let mut dispatcher = dispatcher(10_000_000);
    let first = expect_grant(decide_new(&mut dispatcher, spec(1, 7, 8_000, at(0)), at(0)));
    assert_eq!(first.cached_tokens, 0);
    dispatcher.on_bytes(first.run, at(150));
    let second = expect_grant(decide_new(
        &mut dispatcher,
        spec(1, 7, 8_000, at(200)),
        at(200),
    ));
    assert_eq!(second.endpoint, first.endpoint);
    assert_eq!(second.cached_tokens, 6_000);
}

#[test]
fn a_session_changes_engines_when_queueing_costs_more_than_prefilling_again() {
    let mut dispatcher = dispatcher(10_000_000);
    let first = expect_grant(decide_new(&mut dispatcher, spec(1, 7, 2_000, at(0)), at(0)));
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
    let second = expect_grant(decide_new(
        &mut dispatcher,
        spec(1, 7, 2_000, at(110)),
        at(110),
    ));
    assert_ne!(second.endpoint, first.endpoint);
}

#[test]
fn prompts_placed_by_other_routers_are_known_from_their_digests() {
    let mut here = dispatcher(10_000_000);
    let mut there = dispatcher(10_000_000);
    let first = expect_grant(decide_new(&mut there, spec(1, 7, 8_000, at(0)), at(0)));
    let (_, _, placed) = there.to_digest(at(10));
    assert_eq!(
        there.to_digest(at(11)).2,
        [],
        "each placement is reported only once"
    );
    here.on_digest(&Digest { placed, ..digest() }, at(20));
    let second = expect_grant(decide_new(&mut here, spec(2, 7, 8_000, at(30)), at(30)));
    assert_eq!(
        (second.endpoint, second.cached_tokens),
        (first.endpoint, 6_000)
    );
}

/// Submits a request of one team each millisecond and returns all verdicts.
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

/// A team that asks for many times its share must not delay a later, small request of another.
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
    let late = expect_grant(decide_new(
        &mut dispatcher,
        spec(2, 99, 2_000, at(101)),
        at(101),
    ));
    assert!(late.expected < Duration::from_millis(350), "{late:?}");
}

/// Guards against unfairness in the first seconds of a rush: no team has used up its share of the
/// window yet, and the router whose own requests end refills the engines before the other
/// routers learn of the freed capacity.
#[test]
fn at_the_start_of_a_rush_the_least_served_team_goes_first() {
    let mut dispatcher = dispatcher(20_000);
    let asked_elsewhere = TeamDigest {
        team: 2,
        asked_tokens: 200_000,
        begun_tokens: 4_000,
    };
    // Each engine has a prefill backlog of about 150 ms.
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
    let leading_spec = spec(1, 3, 400, at(10));
    assert!(
        dispatcher
            .shares
            .used_fraction(1, leading_spec.weighted_tokens(), at(10))
            < 1.0
    );
    assert_eq!(decide_new(&mut dispatcher, leading_spec, at(10)), None);
    expect_grant(decide_new(&mut dispatcher, spec(2, 4, 400, at(10)), at(10)));
}

/// Guards against a long queue at one router: 2,200 requests of one team were queued, and each
/// arrival made the router search for an endpoint for all of them.
#[test]
fn an_overload_by_one_team_builds_up_no_long_queue() {
    let mut dispatcher = dispatcher(20_000);
    // The team's share is 80,000 tokens per window, ten of these requests; a few more may wait.
    flood(&mut dispatcher, 2_000, |dispatcher| {
        assert!(dispatcher.waiting_len() <= 10 + UNPLACED_MAX);
    });
}

#[test]
fn refusals_carry_retry_times_with_jitter() {
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

/// Demand exceeds what the engines can prefill: requests within the share are queued, and refused
/// once they can only be late instead of being held until their deadline.
#[test]
fn requests_that_can_not_begin_in_time_are_refused_before_their_deadline() {
    let mut dispatcher = dispatcher(100_000_000);
    for request in 0..40 {
        decide_new(
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

/// An engine crashes without closing its connections while requests wait for their first token.
#[test]
fn an_engine_that_stops_answering_is_passed_over_by_all_routers() {
    let mut here = dispatcher(10_000_000);
    let mut there = dispatcher(10_000_000);
    let lost = expect_grant(decide_new(&mut here, spec(1, 7, 8_000, at(0)), at(0)));
    assert!(!here.is_lost(lost.run, at(900)));
    assert!(here.is_lost(lost.run, at(1_600)));
    let next = expect_grant(decide_new(
        &mut here,
        spec(1, 7, 8_000, at(1_500)),
        at(1_500),
    ));
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
        let grant = expect_grant(decide_new(&mut there, spec(1, session, 1_000, now), now));
        assert_ne!(grant.endpoint, lost.endpoint);
        there.on_ended(grant.run, RunOutcome::Done, now);
    }
}

/// A paused stream does not mean that its engine has failed if the engine sends on others.
#[test]
fn an_engine_that_sends_on_another_stream_is_not_quiet() {
    let mut dispatcher = dispatcher(10_000_000);
    let paused = expect_grant(decide_new(&mut dispatcher, spec(1, 7, 2_000, at(0)), at(0)));
    let other = expect_grant(decide_new(&mut dispatcher, spec(1, 7, 2_000, at(1)), at(1)));
    assert_eq!(paused.endpoint, other.endpoint);
    let window = Duration::from_millis(1_400);
    dispatcher.on_bytes(paused.run, at(100));
    dispatcher.on_bytes(other.run, at(2_000));
    assert!(!dispatcher.is_endpoint_quiet(paused.run, window, at(2_100)));
    assert!(dispatcher.is_endpoint_quiet(paused.run, window, at(3_500)));
}

#[test]
fn single_requests_probe_endpoints_when_all_have_failed() {
    let mut dispatcher = dispatcher(10_000_000);
    let mut sends = 0;
    for request in 0..100 {
        let now = at(request * 10);
        if let Some(Verdict::Send(grant)) = decide_new(&mut dispatcher, plain_spec(now), now) {
            dispatcher.on_ended(grant.run, RunOutcome::Unreachable, now);
            sends += 1;
        }
    }
    // Each of the two endpoints is probed every half second; some requests precede the first pause.
    assert!((3..=12).contains(&sends), "{sends}");
}

#[test]
fn plain_requests_are_spread_by_the_number_of_open_requests() {
    let mut dispatcher = dispatcher(10_000_000);
    let mut by_endpoint: HashMap<EndpointId, u32> = HashMap::new();
    for _ in 0..12 {
        let grant = expect_grant(decide_new(&mut dispatcher, plain_spec(at(0)), at(0)));
        *by_endpoint.entry(grant.endpoint).or_default() += 1;
    }
    assert_eq!(by_endpoint.values().copied().collect::<Vec<_>>(), [6, 6]);
}

#[test]
fn an_endpoint_that_was_tried_is_not_tried_again() {
    let mut dispatcher = dispatcher(10_000_000);
    let first = expect_grant(decide_new(&mut dispatcher, plain_spec(at(0)), at(0)));
    let mut again = plain_spec(at(1));
    again.tried.push(first.endpoint);
    let second = expect_grant(decide_new(&mut dispatcher, again, at(1)));
    assert_ne!(second.endpoint, first.endpoint);
}

#[test]
fn requests_to_a_service_without_endpoints_wait_and_are_then_refused() {
    let mut dispatcher = dispatcher(10_000_000);
    for index in 0..2 {
        let id = entry("orders", index).id();
        dispatcher.on_endpoint(EndpointChange::Closed(id), &table(1));
    }
    assert_eq!(decide_new(&mut dispatcher, plain_spec(at(0)), at(0)), None);
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

/// Runs that end in any order, or twice, leave no load behind.
#[test]
fn load_returns_to_zero_after_all_runs_have_ended() {
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
            // Requests still queued have passed their deadline.
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

pub(super) fn digest() -> Digest {
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

/// An overloaded service refuses requests and asks for a pause: further requests would take up the
/// time that it needs, so callers must get the retry time at once instead of waiting in vain.
#[test]
fn paused_endpoints_get_no_requests_and_callers_get_a_retry_time() {
    let mut dispatcher = dispatcher(10_000_000);
    let first = expect_grant(decide_new(&mut dispatcher, plain_spec(at(0)), at(0)));
    let pause = Duration::from_secs(3);
    dispatcher.on_pushback(first.endpoint, pause, at(5));
    dispatcher.on_ended(first.run, RunOutcome::PushedBack, at(5));
    // The pause outlasts a lapse of the endpoint's entry.
    let table = table(10_000_000);
    for index in 0..2 {
        let entry = entry("orders", index);
        if entry.id() == first.endpoint {
            dispatcher.on_endpoint(EndpointChange::Closed(entry.id()), &table);
            dispatcher.on_endpoint(EndpointChange::Usable(entry), &table);
        }
    }
    let second = expect_grant(decide_new(&mut dispatcher, plain_spec(at(10)), at(10)));
    assert_ne!(second.endpoint, first.endpoint);
    dispatcher.on_pushback(second.endpoint, pause * 2, at(15));
    dispatcher.on_ended(second.run, RunOutcome::PushedBack, at(15));
    let Some(Verdict::Refuse {
        reason,
        retry_after,
        ..
    }) = decide_new(&mut dispatcher, plain_spec(at(20)), at(20))
    else {
        panic!("expected a refusal, since both endpoints are paused");
    };
    assert_eq!(reason, RefuseReason::PushedBack);
    let left = Duration::from_millis(2_985);
    assert!(
        (left..left.mul_f64(1.3)).contains(&retry_after),
        "{retry_after:?}"
    );
    // A request that can still meet its objective after the pause is queued.
    assert_eq!(
        decide_new(&mut dispatcher, plain_spec(at(2_900)), at(2_900)),
        None
    );
    let verdicts = dispatcher.decide_waiting(at(3_005));
    assert!(
        matches!(&verdicts[..], [(_, Verdict::Send(grant))] if grant.endpoint == first.endpoint)
    );
}

/// Guards against stalled streams: long prompts went to engines that ran many chat streams, whose
/// events paused for longer than callers tolerate, although an engine with hardly any streams had
/// the same prefill backlog.
#[test]
fn a_long_prompt_goes_to_an_engine_with_few_streams() {
    let mut dispatcher = dispatcher(10_000_000);
    let mut streams: HashMap<EndpointId, u32> = HashMap::new();
    for request in 0..60 {
        // Requests of a session follow its first one to the engine that cached the prompt.
        let grant = expect_grant(decide_new(
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
        let grant = expect_grant(decide_new(
            &mut dispatcher,
            spec(2, session, 9_000, at(60)),
            at(60),
        ));
        assert_eq!(running(&grant.endpoint), fewest, "{streams:?}");
        dispatcher.on_bytes(grant.run, at(61));
        dispatcher.on_ended(grant.run, RunOutcome::Done, at(61));
    }
}
