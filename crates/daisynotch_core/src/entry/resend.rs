//! Resends open requests to schedulers and chooses the shards that requests wait in.

use super::{Entry, EntryEvent, HASH_MULTIPLIER, OpenRequest, RequestId, State, running_of};
use crate::catalogue::Catalogue;
use crate::message::{Peer, PeerMessage, ShardId};
use crate::time::Timestamp;
use crate::{EndpointId, PoolId, RouterId};

impl Entry {
    /// Resends every request whose shard has a new scheduler to that scheduler.
    pub fn resend_to_new_schedulers(
        &mut self,
        scheduler_of: impl Fn(ShardId) -> Option<Peer>,
        now: Timestamp,
    ) -> Vec<EntryEvent> {
        let mut events = Vec::new();
        for request in self.request_ids() {
            let open = self
                .requests
                .get_mut(&request)
                .expect("the request id was just listed");
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

    /// Moves waiting requests out of shards whose endpoints are all leaving.
    pub fn move_off_leaving_endpoints(
        &mut self,
        catalogue: &Catalogue,
        now: Timestamp,
    ) -> Vec<EntryEvent> {
        let must_move = |open: &OpenRequest| {
            matches!(open.state, State::Waiting { .. })
                && !catalogue.has_staying_endpoint(open.shard)
        };
        let to_move = self.requests.iter().filter(|(_, open)| must_move(open));
        let mut to_move: Vec<RequestId> = to_move.map(|(request, _)| *request).collect();
        to_move.sort_unstable();
        let mut events = Vec::new();
        for request in to_move {
            let open = &self.requests[&request];
            let Some(shard) = self.preferred_shard(open.spec.pool, catalogue) else {
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
            self.replace_ticket(request);
            let open = self
                .requests
                .get_mut(&request)
                .expect("the request id was just listed");
            open.shard = shard;
            open.state = State::Waiting {
                asked: None,
                resend_at: now,
            };
        }
        events
    }

    /// Resends every request that a router schedules, since it may have lost its state.
    pub fn resend_to(&mut self, router: RouterId, now: Timestamp) -> Vec<EntryEvent> {
        self.resend(|to| to == router, now)
    }

    /// Resends every request, since all schedulers may have dropped their state.
    pub fn resend_all(&mut self, now: Timestamp) -> Vec<EntryEvent> {
        self.resend(|_| true, now)
    }

    /// Returns all request ids in ascending order, which makes runs reproducible.
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
            let open = self
                .requests
                .get_mut(&request)
                .expect("the request id was just listed");
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

    /// Chooses this zone's shard or, failing that, the first shard of the pool.
    ///
    /// Only shards with an endpoint that accepts new work are considered.
    pub(super) fn preferred_shard(&self, pool: PoolId, catalogue: &Catalogue) -> Option<ShardId> {
        let mut shards = catalogue.shards_of(pool);
        shards.retain(|shard| catalogue.has_staying_endpoint(*shard));
        let local = shards.iter().find(|shard| shard.zone == self.zone);
        local.or(shards.first()).copied()
    }

    /// Chooses a shard weighted by its number of endpoints that are not leaving.
    ///
    /// This spreads a backlog over all shards of the pool.
    pub(super) fn shard_by_endpoint_count(
        &self,
        pool: PoolId,
        catalogue: &Catalogue,
    ) -> Option<ShardId> {
        let view = catalogue.pools.get(&pool);
        let shards = view.map(|view| &view.shards).into_iter().flatten();
        let accepting = |endpoints: &[EndpointId]| {
            let endpoints = endpoints.iter();
            let accepting = endpoints.filter(|id| !catalogue.endpoints[id].leaving);
            accepting.count() as u64
        };
        let total: u64 = shards
            .clone()
            .map(|(_, endpoints)| accepting(endpoints))
            .sum();
        if total == 0 {
            return self.preferred_shard(pool, catalogue);
        }
        let mut index = (self.next_request.wrapping_mul(HASH_MULTIPLIER) >> 32) % total;
        for (zone, endpoints) in shards {
            let count = accepting(endpoints);
            if index < count {
                return Some(ShardId { pool, zone: *zone });
            }
            index -= count;
        }
        self.preferred_shard(pool, catalogue)
    }
}
