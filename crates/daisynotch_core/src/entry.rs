//! The requests that this router's callers have open.
//!
//! The entry is the only part that ever dispatches a request, and it dispatches
//! each at most once at a time, however many grants arrive. See
//! `docs/design/tickets.md`.

mod grants;
mod hedge;
mod limits;
mod moves;
mod watch;

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
use limits::{Holders, RetryBudget, RetrySpread, Start, TeamLimits, holders_of};
use watch::{Reported, Watch};

/// How long an unanswered ticket waits before it is sent again.
const TICKET_RESEND_AFTER: Duration = Duration::from_millis(2_000);
/// How long a ticket that no scheduler took waits before it is sent again.
const TICKET_REJECTED_RESEND_AFTER: Duration = Duration::from_millis(200);
/// How often a request that did not run is tried at another endpoint.
const DISPATCH_ATTEMPTS_MAX: u32 = 3;

/// A large odd factor that scatters consecutive request numbers over a pool's endpoints.
const SPREAD_STEP: u64 = 0x9E37_79B9_7F4A_7C15;

/// Numbers the requests of one router incarnation.
#[daisynotch_macros::number]
pub struct RequestId(pub u64);

/// What decisions need to know of a request.
#[daisynotch_macros::value]
pub struct RequestSpec {
    /// The team that it is charged to.
    pub team: TeamId,
    /// The pool that answers it.
    pub pool: PoolId,
    /// What it will cost, as far as can be guessed.
    pub hint: Cost,
    /// How long it is expected to run.
    pub class: LengthClass,
    /// The prompt's beginning, when it has one.
    pub prefix: Option<PrefixFingerprint>,
    /// Whether it may run twice without harm.
    pub idempotent: bool,
}

/// Why a request was refused; the work did not run.
#[daisynotch_macros::value]
#[derive(Copy, Hash)]
pub enum RefusalReason {
    /// The team or its share has as many requests waiting here as it may, or would time out.
    QueueFull,
    /// The team or its share has sent as many requests a second as it may.
    RateLimited,
    /// No slot came free within the time that the team's limits allow.
    QueueTimeout,
    /// The pool has no endpoint that takes new work.
    NoEndpoint,
    /// Endpoints were chosen, but none could be reached.
    Unreachable,
    /// The objects don't have the team or pool any more.
    Unknown,
}

/// A refusal with the time after which a new attempt makes sense.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// Permission to send a request to an endpoint, once.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The endpoint that has a slot for it.
    pub endpoint: EndpointId,
    /// The grant that allows it.
    pub ticket: TicketSeq,
}

/// What the entry wants done.
#[daisynotch_macros::value]
pub enum EntryEvent {
    /// Send a message to a router, possibly this one.
    Send {
        /// The router.
        to: RouterId,
        /// The message.
        message: PeerMessage,
    },
    /// Send a request to an endpoint.
    Dispatch(Dispatch),
    /// Tell the caller that the work did not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why, and when to come back.
        refusal: Refusal,
    },
}

#[derive(Debug, Clone)]
enum State {
    Waiting {
        /// The scheduler that was asked and when, once one was.
        asked: Option<(Peer, Timestamp)>,
        resend_at: Timestamp,
    },
    Running {
        scheduler: Peer,
        endpoint: EndpointId,
        cost: Cost,
        reported: Reported,
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
    /// The team and share whose limits the request counts for.
    holders: Holders,
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
    watch: Watch,
    hedges: Hedges,
    limits: TeamLimits,
    retry_budget: RetryBudget,
    retry_spread: RetrySpread,
}

impl Entry {
    /// Starts without requests; the seed spreads the times at which refused callers come back.
    pub fn new(zone: ZoneId, seed: u64) -> Self {
        Self {
            zone,
            next_request: 0,
            next_ticket: 0,
            requests: HashMap::new(),
            tickets: HashMap::new(),
            deadlines: BTreeSet::new(),
            watch: Watch::default(),
            hedges: Hedges::default(),
            limits: TeamLimits::default(),
            retry_budget: RetryBudget::default(),
            retry_spread: RetrySpread::new(seed),
        }
    }

