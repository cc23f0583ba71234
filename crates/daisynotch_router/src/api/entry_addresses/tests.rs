use daisynotch_core::{
    Incarnation, Introduction, Membership, MembershipSettings, Peer, Timestamp, ZoneId,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;

const OWN: RouterId = RouterId(0);

/// A router's caller port is its number; it is in the zone and has the load given.
fn status(routers: &[(u32, Option<u32>, bool)]) -> NodeStatus {
    let member = |(router, (zone, load, leaving)): (usize, &(u32, Option<u32>, bool))| {
        let id = RouterId(router as u64);
        let port = u16::try_from(router).expect("the fleet is small");
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
    }
}

fn ports(status: &NodeStatus, seed: u64) -> Vec<u16> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let addresses = addresses(status, OWN, &mut rng);
    addresses.iter().map(SocketAddr::port).collect()
}

#[test]
fn near_routers_come_first_and_the_least_loaded_of_them() {
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
fn a_leaving_router_is_not_given_out() {
    let fleet = [(1, Some(5), false), (1, Some(0), true), (2, Some(9), false)];
    for seed in 0..20 {
        assert_eq!(ports(&status(&fleet), seed), [0, 2]);
    }
}

#[test]
fn callers_of_one_moment_are_spread() {
    let fleet = vec![(1, None, false); 100];
    let status = status(&fleet);
    let mut first = vec![0_u32; 100];
    for seed in 0..10_000 {
        first[usize::from(ports(&status, seed)[0])] += 1;
    }
    let most = first.iter().max().expect("there are routers");
    assert!(*most < 200, "one router is first for {most} of 10,000");
}
