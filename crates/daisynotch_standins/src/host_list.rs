//! The platform's host list, in the JSON form of Prometheus HTTP service discovery.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use serde::Serialize;
use viz::{IntoResponse, Request, Response, Result, Router, StatusCode, types::Json};

use crate::server::StandinServer;

/// One host of the list.
#[daisynotch_macros::value]
pub struct StandinHost {
    /// The router's name.
    pub router: String,
    /// Where it listens for routers.
    pub peer_address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Whether it is listed as leaving.
    pub leaving: bool,
}

#[derive(Debug, Default)]
struct State {
    hosts: Vec<StandinHost>,
    is_down: bool,
    calls: u64,
}

/// The list. It lags exactly as much as the test lets it: what was set last is served.
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
    /// Starts an empty list.
    pub async fn start() -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State::default()));
        let for_targets = Arc::clone(&state);
        let router = Router::new().get("/targets", move |request| {
            targets(Arc::clone(&for_targets), request)
        });
        let server = StandinServer::start(router).await?;
        Ok(Self { server, state })
    }

    /// Gives where the list is served.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets what the list says from now on.
    pub fn set_hosts(&self, hosts: Vec<StandinHost>) {
        lock(&self.state).hosts = hosts;
    }

    /// Makes the list refuse all calls, or serve again.
    pub fn set_down(&self, is_down: bool) {
        lock(&self.state).is_down = is_down;
    }

    /// Gives how often the list was asked for.
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
