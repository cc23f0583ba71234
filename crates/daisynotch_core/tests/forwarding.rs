//! Tests the forwarding of a ticket to another shard at the router that holds the request.

use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::{
    Catalogue, Cost, EndpointId, Forward, ForwardedGrant, Grant, Incarnation, Input, Introduction,
    LengthClass, MembershipSettings, Node, NodeSettings, Output, Peer, PeerMessage, ReleaseReason,
    RequestSpec, Revision, RouterId, SchedulerSettings, ShardId, Timestamp, Want, ZoneId,
};

const OBJECTS: &str = r#"
    [team.kaolack-1]

    [pool.conseil-lm]
    kind = "inference"
    slots = 1

    [endpoint.conseil-1]
    pool = "conseil-lm"
    zone = "fatick"
    address = "127.0.0.1:9"

    [endpoint.conseil-2]
    pool = "conseil-lm"
    zone = "nioro"
    address = "127.0.0.1:9"
"#;

const ASKED: Peer = Peer {
    router: RouterId(1),
    incarnation: Incarnation(1),
};
const OTHER: Peer = Peer {
    router: RouterId(2),
    incarnation: Incarnation(1),
};

/// A router in `fatick` with one running request in its only slot and one queued request.
struct Fixture {
    node: Node,
    catalogue: Arc<Catalogue>,
}

fn zone(name: &str) -> ZoneId {
    ZoneId::from(&name.parse().expect("the name is valid"))
}

fn introduction(peer: Peer, zone_name: &str) -> Introduction {
    Introduction {
        peer,
        zone: zone(zone_name),
        peer_address: "127.0.0.1:9".parse().expect("the address is valid"),
        caller_address: "127.0.0.1:9".parse().expect("the address is valid"),
    }
}

fn at_ms(time_ms: u64) -> Timestamp {
    Timestamp(0) + Duration::from_millis(time_ms)
}

impl Fixture {
    fn new() -> Self {
        let objects = OBJECTS.parse().expect("the objects are valid");
        let catalogue = Arc::new(Catalogue::new(Revision(1), &objects));
        let settings = NodeSettings {
            own: introduction(ASKED, "fatick"),
            membership: MembershipSettings::default(),
            scheduler: SchedulerSettings {
                takeover_grace: Duration::ZERO,
                ..SchedulerSettings::default()
            },
        };
        let mut node = Node::new(settings, at_ms(0));
        node.handle(Input::Configured(Arc::clone(&catalogue)), at_ms(0));
        node.handle(Input::Connected(introduction(OTHER, "nioro")), at_ms(0));
        let mut fixture = Self { node, catalogue };
        for _ in 0..2 {
            let spec = fixture.spec();
            let (admitted, _) = fixture.node.admit(spec, at_ms(0));
            admitted.expect("the request is admitted");
        }
        fixture
    }

    fn spec(&self) -> RequestSpec {
        RequestSpec {
            team: *self.catalogue.teams.keys().next().expect("there is a team"),
            pool: *self.catalogue.pools.keys().next().expect("there is a pool"),
            hint: Cost(10),
            class: LengthClass::Short,
            prefix: None,
            idempotent: true,
        }
    }

    fn shard(&self, zone_name: &str) -> ShardId {
        ShardId {
            pool: self.spec().pool,
            zone: zone(zone_name),
        }
    }

    fn receive(&mut self, message: PeerMessage, time_ms: u64) -> Vec<PeerMessage> {
        let from = OTHER;
        let outputs = self
            .node
            .handle(Input::Message { from, message }, at_ms(time_ms));
        let describe = |output: Output| match output {
            Output::Send { message, .. } => Some(message),
            Output::Dispatch(_) | Output::Refuse { .. } => None,
        };
        outputs.into_iter().filter_map(describe).collect()
    }

    /// Requests the queued ticket on behalf of the other shard.
    fn take_ticket(&mut self, time_ms: u64) -> Forward {
        let want = Want {
            shard: self.shard("fatick"),
            to: zone("nioro"),
            idle: 1,
            buffer: 0,
        };
        let responses = self.receive(PeerMessage::Want(want), time_ms);
        match &responses[..] {
            [PeerMessage::Forward(forward)] => forward.clone(),
            _ => panic!("{responses:?} is not one forward"),
        }
    }

    fn grant(&self, forward: &Forward, asked: Peer, valid_ms: u64) -> PeerMessage {
        let endpoint = EndpointId::from(&"conseil-2".parse().expect("the name is valid"));
        PeerMessage::ForwardedGrant(ForwardedGrant {
            asked,
            shard: self.shard("nioro"),
            grant: Grant {
                seq: forward.tickets[0].ticket.seq,
                endpoint,
                valid_after_sent_ms: valid_ms,
            },
        })
    }

    fn dispatches(&mut self, message: PeerMessage, time_ms: u64) -> usize {
        let from = OTHER;
        let outputs = self
            .node
            .handle(Input::Message { from, message }, at_ms(time_ms));
        let dispatched = |output: &&Output| matches!(output, Output::Dispatch(_));
        outputs.iter().filter(dispatched).count()
    }
}

fn is_returned_unused(responses: &[PeerMessage]) -> bool {
    matches!(responses, [PeerMessage::Release(release)] if release.reason == ReleaseReason::Unused)
}

#[test]
fn a_forwarded_grant_is_used_once() {
    let mut fixture = Fixture::new();
    let forward = fixture.take_ticket(300);
    assert_eq!(forward.tickets[0].ticket.waited_ms, 300);
    let grant = fixture.grant(&forward, ASKED, 1_300);
    assert_eq!(fixture.dispatches(grant.clone(), 400), 1);
    let again = fixture.receive(grant, 401);
    assert!(matches!(again[..], [PeerMessage::Running(_)]), "{again:?}");
}

#[test]
fn a_forwarded_grant_expires_from_when_the_ticket_was_sent() {
    let mut fixture = Fixture::new();
    let forward = fixture.take_ticket(300);
    let grant = fixture.grant(&forward, ASKED, 1_300);
    let responses = fixture.receive(grant, 1_300);
    assert!(is_returned_unused(&responses), "{responses:?}");
}

#[test]
fn a_grant_for_a_ticket_that_another_router_was_asked_for_is_handed_back() {
    let mut fixture = Fixture::new();
    let forward = fixture.take_ticket(300);
    let grant = fixture.grant(&forward, OTHER, 1_300);
    let responses = fixture.receive(grant, 400);
    assert!(is_returned_unused(&responses), "{responses:?}");
}

#[test]
fn a_forward_that_is_lost_is_made_up_for_by_the_resend() {
    let mut fixture = Fixture::new();
    fixture.take_ticket(300);
    fixture.node.handle(Input::Tick, at_ms(2_000));
    let again = fixture.take_ticket(2_100);
    assert_eq!(again.tickets.len(), 1);
    assert_eq!(again.tickets[0].ticket.waited_ms, 2_100);
}

#[test]
fn a_ticket_is_passed_on_once() {
    let mut fixture = Fixture::new();
    let own = fixture.take_ticket(300);
    let mut foreign = own.clone();
    foreign.shard = fixture.shard("fatick");
    foreign.from = zone("nioro");
    foreign.tickets[0].entry = OTHER;
    fixture.receive(PeerMessage::Forward(foreign), 400);
    assert!(fixture.take_ticket(500).tickets.is_empty());
}
