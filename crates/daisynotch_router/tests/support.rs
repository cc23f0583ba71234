//! Starts a small fleet of routers with stand-ins for engines and services.
#![allow(
    dead_code,
    unreachable_pub,
    missing_docs,
    reason = "each test file uses only some items of this module"
)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_objects::{CredentialDigest, Objects};
use daisynotch_platform::{ChangeId, ConfigStore, KeyValueClient, Published};
use daisynotch_router::{Daemon, HttpLimits, LogFormat, PeerSettings, Settings};
use daisynotch_standins::{Engine, EngineSettings, KeyValueStandin, PlainService};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// The bearer token of the only team in the objects.
pub const TOKEN: &str = "token-of-kaolack-1";
/// The availability zones; routers and engines are assigned to them in turn.
pub const ZONES: [&str; 3] = ["kaolack-nord", "fatick", "kaffrine"];

pub struct Fleet {
    pub key_value: KeyValueStandin,
    pub engines: Vec<Engine>,
    pub bookings: PlainService,
    pub routers: Vec<Daemon>,
    pub client: Client<HttpConnector, Full<Bytes>>,
    runtimes: Vec<RouterRuntime>,
}

/// The runtime of one router. Each router has its own, so a test can crash it at any point.
struct RouterRuntime(Option<Runtime>);

impl RouterRuntime {
    fn start() -> Self {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build();
        Self(Some(runtime.expect("the runtime starts")))
    }
}

impl Drop for RouterRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Starts routers with one engine each and waits until all are ready.
pub async fn start(routers: usize) -> Fleet {
    start_with(routers, EngineSettings::default(), "").await
}

/// Like [`start`], with the given engine settings and additional objects.
pub async fn start_with(routers: usize, engine: EngineSettings, additional_objects: &str) -> Fleet {
    let key_value = KeyValueStandin::start().await.expect("the stand-in starts");
    let mut engines = Vec::new();
    for _ in 0..routers {
        engines.push(Engine::start(engine).await.expect("the stand-in starts"));
    }
    let duration = Duration::from_millis(5);
    let bookings = PlainService::start("/bookings", duration)
        .await
        .expect("the stand-in starts");
    let objects = objects(&engines, bookings.address()) + additional_objects;
    publish(key_value.address(), &objects).await;
    let runtimes: Vec<_> = (0..routers).map(|_| RouterRuntime::start()).collect();
    let routers = start_routers(key_value.address(), &runtimes).await;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let fleet = Fleet {
        key_value,
        engines,
        bookings,
        routers,
        client,
        runtimes,
    };
    fleet.wait_until_ready().await;
    fleet
}

impl Fleet {
    pub async fn wait_until_ready(&self) {
        for router in &self.routers {
            wait_for(|| router.is_ready(self.routers.len())).await;
        }
    }

    /// Sends a chat completion request.
    pub async fn request_completion(
        &self,
        router: usize,
        stream: bool,
        tokens: u32,
    ) -> Response<Incoming> {
        let body = chat_body("conseil-lm", stream, tokens);
        self.post(router, "/v1/chat/completions", TOKEN, body).await
    }

