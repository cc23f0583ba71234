//! Selection of the neighbours that a router exchanges heartbeats with.
//!
//! A small fleet forms a full mesh. In a larger one, each router has a successor and a
//! predecessor on three hash-ordered rings: two within its zone and one across the fleet.
//! That makes at most six neighbours, a relation that both ends derive alike, and any router
//! can be reached in a few hops. See `docs/design/membership.md`.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Member;
use crate::RouterId;

/// The largest fleet that is a full mesh.
const FULL_MESH_MAX: usize = 10;
/// The rings: the hash seed of their order, and whether a ring is limited to the own zone.
const RINGS: [(u64, bool); 3] = [(1, true), (2, true), (3, false)];

/// Chooses a router's neighbours.
pub(super) fn choose(own: RouterId, members: &BTreeMap<RouterId, Member>) -> BTreeSet<RouterId> {
    if members.len() <= FULL_MESH_MAX {
        let others = members.keys().copied().filter(|router| *router != own);
        return others.collect();
    }
    let own_zone = members[&own].zone;
    let mut chosen = BTreeSet::new();
    for (seed, is_zone_ring) in RINGS {
        let is_on_ring = |member: &Member| !is_zone_ring || member.zone == own_zone;
        let ring = members.iter().filter(|(_, member)| is_on_ring(member));
        chosen.extend(ring_neighbours(own, seed, ring.map(|(router, _)| *router)));
    }
    chosen
}

/// Returns the successor and the predecessor of a router on a ring.
fn ring_neighbours(
    own: RouterId,
    seed: u64,
    ring: impl Iterator<Item = RouterId>,
) -> impl Iterator<Item = RouterId> {
    let position = |router: RouterId| (xxh3_64_with_seed(&router.0.to_le_bytes(), seed), router);
    let own_position = position(own);
    let others: Vec<_> = ring.filter(|router| *router != own).map(position).collect();
    let successor = others
        .iter()
        .filter(|position| **position > own_position)
        .min();
    let successor = successor.or(others.iter().min()).copied();
    let predecessor = others
        .iter()
        .filter(|position| **position < own_position)
        .max();
    let predecessor = predecessor.or(others.iter().max()).copied();
    [successor, predecessor]
        .into_iter()
        .flatten()
        .map(|(_, router)| router)
}
