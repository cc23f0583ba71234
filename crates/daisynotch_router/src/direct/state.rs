//! What the tasks of one router share; they all run on one thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::direct::{
    ConfigurationStamp, Confirmation, Digest, Dispatcher, EndpointChange, EndpointList, Grant,
    HostIntroduction, HostPhase, HostTable, Pressure, QueueId, RequestSpec, RouteTable, RunId,
    RunOutcome, StorePosition, Verdict,
};
use daisynotch_core::{EndpointId, Timestamp};
use daisynotch_platform::ports::{SharedPlatform, StoreEvent, StoreItem};
use serde_json::json;
use tokio::sync::{Notify, oneshot};

use super::connections::Connections;
use super::event_log::{EventLog, Weight};
use super::metrics::Metrics;
use super::settings::DirectSettings;
use super::unread::UnreadConnections;
use crate::clock::Clock;

/// Addresses that one log line names.
const GIVEN_OUT_LOGGED_MAX: usize = 16;

/// What the store last said, as it said it, for routers that can't reach it.
#[derive(Debug, Default)]
pub(crate) struct StoreView {
    /// The configuration's text.
    pub(crate) configuration: Option<Bytes>,
    /// The endpoints' entries.
    pub(crate) endpoints: HashMap<String, StoreItem>,
    /// The last change of an endpoint's entry that was seen.
    pub(crate) endpoints_at: StorePosition,
    /// The first revision that was seen in the store's era: later ones were written in it.
    pub(crate) era_began_at: StorePosition,
    /// The latest changes of endpoints' entries, each with what it follows.
    pub(crate) recent: VecDeque<RecentChange>,
}

/// A change that others may not have heard of.
#[derive(Debug, Clone)]
pub(crate) struct RecentChange {
    pub(crate) at: Timestamp,
    /// What it follows, in the same era.
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
    pub(crate) connections: Connections,
    pub(crate) introduction: RefCell<HostIntroduction>,
    pub(crate) routes: RefCell<Option<Rc<RouteTable>>>,
    pub(crate) endpoints: RefCell<EndpointList>,
    /// The names of endpoints in use, for logs.
    endpoint_names: RefCell<HashMap<EndpointId, Arc<str>>>,
    pub(crate) dispatcher: RefCell<Dispatcher>,
    pub(crate) hosts: RefCell<HostTable>,
    pub(crate) store_view: RefCell<StoreView>,
    /// Callers' connections that are open.
    pub(crate) open_callers: Cell<usize>,
    /// The addresses that callers were last told.
    given_out: RefCell<Vec<SocketAddr>>,
    /// Counts the digests of this start.
    digest_seq: Cell<u64>,
    /// Requests that arrive, which the others are told.
    pub(crate) arrivals: ArrivalRate,
    /// Whether the processor keeps up.
    pub(crate) pressure: RefCell<Pressure>,
    /// How long ago the configuration was known to be the newest.
    pub(crate) confirmation: RefCell<Confirmation>,
    /// Connections whose request is refused unread.
    pub(crate) unread: UnreadConnections,
    /// How often the store has come back from a copy, as far as is known.
    pub(crate) store_era: Cell<u64>,
    /// Wakes the task that registers this router when that rises.
    pub(crate) restored: Notify,
    /// What orders the configuration in force.
    pub(crate) configuration: Cell<ConfigurationStamp>,
    /// Whether the last call to the store got an answer.
    pub(crate) is_store_present: Cell<bool>,
    /// When that last changed.
    store_changed_at: Cell<Timestamp>,
    /// Whether keys were trusted when that was last asked.
    is_trusting: Cell<bool>,
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
        Self {
            dispatcher: RefCell::new(Dispatcher::new(zone, settings.dispatcher())),
            settings: RefCell::new(settings),
            platform,
            clock: Clock::start(),
            log,
            metrics,
            connections: Connections::default(),
            introduction: RefCell::new(introduction),
            routes: RefCell::new(None),
            endpoints: RefCell::default(),
            endpoint_names: RefCell::default(),
            hosts: RefCell::default(),
            store_view: RefCell::default(),
            open_callers: Cell::new(0),
            given_out: RefCell::default(),
            digest_seq: Cell::new(0),
            arrivals: ArrivalRate::default(),
            pressure: RefCell::default(),
            confirmation: RefCell::default(),
            unread: UnreadConnections::default(),
            store_era: Cell::default(),
            restored: Notify::new(),
            configuration: Cell::default(),
            is_store_present: Cell::new(true),
            store_changed_at: Cell::default(),
            is_trusting: Cell::new(true),
            verdicts: RefCell::default(),
        }
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Gives the time since the process started.
    pub(crate) fn uptime(&self) -> Duration {
        self.now().since(Timestamp::default())
    }

