//! Settings of a router that dispatches on its own, in TOML.
//!
//! `docs/operations/direct-settings.md` lists every key. An unknown key is an error, because a
//! misspelt key would otherwise silently have no effect.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use daisynotch_core::direct::{
    ColdSettings, CostModel, DispatcherSettings, EndpointTiming, RetryBudgetSettings, ShareSettings,
};
use daisynotch_objects::{RouterName, ZoneName};

use crate::settings::SettingsError;
use crate::startup;

/// File descriptors reserved for files, endpoints, the store and other routers.
const RESERVED_DESCRIPTORS: usize = 1_200;
/// Memory per open connection: buffers of the HTTP library and of the socket.
const CONNECTION_BYTES: usize = 36 * 1024;
/// Fraction of `revoked_within_ms` for which keys are trusted without news from the store. The
/// rest allows for clock differences and message delays.
const TRUSTED_FRACTION: f64 = 0.85;
/// Fraction of the memory that callers' connections may use.
const CONNECTIONS_MEMORY_FRACTION: f64 = 0.45;

/// Fraction of the memory that the bodies of requests may use, and as much for responses.
const BODIES_MEMORY_FRACTION: f64 = 0.125;

/// Retry budget, shared by all routers.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries per request.
    pub ratio: f64,
    /// Retries in one window in addition to `ratio`.
    pub allowance: f64,
    /// Length of the window.
    pub window_s: f64,
}

/// How long callers' keys are trusted.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CredentialSettings {
    /// Whether requests with a key are refused while the router can't know that the key is
    /// still valid.
    pub fail_closed: bool,
    /// How long a key may still be used after it was revoked.
    pub revoked_within_ms: u64,
}

impl CredentialSettings {
    /// Returns the maximum age of the configuration at which its keys are trusted, or `None`
    /// if there is no limit.
    pub fn trusted_age_max(&self) -> Option<Duration> {
        let within = Duration::from_millis(self.revoked_within_ms);
        self.fail_closed.then(|| within.mul_f64(TRUSTED_FRACTION))
    }
}

/// How many requests cold endpoints get from all routers together.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ColdEndpointSettings {
    /// Bound on the requests that arrive in any second, as a multiple of the rate that a cold
    /// endpoint tolerates.
    pub overrun: f64,
    /// Requests that the bound allows in addition.
    pub tolerance: f64,
}

impl Default for ColdEndpointSettings {
    fn default() -> Self {
        let ColdSettings { overrun, tolerance } = ColdSettings::default();
        Self { overrun, tolerance }
    }
}

/// How endpoints keep their entries in the store.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EndpointEntrySettings {
    /// Interval at which an endpoint writes its entry.
    pub report_interval_ms: f64,
    /// How long an endpoint serves after the store has accepted that it leaves.
    pub drain_ms: f64,
}

impl Default for EndpointEntrySettings {
    fn default() -> Self {
        let EndpointTiming {
            report_interval,
            drain_time,
        } = EndpointTiming::default();
        Self {
            report_interval_ms: report_interval.as_secs_f64() * 1e3,
            drain_ms: drain_time.as_secs_f64() * 1e3,
        }
    }
}

/// Settings of a router that dispatches on its own.
#[derive(Debug, Clone, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DirectSettings {
    /// Name of this router.
    pub router: RouterName,
    /// Availability zone of this router.
    pub zone: ZoneName,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for the platform's readiness checks.
    pub ready_address: SocketAddr,
    /// Address of the directory, which tells callers where to connect.
    pub directory_address: SocketAddr,
    /// Address for digests (UDP) and requests (TCP) of other routers.
    pub peer_address: SocketAddr,
    /// Address for reading metrics.
    pub metrics_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Hosts that may know other routers; only their IP addresses are used.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Number of processor cores that the process may use, which may be a fraction.
    pub cpu_cores: f64,
    /// Maximum number of file descriptors that the process may open.
    pub descriptors_max: usize,
    /// Maximum memory that the process may use.
    pub memory_max_mb: usize,
    /// How long callers may cache a directory response.
    pub address_ttl_max_s: f64,
    /// How long a leaving router may take to exit.
    pub leave_max_s: f64,
    /// Window over which teams' shares are kept.
    pub share_window_s: f64,
    /// How the work of requests is estimated.
    #[serde(default)]
    pub request_cost: CostModel,
    /// Retry budget.
    pub retry: RetrySettings,
    /// How long callers' keys are trusted.
    pub credentials: CredentialSettings,
    /// How many requests cold endpoints get.
    #[serde(default)]
    pub cold: ColdEndpointSettings,
    /// How endpoints keep their entries in the store.
    #[serde(default)]
    pub endpoint_entries: EndpointEntrySettings,
}

