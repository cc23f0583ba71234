//! The task that owns the core.
//!
//! Everything that happens reaches the core through one channel, so decisions
//! need no locks. The task ends when every [`CoreHandle`] is gone.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

use daisynotch_core::{
    Catalogue, Dispatch, Input, Member, Node, Output, PeerMessage, Refusal, RequestId, RequestSpec,
    RouterId, ShardId,
};
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::metrics::Metrics;

/// What the core decided about an open request.
#[derive(Debug)]
pub(crate) enum Decision {
    /// Send it to an endpoint.
    Dispatch(Dispatch),
    /// Tell the caller that it did not run.
    Refuse(Refusal),
}

/// A request that the core accepted.
#[derive(Debug)]
pub(crate) struct Admitted {
    /// Its number.
    pub(crate) request: RequestId,
    /// What the core decides about it, until it ends.
    pub(crate) decisions: mpsc::UnboundedReceiver<Decision>,
}

/// What an operator may ask a router about itself.
#[derive(Debug, Clone)]
pub(crate) struct NodeStatus {
    pub(crate) members: Vec<(RouterId, Member)>,
    pub(crate) shards: Vec<ShardStatus>,
    pub(crate) open_requests: usize,
    pub(crate) is_leaving: bool,
}

/// The state of one shard that is scheduled here.
#[derive(Debug, Clone)]
pub(crate) struct ShardStatus {
    pub(crate) shard: ShardId,
    pub(crate) waiting: usize,
    pub(crate) granted: usize,
}

enum Command {
    Admit {
        spec: RequestSpec,
        reply: oneshot::Sender<Result<Admitted, Refusal>>,
    },
    Input(Input),
    Status(oneshot::Sender<NodeStatus>),
}

/// Talks to the core's task.
#[derive(Debug, Clone)]
pub(crate) struct CoreHandle {
    commands: mpsc::UnboundedSender<Command>,
    catalogue: Arc<RwLock<Arc<Catalogue>>>,
}

/// Something for the connections to other routers.
#[derive(Debug)]
pub(crate) enum Outgoing {
    /// A message for a router.
    Message {
        to: RouterId,
        /// Where it listens, as far as membership knows.
        address: Option<SocketAddr>,
        message: PeerMessage,
    },
    /// The routers that the host list names.
    Seeds(Vec<(RouterId, SocketAddr)>),
}

impl CoreHandle {
    /// Starts the task; messages for other routers go to `outgoing`.
    pub(crate) fn start(
        node: Node,
        clock: Clock,
        outgoing: mpsc::UnboundedSender<Outgoing>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        let catalogue = Arc::new(RwLock::new(Arc::clone(node.catalogue())));
        let task = CoreTask {
            node,
            clock,
            outgoing,
            metrics,
            requests: HashMap::new(),
            catalogue: Arc::clone(&catalogue),
        };
        tokio::spawn(task.run(receiver));
        Self {
            commands,
            catalogue,
        }
    }

    /// Gives the objects in force.
    pub(crate) fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(&self.catalogue.read().expect("no holder of the lock panics"))
    }

    /// Tells the core that something happened.
    pub(crate) fn input(&self, input: Input) {
        // The task ends only with its last handle, so this can't fail while `self` lives.
        let _ = self.commands.send(Command::Input(input));
    }

    /// Asks the core to accept a request.
    pub(crate) async fn admit(&self, spec: RequestSpec) -> Result<Admitted, Refusal> {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Admit { spec, reply });
        answer
            .await
            .expect("the core's task lives as long as its handles")
    }

    /// Asks the core about its state.
    pub(crate) async fn status(&self) -> NodeStatus {
        let (reply, answer) = oneshot::channel();
        let _ = self.commands.send(Command::Status(reply));
        answer
            .await
            .expect("the core's task lives as long as its handles")
    }
}

struct CoreTask {
    node: Node,
    clock: Clock,
    outgoing: mpsc::UnboundedSender<Outgoing>,
    metrics: Arc<Metrics>,
    requests: HashMap<RequestId, mpsc::UnboundedSender<Decision>>,
    catalogue: Arc<RwLock<Arc<Catalogue>>>,
}

impl CoreTask {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Command>) {
        while let Some(command) = receiver.recv().await {
            match command {
                Command::Admit { spec, reply } => self.admit(spec, reply),
                Command::Input(input) => self.input(input),
                Command::Status(reply) => {
                    let _ = reply.send(self.status());
                }
            }
        }
    }

    fn admit(&mut self, spec: RequestSpec, reply: oneshot::Sender<Result<Admitted, Refusal>>) {
        let (admitted, outputs) = self.node.admit(spec, self.clock.now());
        let answer = admitted.map(|request| {
            let (sender, decisions) = mpsc::unbounded_channel();
            self.requests.insert(request, sender);
            Admitted { request, decisions }
        });
        if let Err(Ok(unheard)) = reply.send(answer) {
            self.requests.remove(&unheard.request);
            self.run_outputs(outputs);
            self.input(Input::CallerLeft(unheard.request));
            return;
        }
        self.run_outputs(outputs);
    }

    fn input(&mut self, input: Input) {
        let is_configuration = matches!(input, Input::Configured(_));
        let ended = match &input {
            Input::Finished { request, .. } | Input::CallerLeft(request) => Some(*request),
            _ => None,
        };
        if let Input::HostList(hosts) = &input {
            let seeds = hosts.iter();
            let seeds = seeds.map(|host| (RouterId::from(&host.router), host.peer_address));
            let _ = self.outgoing.send(Outgoing::Seeds(seeds.collect()));
        }
        let outputs = self.node.handle(input, self.clock.now());
        if is_configuration {
            *self
                .catalogue
                .write()
                .expect("no holder of the lock panics") = Arc::clone(self.node.catalogue());
        }
        self.run_outputs(outputs);
        if let Some(request) = ended
            && !self.node.is_open(request)
        {
            self.requests.remove(&request);
        }
    }

    fn run_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let address = self.node.membership().address_of(to);
                    let message = Outgoing::Message {
                        to,
                        address,
                        message,
                    };
                    let _ = self.outgoing.send(message);
                }
                Output::Dispatch(dispatch) => {
                    self.decide(dispatch.request, Decision::Dispatch(dispatch));
                }
                Output::Refuse { request, refusal } => {
                    self.decide(request, Decision::Refuse(refusal));
                    self.requests.remove(&request);
                }
            }
        }
        self.metrics.open_requests.set(self.requests.len() as i64);
    }

    fn decide(&mut self, request: RequestId, decision: Decision) {
        let Some(sender) = self.requests.get(&request) else {
            return;
        };
        // A caller that left tells the core so itself, when its guard is dropped.
        let _ = sender.send(decision);
    }

    fn status(&self) -> NodeStatus {
        let members = self.node.membership().members();
        let shards = self
            .node
            .schedulers()
            .iter()
            .map(|(shard, scheduler)| ShardStatus {
                shard: *shard,
                waiting: scheduler.waiting_count(),
                granted: scheduler.granted_count(),
            });
        NodeStatus {
            members: members
                .iter()
                .map(|(id, member)| (*id, member.clone()))
                .collect(),
            shards: shards.collect(),
            open_requests: self.node.open_requests(),
            is_leaving: self.node.is_leaving(),
        }
    }
}
