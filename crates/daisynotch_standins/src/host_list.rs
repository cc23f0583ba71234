//! A stand-in for the platform's host list, in the JSON format of Prometheus HTTP service
//! discovery.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use serde::Serialize;
use viz::{IntoResponse, Request, Response, Result, Router, StatusCode, types::Json};

use crate::server::StandinServer;

/// A host on the list.
#[daisynotch_macros::value]
pub struct StandinHost {
    /// The router's name.
    pub router: String,
    /// The address that it listens on for its peers.
    pub peer_address: SocketAddr,
    /// The host's availability zone.
    pub zone: String,
    /// Whether the host is listed as leaving.
    pub leaving: bool,
}

#[derive(Debug, Default)]
struct State {
    hosts: Vec<StandinHost>,
    is_down: bool,
    calls: u64,
}

/// The host list. It serves the hosts that were set last, so a test controls how far it lags.
#[derive(Debug)]
pub struct HostListStandin {
    server: StandinServer,
    state: Arc<Mutex<State>>,
}

#[derive(Serialize)]
struct TargetGroup {
    targets: [String; 1],
    labels: Labels,
}

#[derive(Serialize)]
struct Labels {
    router: String,
    zone: String,
    state: &'static str,
}

impl HostListStandin {
    /// Starts with an empty list on a free loopback port.
    pub async fn start() -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let targets_state = Arc::clone(&state);
        let router = Router::new().get("/targets", move |request| {
            targets(Arc::clone(&targets_state), request)
        });
        let server = StandinServer::start(router).await?;
        Ok(Self { server, state })
    }

    /// Returns the address that the list is served on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the hosts on the list.
    pub fn set_hosts(&self, hosts: Vec<StandinHost>) {
        lock(&self.state).hosts = hosts;
    }

    /// Starts or ends an outage, during which all calls get status 503.
    pub fn set_down(&self, is_down: bool) {
        lock(&self.state).is_down = is_down;
    }

    /// Returns the number of calls, including those during an outage.
    pub fn calls(&self) -> u64 {
        lock(&self.state).calls
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

async fn targets(state: Arc<Mutex<State>>, _request: Request) -> Result<Response> {
    let mut state = lock(&state);
    state.calls += 1;
    if state.is_down {
        return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response());
    }
    let groups: Vec<TargetGroup> = state.hosts.iter().map(target_group).collect();
    Ok(Json::new(groups).into_response())
}

fn target_group(host: &StandinHost) -> TargetGroup {
    TargetGroup {
        targets: [host.peer_address.to_string()],
        labels: Labels {
            router: host.router.clone(),
            zone: host.zone.clone(),
            state: if host.leaving { "leaving" } else { "live" },
        },
    }
}
