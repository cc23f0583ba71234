//! Each test brings about crashes under which sound parts must not be blamed, or fatal ones must.

use super::blocks::{BLOCK_INITIAL, BLOCK_MAX};
use super::*;

const SHARED: u32 = 1;
const SESSION: u32 = 2;
const FATAL: u32 = 3;
const ENGINES: usize = 12;

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

fn open_run(endpoint: u32, parts: &[u32]) -> OpenRun {
    OpenRun {
        endpoint: EndpointId(endpoint),
        parts: PartIds::from_slice(parts),
        stage: AnswerStage::Head,
        is_trial: false,
    }
}

fn trial(endpoint: u32, parts: &[u32]) -> OpenRun {
    OpenRun {
        is_trial: true,
        ..open_run(endpoint, parts)
    }
}

fn new_evidence() -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    evidence.set_engines(ENGINES);
    evidence
}

/// Evidence that has proofs of the parts that are shared with sound requests.
fn evidence_with_proofs() -> CrashEvidence {
    let mut evidence = new_evidence();
    evidence.on_proof(&[SHARED, SESSION], at(0));
    evidence
}

/// Crashes three engines under the fatal part, the last two in trials.
fn block_fatal_part(evidence: &mut CrashEvidence, from_ms: u64) {
    evidence.on_crash(&open_run(1, &[SHARED, SESSION, FATAL]), at(from_ms));
    evidence.on_crash(&trial(2, &[SHARED, SESSION, FATAL]), at(from_ms + 500));
    evidence.on_crash(&trial(3, &[SHARED, SESSION, FATAL]), at(from_ms + 1_000));
}

fn is_blocked(evidence: &CrashEvidence, parts: &[u32], now: Timestamp) -> bool {
    matches!(evidence.assess_ids(parts, now), Assessment::Blocked { .. })
}

#[test]
fn a_fatal_part_is_blocked_and_its_companions_are_not() {
    let mut evidence = evidence_with_proofs();
    block_fatal_part(&mut evidence, 100);
    assert!(is_blocked(&evidence, &[9, FATAL], at(1_200)));
    let companions = evidence.assess_ids(&[SHARED, SESSION], at(1_200));
    assert_eq!(companions, Assessment::Clear);
}

/// Several routers see the connections of one engine break, each with requests of its own.
#[test]
fn one_crash_counts_once_however_many_requests_were_open() {
    let mut evidence = new_evidence();
    for request in 0..9 {
        evidence.on_crash(&trial(1, &[SHARED, 100 + request]), at(100));
    }
    assert_eq!(evidence.crashes_of(SHARED), 1);
    assert!(!is_blocked(&evidence, &[SHARED, 100], at(200)));
}

/// A restart under the same name is another engine start.
#[test]
fn crashes_without_a_trial_block_nothing() {
    let mut evidence = new_evidence();
    for endpoint in 0..20 {
        evidence.on_crash(&open_run(endpoint, &[SHARED]), at(100));
    }
    let assessment = evidence.assess_ids(&[SHARED], at(200));
    assert_eq!(assessment, Assessment::Suspect(SHARED));
}

#[test]
fn a_proof_clears_suspects_and_lifts_a_wrong_block() {
    let mut evidence = new_evidence();
    block_fatal_part(&mut evidence, 100);
    assert!(is_blocked(&evidence, &[SHARED, SESSION, FATAL], at(1_200)));
    evidence.on_proof(&[SHARED, SESSION, FATAL], at(1_300));
    assert_eq!(
        evidence.assess_ids(&[SHARED, SESSION, FATAL], at(1_301)),
        Assessment::Clear
    );
    assert_eq!(evidence.blocks_len(), 0);
}

/// Requests without a head had not begun at an engine that had begun to answer another one.
#[test]
fn queued_requests_are_no_suspects_once_a_started_one_is_known() {
    let queued = OpenRun {
        stage: AnswerStage::Waiting,
        ..open_run(1, &[SESSION])
    };
    for is_queued_first in [true, false] {
        let mut evidence = new_evidence();
        let mut runs = [queued.clone(), open_run(1, &[FATAL])];
        if !is_queued_first {
            runs.reverse();
        }
        runs.iter().for_each(|run| evidence.on_crash(run, at(100)));
        assert_eq!(evidence.assess_ids(&[SESSION], at(101)), Assessment::Clear);
        assert_eq!(
            evidence.assess_ids(&[FATAL], at(101)),
            Assessment::Suspect(FATAL)
        );
    }
}

