//! Stand-ins for the review's scripts: the platform's store, replicas, a proxy, routers as
//! processes, and clients. They speak what the users' pages say, with one thread per connection.

pub mod http;
pub mod proxy;
pub mod replica;
pub mod router;
pub mod store;

use std::fmt::Display;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What was sent, answered and run, in milliseconds since the start of the test.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        let lines = Arc::default();
        let start = Instant::now();
        Self { start, lines }
    }

    pub fn ms(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64() * 1e3
    }

    pub fn now_ms(&self) -> f64 {
        self.ms(Instant::now())
    }

    pub fn line(&self, text: impl Display) {
        let line = format!("{:10.1} ms  {text}", self.now_ms());
        self.lines.lock().unwrap().push(line);
    }

    /// Also shows the line.
    pub fn say(&self, text: impl Display) {
        println!("{:10.1} ms  {text}", self.now_ms());
        self.line(text);
    }

    /// Writes `record.txt` in the case's folder.
    pub fn save(&self) {
        let folder = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".to_owned());
        let mut lines = self.lines.lock().unwrap().clone();
        lines.push(String::new());
        let mut file = std::fs::File::create(PathBuf::from(folder).join("record.txt")).unwrap();
        file.write_all(lines.join("\n").as_bytes()).unwrap();
    }
}

impl Default for Record {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns whether the disruption is to be played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the test: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn finish(record: &Record, code: i32) -> ! {
    record.say(format!("exit code {code}"));
    record.save();
    std::process::exit(code)
}

/// Returns `count` ports that are free on all the addresses.
pub fn free_ports(ips: &[Ipv4Addr], count: usize) -> Vec<u16> {
    let mut ports = Vec::new();
    while ports.len() < count {
        let probe = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
        let port = probe.local_addr().unwrap().port();
        drop(probe);
        let is_free = |ip: &Ipv4Addr| {
            let address = SocketAddr::new(IpAddr::V4(*ip), port);
            TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
        };
        if !ports.contains(&port) && ips.iter().all(is_free) {
            ports.push(port);
        }
    }
    ports
}

pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
