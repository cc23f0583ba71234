//! The routes, services, teams and limits of one configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

/// What may be done with a request of a route more than once.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum RouteKind {
    /// It may run any number of times.
    Safe,
    /// It may run once at most.
    Once,
    /// A stream of events that may run once at most.
    Stream,
    /// A stream of events that another endpoint may continue.
    ResumableStream,
}

impl RouteKind {
    /// Says whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Says whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }
}

/// One route: which requests it takes and how they are treated.
#[daisynotch_macros::value]
pub struct Route {
    /// Its name, for logs and metrics.
    pub name: Arc<str>,
    /// The host that requests name.
    pub host: String,
    /// The start of the paths, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may be kept.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is on time.
    pub objective: Duration,
    /// The most endpoints that may run one request.
    pub attempts_max: u32,
    /// Its rank; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no credential.
    pub anonymous: bool,
    /// The services and their weights.
    pub targets: SmallVec<[(Arc<str>, u32); 2]>,
}

impl Route {
    /// Picks a service by weight; `draw` is uniform over all 32-bit numbers.
    pub fn pick_service(&self, draw: u32) -> Option<&Arc<str>> {
        let total: u64 = self
            .targets
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut point = (u64::from(draw) * total) >> 32;
        for (service, weight) in &self.targets {
            let weight = u64::from(*weight);
            if point < weight {
                return Some(service);
            }
            point -= weight;
        }
        None
    }
}

/// What an engine of a service can hold.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct EngineLimits {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Tokens that its memory holds, of running requests and kept prompt parts.
    pub memory_tokens: u64,
}

/// One service: endpoints that answer the same requests.
#[daisynotch_macros::value]
pub struct ServiceView {
    /// Its name.
    pub name: Arc<str>,
    /// Connections that one endpoint accepts from all routers together.
    pub connections_max: u32,
    /// Set for batch engines.
    pub engine: Option<EngineLimits>,
}

/// One team.
#[daisynotch_macros::value]
pub struct TeamEntry {
    /// Its name.
    pub name: Arc<str>,
    /// Its rank, which goes before that of the route.
    pub priority: Option<u32>,
}

/// What a caller may send, and the capacity that teams share.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct CallerLimits {
    /// The longest head of a request.
    pub head_max_bytes: usize,
    /// The longest body.
    pub body_max_bytes: usize,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
    /// Tokens a second that teams share; a generated token counts twice.
    pub shared_tokens_per_s: Option<u64>,
}

impl Default for CallerLimits {
    /// Limits for the time before the first configuration.
    fn default() -> Self {
        Self {
            head_max_bytes: 16 * 1024,
            body_max_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
            shared_tokens_per_s: None,
        }
    }
}

/// One configuration, taken whole.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// Its number; a later one is higher.
    pub version: u64,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<ServiceView>>,
    teams: HashMap<String, Arc<TeamEntry>>,
    /// What callers may send.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Makes an empty table.
    pub fn new(version: u64, limits: CallerLimits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Adds a route.
    pub fn add_route(&mut self, route: Route) {
        let of_host = self
            .routes
            .entry(route.host.to_ascii_lowercase())
            .or_default();
        of_host.insert(route.prefix.clone(), Arc::new(route));
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: ServiceView) {
        self.services
            .insert(Arc::clone(&service.name), Arc::new(service));
    }

    /// Adds a team with the credentials that name it.
    pub fn add_team(&mut self, team: TeamEntry, credentials: impl IntoIterator<Item = String>) {
        let team = Arc::new(team);
        for credential in credentials {
            self.teams.insert(credential, Arc::clone(&team));
        }
    }

    /// Finds the route with the longest prefix of a path; a port in `host` is ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let of_host = match self.routes.get(name) {
            Some(of_host) => of_host,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        let ends = path
            .bytes()
            .enumerate()
            .rev()
            .filter(|(_, byte)| *byte == b'/');
        ends.into_iter()
            .find_map(|(end, _)| of_host.get(&path[..=end]))
    }

    /// Finds a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceView>> {
        self.services.get(name)
    }

    /// Finds the team of a credential.
    pub fn team_of(&self, credential: &str) -> Option<&Arc<TeamEntry>> {
        self.teams.get(credential)
    }

    /// Gives the number of routes.
    pub fn routes_len(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}

#[cfg(test)]
mod tests;
