use super::*;
use crate::catalogue::Catalogue;
use crate::entry::RequestSpec;
use crate::message::{Incarnation, LengthClass};
use crate::{PoolId, Revision, TeamId, ZoneId};

const SCHEDULER: Peer = Peer {
    router: RouterId(7),
    incarnation: Incarnation(1),
};

fn at(time_ms: u64) -> Timestamp {
    Timestamp(time_ms * 1_000)
}

/// The ticket numbers of the first and the second attempt.
const FIRST: u64 = 1;
const SECOND: u64 = 2;

/// Dispatches a streamed request to endpoint 1 and starts to await its first token.
fn dispatched_entry(idempotent: bool) -> (Entry, RequestId) {
    let objects = r#"
        [team.kaolack-1]
        [pool.conseil-lm]
        kind = "inference"
        [endpoint.conseil-1]
        pool = "conseil-lm"
        zone = "fatick"
        address = "127.0.0.1:9"
    "#;
    let catalogue = Catalogue::new(
        Revision(1),
        &objects.parse().expect("the objects are valid"),
    );
    let mut entry = Entry::new(ZoneId(1), 1);
    let spec = RequestSpec {
        team: TeamId::from(&"kaolack-1".parse().expect("the name is valid")),
        pool: PoolId::from(&"conseil-lm".parse().expect("the name is valid")),
        hint: Cost(10),
        class: LengthClass::Short,
        prefix: None,
        idempotent,
    };
    let request = entry
        .admit(spec, &catalogue, at(0))
        .expect("the request is admitted");
    entry.send_due(request, |_| Some(SCHEDULER), at(0));
    let granted = entry.on_grant(SCHEDULER, &grant(FIRST, 1), at(0));
    assert!(matches!(granted, EntryEvent::Dispatch(_)));
    entry.on_sent(request, at(0));
    (entry, request)
}

fn grant(seq: u64, endpoint: u32) -> Grant {
    Grant {
        seq: TicketSeq(seq),
        endpoint: EndpointId(endpoint),
        valid_after_sent_ms: 1_000,
    }
}

fn messages(events: impl IntoIterator<Item = EntryEvent>) -> Vec<PeerMessage> {
    let message = |event| match event {
        EntryEvent::Send { message, .. } => Some(message),
        EntryEvent::Dispatch(_) | EntryEvent::Refuse { .. } => None,
    };
    events.into_iter().filter_map(message).collect()
}

fn tick_past_late_threshold(entry: &mut Entry) -> Vec<PeerMessage> {
    messages(entry.tick(|_| Some(SCHEDULER), at(320)))
}

#[test]
fn late_first_token_is_reported_and_hedged_once_at_another_endpoint() {
    let (mut entry, request) = dispatched_entry(true);
    let messages = tick_past_late_threshold(&mut entry);
    let [PeerMessage::Progress(progress), PeerMessage::Ticket(ticket)] = &messages[..] else {
        panic!("{messages:?}");
    };
    assert_eq!(progress.first_token_ms, None);
    assert_eq!(ticket.avoid, Some(EndpointId(1)));
    assert!(tick_past_late_threshold(&mut entry).is_empty());
    let granted = entry.on_grant(SCHEDULER, &grant(ticket.seq.0, 2), at(321));
    let dispatch = Dispatch {
        request,
        endpoint: EndpointId(2),
        ticket: ticket.seq,
    };
    assert_eq!(granted, EntryEvent::Dispatch(dispatch));
    let again = entry.on_grant(SCHEDULER, &grant(ticket.seq.0, 3), at(322));
    assert!(matches!(
        &messages_of(again)[..],
        [PeerMessage::Release(release)] if release.reason == ReleaseReason::Unused
    ));
}

fn messages_of(event: EntryEvent) -> Vec<PeerMessage> {
    messages([event])
}

#[test]
fn first_attempt_to_answer_wins_and_the_other_is_released() {
    for (winner, loser_endpoint) in [(FIRST, 2), (SECOND, 1)] {
        let (mut entry, request) = dispatched_entry(true);
        tick_past_late_threshold(&mut entry);
        entry.on_grant(SCHEDULER, &grant(SECOND, 2), at(321));
        let messages = messages(entry.on_answered(request, TicketSeq(winner)));
        assert!(
            matches!(
                &messages[..],
                [PeerMessage::Release(release)]
                    if release.reason == ReleaseReason::Cancelled
                        && release.endpoint == EndpointId(loser_endpoint)
            ),
            "{messages:?}"
        );
        let done = entry.on_finished(request, ReleaseReason::Done, Cost(9), None, None, at(400));
        assert_eq!(done.len(), 1);
        assert_eq!(entry.open_requests(), 0);
    }
}

#[test]
fn waiting_second_attempt_is_withdrawn() {
    let (mut entry, request) = dispatched_entry(true);
    tick_past_late_threshold(&mut entry);
    let messages = messages(entry.on_answered(request, TicketSeq(FIRST)));
    assert!(
        matches!(messages[..], [PeerMessage::Withdraw { .. }]),
        "{messages:?}"
    );
    let granted_after_withdrawal = entry.on_grant(SCHEDULER, &grant(SECOND, 2), at(321));
    assert!(matches!(
        &messages_of(granted_after_withdrawal)[..],
        [PeerMessage::Release(_)]
    ));
}

#[test]
fn non_idempotent_or_answered_request_is_not_hedged() {
    let (mut entry, _) = dispatched_entry(false);
    assert!(matches!(
        tick_past_late_threshold(&mut entry)[..],
        [PeerMessage::Progress(_)]
    ));
    let (mut entry, request) = dispatched_entry(true);
    entry.on_answered(request, TicketSeq(FIRST));
    assert!(matches!(
        tick_past_late_threshold(&mut entry)[..],
        [PeerMessage::Progress(_)]
    ));
}

#[test]
fn other_attempt_continues_after_one_fails() {
    for (failed, remaining) in [(FIRST, 2), (SECOND, 1)] {
        let (mut entry, request) = dispatched_entry(true);
        tick_past_late_threshold(&mut entry);
        entry.on_grant(SCHEDULER, &grant(SECOND, 2), at(321));
        let reason = ReleaseReason::Unreachable;
        assert!(
            entry
                .on_attempt_failed(request, TicketSeq(failed), reason)
                .is_some()
        );
        let done = entry.on_finished(request, ReleaseReason::Done, Cost(9), None, None, at(400));
        let messages = messages(done);
        assert!(
            matches!(&messages[..], [PeerMessage::Release(release)] if release.endpoint == EndpointId(remaining)),
            "{messages:?}"
        );
    }
}

#[test]
fn second_attempts_stay_within_3_in_100_dispatches() {
    let mut budget = HedgeBudget::default();
    let mut hedges = 0;
    for _ in 0..10_000 {
        budget.on_dispatch();
        hedges += u32::from(budget.try_take());
    }
    assert!(hedges <= 300, "{hedges}");
}

#[test]
fn running_second_attempt_is_resent_to_the_scheduler() {
    let (mut entry, _) = dispatched_entry(true);
    tick_past_late_threshold(&mut entry);
    entry.on_grant(SCHEDULER, &grant(SECOND, 2), at(321));
    let sent = messages(entry.resend_to(SCHEDULER.router, at(322)));
    assert!(
        matches!(&sent[..], [PeerMessage::Running(_), PeerMessage::Running(second)] if second.endpoint == EndpointId(2)),
        "{sent:?}"
    );
}
