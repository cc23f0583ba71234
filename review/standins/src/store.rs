//! A stand-in of the platform's store: items, revisions, watches and leases that last.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::http::{Reader, response};

/// How long the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64)>,
    history: Vec<(u64, String, Option<Vec<u8>>)>,
    leases: u64,
}

/// The store; clones share its items.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub async fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                revision: 1,
                ..State::default()
            })),
        };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = serving.clone();
                tokio::spawn(async move { store.serve(stream).await });
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator or a replica does.
    pub fn write(&self, key: &str, value: &str) {
        self.put(key, value.as_bytes().to_vec());
    }

    fn put(&self, key: &str, value: Vec<u8>) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state
            .items
            .insert(key.to_owned(), (value.clone(), revision));
        state.history.push((revision, key.to_owned(), Some(value)));
        revision
    }

    async fn serve(self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head().await? {
            let mut body = Vec::new();
            reader.body(&head, false, &mut body).await?;
            let (method, target) = head.request();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let parameter = |name: &str| {
                let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                let pair = pairs.find(|(key, _)| *key == name);
                pair.map(|(_, value)| unescape(value)).unwrap_or_default()
            };
            let (status, answer) = match (method, path) {
                ("GET", "/v1/kv-range") => {
                    let (prefix, after) = (parameter("prefix"), parameter("after"));
                    ("200 OK", self.range(&prefix, &after))
                }
                ("GET", "/v1/kv-watch") => {
                    let after = parameter("after").parse().unwrap_or(0);
                    let wait = parameter("waitMs").parse().unwrap_or(0);
                    let wait = Duration::from_millis(wait);
                    (
                        "200 OK",
                        self.watch(&parameter("prefix"), after, wait).await,
                    )
                }
                ("POST", "/v1/kv-lease") => {
                    let asked: Value = serde_json::from_slice(&body).unwrap_or_default();
                    let mut state = self.state.lock().unwrap();
                    state.leases += 1;
                    let lease = 77_000 + state.leases;
                    ("200 OK", json!({"lease": lease, "ttlMs": asked["ttlMs"]}))
                }
                ("POST", "/v1/kv-txn") => {
                    let asked: Value = serde_json::from_slice(&body).unwrap_or_default();
                    let mut revision = self.state.lock().unwrap().revision;
                    for write in asked["write"].as_array().into_iter().flatten() {
                        let key = write["key"].as_str().unwrap_or_default();
                        let value = write["value"].as_str().unwrap_or_default();
                        revision = self.put(key, decode_base64(value));
                    }
                    ("200 OK", json!({"revision": revision}))
                }
                ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                    ("200 OK", json!({"ttlMs": 30_000}))
                }
                ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => ("200 OK", json!({})),
                _ => ("404 Not Found", json!({})),
            };
            tokio::time::sleep(ANSWER_TIME).await;
            let headers = "content-type: application/json\r\nstore-era: 1\r\n";
            let answer = response(status, headers, &answer.to_string());
            reader.stream().write_all(answer.as_bytes()).await?;
        }
        Ok(())
    }

    fn range(&self, prefix: &str, after: &str) -> Value {
        let state = self.state.lock().unwrap();
        let items = state.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items = items.map(|(key, (value, revision))| {
            json!({"key": key, "value": encode_base64(value), "revision": revision,
                "created": revision, "lease": 0})
        });
        let items: Vec<Value> = items.collect();
        json!({"items": items, "hasMore": false, "at": state.revision})
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Value {
        let until = Instant::now() + wait;
        loop {
            {
                let state = self.state.lock().unwrap();
                let changes = state
                    .history
                    .iter()
                    .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
                let events: Vec<Value> = changes
                    .map(|(revision, key, value)| match value {
                        Some(value) => json!({"key": key, "value": encode_base64(value),
                            "revision": revision, "created": revision, "lease": 0}),
                        None => json!({"key": key, "revision": revision, "deleted": true}),
                    })
                    .collect();
                if !events.is_empty() || Instant::now() >= until {
                    return json!({"events": events, "at": state.revision});
                }
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

fn unescape(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut left = text.as_bytes();
    while let Some((first, rest)) = left.split_first() {
        let digits = rest.get(..2).filter(|_| *first == b'%');
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        let escaped = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.push(escaped.unwrap_or(*first));
        left = if escaped.is_some() { &rest[2..] } else { rest };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(*group.get(index).unwrap_or(&0));
        let number = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            let value = (number >> (18 - 6 * digit)) & 63;
            let is_padding = digit > group.len();
            text.push(if is_padding {
                '='
            } else {
                char::from(DIGITS[value as usize])
            });
        }
    }
    text
}

fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut number, mut bits) = (0_u32, 0);
    for digit in text.bytes() {
        let Some(value) = DIGITS.iter().position(|other| *other == digit) else {
            continue;
        };
        number = number << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((number >> bits) as u8);
            number &= (1 << bits) - 1;
        }
    }
    bytes
}
