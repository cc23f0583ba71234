use super::*;
use crate::{PoolId, ZoneId};

fn shard(number: u32) -> ShardId {
    ShardId {
        pool: PoolId(number),
        zone: ZoneId(7),
    }
}

#[test]
fn a_lost_router_moves_only_its_own_shards() {
    let routers: Vec<RouterId> = (0..9).map(RouterId).collect();
    let lost = RouterId(4);
    for number in 0..1_000 {
        let before = rendezvous(shard(number), routers.iter().copied());
        let remaining = routers.iter().copied().filter(|router| *router != lost);
        let after = rendezvous(shard(number), remaining);
        assert!(before == after || before == Some(lost));
    }
}

#[test]
fn shards_are_distributed_evenly_over_routers() {
    let mut counts = [0; 9];
    for number in 0..9_000 {
        let router = rendezvous(shard(number), (0..9).map(RouterId)).expect("there are candidates");
        counts[usize::try_from(router.0).expect("the router number fits into usize")] += 1;
    }
    assert!(
        counts.iter().all(|count| (800..1_200).contains(count)),
        "{counts:?}"
    );
}
