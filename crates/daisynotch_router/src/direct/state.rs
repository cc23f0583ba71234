//! State that the tasks of one router share; all tasks run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::direct::{
    BodyMemory, ConfigurationStamp, Confirmation, Dispatcher, EndpointChange, EndpointList,
    Evacuations, Grant, HostIntroduction, HostPhase, HostTable, IdleLimits, OpenRun, Pressure,
    QueueId, RequestSpec, RoundTrips, RouteTable, RunId, RunOutcome, StoreOutage, StorePosition,
    Verdict,
};
use daisynotch_core::{EndpointId, Timestamp};
use daisynotch_platform::ports::{SharedPlatform, StoreEvent, StoreItem};
use serde_json::json;
use tokio::sync::{Notify, oneshot};

use super::arrivals::ArrivalRate;
use super::caller_queue::CallerQueues;
use super::connections::ConnectionPool;
use super::crash_check::CrashCheck;
use super::event_log::{EventLog, Importance};
use super::last_answers::LastAnswers;
use super::metrics::Metrics;
use super::settings::DirectSettings;
use super::unread::UnreadConnections;
use super::unreadable::UnreadableItems;
use crate::clock::Clock;

/// Maximum number of addresses in one log line.
const LOGGED_ADDRESSES_MAX: usize = 16;

/// Latest state of the store, in the store's own encoding, for routers that can't reach it.
#[derive(Debug, Default)]
pub(crate) struct StoreView {
    /// The configuration's text.
    pub(crate) configuration: Option<Bytes>,
    /// The endpoints' entries by key.
    pub(crate) endpoints: HashMap<String, StoreItem>,
    /// Position of the latest change of an endpoint's entry that was seen.
    pub(crate) endpoints_at: StorePosition,
    /// First position seen in the store's current era; later revisions were written in this
    /// era.
    pub(crate) era_began_at: StorePosition,
    /// Latest changes of endpoints' entries.
    pub(crate) recent: VecDeque<RecentChange>,
}

/// A change that other routers may not have received.
#[derive(Debug, Clone)]
pub(crate) struct RecentChange {
    pub(crate) at: Timestamp,
    /// Position of the change before this one, in the same era.
    pub(crate) after: StorePosition,
    pub(crate) event: StoreEvent,
}