    /// Gives how many more callers' connections may be opened.
    pub(crate) fn connections_left(&self) -> usize {
        let max = self.settings.borrow().caller_connections_max();
        max.saturating_sub(self.open_callers.get())
    }

    /// Gives the rate of arrivals for each whole core that the process may use.
    pub(crate) fn arrivals_per_core_s(&self) -> u32 {
        let per_s = self.arrivals.per_s(self.now());
        (per_s / self.settings.borrow().cpu_cores) as u32
    }

    /// Logs where callers are told to connect whenever that changes.
    pub(crate) fn note_given_out(&self, addresses: &[SocketAddr]) {
        if *self.given_out.borrow() == addresses {
            return;
        }
        *self.given_out.borrow_mut() = addresses.to_vec();
        let named = addresses.iter().take(GIVEN_OUT_LOGGED_MAX);
        let named: Vec<String> = named.map(ToString::to_string).collect();
        let fields = json!({
            "addresses": named, "count": addresses.len(),
            "routers_known": self.hosts.borrow().known_len(),
        });
        self.log.write(Weight::Essential, "given_out", fields);
    }

    /// Numbers the next digest.
    pub(crate) fn next_digest_seq(&self) -> u64 {
        self.digest_seq.set(self.digest_seq.get() + 1);
        self.digest_seq.get()
    }

