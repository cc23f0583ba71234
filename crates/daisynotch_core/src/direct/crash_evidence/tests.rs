//! Each test brings about crashes under which sound parts must not be blamed, or fatal ones must.

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
        has_head: true,
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
        has_head: false,
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
            has_head: false,
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
