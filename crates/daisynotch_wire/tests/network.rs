//! Simulates the cores of several routers on a network that drops and delays messages.
//!
//! Virtual time advances in fixed steps, and every random choice derives from a seed. Cargo
//! also builds this file as a test target of its own; test files that use it declare it as
//! a module.
#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "each test file uses a part of this module"
)]

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use daisynotch_core::{
    Catalogue, Cost, EndpointId, Heartbeat, Incarnation, Input, Introduction, LengthClass,
    MemberState, MemberVersion, MembershipSettings, Node, NodeSettings, Output, Peer, PeerMessage,
    ReleaseReason, RequestId, RequestSpec, Revision, RouterId, Rumor, SchedulerSettings, ShardId,
    Timestamp, ViewDigest, ZoneId,
};
use daisynotch_wire::{Frame, FrameCodec};
use tokio_util::codec::Encoder;

/// One-way latency of a message, without jitter.
const LATENCY: Duration = Duration::from_millis(1);
/// Upper bound of the random jitter that is added to [`LATENCY`].
const JITTER_US: u64 = 500;
/// How long a request runs at an endpoint.
const RUN_DURATION: Duration = Duration::from_millis(300);

#[derive(Debug)]
enum Delivery {
    Input {
        to: usize,
        input: Box<Input>,
    },
    RunEnds {
        at: usize,
        request: RequestId,
        run: u64,
    },
}

#[derive(Debug)]
struct Run {
    entry: usize,
    endpoint: EndpointId,
}

#[derive(Debug, Default)]
struct Host {
    node: Option<Node>,
    incarnation: u64,
    paused: bool,
    backlog: Vec<Input>,
    sent_bytes: u64,
    open_requests: usize,
}

/// The simulated routers, the links between them and the work at their endpoints.
pub struct Network {
    now: Timestamp,
    step: Duration,
    zones: usize,
    catalogue: Arc<Catalogue>,
    hosts: Vec<Host>,
    queue: BTreeMap<(Timestamp, u64), Delivery>,
    sequence: u64,
    random: u64,
    links: HashSet<(usize, usize)>,
    blocked: HashSet<(usize, usize)>,
    runs: HashMap<u64, Run>,
    running: BTreeMap<EndpointId, u32>,
    /// Largest number of requests that an endpoint ran beyond its slots since the last reset.
    pub over_admitted: u32,
    /// Requests dispatched to endpoints since the last reset.
    pub dispatched: u64,
    /// Number of requests that each router keeps open at the same time.
    pub open_requests_per_router: usize,
}

