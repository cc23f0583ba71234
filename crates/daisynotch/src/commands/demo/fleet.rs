//! The demo's fleet: routers, engines and services that run in this process.

use std::net::SocketAddr;
use std::time::Duration;

use daisynotch_objects::{CredentialDigest, Objects};
use daisynotch_platform::{ChangeId, ConfigStore, KeyValueClient, StoredObjects};
use daisynotch_router::{Daemon, HttpLimits, LogFormat, PeerSettings, Settings};
use daisynotch_standins::{Engine, EngineSettings, KeyValueStandin, PlainService};
use tokio::net::TcpListener;

use crate::commands::CommandError;

/// The availability zones of the demo, with one router each.
const ZONES: [&str; 3] = ["sc-a", "sc-b", "sc-c"];
/// The number of engines in each availability zone.
const ENGINES_PER_ZONE: usize = 2;
/// The number of concurrent requests that an engine runs at full speed.
pub(super) const ENGINE_BATCH: u32 = 8;
/// The path prefix of the orders service, a plain HTTP service.
pub(super) const ORDERS_PATH: &str = "/orders";
/// How long the orders service takes for one order.
const ORDER_DURATION: Duration = Duration::from_millis(10);
/// The timeout for the routers to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A team of the demo; each of its callers sends one request at a time.
pub(super) struct DemoTeam {
    pub(super) name: &'static str,
    pub(super) weight: u32,
    pub(super) callers: usize,
}

/// Teams of uneven size. The largest one demands far more than its fair share.
pub(super) const TEAMS: [DemoTeam; 5] = [
    team("mill-large", 2, 96),
    team("mill-middle", 1, 48),
    team("tailor-1", 1, 24),
    team("tailor-2", 1, 24),
    team("designer", 1, 2),
];

const fn team(name: &'static str, weight: u32, callers: usize) -> DemoTeam {
    DemoTeam {
        name,
        weight,
        callers,
    }
}

/// A running fleet, which stops when it is dropped.
pub(super) struct Fleet {
    pub(super) routers: Vec<Daemon>,
    pub(super) engines: Vec<Engine>,
    pub(super) orders: PlainService,
    _key_value: KeyValueStandin,
}

/// Returns the bearer token of a team's callers.
pub(super) fn bearer_token(team: &str) -> String {
    format!("token-of-{team}")
}

impl Fleet {
    /// Starts all components, publishes the objects and waits until every router has them and
    /// sees the other routers.
    pub(super) async fn start() -> Result<Self, CommandError> {
        let failed = |error: &dyn std::fmt::Display| CommandError::Failed(error.to_string());
        let key_value = KeyValueStandin::start()
            .await
            .map_err(|error| failed(&error))?;
        let engine_settings = EngineSettings {
            batch: ENGINE_BATCH,
            ..EngineSettings::default()
        };
        let mut engines = Vec::new();
        for _ in 0..ZONES.len() * ENGINES_PER_ZONE {
            let engine = Engine::start(engine_settings).await;
            engines.push(engine.map_err(|error| failed(&error))?);
        }
        let orders = PlainService::start(ORDERS_PATH, ORDER_DURATION).await;
        let orders = orders.map_err(|error| failed(&error))?;
        let objects = build_objects(&engines, orders.address())?;
        publish(key_value.address(), &objects).await?;
        let routers = start_routers(key_value.address()).await?;
        let fleet = Self {
            routers,
            engines,
            orders,
            _key_value: key_value,
        };
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    /// Drains all routers and waits until they have ended.
    pub(super) async fn drain(self) {
        futures::future::join_all(self.routers.into_iter().map(Daemon::drain)).await;
    }

    async fn wait_until_ready(&self) -> Result<(), CommandError> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        for router in &self.routers {
            while !router.is_ready(ZONES.len()).await {
                if tokio::time::Instant::now() > deadline {
                    return Err(CommandError::Failed(
                        "the demo's routers did not become ready in time".to_owned(),
                    ));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

fn build_objects(engines: &[Engine], orders: SocketAddr) -> Result<Objects, CommandError> {
    let mut text = format!(
        "[pool.weaver-llm]\nkind = \"inference\"\nslots = {ENGINE_BATCH}\n\
         [pool.orderdesk]\nkind = \"plain\"\n\
         [endpoint.orderdesk-1]\npool = \"orderdesk\"\nzone = \"{}\"\naddress = \"{orders}\"\n\
         [route.weaver]\npool = \"weaver-llm\"\nmodel = \"weaver-llm\"\n\
         [route.orders]\npool = \"orderdesk\"\npath_prefix = \"{ORDERS_PATH}\"\n",
        ZONES[0]
    );
    for (index, engine) in engines.iter().enumerate() {
        let zone = ZONES[index % ZONES.len()];
        text.push_str(&format!(
            "[endpoint.weaver-{index}]\npool = \"weaver-llm\"\nzone = \"{zone}\"\n\
             address = \"{}\"\n",
            engine.address()
        ));
    }
    for team in &TEAMS {
        let digest = CredentialDigest::of_token(bearer_token(team.name).as_bytes());
        text.push_str(&format!(
            "[team.{}]\nweight = {}\ncredentials = [\"{digest}\"]\n",
            team.name, team.weight
        ));
    }
    text.parse()
        .map_err(|error| CommandError::Failed(format!("{error}")))
}

async fn publish(key_value: SocketAddr, objects: &Objects) -> Result<(), CommandError> {
    let store = ConfigStore::new(KeyValueClient::new(key_value, Duration::from_secs(2)));
    store
        .publish(&StoredObjects::default(), objects, ChangeId(1))
        .await?;
    Ok(())
}

async fn start_routers(key_value: SocketAddr) -> Result<Vec<Daemon>, CommandError> {
    let failed = |error: &dyn std::fmt::Display| CommandError::Failed(error.to_string());
    let mut sockets = Vec::new();
    for zone in ZONES {
        let callers = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|error| failed(&error))?;
        let peers = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(|error| failed(&error))?;
        let address = peers.local_addr().map_err(|error| failed(&error))?;
        sockets.push((zone, callers, peers, address));
    }
    let all_peers: Vec<PeerSettings> = sockets
        .iter()
        .map(|(zone, _, _, address)| PeerSettings {
            router: format!("router-{zone}")
                .parse()
                .expect("router names are valid"),
            address: *address,
        })
        .collect();
    let mut routers = Vec::new();
    for (zone, callers, peers, peer_address) in sockets {
        let own_name: daisynotch_objects::RouterName = format!("router-{zone}")
            .parse()
            .expect("router names are valid");
        let settings = Settings {
            peers: all_peers
                .iter()
                .filter(|peer| peer.router != own_name)
                .cloned()
                .collect(),
            router: own_name,
            zone: zone.parse().expect("zone names are valid"),
            caller_address: callers.local_addr().map_err(|error| failed(&error))?,
            peer_address,
            operator_address: "127.0.0.1:0".parse().expect("the address is valid"),
            key_value_address: key_value,
            host_list_address: None,
            entry_keep_ms: 500,
            key_value_timeout_ms: 2_000,
            http: HttpLimits::default(),
            log_format: LogFormat::Text,
        };
        let daemon = Daemon::start_on(settings, callers, peers);
        routers.push(daemon.map_err(|error| failed(&error))?);
    }
    Ok(routers)
}
