//! The platform's metadata store, and the operator and the replicas that write to it.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Request, answer, read_request};

/// The store's usual time for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (Vec<u8>, u64, u64)>,
    history: Vec<Value>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
    /// Rises when the watches that wait are cut.
    cuts: u64,
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        self.history.push(item(key, &value, revision, lease));
        self.items.insert(key.to_owned(), (value, revision, lease));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = json!({"key": key, "revision": self.revision, "deleted": true});
            self.history.push(event);
        }
    }

    fn end_leases(&mut self, now: Instant) {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (ttl, since))| now.duration_since(*since) >= *ttl)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, (_, _, of))| *of == lease)
                .map(|(key, _)| key.clone())
                .collect();
            keys.iter().for_each(|key| self.remove(key));
        }
    }
}

fn item(key: &str, value: &[u8], revision: u64, lease: u64) -> Value {
    json!({"key": key, "value": to_base64(value), "revision": revision, "created": revision, "lease": lease})
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let store = Self {
            address: listener.local_addr().unwrap(),
            shared: Arc::default(),
        };
        let accepting = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes a key as the operator or a replica does. Returns when the store had accepted it.
    pub fn write(&self, key: &str, value: &str) -> Instant {
        let (state, changed) = &*self.shared;
        state
            .lock()
            .unwrap()
            .write(key, value.as_bytes().to_vec(), 0);
        changed.notify_all();
        Instant::now()
    }

    /// Removes keys and, with `cuts_watches`, cuts the watches that wait in the same moment. Returns
    /// when the store had accepted that.
    pub fn remove(&self, keys: &[String], cuts_watches: bool) -> Instant {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.cuts += u64::from(cuts_watches);
        keys.iter().for_each(|key| state.remove(key));
        drop(state);
        changed.notify_all();
        Instant::now()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            std::thread::sleep(ANSWER_TIME);
            // A watch that is cut gets no answer; its connection is closed.
            let Some((status, body)) = self.call(&request) else {
                return;
            };
            let fields = [("Content-Type", "application/json"), ("Store-Era", "1")];
            let body = body.to_string();
            if answer(&mut writer, status, &fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, request: &Request) -> Option<(u16, Value)> {
        let (state, changed) = &*self.shared;
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let path = request.path().to_owned();
        let id = || {
            path.rsplit('/')
                .next()
                .and_then(|id| id.parse().ok())
                .unwrap_or(0_u64)
        };
        let mut state = state.lock().unwrap();
        state.end_leases(Instant::now());
        let answer = match (request.method.as_str(), path.as_str()) {
            ("GET", "/v1/kv-watch") => return self.watch(state, request),
            ("GET", "/v1/kv-range") => {
                let prefix = request.query("prefix").unwrap_or_default();
                let after = request.query("after").unwrap_or_default();
                let listed = state.items.iter();
                let listed = listed.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<Value> = listed
                    .map(|(key, (value, revision, lease))| item(key, value, *revision, *lease))
                    .collect();
                (
                    200,
                    json!({"items": items, "hasMore": false, "at": state.revision}),
                )
            }
            ("GET", "/v1/kv-key") => {
                let key = request.query("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some((value, revision, lease)) => (200, item(&key, value, *revision, *lease)),
                    None => (404, json!({})),
                }
            }
            ("POST", "/v1/kv-lease") => {
                let ttl_ms = body["ttlMs"]
                    .as_u64()
                    .unwrap_or(1_000)
                    .clamp(1_000, 600_000);
                state.next_lease += 1;
                let lease = state.next_lease;
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (ttl, Instant::now()));
                (200, json!({"lease": lease, "ttlMs": ttl_ms}))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => match state.leases.get_mut(&id())
            {
                Some((ttl, since)) => {
                    *since = Instant::now();
                    (200, json!({"ttlMs": ttl.as_millis() as u64}))
                }
                None => (404, json!({})),
            },
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let lease = id();
                match state.leases.get_mut(&lease) {
                    Some((ttl, _)) => {
                        *ttl = Duration::ZERO;
                        state.end_leases(Instant::now());
                        (200, json!({}))
                    }
                    None => (404, json!({})),
                }
            }
            ("POST", "/v1/kv-txn") => transact(&mut state, &body),
            _ => (404, json!({})),
        };
        drop(state);
        changed.notify_all();
        Some(answer)
    }

    fn watch(
        &self,
        mut state: std::sync::MutexGuard<'_, State>,
        request: &Request,
    ) -> Option<(u16, Value)> {
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let prefix = request.query("prefix").unwrap_or_default();
        let after = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let cuts = state.cuts;
        loop {
            if state.cuts != cuts {
                return None;
            }
            let events: Vec<Value> = state
                .history
                .iter()
                .filter(|event| event["revision"].as_u64().unwrap_or(0) > after)
                .filter(|event| event["key"].as_str().unwrap_or("").starts_with(&prefix))
                .cloned()
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return Some((200, json!({"events": events, "at": state.revision})));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn transact(state: &mut State, body: &Value) -> (u16, Value) {
    let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
    for row in rows("expected") {
        let key = row["key"].as_str().unwrap_or("");
        let revision = state.items.get(key).map_or(0, |(_, revision, _)| *revision);
        if revision != row["revision"].as_u64().unwrap_or(0) {
            return (412, json!({"items": []}));
        }
    }
    for row in rows("write") {
        let lease = row["lease"].as_u64().unwrap_or(0);
        if lease != 0 && !state.leases.contains_key(&lease) {
            return (404, json!({}));
        }
        let value = from_base64(row["value"].as_str().unwrap_or(""));
        state.write(row["key"].as_str().unwrap_or(""), value, lease);
    }
    for key in rows("remove") {
        state.remove(key.as_str().unwrap_or(""));
    }
    (200, json!({"revision": state.revision}))
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let is_padding = index > group.len();
            let digit = ALPHABET[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if is_padding { '=' } else { char::from(digit) });
        }
    }
    text
}

fn from_base64(text: &str) -> Vec<u8> {
    let digits = text
        .bytes()
        .filter_map(|byte| ALPHABET.iter().position(|digit| *digit == byte));
    let (mut bytes, mut bits, mut length) = (Vec::new(), 0_u32, 0);
    for digit in digits {
        bits = bits << 6 | digit as u32;
        length += 6;
        if length >= 8 {
            length -= 8;
            bytes.push((bits >> length) as u8);
        }
    }
    bytes
}
