//! Startup, settings reload and graceful shutdown of a router that dispatches on its own.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use daisynotch_core::direct::{HostIntroduction, HostPhase};
use daisynotch_platform::ports::SharedPlatform;
use serde_json::json;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, LocalSet};
use tokio::time::Instant;

use super::event_log::{EventLog, Importance};
use super::ingress::{self, LeaveStage, ListenerKind};
use super::listener::Listener;
use super::metrics::Metrics;
use super::peers;
use super::settings::DirectSettings;
use super::state::Router;
use super::store_blocks;
use super::store_follower;
use super::unread;
use crate::ack_guard;
use crate::settings::SettingsError;
use crate::startup::{ListenError, listen, next_incarnation};
use crate::timer::{Tick, TimerService};

/// Interval for deciding on waiting requests when no other event triggers a decision.
const PUMP_INTERVAL: Duration = Duration::from_millis(25);
/// Interval for flushing log lines and closing idle connections.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Interval for logging the number of requests that were refused unread, as one sum.
const REFUSED_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Interval for checking whether the settings file changed, which may happen without a signal.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);
/// Interval for checking whether another router has newer state from the store.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(100);
/// How long a leaving router still accepts connections: callers cache its address.
const LAST_RESPONSES_DURATION: Duration = Duration::from_millis(2_200);
/// Part of `leave_max_s` that is reserved for an orderly exit.
const LEAVE_MARGIN: Duration = Duration::from_millis(400);
/// Time for writing the answers to requests that a leaving router can't finish.
const LAST_ANSWERS_MARGIN: Duration = Duration::from_millis(300);
/// Interval at which a leaving router checks whether its last request has ended.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Why a router could not start.
#[derive(Debug, thiserror::Error)]
pub enum DirectError {
    /// The settings are invalid or can't be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The router can't listen on one of its addresses.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The metrics could not be registered.
    #[error("can't register the metrics: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The runtime, a socket or a signal handler could not be set up.
    #[error("can't set up the runtime, a socket or a signal handler: {0}")]
    Process(#[from] std::io::Error),
}

/// Runs a router until a signal asks it to leave and it has left.
pub fn run(settings_path: &Path, platform: SharedPlatform) -> Result<(), DirectError> {
    let settings = DirectSettings::read(settings_path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let path = settings_path.to_owned();
    LocalSet::new().block_on(&runtime, async move {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut reload = signal(SignalKind::hangup())?;
        let daemon = DirectDaemon::start(settings, platform, std::io::stdout()).await?;
        let mut ticks = daemon.timers.subscribe(SETTINGS_CHECK_INTERVAL);
        let mut file = SettingsFile::new(path);
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = interrupt.recv() => break,
                _ = reload.recv() => file.reload(&daemon.router, "signal"),
                _ = ticks.recv() => file.reload_if_changed(&daemon.router),
            }
        }
        daemon.leave().await;
        Ok(())
    })
}

/// The settings file, which is reloaded when it changes.
struct SettingsFile {
    path: PathBuf,
    text: Option<String>,
}

impl SettingsFile {
    fn new(path: PathBuf) -> Self {
        let text = std::fs::read_to_string(&path).ok();
        Self { path, text }
    }

    fn reload_if_changed(&mut self, router: &Router) {
        let text = std::fs::read_to_string(&self.path).ok();
        if text.is_some() && text != self.text {
            self.reload(router, "file");
        }
    }

    /// Applies the settings that can change at run time; keeps the last valid settings on an
    /// error.
    fn reload(&mut self, router: &Router, cause: &str) {
        self.text = std::fs::read_to_string(&self.path).ok();
        let outcome = match DirectSettings::read(&self.path) {
            Ok(settings) => {
                let now = router.now();
                let own_peer_address = router.introduction.borrow().peer_address;
                add_seed_hosts(router, &settings, own_peer_address);
                *router.settings.borrow_mut() = settings;
                json!({"cause": cause, "outcome": "taken", "at_us": now.0})
            }
            Err(error) => {
                json!({"cause": cause, "outcome": "kept_last", "error": error.to_string()})
            }
        };
        router.log.write(Importance::Essential, "reload", outcome);
    }
}

/// Adds the hosts that the settings name as seeds, with this router's own peer port: all
/// routers use the same port for digests.
fn add_seed_hosts(router: &Router, settings: &DirectSettings, own_peer_address: SocketAddr) {
    let now = router.now();
    let mut hosts = router.hosts.borrow_mut();
    for seed in &settings.seeds {
        let address = SocketAddr::new(seed.ip(), own_peer_address.port());
        if address != own_peer_address {
            hosts.hint(address, now);
        }
    }
}

