//! Moves waiting requests between shards, and asks schedulers again.

use super::{Entry, EntryEvent, OpenRequest, RequestId, SPREAD_STEP, State, running_of};
use crate::catalogue::Catalogue;
use crate::message::{Peer, PeerMessage, ShardId};
use crate::time::Timestamp;
use crate::{EndpointId, PoolId, RouterId};

impl Entry {
    /// Resends everything whose scheduler is no longer the one that was asked.
    pub fn resend_to_new_schedulers(
        &mut self,
        scheduler_of: impl Fn(ShardId) -> Option<Peer>,
        now: Timestamp,
    ) -> Vec<EntryEvent> {
        let mut events = Vec::new();
        for request in self.request_ids() {
            let open = self.requests.get_mut(&request).expect("it was just listed");
            let Some(to) = scheduler_of(open.shard) else {
                continue;
            };
            match &mut open.state {
                State::Waiting { asked, resend_at } => {
                    if asked.is_some_and(|(peer, _)| peer != to) {
                        *resend_at = now;
                    }
                    events.extend(self.send_due(request, |_| Some(to), now));
                }
                State::Running { scheduler, .. } if *scheduler != to => {
                    *scheduler = to;
                    let message = PeerMessage::Running(running_of(open));
                    let to = to.router;
                    events.push(EntryEvent::Send { to, message });
                }
                State::Running { .. } => {}
            }
        }
        events.extend(self.resend_hedges_to_new_schedulers(scheduler_of));
        events
    }

    /// Moves requests that wait where every endpoint is leaving to another shard.
    pub fn move_off_leaving_endpoints(
        &mut self,
        catalogue: &Catalogue,
        now: Timestamp,
    ) -> Vec<EntryEvent> {
        let is_stuck = |open: &OpenRequest| {
            matches!(open.state, State::Waiting { .. })
                && !catalogue.has_staying_endpoint(open.shard)
        };
        let stuck = self.requests.iter().filter(|(_, open)| is_stuck(open));
        let mut stuck: Vec<RequestId> = stuck.map(|(request, _)| *request).collect();
        stuck.sort_unstable();
        let mut events = Vec::new();
        for request in stuck {
            let open = &self.requests[&request];
            let Some(shard) = self.home_shard(open.spec.pool, catalogue) else {
                continue;
            };
            let message = PeerMessage::Withdraw {
                shard: open.shard,
                seq: open.ticket,
            };
            if let State::Waiting {
                asked: Some((asked, _)),
                ..
            } = open.state
            {
                let to = asked.router;
                events.push(EntryEvent::Send { to, message });
            }
            self.renumber(request);
            let open = self.requests.get_mut(&request).expect("it was just listed");
            open.shard = shard;
            open.state = State::Waiting {
                asked: None,
                resend_at: now,
            };
        }
        events
    }

    /// Resends everything that one router schedules, which may have lost it.
    pub fn resend_to(&mut self, router: RouterId, now: Timestamp) -> Vec<EntryEvent> {
        self.resend(|to| to == router, now)
    }

    /// Resends everything, since all schedulers may have dropped it.
    pub fn resend_all(&mut self, now: Timestamp) -> Vec<EntryEvent> {
        self.resend(|_| true, now)
    }

    /// Lists all requests in a fixed order, so that runs repeat.
    fn request_ids(&self) -> Vec<RequestId> {
        let mut requests: Vec<RequestId> = self.requests.keys().copied().collect();
        requests.sort_unstable();
        requests
    }

    pub(super) fn resend(
        &mut self,
        is_due: impl Fn(RouterId) -> bool,
        now: Timestamp,
    ) -> Vec<EntryEvent> {
        let mut events = Vec::new();
        for request in self.request_ids() {
            let open = self.requests.get_mut(&request).expect("it was just listed");
            match &mut open.state {
                State::Waiting { asked, resend_at } => {
                    let Some((to, _)) = asked.filter(|(to, _)| is_due(to.router)) else {
                        continue;
                    };
                    *resend_at = now;
                    events.extend(self.send_due(request, |_| Some(to), now));
                }
                State::Running { scheduler, .. } if is_due(scheduler.router) => {
                    let to = scheduler.router;
                    let message = PeerMessage::Running(running_of(open));
                    events.push(EntryEvent::Send { to, message });
                }
                State::Running { .. } => {}
            }
        }
        events.extend(self.resend_hedges(is_due));
        events
    }

    /// Chooses the shard that a request waits in: this zone's, or else the pool's first
    /// of those that have an endpoint which takes new work.
    pub(super) fn home_shard(&self, pool: PoolId, catalogue: &Catalogue) -> Option<ShardId> {
        let mut shards = catalogue.shards_of(pool);
        shards.retain(|shard| catalogue.has_staying_endpoint(*shard));
        let local = shards.iter().find(|shard| shard.zone == self.zone);
        local.or(shards.first()).copied()
    }

    /// Chooses a shard by its endpoints, so that a backlog waits in every shard of the pool.
    pub(super) fn spread_shard(&self, pool: PoolId, catalogue: &Catalogue) -> Option<ShardId> {
        let view = catalogue.pools.get(&pool);
        let shards = view.map(|view| &view.shards).into_iter().flatten();
        let staying = |endpoints: &[EndpointId]| {
            let endpoints = endpoints.iter();
            let staying = endpoints.filter(|id| !catalogue.endpoints[id].leaving);
            staying.count() as u64
        };
        let total: u64 = shards
            .clone()
            .map(|(_, endpoints)| staying(endpoints))
            .sum();
        if total == 0 {
            return self.home_shard(pool, catalogue);
        }
        let mut place = (self.next_request.wrapping_mul(SPREAD_STEP) >> 32) % total;
        for (zone, endpoints) in shards {
            let count = staying(endpoints);
            if place < count {
                return Some(ShardId { pool, zone: *zone });
            }
            place -= count;
        }
        self.home_shard(pool, catalogue)
    }
}
