//! Runs two routers under a virtual clock and records a transcript of their actions.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::{
    Catalogue, Cost, Incarnation, Input, Introduction, LengthClass, MembershipSettings, Node,
    NodeSettings, Output, Peer, PeerMessage, ReleaseReason, RequestId, RequestSpec, Revision,
    RouterId, SchedulerSettings, ShardId, Timestamp, ZoneId, ZoneName,
};

/// The network latency of a message.
const LATENCY: Duration = Duration::from_millis(1);
/// The interval between the ticks of each router.
const TICK_MS: u64 = 100;

const OBJECTS: &str = r#"
    [team.kaolack-1]

    [pool.conseil-lm]
    kind = "plain"
    slots = 1

    [endpoint.conseil-1]
    pool = "conseil-lm"
    zone = "fatick"
    address = "127.0.0.1:9"
"#;

struct InFlight {
    due: Timestamp,
    from: Peer,
    to: RouterId,
    message: PeerMessage,
}

/// A session of two routers that share one endpoint with one slot.
pub(crate) struct Session {
    catalogue: Arc<Catalogue>,
    nodes: BTreeMap<RouterId, Node>,
    messages: VecDeque<InFlight>,
    running: BTreeSet<(RouterId, RequestId)>,
    now: Timestamp,
    text: String,
}

impl Session {
    /// Starts and connects both routers.
    pub(crate) fn start() -> Self {
        let objects = OBJECTS.parse().expect("the objects are valid");
        let mut session = Self {
            catalogue: Arc::new(Catalogue::new(Revision(1), &objects)),
            nodes: BTreeMap::new(),
            messages: VecDeque::new(),
            running: BTreeSet::new(),
            now: Timestamp(0),
            text: String::new(),
        };
        for router in [1, 2].map(RouterId) {
            let node = Node::new(settings(router), session.now);
            session.nodes.insert(router, node);
            let catalogue = Arc::clone(&session.catalogue);
            session.input(router, Input::Configured(catalogue));
        }
        for (router, other) in [(1, 2), (2, 1)] {
            let introduction = settings(RouterId(other)).own;
            session.input(RouterId(router), Input::Connected(introduction));
        }
        session.run_ms(200);
        session
    }

    /// Returns the router that schedules the only shard.
    pub(crate) fn scheduler(&self) -> RouterId {
        let pool = *self.catalogue.pools.keys().next().expect("there is a pool");
        let shard: ShardId = self.catalogue.shards_of(pool)[0];
        let node = self.nodes.values().next().expect("a router is running");
        let scheduler = node.membership().scheduler_of(shard);
        scheduler.expect("a router is running")
    }

    /// Returns the router other than the given one.
    pub(crate) fn other_than(&self, router: RouterId) -> RouterId {
        RouterId(3 - router.0)
    }

    /// Adds a remark to the transcript.
    pub(crate) fn note(&mut self, text: &str) {
        self.line(format_args!("# {text}"));
    }

    /// Admits a caller's request at a router.
    pub(crate) fn admit(&mut self, router: RouterId) -> RequestId {
        let spec = RequestSpec {
            team: *self.catalogue.teams.keys().next().expect("there is a team"),
            pool: *self.catalogue.pools.keys().next().expect("there is a pool"),
            hint: Cost(10),
            class: LengthClass::Short,
            prefix: None,
            idempotent: true,
        };
        let node = self.nodes.get_mut(&router).expect("the router is running");
        let (admitted, outputs) = node.admit(spec, self.now);
        let request = admitted.expect("the queue has room");
        self.line(format_args!("router {router}: admits request {request}"));
        self.outputs(router, outputs);
        request
    }

    /// Ends a dispatch; panics if it is not open.
    pub(crate) fn finish(&mut self, router: RouterId, request: RequestId, reason: ReleaseReason) {
        let was_running = self.running.remove(&(router, request));
        assert!(
            was_running,
            "request {request} is not running:\n{}",
            self.text
        );
        self.line(format_args!(
            "router {router}: request {request} ended: {reason:?}"
        ));
        let input = Input::Finished {
            request,
            reason,
            cost: Cost(10),
            first_token_ms: None,
            token_gap_us: None,
        };
        self.input(router, input);
    }

    /// Stops a router permanently.
    pub(crate) fn crash(&mut self, router: RouterId) {
        self.nodes.remove(&router);
        self.line(format_args!("router {router}: gone"));
    }

