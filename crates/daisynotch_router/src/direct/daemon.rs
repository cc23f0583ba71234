//! Starts a router that dispatches on its own, and ends it gracefully.

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

use super::event_log::{EventLog, Weight};
use super::ingress::{self, LeaveStage, Served};
use super::listener::Listener;
use super::metrics::Metrics;
use super::peers;
use super::settings::DirectSettings;
use super::state::Router;
use super::store_follower;
use super::unread;
use crate::settings::SettingsError;
use crate::startup::{ListenError, listen, next_incarnation};
use crate::timer::{Tick, TimerService};

/// How often waiting requests are decided on when nothing else happens.
const PUMP_INTERVAL: Duration = Duration::from_millis(25);
/// How often log lines are handed over and idle connections closed.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(250);
/// How often requests that were refused unread are logged, as one sum.
const REFUSED_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// How often the settings file is looked at, since it may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// How often a router looks whether another one knows more.
const CATCH_UP_INTERVAL: Duration = Duration::from_millis(100);
/// How long a leaving router still accepts connections: callers keep its address.
const LAST_ANSWERS: Duration = Duration::from_millis(2_200);
/// What is left of the time to leave for ending in order.
const LEAVE_MARGIN: Duration = Duration::from_millis(400);
/// How often a leaving router looks whether its last request has ended.
const LEAVE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Why a router could not start.
#[derive(Debug, thiserror::Error)]
pub enum DirectError {
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address can't be listened on.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// The metrics could not be set up.
    #[error("the metrics can't be set up: {0}")]
    Metrics(#[from] prometheus::Error),
    /// The runtime or a signal handler could not be set up.
    #[error("the process can't be set up: {0}")]
    Process(#[from] std::io::Error),
}

/// Runs a router until it is told to leave and has left.
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
        let mut ticks = daemon.timers.subscribe(SETTINGS_INTERVAL);
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

/// The settings file, read again when it changes.
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

    /// Takes what can change while the router runs; the last good settings stay otherwise.
    fn reload(&mut self, router: &Router, cause: &str) {
        self.text = std::fs::read_to_string(&self.path).ok();
        let outcome = match DirectSettings::read(&self.path) {
            Ok(settings) => {
                let now = router.now();
                let own = router.introduction.borrow().peer_address;
                hint_seeds(router, &settings, own);
                *router.settings.borrow_mut() = settings;
                json!({"cause": cause, "outcome": "taken", "at_us": now.0})
            }
            Err(error) => {
                json!({"cause": cause, "outcome": "kept_last", "error": error.to_string()})
            }
        };
        router.log.write(Weight::Essential, "reload", outcome);
    }
}

/// Takes the hosts that the settings name; routers share one port for digests.
fn hint_seeds(router: &Router, settings: &DirectSettings, own: SocketAddr) {
    let now = router.now();
    let mut hosts = router.hosts.borrow_mut();
    for seed in &settings.seeds {
        let address = SocketAddr::new(seed.ip(), own.port());
        if address != own {
            hosts.hint(address, now);
        }
    }
}

/// Where a running router listens.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct DirectAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the platform's question whether it is ready.
    pub ready: SocketAddr,
    /// For callers that ask where to connect.
    pub directory: SocketAddr,
    /// For operators.
    pub metrics: SocketAddr,
    /// For other routers.
    pub peers: SocketAddr,
}

/// A running router; it must live within a [`LocalSet`].
pub struct DirectDaemon {
    addresses: DirectAddresses,
    router: Rc<Router>,
    timers: TimerService,
    stage: watch::Sender<LeaveStage>,
    tasks: Vec<JoinHandle<()>>,
}

