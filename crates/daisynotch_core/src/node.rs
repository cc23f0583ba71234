//! One router: entry, schedulers and membership together.
//!
//! Messages that a router sends to itself never leave the core; they are handled
//! before [`Node::handle`] returns.

mod outputs;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::catalogue::Catalogue;
use crate::configuration::{
    ConfigurationAction, ConfigurationState, Follower, FollowerSettings, Replica, ServiceRead,
};
use crate::cost::Cost;
use crate::entry::{Dispatch, Entry, Refusal, RequestId, RequestSpec};
use crate::host_list::ListedHost;
use crate::membership::{Changes, Introduction, Membership, MembershipChange, MembershipSettings};
use crate::message::{Heartbeat, Peer, PeerMessage, ReleaseReason, ShardId, TicketSeq};
use crate::scheduler::{Scheduler, SchedulerAction, SchedulerSettings};
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::Timestamp;
use crate::{EndpointId, RouterId};

/// What a router is, and how it judges.
#[daisynotch_macros::value]
pub struct NodeSettings {
    /// This router, as it introduces itself.
    pub own: Introduction,
    /// How membership judges.
    pub membership: MembershipSettings,
    /// How schedulers judge.
    pub scheduler: SchedulerSettings,
}

/// Something that happened.
#[derive(Debug, Clone)]
pub enum Input {
    /// A message came from a router.
    Message {
        /// The sender.
        from: Peer,
        /// What it says.
        message: PeerMessage,
    },
    /// A connection to a router is up.
    Connected(Introduction),
    /// A new revision of the objects was accepted.
    Configured(Arc<Catalogue>),
    /// A read of the key-value service for newer objects ended.
    ServiceRead(ServiceRead),
    /// What a peer sent as newer objects can't be used.
    PayloadRefused {
        /// The peer.
        from: RouterId,
    },
    /// The encoded form of the objects that come next, for peers.
    Replica(Arc<Replica>),
    /// The platform's host list was read.
    HostList(Vec<ListedHost>),
    /// A streamed request went to its endpoint; its first token is awaited.
    Sent(RequestId),
    /// An attempt began to answer; another one of the same request is to be dropped.
    Answered {
        /// The request.
        request: RequestId,
        /// The grant that the attempt ran under.
        ticket: TicketSeq,
    },
    /// One of two attempts of a request ended without an answer; the other goes on.
    AttemptFailed {
        /// The request.
        request: RequestId,
        /// The grant that the attempt ran under.
        ticket: TicketSeq,
        /// How it ended.
        reason: ReleaseReason,
    },
    /// Running work goes on.
    Progress {
        /// The request.
        request: RequestId,
        /// What it has cost so far.
        cost: Cost,
        /// The time from dispatch to the first token, when one came.
        first_token_ms: Option<u32>,
        /// The mean time between recent tokens, when there were several.
        token_gap_us: Option<u32>,
    },
    /// A dispatch ended.
    Finished {
        /// The request.
        request: RequestId,
        /// How it ended.
        reason: ReleaseReason,
        /// What it cost.
        cost: Cost,
        /// The time from dispatch to the first token, when one came.
        first_token_ms: Option<u32>,
        /// The mean time between tokens, when there were several.
        token_gap_us: Option<u32>,
    },
    /// The caller of a waiting request left.
    CallerLeft(RequestId),
    /// This router is leaving.
    Leave,
    /// Time passed.
    Tick,
}

/// Something to do.
#[daisynotch_macros::value]
pub enum Output {
    /// Send a message to another router.
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

/// One router without its sockets.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    catalogue: Arc<Catalogue>,
    follower: Follower,
    configuration: Vec<ConfigurationAction>,
    replica: Arc<Replica>,
    membership: Membership,
    entry: Entry,
    schedulers: BTreeMap<ShardId, Scheduler>,
    local: VecDeque<PeerMessage>,
    outputs: Vec<Output>,
    handled_at: Timestamp,
    leaving: bool,
}

impl Node {
    /// Starts a router that knows no objects and no peers.
    pub fn new(settings: NodeSettings, now: Timestamp) -> Self {
        let membership = Membership::new(&settings.own, settings.membership, now);
        Self {
            catalogue: Arc::default(),
            follower: Follower::new(
                settings.own.peer.router,
                FollowerSettings::default(),
                settings.own.peer.incarnation.0,
                now,
            ),
            configuration: Vec::new(),
            replica: Arc::default(),
            membership,
            entry: Entry::new(settings.own.zone, seed_of(settings.own.peer)),
            schedulers: BTreeMap::new(),
            local: VecDeque::new(),
            outputs: Vec::new(),
            handled_at: now,
            leaving: false,
            settings,
        }
    }

