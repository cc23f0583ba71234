//! A fleet of real router cores under a virtual clock and a simulated network.
//!
//! Each tick delivers heartbeats immediately, unless their sender or receiver is
//! paused or partitioned: routers detect a partition by missing heartbeats. Every
//! other message goes through the [`Network`], under the control of the schedule.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::{
    Catalogue, Cost, EndpointId, Input, Node, Output, Peer, PeerMessage, ReleaseReason, RequestId,
    Revision, RouterId, ShardId, TicketSeq, Timestamp,
};

use crate::invariants::{DispatchRecord, End, Invariant, RequestRecord, Violation, violation};
use crate::network::{InFlight, Network};
use crate::scenario::Scenario;

mod checks;

/// How far a tick advances the virtual clock.
pub(crate) const TICK: Duration = Duration::from_millis(500);
/// How long a pause or a partition lasts; longer than the heartbeat timeout for a lost router.
const OUTAGE: Duration = Duration::from_millis(3_000);
/// The delays of messages: beyond a grant's validity, and beyond a scheduler's query.
pub(crate) const DELAYS: [Duration; 2] =
    [Duration::from_millis(1_500), Duration::from_millis(6_000)];
/// How long an endpoint continues to work on a request after its entry crashed.
const ENDPOINT_DROPS_AFTER: Duration = Duration::from_millis(1_000);
/// The ticks within which a fleet without further faults must become quiet: several times the
/// queue timeout, a query and the hold time of a lost entry's slots.
const DRAIN_TICKS: u32 = 120;

/// Identifies one start of a shard's scheduler on one incarnation of a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SchedulerStart {
    pub(crate) peer: Peer,
    pub(crate) number: u32,
}

/// A router and the observations that the check compares it with.
struct Router {
    peer: Peer,
    node: Option<Node>,
    paused_until: Timestamp,
    revision: Revision,
    members: BTreeMap<RouterId, Peer>,
    /// How often each shard's scheduler started on this router, and whether it is running.
    schedulers: BTreeMap<ShardId, (u32, bool)>,
    /// When this router, as the entry, first sent each ticket to each router.
    sent: BTreeMap<(RouterId, TicketSeq), Timestamp>,
}

/// A step of a schedule. Messages, requests and routers are given by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Step {
    /// Delivers a message.
    Deliver(usize),
    /// Drops a message.
    Drop(usize),
    /// Delivers a message and leaves a copy in the network.
    Duplicate(usize),
    /// Delays a message by one of [`DELAYS`].
    Delay(usize, Duration),
    /// Advances the clock by [`TICK`].
    Tick,
    /// Ends the open dispatch of a request.
    Complete(usize, ReleaseReason),
    /// Closes the caller's connection of a request.
    CallerLeaves(usize),
    /// Crashes a router; it restarts without state at the next tick.
    Crash(usize),
    /// Pauses a router for [`OUTAGE`]; messages to it, except heartbeats, stay in the network.
    Pause(usize),
    /// Partitions two routers for [`OUTAGE`]; the messages between them are lost.
    Partition(usize, usize),
    /// Makes a router begin to leave.
    Leave(usize),
    /// Sends a router a configuration revision, which can be an old one.
    Configure(usize, u64),
}

/// The routers, the network and the requests of one scenario.
pub(crate) struct Fleet {
    scenario: Scenario,
    catalogues: Vec<Arc<Catalogue>>,
    routers: Vec<Router>,
    network: Network,
    partitions: BTreeMap<(usize, usize), Timestamp>,
    leaving: BTreeSet<usize>,
    requests: Vec<RequestRecord>,
    now: Timestamp,
    next_incarnation: u64,
    /// Whether every router still has its initial membership view.
    is_membership_unchanged: bool,
}

impl Fleet {
    /// Starts and connects all routers and admits the requests of the scenario.
    pub(crate) fn start(scenario: Scenario) -> Result<Self, Violation> {
        let catalogues = (1..=3)
            .map(|revision| scenario.catalogue(revision))
            .collect();
        let mut fleet = Self {
            scenario,
            catalogues,
            routers: Vec::new(),
            network: Network::default(),
            partitions: BTreeMap::new(),
            leaving: BTreeSet::new(),
            requests: Vec::new(),
            now: Timestamp(0),
            next_incarnation: 1,
            is_membership_unchanged: false,
        };
        for id in 1..=scenario.routers {
            fleet.routers.push(Router::new(RouterId(id)));
        }
        for index in 0..fleet.routers.len() {
            fleet.start_router(index)?;
        }
        fleet.tick()?;
        fleet.is_membership_unchanged = true;
        for (number, router) in scenario.requests.iter().enumerate() {
            fleet.admit(*router as usize, number)?;
        }
        Ok(fleet)
    }

