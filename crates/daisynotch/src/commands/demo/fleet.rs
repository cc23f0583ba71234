//! The demo's processes, all in this one.

use std::net::SocketAddr;
use std::time::Duration;

use daisynotch_objects::{CredentialDigest, Objects};
use daisynotch_platform::{ChangeId, ConfigStore, KeyValueClient, StoredObjects};
use daisynotch_router::{Daemon, HttpLimits, LogFormat, PeerSettings, Settings};
use daisynotch_standins::{Engine, EngineSettings, KeyValueStandin, PlainService};
use tokio::net::TcpListener;

use crate::commands::CommandError;

/// The zones of the demo, with one router each.
const ZONES: [&str; 3] = ["sc-a", "sc-b", "sc-c"];
/// Engines in each zone.
const ENGINES_PER_ZONE: usize = 2;
/// Concurrent requests that an engine runs at full speed.
pub(super) const ENGINE_BATCH: u32 = 8;
/// The path prefix of the plain service.
pub(super) const ORDERS_PATH: &str = "/orders";
/// How long an order takes.
const ORDER_DURATION: Duration = Duration::from_millis(10);
/// How long the routers may take to get ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// A team of the demo and how many requests it keeps open.
pub(super) struct DemoTeam {
    pub(super) name: &'static str,
    pub(super) weight: u32,
    pub(super) callers: usize,
}

/// Teams of uneven size; the largest asks for far more than its part.
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

/// A running fleet; dropping it ends it.
pub(super) struct Fleet {
    pub(super) routers: Vec<Daemon>,
    pub(super) engines: Vec<Engine>,
    pub(super) orders: PlainService,
    _key_value: KeyValueStandin,
}

/// Gives the bearer token of a team's callers.
pub(super) fn token_of(team: &str) -> String {
    format!("token-of-{team}")
}

impl Fleet {
    /// Starts everything and waits until the routers have the objects.
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
        let objects = objects(&engines, orders.address())?;
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

    /// Lets every router finish what it has and end.
    pub(super) async fn drain(self) {
        futures::future::join_all(self.routers.into_iter().map(Daemon::drain)).await;
    }

    async fn wait_until_ready(&self) -> Result<(), CommandError> {
        let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
        for router in &self.routers {
            while !router.is_ready(ZONES.len()).await {
                if tokio::time::Instant::now() > deadline {
                    return Err(CommandError::Failed(
                        "the routers did not get ready".to_owned(),
                    ));
                }
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }
}

fn objects(engines: &[Engine], orders: SocketAddr) -> Result<Objects, CommandError> {
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
        let digest = CredentialDigest::of_token(token_of(team.name).as_bytes());
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
    let known: Vec<PeerSettings> = sockets
        .iter()
        .map(|(zone, _, _, address)| PeerSettings {
            router: format!("router-{zone}").parse().expect("it is a name"),
            address: *address,
        })
        .collect();
    let mut routers = Vec::new();
    for (zone, callers, peers, peer_address) in sockets {
        let own: daisynotch_objects::RouterName =
            format!("router-{zone}").parse().expect("it is a name");
        let settings = Settings {
            peers: known
                .iter()
                .filter(|peer| peer.router != own)
                .cloned()
                .collect(),
            router: own,
            zone: zone.parse().expect("it is a name"),
            caller_address: callers.local_addr().map_err(|error| failed(&error))?,
            peer_address,
            operator_address: "127.0.0.1:0".parse().expect("it is an address"),
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