/// A caller names another team's part in each request with a fatal one. The team's own requests
/// must go on.
#[test]
fn a_part_that_is_named_beside_a_fatal_one_is_not_blocked_alone() {
    const VICTIM: u32 = 7;
    let mut evidence = new_evidence();
    for endpoint in 1..=3 {
        let now = at(u64::from(endpoint) * 500);
        evidence.on_crash(&trial(endpoint, &[VICTIM, FATAL]), now);
    }
    assert!(is_blocked(&evidence, &[VICTIM, FATAL], at(1_600)));
    assert!(!is_blocked(&evidence, &[VICTIM], at(1_600)));
    // Its next request proves the part, and the fatal one remains.
    evidence.on_proof(&[VICTIM], at(1_700));
    assert!(is_blocked(&evidence, &[9, FATAL], at(1_800)));
}

/// A part that was sound becomes fatal, for example with another version of the engines.
#[test]
fn a_part_that_was_proven_earlier_can_become_fatal() {
    let mut evidence = new_evidence();
    evidence.on_proof(&[FATAL], at(0));
    for endpoint in 1..=3 {
        evidence.on_crash(&open_run(endpoint, &[FATAL]), at(1_000));
    }
    assert_eq!(
        evidence.assess_ids(&[FATAL], at(1_001)),
        Assessment::Suspect(FATAL)
    );
    evidence.on_crash(&trial(4, &[FATAL]), at(1_500));
    assert!(is_blocked(&evidence, &[FATAL], at(1_600)));
}

/// The part is in each prompt of a kind, and each prompt has another part that is new.
#[test]
fn a_proven_part_that_becomes_fatal_is_blamed_despite_new_companions() {
    let mut evidence = evidence_with_proofs();
    for endpoint in 1..=5 {
        let run = OpenRun {
            is_trial: endpoint > 3,
            ..open_run(endpoint, &[SHARED, 1_000 + endpoint])
        };
        evidence.on_crash(&run, at(1_000 + u64::from(endpoint) * 400));
    }
    assert!(is_blocked(&evidence, &[SHARED, 2_000], at(4_000)));
    assert!(!is_blocked(&evidence, &[1_001], at(4_000)));
}

#[test]
fn a_block_ends_with_one_trial_and_lasts_twice_as_long_if_that_fails() {
    let mut evidence = evidence_with_proofs();
    block_fatal_part(&mut evidence, 100);
    let Assessment::Blocked { left } = evidence.assess_ids(&[FATAL], at(1_100)) else {
        panic!("expected a block");
    };
    let due = at(1_100) + left;
    assert_eq!(
        evidence.assess_ids(&[FATAL], due),
        Assessment::Suspect(FATAL)
    );
    evidence.on_crash(&trial(4, &[SHARED, FATAL]), due);
    let Assessment::Blocked { left: second } = evidence.assess_ids(&[FATAL], due) else {
        panic!("expected a renewed block");
    };
    assert!(second >= left * 2 - Duration::from_secs(1), "{second:?}");
    evidence.expire(due + second * 10);
    assert_eq!(evidence.blocks_len(), 0);
}

#[test]
fn an_operator_lifts_a_block_on_all_routers() {
    let mut here = evidence_with_proofs();
    block_fatal_part(&mut here, 100);
    let mut there = new_evidence();
    there.on_news(&here.to_news(16, at(1_200)), at(1_201));
    assert!(is_blocked(&there, &[FATAL], at(1_300)));
    here.lift(FATAL, at(2_000));
    assert_eq!(here.assess_ids(&[FATAL], at(2_001)), Assessment::Clear);
    there.on_news(&here.to_news(16, at(2_100)), at(2_101));
    assert_eq!(there.assess_ids(&[FATAL], at(2_102)), Assessment::Clear);
    // The other router's older news must not bring it back.
    here.on_news(&there.to_news(16, at(2_200)), at(2_201));
    assert_eq!(here.blocks_len(), 0);
}

