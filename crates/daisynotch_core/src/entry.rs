//! The open requests of this router's callers.
//!
//! Only the entry dispatches requests. Each request has at most one dispatch per
//! ticket at a time, however many grants arrive. See `docs/design/tickets.md`.

mod grants;
mod hedge;
mod latency;
mod limits;
mod resend;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::catalogue::Catalogue;
use crate::cost::Cost;
use crate::message::{
    LengthClass, Peer, PeerMessage, PrefixFingerprint, Progress, Release, ReleaseReason, Running,
    ShardId, Ticket, TicketSeq,
};
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::Timestamp;
use crate::{EndpointId, PoolId, RouterId, TeamId, ZoneId};

use hedge::Hedges;
use latency::{LastReport, LatencyMonitor};
use limits::{Admission, LimitScopes, RetryBudget, RetryJitter, TeamLimits, limit_scopes};

/// How long the entry waits for an answer to a ticket before it resends the ticket.
const TICKET_RESEND_AFTER: Duration = Duration::from_millis(2_000);
/// How long the entry waits before it resends a ticket that no scheduler accepted.
const TICKET_REJECTED_RESEND_AFTER: Duration = Duration::from_millis(200);
/// The number of times that a request which did not run is dispatched before it is refused.
const DISPATCH_ATTEMPTS_MAX: u32 = 3;

/// A large odd multiplier that hashes consecutive request numbers evenly over endpoints.
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Numbers the requests of one router incarnation.
#[daisynotch_macros::number]
pub struct RequestId(pub u64);

/// The properties of a request that scheduling and limits depend on.
#[daisynotch_macros::value]
pub struct RequestSpec {
    /// The team that is charged for the request.
    pub team: TeamId,
    /// The pool that serves the request.
    pub pool: PoolId,
    /// The estimated cost.
    pub hint: Cost,
    /// The expected length.
    pub class: LengthClass,
    /// The fingerprint of the start of the prompt, if there is a prompt.
    pub prefix: Option<PrefixFingerprint>,
    /// Whether the request may safely run twice.
    pub idempotent: bool,
}

/// Why a request was refused. A refused request has not run.
#[daisynotch_macros::value]
#[derive(Copy, Hash)]
pub enum RefusalReason {
    /// The queue of the team or its share is full, or the expected wait exceeds the timeout.
    QueueFull,
    /// The team or its share exceeds its request rate.
    RateLimited,
    /// No slot became free within the team's queue timeout.
    QueueTimeout,
    /// The pool has no endpoint that accepts new work.
    NoEndpoint,
    /// No chosen endpoint was reachable.
    Unreachable,
    /// The team or pool no longer exists in the configuration.
    Unknown,
}

/// A refusal and the delay after which the caller may retry.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// The delay before the caller may retry.
    pub retry_after: Duration,
}

/// Permission to send a request to an endpoint, once.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The endpoint whose slot was granted.
    pub endpoint: EndpointId,
    /// The ticket that was granted.
    pub ticket: TicketSeq,
}

/// An action for the caller of [`Entry`] to carry out.
#[daisynotch_macros::value]
pub enum EntryEvent {
    /// Send a message to a router, which may be this one.
    Send {
        /// The router.
        to: RouterId,
        /// The message.
        message: PeerMessage,
    },
    /// Send a request to an endpoint.
    Dispatch(Dispatch),
    /// Answer the caller that the request was refused and did not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// The reason and the delay before a retry.
        refusal: Refusal,
    },
}

/// The state of an open request.
#[derive(Debug, Clone)]
enum State {
    /// No grant was accepted yet.
    Waiting {
        /// The scheduler that got the ticket and when it was first sent there, if any.
        asked: Option<(Peer, Timestamp)>,
        resend_at: Timestamp,
    },
    /// The request was dispatched under a grant.
    Running {
        scheduler: Peer,
        endpoint: EndpointId,
        cost: Cost,
        last_report: LastReport,
        is_answered: bool,
    },
}

#[derive(Debug, Clone)]
struct OpenRequest {
    spec: RequestSpec,
    shard: ShardId,
    ticket: TicketSeq,
    state: State,
    attempts: u32,
    avoid: Option<EndpointId>,
    queue_deadline: Timestamp,
    /// The team and share whose limits the request counts towards.
    scopes: LimitScopes,
}

