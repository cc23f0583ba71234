//! The routes, services, teams and limits of one configuration.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use super::shared_limits::RequestRate;

/// Whether requests of a route may run more than once, and whether their answers are streams.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum RouteKind {
    /// A request may run any number of times.
    Safe,
    /// A request may run at most once.
    Once,
    /// The answer is an event stream, and the request may run at most once.
    Stream,
    /// The answer is an event stream that another endpoint may resume.
    ResumableStream,
}

impl RouteKind {
    /// Returns whether the answer is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Returns whether a request that may already have run can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Safe | Self::ResumableStream)
    }
}

/// Matches requests by host and path prefix, and sets how they are handled.
#[daisynotch_macros::value]
pub struct Route {
    /// The route's name in logs and metrics.
    pub name: Arc<str>,
    /// The host name in matching requests, compared without regard to case.
    pub host: String,
    /// The prefix of matching paths, which starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may run more than once, and whether answers are streams.
    pub kind: RouteKind,
    /// The maximum time that the router spends on a request.
    pub timeout: Duration,
    /// The latency objective of an answer, or of its first event.
    pub objective: Duration,
    /// The maximum number of endpoints that may run one request.
    pub attempts_max: u32,
    /// The priority of requests; 0 is the most urgent.
    pub priority: u32,
    /// Whether requests need no credential.
    pub anonymous: bool,
    /// The services that may answer requests, with their weights.
    pub targets: SmallVec<[(Arc<str>, u32); 2]>,
}

impl Route {
    /// Picks a service by weight. `draw` must be uniformly distributed over all 32-bit numbers.
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

/// Capacity limits of each engine of a service.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct EngineLimits {
    /// The number of requests that an engine runs concurrently.
    pub slots: u32,
    /// The number of tokens that fit in an engine's memory, of running requests and cached prompt
    /// parts.
    pub memory_tokens: u64,
}

/// What the endpoints of a service tolerate after a start.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct ColdStart {
    /// How long an endpoint is cold after it starts during traffic.
    pub lasts: Duration,
    /// The rate of requests from all routers together that a cold endpoint tolerates.
    pub rate: RequestRate,
}

/// A group of endpoints that answer the same requests.
#[daisynotch_macros::value]
pub struct ServiceView {
    /// The service's name.
    pub name: Arc<str>,
    /// The number of connections that one endpoint accepts from all routers together.
    pub connections_max: u32,
    /// The path at which an endpoint describes itself.
    pub status_path: Arc<str>,
    /// The limits of each engine, set for services of batch engines only.
    pub engine: Option<EngineLimits>,
    /// What endpoints tolerate after a start; `None` if they are never cold.
    pub cold_start: Option<ColdStart>,
}

/// A team to which credentials belong.
#[daisynotch_macros::value]
pub struct TeamEntry {
    /// The team's name.
    pub name: Arc<str>,
    /// The priority of the team's requests, which overrides that of the route.
    pub priority: Option<u32>,
}

/// Limits for callers' requests and connections, and the capacity that teams share.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct CallerLimits {
    /// The maximum size of a request head.
    pub head_max_bytes: usize,
    /// The maximum size of a request body.
    pub body_max_bytes: usize,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
    /// The tokens per second that teams share. A generated token counts twice.
    pub shared_tokens_per_s: Option<u64>,
}

impl Default for CallerLimits {
    /// Returns the limits that apply until the first configuration arrives.
    fn default() -> Self {
        Self {
            head_max_bytes: 16 * 1024,
            body_max_bytes: 4 * 1024 * 1024,
            idle_timeout: Duration::from_secs(15),
            shared_tokens_per_s: None,
        }
    }
}

/// The complete contents of one configuration.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    /// The configuration's version; later configurations have higher ones.
    pub version: u64,
    routes: HashMap<String, HashMap<String, Arc<Route>>>,
    services: HashMap<Arc<str>, Arc<ServiceView>>,
    teams: HashMap<String, Arc<TeamEntry>>,
    /// Limits for callers, and the capacity that teams share.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Creates a table without routes, services and teams.
    pub fn new(version: u64, limits: CallerLimits) -> Self {
        Self {
            version,
            limits,
            ..Self::default()
        }
    }

    /// Adds a route; it replaces one with the same host and prefix.
    pub fn add_route(&mut self, route: Route) {
        let host_routes = self
            .routes
            .entry(route.host.to_ascii_lowercase())
            .or_default();
        host_routes.insert(route.prefix.clone(), Arc::new(route));
    }

    /// Adds a service; it replaces one with the same name.
    pub fn add_service(&mut self, service: ServiceView) {
        self.services
            .insert(Arc::clone(&service.name), Arc::new(service));
    }

    /// Adds a team with its credentials.
    pub fn add_team(&mut self, team: TeamEntry, credentials: impl IntoIterator<Item = String>) {
        let team = Arc::new(team);
        for credential in credentials {
            self.teams.insert(credential, Arc::clone(&team));
        }
    }

    /// Finds the route whose prefix is the longest match for a path. A port in `host` is ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let host_routes = match self.routes.get(name) {
            Some(host_routes) => host_routes,
            None => self.routes.get(&name.to_ascii_lowercase())?,
        };
        let slashes = path
            .bytes()
            .enumerate()
            .rev()
            .filter(|(_, byte)| *byte == b'/');
        slashes
            .into_iter()
            .find_map(|(end, _)| host_routes.get(&path[..=end]))
    }

    /// Finds a service by name.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceView>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceView> {
        self.services.values().map(|service| &**service)
    }

    /// Finds the team to which a credential belongs.
    pub fn team_of(&self, credential: &str) -> Option<&Arc<TeamEntry>> {
        self.teams.get(credential)
    }

    /// Returns the number of routes.
    pub fn routes_len(&self) -> usize {
        self.routes.values().map(HashMap::len).sum()
    }
}

#[cfg(test)]
mod tests;