/// Each router sees a single crash.
#[test]
fn routers_that_see_one_crash_each_block_the_part_together() {
    let mut routers: Vec<CrashEvidence> = (0..3).map(|_| evidence_with_proofs()).collect();
    for (endpoint, router) in (1_u32..).zip(&mut routers) {
        let run = OpenRun {
            is_trial: endpoint > 1,
            ..open_run(endpoint, &[SHARED, FATAL])
        };
        router.on_crash(&run, at(100));
    }
    let news: Vec<CrashNews> = routers
        .iter()
        .map(|router| router.to_news(16, at(150)))
        .collect();
    for router in &mut routers {
        news.iter().for_each(|news| router.on_news(news, at(151)));
        assert!(is_blocked(router, &[SHARED, FATAL], at(152)));
    }
}

/// Only one router knows that a part is sound; another one saw it open at a crashed engine.
#[test]
fn a_proof_on_one_router_clears_the_part_on_the_others() {
    let mut proving = new_evidence();
    let mut suspecting = new_evidence();
    proving.on_proof(&[SESSION], at(0));
    suspecting.on_crash(&open_run(1, &[SESSION]), at(1_000));
    assert_eq!(
        suspecting.assess_ids(&[SESSION], at(1_001)),
        Assessment::Suspect(SESSION)
    );
    proving.on_news(&suspecting.to_news(16, at(1_010)), at(1_011));
    suspecting.on_news(&proving.to_news(16, at(1_080)), at(1_081));
    assert_eq!(
        suspecting.assess_ids(&[SESSION], at(1_082)),
        Assessment::Clear
    );
}

/// Passing news back and forth must keep neither evidence nor blocks alive.
#[test]
fn news_that_circulates_expires() {
    let mut routers = [new_evidence(), new_evidence()];
    block_fatal_part(&mut routers[0], 0);
    routers[1].on_crash(&open_run(9, &[SESSION]), at(0));
    let length_s = 3 * BLOCK_INITIAL.as_secs() + 10;
    for round in 0..length_s * 10 {
        let now = at(round * 100);
        for sender in 0..2 {
            let news = routers[sender].to_news(16, now);
            routers[1 - sender].on_news(&news, now + Duration::from_millis(3));
        }
        routers.iter_mut().for_each(|router| router.expire(now));
    }
    for router in &routers {
        assert!(router.is_idle(), "{router:?}");
    }
}

#[test]
fn a_flood_of_unknown_parts_evicts_no_evidence_and_uses_bounded_memory() {
    let mut evidence = evidence_with_proofs();
    evidence.on_crash(&open_run(1, &[SHARED, FATAL]), at(100));
    evidence.on_crash(&trial(2, &[SHARED, FATAL]), at(200));
    for flood in 0..2_000_u32 {
        let run = OpenRun {
            stage: AnswerStage::Waiting,
            ..open_run(1_000 + flood % 2, &[10_000 + flood, 50_000 + flood])
        };
        evidence.on_crash(&run, at(300));
        evidence.on_proof(&[100_000 + flood], at(300));
    }
    assert!(evidence.reports.len() <= REPORTS_MAX);
    let news = postcard::to_stdvec(&evidence.to_news(16, at(400))).unwrap();
    assert!(news.len() < 1_500, "{} bytes", news.len());
    // The engines that crashed during the flood make ordinary crashes more likely.
    evidence.on_crash(&trial(3, &[SHARED, FATAL]), at(500));
    evidence.on_crash(&trial(4, &[SHARED, FATAL]), at(900));
    assert!(is_blocked(&evidence, &[FATAL], at(901)));
}

/// An overloaded engine may refuse connections without having crashed.
#[test]
fn an_engine_that_answers_later_did_not_crash() {
    let mut evidence = new_evidence();
    evidence.on_crash(&open_run(1, &[SESSION]), at(100));
    evidence.on_alive(EndpointId(1), at(150));
    assert!(evidence.has_crashed(EndpointId(1)));
    evidence.on_alive(EndpointId(1), at(1_000));
    assert_eq!(
        evidence.assess_ids(&[SESSION], at(1_001)),
        Assessment::Clear
    );
}

