//! Prometheus metrics, served at `/metrics` on the operator address.

use prometheus::core::Collector;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the time-to-first-token histogram, in seconds; 0.32 is the target.
const FIRST_TOKEN_BUCKETS_S: [f64; 12] = [
    0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 5.12, 10.24, 20.48,
];

/// All metrics of one router.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// The number of ended requests by route, team and outcome.
    pub(crate) requests: IntCounterVec,
    /// The time from a request's arrival to its first token or byte, by route and team.
    pub(crate) first_token: HistogramVec,
    /// The number of open requests.
    pub(crate) open_requests: IntGauge,
    /// The number of bytes sent to other routers.
    pub(crate) control_sent_bytes: IntCounter,
    /// The number of calls to the key-value service by use and result.
    pub(crate) key_value_calls: IntCounterVec,
    /// The revision of the objects in force.
    pub(crate) revision: IntGauge,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let metrics = Self {
            registry: Registry::new(),
            requests: IntCounterVec::new(
                Opts::new("daisynotch_requests_total", "Ended requests."),
                &["route", "team", "outcome"],
            )?,
            first_token: HistogramVec::new(
                HistogramOpts::new(
                    "daisynotch_first_token_seconds",
                    "Time from a request's arrival to its first token or byte.",
                )
                .buckets(FIRST_TOKEN_BUCKETS_S.to_vec()),
                &["route", "team"],
            )?,
            open_requests: IntGauge::new("daisynotch_open_requests", "Open requests.")?,
            control_sent_bytes: IntCounter::new(
                "daisynotch_control_sent_bytes_total",
                "Bytes sent to other routers.",
            )?,
            key_value_calls: IntCounterVec::new(
                Opts::new(
                    "daisynotch_key_value_calls_total",
                    "Calls to the key-value service.",
                ),
                &["use", "result"],
            )?,
            revision: IntGauge::new("daisynotch_revision", "Revision of the objects in force.")?,
        };
        metrics.register()?;
        Ok(metrics)
    }

    /// Encodes all metrics in the Prometheus text format.
    pub(crate) fn to_text(&self) -> Result<Vec<u8>, prometheus::Error> {
        to_text(&self.registry)
    }

    fn register(&self) -> Result<(), prometheus::Error> {
        let collectors: [Box<dyn Collector>; 6] = [
            Box::new(self.requests.clone()),
            Box::new(self.first_token.clone()),
            Box::new(self.open_requests.clone()),
            Box::new(self.control_sent_bytes.clone()),
            Box::new(self.key_value_calls.clone()),
            Box::new(self.revision.clone()),
        ];
        register(&self.registry, collectors)
    }
}

/// Registers metrics in a registry.
pub(crate) fn register(
    registry: &Registry,
    collectors: impl IntoIterator<Item = Box<dyn Collector>>,
) -> Result<(), prometheus::Error> {
    let mut collectors = collectors.into_iter();
    collectors.try_for_each(|collector| registry.register(collector))
}

/// Encodes the metrics of a registry in the Prometheus text format.
pub(crate) fn to_text(registry: &Registry) -> Result<Vec<u8>, prometheus::Error> {
    let mut text = Vec::new();
    TextEncoder::new().encode(&registry.gather(), &mut text)?;
    Ok(text)
}
