//! An index over the objects of one configuration revision.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use daisynotch_objects::{
    CredentialDigest, EndpointName, Fencing, Limits, LimitsName, Objects, PoolName, RouteName,
    ShareName, TeamName,
};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::ShardId;
use crate::{EndpointId, PoolId, PoolKind, Revision, TeamId, ZoneId, ZoneName};

/// The default limit of a team's queued requests at one router.
const DEFAULT_QUEUED_REQUESTS: u32 = 256;
/// The default queue timeout of a request.
const DEFAULT_QUEUE_TIMEOUT_MS: u64 = 10_000;

/// Request limits with defaults applied.
#[daisynotch_macros::value]
#[derive(Copy)]
pub struct RequestLimits {
    /// The limit of concurrent requests; unlimited if absent.
    pub concurrent_requests: Option<u32>,
    /// The limit of queued requests at one router.
    pub queued_requests: u32,
    /// The limit of requests accepted per second; unlimited if absent.
    pub rate_per_s: Option<u32>,
    /// The longest time that a request is queued for a slot.
    pub queue_timeout: Duration,
}

/// The scheduling group that a team's service counts for: its share, or the team itself.
#[daisynotch_macros::value]
#[derive(Copy, Hash, PartialOrd, Ord)]
pub enum ShareKey {
    /// A share, identified by a hash of its name.
    Share(u64),
    /// A team that belongs to no share.
    Team(TeamId),
}

/// A team with its share and limits resolved.
#[daisynotch_macros::value]
pub struct TeamView {
    /// The team's name.
    pub name: TeamName,
    /// The scheduling group that the team's service counts for.
    pub share_key: ShareKey,
    /// The weight of the share, or of the team if it has no share.
    pub share_weight: u32,
    /// The name of the share, if the team has one.
    pub share: Option<ShareName>,
    /// The team's weight within its share.
    pub weight: u32,
    /// The team's own limits; the queue timeout is at most that of its share.
    pub limits: RequestLimits,
    /// The limits that apply to all teams of the share together.
    pub share_limits: Limits,
}

/// An endpoint with its pool and zone resolved to identifiers.
#[daisynotch_macros::value]
pub struct EndpointView {
    /// The endpoint's name.
    pub name: EndpointName,
    /// The endpoint's pool.
    pub pool: PoolId,
    /// The endpoint's availability zone.
    pub zone: ZoneId,
    /// The address that the endpoint listens on.
    pub address: SocketAddr,
    /// Whether the objects mark the endpoint as leaving.
    pub leaving: bool,
    /// Whether the endpoint checks fencing numbers.
    pub fencing: Fencing,
}

/// A pool with its endpoints grouped by shard.
#[daisynotch_macros::value]
pub struct PoolView {
    /// The pool's name.
    pub name: PoolName,
    /// The protocol of the pool's endpoints.
    pub kind: PoolKind,
    /// The initial limit of concurrent requests per endpoint.
    pub slots: u32,
    /// The longest time until the first byte of a response.
    pub first_byte_timeout: Duration,
    /// The longest time without data within a response.
    pub idle_timeout: Duration,
    /// The pool's endpoints by shard, sorted by identifier.
    pub shards: BTreeMap<ZoneId, Vec<EndpointId>>,
}

/// A route with its pool resolved to an identifier.
#[daisynotch_macros::value]
pub struct RouteView {
    /// The route's name.
    pub name: RouteName,
    /// The pool that serves the route's requests.
    pub pool: PoolId,
    /// Whether requests may safely run more than once.
    pub idempotent: bool,
}

/// All objects of one configuration revision, indexed by identifier.
#[daisynotch_macros::value]
#[derive(Default)]
pub struct Catalogue {
    /// The revision that the catalogue was built from.
    pub revision: Revision,
    /// The teams by identifier.
    pub teams: HashMap<TeamId, TeamView>,
    /// The pools by identifier.
    pub pools: BTreeMap<PoolId, PoolView>,
    /// The endpoints by identifier.
    pub endpoints: HashMap<EndpointId, EndpointView>,
    zones: HashMap<ZoneId, ZoneName>,
    credentials: HashMap<CredentialDigest, TeamId>,
    models: HashMap<String, RouteView>,
    prefixes: Vec<(String, RouteView)>,
}

impl Catalogue {
    /// Indexes objects that passed [`daisynotch_objects::check`] without errors.
    pub fn new(revision: Revision, objects: &Objects) -> Self {
        let mut catalogue = Self {
            revision,
            ..Self::default()
        };
        catalogue.add_teams(objects);
        catalogue.add_pools(objects);
        catalogue.add_endpoints(objects);
        catalogue.add_routes(objects);
        catalogue
    }

    /// Returns the team that a credential belongs to.
    pub fn team_of(&self, credential: &CredentialDigest) -> Option<TeamId> {
        self.credentials.get(credential).copied()
    }

    /// Returns the route of a model.
    pub fn route_of_model(&self, model: &str) -> Option<&RouteView> {
        self.models.get(model)
    }

    /// Returns the route with the longest matching prefix of a path.
    pub fn route_of_path(&self, path: &str) -> Option<&RouteView> {
        let matches = |prefix: &str| {
            path.strip_prefix(prefix).is_some_and(|rest| {
                rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
            })
        };
        self.prefixes
            .iter()
            .find(|(prefix, _)| matches(prefix))
            .map(|(_, route)| route)
    }