    pub async fn post(
        &self,
        router: usize,
        path: &str,
        token: &str,
        body: impl Into<Bytes>,
    ) -> Response<Incoming> {
        let address = self.routers[router].caller_address();
        let request = Request::post(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {token}"))
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .expect("the request is valid");
        self.client
            .request(request)
            .await
            .expect("the router responds")
    }

    /// Sends a booking with an idempotency key.
    pub async fn book(
        &self,
        router: usize,
        path: &str,
        key: &str,
        body: &str,
    ) -> Response<Incoming> {
        let address = self.routers[router].caller_address();
        let request = Request::post(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {TOKEN}"))
            .header("idempotency-key", key)
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .expect("the request is valid");
        self.client
            .request(request)
            .await
            .expect("the router responds")
    }

    /// Returns an idempotency key with the prefix of a router.
    pub async fn minted_key(&self, router: usize, number: u32) -> String {
        let text = text_of(self.get(router, "/v1/entry").await).await;
        let text = text.expect("the response body is complete");
        let (_, rest) = text
            .split_once("\"key_prefix\":\"")
            .expect("the response has a key prefix");
        let (prefix, _) = rest
            .split_once('"')
            .expect("the key prefix ends with a quote");
        format!("{prefix}.{number}")
    }

    /// Ends a router immediately, dropping all its tasks.
    pub fn crash(&mut self, router: usize) {
        drop(self.runtimes.remove(router));
        self.routers.remove(router).kill();
    }

    pub async fn get_operator(&self, router: usize, path: &str) -> Response<Incoming> {
        let address = self.routers[router].operator_address();
        let request = Request::get(format!("http://{address}{path}")).body(Full::default());
        let request = request.expect("the request is valid");
        self.client
            .request(request)
            .await
            .expect("the router responds")
    }

    pub async fn get(&self, router: usize, path: &str) -> Response<Incoming> {
        let address = self.routers[router].caller_address();
        let request = Request::get(format!("http://{address}{path}"))
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(Full::default())
            .expect("the request is valid");
        self.client
            .request(request)
            .await
            .expect("the router responds")
    }
}

/// The timeout of [`wait_for`].
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until a condition holds.
pub async fn wait_for<F: Future<Output = bool>>(condition: impl Fn() -> F) {
    let started_at = tokio::time::Instant::now();
    while !condition().await {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "the condition did not hold within {WAIT_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

pub fn chat_body(model: &str, stream: bool, tokens: u32) -> String {
    format!(
        "{{\"model\":\"{model}\",\"stream\":{stream},\"max_tokens\":{tokens},\
         \"messages\":[{{\"role\":\"user\",\"content\":\"how much water?\"}}]}}"
    )
}

pub async fn text_of(response: Response<Incoming>) -> Result<String, hyper::Error> {
    let bytes = response.into_body().collect().await?.to_bytes();
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

pub fn outcome_of(response: &Response<Incoming>) -> Option<&str> {
    let header = response.headers().get(daisynotch_router::OUTCOME_HEADER)?;
    header.to_str().ok()
}

pub async fn publish(key_value: SocketAddr, text: &str) {
    let objects: Objects = text.parse().expect("the objects are valid TOML");
    assert_eq!(daisynotch_objects::check(&objects), []);
    let store = ConfigStore::new(KeyValueClient::new(key_value, Duration::from_secs(5)));
    let base = store.read().await.expect("the store can be read");
    let published = store
        .publish(&base, &objects, ChangeId(base.snapshot.revision.0 + 1))
        .await;
    assert!(
        matches!(published, Ok(Published::Accepted(_))),
        "{published:?}"
    );
}

pub fn objects(engines: &[Engine], bookings: SocketAddr) -> String {
    let digest = CredentialDigest::of_token(TOKEN.as_bytes());
    let mut text = format!(
        "[team.kaolack-1]\ncredentials = [\"{digest}\"]\n\
         [pool.conseil-lm]\nkind = \"inference\"\nslots = 4\n\
         [pool.atelier-app]\nkind = \"plain\"\n\
         [endpoint.atelier-1]\npool = \"atelier-app\"\nzone = \"fatick\"\n\
         address = \"{bookings}\"\n\
         [route.conseil]\npool = \"conseil-lm\"\nmodel = \"conseil-lm\"\n\
         [route.bookings]\npool = \"atelier-app\"\npath_prefix = \"/bookings\"\n"
    );
    for (index, engine) in engines.iter().enumerate() {
        let zone = ZONES[index % ZONES.len()];
        text += &format!(
            "[endpoint.conseil-{index}]\npool = \"conseil-lm\"\nzone = \"{zone}\"\n\
             address = \"{}\"\n",
            engine.address()
        );
    }
    text
}

async fn start_routers(key_value: SocketAddr, runtimes: &[RouterRuntime]) -> Vec<Daemon> {
    let mut sockets = Vec::new();
    for index in 0..runtimes.len() {
        let callers = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let peers = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        sockets.push((index, callers, peers));
    }
    let seeds: Vec<PeerSettings> = sockets
        .iter()
        .map(|(index, _, peers)| PeerSettings {
            router: format!("router-{index}")
                .parse()
                .expect("the name is valid"),
            address: peers.local_addr().expect("the socket is bound"),
        })
        .collect();
    let start = |(index, callers, peers): (usize, TcpListener, TcpListener)| {
        let settings = Settings {
            router: seeds[index].router.clone(),
            zone: ZONES[index % ZONES.len()]
                .parse()
                .expect("the name is valid"),
            caller_address: callers.local_addr().expect("the socket is bound"),
            peer_address: seeds[index].address,
            operator_address: "127.0.0.1:0".parse().expect("the address is valid"),
            key_value_address: key_value,
            host_list_address: None,
            peers: seeds
                .iter()
                .filter(|peer| peer.router != seeds[index].router)
                .cloned()
                .collect(),
            entry_keep_ms: 200,
            key_value_timeout_ms: 1_000,
            http: HttpLimits {
                body_max_bytes: 64 * 1024,
                ..HttpLimits::default()
            },
            log_format: LogFormat::Text,
        };
        let runtime = runtimes[index]
            .0
            .as_ref()
            .expect("the runtime is present until the router is dropped");
        let _guard = runtime.enter();
        Daemon::start_on(settings, callers, peers).expect("the router starts")
    };
    sockets.into_iter().map(start).collect()
}