/// Addresses on which a running router listens.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct DirectAddresses {
    /// Serves callers.
    pub callers: SocketAddr,
    /// Serves the platform's readiness checks.
    pub ready: SocketAddr,
    /// Serves the directory, which tells callers where to connect.
    pub directory: SocketAddr,
    /// Serves metrics to operators.
    pub metrics: SocketAddr,
    /// Receives digests and requests from other routers.
    pub peers: SocketAddr,
}

/// A running router. It must be started and used within a [`LocalSet`].
pub struct DirectDaemon {
    addresses: DirectAddresses,
    router: Rc<Router>,
    timers: TimerService,
    leave_stage: watch::Sender<LeaveStage>,
    tasks: Vec<JoinHandle<()>>,
}

impl DirectDaemon {
    /// Binds the addresses of the settings and starts all tasks.
    ///
    /// Log lines go to `sink`. A slow sink blocks no task.
    pub async fn start(
        settings: DirectSettings,
        platform: SharedPlatform,
        sink: impl std::io::Write + Send + 'static,
    ) -> Result<Self, DirectError> {
        let log = EventLog::start(settings.router.to_string(), sink);
        let callers = listen("caller_address", settings.caller_address).await?;
        let ready = listen("ready_address", settings.ready_address).await?;
        let directory = listen("directory_address", settings.directory_address).await?;
        let metrics_listener = listen("metrics_address", settings.metrics_address).await?;
        let peers_listener = listen("peer_address", settings.peer_address).await?;
        let peer_address = peers_listener.local_addr()?;
        let addresses = DirectAddresses {
            callers: callers.local_addr()?,
            ready: ready.local_addr()?,
            directory: directory.local_addr()?,
            metrics: metrics_listener.local_addr()?,
            peers: peer_address,
        };
        let socket = UdpSocket::bind(peer_address).await;
        let socket = socket.map_err(|error| ListenError {
            key: "peer_address",
            address: peer_address,
            error,
        })?;
        let introduction = HostIntroduction {
            router: settings.router.clone(),
            zone: settings.zone.clone(),
            incarnation: next_incarnation(),
            caller_address: callers.local_addr()?,
            peer_address,
            phase: HostPhase::Starting,
            cpu_millicores: (settings.cpu_cores * 1e3) as u32,
            is_crowded: false,
            has_store: true,
            has_callers: false,
        };
        let fields = json!({
            "router": settings.router.to_string(), "zone": settings.zone.to_string(),
            "callers": introduction.caller_address.to_string(),
            "incarnation": introduction.incarnation.0, "version": env!("CARGO_PKG_VERSION"),
            "sees_acknowledgements": ack_guard::is_reported(&callers),
        });
        log.write(Importance::Essential, "start", fields);
        let metrics = Metrics::new()?;
        let router = Router::new(settings, platform, introduction, log, metrics);
        let router = Rc::new(router);
        add_seed_hosts(&router, &router.settings.borrow(), peer_address);
        let timers = TimerService::start();
        let (leave_stage, stage_receiver) = watch::channel(LeaveStage::NotLeaving);
        let socket = Rc::new(socket);
        let mut tasks = Vec::new();
        let listeners = [
            (callers, ListenerKind::Callers),
            (ready, ListenerKind::Readiness),
            (directory, ListenerKind::Directory),
            (metrics_listener, ListenerKind::Metrics),
            (peers_listener, ListenerKind::Peers),
        ];
        for (listener, kind) in listeners {
            let listener = Listener::new(listener)?;
            let accepting =
                ingress::accept(Rc::clone(&router), listener, kind, stage_receiver.clone());
            tasks.push(tokio::task::spawn_local(accepting));
        }
        let following = store_follower::follow(Rc::clone(&router));
        tasks.push(tokio::task::spawn_local(following));
        let ticks = timers.subscribe(peers::DIGEST_INTERVAL);
        let sending = peers::send_digests(Rc::clone(&router), Rc::clone(&socket), ticks);
        tasks.push(tokio::task::spawn_local(sending));
        let receiving = peers::receive_digests(Rc::clone(&router), socket);
        tasks.push(tokio::task::spawn_local(receiving));
        let ticks = timers.subscribe(CATCH_UP_INTERVAL);
        let catching_up = peers::catch_up(Rc::clone(&router), ticks);
        tasks.push(tokio::task::spawn_local(catching_up));
        let registering = store_follower::register(Rc::clone(&router));
        tasks.push(tokio::task::spawn_local(registering));
        let ticks = timers.subscribe(store_blocks::COMPARE_INTERVAL);
        let keeping = store_blocks::keep(Rc::clone(&router), ticks);
        tasks.push(tokio::task::spawn_local(keeping));
        let refusing = unread::refuse_unread(Rc::clone(&router));
        tasks.push(tokio::task::spawn_local(refusing));
        let ticks = timers.subscribe(REFUSED_LOG_INTERVAL);
        let logging = unread::log_refused(Rc::clone(&router), ticks);
        tasks.push(tokio::task::spawn_local(logging));
        let pumping = pump(Rc::clone(&router), timers.subscribe(PUMP_INTERVAL));
        tasks.push(tokio::task::spawn_local(pumping));
        let upkeep = run_upkeep(Rc::clone(&router), timers.subscribe(UPKEEP_INTERVAL));
        tasks.push(tokio::task::spawn_local(upkeep));
        Ok(Self {
            addresses,
            router,
            timers,
            leave_stage,
            tasks,
        })
    }

