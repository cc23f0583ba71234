//! The demo's callers, each of which sends one request at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_router::OUTCOME_HEADER;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Deserialize;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::fleet::{Fleet, ORDERS_PATH, TEAMS, bearer_token};
use super::observer::Observer;

/// One request in this many is an order, on average.
const REQUESTS_PER_ORDER: u32 = 20;
/// The range of `max_tokens` of a chat request.
const MAX_TOKENS: std::ops::Range<u32> = 4..64;
/// How long a refused caller waits if the response has no `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The load that the callers generate.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoadSettings {
    pub(super) seed: u64,
    pub(super) duration: Duration,
}

/// Response counts and latencies as one caller, or all callers of a team, saw them.
#[derive(Debug, Clone, Default)]
pub(super) struct CallerStats {
    pub(super) served: u64,
    pub(super) refused: u64,
    pub(super) failed: u64,
    pub(super) cut: u64,
    pub(super) tokens: u64,
    pub(super) first_token_us: Vec<u64>,
    pub(super) token_gap_us: Vec<u64>,
    /// Orders whose response has the outcome `not-run`.
    pub(super) refused_orders: Vec<String>,
}

impl CallerStats {
    fn merge(&mut self, other: Self) {
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.cut += other.cut;
        self.tokens += other.tokens;
        self.first_token_us.extend(other.first_token_us);
        self.token_gap_us.extend(other.token_gap_us);
        self.refused_orders.extend(other.refused_orders);
    }
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// The response body of `GET /v1/entry`.
#[derive(Debug, Deserialize)]
struct EntryResponse {
    addresses: Vec<SocketAddr>,
    keep_ms: u64,
}

struct Caller {
    client: HttpClient,
    /// The router known from the start, which the caller asks for the addresses to use.
    entry_address: SocketAddr,
    /// The router that the caller sends its requests to.
    address: SocketAddr,
    refresh_at: Instant,
    random: StdRng,
    index: usize,
    team: usize,
    sent_orders: u32,
    observer: Arc<Observer>,
    stats: CallerStats,
}

/// Runs all callers and returns the statistics of each team, in the order of [`TEAMS`].
pub(super) async fn run(
    fleet: Arc<Fleet>,
    observer: Arc<Observer>,
    load: LoadSettings,
) -> Vec<CallerStats> {
    let end_at = Instant::now() + load.duration;
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mut tasks = JoinSet::new();
    let mut index = 0;
    for (team, demo_team) in TEAMS.iter().enumerate() {
        for _ in 0..demo_team.callers {
            let entry_address = fleet.routers[index % fleet.routers.len()].caller_address();
            let caller = Caller {
                client: client.clone(),
                entry_address,
                address: entry_address,
                refresh_at: Instant::now(),
                random: StdRng::seed_from_u64(load.seed.wrapping_add(index as u64)),
                index,
                team,
                sent_orders: 0,
                observer: Arc::clone(&observer),
                stats: CallerStats::default(),
            };
            tasks.spawn(caller.run(end_at));
            index += 1;
        }
    }
    let mut team_stats = vec![CallerStats::default(); TEAMS.len()];
    while let Some(joined) = tasks.join_next().await {
        let (team, stats) = joined.expect("caller tasks don't panic");
        team_stats[team].merge(stats);
    }
    team_stats
}

impl Caller {
    async fn run(mut self, end_at: Instant) -> (usize, CallerStats) {
        while Instant::now() < end_at {
            self.refresh_address().await;
            if self.random.random_range(0..REQUESTS_PER_ORDER) == 0 {
                self.send_order().await;
            } else {
                self.send_chat_request().await;
            }
        }
        (self.team, self.stats)
    }

