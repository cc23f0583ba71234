//! The state machine of one router: entry, schedulers, membership and configuration.
//!
//! Messages that a router sends to itself never leave the core; they are handled before
//! [`Node::handle`] returns.

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

/// The identity of a router and the settings of its components.
#[daisynotch_macros::value]
pub struct NodeSettings {
    /// This router's identity, zone and addresses.
    pub own: Introduction,
    /// The settings of membership.
    pub membership: MembershipSettings,
    /// The settings of the schedulers.
    pub scheduler: SchedulerSettings,
}

/// An event that a node handles.
#[derive(Debug, Clone)]
pub enum Input {
    /// A message from a router arrived.
    Message {
        /// The sender.
        from: Peer,
        /// The message.
        message: PeerMessage,
    },
    /// A connection to a router was established.
    Connected(Introduction),
    /// A new revision of the objects was accepted.
    Configured(Arc<Catalogue>),
    /// A read of the key-value service for newer objects completed.
    ServiceRead(ServiceRead),
    /// The objects that a peer sent are unusable.
    PayloadRefused {
        /// The peer that sent the objects.
        from: RouterId,
    },
    /// The encoded form of the objects that are about to be configured, to serve to peers.
    Replica(Arc<Replica>),
    /// The platform's host list was read.
    HostList(Vec<ListedHost>),
    /// A streamed request was sent to its endpoint and now waits for its first token.
    Sent(RequestId),
    /// The response of an attempt began; another attempt of the same request is cancelled.
    Answered {
        /// The request.
        request: RequestId,
        /// The ticket of the attempt's grant.
        ticket: TicketSeq,
    },
    /// One of two attempts of a request ended without a response; the other one continues.
    AttemptFailed {
        /// The request.
        request: RequestId,
        /// The ticket of the attempt's grant.
        ticket: TicketSeq,
        /// How the attempt ended.
        reason: ReleaseReason,
    },
    /// A running request made progress.
    Progress {
        /// The request.
        request: RequestId,
        /// The cost so far.
        cost: Cost,
        /// The time from dispatch to the first token, if one arrived.
        first_token_ms: Option<u32>,
        /// The mean time between recent tokens, if several arrived.
        token_gap_us: Option<u32>,
    },
    /// A dispatch ended.
    Finished {
        /// The request.
        request: RequestId,
        /// How the dispatch ended.
        reason: ReleaseReason,
        /// The final cost.
        cost: Cost,
        /// The time from dispatch to the first token, if one arrived.
        first_token_ms: Option<u32>,
        /// The mean time between tokens, if several arrived.
        token_gap_us: Option<u32>,
    },
    /// The caller of a queued request disconnected.
    CallerLeft(RequestId),
    /// This router begins to leave.
    Leave,
    /// The periodic timer fired.
    Tick,
}

/// An action that the caller performs for the node.
#[daisynotch_macros::value]
pub enum Output {
    /// Send a message to another router.
    Send {
        /// The router that receives the message.
        to: RouterId,
        /// The message.
        message: PeerMessage,
    },
    /// Send a request to an endpoint.
    Dispatch(Dispatch),
    /// Refuse a request that did not run.
    Refuse {
        /// The request.
        request: RequestId,
        /// Why the request is refused, and when the caller may retry.
        refusal: Refusal,
    },
}

/// One router without I/O.
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
    loopback: VecDeque<PeerMessage>,
    outputs: Vec<Output>,
    handled_at: Timestamp,
    leaving: bool,
}

