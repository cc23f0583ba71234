//! Placement: which router schedules which shard.
//!
//! Rendezvous hashing requires agreement only on the set of live routers, and adding or
//! removing a router moves only that router's shards. `docs/design/placement.md` compares it
//! with leases and with a hash ring.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::RouterId;
use crate::message::ShardId;

/// Returns the candidate with the highest score for a shard, if there is any.
///
/// The result does not depend on the order of the candidates.
pub fn rendezvous(shard: ShardId, candidates: impl Iterator<Item = RouterId>) -> Option<RouterId> {
    candidates.max_by_key(|router| (score(shard, *router), *router))
}

fn score(shard: ShardId, router: RouterId) -> u64 {
    let seed = (u64::from(shard.pool.0) << 32) | u64::from(shard.zone.0);
    xxh3_64_with_seed(&router.0.to_le_bytes(), seed)
}

#[cfg(test)]
mod tests;