    /// Gives the objects in force.
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// Gives what is to be read or checked for the configuration since the last call.
    ///
    /// It is apart from [`Output`], since it concerns no request and one reader only.
    pub fn take_configuration_actions(&mut self) -> Vec<ConfigurationAction> {
        std::mem::take(&mut self.configuration)
    }

    /// Gives why there are no objects, or that there are some.
    pub fn configuration_state(&self) -> ConfigurationState {
        self.follower.state()
    }

    /// Gives the routers that are taken for live.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Gives the schedulers that run here.
    pub fn schedulers(&self) -> &BTreeMap<ShardId, Scheduler> {
        &self.schedulers
    }

    /// Gives the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.entry.open_requests()
    }

    /// Says whether a request has not ended yet.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.entry.is_open(request)
    }

    /// Says whether this router is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.membership.is_listed_leaving()
    }

    /// Accepts a request, or says why not.
    pub fn admit(
        &mut self,
        spec: RequestSpec,
        now: Timestamp,
    ) -> (Result<RequestId, Refusal>, Vec<Output>) {
        self.notice_pause(now);
        let admitted = self.entry.admit(spec, &self.catalogue, now);
        if let Ok(request) = admitted {
            self.send_ticket(request, now);
        }
        (admitted, self.finish(now))
    }

    /// Takes in what happened and gives what to do.
    pub fn handle(&mut self, input: Input, now: Timestamp) -> Vec<Output> {
        self.notice_pause(now);
        match input {
            Input::Message { from, message } => self.on_message(from, message, now),
            Input::Connected(introduction) => self.on_connected(&introduction, now),
            Input::Configured(catalogue) => self.on_configured(catalogue, now),
            Input::ServiceRead(read) => self.follower.on_service_read(read, now),
            Input::PayloadRefused { from } => self.follower.on_payload_refused(from, now),
            Input::Replica(replica) => self.replica = replica,
            Input::Sent(request) => self.entry.on_sent(request, now),
            Input::Answered { request, ticket } => {
                let event = self.entry.on_answered(request, ticket);
                self.run_entry(event);
            }
            Input::AttemptFailed {
                request,
                ticket,
                reason,
            } => {
                let event = self.entry.on_attempt_failed(request, ticket, reason);
                self.run_entry(event);
            }
            Input::HostList(hosts) => {
                let changes = self.membership.on_host_list(&hosts);
                self.run_changes(&changes, now);
            }
            Input::Progress {
                request,
                cost,
                first_token_ms,
                token_gap_us,
            } => {
                let event = self
                    .entry
                    .on_progress(request, cost, first_token_ms, token_gap_us);
                self.run_entry(event);
            }
            Input::Finished {
                request,
                reason,
                cost,
                first_token_ms,
                token_gap_us,
            } => {
                let events = self.entry.on_finished(
                    request,
                    reason,
                    cost,
                    first_token_ms,
                    token_gap_us,
                    now,
                );
                self.run_entry(events);
                self.send_ticket(request, now);
            }
            Input::CallerLeft(request) => {
                let event = self.entry.on_caller_left(request);
                self.run_entry(event);
            }
            Input::Leave => {
                self.leaving = true;
                self.membership.hurry(now);
                self.tick(now);
                self.on_placement_changed(now);
            }
            Input::Tick => self.tick(now),
        }
        self.finish(now)
    }

    fn finish(&mut self, now: Timestamp) -> Vec<Output> {
        while let Some(message) = self.local.pop_front() {
            self.on_message(self.settings.own.peer, message, now);
        }
        std::mem::take(&mut self.outputs)
    }

    fn on_message(&mut self, from: Peer, message: PeerMessage, now: Timestamp) {
        let is_current =
            self.membership.is_current(from) || is_seeded(SeededFault::AcceptLostEntry);
        if message.takes_a_slot() && !is_current {
            return;
        }
        match message {
            PeerMessage::Ticket(ticket) => {
                let seqs = SmallVec::from_slice(&[ticket.seq]);
                let shard = ticket.shard;
                self.with_scheduler(from, shard, seqs, now, |scheduler| {
                    scheduler.on_ticket(from, ticket, now)
                });
            }
            PeerMessage::Running(running) => {
                let Some(shard) = self.catalogue.shard_of(running.endpoint) else {
                    return;
                };
                self.with_scheduler(from, shard, SmallVec::new(), now, |scheduler| {
                    scheduler.on_running(from, &running, now);
                    scheduler.tick(now)
                });
            }
            PeerMessage::Withdraw { shard, seq } => {
                if let Some(scheduler) = self.schedulers.get_mut(&shard) {
                    scheduler.on_withdraw(from, seq);
                }
            }
            PeerMessage::Release(release) => {
                if let Some(scheduler) = self.scheduler_of_endpoint(release.endpoint) {
                    let actions = scheduler.on_release(from, &release, now);
                    self.run_scheduler(actions);
                }
            }
            PeerMessage::Progress(progress) => {
                if let Some(scheduler) = self.scheduler_of_endpoint(progress.endpoint) {
                    scheduler.on_progress(from, &progress, now);
                }
            }
            PeerMessage::Grant(grant) => {
                let event = self.entry.on_grant(from, &grant, now);
                self.run_entry([event]);
            }
            PeerMessage::NotScheduler { seqs, .. } => {
                self.entry.on_not_scheduler(from, &seqs, now);
            }
            PeerMessage::Query { endpoint, seq } => {
                let event = self.entry.on_query(from, seq, endpoint);
                self.run_entry([event]);
            }
            PeerMessage::Heartbeat(heartbeat) => {
                self.follower.on_heartbeat(from.router, heartbeat.revision);
                self.on_heartbeat(from, &heartbeat, now);
            }
            PeerMessage::ConfigurationRequest(request) => {
                if let Some(piece) = self.replica.piece(&request) {
                    self.send(from.router, PeerMessage::ConfigurationPiece(piece));
                }
            }
            PeerMessage::ConfigurationPiece(piece) => {
                let action = self.follower.on_piece(from.router, &piece, now);
                self.run_configuration(action);
            }
            PeerMessage::Service(_) | PeerMessage::Want(_) => {
                self.on_sharing(from, &message, now);
            }
            PeerMessage::Forward(mut forward) => {
                // From an entry that is gone, nobody would give the slots back.
                let membership = &self.membership;
                forward
                    .tickets
                    .retain(|forwarded| membership.is_current(forwarded.entry));
                self.on_sharing(from, &PeerMessage::Forward(forward), now);
            }
            PeerMessage::ForwardedGrant(grant) => {
                let event = self.entry.on_forwarded_grant(from, &grant, now);
                self.run_entry([event]);
            }
        }
    }

    /// Runs a step of a shard's scheduler, if this router schedules the shard.
    fn with_scheduler(
        &mut self,
        from: Peer,
        shard: ShardId,
        seqs: SmallVec<[TicketSeq; 2]>,
        now: Timestamp,
        step: impl FnOnce(&mut Scheduler) -> SmallVec<[SchedulerAction; 2]>,
    ) {
        if self.membership.scheduler_of(shard) != Some(self.settings.own.peer.router) {
            self.send(from.router, PeerMessage::NotScheduler { shard, seqs });
            return;
        }
        let scheduler = self.schedulers.entry(shard).or_insert_with(|| {
            Scheduler::new(shard, self.settings.scheduler, &self.catalogue, now)
        });
        let actions = step(scheduler);
        self.run_scheduler(actions);
    }

    /// Handles what another shard of a pool says; it is dropped when its shard isn't scheduled here.
    fn on_sharing(&mut self, from: Peer, message: &PeerMessage, now: Timestamp) {
        let Some(shard) = shard_of_sharing(message) else {
            return;
        };
        let own = self.settings.own.peer.router;
        let is_ours = self.membership.scheduler_of(shard) == Some(own);
        if !is_ours || !self.catalogue.shards_of(shard.pool).contains(&shard) {
            return;
        }
        self.with_scheduler(
            from,
            shard,
            SmallVec::new(),
            now,
            |scheduler| match message {
                PeerMessage::Service(service) => scheduler.on_service(from, service, now),
                PeerMessage::Want(want) => scheduler.on_want(want, now),
                PeerMessage::Forward(forward) => scheduler.on_forward(from, forward, now),
                _ => SmallVec::new(),
            },
        );
    }

    /// Finds the scheduler here that has an endpoint, also one that left the objects.
    fn scheduler_of_endpoint(&mut self, endpoint: EndpointId) -> Option<&mut Scheduler> {
        let shard = self.catalogue.shard_of(endpoint);
        let shard = shard.filter(|shard| self.schedulers.contains_key(shard));
        match shard {
            Some(shard) => self.schedulers.get_mut(&shard),
            None => self
                .schedulers
                .values_mut()
                .find(|scheduler| scheduler.has_endpoint(endpoint)),
        }
    }

    fn on_connected(&mut self, introduction: &Introduction, now: Timestamp) {
        let changes = self.membership.on_connected(introduction, now);
        self.run_changes(&changes, now);
        // What was on its way over an earlier connection may be lost.
        let events = self.entry.resend_to(introduction.peer.router, now);
        self.run_entry(events);
    }

    fn on_heartbeat(&mut self, from: Peer, heartbeat: &Heartbeat, now: Timestamp) {
        let changes = self.membership.on_heartbeat(from, heartbeat, now);
        self.run_changes(&changes, now);
    }

    fn run_changes(&mut self, changes: &Changes, now: Timestamp) {
        for change in changes {
            match change {
                MembershipChange::Placement => {}
                MembershipChange::Lost(peer) => self.on_entry_lost(*peer, now),
                MembershipChange::OwnLost => {
                    self.hold_grants(self.settings.scheduler.takeover_grace, now);
                    let events = self.entry.resend_all(now);
                    self.run_entry(events);
                }
            }
        }
        if changes.contains(&MembershipChange::Placement) {
            self.on_placement_changed(now);
        }
        for change in changes {
            // A router that started anew knows nothing of what it was sent before.
            if let MembershipChange::Lost(peer) = change {
                let events = self.entry.resend_to(peer.router, now);
                self.run_entry(events);
            }
        }
    }

    /// Stops granting when this router was paused for long.
    ///
    /// Others may have taken over its shards meanwhile; the heartbeats that go out
    /// now bring word of that before grants go on.
    fn notice_pause(&mut self, now: Timestamp) {
        let paused = now.since(self.handled_at);
        self.handled_at = now;
        let is_alone = self.membership.members().len() == 1;
        if paused <= self.settings.membership.pause_after || is_alone {
            return;
        }
        self.membership.on_resumed(now);
        let hear_from_others = self.settings.membership.heartbeat_interval * 2;
        self.hold_grants(hear_from_others, now);
    }

    fn hold_grants(&mut self, hold: Duration, now: Timestamp) {
        for scheduler in self.schedulers.values_mut() {
            scheduler.pause_grants_until(now + hold);
        }
    }

    fn on_configured(&mut self, catalogue: Arc<Catalogue>, now: Timestamp) {
        let is_older = catalogue.revision <= self.catalogue.revision;
        if is_older && !is_seeded(SeededFault::AcceptOldRevision) {
            self.follower.on_configured(self.catalogue.revision, now);
            return;
        }
        self.catalogue = catalogue;
        self.follower.on_configured(self.catalogue.revision, now);
        for scheduler in self.schedulers.values_mut() {
            scheduler.configure(&self.catalogue);
        }
        let events = self.entry.move_off_leaving_endpoints(&self.catalogue, now);
        self.run_entry(events);
        self.membership.hurry(now);
        self.tick(now);
    }

    fn on_entry_lost(&mut self, entry: Peer, now: Timestamp) {
        for scheduler in self.schedulers.values_mut() {
            scheduler.on_entry_lost(entry, now);
        }
    }

    /// Resends what has a new scheduler and ends schedulers that moved away.
    fn on_placement_changed(&mut self, now: Timestamp) {
        let own = self.settings.own.peer.router;
        let membership = &self.membership;
        self.schedulers
            .retain(|shard, _| membership.scheduler_of(*shard) == Some(own));
        let events = self
            .entry
            .resend_to_new_schedulers(|shard| membership.scheduler_peer_of(shard), now);
        self.run_entry(events);
    }

    fn tick(&mut self, now: Timestamp) {
        self.follow_configuration(now);
        let changes = self.membership.tick(now);
        self.run_changes(&changes, now);
        self.send_heartbeats(now);
        self.entry.set_routers(self.membership.members().len());
        let membership = &self.membership;
        let events = self
            .entry
            .tick(|shard| membership.scheduler_peer_of(shard), now);
        self.run_entry(events);
        let shards: Vec<ShardId> = self.schedulers.keys().copied().collect();
        for shard in shards {
            let scheduler = self.schedulers.get_mut(&shard).expect("it was just listed");
            let actions = scheduler.tick(now);
            self.run_scheduler(actions);
        }
    }
}

/// Gives a seed that differs between routers and their starts.
fn seed_of(peer: Peer) -> u64 {
    peer.router.0 ^ peer.incarnation.0
}

/// Gives the shard that a message between shards is meant for.
fn shard_of_sharing(message: &PeerMessage) -> Option<ShardId> {
    match message {
        PeerMessage::Service(service) => Some(ShardId {
            pool: service.shard.pool,
            zone: service.to,
        }),
        PeerMessage::Want(want) => Some(want.shard),
        PeerMessage::Forward(forward) => Some(forward.shard),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