    /// Returns the step of a run without faults: deliver, else complete, else tick.
    pub(crate) fn default_step(&self) -> Step {
        if let Some(index) = self.deliverable().first() {
            return Step::Deliver(*index);
        }
        match self.completable().first() {
            Some(request) => Step::Complete(*request, ReleaseReason::Done),
            None => Step::Tick,
        }
    }

    /// Returns every possible step other than the default one: faults and other orders.
    pub(crate) fn deviations(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let deliverable = self.deliverable();
        steps.extend(
            deliverable
                .iter()
                .skip(1)
                .map(|index| Step::Deliver(*index)),
        );
        for index in deliverable {
            steps.extend([Step::Drop(index), Step::Duplicate(index)]);
            steps.extend(DELAYS.map(|delay| Step::Delay(index, delay)));
        }
        for request in self.completable() {
            steps.extend(
                [
                    ReleaseReason::Done,
                    ReleaseReason::Unreachable,
                    ReleaseReason::Failed,
                ]
                .map(|reason| Step::Complete(request, reason)),
            );
        }
        steps.extend(self.waiting().map(Step::CallerLeaves));
        for (index, router) in self.routers.iter().enumerate() {
            if router.node.is_none() {
                continue;
            }
            steps.push(Step::Crash(index));
            steps.push(Step::Pause(index));
            if !self.leaving.contains(&index) {
                steps.push(Step::Leave(index));
            }
            steps.extend([1, 3].map(|revision| Step::Configure(index, revision)));
            steps
                .extend((index + 1..self.routers.len()).map(|other| Step::Partition(index, other)));
        }
        steps.push(Step::Tick);
        let default = self.default_step();
        steps.retain(|step| *step != default);
        steps
    }

    /// Runs one step and checks the invariants.
    pub(crate) fn run(&mut self, step: Step) -> Result<(), Violation> {
        match step {
            Step::Deliver(index) => {
                let message = self.network.remove(index);
                self.deliver(message)?;
            }
            Step::Drop(index) => {
                self.network.remove(index);
            }
            Step::Duplicate(index) => {
                let message = self.network.get(index).clone();
                self.deliver(message)?;
            }
            Step::Delay(index, delay) => self.network.delay(index, self.now + delay),
            Step::Tick => self.tick()?,
            Step::Complete(request, reason) => self.complete(request, reason)?,
            Step::CallerLeaves(request) => self.caller_leaves(request)?,
            Step::Crash(index) => self.crash(index),
            Step::Pause(index) => self.routers[index].paused_until = self.now + OUTAGE,
            Step::Partition(a, b) => self.partition(a, b),
            Step::Leave(index) => {
                self.leaving.insert(index);
                self.input(index, Input::Leave, None)?;
            }
            Step::Configure(index, revision) => {
                let catalogue = Arc::clone(&self.catalogues[revision as usize - 1]);
                self.input(index, Input::Configured(catalogue), None)?;
            }
        }
        self.check_over_admission()
    }

    /// Runs default steps until the fleet is quiet.
    pub(crate) fn drain(&mut self) -> Result<(), Violation> {
        for router in &mut self.routers {
            router.paused_until = self.now;
        }
        for _ in 0..DRAIN_TICKS {
            loop {
                match self.default_step() {
                    Step::Tick => break,
                    step => self.run(step)?,
                }
            }
            if self.is_quiet() {
                return Ok(());
            }
            self.run(Step::Tick)?;
        }
        self.check_quiet()
    }

    fn deliverable(&self) -> Vec<usize> {
        self.network
            .deliverable(self.now, |router| self.is_up(index_of(router)))
    }

    fn completable(&self) -> Vec<usize> {
        let is_open = |record: &RequestRecord| {
            record.open_dispatch().is_some()
                && record.end.is_none()
                && self.is_up(index_of(record.entry.router))
        };
        self.indexes(is_open).collect()
    }

    fn waiting(&self) -> impl Iterator<Item = usize> {
        self.indexes(|record| {
            record.end.is_none()
                && record.open_dispatch().is_none()
                && self.is_up(index_of(record.entry.router))
        })
    }

    fn indexes(&self, is_wanted: impl Fn(&RequestRecord) -> bool) -> impl Iterator<Item = usize> {
        let records = self.requests.iter().enumerate();
        records.filter_map(move |(index, record)| is_wanted(record).then_some(index))
    }

    fn is_up(&self, index: usize) -> bool {
        let router = &self.routers[index];
        router.node.is_some() && router.paused_until <= self.now
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.partitions.contains_key(&(a.min(b), a.max(b)))
    }

