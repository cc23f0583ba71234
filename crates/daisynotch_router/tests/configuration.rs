//! Every router receives new objects over real sockets, despite outages of the key-value
//! service.

mod support;

use std::net::SocketAddr;

use bytes::Bytes;
use daisynotch_router::{Daemon, HttpLimits, LogFormat, PeerSettings, Settings};
use daisynotch_standins::KeyValueStandin;
use http_body_util::Full;
use hyper::{Request, Response, body::Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use support::{publish, text_of, wait_for};
use tokio::net::TcpListener;

const ROUTERS: usize = 9;
const ZONES: [&str; 3] = ["sc-a", "sc-b", "sc-c"];

/// A router whose sockets are bound but which has not been started.
struct BoundRouter {
    name: String,
    callers: TcpListener,
    peers: TcpListener,
}

struct Fleet {
    key_value: KeyValueStandin,
    routers: Vec<Daemon>,
    seeds: Vec<PeerSettings>,
    client: Client<HttpConnector, Full<Bytes>>,
}

async fn bind(name: String) -> BoundRouter {
    let listen = || TcpListener::bind("127.0.0.1:0");
    BoundRouter {
        name,
        callers: listen().await.expect("a port is free"),
        peers: listen().await.expect("a port is free"),
    }
}

fn launch(
    bound: BoundRouter,
    index: usize,
    key_value: SocketAddr,
    seeds: &[PeerSettings],
) -> Daemon {
    let settings = Settings {
        router: bound.name.parse().expect("the name is valid"),
        zone: ZONES[index % ZONES.len()]
            .parse()
            .expect("the name is valid"),
        caller_address: bound.callers.local_addr().expect("the socket is bound"),
        peer_address: bound.peers.local_addr().expect("the socket is bound"),
        operator_address: "127.0.0.1:0".parse().expect("the address is valid"),
        key_value_address: key_value,
        host_list_address: None,
        peers: seeds
            .iter()
            .filter(|peer| peer.router.as_str() != bound.name)
            .cloned()
            .collect(),
        entry_keep_ms: 200,
        key_value_timeout_ms: 1_000,
        http: HttpLimits::default(),
        log_format: LogFormat::Text,
    };
    Daemon::start_on(settings, bound.callers, bound.peers).expect("the router starts")
}

async fn start(routers: usize) -> Fleet {
    let key_value = KeyValueStandin::start().await.expect("the stand-in starts");
    let mut bound = Vec::new();
    for index in 0..routers {
        bound.push(bind(format!("router-{index}")).await);
    }
    let seeds: Vec<PeerSettings> = bound
        .iter()
        .map(|bound| PeerSettings {
            router: bound.name.parse().expect("the name is valid"),
            address: bound.peers.local_addr().expect("the socket is bound"),
        })
        .collect();
    let launched = bound.into_iter().enumerate();
    let launched = launched.map(|(index, bound)| launch(bound, index, key_value.address(), &seeds));
    Fleet {
        routers: launched.collect(),
        key_value,
        seeds,
        client: Client::builder(TokioExecutor::new()).build_http(),
    }
}

impl Fleet {
    async fn get(&self, address: SocketAddr, path: &str) -> Response<Incoming> {
        let uri = format!("http://{address}{path}");
        let request = Request::get(uri).body(Full::default());
        let request = request.expect("the request is valid");
        let response = self.client.request(request).await;
        response.expect("the router responds")
    }

    async fn has_revision(&self, router: &Daemon, revision: u64) -> bool {
        let metrics = text_of(self.get(router.operator_address(), "/metrics").await).await;
        let metrics = metrics.expect("the response body is complete");
        metrics.contains(&format!("\ndaisynotch_revision {revision}\n"))
    }

    async fn wait_for_revision(&self, revision: u64) {
        for router in &self.routers {
            wait_for(|| self.has_revision(router, revision)).await;
        }
    }
}

fn objects(weight: u32) -> String {
    format!(
        "[team.mill-1]\nweight = {weight}\n[share.mills]\n\
         [pool.weaver-llm]\nkind = \"inference\"\n"
    )
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn nine_routers_apply_changes_and_keep_the_revision_during_an_outage() {
    let fleet = start(ROUTERS).await;
    publish(fleet.key_value.address(), &objects(1)).await;
    fleet.wait_for_revision(1).await;
    for weight in 2..5 {
        publish(fleet.key_value.address(), &objects(weight)).await;
        fleet.wait_for_revision(u64::from(weight)).await;
    }
    fleet.key_value.set_down(true);
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    fleet.wait_for_revision(4).await;
    fleet.key_value.set_down(false);
    publish(fleet.key_value.address(), &objects(9)).await;
    fleet.wait_for_revision(5).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_router_that_starts_during_an_outage_becomes_ready_with_objects_from_a_peer() {
    let mut fleet = start(3).await;
    publish(fleet.key_value.address(), &objects(1)).await;
    publish(fleet.key_value.address(), &objects(2)).await;
    fleet.wait_for_revision(2).await;
    fleet.key_value.set_down(true);
    let bound = bind("router-late".to_owned()).await;
    let late = launch(bound, 0, fleet.key_value.address(), &fleet.seeds);
    wait_for(|| async { fleet.get(late.caller_address(), "/readyz").await.status() == 200 }).await;
    assert!(fleet.has_revision(&late, 2).await);
    fleet.routers.push(late);
    fleet.key_value.set_down(false);
    publish(fleet.key_value.address(), &objects(3)).await;
    fleet.wait_for_revision(3).await;
}

#[tokio::test]
async fn a_router_without_service_and_peers_reports_why_it_is_not_ready() {
    let key_value = KeyValueStandin::start().await.expect("the stand-in starts");
    key_value.set_down(true);
    let bound = bind("router-alone".to_owned()).await;
    let alone = launch(bound, 0, key_value.address(), &[]);
    let fleet = Fleet {
        key_value,
        routers: vec![alone],
        seeds: Vec::new(),
        client: Client::builder(TokioExecutor::new()).build_http(),
    };
    let reason = "the key-value service does not answer, and no reachable router has any";
    let reports_reason = || async {
        let response = fleet
            .get(fleet.routers[0].caller_address(), "/readyz")
            .await;
        let is_unready = response.status() == 503;
        let text = text_of(response)
            .await
            .expect("the response body is complete");
        is_unready && text.contains(reason)
    };
    wait_for(reports_reason).await;
    fleet.key_value.set_down(false);
    publish(fleet.key_value.address(), &objects(1)).await;
    fleet.wait_for_revision(1).await;
    let metrics = text_of(
        fleet
            .get(fleet.routers[0].operator_address(), "/metrics")
            .await,
    )
    .await;
    let metrics = metrics.expect("the response body is complete");
    for line in [
        "daisynotch_key_value_calls_total{result=\"no_answer\",use=\"configuration_head\"}",
        "daisynotch_key_value_calls_total{result=\"ok\",use=\"configuration_chunk\"} 3",
    ] {
        assert!(metrics.contains(line), "{metrics}");
    }
}
