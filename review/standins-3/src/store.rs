//! A stand-in of the platform's store: items, watches and leases. Each answer is linearizable.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{base64, read_body, read_head, respond};

struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Changes as JSON, with their revisions.
    history: Vec<(u64, String, String)>,
    revision: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
    lease_last: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value,
            revision,
            created,
            lease,
        };
        let text = json(key, &item);
        self.items.insert(key.to_owned(), item);
        self.history.push((revision, key.to_owned(), text));
        revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let text = format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#);
            self.history.push((revision, key.to_owned(), text));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease && lease != 0)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
        known
    }
}

fn json(key: &str, item: &Item) -> String {
    let Item {
        value,
        revision,
        created,
        lease,
    } = item;
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
    )
}

impl Store {
    /// Serves the store at an address.
    pub fn serve(address: SocketAddr) -> std::io::Result<Arc<Self>> {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().revision = 100;
        let listener = TcpListener::bind(address)?;
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || store.serve_connection(stream));
            }
        });
        let ticking = Arc::clone(&store);
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(100));
            ticking.state.lock().unwrap().end_leases();
            ticking.changed.notify_all();
        });
        Ok(store)
    }

    /// Writes an item, as the operator or a replica does. The return is the acknowledgement.
    pub fn write(&self, key: &str, value: &str) {
        self.state
            .lock()
            .unwrap()
            .write(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.lock().unwrap().remove(key);
        self.changed.notify_all();
    }

    fn serve_connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut from) {
            let (body, complete) = read_body(&mut from, &head, false);
            if !complete {
                return;
            }
            let mut words = head.first.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let (status, text) = self.answer(method, path, query, &String::from_utf8_lossy(&body));
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if respond(&mut to, status, headers, text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, path: &str, query: &str, body: &str) -> (&'static str, String) {
        let word = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(other, _)| *other == name)
                .map(|(_, value)| value.replace("%2F", "/"))
        };
        let number = |name: &str| {
            word(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let mut state = self.state.lock().unwrap();
        match (method, path) {
            ("GET", "/v1/kv-key") => {
                let key = word("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => ("200 OK", json(&key, item)),
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("GET", "/v1/kv-range") => {
                let (prefix, after) = (
                    word("prefix").unwrap_or_default(),
                    word("after").unwrap_or_default(),
                );
                let items = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| json(key, item)).collect();
                (
                    "200 OK",
                    format!(
                        r#"{{"items":[{}],"hasMore":false,"at":{}}}"#,
                        items.join(","),
                        state.revision
                    ),
                )
            }
            ("GET", "/v1/kv-watch") => {
                let (prefix, after) = (word("prefix").unwrap_or_default(), number("after"));
                let until = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
                loop {
                    let events = state
                        .history
                        .iter()
                        .filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
                    let events: Vec<&str> = events.map(|(_, _, text)| text.as_str()).collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= until {
                        return (
                            "200 OK",
                            format!(
                                r#"{{"events":[{}],"at":{}}}"#,
                                events.join(","),
                                state.revision
                            ),
                        );
                    }
                    state = self.changed.wait_timeout(state, until - now).unwrap().0;
                }
            }
            ("POST", "/v1/kv-lease") => {
                let ttl = Duration::from_millis(json_number(body, "ttlMs"));
                state.lease_last += 1;
                let lease = state.lease_last;
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (
                    "200 OK",
                    format!(r#"{{"lease":{lease},"ttlMs":{}}}"#, ttl.as_millis()),
                )
            }
            ("POST", _) if path.starts_with("/v1/kv-keep/") => {
                let lease = path["/v1/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&lease) {
                    Some((end, ttl)) => {
                        *end = Instant::now() + *ttl;
                        ("200 OK", format!(r#"{{"ttlMs":{}}}"#, ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".to_owned()),
                }
            }
            ("DELETE", _) if path.starts_with("/v1/kv-lease-end/") => {
                let lease = path["/v1/kv-lease-end/".len()..].parse().unwrap_or(0);
                let known = state.end_lease(lease);
                self.changed.notify_all();
                (
                    if known { "200 OK" } else { "404 Not Found" },
                    "{}".to_owned(),
                )
            }
            // The routers write one key a call and set no condition.
            ("POST", "/v1/kv-txn") => {
                let write = body.split_once(r#""write":["#).map_or("", |(_, rest)| rest);
                let (key, value) = (json_text(write, "key"), json_text(write, "value"));
                let lease = json_number(write, "lease");
                if lease != 0 && !state.leases.contains_key(&lease) {
                    return ("404 Not Found", "{}".to_owned());
                }
                if key.starts_with("op/") || key.starts_with("servers/") {
                    return ("403 Forbidden", "{}".to_owned());
                }
                let revision = state.write(&key, value, lease);
                self.changed.notify_all();
                ("200 OK", format!(r#"{{"revision":{revision}}}"#))
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn json_text(text: &str, name: &str) -> String {
    let begin = format!(r#""{name}":""#);
    let rest = text.split_once(&begin).map_or("", |(_, rest)| rest);
    rest.split('"').next().unwrap_or("").to_owned()
}

fn json_number(text: &str, name: &str) -> u64 {
    let begin = format!(r#""{name}":"#);
    let rest = text.split_once(&begin).map_or("", |(_, rest)| rest);
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}