#[test]
fn two_fatal_parts_at_a_time_are_both_blocked() {
    const OTHER: u32 = 4;
    let mut evidence = evidence_with_proofs();
    for round in 0..3_u32 {
        let now = at(u64::from(round) * 500);
        evidence.on_crash(&trial(10 + round, &[SHARED, FATAL]), now);
        evidence.on_crash(&trial(20 + round, &[SESSION, OTHER]), now);
    }
    for part in [FATAL, OTHER] {
        assert!(is_blocked(&evidence, &[part], at(2_000)));
    }
}

#[test]
fn the_last_part_of_a_prompt_is_never_evidence() {
    let part = |id| Part { id, tokens: 10 };
    let ids = shared_part_ids(&[part(1), part(2), part(3)]);
    assert_eq!(&ids[..], [1, 2]);
    assert!(shared_part_ids(&[part(1)]).is_empty());
    assert!(shared_part_ids(&[]).is_empty());
}

/// An entry of another writer among the blocks in the store refused its parts for weeks.
#[test]
fn a_received_block_lasts_no_longer_than_any_other() {
    let mut evidence = evidence_with_proofs();
    let block = PartBlock {
        parts: std::iter::once(FATAL).collect(),
        age_ms: 0,
        pause_ms: u32::MAX,
        renewals: u32::MAX,
        endpoints: CrashedEndpoints::default(),
    };
    let news = CrashNews {
        blocks: vec![block],
        ..CrashNews::default()
    };
    evidence.on_news(&news, at(1_000));
    let Assessment::Blocked { left } = evidence.assess_ids(&[FATAL], at(1_000)) else {
        panic!("expected a block");
    };
    assert!(left <= BLOCK_MAX, "{left:?}");
}

fn begin(evidence: &mut CrashEvidence, endpoint: u32, parts: &[u32], at_ms: u64) {
    let parts = PartIds::from_slice(parts);
    let together = Duration::ZERO;
    evidence.on_answer_begun(EndpointId(endpoint), &parts, false, together, at(at_ms));
}

/// A crash that neither a request nor a part is known of.
fn unattended(endpoint: u32) -> OpenRun {
    OpenRun {
        stage: AnswerStage::Waiting,
        ..open_run(endpoint, &[])
    }
}

/// The first event was taken for a proof, though the engine crashed milliseconds later.
#[test]
fn an_answer_proves_nothing_until_its_engine_has_outlived_it() {
    let begun = OpenRun {
        stage: AnswerStage::Begun,
        ..open_run(1, &[SESSION])
    };
    let mut evidence = new_evidence();
    evidence.on_crash(&begun, at(0));
    begin(&mut evidence, 2, &[SESSION], 100);
    let suspect = Assessment::Suspect(SESSION);
    evidence.on_alive(EndpointId(2), at(399));
    assert_eq!(evidence.assess_ids(&[SESSION], at(399)), suspect);
    evidence.on_alive(EndpointId(2), at(400));
    let assessment = evidence.assess_ids(&[SESSION], at(400));
    assert_eq!(assessment, Assessment::Clear);
}

/// Only later events can show whether a part crashes engines after the first one.
#[test]
fn a_first_event_clears_suspects_of_crashes_before_it() {
    let mut evidence = new_evidence();
    evidence.on_crash(&open_run(1, &[SESSION]), at(0));
    begin(&mut evidence, 2, &[SESSION], 100);
    let assessment = evidence.assess_ids(&[SESSION], at(101));
    assert_eq!(assessment, Assessment::Clear);
}

/// Events that arrived before a crash may be read after it, and none of them proves anything.
#[test]
fn an_answer_that_is_read_after_the_crash_is_a_suspect() {
    let mut evidence = new_evidence();
    evidence.on_crash(&unattended(1), at(100));
    begin(&mut evidence, 1, &[FATAL], 150);
    evidence.on_alive(EndpointId(1), at(1_200));
    assert!(
        evidence.is_unproven(CrashPoint::AfterFirstEvent, FATAL),
        "bytes that disprove the crash prove nothing else"
    );
    let mut evidence = new_evidence();
    evidence.on_crash(&unattended(1), at(100));
    begin(&mut evidence, 1, &[FATAL], 150);
    let assessment = evidence.assess_ids(&[FATAL], at(151));
    assert_eq!(assessment, Assessment::Suspect(FATAL));
}