/// The open requests of one router.
#[derive(Debug)]
pub struct Entry {
    zone: ZoneId,
    next_request: u64,
    next_ticket: u64,
    requests: HashMap<RequestId, OpenRequest>,
    tickets: HashMap<TicketSeq, RequestId>,
    deadlines: BTreeSet<(Timestamp, RequestId)>,
    latency: LatencyMonitor,
    hedges: Hedges,
    limits: TeamLimits,
    retry_budget: RetryBudget,
    retry_jitter: RetryJitter,
}

impl Entry {
    /// Creates an entry without requests; `seed` seeds the jitter of `retry_after`.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self {
            zone,
            next_request: 0,
            next_ticket: 0,
            requests: HashMap::new(),
            tickets: HashMap::new(),
            deadlines: BTreeSet::new(),
            latency: LatencyMonitor::default(),
            hedges: Hedges::default(),
            limits: TeamLimits::default(),
            retry_budget: RetryBudget::default(),
            retry_jitter: RetryJitter::new(seed),
        }
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether a request is open.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// Accepts a request, or returns why it is refused.
    pub fn admit(
        &mut self,
        spec: RequestSpec,
        catalogue: &Catalogue,
        now: Timestamp,
    ) -> Result<RequestId, Refusal> {
        let request = RequestId(self.next_request);
        let (shard, admission) = self.check(request, &spec, catalogue, now)?;
        self.next_request += 1;
        let team = &catalogue.teams[&spec.team];
        let queue_deadline = now + team.limits.queue_timeout;
        let ticket = self.assign_ticket(request);
        self.deadlines.insert((queue_deadline, request));
        let scopes = limit_scopes(spec.team, team);
        let resend_at = match admission {
            Admission::Immediate => now,
            Admission::Held => Timestamp(u64::MAX),
        };
        let open = OpenRequest {
            spec,
            shard,
            ticket,
            state: State::Waiting {
                asked: None,
                resend_at,
            },
            attempts: 0,
            avoid: None,
            queue_deadline,
            scopes,
        };
        self.requests.insert(request, open);
        Ok(request)
    }

    /// Sets the number of routers that share the fleet-wide limits.
    pub fn set_routers(&mut self, routers: usize) {
        self.limits.set_routers(routers);
    }

    /// Checks a request against the configuration and the limits.
    ///
    /// Returns the shard to queue it in and whether it may ask for a slot yet.
    fn check(
        &mut self,
        request: RequestId,
        spec: &RequestSpec,
        catalogue: &Catalogue,
        now: Timestamp,
    ) -> Result<(ShardId, Admission), Refusal> {
        let Some(team) = catalogue.teams.get(&spec.team) else {
            return Err(self.refusal(RefusalReason::Unknown, Duration::ZERO));
        };
        let shard = match self.limits.queued(spec.team) {
            0 => self.preferred_shard(spec.pool, catalogue),
            _ => self.shard_by_endpoint_count(spec.pool, catalogue),
        };
        let Some(shard) = shard else {
            return Err(self.refusal(RefusalReason::NoEndpoint, Duration::ZERO));
        };
        let admission = self.limits.admit(request, spec.team, team, now);
        let admission =
            admission.map_err(|refused| self.refusal(refused.reason, refused.retry_after))?;
        Ok((shard, admission))
    }

    /// Creates a refusal with jitter on `retry_after`.
    fn refusal(&mut self, reason: RefusalReason, retry_after: Duration) -> Refusal {
        let retry_after = self.retry_jitter.apply(retry_after);
        Refusal {
            reason,
            retry_after,
        }
    }

    /// Sends a waiting request's ticket to the scheduler of its shard, if a send is due.
    pub fn send_due(
        &mut self,
        request: RequestId,
        scheduler_of: impl Fn(ShardId) -> Option<Peer>,
        now: Timestamp,
    ) -> Option<EntryEvent> {
        let open = self.requests.get_mut(&request)?;
        let State::Waiting { asked, resend_at } = &mut open.state else {
            return None;
        };
        if *resend_at > now {
            return None;
        }
        let Some(to) = scheduler_of(open.shard) else {
            *resend_at = now + TICKET_REJECTED_RESEND_AFTER;
            return None;
        };
        *resend_at = now + TICKET_RESEND_AFTER;
        if asked.is_none_or(|(peer, _)| peer != to) {
            *asked = Some((to, now));
            if !is_seeded(SeededFault::KeepTicketNumber) {
                self.replace_ticket(request);
            }
        }
        let message = PeerMessage::Ticket(ticket_of(&self.requests[&request], now));
        let to = to.router;
        Some(EntryEvent::Send { to, message })
    }

    /// Replaces the ticket of a request that changes its scheduler.
    ///
    /// The validity of a grant counts from the first time that its ticket was sent, so
    /// a ticket number must not return to a scheduler after it went to another one.
    fn replace_ticket(&mut self, request: RequestId) {
        let ticket = self.assign_ticket(request);
        if let Some(open) = self.requests.get_mut(&request) {
            self.tickets.remove(&open.ticket);
            open.ticket = ticket;
        }
    }

    /// Starts to await the first token of a streamed request that was sent.
    pub fn on_sent(&mut self, request: RequestId, now: Timestamp) {
        if let Some(open) = self.requests.get(&request)
            && !self.has_hedge(request)
        {
            self.latency.on_sent(request, open.spec.pool, now);
        }
    }

    /// Records the progress of a running request and reports unusual progress to its scheduler.
    pub fn on_progress(
        &mut self,
        request: RequestId,
        cost: Cost,
        first_token_ms: Option<u32>,
        token_gap_us: Option<u32>,
    ) -> Option<EntryEvent> {
        let open = self.requests.get_mut(&request)?;
        let State::Running {
            scheduler,
            cost: so_far,
            endpoint,
            last_report,
            ..
        } = &mut open.state
        else {
            return None;
        };
        *so_far = cost;
        let (pool, hint) = (open.spec.pool, open.spec.hint);
        if let Some(first_token_ms) = first_token_ms {
            let took = Duration::from_millis(u64::from(first_token_ms));
            self.latency.on_first_token(request, pool, took);
        }
        let should_report = self
            .latency
            .should_report(last_report, pool, hint, cost, token_gap_us);
        let message = PeerMessage::Progress(Progress {
            seq: open.ticket,
            endpoint: *endpoint,
            cost,
            first_token_ms,
            token_gap_us,
        });
        should_report.then_some(EntryEvent::Send {
            to: scheduler.router,
            message,
        })
    }

    /// Ends a dispatch. A request that did not run is retried or refused.
    pub fn on_finished(
        &mut self,
        request: RequestId,
        reason: ReleaseReason,
        cost: Cost,
        first_token_ms: Option<u32>,
        token_gap_us: Option<u32>,
        now: Timestamp,
    ) -> Vec<EntryEvent> {
        if reason == ReleaseReason::Unreachable && self.has_running_hedge(request) {
            // The daemon has not received the dispatch of the running second attempt yet.
            return self.promote_hedge(request, reason).into_iter().collect();
        }
        let Some(open) = self.requests.get(&request) else {
            return Vec::new();
        };
        let State::Running {
            scheduler,
            endpoint,
            ..
        } = open.state
        else {
            return Vec::new();
        };
        let release = Release {
            seq: open.ticket,
            endpoint,
            reason,
            cost,
            first_token_ms,
            token_gap_us,
        };
        let message = PeerMessage::Release(release);
        let mut events = vec![EntryEvent::Send {
            to: scheduler.router,
            message,
        }];
        self.latency.forget(request);
        events.extend(self.cancel_hedge(request));
        match reason {
            ReleaseReason::Unreachable if is_seeded(SeededFault::ForgetUnreachable) => {
                self.forget(request);
            }
            ReleaseReason::Failed if is_seeded(SeededFault::RetryAfterFailure) => {
                events.extend(self.retry(request, endpoint, now));
            }
            ReleaseReason::Unreachable => events.extend(self.retry(request, endpoint, now)),
            ReleaseReason::Done
            | ReleaseReason::Failed
            | ReleaseReason::Unused
            | ReleaseReason::Cancelled => {
                self.forget(request);
            }
        }
        events
    }

    /// Drops the waiting request of a caller that disconnected and withdraws its ticket.
    pub fn on_caller_left(&mut self, request: RequestId) -> Option<EntryEvent> {
        let open = self.requests.get(&request)?;
        let State::Waiting { asked, .. } = open.state else {
            return None;
        };
        let message = PeerMessage::Withdraw {
            shard: open.shard,
            seq: open.ticket,
        };
        self.forget(request);
        asked.map(|(peer, _)| EntryEvent::Send {
            to: peer.router,
            message,
        })
    }

    /// Refuses requests that exceeded their queue timeout and sends tickets that are due.
    pub fn tick(
        &mut self,
        scheduler_of: impl Fn(ShardId) -> Option<Peer>,
        now: Timestamp,
    ) -> Vec<EntryEvent> {
        let mut events = Vec::new();
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop_first();
            events.extend(self.expire(request));
        }
        self.release_held(now);
        let mut waiting: Vec<RequestId> = self.deadlines.iter().map(|(_, id)| *id).collect();
        waiting.sort_unstable();
        for request in waiting {
            events.extend(self.send_due(request, &scheduler_of, now));
        }
        events.extend(self.handle_late_first_tokens(scheduler_of, now));
        events
    }

    /// Lets held requests ask for a slot if requests of their team and share have ended.
    fn release_held(&mut self, now: Timestamp) {
        self.limits.expire(now);
        let requests = &self.requests;
        let scopes = |request| requests.get(&request).map(|open| open.scopes.clone());
        for request in self.limits.release_held(scopes) {
            let open = self.requests.get_mut(&request);
            if let Some(State::Waiting { resend_at, .. }) = open.map(|open| &mut open.state) {
                *resend_at = now;
            }
        }
    }

    /// Refuses a request that exceeded its queue timeout.
    fn expire(&mut self, request: RequestId) -> Vec<EntryEvent> {
        let withdrawal = self.on_caller_left(request);
        let refusal = self.refusal(RefusalReason::QueueTimeout, Duration::ZERO);
        let refuse = EntryEvent::Refuse { request, refusal };
        withdrawal.into_iter().chain([refuse]).collect()
    }

    /// Assigns a new ticket number to a request.
    fn assign_ticket(&mut self, request: RequestId) -> TicketSeq {
        let ticket = TicketSeq(self.next_ticket);
        self.next_ticket += 1;
        self.tickets.insert(ticket, request);
        ticket
    }

    /// Queues a request again after a dispatch that did not run, or refuses it.
    ///
    /// Refuses after [`DISPATCH_ATTEMPTS_MAX`] dispatches, past the queue deadline or without
    /// retry budget.
    fn retry(
        &mut self,
        request: RequestId,
        avoid: EndpointId,
        now: Timestamp,
    ) -> Option<EntryEvent> {
        self.replace_ticket(request);
        let open = self.requests.get_mut(&request)?;
        let is_exhausted = open.attempts >= DISPATCH_ATTEMPTS_MAX || open.queue_deadline <= now;
        if is_exhausted || !self.retry_budget.try_take() {
            let refusal = self.refusal(RefusalReason::Unreachable, Duration::ZERO);
            self.forget(request);
            return Some(EntryEvent::Refuse { request, refusal });
        }
        open.avoid = Some(avoid);
        open.state = State::Waiting {
            asked: None,
            resend_at: now,
        };
        self.limits.requeue(&open.scopes, now);
        self.deadlines.insert((open.queue_deadline, request));
        None
    }

    /// Removes a request from the queue, if it is waiting.
    fn leave_queue(&mut self, request: RequestId) {
        let Some(open) = self.requests.get(&request) else {
            return;
        };
        if !matches!(open.state, State::Waiting { .. }) {
            return;
        }
        if !is_seeded(SeededFault::KeepDeadline) {
            self.deadlines.remove(&(open.queue_deadline, request));
        }
        self.limits
            .leave_queue(request, open.spec.team, &open.scopes);
    }

    /// Removes a request that has ended.
    fn forget(&mut self, request: RequestId) {
        self.leave_queue(request);
        if let Some(open) = self.requests.remove(&request) {
            self.limits.end(&open.scopes);
            self.tickets.remove(&open.ticket);
        }
    }
}

fn ticket_of(open: &OpenRequest, now: Timestamp) -> Ticket {
    let waited = match open.state {
        State::Waiting {
            asked: Some((_, asked_at)),
            ..
        } => now.since(asked_at),
        State::Waiting { asked: None, .. } | State::Running { .. } => Duration::ZERO,
    };
    Ticket {
        seq: open.ticket,
        shard: open.shard,
        team: open.spec.team,
        hint: open.spec.hint,
        class: open.spec.class,
        prefix: open.spec.prefix,
        avoid: open.avoid,
        waited_ms: u32::try_from(waited.as_millis()).unwrap_or(u32::MAX),
    }
}

fn running_of(open: &OpenRequest) -> Running {
    let (endpoint, cost) = match open.state {
        State::Running { endpoint, cost, .. } => (endpoint, cost),
        State::Waiting { .. } => unreachable!("a waiting request cannot be reported as running"),
    };
    Running {
        seq: open.ticket,
        endpoint,
        team: open.spec.team,
        class: open.spec.class,
        cost,
    }
}
