//! The entries of a configuration in the order in which they were written.

use std::sync::Arc;

use super::routes::{CallerLimits, Route, RouteTable, ServiceView, TeamEntry};

/// All entries of one configuration, also those that another one replaces.
///
/// A [`RouteTable`] holds only the entries that take effect, so a check needs the entries
/// themselves.
#[derive(Debug, Clone, Default)]
pub struct ConfigurationEntries {
    /// The configuration's version.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services.
    pub services: Vec<ServiceView>,
    /// The teams with their credentials.
    pub teams: Vec<(TeamEntry, Vec<String>)>,
    /// Limits for callers, and the capacity that teams share.
    pub limits: CallerLimits,
}

impl From<ConfigurationEntries> for RouteTable {
    /// Builds the table in which a later entry replaces an earlier one of the same key.
    fn from(entries: ConfigurationEntries) -> Self {
        let mut table = Self::new(entries.version, entries.limits);
        for route in entries.routes {
            table.add_route(route);
        }
        for service in entries.services {
            table.add_service(service);
        }
        for (team, credentials) in entries.teams {
            table.add_team(team, credentials);
        }
        table
    }
}

impl ConfigurationEntries {
    /// Returns whether routers replace `route` by a later one with the same host and prefix.
    pub(super) fn replacement_of(&self, index: usize) -> Option<&Arc<str>> {
        let route = &self.routes[index];
        let later = self.routes[index + 1..].iter().rev().find(|later| {
            later.host.eq_ignore_ascii_case(&route.host) && later.prefix == route.prefix
        });
        later.map(|later| &later.name)
    }
}
