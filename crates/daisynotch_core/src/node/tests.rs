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
    let objects = OBJECTS.parse().expect("the objects are valid");
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
            caller_address: "127.0.0.1:9".parse().expect("the address is valid"),
            peer_address: "127.0.0.1:10".parse().expect("the address is valid"),
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
        team: *catalogue
            .teams
            .keys()
            .next()
            .expect("the catalogue has a team"),
        pool: *catalogue
            .pools
            .keys()
            .next()
            .expect("the catalogue has a pool"),
        hint: Cost(10),
        class: LengthClass::Short,
        prefix: None,
        idempotent: true,
    }
}

fn configured_node(router: u64) -> Node {
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
fn single_router_serves_requests_in_order() {
    let mut node = configured_node(1);
    let (first, outputs) = node.admit(spec(&catalogue()), Timestamp(0));
    assert_eq!(dispatches(&outputs).len(), 1);
    let (_, outputs) = node.admit(spec(&catalogue()), Timestamp(0));
    assert!(dispatches(&outputs).is_empty());
    let request = first.expect("the request is admitted");
    let outputs = node.handle(finished(request, ReleaseReason::Done), Timestamp(1));
    assert_eq!(dispatches(&outputs).len(), 1);
}

/// The only endpoint receives no request for a short backoff after each attempt.
#[test]
fn request_that_did_not_run_is_retried_and_then_refused() {
    let mut node = configured_node(1);
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
fn unknown_team_or_pool_is_refused() {
    let mut node = configured_node(1);
    let mut unknown_team = spec(&catalogue());
    unknown_team.team = TeamId(0);
    let mut unknown_pool = spec(&catalogue());
    unknown_pool.pool = PoolId(0);
    for spec in [unknown_team, unknown_pool] {
        assert!(node.admit(spec, Timestamp(0)).0.is_err());
    }
}

/// Connects `node` to another router and returns the outputs.
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

fn grant_from(router: u64, incarnation: u64, seq: TicketSeq) -> Input {
    let catalogue = catalogue();
    Input::Message {
        from: Peer {
            router: RouterId(router),
            incarnation: Incarnation(incarnation),
        },
        message: PeerMessage::Grant(Grant {
            seq,
            endpoint: *catalogue
                .endpoints
                .keys()
                .next()
                .expect("the catalogue has an endpoint"),
            valid_after_sent_ms: 1_000,
        }),
    }
}

/// Returns an entry and the number of the other router, which schedules the only shard.
fn entry_and_scheduler() -> (Node, u64) {
    let catalogue = catalogue();
    let pool = *catalogue
        .pools
        .keys()
        .next()
        .expect("the catalogue has a pool");
    let shard = catalogue.shards_of(pool)[0];
    let scheduler = crate::rendezvous(shard, [1, 2].map(RouterId).into_iter());
    let scheduler = scheduler.expect("there are candidates").0;
    (configured_node(3 - scheduler), scheduler)
}

#[test]
fn restarted_scheduler_receives_tickets_and_running_requests_again() {
    let (mut node, scheduler) = entry_and_scheduler();
    connect(&mut node, scheduler, 1, Timestamp(0));
    let (_, outputs) = node.admit(spec(&catalogue()), Timestamp(0));
    let first = tickets(&outputs);
    let outputs = node.handle(grant_from(scheduler, 1, first[0]), Timestamp(1));
    assert_eq!(dispatches(&outputs).len(), 1);
    let (_, outputs) = node.admit(spec(&catalogue()), Timestamp(2));
    let first_ticket = tickets(&outputs)[0];
    let outputs = connect(&mut node, scheduler, 2, Timestamp(3));
    let mut resent = tickets(&outputs);
    resent.dedup();
    assert_eq!(resent.len(), 1, "{outputs:?}");
    assert_ne!(
        resent[0], first_ticket,
        "the new incarnation gets a new ticket number"
    );
    let reports_running = |output: &Output| matches!(output, Output::Send { message: PeerMessage::Running(running), .. } if running.seq == first[0]);
    assert!(outputs.iter().any(reports_running), "{outputs:?}");
}

#[test]
fn grant_for_an_earlier_ticket_is_ignored() {
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
        .expect("the router schedules the shard itself after the other router is lost");
    node.handle(finished(request, ReleaseReason::Unreachable), lost_at);
    connect(&mut node, scheduler, 1, lost_at);
    let outputs = node.handle(grant_from(scheduler, 1, first), lost_at);
    assert!(dispatches(&outputs).is_empty(), "{outputs:?}");
}

#[test]
fn ticket_of_a_lost_entry_is_ignored() {
    let (_, scheduler) = entry_and_scheduler();
    let entry = 3 - scheduler;
    let mut node = configured_node(scheduler);
    connect(&mut node, entry, 1, Timestamp(0));
    connect(&mut node, entry, 2, Timestamp(0));
    let catalogue = catalogue();
    let pool = *catalogue
        .pools
        .keys()
        .next()
        .expect("the catalogue has a pool");
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

/// The grant for a resent ticket must still be valid although the entry counts its expiry from
/// the first time that it sent the ticket, which was lost.
#[test]
fn lost_ticket_is_granted_when_it_is_resent() {
    let mut entry = configured_node(1);
    let mut scheduler = configured_node(2);
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
    let responses = deliver(&resent, &entry, &mut scheduler, resend_at);
    let outputs = deliver(&responses, &scheduler, &mut entry, resend_at);
    assert_eq!(dispatches(&outputs).len(), 1, "{outputs:?}");
}

/// Delivers one node's messages to another and returns the outputs of the receiver.
fn deliver(outputs: &[Output], sender: &Node, to: &mut Node, now: Timestamp) -> Vec<Output> {
    let from = sender.settings.own.peer;
    let mut responses = Vec::new();
    for output in outputs {
        if let Output::Send { message, .. } = output {
            let message = message.clone();
            responses.extend(to.handle(Input::Message { from, message }, now));
        }
    }
    responses
}

/// The host list may mark a router as leaving before the router itself reports it.
#[test]
fn router_that_the_host_list_marks_as_leaving_schedules_nothing() {
    let names = ["router-1", "router-2"].map(|name| name.parse().expect("the name is valid"));
    let [own, other]: [crate::RouterName; 2] = names;
    let introduction = |name: &crate::RouterName| {
        let mut introduction = settings(0).own;
        introduction.peer.router = RouterId::from(name);
        introduction
    };
    let node_settings = NodeSettings {
        own: introduction(&own),
        ..settings(0)
    };
    let mut node = Node::new(node_settings, Timestamp(0));
    node.handle(Input::Configured(catalogue()), Timestamp(0));
    node.handle(Input::Connected(introduction(&other)), Timestamp(0));
    let shard = catalogue().shards_of(spec(&catalogue()).pool)[0];
    let listed = |leaving: Option<&crate::RouterName>| {
        let host = |name: &crate::RouterName| ListedHost {
            router: name.clone(),
            peer_address: "127.0.0.1:10".parse().expect("the address is valid"),
            zone: "fatick".parse().expect("the name is valid"),
            leaving: leaving == Some(name),
        };
        Input::HostList(vec![host(&own), host(&other)])
    };
    for (leaving, staying) in [(&own, &other), (&other, &own)] {
        node.handle(listed(Some(leaving)), Timestamp(1));
        let scheduler = node.membership().scheduler_of(shard);
        assert_eq!(scheduler, Some(RouterId::from(staying)));
        assert_eq!(node.is_leaving(), leaving == &own);
    }
    node.handle(listed(None), Timestamp(2));
    assert!(!node.is_leaving());
}

#[test]
fn queued_request_moves_to_another_zone_when_every_endpoint_is_leaving() {
    let mut node = configured_node(1);
    let (_, outputs) = node.admit(spec(&catalogue()), Timestamp(0));
    assert_eq!(dispatches(&outputs).len(), 1);
    let (waiting, outputs) = node.admit(spec(&catalogue()), Timestamp(0));
    assert!(dispatches(&outputs).is_empty());
    let text = OBJECTS
        .replace("address", "leaving = true\naddress")
        .to_owned()
        + "[endpoint.conseil-2]\npool = \"conseil-lm\"\nzone = \"nioro\"\n\
           address = \"127.0.0.1:11\"\n";
    let objects = text.parse().expect("the objects are valid");
    let changed = Arc::new(Catalogue::new(Revision(2), &objects));
    let outputs = node.handle(Input::Configured(changed), Timestamp(1));
    let dispatch = dispatches(&outputs);
    assert_eq!(dispatch.len(), 1);
    assert_eq!(Ok(dispatch[0].request), waiting);
}
