//! Starts a router and shuts it down gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::{Input, MembershipSettings, Node, NodeSettings, Revision, SchedulerSettings};
use daisynotch_platform::{
    ClaimStore, ConfigStore, EndpointClient, EndpointSettings, HostListClient, KeyValueClient,
};
use daisynotch_wire::{Hello, PROTOCOL_VERSION};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use crate::api::{self, App, IdempotencyKeys};
use crate::clock::Clock;
use crate::configuration;
use crate::core_task::CoreHandle;
use crate::host_list;
use crate::links::{self, LinkContext};
use crate::metrics::Metrics;
use crate::operator::{self, OperatorContext};
use crate::server;
use crate::settings::{HttpLimits, Settings};
use crate::startup::{ListenError, listen, next_incarnation};
use crate::timer::{Tick, TimerService};

/// The interval at which the core handles timeouts.
const CORE_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// The interval at which a leaving router checks whether its last request has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why a router could not start.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The router could not listen on an address.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The metrics could not be registered.
    #[error("cannot register the metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}

/// The server of the operator API, which runs until the router has ended.
#[derive(Debug)]
struct OperatorServer {
    /// Dropping it stops the server.
    _stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

/// A running router.
#[derive(Debug)]
pub struct Daemon {
    core: CoreHandle,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    entry_keep: Duration,
    metrics: Arc<Metrics>,
    operator_address: SocketAddr,
    leave_requests: mpsc::Receiver<()>,
    stop: oneshot::Sender<()>,
    server: JoinHandle<()>,
    operator_server: OperatorServer,
    tasks: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Binds the addresses in the settings and starts all tasks.
    pub async fn start(settings: Settings) -> Result<Self, DaemonError> {
        let callers = listen("caller_address", settings.caller_address).await?;
        let peers = listen("peer_address", settings.peer_address).await?;
        Self::start_on(settings, callers, peers)
    }

    /// Starts all tasks on sockets that are already bound.
    ///
    /// Tests and the demo bind port 0 first, because the settings of each router name the
    /// ports of the others.
    pub fn start_on(
        settings: Settings,
        callers: TcpListener,
        peers: TcpListener,
    ) -> Result<Self, DaemonError> {
        let caller_address = local_address("caller_address", &callers, settings.caller_address)?;
        let peer_address = local_address("peer_address", &peers, settings.peer_address)?;
        let hello = Hello {
            version: PROTOCOL_VERSION,
            router: settings.router.clone(),
            incarnation: next_incarnation(),
            zone: settings.zone.clone(),
            caller_address,
            peer_address,
        };
        let operators = listen_sync("operator_address", settings.operator_address)?;
        let operator_address =
            local_address("operator_address", &operators, settings.operator_address)?;
        let clock = Clock::start();
        let timers = TimerService::start();
        let metrics = Arc::new(Metrics::new()?);
        let node_settings = NodeSettings {
            own: hello.introduction(),
            membership: MembershipSettings::default(),
            scheduler: SchedulerSettings::default(),
        };
        let own = node_settings.own.peer;
        let node = Node::new(node_settings, clock.now());
        let (outgoing, outgoing_receiver) = mpsc::unbounded_channel();
        let (actions, action_receiver) = mpsc::unbounded_channel();
        let core = CoreHandle::start(node, clock, outgoing, actions, Arc::clone(&metrics));
        let context = LinkContext {
            own: hello,
            core: core.clone(),
            metrics: Arc::clone(&metrics),
        };
        let dial_ticks = timers.subscribe(links::DIAL_INTERVAL);
        let known_peers = settings.peers.clone();
        let counter = configuration::call_counter(Arc::clone(&metrics));
        let store = ConfigStore::new(key_value_client(&settings).with_observer(counter));
        let claims = ClaimStore::new(key_value_client(&settings), own);
        let mut tasks = vec![
            tokio::spawn(links::run(
                context,
                peers,
                known_peers,
                outgoing_receiver,
                dial_ticks,
            )),
            tokio::spawn(configuration::follow(
                store,
                core.clone(),
                Arc::clone(&metrics),
                action_receiver,
            )),
            tokio::spawn(tick_core(
                core.clone(),
                timers.subscribe(CORE_TICK_INTERVAL),
            )),
        ];
        if let Some(address) = settings.host_list_address {
            let client = HostListClient::new(address, host_list::TIMEOUT);
            let ticks = timers.subscribe(host_list::POLL_INTERVAL);
            tasks.push(tokio::spawn(host_list::follow(client, core.clone(), ticks)));
        }
        let (stop, stopped) = oneshot::channel();
        let entry_keep = settings.entry_keep();
        let limits = settings.http;
        let (leave_sender, leave_requests) = mpsc::channel(1);
        let operator = OperatorContext {
            settings: settings.clone(),
            core: core.clone(),
            metrics: Arc::clone(&metrics),
            leave_requests: leave_sender,
        };
        let operator_server = OperatorServer::start(operators, &operator, limits);
        let app = Arc::new(App {
            settings,
            core: core.clone(),
            client: EndpointClient::new(EndpointSettings::default()),
            metrics: Arc::clone(&metrics),
            keys: IdempotencyKeys::new(own, clock, claims),
        });
        let server = tokio::spawn(server::run(callers, api::routes(&app), limits, stopped));
        Ok(Self {
            core,
            caller_address,
            peer_address,
            entry_keep,
            metrics,
            operator_address,
            leave_requests,
            stop,
            server,
            operator_server,
            tasks,
        })
    }

