//! Endpoints that are presumed cold, at one router.

use super::tests::{at, decide_new, dispatcher, entry, plain_spec, spec, table};
use super::*;
use crate::direct::{ColdReason, ColdStart, RefuseReason, RequestRate};

const OWN: RouterId = RouterId(1);
const LASTS: Duration = Duration::from_secs(3);
/// When endpoints become cold, after the router knows that it is alone.
const COLD_AT_MS: u64 = 6_000;

/// Returns a dispatcher at whose endpoints of a service with these indexes are cold.
fn cold(service: &str, indexes: std::ops::Range<usize>, count: usize) -> Dispatcher {
    let mut dispatcher = dispatcher(10_000_000);
    let mut table = table(10_000_000);
    let mut view = (**table.service(service).unwrap()).clone();
    view.cold_start = Some(ColdStart {
        lasts: LASTS,
        rate: RequestRate(10_000),
    });
    table.add_service(view);
    dispatcher.on_routes(&table);
    for index in 0..count {
        dispatcher.on_entry(&entry(service, index), at(0));
    }
    dispatcher.on_endpoints_listed();
    for ms in (0..COLD_AT_MS).step_by(75) {
        dispatcher.divide_limits(OWN, at(ms));
    }
    for index in indexes {
        let stated = EndpointEntry {
            report_seq: 2,
            cold_remaining: Some(LASTS),
            ..entry(service, index)
        };
        dispatcher.on_entry(&stated, at(COLD_AT_MS));
    }
    dispatcher.refresh_cold(OWN, at(COLD_AT_MS));
    dispatcher
}

fn specs(service: &str, session: u32, now: Timestamp) -> RequestSpec {
    match service {
        "models" => spec(session % 8, session, 400, now),
        _ => plain_spec(now),
    }
}

/// Work that waits for a cold endpoint while a warm one is idle would be late for nothing.
#[test]
fn work_goes_to_warm_endpoints_and_the_cold_one_gets_its_rate() {
    for (service, count) in [("models", 4), ("orders", 2)] {
        let mut dispatcher = cold(service, 0..1, count);
        let cold = entry(service, 0).id();
        let mut at_cold = 0;
        let mut unsent = 0;
        // 40 requests per second for two seconds, each done at once.
        for step in 0..80_u64 {
            let now = at(COLD_AT_MS + step * 25);
            if step % 3 == 0 {
                dispatcher.divide_limits(OWN, now);
            }
            let spec = specs(service, step as u32, now);
            let Some(Verdict::Send(grant)) = decide_new(&mut dispatcher, spec, now) else {
                unsent += 1;
                continue;
            };
            at_cold += u32::from(grant.endpoint == cold);
            dispatcher.on_bytes(grant.run, now);
            dispatcher.on_ended(grant.run, RunOutcome::Done, now);
        }
        assert_eq!(unsent, 0, "{service}");
        // In any second 20 are allowed; the rate alone gives 22 in two.
        assert!(at_cold <= 26, "{service}: {at_cold}");
    }
}

/// With all endpoints cold, a request whose turn comes too late is refused instead of kept.
#[test]
fn requests_beyond_the_rate_of_cold_endpoints_are_refused_at_once() {
    for (service, count) in [("models", 4), ("orders", 2)] {
        let mut dispatcher = cold(service, 0..count, count);
        let now = at(COLD_AT_MS + 500);
        let mut refused = 0;
        for session in 0..60 {
            let verdict = decide_new(&mut dispatcher, specs(service, session, now), now);
            if let Some(Verdict::Refuse { reason, .. }) = verdict {
                assert_eq!(reason, RefuseReason::EndpointLimits, "{service}");
                refused += 1;
            }
        }
        assert!(refused >= 20, "{service}: {refused}");
    }
}

/// An endpoint that answers again after a failure may have restarted before its entry says so.
#[test]
fn a_failed_connection_limits_the_endpoint_at_once() {
    let mut dispatcher = cold("orders", 0..0, 2);
    let now = at(COLD_AT_MS);
    let Some(Verdict::Send(grant)) = decide_new(&mut dispatcher, plain_spec(now), now) else {
        panic!("an idle endpoint takes a request");
    };
    dispatcher.on_ended(grant.run, RunOutcome::Unreachable, now);
    assert!(!dispatcher.shared_limits.allows(grant.endpoint, now));
    assert_eq!(dispatcher.cold_endpoints_len(), 1);
    let changes = dispatcher.take_cold_changes();
    assert_eq!(changes[0].reason, ColdReason::Failed);
    for ms in (0..3_100).step_by(75) {
        dispatcher.divide_limits(OWN, at(COLD_AT_MS + ms));
    }
    assert_eq!(dispatcher.cold_endpoints_len(), 0);
    let later = at(COLD_AT_MS + 3_100);
    assert!(dispatcher.shared_limits.allows(grant.endpoint, later));
}