    /// Takes the time by which the latest tick was late, and decides whether this router
    /// carries more than it should.
    pub(crate) fn note_lag(&self, lag: Duration) {
        let now = self.now();
        let max = self.settings.borrow().caller_connections_max();
        let arrivals_per_core_s = self.arrivals_per_core_s();
        let is_overdrawn = self.connections_left() < max / 4
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
                "caller_connections": self.open_callers.get(),
            });
            self.log.write(Weight::Essential, "crowded", fields);
        }
    }

    /// Gives the configuration in force.
    pub(crate) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().clone()
    }

    pub(crate) fn phase(&self) -> HostPhase {
        self.introduction.borrow().phase
    }

    /// Takes a configuration's text that the store held in era `held_in`; an older or unreadable
    /// one changes nothing.
    pub(crate) fn on_configuration(
        &self,
        text: &Bytes,
        held_in: u64,
        written_in: Option<u64>,
        source: &str,
    ) {
        let table = match self.platform.decode_configuration(text) {
            Ok(table) => table,
            Err(error) => {
                let fields = json!({"error": error.to_string(), "source": source});
                self.log
                    .write(Weight::Essential, "configuration_unreadable", fields);
                return;
            }
        };
        let stamp = ConfigurationStamp::new(table.version, text, held_in, written_in);
        let mut held = self.configuration.get();
        let is_first = self.routes().is_none();
        if !is_first && stamp.is_same(&held) {
            held.join(&stamp);
            self.configuration.set(held);
            return;
        }
        if !is_first && !stamp.is_newer_than(&held) {
            if stamp.era_max > held.era_max {
                let fields = json!({
                    "version": held.version, "offered": stamp.version, "era": stamp.era_max,
                    "source": source,
                });
                self.log
                    .write(Weight::Essential, "configuration_kept", fields);
            }
            return;
        }
        self.configuration.set(stamp);
        let fields = json!({
            "version": table.version, "before": held.version, "routes": table.routes_len(),
            "era": stamp.era_max, "source": source,
        });
        self.log.write(Weight::Essential, "configuration", fields);
        let version = i64::try_from(table.version).unwrap_or(i64::MAX);
        self.metrics.configuration_version.set(version);
        self.dispatcher.borrow_mut().on_routes(&table);
        *self.routes.borrow_mut() = Some(Rc::new(table));
        self.store_view.borrow_mut().configuration = Some(text.clone());
        let mut introduction = self.introduction.borrow_mut();
        if introduction.phase == HostPhase::Starting {
            introduction.phase = HostPhase::Serving;
            drop(introduction);
            self.log.write(Weight::Essential, "ready", json!({}));
        }
    }

    /// Takes another router's word on the age of its configuration, if that is the one in
    /// force here or an older one.
    pub(crate) fn on_configuration_age(&self, digest: &Digest, now: Timestamp) {
        if let Some(age_ms) = digest.configuration_age_ms
            && !digest
                .configuration
                .is_newer_than(&self.configuration.get())
        {
            let age = Duration::from_millis(u64::from(age_ms));
            self.confirmation
                .borrow_mut()
                .on_peer_confirmation(age, now);
        }
    }

    /// Says whether keys may be trusted: where a withdrawn one must be refused in time by all
    /// means, only as long as the configuration is known to be the newest.
    pub(crate) fn trusts_keys(&self) -> bool {
        let max = self.settings.borrow().credentials.trusted_max();
        let Some(max) = max else {
            return true;
        };
        let holds = self.confirmation.borrow().is_fresh(max, self.now());
        if self.is_trusting.replace(holds) != holds {
            let age = self.confirmation.borrow().age(self.now());
            let fields = json!({
                "trusted": holds, "age_ms": age.map(|age| age.as_millis() as u64),
                "version": self.routes().map_or(0, |routes| routes.version),
            });
            self.log.write(Weight::Essential, "keys", fields);
        }
        holds
    }

    /// Takes changes of the endpoints.
    pub(crate) fn on_endpoint_changes(&self, changes: Vec<EndpointChange>, source: &str) {
        if changes.is_empty() {
            return;
        }
        let empty = Rc::default();
        let routes = self.routes().unwrap_or(empty);
        let mut dispatcher = self.dispatcher.borrow_mut();
        for change in changes {
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
                    self.connections.forget(*id);
                    let Some(name) = self.endpoint_names.borrow_mut().remove(id) else {
                        // It was closed before, as one that drains is before it goes.
                        continue;
                    };
                    json!({"endpoint": &*name, "state": "closed", "source": source})
                }
            };
            self.log.write(Weight::Essential, "endpoint", fields);
            dispatcher.on_endpoint(change, &routes);
        }
        drop(dispatcher);
        self.pump();
    }

    /// Takes an endpoint's own word that it leaves; other routers hear it with the next digest.
    pub(crate) fn on_endpoint_leaving(&self, endpoint: EndpointId, source: &str) {
        let changes = self.endpoints.borrow_mut().on_leaving(endpoint, self.now());
        self.on_endpoint_changes(changes, source);
    }

    /// Takes an endpoint's word that it wants nothing from this router for a time.
    pub(crate) fn on_pushback(&self, grant: &Grant, pause: Duration) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.on_pushback(grant.endpoint, pause, self.now());
        let fields = json!({
            "endpoint": &*grant.endpoint_name, "pause_ms": pause.as_millis() as u64,
        });
        self.log.write(Weight::Essential, "pushback", fields);
    }

    /// Takes how often the store has come back from a copy.
    ///
    /// Entries of the seconds that were lost may be written again, as after an outage.
    pub(crate) fn on_store_era(&self, era: u64, source: &str) {
        let before = self.store_era.get();
        if era <= before {
            return;
        }
        self.store_era.set(era);
        // The first one that a router hears of is the one that it starts in.
        if before == 0 {
            return;
        }
        let now = self.now();
        self.endpoints.borrow_mut().on_store_recovery(now);
        self.confirmation.borrow_mut().on_restore(now);
        self.restored.notify_one();
        let fields = json!({"era": era, "before": before, "source": source});
        self.log.write(Weight::Essential, "store_restored", fields);
    }

    /// Notes whether the store answered; logs when that changes.
    pub(crate) fn on_store_answer(&self, is_present: bool, detail: &str) {
        if self.is_store_present.replace(is_present) == is_present {
            return;
        }
        self.introduction.borrow_mut().has_store = is_present;
        self.store_changed_at.set(self.now());
        let event = if is_present {
            "store_regained"
        } else {
            "store_lost"
        };
        self.log
            .write(Weight::Essential, event, json!({"detail": detail}));
        if is_present {
            self.endpoints.borrow_mut().on_store_recovery(self.now());
        }
    }

    /// Counts the store as present again some time after a loss, on a router that does not
    /// read there now: only another try can tell.
    pub(crate) fn forget_store_loss(&self, after: Duration) {
        let is_over = self.now().since(self.store_changed_at.get()) > after;
        if !self.is_store_present.get() && is_over {
            self.is_store_present.set(true);
            self.introduction.borrow_mut().has_store = true;
        }
    }

    /// Lets a request wait for its place.
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

    /// Decides on the requests that wait.
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
            let is_taken = sender.is_some_and(|sender| sender.send(verdict).is_ok());
            if let Some(run) = run
                && !is_taken
            {
                self.dispatcher
                    .borrow_mut()
                    .on_ended(run, RunOutcome::Cancelled, self.now());
            }
        }
    }

    /// Starts to watch over a run, so that it ends even if its task is dropped.
    pub(crate) fn guard(self: &Rc<Self>, run: RunId) -> RunGuard {
        RunGuard {
            router: Rc::clone(self),
            run: Some(run),
        }
    }
}

