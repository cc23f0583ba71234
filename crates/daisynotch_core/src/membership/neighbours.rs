//! Which routers a router exchanges heartbeats with.
//!
//! A small fleet is a full mesh. In a large one each router has its successor and
//! predecessor on two rings of its zone and on one of the fleet, in the order of a
//! hash: at most six neighbours, found alike by both ends, and any router is a few
//! steps away. See `docs/design/membership.md`.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Member;
use crate::RouterId;

/// The largest fleet that is a full mesh.
const FULL_MESH_MAX: usize = 10;
/// The rings, by the seed of their order and whether they stay within the zone.
const RINGS: [(u64, bool); 3] = [(1, true), (2, true), (3, false)];

/// Chooses a router's neighbours.
pub(super) fn choose(own: RouterId, members: &BTreeMap<RouterId, Member>) -> BTreeSet<RouterId> {
    if members.len() <= FULL_MESH_MAX {
        let others = members.keys().copied().filter(|router| *router != own);
        return others.collect();
    }
    let own_zone = members[&own].zone;
    let mut chosen = BTreeSet::new();
    for (seed, stays_in_zone) in RINGS {
        let of_ring = |member: &Member| !stays_in_zone || member.zone == own_zone;
        let ring = members.iter().filter(|(_, member)| of_ring(member));
        chosen.extend(beside(own, seed, ring.map(|(router, _)| *router)));
    }
    chosen
}

/// Gives the routers before and after one on a ring.
fn beside(
    own: RouterId,
    seed: u64,
    ring: impl Iterator<Item = RouterId>,
) -> impl Iterator<Item = RouterId> {
    let place = |router: RouterId| (xxh3_64_with_seed(&router.0.to_le_bytes(), seed), router);
    let own_place = place(own);
    let others: Vec<_> = ring.filter(|router| *router != own).map(place).collect();
    let after = others.iter().filter(|place| **place > own_place).min();
    let after = after.or(others.iter().min()).copied();
    let before = others.iter().filter(|place| **place < own_place).max();
    let before = before.or(others.iter().max()).copied();
    [after, before]
        .into_iter()
        .flatten()
        .map(|(_, router)| router)
}