impl Network {
    /// Starts routers that already know one another, spread evenly over the zones.
    pub fn start(routers: usize, zones: usize, objects: &str, seed: u64, step: Duration) -> Self {
        let objects = objects.parse().expect("the objects parse");
        let mut network = Self {
            now: Timestamp(1_000_000),
            step,
            zones,
            catalogue: Arc::new(Catalogue::new(Revision(1), &objects)),
            hosts: Vec::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            random: seed | 1,
            links: HashSet::new(),
            blocked: HashSet::new(),
            runs: HashMap::new(),
            running: BTreeMap::new(),
            over_admitted: 0,
            dispatched: 0,
            open_requests_per_router: 0,
        };
        network.hosts.resize_with(routers, Host::default);
        for router in 0..routers {
            network.start_router(router);
        }
        let all_alive: Vec<Rumor> = (0..routers).map(|router| network.alive(router)).collect();
        for router in 0..routers {
            network.deliver_view(router, &all_alive);
        }
        network
    }

    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Advances the virtual time by at least `duration`.
    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.advance();
        }
    }

    /// Advances the virtual time until a condition holds and returns how long that took.
    pub fn run_until(&mut self, timeout: Duration, holds: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !holds(self) {
            let taken = self.now.since(start);
            assert!(
                taken < timeout,
                "the condition did not hold within {timeout:?}"
            );
            self.advance();
        }
        self.now.since(start)
    }

    pub fn crash(&mut self, router: usize) {
        let host = &mut self.hosts[router];
        host.node = None;
        host.paused = false;
        host.backlog.clear();
        host.open_requests = 0;
        self.drop_links_of(router);
        // The crash closes the router's connections to endpoints, which ends their requests.
        let ended: Vec<u64> = self
            .runs
            .iter()
            .filter(|(_, run)| run.entry == router)
            .map(|(id, _)| *id)
            .collect();
        for run in ended {
            self.end_run(run);
        }
    }

    /// Restarts a router at the same address; it knows only the router `other`.
    pub fn restart(&mut self, router: usize, other: usize) {
        self.start_router(router);
        self.connect(router, other);
    }

    pub fn pause(&mut self, router: usize) {
        self.hosts[router].paused = true;
    }

    pub fn resume(&mut self, router: usize) {
        self.hosts[router].paused = false;
        for input in std::mem::take(&mut self.hosts[router].backlog) {
            self.handle_input(router, input);
        }
    }

    /// Drops the messages from one router to another, but not those in the other direction.
    pub fn block(&mut self, from: usize, to: usize) {
        self.blocked.insert((from, to));
    }

    /// Partitions the network between the routers before `first` and the rest.
    pub fn split(&mut self, first: usize) {
        for left in 0..first {
            for right in first..self.hosts.len() {
                self.block(left, right);
                self.block(right, left);
            }
        }
    }

    pub fn heal(&mut self) {
        for (from, to) in std::mem::take(&mut self.blocked) {
            self.links.remove(&(from.min(to), from.max(to)));
        }
    }

    pub fn leave(&mut self, router: usize) {
        self.handle_input(router, Input::Leave);
    }

    pub fn handle_input_on_all(&mut self, input: &Input) {
        for router in 0..self.hosts.len() {
            self.handle_input(router, input.clone());
        }
    }

    pub fn node(&self, router: usize) -> &Node {
        self.hosts[router]
            .node
            .as_ref()
            .expect("the router is running")
    }

    pub fn id(router: usize) -> RouterId {
        RouterId(router as u64 + 1)
    }

    /// Returns the routers that are running and not paused.
    pub fn live(&self) -> Vec<usize> {
        let is_live = |host: &Host| host.node.is_some() && !host.paused;
        let hosts = self.hosts.iter().enumerate();
        hosts
            .filter(|(_, host)| is_live(host))
            .map(|(router, _)| router)
            .collect()
    }

    fn shards(&self) -> Vec<ShardId> {
        let pools = self.catalogue.pools.keys();
        pools
            .flat_map(|pool| self.catalogue.shards_of(*pool))
            .collect()
    }

    /// Reports whether `routers` agree, for each shard, on one of them as its scheduler.
    pub fn agree_on_schedulers(&self, routers: &[usize]) -> bool {
        let ids: BTreeSet<RouterId> = routers.iter().map(|router| Self::id(*router)).collect();
        self.shards().into_iter().all(|shard| {
            let choice = |router: &usize| self.node(*router).membership().scheduler_of(shard);
            let choices: BTreeSet<Option<RouterId>> = routers.iter().map(choice).collect();
            choices.len() == 1
                && choices
                    .first()
                    .expect("there is exactly one choice")
                    .is_some_and(|id| ids.contains(&id))
        })
    }

    /// Reports whether all live routers agree on the schedulers and know exactly one another.
    pub fn has_converged(&self) -> bool {
        let live = self.live();
        let ids: Vec<RouterId> = live.iter().map(|router| Self::id(*router)).collect();
        let knows_all = |router: &usize| {
            let members = self.node(*router).membership().members();
            members.keys().copied().eq(ids.iter().copied())
        };
        live.iter().all(knows_all) && self.agree_on_schedulers(&live)
    }

    pub fn sent_bytes(&self) -> Vec<u64> {
        self.hosts.iter().map(|host| host.sent_bytes).collect()
    }

    pub fn reset_counters(&mut self) {
        self.hosts.iter_mut().for_each(|host| host.sent_bytes = 0);
        self.over_admitted = 0;
        self.dispatched = 0;
    }

    fn start_router(&mut self, router: usize) {
        self.hosts[router].incarnation += 1;
        let settings = NodeSettings {
            own: self.introduction(router),
            membership: MembershipSettings::default(),
            scheduler: SchedulerSettings::default(),
        };
        let mut node = Node::new(settings, self.now);
        node.handle(Input::Configured(Arc::clone(&self.catalogue)), self.now);
        self.hosts[router].node = Some(node);
    }

    fn introduction(&self, router: usize) -> Introduction {
        Introduction {
            peer: Peer {
                router: Self::id(router),
                incarnation: Incarnation(self.hosts[router].incarnation),
            },
            zone: self.zone(router),
            caller_address: "127.0.0.1:9".parse().expect("the address is valid"),
            peer_address: "127.0.0.1:10".parse().expect("the address is valid"),
        }
    }

    fn zone(&self, router: usize) -> ZoneId {
        let name = format!("zone-{}", router % self.zones);
        ZoneId::from(&name.parse().expect("the zone name is valid"))
    }

    fn alive(&self, router: usize) -> Rumor {
        Rumor::Alive(MemberState {
            introduction: self.introduction(router),
            version: MemberVersion(0),
            leaving: false,
        })
    }

    /// Delivers a full view to a router in one heartbeat from a peer that is not a member.
    fn deliver_view(&mut self, router: usize, all_alive: &[Rumor]) {
        let heartbeat = Heartbeat {
            revision: Revision(1),
            leaving: false,
            open_requests: 0,
            version: MemberVersion(0),
            hears_you: true,
            wants_answer: false,
            wants_view: false,
            digest: ViewDigest(0),
            rumors: all_alive.to_vec(),
        };
        let from = Peer {
            router: RouterId(u64::MAX),
            incarnation: Incarnation(0),
        };
        let message = PeerMessage::Heartbeat(heartbeat);
        self.handle_input(router, Input::Message { from, message });
    }

    fn advance(&mut self) {
        self.now = self.now + self.step;
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Delivery::Input { to, input } => self.handle_input(to, *input),
                Delivery::RunEnds { at, request, run } => {
                    if self.end_run(run) {
                        self.finish(at, request);
                    }
                }
            }
        }
        for router in self.live() {
            self.handle_input(router, Input::Tick);
            while self.hosts[router].open_requests < self.open_requests_per_router {
                self.admit(router);
            }
        }
    }

    fn handle_input(&mut self, router: usize, input: Input) {
        let host = &mut self.hosts[router];
        if host.paused {
            host.backlog.push(input);
            return;
        }
        let Some(node) = &mut host.node else {
            return;
        };
        let outputs = node.handle(input, self.now);
        self.run_outputs(router, outputs);
    }

    fn admit(&mut self, router: usize) {
        let team = *self.catalogue.teams.keys().next().expect("there is a team");
        let pool = *self.catalogue.pools.keys().next().expect("there is a pool");
        let spec = RequestSpec {
            team,
            pool,
            hint: Cost(1),
            class: LengthClass::Short,
            prefix: None,
            idempotent: true,
        };
        let host = &mut self.hosts[router];
        host.open_requests += 1;
        let node = host.node.as_mut().expect("a live router is running");
        let (_, outputs) = node.admit(spec, self.now);
        self.run_outputs(router, outputs);
    }

    fn finish(&mut self, router: usize, request: RequestId) {
        let input = Input::Finished {
            request,
            reason: ReleaseReason::Done,
            cost: Cost(1),
            first_token_ms: None,
            token_gap_us: None,
        };
        self.hosts[router].open_requests = self.hosts[router].open_requests.saturating_sub(1);
        self.handle_input(router, input);
    }

    fn run_outputs(&mut self, router: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(router, to, message),
                Output::Dispatch(dispatch) => {
                    self.start_run(router, dispatch.request, dispatch.endpoint);
                }
                Output::Refuse { .. } => self.hosts[router].open_requests -= 1,
                #[allow(unreachable_patterns, reason = "other outputs concern no other router")]
                _ => {}
            }
        }
    }

    fn start_run(&mut self, entry: usize, request: RequestId, endpoint: EndpointId) {
        self.dispatched += 1;
        let pool = self.catalogue.endpoints[&endpoint].pool;
        let slots = self.catalogue.pools[&pool].slots;
        let running = self.running.entry(endpoint).or_default();
        *running += 1;
        self.over_admitted = self.over_admitted.max(running.saturating_sub(slots));
        let run = self.next_sequence();
        self.runs.insert(run, Run { entry, endpoint });
        let ends = Delivery::RunEnds {
            at: entry,
            request,
            run,
        };
        self.deliver(self.now + RUN_DURATION, ends);
    }

    fn end_run(&mut self, run: u64) -> bool {
        let Some(run) = self.runs.remove(&run) else {
            return false;
        };
        *self
            .running
            .get_mut(&run.endpoint)
            .expect("the endpoint has a running request") -= 1;
        true
    }

    fn send(&mut self, from: usize, to: RouterId, message: PeerMessage) {
        let Some(to) = usize::try_from(to.0).ok().and_then(|id| id.checked_sub(1)) else {
            return;
        };
        if to >= self.hosts.len() {
            return;
        }
        if !self.links.contains(&(from.min(to), from.max(to))) {
            self.connect(from, to);
            return;
        }
        self.hosts[from].sent_bytes += encoded_len(&message);
        if self.blocked.contains(&(from, to)) || self.hosts[to].node.is_none() {
            return;
        }
        let peer = self.introduction(from).peer;
        let message = Input::Message {
            from: peer,
            message,
        };
        self.deliver_input(to, message);
    }

    /// Connects two routers if neither direction is blocked and the other router responds.
    fn connect(&mut self, from: usize, to: usize) {
        let is_cut = self.blocked.contains(&(from, to)) || self.blocked.contains(&(to, from));
        if is_cut || self.hosts[to].node.is_none() || self.hosts[to].paused {
            return;
        }
        self.links.insert((from.min(to), from.max(to)));
        let (from_introduction, to_introduction) = (self.introduction(from), self.introduction(to));
        self.deliver_input(from, Input::Connected(to_introduction));
        self.deliver_input(to, Input::Connected(from_introduction));
    }

    fn drop_links_of(&mut self, router: usize) {
        self.links
            .retain(|(first, second)| *first != router && *second != router);
    }

    fn deliver_input(&mut self, to: usize, input: Input) {
        let jitter = Duration::from_micros(self.next_random() % JITTER_US);
        let input = Box::new(input);
        self.deliver(self.now + LATENCY + jitter, Delivery::Input { to, input });
    }

    fn deliver(&mut self, at: Timestamp, delivery: Delivery) {
        let sequence = self.next_sequence();
        self.queue.insert((at, sequence), delivery);
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    /// Advances the xorshift generator and returns its next value.
    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }
}

/// Returns the length in bytes of a frame that holds only this message.
fn encoded_len(message: &PeerMessage) -> u64 {
    let mut buffer = BytesMut::new();
    let frame = Frame::Messages(vec![message.clone()]);
    let encoded = FrameCodec::default().encode(&frame, &mut buffer);
    encoded.expect("one message fits a frame");
    buffer.len() as u64
}

/// Returns configuration objects with one team, and one pool with an endpoint in each zone.
pub fn objects(zones: usize, slots: u32) -> String {
    let mut text =
        format!("[team.kaolack-1]\n[pool.conseil-lm]\nkind = \"inference\"\nslots = {slots}\n");
    for zone in 0..zones {
        text += &format!(
            "[endpoint.conseil-{zone}]\npool = \"conseil-lm\"\nzone = \"zone-{zone}\"\naddress = \"127.0.0.1:9\"\n"
        );
    }
    text
}