impl Node {
    /// Creates a router that knows no objects and no peers.
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
            loopback: VecDeque::new(),
            outputs: Vec::new(),
            handled_at: now,
            leaving: false,
            settings,
        }
    }

    /// Returns the objects in force.
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// Returns the configuration actions that became due since the last call.
    ///
    /// They are separate from [`Output`] because they concern no request and have a single
    /// consumer.
    pub fn take_configuration_actions(&mut self) -> Vec<ConfigurationAction> {
        std::mem::take(&mut self.configuration)
    }

    /// Returns whether there are objects and, if not, why.
    pub fn configuration_state(&self) -> ConfigurationState {
        self.follower.state()
    }

    /// Returns the view of the live routers.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the schedulers that run on this router.
    pub fn schedulers(&self) -> &BTreeMap<ShardId, Scheduler> {
        &self.schedulers
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.entry.open_requests()
    }

    /// Returns whether a request has not ended yet.
    pub fn is_open(&self, request: RequestId) -> bool {
        self.entry.is_open(request)
    }

    /// Returns whether this router is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.membership.is_listed_leaving()
    }

    /// Admits a request or returns why it is refused, with the resulting outputs.
    pub fn admit(
        &mut self,
        spec: RequestSpec,
        now: Timestamp,
    ) -> (Result<RequestId, Refusal>, Vec<Output>) {
        self.detect_pause(now);
        let admitted = self.entry.admit(spec, &self.catalogue, now);
        if let Ok(request) = admitted {
            self.send_ticket(request, now);
        }
        (admitted, self.drain_outputs(now))
    }

    /// Handles an input and returns the resulting outputs.
    pub fn handle(&mut self, input: Input, now: Timestamp) -> Vec<Output> {
        self.detect_pause(now);
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
                self.apply_entry_events(event);
            }
            Input::AttemptFailed {
                request,
                ticket,
                reason,
            } => {
                let event = self.entry.on_attempt_failed(request, ticket, reason);
                self.apply_entry_events(event);
            }
            Input::HostList(hosts) => {
                let changes = self.membership.on_host_list(&hosts);
                self.apply_membership_changes(&changes, now);
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
                self.apply_entry_events(event);
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
                self.apply_entry_events(events);
                self.send_ticket(request, now);
            }
            Input::CallerLeft(request) => {
                let event = self.entry.on_caller_left(request);
                self.apply_entry_events(event);
            }
            Input::Leave => {
                self.leaving = true;
                self.membership.make_heartbeats_due(now);
                self.tick(now);
                self.on_placement_changed(now);
            }
            Input::Tick => self.tick(now),
        }
        self.drain_outputs(now)
    }

    fn drain_outputs(&mut self, now: Timestamp) -> Vec<Output> {
        while let Some(message) = self.loopback.pop_front() {
            self.on_message(self.settings.own.peer, message, now);
        }
        std::mem::take(&mut self.outputs)
    }

    fn on_message(&mut self, from: Peer, message: PeerMessage, now: Timestamp) {
        let is_current =
            self.membership.is_current(from) || is_seeded(SeededFault::AcceptLostEntry);
        if message.holds_capacity() && !is_current {
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
                    self.apply_scheduler_actions(actions);
                }
            }
            PeerMessage::Progress(progress) => {
                if let Some(scheduler) = self.scheduler_of_endpoint(progress.endpoint) {
                    scheduler.on_progress(from, &progress, now);
                }
            }
            PeerMessage::Grant(grant) => {
                let event = self.entry.on_grant(from, &grant, now);
                self.apply_entry_events([event]);
            }
            PeerMessage::NotScheduler { seqs, .. } => {
                self.entry.on_not_scheduler(from, &seqs, now);
            }
            PeerMessage::Query { endpoint, seq } => {
                let event = self.entry.on_query(from, seq, endpoint);
                self.apply_entry_events([event]);
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
                self.apply_configuration_actions(action);
            }
            PeerMessage::Service(_) | PeerMessage::Want(_) => {
                self.on_shard_message(from, &message, now);
            }
            PeerMessage::Forward(mut forward) => {
                // Nobody would release the slots of an entry that is gone.
                let membership = &self.membership;
                forward
                    .tickets
                    .retain(|forwarded| membership.is_current(forwarded.entry));
                self.on_shard_message(from, &PeerMessage::Forward(forward), now);
            }
            PeerMessage::ForwardedGrant(grant) => {
                let event = self.entry.on_forwarded_grant(from, &grant, now);
                self.apply_entry_events([event]);
            }
        }
    }

    /// Runs a step of a shard's scheduler if this router schedules the shard; otherwise replies
    /// [`PeerMessage::NotScheduler`].
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
        self.apply_scheduler_actions(actions);
    }

    /// Handles a message from another shard of a pool; drops it if this router does not schedule
    /// the receiving shard.
    fn on_shard_message(&mut self, from: Peer, message: &PeerMessage, now: Timestamp) {
        let Some(shard) = receiving_shard(message) else {
            return;
        };
        let own = self.settings.own.peer.router;
        let is_scheduled_here = self.membership.scheduler_of(shard) == Some(own);
        if !is_scheduled_here || !self.catalogue.shards_of(shard.pool).contains(&shard) {
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

    /// Returns the local scheduler of an endpoint, even if the endpoint was removed from the
    /// objects.
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
        self.apply_membership_changes(&changes, now);
        // Messages in transit on an earlier connection may be lost.
        let events = self.entry.resend_to(introduction.peer.router, now);
        self.apply_entry_events(events);
    }

    fn on_heartbeat(&mut self, from: Peer, heartbeat: &Heartbeat, now: Timestamp) {
        let changes = self.membership.on_heartbeat(from, heartbeat, now);
        self.apply_membership_changes(&changes, now);
    }

    fn apply_membership_changes(&mut self, changes: &Changes, now: Timestamp) {
        for change in changes {
            match change {
                MembershipChange::Placement => {}
                MembershipChange::Lost(peer) => self.on_entry_lost(*peer, now),
                MembershipChange::DeclaredLostByPeers => {
                    self.pause_grants_for(self.settings.scheduler.takeover_grace, now);
                    let events = self.entry.resend_all(now);
                    self.apply_entry_events(events);
                }
            }
        }
        if changes.contains(&MembershipChange::Placement) {
            self.on_placement_changed(now);
        }
        for change in changes {
            // A restarted router has lost everything that it received before.
            if let MembershipChange::Lost(peer) = change {
                let events = self.entry.resend_to(peer.router, now);
                self.apply_entry_events(events);
            }
        }
    }

    /// Suspends grants after a long pause of this router.
    ///
    /// Other routers may have taken over its shards meanwhile. Grants resume after two heartbeat
    /// intervals, by which time replies to its heartbeats have reported such a takeover.
    fn detect_pause(&mut self, now: Timestamp) {
        let paused = now.since(self.handled_at);
        self.handled_at = now;
        let is_alone = self.membership.members().len() == 1;
        if paused <= self.settings.membership.pause_after || is_alone {
            return;
        }
        self.membership.on_resumed(now);
        let takeover_notice_time = self.settings.membership.heartbeat_interval * 2;
        self.pause_grants_for(takeover_notice_time, now);
    }

    fn pause_grants_for(&mut self, pause: Duration, now: Timestamp) {
        for scheduler in self.schedulers.values_mut() {
            scheduler.pause_grants_until(now + pause);
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
        self.apply_entry_events(events);
        self.membership.make_heartbeats_due(now);
        self.tick(now);
    }

    fn on_entry_lost(&mut self, entry: Peer, now: Timestamp) {
        for scheduler in self.schedulers.values_mut() {
            scheduler.on_entry_lost(entry, now);
        }
    }

    /// Drops the schedulers of shards that moved to other routers and resends tickets whose
    /// shard has a new scheduler.
    fn on_placement_changed(&mut self, now: Timestamp) {
        let own = self.settings.own.peer.router;
        let membership = &self.membership;
        self.schedulers
            .retain(|shard, _| membership.scheduler_of(*shard) == Some(own));
        let events = self
            .entry
            .resend_to_new_schedulers(|shard| membership.scheduler_peer_of(shard), now);
        self.apply_entry_events(events);
    }

    fn tick(&mut self, now: Timestamp) {
        self.tick_configuration(now);
        let changes = self.membership.tick(now);
        self.apply_membership_changes(&changes, now);
        self.send_heartbeats(now);
        self.entry.set_routers(self.membership.members().len());
        let membership = &self.membership;
        let events = self
            .entry
            .tick(|shard| membership.scheduler_peer_of(shard), now);
        self.apply_entry_events(events);
        let shards: Vec<ShardId> = self.schedulers.keys().copied().collect();
        for shard in shards {
            let scheduler = self
                .schedulers
                .get_mut(&shard)
                .expect("the key was just listed");
            let actions = scheduler.tick(now);
            self.apply_scheduler_actions(actions);
        }
    }
}

/// Returns a seed that differs between routers and between incarnations.
fn seed_of(peer: Peer) -> u64 {
    peer.router.0 ^ peer.incarnation.0
}

/// Returns the shard that receives a message between shards.
fn receiving_shard(message: &PeerMessage) -> Option<ShardId> {
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
