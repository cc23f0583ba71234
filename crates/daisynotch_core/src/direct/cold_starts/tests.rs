use super::*;

const COLD: ColdStart = ColdStart {
    lasts: Duration::from_secs(3),
    rate: RequestRate(9_800),
};

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

fn entry(started_unix_ms: u64, report_seq: u64, cold_ms: Option<u64>) -> EndpointEntry {
    EndpointEntry {
        name: Arc::from("i-1"),
        started_unix_ms,
        report_seq,
        service: Arc::from("models"),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: Arc::from("a"),
        slots: 8,
        state: crate::direct::EndpointState::Ready,
        cold_remaining: cold_ms.map(Duration::from_millis),
    }
}

/// Returns a state in which the endpoint is listed and warm.
fn warm() -> ColdStarts {
    let mut starts = ColdStarts::default();
    starts.set_services([(Arc::from("models"), COLD)].into());
    starts.on_entry(&entry(1, 1, Some(0)), at(0));
    starts.on_listed();
    starts
}

fn is_cold(starts: &mut ColdStarts, started_unix_ms: u64, ms: u64) -> bool {
    let id = entry(started_unix_ms, 1, None).id();
    starts.refresh(at(ms)).contains_key(&id)
}

/// Runs rounds without news: a router that pauses distrusts what it reads next.
fn run(starts: &mut ColdStarts, from_ms: u64, until_ms: u64) {
    for ms in (from_ms..until_ms).step_by(75) {
        starts.refresh(at(ms));
    }
}

fn id() -> EndpointId {
    entry(1, 1, None).id()
}

/// Deployments whose configuration has no cold rate are served as before.
#[test]
fn endpoints_without_a_cold_rate_are_never_cold() {
    let mut starts = ColdStarts::default();
    starts.on_entry(&entry(1, 1, Some(3_000)), at(0));
    starts.on_failure(id(), at(0));
    starts.on_zone_returned(&Arc::from("a"), at(0));
    assert!(starts.refresh(at(10)).is_empty());
    assert!(starts.to_news(true, at(10)).is_empty());
    assert_eq!(starts.take_changes(), []);
}

/// A late entry must not shorten the time, and one that is listed twice must not extend it.
#[test]
fn a_stated_time_counts_from_the_arrival_of_its_report() {
    let mut starts = warm();
    starts.on_entry(&entry(1, 2, Some(2_000)), at(1_000));
    starts.on_entry(&entry(1, 2, Some(2_000)), at(2_000));
    assert!(is_cold(&mut starts, 1, 2_999));
    assert!(!is_cold(&mut starts, 1, 3_000));
}

/// Endpoints that were there before this router are not new to it.
#[test]
fn only_starts_that_appear_after_the_listing_are_new() {
    let mut starts = warm();
    assert!(!is_cold(&mut starts, 1, 10));
    starts.on_entry(&entry(2, 1, None), at(1_000));
    assert!(is_cold(&mut starts, 2, 3_999));
    assert!(!is_cold(&mut starts, 2, 4_000));
    // Its own entry may say less at any time.
    starts.on_entry(&entry(3, 1, Some(500)), at(5_000));
    assert!(is_cold(&mut starts, 3, 5_499));
    assert!(!is_cold(&mut starts, 3, 5_500));
    // The one that is listed again is the same start.
    starts.on_entry(&entry(1, 2, None), at(6_000));
    assert!(!is_cold(&mut starts, 1, 6_000));
}

/// Entries that were written before the sign arrive up to 0.8 s after it and say that all is warm.
#[test]
fn an_entry_ends_a_presumption_only_if_it_was_written_after_the_sign() {
    let mut starts = warm();
    run(&mut starts, 0, 1_000);
    starts.on_zone_returned(&Arc::from("a"), at(1_000));
    run(&mut starts, 1_000, 1_800);
    starts.on_entry(&entry(1, 2, Some(0)), at(1_800));
    assert!(is_cold(&mut starts, 1, 1_800));
    run(&mut starts, 1_800, 2_300);
    starts.on_entry(&entry(1, 3, Some(0)), at(2_300));
    assert!(!is_cold(&mut starts, 1, 2_300));
}