    /// Gives the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Says whether a request has not ended yet.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.requests.contains_key(&request)
    }

    /// Accepts a request, or says why not.
    pub fn admit(
        &mut self,
        spec: RequestSpec,
        catalogue: &Catalogue,
        now: Timestamp,
    ) -> Result<RequestId, Refusal> {
        let request = RequestId(self.next_request);
        let (shard, start) = self.check(request, &spec, catalogue, now)?;
        self.next_request += 1;
        let team = &catalogue.teams[&spec.team];
        let queue_deadline = now + team.limits.queue_timeout;
        let ticket = self.mint_ticket(request);
        self.deadlines.insert((queue_deadline, request));
        let holders = holders_of(spec.team, team);
        let resend_at = match start {
            Start::Now => now,
            Start::Held => Timestamp(u64::MAX),
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
            holders,
        };
        self.requests.insert(request, open);
        Ok(request)
    }

    /// Sets how many routers share the limits that hold for the fleet.
    pub fn set_routers(&mut self, routers: usize) {
        self.limits.set_routers(routers);
    }

    /// Checks a request against the objects and the limits; gives where it waits and from when.
    fn check(
        &mut self,
        request: RequestId,
        spec: &RequestSpec,
        catalogue: &Catalogue,
        now: Timestamp,
    ) -> Result<(ShardId, Start), Refusal> {
        let Some(team) = catalogue.teams.get(&spec.team) else {
            return Err(self.refusal(RefusalReason::Unknown, Duration::ZERO));
        };
        let shard = match self.limits.queued(spec.team) {
            0 => self.home_shard(spec.pool, catalogue),
            _ => self.spread_shard(spec.pool, catalogue),
        };
        let Some(shard) = shard else {
            return Err(self.refusal(RefusalReason::NoEndpoint, Duration::ZERO));
        };
        let start = self.limits.admit(request, spec.team, team, now);
        let start = start.map_err(|refused| self.refusal(refused.reason, refused.retry_after))?;
        Ok((shard, start))
    }

    fn refusal(&mut self, reason: RefusalReason, retry_after: Duration) -> Refusal {
        let retry_after = self.retry_spread.spread(retry_after);
        Refusal {
            reason,
            retry_after,
        }
    }