/// Another router's request broke with the engine. The answer that was whole by then may be the one
/// that crashed it.
#[test]
fn whole_answers_are_suspects_of_a_crash_that_another_router_saw() {
    let mut routers = [new_evidence(), new_evidence(), new_evidence()];
    begin(&mut routers[0], 1, &[FATAL], 0);
    routers[1].on_crash(&unattended(1), at(100));
    for _ in 0..2 {
        let news = routers.each_ref().map(|router| router.to_news(16, at(150)));
        for router in &mut routers {
            news.iter().for_each(|news| router.on_news(news, at(160)));
        }
    }
    for router in &routers {
        let suspect = Assessment::Suspect(FATAL);
        assert_eq!(router.assess_ids(&[FATAL], at(200)), suspect);
    }
}

/// Returns which of three requests at a crashed engine are suspects: one whose answer has begun, one
/// with a head and one without, in all orders.
fn suspects_by_order(head_gap: Duration) -> Vec<[bool; 3]> {
    let begun = OpenRun {
        stage: AnswerStage::Begun,
        ..open_run(1, &[FATAL])
    };
    let queued = OpenRun {
        stage: AnswerStage::Waiting,
        ..open_run(1, &[SHARED])
    };
    let runs = [begun, open_run(1, &[SESSION]), queued];
    let orders = [
        [0, 1, 2],
        [0, 2, 1],
        [1, 0, 2],
        [1, 2, 0],
        [2, 0, 1],
        [2, 1, 0],
    ];
    let suspects = orders.map(|order| {
        let mut evidence = new_evidence();
        let sound = PartIds::from_slice(&[9]);
        evidence.on_answer_begun(EndpointId(2), &sound, false, head_gap, at(0));
        for index in order {
            evidence.on_crash(&runs[index], at(100));
        }
        [FATAL, SESSION, SHARED]
            .map(|part| evidence.assess_ids(&[part], at(101)) == Assessment::Suspect(part))
    });
    suspects.to_vec()
}

/// Where heads come before the first event, sound requests with a head are at each crash. A fatal
/// answer that had begun must not be left out for them.
#[test]
fn begun_answers_are_suspects_beside_usual_heads() {
    for suspects in suspects_by_order(Duration::from_millis(60)) {
        assert_eq!(suspects, [true, true, false]);
    }
}

/// Where engines send the head with the first event, a head alone tells which request crashed the
/// engine.
#[test]
fn begun_answers_are_no_suspects_beside_an_unusual_head() {
    for suspects in suspects_by_order(Duration::from_millis(1)) {
        assert_eq!(suspects, [false, true, false]);
    }
}

/// An answer of long ago had proven nothing, since its engine was idle, and is not blamed for a
/// crash.
#[test]
fn an_old_answer_of_an_idle_engine_is_no_suspect() {
    let mut evidence = new_evidence();
    begin(&mut evidence, 1, &[SESSION], 0);
    evidence.on_crash(&unattended(1), at(3_500));
    let assessment = evidence.assess_ids(&[SESSION], at(3_501));
    assert_eq!(assessment, Assessment::Clear);
    assert!(!evidence.has_begun_answer(EndpointId(1)));
}

/// Sound answers with proven parts begin at each engine that crashes. Their reports fill a message,
/// and the one with the fatal part must be in it.
#[test]
fn reports_with_an_unproven_part_are_sent_first() {
    let mut evidence = new_evidence();
    for session in 100..140 {
        evidence.on_proof(&[session], at(0));
        begin(&mut evidence, 1, &[session], 50);
    }
    begin(&mut evidence, 1, &[FATAL], 60);
    evidence.on_crash(&unattended(1), at(100));
    let news = evidence.to_news(16, at(110));
    let mut begun = news.after_first_event.reports.iter();
    assert!(begun.any(|report| report.parts.contains(&FATAL)));
}

/// Memory must not grow while an engine that was sent many requests is silent.
#[test]
fn begun_answers_are_bounded() {
    let mut evidence = new_evidence();
    for request in 0..10_000 {
        begin(&mut evidence, 1, &[request], 0);
    }
    let suspects = evidence.begun.take_suspects(EndpointId(1), at(1));
    assert_eq!(suspects.len(), 256);
    begin(&mut evidence, 1, &[SESSION], 0);
    evidence.expire(at(11_000));
    assert!(!evidence.has_begun_answer(EndpointId(1)));
}