    /// Passes an input to a router, unless it has crashed.
    pub(crate) fn input(&mut self, router: RouterId, input: Input) {
        if let Some(node) = self.nodes.get_mut(&router) {
            let outputs = node.handle(input, self.now);
            self.outputs(router, outputs);
        }
    }

    /// Advances the clock, with a tick of each router every [`TICK_MS`].
    pub(crate) fn run_ms(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms {
            self.now = self.now + Duration::from_millis(1);
            while self
                .messages
                .front()
                .is_some_and(|message| message.due <= self.now)
            {
                let message = self.messages.pop_front().expect("the queue is not empty");
                let input = Input::Message {
                    from: message.from,
                    message: message.message,
                };
                self.input(message.to, input);
            }
            let now_ms = self.now.0 / 1_000;
            if now_ms.is_multiple_of(TICK_MS) {
                for router in [1, 2].map(RouterId) {
                    self.input(router, Input::Tick);
                }
            }
        }
    }

    /// Adds each router's open requests, tickets and slots to the transcript.
    pub(crate) fn status(&mut self) {
        let lines: Vec<String> = self
            .nodes
            .iter()
            .map(|(router, node)| {
                let schedulers = node.schedulers().values();
                let held: usize = schedulers
                    .map(|scheduler| scheduler.granted_count() + scheduler.waiting_count())
                    .sum();
                let open = node.open_requests();
                let leaving = if node.is_leaving() { ", leaving" } else { "" };
                format!("router {router}: {open} open requests, {held} tickets and slots{leaving}")
            })
            .collect();
        for line in lines {
            self.line(format_args!("{line}"));
        }
    }

    /// Returns the transcript.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    fn outputs(&mut self, router: RouterId, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(router, to, message),
                Output::Dispatch(dispatch) => {
                    self.running.insert((router, dispatch.request));
                    self.line(format_args!(
                        "router {router}: dispatches request {} under ticket {}",
                        dispatch.request, dispatch.ticket
                    ));
                }
                Output::Refuse { request, refusal } => self.line(format_args!(
                    "router {router}: refuses request {request}, not run: {:?}",
                    refusal.reason
                )),
            }
        }
    }

    fn send(&mut self, router: RouterId, to: RouterId, message: PeerMessage) {
        if let Some(text) = describe(&message) {
            self.line(format_args!("router {router} to {to}: {text}"));
        }
        self.messages.push_back(InFlight {
            due: self.now + LATENCY,
            from: settings(router).own.peer,
            to,
            message,
        });
    }

    fn line(&mut self, line: std::fmt::Arguments<'_>) {
        let now_ms = self.now.0 / 1_000;
        writeln!(self.text, "{now_ms:>6} ms  {line}").expect("writing to a string succeeds");
    }
}

fn settings(router: RouterId) -> NodeSettings {
    let zone: ZoneName = "fatick".parse().expect("the name is valid");
    NodeSettings {
        own: Introduction {
            peer: Peer {
                router,
                incarnation: Incarnation(1),
            },
            zone: ZoneId::from(&zone),
            caller_address: "127.0.0.1:9".parse().expect("the address is valid"),
            peer_address: "127.0.0.1:9".parse().expect("the address is valid"),
        },
        membership: MembershipSettings::default(),
        scheduler: SchedulerSettings::default(),
    }
}

/// Describes a message about a request; returns `None` for other messages.
fn describe(message: &PeerMessage) -> Option<String> {
    Some(match message {
        PeerMessage::Ticket(ticket) => format!("ticket {}", ticket.seq),
        PeerMessage::Withdraw { seq, .. } => format!("ticket {seq} is no longer wanted"),
        PeerMessage::Grant(grant) => format!(
            "grant for ticket {}, good for {} ms from its sending",
            grant.seq, grant.valid_after_sent_ms
        ),
        PeerMessage::NotScheduler { seqs, .. } => format!("not the scheduler, tickets {seqs:?}"),
        PeerMessage::Release(release) => {
            format!(
                "slot of ticket {} is free: {:?}",
                release.seq, release.reason
            )
        }
        PeerMessage::Progress(progress) => format!("ticket {} goes on", progress.seq),
        PeerMessage::Running(running) => format!("ticket {} is running", running.seq),
        PeerMessage::Query { seq, .. } => format!("what became of ticket {seq}?"),
        _ => return None,
    })
}