    /// Sends the tickets that are due, to the schedulers that `scheduler_of` names.
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
                self.renumber(request);
            }
        }
        let message = PeerMessage::Ticket(ticket_of(&self.requests[&request], now));
        let to = to.router;
        Some(EntryEvent::Send { to, message })
    }

    /// Gives a request a new ticket for the scheduler that is asked now.
    ///
    /// A grant's validity counts from the ticket's first sending, so a number is
    /// never sent to one scheduler, then to another, then to the first again.
    fn renumber(&mut self, request: RequestId) {
        let ticket = self.mint_ticket(request);
        if let Some(open) = self.requests.get_mut(&request) {
            self.tickets.remove(&open.ticket);
            open.ticket = ticket;
        }
    }

    /// Takes in that a streamed request went out, so that its first token is awaited.
    pub fn on_sent(&mut self, request: RequestId, now: Timestamp) {
        if let Some(open) = self.requests.get(&request)
            && !self.has_hedge(request)
        {
            self.watch.on_sent(request, open.spec.pool, now);
        }
    }

    /// Takes in how running work goes on; its scheduler hears of what is out of the ordinary.
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
            reported,
            ..
        } = &mut open.state
        else {
            return None;
        };
        *so_far = cost;
        let (pool, hint) = (open.spec.pool, open.spec.hint);
        if let Some(first_token_ms) = first_token_ms {
            let took = Duration::from_millis(u64::from(first_token_ms));
            self.watch.on_first_token(request, pool, took);
        }
        let is_news = self.watch.is_news(reported, pool, hint, cost, token_gap_us);
        let message = PeerMessage::Progress(Progress {
            seq: open.ticket,
            endpoint: *endpoint,
            cost,
            first_token_ms,
            token_gap_us,
        });
        is_news.then_some(EntryEvent::Send {
            to: scheduler.router,
            message,
        })
    }

    /// Ends a dispatch; a request that did not run is tried again or refused.
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
            // Its dispatch is on the way to the daemon, which did not know of it yet.
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
        self.watch.forget(request);
        events.extend(self.cancel_hedge(request));
        match reason {
            ReleaseReason::Unreachable if is_seeded(SeededFault::ForgetUnreachable) => {
                self.forget(request);
            }
            ReleaseReason::Failed if is_seeded(SeededFault::RetryAfterFailure) => {
                events.extend(self.try_again(request, endpoint, now));
            }
            ReleaseReason::Unreachable => events.extend(self.try_again(request, endpoint, now)),
            ReleaseReason::Done
            | ReleaseReason::Failed
            | ReleaseReason::Unused
            | ReleaseReason::Cancelled => {
                self.forget(request);
            }
        }
        events
    }

    /// Takes in that a caller left while its request was waiting.
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

    /// Refuses requests that waited too long and sends tickets that are due.
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
        events.extend(self.on_late(scheduler_of, now));
        events
    }

    /// Lets held requests ask for a slot where others of their team and share have ended.
    fn release_held(&mut self, now: Timestamp) {
        self.limits.expire(now);
        let requests = &self.requests;
        let holders = |request| requests.get(&request).map(|open| open.holders.clone());
        for request in self.limits.release_held(holders) {
            let open = self.requests.get_mut(&request);
            if let Some(State::Waiting { resend_at, .. }) = open.map(|open| &mut open.state) {
                *resend_at = now;
            }
        }
    }

    fn expire(&mut self, request: RequestId) -> Vec<EntryEvent> {
        let withdrawal = self.on_caller_left(request);
        let refusal = self.refusal(RefusalReason::QueueTimeout, Duration::ZERO);
        let refuse = EntryEvent::Refuse { request, refusal };
        withdrawal.into_iter().chain([refuse]).collect()
    }

    fn mint_ticket(&mut self, request: RequestId) -> TicketSeq {
        let ticket = TicketSeq(self.next_ticket);
        self.next_ticket += 1;
        self.tickets.insert(ticket, request);
        ticket
    }

    fn try_again(
        &mut self,
        request: RequestId,
        avoid: EndpointId,
        now: Timestamp,
    ) -> Option<EntryEvent> {
        self.renumber(request);
        let open = self.requests.get_mut(&request)?;
        let is_over = open.attempts >= DISPATCH_ATTEMPTS_MAX || open.queue_deadline <= now;
        if is_over || !self.retry_budget.take() {
            let refusal = self.refusal(RefusalReason::Unreachable, Duration::ZERO);
            self.forget(request);
            return Some(EntryEvent::Refuse { request, refusal });
        }
        open.avoid = Some(avoid);
        open.state = State::Waiting {
            asked: None,
            resend_at: now,
        };
        self.limits.requeue(&open.holders, now);
        self.deadlines.insert((open.queue_deadline, request));
        None
    }

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
            .leave_queue(request, open.spec.team, &open.holders);
    }

    fn forget(&mut self, request: RequestId) {
        self.leave_queue(request);
        if let Some(open) = self.requests.remove(&request) {
            self.limits.end(&open.holders);
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
        State::Waiting { .. } => unreachable!("only running requests are reported as running"),
    };
    Running {
        seq: open.ticket,
        endpoint,
        team: open.spec.team,
        class: open.spec.class,
        cost,
    }
}
