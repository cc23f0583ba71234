//! Counters, gauges and histograms of a router that dispatches on its own.
//!
//! Labels take values from fixed sets, so the number of series does not grow with the number
//! of callers.

use prometheus::core::Collector;
use prometheus::{
    Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

use crate::metrics;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.01, 0.02, 0.05, 0.1, 0.15, 0.25, 0.4, 0.5, 0.75, 1.0, 2.5, 10.0,
];

/// Upper bounds of the histogram of length ratios.
const LENGTH_RATIO_BUCKETS: [f64; 10] = [0.1, 0.25, 0.5, 0.7, 0.9, 1.1, 1.4, 2.0, 4.0, 10.0];

/// All metrics of one router.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Ended requests by kind of route and outcome.
    pub(crate) requests: IntCounterVec,
    /// Sends to endpoints by how they ended.
    pub(crate) sends: IntCounterVec,
    /// Ends of successful responses by what delimits them and by what the end was taken for.
    pub(crate) response_ends: IntCounterVec,
    /// Responses whose senders did not confirm their end, by cause.
    pub(crate) unconfirmed_ends: IntCounterVec,
    /// Time from the arrival of a request to the start of its response, by kind of route.
    pub(crate) answer_start: HistogramVec,
    /// Events of complete streams over the number that was expected.
    pub(crate) answer_length_ratio: Histogram,
    /// Time that requests waited for an endpoint.
    pub(crate) wait: Histogram,
    /// Requests that wait for an endpoint.
    pub(crate) waiting: IntGauge,
    /// Requests at endpoints.
    pub(crate) running: IntGauge,
    /// Bytes of the bodies of callers' requests that are in memory.
    pub(crate) request_body_bytes: IntGauge,
    /// Bytes of the bodies of responses that are in memory.
    pub(crate) response_body_bytes: IntGauge,
    /// Bytes of streams that wait for callers, which are also counted as bytes of responses.
    pub(crate) caller_unread_bytes: IntGauge,
    /// Streams that ended because their callers read slowly, by cause.
    pub(crate) slow_callers_closed: IntCounterVec,
    /// Calls to the store by use and result.
    pub(crate) store_calls: IntCounterVec,
    /// Digests by direction.
    pub(crate) digests: IntCounterVec,
    /// Bytes of digests that were sent.
    pub(crate) digest_sent_bytes: IntCounter,
    /// Connections to endpoints that were opened.
    pub(crate) connections_opened: IntCounter,
    /// Number of times that the listener for callers was closed temporarily, see
    /// [`daisynotch_core::direct::Pressure`].
    pub(crate) listener_pauses: IntCounter,
    /// Version of the configuration in force.
    pub(crate) configuration_version: IntGauge,
    /// Other routers that were heard from recently.
    pub(crate) routers_present: IntGauge,
    /// Crashes of endpoints with open requests, as seen by this router or reported to it.
    pub(crate) endpoint_crashes: IntCounter,
    /// Sets of prompt parts that are blocked because they crash endpoints.
    pub(crate) blocked_parts: IntGauge,
    /// Endpoints that state a limit on the rate of requests from all routers.
    pub(crate) limited_endpoints: IntGauge,
    /// Responses of endpoints that state such a limit.
    pub(crate) limited_responses: IntCounter,
    /// Availability zones to whose endpoints no request is sent, by order of the operators.
    pub(crate) evacuated_zones: IntGauge,
    /// Endpoints that are presumed cold.
    pub(crate) cold_endpoints: IntGauge,
}