#[test]
fn a_failed_endpoint_is_presumed_cold_from_the_last_failure() {
    let mut starts = warm();
    starts.on_failure(id(), at(1_000));
    starts.on_failure(id(), at(2_000));
    assert!(is_cold(&mut starts, 1, 4_999));
    assert!(!is_cold(&mut starts, 1, 5_000));
    let changes = starts.take_changes();
    let reasons = changes.iter().map(|change| change.reason);
    assert_eq!(reasons.collect::<Vec<_>>(), [ColdReason::Failed; 2]);
    assert_eq!(changes[1].remaining, None);
}

/// One broken connection among many would otherwise slow a sound endpoint down for seconds.
#[test]
fn a_process_that_goes_on_answering_has_not_restarted() {
    let mut starts = warm();
    run(&mut starts, 0, 900);
    starts.on_byte(id(), at(500), at(900));
    starts.on_failure(id(), at(1_000));
    assert!(is_cold(&mut starts, 1, 1_000));
    // A request that was sent after the failure may be at another start.
    starts.on_byte(id(), at(1_010), at(1_050));
    assert!(is_cold(&mut starts, 1, 1_050));
    let mut starts = warm();
    run(&mut starts, 0, 1_000);
    starts.on_failure(id(), at(1_000));
    starts.on_byte(id(), at(500), at(1_050));
    assert!(!is_cold(&mut starts, 1, 1_050));
    assert!(starts.to_news(false, at(1_050)).is_empty());
}

/// After a standstill, a router reads bytes that were sent before the endpoint crashed.
#[test]
fn bytes_that_waited_to_be_read_prove_nothing() {
    let mut starts = warm();
    run(&mut starts, 0, 600);
    starts.on_byte(id(), at(500), at(3_000));
    starts.on_failure(id(), at(3_000));
    starts.on_byte(id(), at(550), at(3_001));
    assert!(is_cold(&mut starts, 1, 3_001));
}

/// The answer to a question is no older than the question, unlike an entry that arrives after it.
#[test]
fn an_answer_of_the_endpoint_counts_at_once() {
    let mut starts = warm();
    starts.on_failure(id(), at(1_000));
    starts.on_answer(id(), Duration::ZERO, at(1_100), at(1_110));
    assert!(!is_cold(&mut starts, 1, 1_110));
    starts.on_answer(id(), Duration::from_secs(2), at(1_200), at(1_210));
    starts.on_entry(&entry(1, 2, Some(0)), at(1_300));
    assert!(is_cold(&mut starts, 1, 1_300));
}

/// In one second, a token bucket sends its rate and its burst.
#[test]
fn the_budget_keeps_the_bound_for_all_settings() {
    let settings = [(1.5, 5.0), (1.0, 5.0), (1.2, 2.0), (3.0, 0.0)];
    for (overrun, tolerance) in settings {
        let settings = ColdSettings { overrun, tolerance };
        for per_s in [0.5, 3.0, 9.8, 17.0, 200.0] {
            let rate = RequestRate::from_per_s(per_s).unwrap();
            let budget = settings.budget(rate);
            let bound = per_s * overrun + tolerance;
            // A bound below two requests leaves room for single ones only.
            if bound >= 2.0 {
                let most = budget.per_s * (1.0 + VIEWS_RESERVE) + budget.burst;
                assert!(most <= bound, "{overrun} {tolerance} {per_s}: {budget:?}");
            }
            assert!(budget.per_s > 0.0 && budget.burst >= 1.0);
        }
    }
    let budget = ColdSettings::default().budget(RequestRate(9_800));
    assert!(budget.per_s >= 9.8, "{budget:?}");
}