/// The time over which the rate of arrivals is smoothed.
const ARRIVALS_SMOOTHED_S: f64 = 0.5;

/// Requests a second, smoothed.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRate {
    per_s: Cell<f64>,
    at: Cell<Timestamp>,
}

impl ArrivalRate {
    /// Counts a request.
    pub(crate) fn add(&self, now: Timestamp) {
        self.per_s.set(self.per_s(now) + 1.0 / ARRIVALS_SMOOTHED_S);
    }

    /// Gives the rate.
    pub(crate) fn per_s(&self, now: Timestamp) -> f64 {
        let passed_s = now.since(self.at.replace(now)).as_secs_f64();
        let decayed = self.per_s.get() * (-passed_s / ARRIVALS_SMOOTHED_S).exp();
        self.per_s.set(decayed);
        decayed
    }
}

/// A request that waits; dropping it withdraws it.
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

/// A request at an endpoint; dropping it counts as cancelled.
pub(crate) struct RunGuard {
    router: Rc<Router>,
    run: Option<RunId>,
}

impl RunGuard {
    /// Notes bytes of the answer.
    pub(crate) fn on_bytes(&self) {
        if let Some(run) = self.run {
            let mut dispatcher = self.router.dispatcher.borrow_mut();
            dispatcher.on_bytes(run, self.router.now());
        }
    }

    /// Says whether the run should be given up, since its endpoint sends nothing any more.
    pub(crate) fn is_lost(&self) -> bool {
        let now = self.router.now();
        self.run
            .is_some_and(|run| self.router.dispatcher.borrow().is_lost(run, now))
    }

    /// Says whether no stream of this router got a byte from the endpoint lately.
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
        let word = match ended {
            RunOutcome::Done => "done",
            RunOutcome::ErrorAnswer => "error_answer",
            RunOutcome::Refused => "refused",
            RunOutcome::PushedBack => "pushed_back",
            RunOutcome::Unreachable => "unreachable",
            RunOutcome::Broken => "broken",
            RunOutcome::Cancelled => "cancelled",
        };
        self.router.metrics.sends.with_label_values(&[word]).inc();
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