    fn start_router(&mut self, index: usize) -> Result<(), Violation> {
        let incarnation = self.next_incarnation;
        self.next_incarnation += 1;
        let settings = self
            .scenario
            .settings(RouterId(index as u64 + 1), incarnation);
        let peer = settings.own.peer;
        let router = &mut self.routers[index];
        *router = Router::new(peer.router);
        router.peer = peer;
        router.node = Some(Node::new(settings, self.now));
        let catalogue = Arc::clone(&self.catalogues[1]);
        self.input(index, Input::Configured(catalogue), None)?;
        for other in 0..self.routers.len() {
            if other != index && !self.is_partitioned(index, other) {
                self.connect(index, other)?;
            }
        }
        Ok(())
    }

    fn connect(&mut self, a: usize, b: usize) -> Result<(), Violation> {
        for (index, other) in [(a, b), (b, a)] {
            let peer = self.routers[other].peer;
            if self.routers[index].node.is_some() && self.routers[other].node.is_some() {
                let introduction = self.scenario.introduction(peer.router, peer.incarnation.0);
                self.input(index, Input::Connected(introduction), None)?;
            }
        }
        Ok(())
    }

    /// Reconnects routers that removed each other, as redialled links do.
    fn reconnect(&mut self) -> Result<(), Violation> {
        for a in 0..self.routers.len() {
            for b in a + 1..self.routers.len() {
                let knows = |a: usize, b: usize| {
                    self.routers[a].members.get(&self.routers[b].peer.router)
                        == Some(&self.routers[b].peer)
                };
                if self.is_up(a)
                    && self.is_up(b)
                    && !self.is_partitioned(a, b)
                    && !(knows(a, b) && knows(b, a))
                {
                    self.connect(a, b)?;
                }
            }
        }
        Ok(())
    }

    fn admit(&mut self, index: usize, number: usize) -> Result<(), Violation> {
        let spec = self.scenario.spec(&self.catalogues[1], number);
        let router = &mut self.routers[index];
        let entry = router.peer;
        let node = router
            .node
            .as_mut()
            .expect("requests are sent before anything fails");
        let (admitted, outputs) = node.admit(spec, self.now);
        let id = admitted.expect("the queues are empty");
        self.requests.push(RequestRecord {
            entry,
            id,
            dispatches: Vec::new(),
            end: None,
        });
        self.outputs(index, outputs, None)
    }

    fn deliver(&mut self, message: InFlight) -> Result<(), Violation> {
        let index = index_of(message.to.router);
        if let PeerMessage::Grant(grant) = &message.message {
            let sent = self.routers[index]
                .sent
                .get(&(message.from.router, grant.seq));
            let valid = Duration::from_millis(grant.valid_after_sent_ms);
            let is_valid = sent.is_some_and(|sent| self.now.since(*sent) < valid);
            if !is_valid {
                return self.deliver_invalid_grant(index, message);
            }
        }
        let input = Input::Message {
            from: message.from,
            message: message.message,
        };
        self.input(index, input, message.granted_by)
    }

    fn deliver_invalid_grant(&mut self, index: usize, message: InFlight) -> Result<(), Violation> {
        let count = |fleet: &Self| {
            fleet
                .requests
                .iter()
                .map(|record| record.dispatches.len())
                .sum::<usize>()
        };
        let before = count(self);
        let seen = format!("{message:?} at {:?}", self.now);
        let input = Input::Message {
            from: message.from,
            message: message.message,
        };
        self.input(index, input, message.granted_by)?;
        if count(self) > before {
            return violation(Invariant::GrantValidity, &seen);
        }
        Ok(())
    }

    fn complete(&mut self, number: usize, reason: ReleaseReason) -> Result<(), Violation> {
        let record = &mut self.requests[number];
        let dispatch = record.dispatches.last_mut().expect("the dispatch is open");
        dispatch.ended = Some(reason);
        if reason != ReleaseReason::Unreachable {
            record.end = Some(End::Completed);
        }
        let input = Input::Finished {
            request: record.id,
            reason,
            cost: Cost(10),
            first_token_ms: None,
            token_gap_us: None,
        };
        let index = index_of(record.entry.router);
        self.input(index, input, None)
    }

    fn caller_leaves(&mut self, number: usize) -> Result<(), Violation> {
        let record = &mut self.requests[number];
        record.end = Some(End::CallerLeft);
        let input = Input::CallerLeft(record.id);
        let index = index_of(record.entry.router);
        self.input(index, input, None)
    }

