use std::time::Duration;

use super::*;
use crate::message::{Grant, Incarnation, LengthClass};
use crate::{Catalogue, PoolId, Revision, TeamId, ZoneId};

const OBJECTS: &str = r#"
    [team.kaolack-1]

    [pool.conseil-lm]
    kind = "inference"
    slots = 1

    [endpoint.conseil-1]
    pool = "conseil-lm"
    zone = "fatick"
    address = "127.0.0.1:9"
"#;

fn catalogue() -> Arc<Catalogue> {
    let objects = OBJECTS.parse().expect("the objects can be read");
    Arc::new(Catalogue::new(Revision(1), &objects))
}

fn settings(router: u64) -> NodeSettings {
    NodeSettings {
        own: Introduction {
            peer: Peer {
                router: RouterId(router),
                incarnation: Incarnation(1),
            },
            zone: ZoneId(1),
            caller_address: "127.0.0.1:9".parse().expect("it is an address"),
            peer_address: "127.0.0.1:10".parse().expect("it is an address"),
        },
        membership: MembershipSettings::default(),
        scheduler: SchedulerSettings {
            takeover_grace: Duration::ZERO,
            ..SchedulerSettings::default()
        },
    }
}

fn spec(catalogue: &Catalogue) -> RequestSpec {
    RequestSpec {
        team: *catalogue.teams.keys().next().expect("there is a team"),
        pool: *catalogue.pools.keys().next().expect("there is a pool"),
        hint: Cost(10),
        class: LengthClass::Short,
        prefix: None,
        idempotent: true,
    }
}

fn configured(router: u64) -> Node {
    let mut node = Node::new(settings(router), Timestamp(0));
    node.handle(Input::Configured(catalogue()), Timestamp(0));
    node
}

fn dispatches(outputs: &[Output]) -> Vec<Dispatch> {
    let dispatch = |output: &Output| match output {
        Output::Dispatch(dispatch) => Some(*dispatch),
        Output::Send { .. } | Output::Refuse { .. } => None,
    };
    outputs.iter().filter_map(dispatch).collect()
}

fn finished(request: RequestId, reason: ReleaseReason) -> Input {
    Input::Finished {
        request,
        reason,
        cost: Cost(10),
        first_token_ms: None,
        token_gap_us: None,
    }
}

#[test]
fn one_router_alone_serves_in_turn() {
    let mut node = configured(1);
    let (first, outputs) = node.admit(spec(&catalogue()), Timestamp(0));
    assert_eq!(dispatches(&outputs).len(), 1);
    let (_, outputs) = node.admit(spec(&catalogue()), Timestamp(0));
    assert!(dispatches(&outputs).is_empty());
    let request = first.expect("the request is admitted");
    let outputs = node.handle(finished(request, ReleaseReason::Done), Timestamp(1));
    assert_eq!(dispatches(&outputs).len(), 1);
}

/// The only endpoint is left alone for a short time after each attempt.
#[test]
fn a_request_that_did_not_run_is_tried_again_and_then_refused() {
    let mut node = configured(1);
    let (request, mut outputs) = node.admit(spec(&catalogue()), Timestamp(0));
    let request = request.expect("the request is admitted");
    let mut now = Timestamp(0);
    for pause_ms in [250, 250, 0] {
        assert_eq!(dispatches(&outputs).len(), 1);
        outputs = node.handle(finished(request, ReleaseReason::Unreachable), now);
        assert!(dispatches(&outputs).is_empty());
        if pause_ms > 0 {
            let early = node.handle(Input::Tick, now + Duration::from_millis(pause_ms - 1));
            assert!(dispatches(&early).is_empty());
            now = now + Duration::from_millis(pause_ms);
            outputs = node.handle(Input::Tick, now);
        }
    }
    assert!(
        matches!(outputs[..], [Output::Refuse { .. }]),
        "{outputs:?}"
    );
    assert_eq!(node.open_requests(), 0);
}

#[test]
fn an_unknown_team_or_pool_is_refused() {
    let mut node = configured(1);
    let mut unknown_team = spec(&catalogue());
    unknown_team.team = TeamId(0);
    let mut unknown_pool = spec(&catalogue());
    unknown_pool.pool = PoolId(0);
    for spec in [unknown_team, unknown_pool] {
        assert!(node.admit(spec, Timestamp(0)).0.is_err());
    }
}

/// Connects a router to another and gives what it says then.
fn connect(node: &mut Node, router: u64, incarnation: u64, now: Timestamp) -> Vec<Output> {
    let mut introduction = settings(router).own;
    introduction.peer.incarnation = Incarnation(incarnation);
    node.handle(Input::Connected(introduction), now)
}

fn tickets(outputs: &[Output]) -> Vec<TicketSeq> {
    let ticket = |output: &Output| match output {
        Output::Send {
            message: PeerMessage::Ticket(ticket),
            ..
        } => Some(ticket.seq),
        _ => None,
    };
    outputs.iter().filter_map(ticket).collect()
}

fn grant_of(router: u64, incarnation: u64, seq: TicketSeq) -> Input {
    let catalogue = catalogue();
    Input::Message {
        from: Peer {
            router: RouterId(router),
            incarnation: Incarnation(incarnation),
        },
        message: PeerMessage::Grant(Grant {
            seq,
            endpoint: *catalogue.endpoints.keys().next().expect("there is one"),
            valid_after_sent_ms: 1_000,
        }),
    }
}

