//! The demo's callers: each keeps one request open at a time.

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

use super::fleet::{Fleet, ORDERS_PATH, TEAMS, token_of};
use super::observer::Observer;

/// One request in this many is an order.
const ORDER_EVERY: u32 = 20;
/// The fewest and most tokens of a question.
const TOKENS: std::ops::Range<u32> = 4..64;
/// How long a refused caller waits when the answer names no time.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How the callers behave.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallerPlan {
    pub(super) seed: u64,
    pub(super) length: Duration,
}

/// What the callers of one team saw.
#[derive(Debug, Clone, Default)]
pub(super) struct Tally {
    pub(super) served: u64,
    pub(super) refused: u64,
    pub(super) failed: u64,
    pub(super) cut: u64,
    pub(super) tokens: u64,
    pub(super) first_token_us: Vec<u64>,
    pub(super) token_gap_us: Vec<u64>,
    /// Orders that the system said did not run.
    pub(super) refused_orders: Vec<String>,
}

impl Tally {
    fn add(&mut self, other: Self) {
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

/// The answer to `GET /v1/entry`.
#[derive(Debug, Deserialize)]
struct EntryAnswer {
    addresses: Vec<SocketAddr>,
    keep_ms: u64,
}

struct Caller {
    client: HttpClient,
    /// A router that the caller knows from the start.
    known: SocketAddr,
    address: SocketAddr,
    ask_entry_at: Instant,
    random: StdRng,
    number: usize,
    team: usize,
    orders: u32,
    observer: Arc<Observer>,
    tally: Tally,
}

/// Lets all callers run and gives a tally a team, in the order of [`TEAMS`].
pub(super) async fn run(
    fleet: Arc<Fleet>,
    observer: Arc<Observer>,
    plan: CallerPlan,
) -> Vec<Tally> {
    let end_at = Instant::now() + plan.length;
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mut tasks = JoinSet::new();
    let mut number = 0;
    for (team, demo_team) in TEAMS.iter().enumerate() {
        for _ in 0..demo_team.callers {
            let known = fleet.routers[number % fleet.routers.len()].caller_address();
            let caller = Caller {
                client: client.clone(),
                known,
                address: known,
                ask_entry_at: Instant::now(),
                random: StdRng::seed_from_u64(plan.seed.wrapping_add(number as u64)),
                number,
                team,
                orders: 0,
                observer: Arc::clone(&observer),
                tally: Tally::default(),
            };
            tasks.spawn(caller.run(end_at));
            number += 1;
        }
    }
    let mut tallies = vec![Tally::default(); TEAMS.len()];
    while let Some(joined) = tasks.join_next().await {
        let (team, tally) = joined.expect("callers don't panic");
        tallies[team].add(tally);
    }
    tallies
}

impl Caller {
    async fn run(mut self, end_at: Instant) -> (usize, Tally) {
        while Instant::now() < end_at {
            self.refresh_address().await;
            if self.random.random_range(0..ORDER_EVERY) == 0 {
                self.order().await;
            } else {
                self.ask().await;
            }
        }
        (self.team, self.tally)
    }

    /// Asks which address to use, when the last answer is too old.
    async fn refresh_address(&mut self) {
        if Instant::now() < self.ask_entry_at {
            return;
        }
        let request = Request::get(format!("http://{}/v1/entry", self.known));
        let request = request
            .body(Full::default())
            .expect("the demo's requests are valid");
        let Ok(response) = self.client.request(request).await else {
            return;
        };
        let Ok(body) = response.into_body().collect().await else {
            return;
        };
        let Ok(answer) = serde_json::from_slice::<EntryAnswer>(&body.to_bytes()) else {
            return;
        };
        self.ask_entry_at = Instant::now() + Duration::from_millis(answer.keep_ms);
        if !answer.addresses.is_empty() {
            let index = self.random.random_range(0..answer.addresses.len());
            self.address = answer.addresses[index];
        }
    }

    async fn order(&mut self) {
        let name = format!("order-{}-{}", self.number, self.orders);
        self.orders += 1;
        let request = self.request(ORDERS_PATH, name.clone());
        match self.client.request(request).await {
            Ok(response) if response.status().is_success() => {
                match response.into_body().collect().await {
                    Ok(_) => self.tally.served += 1,
                    Err(_) => self.tally.cut += 1,
                }
            }
            Ok(response) if says_not_run(&response) => {
                self.tally.refused_orders.push(name);
                self.on_refused(&response).await;
            }
            Ok(_) | Err(_) => self.tally.failed += 1,
        }
    }

    async fn ask(&mut self) {
        let tokens = self.random.random_range(TOKENS);
        let body = format!(
            "{{\"model\":\"weaver-llm\",\"stream\":true,\"max_tokens\":{tokens},\
             \"messages\":[{{\"role\":\"user\",\"content\":\"which cloth?\"}}]}}"
        );
        let request = self.request("/v1/chat/completions", body);
        let sent_at = Instant::now();
        let call = self.observer.on_sent(self.team);
        let response = self.client.request(request).await;
        match response {
            Ok(response) if response.status().is_success() => {
                self.read_answer(response.into_body(), sent_at, call).await;
            }
            Ok(response) if says_not_run(&response) => {
                self.observer.on_answered(self.team, call);
                self.on_refused(&response).await;
            }
            Ok(_) | Err(_) => self.tally.failed += 1,
        }
        self.observer.on_answered(self.team, call);
    }

    async fn read_answer(
        &mut self,
        mut body: Incoming,
        sent_at: Instant,
        call: super::observer::CallId,
    ) {
        let mut text = Vec::new();
        let mut last_at: Option<Instant> = None;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                self.tally.cut += 1;
                return;
            };
            let now = Instant::now();
            match last_at {
                None => {
                    self.observer.on_answered(self.team, call);
                    self.tally
                        .first_token_us
                        .push((now - sent_at).as_micros() as u64);
                }
                Some(last) => self
                    .tally
                    .token_gap_us
                    .push((now - last).as_micros() as u64),
            }
            last_at = Some(now);
            if let Some(data) = frame.data_ref() {
                let tokens = count_events(data);
                self.tally.tokens += tokens;
                self.observer.on_tokens(self.team, tokens);
                text.extend_from_slice(data);
            }
        }
        if text.ends_with(b"data: [DONE]\n\n") {
            self.tally.served += 1;
        } else {
            self.tally.cut += 1;
        }
    }

    /// Waits for as long as the refusal says.
    async fn on_refused(&mut self, response: &Response<Incoming>) {
        self.tally.refused += 1;
        let retry_after = response.headers().get(RETRY_AFTER);
        let seconds = retry_after.and_then(|value| value.to_str().ok()?.parse().ok());
        tokio::time::sleep(seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs)).await;
    }

    fn request(&self, path: &str, body: String) -> Request<Full<Bytes>> {
        let token = token_of(TEAMS[self.team].name);
        Request::post(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {token}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("the demo's requests are valid")
    }
}

fn count_events(data: &[u8]) -> u64 {
    data.windows(7)
        .filter(|window| window == b"data: {")
        .count() as u64
}

fn says_not_run(response: &Response<Incoming>) -> bool {
    response
        .headers()
        .get(OUTCOME_HEADER)
        .is_some_and(|outcome| outcome == "not-run")
}
