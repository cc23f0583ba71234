//! The demo's callers: each keeps one request open at a time.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_router::OUTCOME_HEADER;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE};
use hyper::{Request, Response};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::fleet::{Fleet, ORDERS_PATH, TEAMS, token_of};

/// One request in this many is an order.
const ORDER_EVERY: u32 = 10;
/// The fewest and most tokens of a question.
const TOKENS: std::ops::Range<u32> = 4..32;

/// How the callers behave.
#[derive(Debug, Clone, Copy)]
pub(super) struct CallerPlan {
    pub(super) seed: u64,
    pub(super) length: Duration,
}

/// What the callers of one team saw.
#[derive(Debug, Clone, Default)]
pub(super) struct Tally {
    pub(super) team: &'static str,
    pub(super) served: u64,
    pub(super) refused: u64,
    pub(super) failed: u64,
    pub(super) cut: u64,
    pub(super) tokens: u64,
    pub(super) first_token_us: Vec<u64>,
    pub(super) token_gap_us: Vec<u64>,
    /// Orders that the system said did not run.
    pub(super) refused_orders: Vec<String>,
    /// Those of them that did run.
    pub(super) false_not_run: u64,
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

struct Caller {
    client: HttpClient,
    address: SocketAddr,
    random: StdRng,
    number: usize,
    orders: u32,
    tally: Tally,
}

/// Lets all callers run and gives a tally a team.
pub(super) async fn run(fleet: &Fleet, plan: CallerPlan) -> Vec<Tally> {
    let end_at = Instant::now() + plan.length;
    let client: HttpClient = Client::builder(TokioExecutor::new()).build_http();
    let mut tasks = JoinSet::new();
    let mut number = 0;
    for team in &TEAMS {
        for _ in 0..team.callers {
            let caller = Caller {
                client: client.clone(),
                address: fleet.routers[number % fleet.routers.len()].caller_address(),
                random: StdRng::seed_from_u64(plan.seed.wrapping_add(number as u64)),
                number,
                orders: 0,
                tally: Tally {
                    team: team.name,
                    ..Tally::default()
                },
            };
            tasks.spawn(caller.run(end_at));
            number += 1;
        }
    }
    let mut tallies: Vec<Tally> = TEAMS
        .iter()
        .map(|team| Tally {
            team: team.name,
            ..Tally::default()
        })
        .collect();
    while let Some(joined) = tasks.join_next().await {
        let tally = joined.expect("callers don't panic");
        let team = tallies.iter_mut().find(|team| team.team == tally.team);
        team.expect("every caller is of a team").add(&tally);
    }
    for tally in &mut tallies {
        let ran = |order: &&String| fleet.orders.runs_of(order) > 0;
        tally.false_not_run = tally.refused_orders.iter().filter(ran).count() as u64;
    }
    tallies
}

impl Tally {
    fn add(&mut self, other: &Self) {
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.cut += other.cut;
        self.tokens += other.tokens;
        self.first_token_us.extend(&other.first_token_us);
        self.token_gap_us.extend(&other.token_gap_us);
        self.refused_orders.extend_from_slice(&other.refused_orders);
    }
}

impl Caller {
    async fn run(mut self, end_at: Instant) -> Tally {
        while Instant::now() < end_at {
            if self.random.random_range(0..ORDER_EVERY) == 0 {
                self.order().await;
            } else {
                self.ask().await;
            }
        }
        self.tally
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
                self.tally.refused += 1;
                self.tally.refused_orders.push(name);
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
        match self.client.request(request).await {
            Ok(response) if response.status().is_success() => {
                self.read_answer(response.into_body(), sent_at).await;
            }
            Ok(response) if says_not_run(&response) => self.tally.refused += 1,
            Ok(_) | Err(_) => self.tally.failed += 1,
        }
    }

    async fn read_answer(&mut self, mut body: Incoming, sent_at: Instant) {
        let mut text = Vec::new();
        let mut last_at: Option<Instant> = None;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                self.tally.cut += 1;
                return;
            };
            let now = Instant::now();
            match last_at {
                None => self
                    .tally
                    .first_token_us
                    .push((now - sent_at).as_micros() as u64),
                Some(last) => self
                    .tally
                    .token_gap_us
                    .push((now - last).as_micros() as u64),
            }
            last_at = Some(now);
            if let Some(data) = frame.data_ref() {
                text.extend_from_slice(data);
            }
        }
        let text = String::from_utf8_lossy(&text);
        let events = text.matches("data: {").count() as u64;
        if text.ends_with("data: [DONE]\n\n") {
            self.tally.served += 1;
            self.tally.tokens += events;
        } else {
            self.tally.cut += 1;
        }
    }

    fn request(&self, path: &str, body: String) -> Request<Full<Bytes>> {
        Request::post(format!("http://{}{path}", self.address))
            .header(
                AUTHORIZATION,
                format!("Bearer {}", token_of(self.tally.team)),
            )
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .expect("the demo's requests are valid")
    }
}

fn says_not_run(response: &Response<Incoming>) -> bool {
    response
        .headers()
        .get(OUTCOME_HEADER)
        .is_some_and(|outcome| outcome == "not-run")
}
