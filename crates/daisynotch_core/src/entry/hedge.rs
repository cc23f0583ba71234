//! Hedged requests: a second attempt when the first token is late.
//!
//! Only idempotent requests without an answer so far are hedged. The second attempt
//! has its own ticket and goes to another endpoint; the first attempt to answer wins
//! and the other is cancelled. See `docs/design/slowed-endpoints.md`.

use std::collections::HashMap;
use std::time::Duration;

use super::grants::release_unused;
use super::{Dispatch, Entry, EntryEvent, OpenRequest, RequestId, State, running_of, ticket_of};
use crate::cost::Cost;
use crate::message::{
    Grant, Peer, PeerMessage, Progress, Release, ReleaseReason, ShardId, TicketSeq,
};
use crate::time::Timestamp;
use crate::{EndpointId, RouterId};

/// The cost of a second attempt in credits; each dispatch earns one credit.
const DISPATCHES_PER_HEDGE: u32 = 34;
/// The maximum number of second attempts that accumulated credits pay for.
const HEDGE_BURST_MAX: u32 = 8;

/// Limits second attempts to at most 3 per 100 dispatches.
#[derive(Debug)]
pub(super) struct HedgeBudget {
    credits: u32,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self {
            credits: DISPATCHES_PER_HEDGE,
        }
    }
}

impl HedgeBudget {
    /// Adds the credit that a dispatch earns.
    pub(super) fn on_dispatch(&mut self) {
        self.credits = (self.credits + 1).min(DISPATCHES_PER_HEDGE * HEDGE_BURST_MAX);
    }

    /// Pays for a second attempt; returns `false` if the credits don't suffice.
    fn try_take(&mut self) -> bool {
        let left = self.credits.checked_sub(DISPATCHES_PER_HEDGE);
        self.credits = left.unwrap_or(self.credits);
        left.is_some()
    }
}

/// The second attempt of a request.
#[derive(Debug, Clone)]
struct Hedge {
    ticket: TicketSeq,
    shard: ShardId,
    asked: Peer,
    asked_at: Timestamp,
    running: Option<(Peer, EndpointId)>,
}

/// The second attempts of an entry's requests.
#[derive(Debug, Default)]
pub(super) struct Hedges {
    pub(super) budget: HedgeBudget,
    by_request: HashMap<RequestId, Hedge>,
    tickets: HashMap<TicketSeq, RequestId>,
}

impl Entry {
    /// Reports late first tokens to schedulers and requests second attempts.
    pub(super) fn handle_late_first_tokens(
        &mut self,
        scheduler_of: impl Fn(ShardId) -> Option<Peer>,
        now: Timestamp,
    ) -> Vec<EntryEvent> {
        let mut events = Vec::new();
        while let Some(request) = self.latency.pop_late(now) {
            events.extend(self.report_late_first_token(request));
            events.extend(self.hedge(request, &scheduler_of, now));
        }
        events
    }

    /// Returns whether a request has a second attempt, waiting or running.
    pub(super) fn has_hedge(&self, request: RequestId) -> bool {
        self.hedges.by_request.contains_key(&request)
    }

    /// Returns whether a request has a running second attempt.
    pub(super) fn has_running_hedge(&self, request: RequestId) -> bool {
        let hedge = self.hedges.by_request.get(&request);
        hedge.is_some_and(|hedge| hedge.running.is_some())
    }

    fn report_late_first_token(&self, request: RequestId) -> Option<EntryEvent> {
        let open = self.requests.get(&request)?;
        let State::Running {
            scheduler,
            endpoint,
            ..
        } = open.state
        else {
            return None;
        };
        let progress = Progress {
            seq: open.ticket,
            endpoint,
            cost: Cost::default(),
            first_token_ms: None,
            token_gap_us: None,
        };
        let message = PeerMessage::Progress(progress);
        Some(EntryEvent::Send {
            to: scheduler.router,
            message,
        })
    }