    /// Returns the addresses on which the router listens.
    pub fn addresses(&self) -> DirectAddresses {
        self.addresses
    }

    /// Leaves the fleet: the router is removed from the directory at once and exits when its
    /// last request has ended or the time to leave is over.
    pub async fn leave(self) {
        let router = &self.router;
        let leave_started_at = Instant::now();
        router.introduction.borrow_mut().phase = HostPhase::Leaving;
        let open = router.dispatcher.borrow().running_len();
        router.log.write(
            Importance::Essential,
            "leaving",
            json!({"open_requests": open}),
        );
        let leave_max = Duration::from_secs_f64(router.settings.borrow().leave_max_s);
        let end_at = leave_started_at + leave_max.saturating_sub(LEAVE_MARGIN);
        router
            .last_answers
            .set_due(end_at - LAST_ANSWERS_MARGIN.min(end_at - leave_started_at));
        self.leave_stage
            .send_replace(LeaveStage::ClosingAfterResponse);
        tokio::time::sleep(LAST_RESPONSES_DURATION).await;
        self.leave_stage.send_replace(LeaveStage::Closing);
        // Callers whose connections were just accepted may not have sent their requests yet.
        tokio::time::sleep(ingress::NEW_CONNECTION_GRACE).await;
        loop {
            tokio::time::sleep(LEAVE_POLL_INTERVAL).await;
            let open_requests = {
                let dispatcher = router.dispatcher.borrow();
                dispatcher.running_len() + dispatcher.waiting_len() + router.unread.len()
            };
            // Idle connections are closed by now. The others carry a request that is still
            // arriving or a response that its caller has not received in full.
            let open_callers = router.open_caller_connections.get();
            if open_requests + open_callers == 0 || Instant::now() > end_at {
                let fields = json!({"open_requests": open_requests, "open_callers": open_callers});
                router.log.write(Importance::Essential, "left", fields);
                break;
            }
        }
        tokio::time::sleep(LEAVE_POLL_INTERVAL * 2).await;
        self.tasks.iter().for_each(JoinHandle::abort);
        router.log.flush();
        // The reader of the log may block the writer thread, and the process does not wait for
        // it.
        tokio::time::sleep(LEAVE_POLL_INTERVAL).await;
    }
}

async fn pump(router: Rc<Router>, mut ticks: mpsc::Receiver<Tick>) {
    let mut last_tick = router.now();
    while ticks.recv().await.is_some() {
        let now = router.now();
        router.update_pressure(now.since(last_tick).saturating_sub(PUMP_INTERVAL));
        last_tick = now;
        router.confirmation.borrow_mut().on_wakeup(now);
        let changes = router.endpoints.borrow_mut().close_lapsed(now);
        router.on_endpoint_changes(changes, "lapsed");
        router.pump();
    }
}

async fn run_upkeep(router: Rc<Router>, mut ticks: mpsc::Receiver<Tick>) {
    while ticks.recv().await.is_some() {
        let now = router.now();
        router.endpoints.borrow_mut().expire(now);
        router.dispatcher.borrow_mut().expire(now);
        router.expire_evacuations();
        router.log_evidence_changes("expiry");
        router.connections.expire(now);
        router.close_left_unread();
        router.log.flush();
    }
}
