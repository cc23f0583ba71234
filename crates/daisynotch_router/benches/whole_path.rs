//! Measures the overhead of a router against direct requests in the same run.
//!
//! `cargo bench -p daisynotch_router --bench whole_path` starts a router as a separate
//! process in front of a stand-in engine that responds immediately. It sends 1,000 requests
//! per second, alternately directly and through the router, and prints the added latency,
//! the requests per core-second and the memory per open request.
#![allow(missing_docs, reason = "a benchmark has no public items")]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command};
use std::time::Duration;

use bytes::Bytes;
use daisynotch_objects::{CredentialDigest, Objects};
use daisynotch_platform::{ChangeId, ConfigStore, KeyValueClient};
use daisynotch_standins::{Engine, EngineFault, EngineSettings, KeyValueStandin};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::task::JoinSet;
use tokio::time::Instant;

const TOKEN: &str = "bench-token";
const REQUESTS_PER_S: u32 = 1_000;
const ROUND_DURATION: Duration = Duration::from_secs(2);
const ROUNDS: u32 = 4;
const SATURATING_CALLERS: usize = 64;
const OPEN_REQUESTS: u32 = 400;
/// The targets for the added latency.
const ADDED_P50_TARGET_US: u64 = 1_000;
const ADDED_P99_TARGET_US: u64 = 3_000;
/// Clock ticks per second in `/proc/PID/stat`.
const PROC_TICKS_PER_S: f64 = 100.0;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// The router's process; dropping this kills the process.
struct Router {
    child: Child,
    address: SocketAddr,
    settings: PathBuf,
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl Router {
    fn start(key_value: SocketAddr) -> Self {
        let address = free_address();
        let (peer, operator) = (free_address(), free_address());
        let name = format!("daisynotch-bench-{}.toml", std::process::id());
        let settings = std::env::temp_dir().join(name);
        let text = format!(
            "router = \"bench\"\nzone = \"bench\"\ncaller_address = \"{address}\"\n\
             peer_address = \"{peer}\"\noperator_address = \"{operator}\"\n\
             key_value_address = \"{key_value}\"\n"
        );
        std::fs::write(&settings, text).expect("the settings can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_daisynotch-router"))
            .arg("--settings")
            .arg(&settings)
            .spawn()
            .expect("the router starts");
        Self {
            child,
            address,
            settings,
        }
    }

    fn cpu_s(&self) -> f64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.expect("the router runs");
        let fields = stat
            .rsplit_once(')')
            .expect("the process name ends with a bracket")
            .1;
        let ticks = |index: usize| -> f64 {
            let field = fields
                .split_whitespace()
                .nth(index)
                .expect("/proc has the field");
            field.parse().expect("the field is a number")
        };
        (ticks(11) + ticks(12)) / PROC_TICKS_PER_S
    }

    fn memory_kib(&self) -> f64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the router runs");
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let field = line.and_then(|line| line.split_whitespace().nth(1));
        field
            .expect("/proc has the field")
            .parse()
            .expect("the field is a number")
    }
}

#[tokio::main]
async fn main() {
    let settings = EngineSettings {
        first_token: Duration::ZERO,
        token_gap: Duration::ZERO,
        batch: u32::MAX,
        ..EngineSettings::default()
    };
    let engine = Engine::start(settings).await.expect("the stand-in starts");
    let silent = Engine::start(settings).await.expect("the stand-in starts");
    silent.set_fault(EngineFault::Silent);
    let streaming_settings = EngineSettings {
        token_gap: Duration::from_millis(500),
        ..settings
    };
    let streaming = Engine::start(streaming_settings)
        .await
        .expect("the stand-in starts");
    let key_value = KeyValueStandin::start().await.expect("the stand-in starts");
    publish(
        key_value.address(),
        &[
            ("fast", 4_096, engine.address()),
            ("held", 1, silent.address()),
            ("streamed", 4_096, streaming.address()),
        ],
    )
    .await;
    let router = Router::start(key_value.address());
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    wait_until_ready(&client, router.address).await;
    latency(&client, &router, engine.address()).await;
    saturation(&client, &router).await;
    memory(&client, &router, "held", "a waiting request").await;
    memory(&client, &router, "streamed", "a streaming request").await;
}

/// Measures the added latency: sends requests at a fixed rate, alternately directly and through
/// the router.
async fn latency(client: &HttpClient, router: &Router, engine: SocketAddr) {
    let mut direct = histogram();
    let mut routed = histogram();
    let mut cpu_s = 0.0;
    for _ in 0..ROUNDS {
        open_loop(client, engine, &mut direct).await;
        let before_s = router.cpu_s();
        open_loop(client, router.address, &mut routed).await;
        cpu_s += router.cpu_s() - before_s;
    }
    println!("{} requests each way at {REQUESTS_PER_S}/s", routed.len());
    for (name, quantile, target_us) in [
        ("p50", 0.50, ADDED_P50_TARGET_US),
        ("p99", 0.99, ADDED_P99_TARGET_US),
    ] {
        let direct_us = direct.value_at_quantile(quantile);
        let routed_us = routed.value_at_quantile(quantile);
        let added_us = routed_us.saturating_sub(direct_us);
        let verdict = if added_us <= target_us {
            "met"
        } else {
            "missed"
        };
        println!(
            "{name}: direct {direct_us} us, routed {routed_us} us, ratio {:.2}, \
             added {added_us} us, target {target_us} us: {verdict}",
            routed_us as f64 / direct_us.max(1) as f64
        );
    }
    let cpu_fraction = cpu_s / (ROUND_DURATION.as_secs_f64() * f64::from(ROUNDS));
    println!(
        "router at {REQUESTS_PER_S}/s: {:.1}% of a core",
        cpu_fraction * 100.0
    );
}

