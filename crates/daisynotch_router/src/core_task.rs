//! The task that owns the core.
//!
//! All inputs reach the core through one channel, so its decisions need no locks. The task
//! ends when every [`CoreHandle`] has been dropped.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

use daisynotch_core::{
    Catalogue, ConfigurationAction, ConfigurationState, Dispatch, Input, Member, Node, Output,
    PeerMessage, Refusal, RequestId, RequestSpec, RouterId, ShardId,
};
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::metrics::Metrics;

/// A decision of the core about an open request.
#[derive(Debug)]
pub(crate) enum Decision {
    /// Send it to an endpoint.
    Dispatch(Dispatch),
    /// Tell the caller that the request did not run.
    Refuse(Refusal),
}

/// A request that the core admitted.
#[derive(Debug)]
pub(crate) struct Admitted {
    /// The identifier of the request.
    pub(crate) request: RequestId,
    /// Receives the core's decisions about the request until it ends.
    pub(crate) decisions: mpsc::UnboundedReceiver<Decision>,
}

/// The state of the core, for status reports, readiness checks and caller requests.
#[derive(Debug, Clone)]
pub(crate) struct NodeStatus {
    pub(crate) members: Vec<(RouterId, Member)>,
    pub(crate) shards: Vec<ShardStatus>,
    pub(crate) open_requests: usize,
    pub(crate) is_leaving: bool,
    pub(crate) configuration: ConfigurationState,
}

/// The state of one shard that this router schedules.
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

/// A handle for sending commands to the core's task.
#[derive(Debug, Clone)]
pub(crate) struct CoreHandle {
    commands: mpsc::UnboundedSender<Command>,
    catalogue: Arc<RwLock<Arc<Catalogue>>>,
}

/// A command for the connections to other routers.
#[derive(Debug)]
pub(crate) enum Outgoing {
    /// Send a message to a router.
    Message {
        to: RouterId,
        /// The router's peer address, if membership knows it.
        address: Option<SocketAddr>,
        message: PeerMessage,
    },
    /// Replace the seed routers that come from the host list.
    Seeds(Vec<(RouterId, SocketAddr)>),
}

impl CoreHandle {
    /// Starts the task, which sends messages for other routers to `outgoing`.
    pub(crate) fn start(
        node: Node,
        clock: Clock,
        outgoing: mpsc::UnboundedSender<Outgoing>,
        configuration: mpsc::UnboundedSender<ConfigurationAction>,
        metrics: Arc<Metrics>,
    ) -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        let catalogue = Arc::new(RwLock::new(Arc::clone(node.catalogue())));
        let task = CoreTask {
            node,
            clock,
            outgoing,
            configuration,
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

    /// Returns the objects in force.
    pub(crate) fn catalogue(&self) -> Arc<Catalogue> {
        Arc::clone(
            &self
                .catalogue
                .read()
                .expect("the lock of the catalogue is not poisoned: no holder panics"),
        )
    }

    /// Sends an input to the core.
    pub(crate) fn input(&self, input: Input) {
        // The task runs as long as a handle exists, so sending can't fail.
        let _ = self.commands.send(Command::Input(input));
    }

    /// Asks the core to admit a request.
    pub(crate) async fn admit(&self, spec: RequestSpec) -> Result<Admitted, Refusal> {
        let (reply, response) = oneshot::channel();
        let _ = self.commands.send(Command::Admit { spec, reply });
        response
            .await
            .expect("the core's task runs as long as a handle exists")
    }

    /// Returns the state of the core.
    pub(crate) async fn status(&self) -> NodeStatus {
        let (reply, response) = oneshot::channel();
        let _ = self.commands.send(Command::Status(reply));
        response
            .await
            .expect("the core's task runs as long as a handle exists")
    }
}

struct CoreTask {
    node: Node,
    clock: Clock,
    outgoing: mpsc::UnboundedSender<Outgoing>,
    configuration: mpsc::UnboundedSender<ConfigurationAction>,
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
        let response = admitted.map(|request| {
            let (sender, decisions) = mpsc::unbounded_channel();
            self.requests.insert(request, sender);
            Admitted { request, decisions }
        });
        if let Err(Ok(undelivered)) = reply.send(response) {
            self.requests.remove(&undelivered.request);
            self.apply_outputs(outputs);
            self.input(Input::CallerLeft(undelivered.request));
            return;
        }
        self.apply_outputs(outputs);
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
                .expect("the lock of the catalogue is not poisoned: no holder panics") =
                Arc::clone(self.node.catalogue());
        }
        self.apply_outputs(outputs);
        if let Some(request) = ended
            && !self.node.is_open(request)
        {
            self.requests.remove(&request);
        }
    }

    fn apply_outputs(&mut self, outputs: Vec<Output>) {
        for action in self.node.take_configuration_actions() {
            let _ = self.configuration.send(action);
        }
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
                    self.send_decision(dispatch.request, Decision::Dispatch(dispatch));
                }
                Output::Refuse { request, refusal } => {
                    self.send_decision(request, Decision::Refuse(refusal));
                    self.requests.remove(&request);
                }
            }
        }
        self.metrics.open_requests.set(self.requests.len() as i64);
    }

    fn send_decision(&mut self, request: RequestId, decision: Decision) {
        let Some(sender) = self.requests.get(&request) else {
            return;
        };
        // Sending fails if the caller left; dropping its `OpenRequest` reports that to the core.
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
            configuration: self.node.configuration_state(),
        }
    }
}