    /// Returns the shards of a pool.
    pub fn shards_of(&self, pool: PoolId) -> SmallVec<[ShardId; 4]> {
        let zones = self.pools.get(&pool).map(|view| view.shards.keys());
        let zones = zones.into_iter().flatten();
        zones.map(|zone| ShardId { pool, zone: *zone }).collect()
    }

    /// Returns whether a shard has an endpoint that is not leaving.
    pub fn has_staying_endpoint(&self, shard: ShardId) -> bool {
        let pool = self.pools.get(&shard.pool);
        let endpoints = pool.and_then(|pool| pool.shards.get(&shard.zone));
        let mut endpoints = endpoints.into_iter().flatten();
        endpoints.any(|id| !self.endpoints[id].leaving)
    }

    /// Returns the name of a zone, if the zone has an endpoint.
    pub fn zone_name(&self, zone: ZoneId) -> Option<&ZoneName> {
        self.zones.get(&zone)
    }

    /// Returns the shard that an endpoint belongs to.
    pub fn shard_of(&self, endpoint: EndpointId) -> Option<ShardId> {
        let view = self.endpoints.get(&endpoint)?;
        Some(ShardId {
            pool: view.pool,
            zone: view.zone,
        })
    }

    fn add_teams(&mut self, objects: &Objects) {
        for (name, team) in &objects.team {
            let id = TeamId::from(name);
            let share = team
                .share
                .as_ref()
                .and_then(|share| objects.share.get(share));
            let share_limits = share.and_then(|share| share.limits.as_ref());
            let share_limits = share_limits.and_then(|name| objects.limits.get(name));
            let share_limits = share_limits.cloned().unwrap_or_default();
            let view = TeamView {
                name: name.clone(),
                share_key: share_key(id, team.share.as_ref()),
                share_weight: share.map_or(team.weight, |share| share.weight),
                share: team.share.clone(),
                weight: team.weight,
                limits: request_limits(objects, team.limits.as_ref(), &share_limits),
                share_limits,
            };
            self.teams.insert(id, view);
            for credential in &team.credentials {
                self.credentials.insert(*credential, id);
            }
        }
    }

    fn add_pools(&mut self, objects: &Objects) {
        for (name, pool) in &objects.pool {
            let view = PoolView {
                name: name.clone(),
                kind: pool.kind,
                slots: pool.slots,
                first_byte_timeout: Duration::from_millis(pool.first_byte_timeout_ms),
                idle_timeout: Duration::from_millis(pool.idle_timeout_ms),
                shards: BTreeMap::new(),
            };
            self.pools.insert(PoolId::from(name), view);
        }
    }

    fn add_endpoints(&mut self, objects: &Objects) {
        for (name, endpoint) in &objects.endpoint {
            let id = EndpointId::from(name);
            let pool = PoolId::from(&endpoint.pool);
            let zone = ZoneId::from(&endpoint.zone);
            self.zones.insert(zone, endpoint.zone.clone());
            if let Some(view) = self.pools.get_mut(&pool) {
                view.shards.entry(zone).or_default().push(id);
            }
            let view = EndpointView {
                name: name.clone(),
                pool,
                zone,
                address: endpoint.address,
                leaving: endpoint.leaving,
                fencing: endpoint.fencing,
            };
            self.endpoints.insert(id, view);
        }
        for pool in self.pools.values_mut() {
            pool.shards
                .values_mut()
                .for_each(|shard| shard.sort_unstable());
        }
    }

    fn add_routes(&mut self, objects: &Objects) {
        for (name, route) in &objects.route {
            let view = RouteView {
                name: name.clone(),
                pool: PoolId::from(&route.pool),
                idempotent: route.idempotent,
            };
            if let Some(model) = &route.model {
                self.models.insert(model.clone(), view.clone());
            }
            if let Some(prefix) = &route.path_prefix {
                self.prefixes.push((prefix.clone(), view));
            }
        }
        let longest_first = |(prefix, _): &(String, RouteView)| std::cmp::Reverse(prefix.len());
        self.prefixes.sort_by_key(longest_first);
    }
}

fn share_key(team: TeamId, share: Option<&ShareName>) -> ShareKey {
    match share {
        Some(share) => ShareKey::Share(xxh3_64(share.as_str().as_bytes())),
        None => ShareKey::Team(team),
    }
}

fn request_limits(objects: &Objects, name: Option<&LimitsName>, share: &Limits) -> RequestLimits {
    let none = Limits::default();
    let limits = name
        .and_then(|name| objects.limits.get(name))
        .unwrap_or(&none);
    let timeouts_ms = [limits.queue_timeout_ms, share.queue_timeout_ms];
    let queue_timeout_ms = timeouts_ms.into_iter().flatten().min();
    RequestLimits {
        concurrent_requests: limits.concurrent_requests,
        queued_requests: limits.queued_requests.unwrap_or(DEFAULT_QUEUED_REQUESTS),
        rate_per_s: limits.rate_per_s,
        queue_timeout: Duration::from_millis(queue_timeout_ms.unwrap_or(DEFAULT_QUEUE_TIMEOUT_MS)),
    }
}
