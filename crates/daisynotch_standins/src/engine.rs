//! A stand-in for a model engine that streams tokens and counts requests.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures::stream;
use serde::Deserialize;
use viz::{Body, IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode, header};

use crate::server::{ANY_PORT, StandinServer};

/// The timing of an engine's responses.
#[derive(Debug, Clone, Copy)]
pub struct EngineSettings {
    /// The time to the first token.
    pub first_token: Duration,
    /// The time between two consecutive tokens.
    pub token_gap: Duration,
    /// The number of tokens of a response if the request has no `max_tokens`.
    pub default_tokens: u32,
    /// The number of requests that run at full speed; beyond it, all slow down in proportion.
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

/// A fault that an engine injects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum EngineFault {
    /// Serves normally.
    #[default]
    None,
    /// Ends each stream after some tokens, without `data: [DONE]`.
    CutStream {
        /// The number of tokens sent before the stream ends.
        after_tokens: u32,
    },
    /// Accepts requests and never responds.
    Silent,
    /// Responds with a body that is not a chat completion.
    Garbage,
    /// Refuses each request with status 503.
    Refuse,
    /// Responds more slowly.
    Slow {
        /// The factor by which all durations are multiplied.
        factor: u32,
    },
}

#[derive(Debug, Default)]
struct State {
    started: AtomicU64,
    finished: AtomicU64,
    running: AtomicU32,
    tokens: AtomicU64,
    fault: Mutex<EngineFault>,
}

/// A stand-in engine; dropping it stops it from accepting connections.
#[derive(Debug)]
pub struct Engine {
    server: StandinServer,
    state: Arc<State>,
}

#[derive(Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

/// A request that counts as running until it is dropped, also when its caller disconnects.
struct RunningRequest {
    state: Arc<State>,
    sent: u32,
    total: u32,
}

impl RunningRequest {
    /// Returns the factor by which the concurrent requests slow this one down.
    fn contention(&self, batch: u32) -> f64 {
        let running = self.state.running.load(Ordering::Relaxed);
        (f64::from(running) / f64::from(batch.max(1))).max(1.0)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::Relaxed);
        if self.sent >= self.total {
            self.state.finished.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Engine {
    /// Starts an engine on a free loopback port.
    pub async fn start(settings: EngineSettings) -> std::io::Result<Self> {
        Self::start_at(ANY_PORT, settings).await
    }

    /// Starts an engine on the given address.
    pub async fn start_at(address: SocketAddr, settings: EngineSettings) -> std::io::Result<Self> {
        let state = Arc::new(State::default());
        let chat_state = Arc::clone(&state);
        let router = Router::new().post("/v1/chat/completions", move |request| {
            chat(Arc::clone(&chat_state), settings, request)
        });
        let server = StandinServer::start_at(address, router).await?;
        Ok(Self { server, state })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the number of requests that the engine started to run.
    pub fn started(&self) -> u64 {
        self.state.started.load(Ordering::Relaxed)
    }

    /// Returns the number of requests whose response the engine completed.
    pub fn finished(&self) -> u64 {
        self.state.finished.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that the engine is running.
    pub fn running(&self) -> u32 {
        self.state.running.load(Ordering::Relaxed)
    }

    /// Returns the number of tokens that the engine has generated.
    pub fn tokens(&self) -> u64 {
        self.state.tokens.load(Ordering::Relaxed)
    }

    /// Sets the fault that new requests run into; [`EngineFault::None`] clears it.
    pub fn set_fault(&self, fault: EngineFault) {
        *self
            .state
            .fault
            .lock()
            .expect("no holder of the lock panics") = fault;
    }
}

async fn chat(
    state: Arc<State>,
    settings: EngineSettings,
    mut request: Request,
) -> Result<Response> {
    let call: ChatRequest = request.json().await?;
    let fault = *state.fault.lock().expect("no holder of the lock panics");
    let mut slowdown = 1;
    match fault {
        EngineFault::Refuse => return Ok(StatusCode::SERVICE_UNAVAILABLE.into_response()),
        EngineFault::Garbage => return Ok("no answer".into_response()),
        EngineFault::Slow { factor } => slowdown = factor,
        EngineFault::None | EngineFault::Silent | EngineFault::CutStream { .. } => {}
    }
    state.started.fetch_add(1, Ordering::Relaxed);
    state.running.fetch_add(1, Ordering::Relaxed);
    let total = call.max_tokens.unwrap_or(settings.default_tokens);
    let running = RunningRequest {
        state,
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
        return Ok(streaming_response(running, settings, slowdown, cut_after));
    }
    Ok(full_response(running, settings, slowdown, &call.model).await)
}

async fn full_response(
    mut running: RunningRequest,
    settings: EngineSettings,
    slowdown: u32,
    model: &str,
) -> Response {
    let decode = settings.token_gap * running.total.saturating_sub(1);
    let contention = running.contention(settings.batch);
    tokio::time::sleep(((settings.first_token + decode) * slowdown).mul_f64(contention)).await;
    running.sent = running.total;
    running
        .state
        .tokens
        .fetch_add(u64::from(running.total), Ordering::Relaxed);
    let body = serde_json::json!({
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": "w ".repeat(running.total as usize) },
            "finish_reason": "stop",
        }],
        "usage": { "prompt_tokens": 1, "completion_tokens": running.total },
    });
    let mut response = body.to_string().into_response();
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Whether a streamed response still sends tokens or has sent its end mark.
enum StreamState {
    Token,
    EndMark,
}

fn streaming_response(
    running: RunningRequest,
    settings: EngineSettings,
    slowdown: u32,
    cut_after: Option<u32>,
) -> Response {
    let events = stream::unfold(
        (running, StreamState::Token),
        move |(mut running, stream_state)| async move {
            if matches!(stream_state, StreamState::EndMark) {
                return None;
            }
            if cut_after.is_some_and(|tokens| running.sent >= tokens) {
                return None;
            }
            if running.sent >= running.total {
                let end = Bytes::from_static(b"data: [DONE]\n\n");
                return Some((
                    Ok::<_, std::io::Error>(end),
                    (running, StreamState::EndMark),
                ));
            }
            let pause = if running.sent == 0 {
                settings.first_token
            } else {
                settings.token_gap
            };
            let contention = running.contention(settings.batch);
            tokio::time::sleep((pause * slowdown).mul_f64(contention)).await;
            running.sent += 1;
            running.state.tokens.fetch_add(1, Ordering::Relaxed);
            let event = format!(
                "data: {{\"object\":\"chat.completion.chunk\",\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":\"w{} \"}}}}]}}\n\n",
                running.sent
            );
            Some((Ok(Bytes::from(event)), (running, StreamState::Token)))
        },
    );
    let mut response = Response::new(Body::from_stream(events));
    let kind = header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
