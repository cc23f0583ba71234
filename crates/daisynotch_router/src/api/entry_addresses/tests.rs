use daisynotch_core::{
    ConfigurationState, Incarnation, Introduction, Membership, MembershipSettings, Peer, Timestamp,
    ZoneId,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;

const OWN: RouterId = RouterId(0);

/// Builds a fleet from the zone, load and leaving state of each router.
///
/// The caller port of a router is its index.
fn status(routers: &[(u32, Option<u32>, bool)]) -> NodeStatus {
    let member = |(router, (zone, load, leaving)): (usize, &(u32, Option<u32>, bool))| {
        let id = RouterId(router as u64);
        let port = u16::try_from(router).expect("the fleet has fewer than 65,536 routers");
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let introduction = Introduction {
            peer: Peer {
                router: id,
                incarnation: Incarnation(1),
            },
            zone: ZoneId(*zone),
            caller_address: address,
            peer_address: address,
        };
        let settings = MembershipSettings::default();
        let view = Membership::new(&introduction, settings, Timestamp(0));
        let mut member = view.members()[&id].clone();
        member.open_requests = *load;
        member.leaving = *leaving;
        (id, member)
    };
    NodeStatus {
        members: routers.iter().enumerate().map(member).collect(),
        shards: Vec::new(),
        open_requests: 0,
        is_leaving: false,
        configuration: ConfigurationState::InForce,
    }
}

fn ports(status: &NodeStatus, seed: u64) -> Vec<u16> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let addresses = choose_addresses(status, OWN, &mut rng);
    addresses.iter().map(SocketAddr::port).collect()
}

#[test]
fn routers_of_the_own_zone_come_first_ordered_by_load() {
    let fleet = [
        (1, Some(5), false),
        (2, Some(0), false),
        (1, Some(2), false),
    ];
    for seed in 0..20 {
        assert_eq!(ports(&status(&fleet), seed), [2, 0, 1]);
    }
}

#[test]
fn a_leaving_router_is_not_advertised() {
    let fleet = [(1, Some(5), false), (1, Some(0), true), (2, Some(9), false)];
    for seed in 0..20 {
        assert_eq!(ports(&status(&fleet), seed), [0, 2]);
    }
}

#[test]
fn concurrent_callers_are_spread_over_routers() {
    let fleet = vec![(1, None, false); 100];
    let status = status(&fleet);
    let mut first = vec![0_u32; 100];
    for seed in 0..10_000 {
        first[usize::from(ports(&status, seed)[0])] += 1;
    }
    let most = first.iter().max().expect("the fleet is not empty");
    assert!(
        *most < 200,
        "one router comes first in {most} of 10,000 responses"
    );
}