    /// Returns the address on which callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address on which other routers connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address on which operators connect.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Waits until an operator asks the router to leave.
    pub async fn leave_requested(&mut self) {
        // The operator API holds the sender for as long as the router runs.
        let _ = self.leave_requests.recv().await;
    }

    /// Returns the number of bytes sent to other routers so far.
    pub fn control_sent_bytes(&self) -> u64 {
        self.metrics.control_sent_bytes.get()
    }

    /// Reports whether the router has objects and sees at least `routers` present routers,
    /// including itself.
    pub async fn is_ready(&self, routers: usize) -> bool {
        let has_objects = self.core.catalogue().revision > Revision::default();
        has_objects && self.core.status().await.members.len() >= routers
    }

    /// Leaves the fleet: waits until every request has ended, then stops.
    ///
    /// The address stops being advertised immediately. The router still accepts connections for
    /// as long as callers may keep the address ([`Settings::entry_keep`]).
    pub async fn drain(self) {
        log::info!("leaving: no longer advertised, serving until the last request has ended");
        self.core.input(Input::Leave);
        tokio::time::sleep(self.entry_keep).await;
        let _ = self.stop.send(());
        if let Err(error) = self.server.await {
            log::error!("the server for callers panicked or was cancelled: {error}");
        }
        while self.core.status().await.open_requests > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.tasks.iter().for_each(JoinHandle::abort);
        self.operator_server.task.abort();
        log::info!("left: every request has ended");
    }

    /// Stops immediately like a crash, breaking all connections.
    pub fn kill(self) {
        self.server.abort();
        self.operator_server.task.abort();
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl OperatorServer {
    fn start(listener: TcpListener, context: &OperatorContext, limits: HttpLimits) -> Self {
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(server::run(
            listener,
            operator::routes(context),
            limits,
            stopped,
        ));
        Self { _stop: stop, task }
    }
}

/// Listens on the address of a setting; synchronous because [`Daemon::start_on`] is.
fn listen_sync(key: &'static str, address: SocketAddr) -> Result<TcpListener, ListenError> {
    let listen = || {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    };
    listen().map_err(|error| ListenError {
        key,
        address,
        error,
    })
}

fn local_address(
    key: &'static str,
    listener: &TcpListener,
    address: SocketAddr,
) -> Result<SocketAddr, ListenError> {
    listener.local_addr().map_err(|error| ListenError {
        key,
        address,
        error,
    })
}

fn key_value_client(settings: &Settings) -> KeyValueClient {
    let timeout = Duration::from_millis(settings.key_value_timeout_ms);
    KeyValueClient::new(settings.key_value_address, timeout)
}

async fn tick_core(core: CoreHandle, mut ticks: mpsc::Receiver<Tick>) {
    while ticks.recv().await.is_some() {
        core.input(Input::Tick);
    }
}