    fn hedge(
        &mut self,
        request: RequestId,
        scheduler_of: impl Fn(ShardId) -> Option<Peer>,
        now: Timestamp,
    ) -> Option<EntryEvent> {
        let open = self.requests.get(&request)?;
        let State::Running {
            endpoint,
            is_answered: false,
            ..
        } = open.state
        else {
            return None;
        };
        let shard = open.shard;
        let to = scheduler_of(shard)?;
        if !open.spec.idempotent || !self.hedges.budget.try_take() {
            return None;
        }
        let seq = TicketSeq(self.next_ticket);
        self.next_ticket += 1;
        let mut ticket = ticket_of(&self.requests[&request], now);
        ticket.seq = seq;
        ticket.avoid = Some(endpoint);
        let hedge = Hedge {
            ticket: seq,
            shard,
            asked: to,
            asked_at: now,
            running: None,
        };
        self.hedges.by_request.insert(request, hedge);
        self.hedges.tickets.insert(seq, request);
        let message = PeerMessage::Ticket(ticket);
        Some(EntryEvent::Send {
            to: to.router,
            message,
        })
    }

    /// Handles a grant for a second attempt; returns `None` for other tickets.
    pub(super) fn on_hedge_grant(
        &mut self,
        from: Peer,
        grant: &Grant,
        now: Timestamp,
    ) -> Option<EntryEvent> {
        let request = *self.hedges.tickets.get(&grant.seq)?;
        let open = &self.requests[&request];
        let hedge = self.hedges.by_request.get_mut(&request)?;
        if hedge.running == Some((from, grant.endpoint)) {
            return Some(running_hedge(open, hedge, from.router, grant.endpoint));
        }
        let valid = Duration::from_millis(grant.valid_after_sent_ms);
        let is_valid = now.since(hedge.asked_at) < valid;
        let is_elsewhere =
            matches!(open.state, State::Running { endpoint, .. } if endpoint != grant.endpoint);
        if !is_valid || !is_elsewhere || hedge.running.is_some() {
            return Some(release_unused(from.router, grant.seq, grant.endpoint));
        }
        hedge.running = Some((from, grant.endpoint));
        Some(EntryEvent::Dispatch(Dispatch {
            request,
            endpoint: grant.endpoint,
            ticket: grant.seq,
        }))
    }

    /// Answers a query about a second attempt; returns `None` for other tickets.
    pub(super) fn on_hedge_query(
        &self,
        from: Peer,
        seq: TicketSeq,
        endpoint: EndpointId,
    ) -> Option<EntryEvent> {
        let request = self.hedges.tickets.get(&seq)?;
        let hedge = self.hedges.by_request.get(request)?;
        let is_running = hedge
            .running
            .is_some_and(|(_, running_at)| running_at == endpoint);
        Some(match is_running {
            true => running_hedge(&self.requests[request], hedge, from.router, endpoint),
            false => release_unused(from.router, seq, endpoint),
        })
    }

    /// Cancels the other attempt of a request when one attempt begins to answer.
    pub fn on_answered(&mut self, request: RequestId, ticket: TicketSeq) -> Option<EntryEvent> {
        let open = self.requests.get_mut(&request)?;
        if let State::Running { is_answered, .. } = &mut open.state {
            *is_answered = true;
        }
        let is_hedge = self.hedges.tickets.get(&ticket) == Some(&request);
        if is_hedge {
            self.promote_hedge(request, ReleaseReason::Cancelled)
        } else {
            self.cancel_hedge(request)
        }
    }

    /// Drops one of two attempts, which ended without an answer; the other continues.
    pub fn on_attempt_failed(
        &mut self,
        request: RequestId,
        ticket: TicketSeq,
        reason: ReleaseReason,
    ) -> Option<EntryEvent> {
        if self.hedges.tickets.get(&ticket) != Some(&request) {
            return self.promote_hedge(request, reason);
        }
        let hedge = self.remove_hedge(request)?;
        let (to, endpoint) = hedge.running?;
        Some(release(to.router, hedge.ticket, endpoint, reason))
    }