async fn open_loop(client: &HttpClient, address: SocketAddr, histogram: &mut Histogram<u64>) {
    let mut tasks = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / REQUESTS_PER_S);
    for _ in 0..REQUESTS_PER_S * ROUND_DURATION.as_secs() as u32 {
        ticks.tick().await;
        let client = client.clone();
        tasks.spawn(async move {
            let sent_at = Instant::now();
            let response = complete_chat(&client, address, "fast", 1).await;
            response
                .into_body()
                .collect()
                .await
                .expect("the response body is complete");
            sent_at.elapsed()
        });
    }
    while let Some(elapsed) = tasks.join_next().await {
        let elapsed = elapsed.expect("requests don't panic");
        histogram.saturating_record(elapsed.as_micros() as u64);
    }
}

/// Measures throughput per CPU time: each caller sends its next request after a response.
async fn saturation(client: &HttpClient, router: &Router) {
    let before_s = router.cpu_s();
    let started_at = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..SATURATING_CALLERS {
        let (client, address) = (client.clone(), router.address);
        tasks.spawn(async move {
            let mut count = 0_u64;
            while started_at.elapsed() < ROUND_DURATION {
                let response = complete_chat(&client, address, "fast", 1).await;
                response
                    .into_body()
                    .collect()
                    .await
                    .expect("the response body is complete");
                count += 1;
            }
            count
        });
    }
    let counts = tasks.join_all().await;
    let count: u64 = counts.into_iter().sum();
    let cpu_s = router.cpu_s() - before_s;
    println!(
        "saturated by {SATURATING_CALLERS} callers: {:.0} requests/s, {:.0} requests a core-second",
        count as f64 / ROUND_DURATION.as_secs_f64(),
        count as f64 / cpu_s
    );
}

/// Measures memory per open request: opens requests that don't end and divides the growth of
/// the router's resident memory by their number.
async fn memory(client: &HttpClient, router: &Router, model: &'static str, what: &str) {
    let before_kib = router.memory_kib();
    let mut tasks = JoinSet::new();
    for _ in 0..OPEN_REQUESTS {
        let (client, address) = (client.clone(), router.address);
        tasks.spawn(async move {
            let response = complete_chat(&client, address, model, 1_000).await;
            // The body is dropped, and the request cancelled, with this task.
            let mut body = response.into_body();
            while body.frame().await.is_some() {}
        });
    }
    tokio::time::sleep(ROUND_DURATION).await;
    let added_kib = router.memory_kib() - before_kib;
    println!(
        "{what}: {:.1} KiB ({OPEN_REQUESTS} open)",
        added_kib / f64::from(OPEN_REQUESTS)
    );
    tasks.shutdown().await;
    tokio::time::sleep(ROUND_DURATION / 2).await;
}

async fn complete_chat(
    client: &HttpClient,
    address: SocketAddr,
    model: &str,
    tokens: u32,
) -> hyper::Response<Incoming> {
    let stream = model == "streamed";
    let body = format!(
        "{{\"model\":\"{model}\",\"stream\":{stream},\"max_tokens\":{tokens},\"messages\":[]}}"
    );
    let request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("the request is valid");
    let response = client.request(request).await.expect("the server responds");
    assert!(response.status().is_success(), "{}", response.status());
    response
}

async fn publish(key_value: SocketAddr, pools: &[(&str, u32, SocketAddr)]) {
    let digest = CredentialDigest::of_token(TOKEN.as_bytes());
    let mut text = format!(
        "[limits.wide]\nqueued_requests = 100000\nqueue_timeout_ms = 600000\n\
         [team.bench]\nlimits = \"wide\"\ncredentials = [\"{digest}\"]\n"
    );
    for (name, slots, address) in pools {
        text += &format!(
            "[pool.{name}]\nkind = \"inference\"\nslots = {slots}\n\
             [endpoint.{name}-1]\npool = \"{name}\"\nzone = \"bench\"\naddress = \"{address}\"\n\
             [route.{name}]\npool = \"{name}\"\nmodel = \"{name}\"\n"
        );
    }
    let objects: Objects = text.parse().expect("the objects are valid TOML");
    let store = ConfigStore::new(KeyValueClient::new(key_value, Duration::from_secs(5)));
    let base = store.read().await.expect("the store can be read");
    let published = store.publish(&base, &objects, ChangeId(1)).await;
    published.expect("the objects can be published");
}

async fn wait_until_ready(client: &HttpClient, address: SocketAddr) {
    loop {
        let request = Request::get(format!("http://{address}/readyz")).body(Full::default());
        let response = client.request(request.expect("the request is valid")).await;
        if response.is_ok_and(|response| response.status().is_success()) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for model in ["fast", "fast"] {
        let response = complete_chat(client, address, model, 1).await;
        response
            .into_body()
            .collect()
            .await
            .expect("the response body is complete");
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("the socket is bound")
}
