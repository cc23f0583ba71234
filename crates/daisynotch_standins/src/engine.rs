//! A model engine that streams tokens and keeps count of what it ran.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use serde::Deserialize;
use viz::{Body, IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode, header};

use crate::server::{ANY_PORT, StandinServer};

/// How an engine behaves.
#[derive(Debug, Clone, Copy)]
pub struct EngineSettings {
    /// The time to the first token.
    pub first_token: Duration,
    /// The time between two tokens.
    pub token_gap: Duration,
    /// The tokens of an answer when the request sets no bound.
    pub default_tokens: u32,
    /// Requests that run at full speed; more of them slow each other down.
    pub batch: u32,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(20),
            token_gap: Duration::from_millis(2),
            default_tokens: 16,
            batch: 8,
        }
    }
}

/// How an engine may misbehave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EngineFault {
    /// It serves.
    #[default]
    None,
    /// It ends each stream after some tokens, without the end mark.
    CutStream {
        /// The tokens that it sends first.
        after_tokens: u32,
    },
    /// It takes requests and never answers.
    Silent,
    /// It answers with bytes that are no answer.
    Garbage,
    /// It refuses each request with status 503.
    Refuse,
    /// It takes this many times as long.
    Slow {
        /// The factor.
        factor: u32,
    },
}

#[derive(Debug, Default)]
struct Shared {
    started: AtomicU64,
    finished: AtomicU64,
    running: AtomicU32,
    tokens: AtomicU64,
    fault: Mutex<EngineFault>,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    server: StandinServer,
    shared: Arc<Shared>,
}

#[derive(Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

/// Counts a running answer, also one whose caller leaves.
struct RunningAnswer {
    shared: Arc<Shared>,
    sent: u32,
    total: u32,
}

impl RunningAnswer {
    /// Gives how many times slower the engine runs because of the requests beside this one.
    fn crowding(&self, batch: u32) -> f64 {
        let running = self.shared.running.load(Ordering::Relaxed);
        (f64::from(running) / f64::from(batch.max(1))).max(1.0)
    }
}

impl Drop for RunningAnswer {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::Relaxed);
        if self.sent >= self.total {
            self.shared.finished.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Engine {
    /// Starts an engine on a free loopback port.
    pub async fn start(settings: EngineSettings) -> std::io::Result<Self> {
        Self::start_at(ANY_PORT, settings).await
    }

    /// Starts an engine on an address.
    pub async fn start_at(address: SocketAddr, settings: EngineSettings) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let for_chat = Arc::clone(&shared);
        let router = Router::new().post("/v1/chat/completions", move |request| {
            chat(Arc::clone(&for_chat), settings, request)
        });
        let server = StandinServer::start_at(address, router).await?;
        Ok(Self { server, shared })
    }

    /// Gives where the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Gives how many requests it began to run.
    pub fn started(&self) -> u64 {
        self.shared.started.load(Ordering::Relaxed)
    }

    /// Gives how many requests it answered in full.
    pub fn finished(&self) -> u64 {
        self.shared.finished.load(Ordering::Relaxed)
    }

    /// Gives how many requests it runs now.
    pub fn running(&self) -> u32 {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Gives how many tokens it made.
    pub fn tokens(&self) -> u64 {
        self.shared.tokens.load(Ordering::Relaxed)
    }

    /// Makes it misbehave, or behave again.
    pub fn set_fault(&self, fault: EngineFault) {
        *self
            .shared
            .fault
            .lock()
            .expect("no holder of the lock panics") = fault;
    }
}

async fn chat(
    shared: Arc<Shared>,
    settings: EngineSettings,
    mut request: Request,
) -> Result<Response> {
    let call: ChatRequest = request.json().await?;
    let fault = *shared.fault.lock().expect("no holder of the lock panics");
    let mut slowdown = 1;
    match fault {
        EngineFault::Refuse => return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response()),
        EngineFault::Garbage => return Ok("no answer".into_response()),
        EngineFault::Slow { factor } => slowdown = factor,
        EngineFault::None | EngineFault::Silent | EngineFault::CutStream { .. } => {}
    }
    shared.started.fetch_add(1, Ordering::Relaxed);
    shared.running.fetch_add(1, Ordering::Relaxed);
    let total = call.max_tokens.unwrap_or(settings.default_tokens);
    let answer = RunningAnswer {
        shared,
        sent: 0,
        total,
    };
    if fault == EngineFault::Silent {
        std::future::pending::<()>().await;
    }
    if call.stream {
        let cut_after = match fault {
            EngineFault::CutStream { after_tokens } => Some(after_tokens),
            _ => None,
        };
        return Ok(stream_answer(answer, settings, slowdown, cut_after));
    }
    Ok(whole_answer(answer, settings, slowdown, &call.model).await)
}

async fn whole_answer(
    mut answer: RunningAnswer,
    settings: EngineSettings,
    slowdown: u32,
    model: &str,
) -> Response {
    let decode = settings.token_gap * answer.total.saturating_sub(1);
    let crowding = answer.crowding(settings.batch);
    tokio::time::sleep(((settings.first_token + decode) * slowdown).mul_f64(crowding)).await;
    answer.sent = answer.total;
    answer
        .shared
        .tokens
        .fetch_add(u64::from(answer.total), Ordering::Relaxed);
    let body = serde_json::json!({
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": "w ".repeat(answer.total as usize) },
            "finish_reason": "stop",
        }],
        "usage": { "prompt_tokens": 1, "completion_tokens": answer.total },
    });
    let mut response = body.to_string().into_response();
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// The steps of a streamed answer.
enum Step {
    Token,
    EndMark,
}

fn stream_answer(
    answer: RunningAnswer,
    settings: EngineSettings,
    slowdown: u32,
    cut_after: Option<u32>,
) -> Response {
    let events = stream::unfold(
        (answer, Step::Token),
        move |(mut answer, step)| async move {
            if matches!(step, Step::EndMark) {
                return None;
            }
            if cut_after.is_some_and(|tokens| answer.sent >= tokens) {
                return None;
            }
            if answer.sent >= answer.total {
                let end = Bytes::from_static(b"data: [DONE]\n\n");
                return Some((Ok::<_, std::io::Error>(end), (answer, Step::EndMark)));
            }
            let pause = if answer.sent == 0 {
                settings.first_token
            } else {
                settings.token_gap
            };
            let crowding = answer.crowding(settings.batch);
            tokio::time::sleep((pause * slowdown).mul_f64(crowding)).await;
            answer.sent += 1;
            answer.shared.tokens.fetch_add(1, Ordering::Relaxed);
            let event = format!(
                "data: {{\"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":\"w{} \"}}}}]}}\n\n",
                answer.sent
            );
            Some((Ok(Bytes::from(event)), (answer, Step::Token)))
        },
    );
    let mut response = Response::new(Body::from_stream(events));
    let kind = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