    /// Releases the first attempt and continues with the running second one.
    pub(super) fn promote_hedge(
        &mut self,
        request: RequestId,
        reason: ReleaseReason,
    ) -> Option<EntryEvent> {
        let hedge = self.remove_hedge(request)?;
        let (hedge_scheduler, hedge_endpoint) = hedge.running?;
        let open = self.requests.get_mut(&request)?;
        let State::Running {
            scheduler,
            endpoint,
            ..
        } = &mut open.state
        else {
            return None;
        };
        let event = release(scheduler.router, open.ticket, *endpoint, reason);
        (*scheduler, *endpoint) = (hedge_scheduler, hedge_endpoint);
        self.tickets.remove(&open.ticket);
        self.tickets.insert(hedge.ticket, request);
        open.ticket = hedge.ticket;
        Some(event)
    }

    /// Releases a running second attempt or withdraws a waiting one.
    pub(super) fn cancel_hedge(&mut self, request: RequestId) -> Option<EntryEvent> {
        let hedge = self.remove_hedge(request)?;
        Some(match hedge.running {
            Some((to, endpoint)) => {
                release(to.router, hedge.ticket, endpoint, ReleaseReason::Cancelled)
            }
            None => EntryEvent::Send {
                to: hedge.asked.router,
                message: PeerMessage::Withdraw {
                    shard: hedge.shard,
                    seq: hedge.ticket,
                },
            },
        })
    }

    /// Reports running second attempts to new schedulers; waiting ones stay with the old ones.
    pub(super) fn resend_hedges_to_new_schedulers(
        &mut self,
        scheduler_of: impl Fn(ShardId) -> Option<Peer>,
    ) -> Vec<EntryEvent> {
        let mut events = Vec::new();
        let mut requests: Vec<RequestId> = self.hedges.by_request.keys().copied().collect();
        requests.sort_unstable();
        for request in requests {
            let hedge = self.hedges.by_request.get_mut(&request);
            let hedge = hedge.expect("the request id was just listed");
            if let (Some((hedge_scheduler, hedge_endpoint)), Some(to)) =
                (hedge.running, scheduler_of(hedge.shard))
                && hedge_scheduler != to
            {
                hedge.running = Some((to, hedge_endpoint));
                events.push(running_hedge(
                    &self.requests[&request],
                    hedge,
                    to.router,
                    hedge_endpoint,
                ));
            }
        }
        events
    }

    /// Reports running second attempts again to schedulers that may have lost them.
    pub(super) fn resend_hedges(&self, is_due: impl Fn(RouterId) -> bool) -> Vec<EntryEvent> {
        let mut hedges: Vec<_> = self.hedges.by_request.iter().collect();
        hedges.sort_unstable_by_key(|(request, _)| **request);
        let running = hedges.into_iter().filter_map(|(request, hedge)| {
            let (hedge_scheduler, hedge_endpoint) = hedge
                .running
                .filter(|(hedge_scheduler, _)| is_due(hedge_scheduler.router))?;
            Some(running_hedge(
                &self.requests[request],
                hedge,
                hedge_scheduler.router,
                hedge_endpoint,
            ))
        });
        running.collect()
    }

    fn remove_hedge(&mut self, request: RequestId) -> Option<Hedge> {
        let hedge = self.hedges.by_request.remove(&request)?;
        self.hedges.tickets.remove(&hedge.ticket);
        Some(hedge)
    }
}

fn running_hedge(
    open: &OpenRequest,
    hedge: &Hedge,
    to: RouterId,
    endpoint: EndpointId,
) -> EntryEvent {
    let mut running = running_of(open);
    running.seq = hedge.ticket;
    running.endpoint = endpoint;
    running.cost = Cost::default();
    let message = PeerMessage::Running(running);
    EntryEvent::Send { to, message }
}

fn release(
    to: RouterId,
    seq: TicketSeq,
    endpoint: EndpointId,
    reason: ReleaseReason,
) -> EntryEvent {
    let release = Release {
        seq,
        endpoint,
        reason,
        cost: Cost::default(),
        first_token_ms: None,
        token_gap_us: None,
    };
    let message = PeerMessage::Release(release);
    EntryEvent::Send { to, message }
}

#[cfg(test)]
mod tests;