/// Gives a router that asks another one, which schedules the only shard.
fn entry_and_scheduler() -> (Node, u64) {
    let catalogue = catalogue();
    let pool = *catalogue.pools.keys().next().expect("there is a pool");
    let shard = catalogue.shards_of(pool)[0];
    let scheduler = crate::rendezvous(shard, [1, 2].map(RouterId).into_iter());
    let scheduler = scheduler.expect("there are candidates").0;
    (configured(3 - scheduler), scheduler)
}

#[test]
fn a_scheduler_that_restarted_is_asked_again_and_told_of_running_work() {
    let (mut node, scheduler) = entry_and_scheduler();
    connect(&mut node, scheduler, 1, Timestamp(0));
    let (_, outputs) = node.admit(spec(&catalogue()), Timestamp(0));
    let first = tickets(&outputs);
    let outputs = node.handle(grant_of(scheduler, 1, first[0]), Timestamp(1));
    assert_eq!(dispatches(&outputs).len(), 1);
    let (_, outputs) = node.admit(spec(&catalogue()), Timestamp(2));
    let asked = tickets(&outputs)[0];
    let outputs = connect(&mut node, scheduler, 2, Timestamp(3));
    let mut asked_again = tickets(&outputs);
    asked_again.dedup();
    assert_eq!(asked_again.len(), 1, "{outputs:?}");
    assert_ne!(asked_again[0], asked, "the new start gets a new number");
    let tells = |output: &Output| matches!(output, Output::Send { message: PeerMessage::Running(running), .. } if running.seq == first[0]);
    assert!(outputs.iter().any(tells), "{outputs:?}");
}

#[test]
fn a_grant_for_an_earlier_asking_is_not_used() {
    let (mut node, scheduler) = entry_and_scheduler();
    connect(&mut node, scheduler, 1, Timestamp(0));
    let (_, outputs) = node.admit(spec(&catalogue()), Timestamp(0));
    let first = tickets(&outputs)[0];
    let (request, lost_at) = (1..20)
        .find_map(|ticks| {
            let now = Timestamp(0) + Duration::from_millis(500) * ticks;
            let outputs = node.handle(Input::Tick, now);
            let dispatch = dispatches(&outputs).first().copied()?;
            Some((dispatch.request, now))
        })
        .expect("it schedules the shard itself once the other is lost");
    node.handle(finished(request, ReleaseReason::Unreachable), lost_at);
    connect(&mut node, scheduler, 1, lost_at);
    let outputs = node.handle(grant_of(scheduler, 1, first), lost_at);
    assert!(dispatches(&outputs).is_empty(), "{outputs:?}");
}

#[test]
fn a_ticket_of_an_entry_that_is_gone_is_not_heard() {
    let (_, scheduler) = entry_and_scheduler();
    let entry = 3 - scheduler;
    let mut node = configured(scheduler);
    connect(&mut node, entry, 1, Timestamp(0));
    connect(&mut node, entry, 2, Timestamp(0));
    let catalogue = catalogue();
    let pool = *catalogue.pools.keys().next().expect("there is a pool");
    let message = PeerMessage::Ticket(crate::Ticket {
        seq: TicketSeq(0),
        shard: catalogue.shards_of(pool)[0],
        team: spec(&catalogue).team,
        hint: Cost(10),
        class: LengthClass::Short,
        prefix: None,
        avoid: None,
        waited_ms: 0,
    });
    let from = Peer {
        router: RouterId(entry),
        incarnation: Incarnation(1),
    };
    node.handle(Input::Message { from, message }, Timestamp(1));
    let held: usize = node
        .schedulers()
        .values()
        .map(Scheduler::granted_count)
        .sum();
    assert_eq!(held, 0);
}

/// A ticket whose first sending was lost is granted when it is sent again, and the
/// grant is still good although the entry counts its expiry from the first sending.
#[test]
fn a_lost_ticket_is_granted_when_it_is_sent_again() {
    let mut entry = configured(1);
    let mut scheduler = configured(2);
    let introduction = |node: &Node| node.settings.own;
    let (first, second) = (introduction(&entry), introduction(&scheduler));
    entry.handle(Input::Connected(second), Timestamp(0));
    scheduler.handle(Input::Connected(first), Timestamp(0));
    let shard = entry.catalogue.shards_of(spec(&entry.catalogue).pool)[0];
    let placed = entry.membership.scheduler_of(shard);
    if placed == Some(first.peer.router) {
        std::mem::swap(&mut entry, &mut scheduler);
    }
    let (_, lost) = entry.admit(spec(&catalogue()), Timestamp(0));
    assert!(matches!(lost[..], [Output::Send { .. }]), "{lost:?}");
    let resend_at = Timestamp(0) + Duration::from_millis(2_000);
    let resent = entry.handle(Input::Tick, resend_at);
    let answers = deliver(&resent, &entry, &mut scheduler, resend_at);
    let outputs = deliver(&answers, &scheduler, &mut entry, resend_at);
    assert_eq!(dispatches(&outputs).len(), 1, "{outputs:?}");
}

/// Hands one node's messages to another and gives what that one does.
fn deliver(outputs: &[Output], sender: &Node, to: &mut Node, now: Timestamp) -> Vec<Output> {
    let from = sender.settings.own.peer;
    let mut answers = Vec::new();
    for output in outputs {
        if let Output::Send { message, .. } = output {
            let message = message.clone();
            answers.extend(to.handle(Input::Message { from, message }, now));
        }
    }
    answers
}