    fn crash(&mut self, index: usize) {
        let router = &mut self.routers[index];
        router.node = None;
        router.paused_until = Timestamp(0);
        self.network.drop_to(router.peer);
        self.leaving.remove(&index);
        let dropped_at = self.now + ENDPOINT_DROPS_AFTER;
        for record in &mut self.requests {
            if record.entry == router.peer && record.end.is_none() {
                record.end = Some(End::RouterLost);
                let open = record
                    .dispatches
                    .iter_mut()
                    .filter(|dispatch| dispatch.ended.is_none());
                open.for_each(|dispatch| dispatch.dropped_at = Some(dropped_at));
            }
        }
    }

    fn partition(&mut self, a: usize, b: usize) {
        self.partitions.insert((a, b), self.now + OUTAGE);
        self.network
            .drop_between(self.routers[a].peer.router, self.routers[b].peer.router);
    }

    fn tick(&mut self) -> Result<(), Violation> {
        self.now = self.now + TICK;
        let now = self.now;
        self.partitions.retain(|_, until| *until > now);
        for index in 0..self.routers.len() {
            if self.routers[index].node.is_none() {
                self.start_router(index)?;
            }
        }
        self.reconnect()?;
        for index in 0..self.routers.len() {
            if self.is_up(index) {
                self.input(index, Input::Tick, None)?;
            }
        }
        Ok(())
    }

    fn input(
        &mut self,
        index: usize,
        input: Input,
        granted_by: Option<SchedulerStart>,
    ) -> Result<(), Violation> {
        let Some(node) = self.routers[index].node.as_mut() else {
            return Ok(());
        };
        let outputs = node.handle(input, self.now);
        self.outputs(index, outputs, granted_by)
    }

    fn outputs(
        &mut self,
        index: usize,
        outputs: Vec<Output>,
        granted_by: Option<SchedulerStart>,
    ) -> Result<(), Violation> {
        self.observe(index)?;
        let own = self.scheduler_start(index);
        let mut heartbeats = Vec::new();
        for output in outputs {
            match output {
                Output::Send {
                    to,
                    message: PeerMessage::Heartbeat(heartbeat),
                } => heartbeats.push((to, heartbeat)),
                Output::Send { to, message } => self.send(index, to, message, own),
                Output::Dispatch(dispatch) => {
                    let granted_by = granted_by.unwrap_or(own);
                    self.dispatched(index, dispatch.request, dispatch.endpoint, granted_by)?;
                }
                Output::Refuse { request, .. } => self.record(index, request).refuse()?,
            }
        }
        for (to, heartbeat) in heartbeats {
            let other = index_of(to);
            if self.is_up(other) && !self.is_partitioned(index, other) {
                let from = self.routers[index].peer;
                let message = PeerMessage::Heartbeat(heartbeat);
                self.input(other, Input::Message { from, message }, None)?;
            }
        }
        Ok(())
    }

    fn send(&mut self, index: usize, to: RouterId, message: PeerMessage, own: SchedulerStart) {
        let other = index_of(to);
        if self.is_partitioned(index, other) || self.routers[other].node.is_none() {
            return;
        }
        if let PeerMessage::Ticket(ticket) = &message {
            self.routers[index]
                .sent
                .entry((to, ticket.seq))
                .or_insert(self.now);
        }
        let granted_by = matches!(message, PeerMessage::Grant(_)).then_some(own);
        self.network.push(InFlight {
            from: self.routers[index].peer,
            to: self.routers[other].peer,
            message,
            due: self.now,
            granted_by,
        });
    }

    fn dispatched(
        &mut self,
        index: usize,
        request: RequestId,
        endpoint: EndpointId,
        granted_by: SchedulerStart,
    ) -> Result<(), Violation> {
        self.record(index, request).dispatch(DispatchRecord {
            endpoint,
            granted_by,
            ended: None,
            dropped_at: None,
            is_entry_presumed_lost: false,
        })
    }

    fn record(&mut self, index: usize, id: RequestId) -> &mut RequestRecord {
        let entry = self.routers[index].peer;
        let mut records = self.requests.iter_mut();
        let record = records.find(|record| record.entry == entry && record.id == id);
        record.expect("a router's outputs name only requests that it admitted")
    }

    fn scheduler_start(&self, index: usize) -> SchedulerStart {
        let router = &self.routers[index];
        SchedulerStart {
            peer: router.peer,
            number: router.schedulers.values().map(|(starts, _)| starts).sum(),
        }
    }
}

impl Router {
    fn new(router: RouterId) -> Self {
        Self {
            peer: Peer {
                router,
                incarnation: daisynotch_core::Incarnation(0),
            },
            node: None,
            paused_until: Timestamp(0),
            revision: Revision::default(),
            members: BTreeMap::new(),
            schedulers: BTreeMap::new(),
            sent: BTreeMap::new(),
        }
    }
}

fn index_of(router: RouterId) -> usize {
    router.0 as usize - 1
}