    /// Asks for the addresses to use and picks one, if the last response has expired.
    async fn refresh_address(&mut self) {
        if Instant::now() < self.refresh_at {
            return;
        }
        let request = Request::get(format!("http://{}/v1/entry", self.entry_address));
        let request = request
            .body(Full::default())
            .expect("the demo's requests are valid");
        let Ok(response) = self.client.request(request).await else {
            return;
        };
        let Ok(body) = response.into_body().collect().await else {
            return;
        };
        let Ok(entry) = serde_json::from_slice::<EntryResponse>(&body.to_bytes()) else {
            return;
        };
        self.refresh_at = Instant::now() + Duration::from_millis(entry.keep_ms);
        if !entry.addresses.is_empty() {
            let index = self.random.random_range(0..entry.addresses.len());
            self.address = entry.addresses[index];
        }
    }

    async fn send_order(&mut self) {
        let name = format!("order-{}-{}", self.index, self.sent_orders);
        self.sent_orders += 1;
        let request = self.request(ORDERS_PATH, name.clone());
        match self.client.request(request).await {
            Ok(response) if response.status().is_success() => {
                match response.into_body().collect().await {
                    Ok(_) => self.stats.served += 1,
                    Err(_) => self.stats.cut += 1,
                }
            }
            Ok(response) if is_marked_not_run(&response) => {
                self.stats.refused_orders.push(name);
                self.handle_refusal(&response).await;
            }
            Ok(_) | Err(_) => self.stats.failed += 1,
        }
    }

    async fn send_chat_request(&mut self) {
        let tokens = self.random.random_range(MAX_TOKENS);
        let body = format!(
            "{{\"model\":\"weaver-llm\",\"stream\":true,\"max_tokens\":{tokens},\
             \"messages\":[{{\"role\":\"user\",\"content\":\"which cloth?\"}}]}}"
        );
        let request = self.request("/v1/chat/completions", body);
        let sent_at = Instant::now();
        let call = self.observer.start_waiting(self.team);
        let response = self.client.request(request).await;
        match response {
            Ok(response) if response.status().is_success() => {
                self.read_stream(response.into_body(), sent_at, call).await;
            }
            Ok(response) if is_marked_not_run(&response) => {
                self.observer.stop_waiting(self.team, call);
                self.handle_refusal(&response).await;
            }
            Ok(_) | Err(_) => self.stats.failed += 1,
        }
        self.observer.stop_waiting(self.team, call);
    }

    async fn read_stream(
        &mut self,
        mut body: Incoming,
        sent_at: Instant,
        call: super::observer::CallId,
    ) {
        let mut text = Vec::new();
        let mut last_frame_at: Option<Instant> = None;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                self.stats.cut += 1;
                return;
            };
            let now = Instant::now();
            match last_frame_at {
                None => {
                    self.observer.stop_waiting(self.team, call);
                    self.stats
                        .first_token_us
                        .push((now - sent_at).as_micros() as u64);
                }
                Some(last) => self
                    .stats
                    .token_gap_us
                    .push((now - last).as_micros() as u64),
            }
            last_frame_at = Some(now);
            if let Some(data) = frame.data_ref() {
                let tokens = count_token_events(data);
                self.stats.tokens += tokens;
                self.observer.add_tokens(self.team, tokens);
                text.extend_from_slice(data);
            }
        }
        if text.ends_with(b"data: [DONE]\n\n") {
            self.stats.served += 1;
        } else {
            self.stats.cut += 1;
        }
    }

    /// Counts a refusal and waits for as long as its `Retry-After` header demands.
    async fn handle_refusal(&mut self, response: &Response<Incoming>) {
        self.stats.refused += 1;
        let retry_after = response.headers().get(RETRY_AFTER);
        let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        tokio::time::sleep(seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)).await;
    }

    fn request(&self, path: &str, body: String) -> Request<Full<Bytes>> {
        let token = bearer_token(TEAMS[self.team].name);
        Request::post(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {token}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("the demo's requests are valid")
    }
}

/// Counts the events with a JSON object, which carry one token each.
fn count_token_events(data: &[u8]) -> u64 {
    data.windows(7)
        .filter(|window| window == b"data: {")
        .count() as u64
}

fn is_marked_not_run(response: &Response<Incoming>) -> bool {
    response
        .headers()
        .get(OUTCOME_HEADER)
        .is_some_and(|outcome| outcome == "not-run")
}
