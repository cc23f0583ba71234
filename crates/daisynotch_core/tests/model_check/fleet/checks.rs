//! The checks after each step, and the conditions under which a fleet is quiet.

use super::*;

impl Fleet {
    /// Records the changes of a router's revision, membership view and schedulers.
    pub(super) fn observe(&mut self, index: usize) -> Result<(), Violation> {
        let router = &mut self.routers[index];
        let Some(node) = &router.node else {
            return Ok(());
        };
        let revision = node.catalogue().revision;
        if revision < router.revision {
            return violation(
                Invariant::RevisionMonotone,
                &(router.peer, router.revision, revision),
            );
        }
        router.revision = revision;
        for (shard, (_, is_live)) in &mut router.schedulers {
            *is_live &= node.schedulers().contains_key(shard);
        }
        for shard in node.schedulers().keys() {
            let (starts, is_live) = router.schedulers.entry(*shard).or_default();
            *starts += u32::from(!*is_live);
            *is_live = true;
        }
        let members: BTreeMap<RouterId, Peer> = node
            .membership()
            .members()
            .iter()
            .map(|(id, member)| {
                (
                    *id,
                    Peer {
                        router: *id,
                        incarnation: member.incarnation,
                    },
                )
            })
            .collect();
        if members == router.members && !node.is_leaving() {
            return Ok(());
        }
        self.is_membership_unchanged = false;
        let lost: Vec<Peer> = router
            .members
            .values()
            .filter(|peer| members.get(&peer.router) != Some(peer))
            .copied()
            .collect();
        router.members = members;
        let observer = router.peer;
        for record in self
            .requests
            .iter_mut()
            .filter(|record| lost.contains(&record.entry))
        {
            let granted_by_observer = record
                .dispatches
                .iter_mut()
                .filter(|dispatch| dispatch.granted_by.peer == observer);
            granted_by_observer.for_each(|dispatch| dispatch.is_entry_presumed_lost = true);
        }
        Ok(())
    }

    /// Checks that no slot is granted twice; each endpoint has one slot.
    ///
    /// A scheduler may grant a slot again only after it considered the slot's holder
    /// lost. While no membership view has changed, no other scheduler may grant it.
    pub(super) fn check_over_admission(&self) -> Result<(), Violation> {
        let mut running: BTreeMap<EndpointId, Vec<SchedulerStart>> = BTreeMap::new();
        for dispatch in self.requests.iter().flat_map(|record| &record.dispatches) {
            if dispatch.runs(self.now) && !dispatch.is_entry_presumed_lost {
                running
                    .entry(dispatch.endpoint)
                    .or_default()
                    .push(dispatch.granted_by);
            }
        }
        for (endpoint, mut starts) in running {
            let total = starts.len();
            starts.sort_unstable();
            starts.dedup();
            let is_over = starts.len() < total || (self.is_membership_unchanged && total > 1);
            if is_over {
                return violation(
                    Invariant::NoOverAdmission,
                    &(endpoint, total, starts, self.now),
                );
            }
        }
        Ok(())
    }

    pub(super) fn is_quiet(&self) -> bool {
        self.network.is_empty() && self.check_quiet().is_ok()
    }

    pub(super) fn check_quiet(&self) -> Result<(), Violation> {
        for record in &self.requests {
            if record.end.is_none() {
                return violation(Invariant::NothingLost, record);
            }
        }
        for router in &self.routers {
            let Some(node) = &router.node else {
                continue;
            };
            if node.open_requests() > 0 {
                return violation(Invariant::NothingLost, &(router.peer, node.open_requests()));
            }
            for (shard, scheduler) in node.schedulers() {
                if scheduler.granted_count() + scheduler.waiting_count() > 0 {
                    return violation(Invariant::NoSlotLeak, &(router.peer, shard, scheduler));
                }
            }
        }
        Ok(())
    }
}