/// The state of one router.
pub(crate) struct Router {
    pub(crate) settings: RefCell<DirectSettings>,
    pub(crate) platform: SharedPlatform,
    pub(crate) clock: Clock,
    pub(crate) log: EventLog,
    pub(crate) metrics: Metrics,
    pub(crate) connections: ConnectionPool,
    /// Memory for the bodies of callers' requests.
    pub(crate) request_memory: BodyMemory,
    /// Memory for the bodies of responses and for the chunks that wait for callers.
    pub(crate) response_memory: BodyMemory,
    /// Chunks of streams that wait for callers.
    pub(crate) caller_queues: CallerQueues,
    pub(crate) introduction: RefCell<HostIntroduction>,
    pub(crate) routes: RefCell<Option<Rc<RouteTable>>>,
    /// Idle limits of callers' connections.
    pub(crate) idle_limits: RefCell<IdleLimits>,
    pub(crate) endpoints: RefCell<EndpointList>,
    /// Names of the endpoints in use, for logs.
    pub(super) endpoint_names: RefCell<HashMap<EndpointId, Arc<str>>>,
    /// When services last sent responses that end with their connection.
    pub(super) unframed_services: RefCell<HashMap<Arc<str>, Timestamp>>,
    /// Checks in progress of whether an endpoint crashed.
    pub(super) crash_checks: RefCell<HashMap<EndpointId, CrashCheck>>,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    /// Orders to evacuate availability zones.
    pub(super) evacuations: RefCell<Evacuations>,
    pub(crate) hosts: RefCell<HostTable>,
    pub(crate) store_view: RefCell<StoreView>,
    /// Number of open connections of callers.
    pub(crate) open_caller_connections: Cell<usize>,
    /// Addresses in the latest directory response.
    directory_addresses: RefCell<Vec<SocketAddr>>,
    /// Sequence number of the latest digest since the process started.
    digest_seq: Cell<u64>,
    /// Rate of arriving requests, which digests report to other routers.
    pub(crate) arrivals: ArrivalRate,
    /// Whether the processor keeps up with the load.
    pub(crate) pressure: RefCell<Pressure>,
    /// How long ago the configuration was known to be the newest.
    pub(crate) confirmation: RefCell<Confirmation>,
    /// How long messages of other routers were on their way.
    pub(crate) round_trips: RefCell<RoundTrips>,
    /// When a leaving router answers what is left.
    pub(crate) last_answers: LastAnswers,
    /// Connections whose requests are refused unread.
    pub(crate) unread: UnreadConnections,
    /// Unreadable items of the store that were logged.
    pub(super) unreadable: UnreadableItems,
    /// Number of times that the store was restored from a backup, as far as this router knows.
    pub(crate) store_era: Cell<u64>,
    /// Wakes the registration task when `store_era` rises.
    pub(crate) store_restored: Notify,
    /// Stamp that orders the configuration in force among other configurations.
    pub(crate) configuration: Cell<ConfigurationStamp>,
    /// Calls to the store that failed since its latest response.
    pub(super) store_outage: RefCell<StoreOutage>,
    /// Whether the store is within reach.
    pub(super) is_store_reachable: Cell<bool>,
    /// When `is_store_reachable` last changed.
    pub(super) store_reachability_changed_at: Cell<Timestamp>,
    /// Result of the latest call of `trusts_keys`.
    pub(super) were_keys_trusted: Cell<bool>,
    verdicts: RefCell<HashMap<QueueId, oneshot::Sender<Verdict>>>,
}