impl DirectDaemon {
    /// Binds the addresses of the settings and starts all tasks.
    ///
    /// Log lines go to `sink`, which may be slow: nothing waits for it.
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
        });
        log.write(Weight::Essential, "start", fields);
        let metrics = Metrics::new()?;
        let router = Router::new(settings, platform, introduction, log, metrics);
        let router = Rc::new(router);
        hint_seeds(&router, &router.settings.borrow(), peer_address);
        let timers = TimerService::start();
        let (stage, stage_receiver) = watch::channel(LeaveStage::Staying);
        let socket = Rc::new(socket);
        let mut tasks = Vec::new();
        let listeners = [
            (callers, Served::Callers),
            (ready, Served::Readiness),
            (directory, Served::Directory),
            (metrics_listener, Served::Metrics),
            (peers_listener, Served::Peers),
        ];
        for (listener, served) in listeners {
            let listener = Listener::new(listener)?;
            let accepting =
                ingress::accept(Rc::clone(&router), listener, served, stage_receiver.clone());
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
        let refusing = unread::refuse_unread(Rc::clone(&router));
        tasks.push(tokio::task::spawn_local(refusing));
        let ticks = timers.subscribe(REFUSED_LOG_INTERVAL);
        let logging = unread::log_refused(Rc::clone(&router), ticks);
        tasks.push(tokio::task::spawn_local(logging));
        let pumping = pump(Rc::clone(&router), timers.subscribe(PUMP_INTERVAL));
        tasks.push(tokio::task::spawn_local(pumping));
        let keeping_up = keep_up(Rc::clone(&router), timers.subscribe(UPKEEP_INTERVAL));
        tasks.push(tokio::task::spawn_local(keeping_up));
        Ok(Self {
            addresses,
            router,
            timers,
            stage,
            tasks,
        })
    }

    /// Gives where it listens.
    pub fn addresses(&self) -> DirectAddresses {
        self.addresses
    }

    /// Leaves: no longer given out at once, ends when the last request has ended.
    pub async fn leave(self) {
        let router = &self.router;
        let began_at = Instant::now();
        router.introduction.borrow_mut().phase = HostPhase::Leaving;
        let open = router.dispatcher.borrow().running_len();
        router
            .log
            .write(Weight::Essential, "leaving", json!({"open_requests": open}));
        self.stage.send_replace(LeaveStage::LastAnswers);
        tokio::time::sleep(LAST_ANSWERS).await;
        self.stage.send_replace(LeaveStage::Closing);
        let leave_max = Duration::from_secs_f64(router.settings.borrow().leave_max_s);
        let end_at = began_at + leave_max.saturating_sub(LEAVE_MARGIN);
        // Callers whose connection was just accepted have not sent their request.
        tokio::time::sleep(ingress::NEW_CONNECTION_GRACE).await;
        loop {
            tokio::time::sleep(LEAVE_POLL_INTERVAL).await;
            let open = {
                let dispatcher = router.dispatcher.borrow();
                dispatcher.running_len() + dispatcher.waiting_len() + router.unread.len()
            };
            if open == 0 || Instant::now() > end_at {
                router
                    .log
                    .write(Weight::Essential, "left", json!({"open_requests": open}));
                break;
            }
        }
        tokio::time::sleep(LEAVE_POLL_INTERVAL * 2).await;
        self.tasks.iter().for_each(JoinHandle::abort);
        router.log.flush();
        // The writing thread may be held up by its reader; the process does not wait for it.
        tokio::time::sleep(LEAVE_POLL_INTERVAL).await;
    }
}

async fn pump(router: Rc<Router>, mut ticks: mpsc::Receiver<Tick>) {
    let mut last_tick = router.now();
    while ticks.recv().await.is_some() {
        let now = router.now();
        router.note_lag(now.since(last_tick).saturating_sub(PUMP_INTERVAL));
        last_tick = now;
        router.confirmation.borrow_mut().on_wakeup(now);
        router.pump();
    }
}

async fn keep_up(router: Rc<Router>, mut ticks: mpsc::Receiver<Tick>) {
    while ticks.recv().await.is_some() {
        let now = router.now();
        let changes = router.endpoints.borrow_mut().expire(now);
        router.on_endpoint_changes(changes, "lapsed");
        router.dispatcher.borrow_mut().expire(now);
        router.connections.expire(now);
        router.log.flush();
    }
}