impl Metrics {
    /// Registers all metrics.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let counters = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(format!("daisynotch_{name}"), help), labels)
        };
        let latency = |name: &str, help: &str| {
            HistogramOpts::new(format!("daisynotch_{name}"), help)
                .buckets(LATENCY_BUCKETS_S.to_vec())
        };
        let router_metrics = Self {
            registry: Registry::new(),
            requests: counters("requests_total", "Ended requests.", &["kind", "outcome"])?,
            sends: counters("sends_total", "Sends to endpoints.", &["ended"])?,
            response_ends: counters(
                "response_ends_total",
                "Ends of successful responses.",
                &["delimiter", "verdict"],
            )?,
            unconfirmed_ends: counters(
                "unconfirmed_ends_total",
                "Responses whose senders did not confirm their end.",
                &["cause"],
            )?,
            answer_start: HistogramVec::new(
                latency(
                    "answer_start_seconds",
                    "Arrival to the start of the answer.",
                ),
                &["kind"],
            )?,
            answer_length_ratio: Histogram::with_opts(
                HistogramOpts::new(
                    "daisynotch_answer_length_ratio",
                    "Length of complete streams over the expected length.",
                )
                .buckets(LENGTH_RATIO_BUCKETS.to_vec()),
            )?,
            wait: Histogram::with_opts(latency("wait_seconds", "Wait for a place."))?,
            waiting: IntGauge::new("daisynotch_waiting", "Requests that wait for a place.")?,
            running: IntGauge::new("daisynotch_running", "Requests at endpoints.")?,
            request_body_bytes: IntGauge::new(
                "daisynotch_request_body_bytes",
                "Bytes of the bodies of callers' requests in memory.",
            )?,
            response_body_bytes: IntGauge::new(
                "daisynotch_response_body_bytes",
                "Bytes of the bodies of responses in memory.",
            )?,
            caller_unread_bytes: IntGauge::new(
                "daisynotch_caller_unread_bytes",
                "Bytes of streams that wait for callers.",
            )?,
            slow_callers_closed: counters(
                "slow_callers_closed_total",
                "Streams that ended because their callers read slowly.",
                &["cause"],
            )?,
            store_calls: counters(
                "store_calls_total",
                "Calls to the store.",
                &["use", "result"],
            )?,
            digests: counters("digests_total", "Digests.", &["direction"])?,
            digest_sent_bytes: IntCounter::new(
                "daisynotch_digest_sent_bytes_total",
                "Bytes of digests sent.",
            )?,
            connections_opened: IntCounter::new(
                "daisynotch_endpoint_connections_opened_total",
                "Connections to endpoints opened.",
            )?,
            listener_pauses: IntCounter::new(
                "daisynotch_listener_pauses_total",
                "Times that the listener for callers was closed for a moment.",
            )?,
            configuration_version: IntGauge::new(
                "daisynotch_configuration_version",
                "Version of the configuration in force.",
            )?,
            routers_present: IntGauge::new(
                "daisynotch_routers_present",
                "Other routers heard lately.",
            )?,
            endpoint_crashes: IntCounter::new(
                "daisynotch_endpoint_crashes_total",
                "Crashes of endpoints with open requests, as far as known.",
            )?,
            blocked_parts: IntGauge::new(
                "daisynotch_blocked_parts",
                "Sets of prompt parts that are blocked because they crash endpoints.",
            )?,
            limited_endpoints: IntGauge::new(
                "daisynotch_limited_endpoints",
                "Endpoints that state a limit on the rate of requests from all routers.",
            )?,
            limited_responses: IntCounter::new(
                "daisynotch_limited_responses_total",
                "Responses of endpoints that state such a limit.",
            )?,
            evacuated_zones: IntGauge::new(
                "daisynotch_evacuated_zones",
                "Availability zones that are evacuated.",
            )?,
            cold_endpoints: IntGauge::new(
                "daisynotch_cold_endpoints",
                "Endpoints that are presumed cold and get few requests.",
            )?,
        };
        router_metrics.register()?;
        Ok(router_metrics)
    }

    /// Encodes all metrics in the text format.
    pub(crate) fn to_text(&self) -> Result<Vec<u8>, prometheus::Error> {
        metrics::to_text(&self.registry)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let collectors: [Box<dyn Collector>; 26] = [
            Box::new(self.requests.clone()),
            Box::new(self.sends.clone()),
            Box::new(self.response_ends.clone()),
            Box::new(self.unconfirmed_ends.clone()),
            Box::new(self.answer_start.clone()),
            Box::new(self.answer_length_ratio.clone()),
            Box::new(self.wait.clone()),
            Box::new(self.waiting.clone()),
            Box::new(self.running.clone()),
            Box::new(self.request_body_bytes.clone()),
            Box::new(self.response_body_bytes.clone()),
            Box::new(self.caller_unread_bytes.clone()),
            Box::new(self.slow_callers_closed.clone()),
            Box::new(self.store_calls.clone()),
            Box::new(self.digests.clone()),
            Box::new(self.digest_sent_bytes.clone()),
            Box::new(self.connections_opened.clone()),
            Box::new(self.listener_pauses.clone()),
            Box::new(self.configuration_version.clone()),
            Box::new(self.routers_present.clone()),
            Box::new(self.endpoint_crashes.clone()),
            Box::new(self.blocked_parts.clone()),
            Box::new(self.limited_endpoints.clone()),
            Box::new(self.limited_responses.clone()),
            Box::new(self.evacuated_zones.clone()),
            Box::new(self.cold_endpoints.clone()),
        ];
        metrics::register(&self.registry, collectors)
    }
}