impl Router {
    pub(crate) fn new(
        settings: DirectSettings,
        platform: SharedPlatform,
        introduction: HostIntroduction,
        log: EventLog,
        metrics: Metrics,
    ) -> Self {
        let zone = Arc::from(settings.zone.to_string());
        let body_memory_bytes = settings.body_memory_bytes();
        Self {
            dispatcher: RefCell::new(Dispatcher::new(zone, settings.dispatcher())),
            settings: RefCell::new(settings),
            platform,
            clock: Clock::start(),
            log,
            metrics,
            connections: ConnectionPool::default(),
            request_memory: BodyMemory::new(body_memory_bytes),
            response_memory: BodyMemory::new(body_memory_bytes),
            caller_queues: CallerQueues::default(),
            introduction: RefCell::new(introduction),
            routes: RefCell::new(None),
            idle_limits: RefCell::default(),
            endpoints: RefCell::default(),
            endpoint_names: RefCell::default(),
            unframed_services: RefCell::default(),
            crash_checks: RefCell::default(),
            evacuations: RefCell::default(),
            hosts: RefCell::default(),
            store_view: RefCell::default(),
            open_caller_connections: Cell::new(0),
            directory_addresses: RefCell::default(),
            digest_seq: Cell::new(0),
            arrivals: ArrivalRate::default(),
            pressure: RefCell::default(),
            confirmation: RefCell::default(),
            round_trips: RefCell::default(),
            last_answers: LastAnswers::default(),
            unread: UnreadConnections::default(),
            unreadable: UnreadableItems::default(),
            store_era: Cell::default(),
            store_restored: Notify::new(),
            configuration: Cell::default(),
            store_outage: RefCell::default(),
            is_store_reachable: Cell::new(true),
            store_reachability_changed_at: Cell::default(),
            were_keys_trusted: Cell::new(true),
            verdicts: RefCell::default(),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the time since the process started.
    pub(crate) fn uptime(&self) -> Duration {
        self.now().since(Timestamp::default())
    }

    /// Returns how many more callers' connections may be opened.
    pub(crate) fn caller_connections_left(&self) -> usize {
        let max = self.settings.borrow().caller_connections_max();
        max.saturating_sub(self.open_caller_connections.get())
    }

    /// Returns the rate of arrivals per whole core that the process may use.
    pub(crate) fn arrivals_per_core_s(&self) -> u32 {
        let per_s = self.arrivals.per_s(self.now());
        (per_s / self.settings.borrow().cpu_cores) as u32
    }

    /// Logs the addresses in the directory whenever they change.
    pub(crate) fn log_directory_addresses(&self, addresses: &[SocketAddr]) {
        if *self.directory_addresses.borrow() == addresses {
            return;
        }
        *self.directory_addresses.borrow_mut() = addresses.to_vec();
        let logged = addresses.iter().take(LOGGED_ADDRESSES_MAX);
        let logged: Vec<String> = logged.map(ToString::to_string).collect();
        let fields = json!({
            "addresses": logged, "count": addresses.len(),
            "routers_known": self.hosts.borrow().known_len(),
        });
        self.log.write(Importance::Essential, "given_out", fields);
    }

    /// Returns the sequence number of the next digest.
    pub(crate) fn next_digest_seq(&self) -> u64 {
        self.digest_seq.set(self.digest_seq.get() + 1);
        self.digest_seq.get()
    }

    /// Updates the pressure with the delay of the latest tick, and logs when the router
    /// becomes or ceases to be crowded.
    pub(crate) fn update_pressure(&self, lag: Duration) {
        let now = self.now();
        let max = self.settings.borrow().caller_connections_max();
        let arrivals_per_core_s = self.arrivals_per_core_s();
        let is_overdrawn = self.caller_connections_left() < max / 4
            || self
                .hosts
                .borrow()
                .has_excess_arrivals(arrivals_per_core_s, now);
        let mut pressure = self.pressure.borrow_mut();
        if pressure.on_tick(lag, is_overdrawn, now) {
            let is_crowded = pressure.is_crowded();
            self.introduction.borrow_mut().is_crowded = is_crowded;
            let fields = json!({
                "is_crowded": is_crowded, "lag_ms": lag.as_millis() as u64,
                "arrivals_per_core_s": arrivals_per_core_s,
                "caller_connections": self.open_caller_connections.get(),
            });
            self.log.write(Importance::Essential, "crowded", fields);
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    pub(crate) fn phase(&self) -> HostPhase {
        self.introduction.borrow().phase
    }

    /// Applies a configuration that the store held in era `held_in_era` and that was written
    /// in `written_in_era`, if known. Ignores a configuration that is older or can't be
    /// decoded.
    pub(crate) fn on_configuration(
        &self,
        text: &Bytes,
        held_in_era: u64,
        written_in_era: Option<u64>,
        source: &str,
    ) {
        let table = match self.platform.decode_configuration(text) {
            Ok(table) => table,
            Err(error) => {
                let fields = json!({"error": error.to_string(), "source": source});
                self.log
                    .write(Importance::Essential, "configuration_unreadable", fields);
                return;
            }
        };
        let stamp = ConfigurationStamp::new(table.version, text, held_in_era, written_in_era);
        let mut current = self.configuration.get();
        let is_first = self.routes().is_none();
        if !is_first && stamp.is_same(&current) {
            current.join(&stamp);
            self.configuration.set(current);
            return;
        }
        if !is_first && !stamp.is_newer_than(&current) {
            if stamp.era_max > current.era_max {
                let fields = json!({
                    "version": current.version, "offered": stamp.version, "era": stamp.era_max,
                    "source": source,
                });
                self.log
                    .write(Importance::Essential, "configuration_kept", fields);
            }
            return;
        }
        self.configuration.set(stamp);
        let fields = json!({
            "version": table.version, "before": current.version, "routes": table.routes_len(),
            "era": stamp.era_max, "source": source,
        });
        self.log
            .write(Importance::Essential, "configuration", fields);
        let version = i64::try_from(table.version).unwrap_or(i64::MAX);
        self.metrics.configuration_version.set(version);
        let idle_limit = table.limits.idle_timeout;
        self.idle_limits
            .borrow_mut()
            .on_limit(idle_limit, self.now());
        self.dispatcher.borrow_mut().on_routes(&table);
        self.refresh_cold(source);
        *self.routes.borrow_mut() = Some(Rc::new(table));
        self.store_view.borrow_mut().configuration = Some(text.clone());
        let mut introduction = self.introduction.borrow_mut();
        if introduction.phase == HostPhase::Starting {
            introduction.phase = HostPhase::Serving;
            drop(introduction);
            self.log.write(Importance::Essential, "ready", json!({}));
        }
    }

    /// Applies changes of the endpoints.
    pub(crate) fn on_endpoint_changes(&self, changes: Vec<EndpointChange>, source: &str) {
        if changes.is_empty() {
            return;
        }
        let empty = Rc::default();
        let routes = self.routes().unwrap_or(empty);
        let (own, now) = (self.introduction.borrow().id(), self.now());
        let mut dispatcher = self.dispatcher.borrow_mut();
        for change in changes {
            let usable = match &change {
                EndpointChange::Usable(entry) => Some(entry.clone()),
                EndpointChange::Closed(_) => None,
            };
            let fields = match &change {
                EndpointChange::Usable(entry) => {
                    let name = Arc::clone(&entry.name);
                    self.endpoint_names.borrow_mut().insert(entry.id(), name);
                    json!({
                    "endpoint": &*entry.name, "service": &*entry.service, "state": "usable",
                    "address": entry.address.to_string(), "source": source,
                    })
                }
                EndpointChange::Closed(id) => {
                    self.connections.close_idle(*id);
                    let Some(name) = self.endpoint_names.borrow_mut().remove(id) else {
                        // The endpoint was closed before: a draining endpoint is closed before
                        // it is removed.
                        continue;
                    };
                    json!({"endpoint": &*name, "state": "closed", "source": source})
                }
            };
            self.log.write(Importance::Essential, "endpoint", fields);
            dispatcher.on_endpoint(change, &routes);
            if let Some(entry) = usable {
                dispatcher.on_entry(&entry, now);
            }
        }
        dispatcher.refresh_cold(own, now);
        drop(dispatcher);
        self.log_cold_changes(source);
        self.pump();
    }

    /// Applies an endpoint's announcement that it is leaving; the next digest passes it on to
    /// other routers.
    pub(crate) fn on_endpoint_leaving(&self, endpoint: EndpointId, source: &str) {
        let changes = self.endpoints.borrow_mut().on_leaving(endpoint, self.now());
        self.on_endpoint_changes(changes, source);
    }

    /// Applies an endpoint's request that this router send nothing to it for `pause`.
    pub(crate) fn on_pushback(&self, grant: &Grant, pause: Duration) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.on_pushback(grant.endpoint, pause, self.now());
        let fields = json!({
            "endpoint": &*grant.endpoint_name, "pause_ms": pause.as_millis() as u64,
        });
        self.log.write(Importance::Essential, "pushback", fields);
    }

    /// Queues a request for dispatch.
    pub(crate) fn submit(self: &Rc<Self>, spec: RequestSpec) -> QueuedRequest {
        let (sender, verdict) = oneshot::channel();
        let id = self.dispatcher.borrow_mut().submit(spec);
        self.verdicts.borrow_mut().insert(id, sender);
        self.pump();
        QueuedRequest {
            router: Rc::clone(self),
            id,
            verdict,
        }
    }

    /// Decides on the waiting requests.
    pub(crate) fn pump(&self) {
        let verdicts = {
            let mut dispatcher = self.dispatcher.borrow_mut();
            if !dispatcher.has_waiting() {
                return;
            }
            dispatcher.decide_waiting(self.now())
        };
        for (id, verdict) in verdicts {
            let sender = self.verdicts.borrow_mut().remove(&id);
            let run = match &verdict {
                Verdict::Send(grant) => Some(grant.run),
                Verdict::Refuse { .. } => None,
            };
            let is_delivered = sender.is_some_and(|sender| sender.send(verdict).is_ok());
            if let Some(run) = run
                && !is_delivered
            {
                self.dispatcher
                    .borrow_mut()
                    .on_ended(run, RunOutcome::Cancelled, self.now());
            }
        }
    }

    /// Returns a guard that ends the run even if its task is dropped.
    pub(crate) fn guard_run(self: &Rc<Self>, run: RunId) -> RunGuard {
        RunGuard {
            router: Rc::clone(self),
            run: Some(run),
        }
    }
}

/// A waiting request, which is withdrawn when this is dropped.
pub(crate) struct QueuedRequest {
    router: Rc<Router>,
    id: QueueId,
    pub(crate) verdict: oneshot::Receiver<Verdict>,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.router.verdicts.borrow_mut().remove(&self.id);
        self.router.dispatcher.borrow_mut().withdraw(self.id);
        if let Ok(Verdict::Send(grant)) = self.verdict.try_recv() {
            let now = self.router.now();
            let mut dispatcher = self.router.dispatcher.borrow_mut();
            dispatcher.on_ended(grant.run, RunOutcome::Cancelled, now);
        }
    }
}

/// A request at an endpoint, which counts as cancelled if this is dropped.
pub(crate) struct RunGuard {
    router: Rc<Router>,
    run: Option<RunId>,
}

impl RunGuard {
    /// Records that bytes of the response arrived.
    pub(crate) fn on_bytes(&self) {
        if let Some(run) = self.run {
            let mut dispatcher = self.router.dispatcher.borrow_mut();
            dispatcher.on_bytes(run, self.router.now());
        }
    }

    /// Records that events of a stream arrived, or, with `events` 0, a whole response.
    pub(crate) fn on_event(&self, events: u64) {
        if let Some(run) = self.run {
            let mut dispatcher = self.router.dispatcher.borrow_mut();
            dispatcher.on_event(run, events, self.router.now());
        }
    }

    /// Returns the run as evidence, should its endpoint have crashed.
    pub(crate) fn open_run(&self) -> Option<OpenRun> {
        let dispatcher = self.router.dispatcher.borrow();
        self.run.and_then(|run| dispatcher.open_run(run))
    }

    /// Returns when the endpoint will have outlived the beginning of the answer to a trial.
    pub(crate) fn trial_outlived_at(&self) -> Option<Timestamp> {
        let dispatcher = self.router.dispatcher.borrow();
        self.run.and_then(|run| dispatcher.trial_outlived_at(run))
    }

    /// Returns whether the run should be given up because its endpoint sends nothing any more.
    pub(crate) fn is_lost(&self) -> bool {
        let now = self.router.now();
        self.run
            .is_some_and(|run| self.router.dispatcher.borrow().is_lost(run, now))
    }

    /// Returns whether no stream of this router got a byte from the endpoint within `window`.
    pub(crate) fn is_endpoint_quiet(&self, window: Duration) -> bool {
        let now = self.router.now();
        let dispatcher = self.router.dispatcher.borrow();
        self.run
            .is_some_and(|run| dispatcher.is_endpoint_quiet(run, window, now))
    }

    /// Ends the run.
    pub(crate) fn end(mut self, ended: RunOutcome) {
        self.finish(ended);
    }

    fn finish(&mut self, ended: RunOutcome) {
        let Some(run) = self.run.take() else {
            return;
        };
        let label = match ended {
            RunOutcome::Done => "done",
            RunOutcome::ErrorAnswer => "error_answer",
            RunOutcome::Refused => "refused",
            RunOutcome::PushedBack => "pushed_back",
            RunOutcome::Unreachable => "unreachable",
            RunOutcome::Broken => "broken",
            RunOutcome::Cancelled => "cancelled",
        };
        self.router.metrics.sends.with_label_values(&[label]).inc();
        let now = self.router.now();
        self.router
            .dispatcher
            .borrow_mut()
            .on_ended(run, ended, now);
        self.router.pump();
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.finish(RunOutcome::Cancelled);
    }
}
