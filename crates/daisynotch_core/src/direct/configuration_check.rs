//! Checks a configuration before operators send it to the routers.
//!
//! Routers take any configuration that they can decode, so an entry that never takes effect shows
//! only when requests fail. See `docs/operations/check-config.md`.

mod callers;
mod routes;
mod services;

use std::collections::HashMap;
use std::fmt::{self, Display, Formatter};
use std::sync::Arc;

use super::configuration_entries::ConfigurationEntries;

/// How serious a finding is.
#[daisynotch_macros::value]
#[derive(Copy, PartialOrd, Ord)]
pub enum Severity {
    /// Routers reject the configuration, or requests surely fail.
    Error,
    /// An entry has no effect, or contradicts another one.
    Warning,
}

impl Display for Severity {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Error => "error",
            Self::Warning => "warning",
        })
    }
}

/// The part of a configuration that a finding or a difference concerns.
#[daisynotch_macros::value]
#[derive(Hash)]
pub enum ConfigurationObject {
    /// The configuration as a whole.
    Configuration,
    /// A route, by its name.
    Route(Arc<str>),
    /// A service, by its name.
    Service(Arc<str>),
    /// A team, by its name.
    Team(Arc<str>),
    /// The limits for callers and teams.
    Limits,
}

impl Display for ConfigurationObject {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Configuration => f.write_str("configuration"),
            Self::Route(name) => write!(f, "route {name}"),
            Self::Service(name) => write!(f, "service {name}"),
            Self::Team(name) => write!(f, "team {name}"),
            Self::Limits => f.write_str("limits"),
        }
    }
}

/// Something that is wrong with a configuration.
#[daisynotch_macros::value]
pub struct ConfigurationFinding {
    /// How serious it is.
    pub severity: Severity,
    /// The part that it concerns.
    pub object: ConfigurationObject,
    /// What is wrong, and what comes of it.
    pub problem: String,
    /// How an operator corrects it.
    pub fix: String,
}

impl ConfigurationFinding {
    /// Creates a finding of a configuration that is rejected or fails requests.
    pub fn error(
        object: ConfigurationObject,
        problem: impl Into<String>,
        fix: impl Into<String>,
    ) -> Self {
        Self {
            severity: Severity::Error,
            object,
            problem: problem.into(),
            fix: fix.into(),
        }
    }

    /// Creates a finding of an entry that has no effect or contradicts another one.
    pub fn warning(
        object: ConfigurationObject,
        problem: impl Into<String>,
        fix: impl Into<String>,
    ) -> Self {
        Self {
            severity: Severity::Warning,
            ..Self::error(object, problem, fix)
        }
    }
}

/// The number of endpoints that are registered for each service.
pub type EndpointCounts = HashMap<Arc<str>, usize>;

/// Checks the entries of a configuration against each other, and against the registered endpoints
/// if they are known.
pub fn check_configuration(
    entries: &ConfigurationEntries,
    endpoints: Option<&EndpointCounts>,
) -> Vec<ConfigurationFinding> {
    let mut findings = Vec::new();
    routes::check(entries, endpoints, &mut findings);
    services::check(entries, endpoints, &mut findings);
    callers::check_teams(entries, &mut findings);
    callers::check_limits(&entries.limits, &mut findings);
    findings
}

/// Checks whether a configuration would replace one in force that differs from it.
///
/// Routers order configurations by version, except after a restore of the store
/// (`docs/design/store-restore.md`).
pub fn check_version(version: u64, in_force: u64) -> Option<ConfigurationFinding> {
    let next = in_force.saturating_add(1);
    (version <= in_force).then(|| {
        ConfigurationFinding::error(
            ConfigurationObject::Configuration,
            format!(
                "version {version} is not above version {in_force} in force, so routers ignore it"
            ),
            format!("raise the version to {next} or more"),
        )
    })
}

/// Shortens a credential for display: at most a quarter of it and four characters are shown.
pub fn shorten_credential(credential: &str) -> String {
    let length = credential.chars().count();
    let shown: String = credential.chars().take((length / 4).min(4)).collect();
    let unit = if length == 1 {
        "character"
    } else {
        "characters"
    };
    format!("{shown}...({length} {unit})")
}

#[cfg(test)]
mod tests;
