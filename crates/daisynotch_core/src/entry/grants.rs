//! Handles grants, queries and rejections from schedulers.

use super::latency::LastReport;
use super::{
    Dispatch, Entry, EntryEvent, RequestId, State, TICKET_REJECTED_RESEND_AFTER, running_of,
};
use crate::cost::Cost;
use crate::message::{ForwardedGrant, Grant, Peer, PeerMessage, Release, ReleaseReason, TicketSeq};
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::Timestamp;
use crate::{EndpointId, RouterId};
use std::time::Duration;

impl Entry {
    /// Dispatches the request that a grant is for, or releases the slot unused.
    pub fn on_grant(&mut self, from: Peer, grant: &Grant, now: Timestamp) -> EntryEvent {
        if let Some(event) = self.on_hedge_grant(from, grant, now) {
            return event;
        }
        let request = self.tickets.get(&grant.seq).copied();
        if let Some(request) = request
            && self.accepts_grant(request, |asked| asked == from, grant, now)
        {
            return EntryEvent::Dispatch(self.begin_dispatch(request, from, grant, now));
        }
        if let Some(request) = request
            && self.runs_under_grant(request, from, grant)
        {
            let message = PeerMessage::Running(running_of(&self.requests[&request]));
            let to = from.router;
            return EntryEvent::Send { to, message };
        }
        release_unused(from.router, grant.seq, grant.endpoint)
    }

    /// Handles a grant for a ticket that the asked scheduler forwarded to another shard.
    ///
    /// The request moves to the granting shard, so a successor of that shard's
    /// scheduler learns about it.
    pub fn on_forwarded_grant(
        &mut self,
        from: Peer,
        forwarded: &ForwardedGrant,
        now: Timestamp,
    ) -> EntryEvent {
        let grant = &forwarded.grant;
        let request = self.tickets.get(&grant.seq).copied();
        if let Some(request) = request
            && self.accepts_grant(request, |asked| asked == forwarded.asked, grant, now)
            && let Some(open) = self.requests.get_mut(&request)
        {
            open.shard = forwarded.shard;
            return EntryEvent::Dispatch(self.begin_dispatch(request, from, grant, now));
        }
        self.on_grant(from, grant, now)
    }

    /// Answers a scheduler that asks for the state of a grant.
    pub fn on_query(&self, from: Peer, seq: TicketSeq, endpoint: EndpointId) -> EntryEvent {
        if let Some(event) = self.on_hedge_query(from, seq, endpoint) {
            return event;
        }
        let open = self
            .tickets
            .get(&seq)
            .map(|request| &self.requests[request]);
        match open.map(|open| (open, &open.state)) {
            Some((
                open,
                State::Running {
                    endpoint: runs_on, ..
                },
            )) if *runs_on == endpoint => {
                let message = PeerMessage::Running(running_of(open));
                let to = from.router;
                EntryEvent::Send { to, message }
            }
            _ => release_unused(from.router, seq, endpoint),
        }
    }

    /// Schedules a resend of tickets that a router rejected because it isn't their scheduler.
    pub fn on_not_scheduler(&mut self, from: Peer, seqs: &[TicketSeq], now: Timestamp) {
        for seq in seqs {
            let Some(open) = self
                .tickets
                .get(seq)
                .and_then(|id| self.requests.get_mut(id))
            else {
                continue;
            };
            if let State::Waiting { asked, resend_at } = &mut open.state
                && asked.is_some_and(|(peer, _)| peer == from)
            {
                *asked = None;
                *resend_at = now + TICKET_REJECTED_RESEND_AFTER;
            }
        }
    }

    /// Returns whether a waiting request may still use a grant.
    pub(super) fn accepts_grant(
        &self,
        request: RequestId,
        was_asked: impl Fn(Peer) -> bool,
        grant: &Grant,
        now: Timestamp,
    ) -> bool {
        let State::Waiting {
            asked: Some((asked, sent_at)),
            ..
        } = self.requests[&request].state
        else {
            return is_seeded(SeededFault::DispatchWhileRunning);
        };
        let valid = Duration::from_millis(grant.valid_after_sent_ms);
        let is_valid = now.since(sent_at) < valid || is_seeded(SeededFault::IgnoreValidity);
        was_asked(asked) && is_valid
    }

    /// Returns whether a request already runs under this grant.
    pub(super) fn runs_under_grant(&self, request: RequestId, from: Peer, grant: &Grant) -> bool {
        matches!(
            self.requests[&request].state,
            State::Running { scheduler, endpoint, .. }
                if scheduler == from && endpoint == grant.endpoint
        )
    }

    /// Marks a request as running under a grant.
    pub(super) fn begin_dispatch(
        &mut self,
        request: RequestId,
        scheduler: Peer,
        grant: &Grant,
        now: Timestamp,
    ) -> Dispatch {
        self.leave_queue(request);
        let open = self
            .requests
            .get_mut(&request)
            .expect("a ticket in the table belongs to an open request");
        self.limits.on_dispatch(&open.scopes, now);
        self.retry_budget.on_dispatch();
        open.attempts += 1;
        self.hedges.budget.on_dispatch();
        open.state = State::Running {
            scheduler,
            endpoint: grant.endpoint,
            cost: Cost::default(),
            last_report: LastReport::default(),
            is_answered: false,
        };
        Dispatch {
            request,
            endpoint: grant.endpoint,
            ticket: grant.seq,
        }
    }
}

/// Builds the message that releases a granted slot unused.
pub(super) fn release_unused(to: RouterId, seq: TicketSeq, endpoint: EndpointId) -> EntryEvent {
    let release = Release {
        seq,
        endpoint,
        reason: ReleaseReason::Unused,
        cost: Cost::default(),
        first_token_ms: None,
        token_gap_us: None,
    };
    let message = PeerMessage::Release(release);
    EntryEvent::Send { to, message }
}