impl DirectSettings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        startup::read_settings(path, Self::check)
    }

    /// Parses and checks settings.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        startup::parse_settings(text, Self::check)
    }

    /// Returns the settings of the dispatcher.
    pub fn dispatcher(&self) -> DispatcherSettings {
        DispatcherSettings {
            cost_model: self.request_cost,
            shares: ShareSettings {
                tokens_per_s: None,
                window: Duration::from_secs_f64(self.share_window_s),
            },
            retry_budget: RetryBudgetSettings {
                ratio: self.retry.ratio,
                allowance: self.retry.allowance,
                window: Duration::from_secs_f64(self.retry.window_s),
            },
            cold: ColdSettings {
                overrun: self.cold.overrun,
                tolerance: self.cold.tolerance,
            },
        }
    }

    /// Returns how endpoints keep their entries.
    pub fn endpoint_timing(&self) -> EndpointTiming {
        let ms = |value: f64| Duration::from_secs_f64(value / 1e3);
        EndpointTiming {
            report_interval: ms(self.endpoint_entries.report_interval_ms),
            drain_time: ms(self.endpoint_entries.drain_ms),
        }
    }

    /// Returns the maximum number of callers' connections that fit the descriptors and the
    /// memory of the process.
    pub fn caller_connections_max(&self) -> usize {
        let by_descriptors = self.descriptors_max.saturating_sub(RESERVED_DESCRIPTORS);
        let memory = (self.memory_max_mb * 1024 * 1024) as f64 * CONNECTIONS_MEMORY_FRACTION;
        by_descriptors
            .min(memory as usize / CONNECTION_BYTES)
            .max(1)
    }

    /// Returns the memory for the bodies of requests, and that for the bodies of responses.
    pub fn body_memory_bytes(&self) -> usize {
        ((self.memory_max_mb * 1024 * 1024) as f64 * BODIES_MEMORY_FRACTION) as usize
    }

    fn check(&self) -> Result<(), SettingsError> {
        let positive = |key, value: f64| {
            if value > 0.0 && value <= 86_400.0 {
                return Ok(());
            }
            Err(SettingsError::BadValue {
                key,
                problem: format!("is {value}: give a number above 0, up to 86,400"),
            })
        };
        positive("cpu_cores", self.cpu_cores)?;
        positive("address_ttl_max_s", self.address_ttl_max_s)?;
        positive("leave_max_s", self.leave_max_s)?;
        positive("share_window_s", self.share_window_s)?;
        positive("retry.window_s", self.retry.window_s)?;
        let revoked_within_s = self.credentials.revoked_within_ms as f64 / 1e3;
        positive("credentials.revoked_within_ms", revoked_within_s)?;
        let entries = &self.endpoint_entries;
        let report_interval_s = entries.report_interval_ms / 1e3;
        positive("endpoint_entries.report_interval_ms", report_interval_s)?;
        positive("endpoint_entries.drain_ms", entries.drain_ms / 1e3)?;
        let non_negative = |key, value: f64| {
            if value >= 0.0 && value.is_finite() {
                return Ok(());
            }
            Err(SettingsError::BadValue {
                key,
                problem: format!("is {value}: give 0 or more"),
            })
        };
        non_negative("retry.ratio", self.retry.ratio)?;
        non_negative("retry.allowance", self.retry.allowance)?;
        non_negative("cold.overrun", self.cold.overrun)?;
        non_negative("cold.tolerance", self.cold.tolerance)
    }
}

#[cfg(test)]
mod tests;
