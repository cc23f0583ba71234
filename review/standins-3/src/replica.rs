//! A stand-in of a model replica. It writes a line for each request that it runs to its output.

use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{read_body, read_head, respond, Head};

struct Replica {
    id: String,
    born: u64,
    /// The prompt part that crashes the replica, if any.
    deadly: String,
    /// How many events of the answer to a deadly prompt are written before the crash.
    deadly_events: u64,
    /// What the replica names as its `Server-Limit`, if anything.
    limit: String,
    running: AtomicU64,
    /// Until when the replica is cold, and the requests a second at which it then crashes.
    cold: Mutex<Option<(Instant, usize)>>,
    arrivals: Mutex<VecDeque<Instant>>,
}

/// Events of a sound answer, and the time from one to the next.
const EVENTS: u64 = 6;
const EVENT_TIME: Duration = Duration::from_millis(20);
/// Time from the arrival of a request to its first event.
const FIRST_TIME: Duration = Duration::from_millis(60);

pub fn run(words: &[&str]) -> i32 {
    let [address, id, born, deadly, deadly_events, limit] = words else {
        return 2;
    };
    let Ok(listener) = TcpListener::bind(address) else {
        return 2;
    };
    let replica = Arc::new(Replica {
        id: (*id).to_owned(),
        born: born.parse().unwrap_or(0),
        deadly: (*deadly).to_owned(),
        deadly_events: deadly_events.parse().unwrap_or(0),
        limit: (*limit).to_owned(),
        running: AtomicU64::new(0),
        cold: Mutex::default(),
        arrivals: Mutex::default(),
    });
    let told = Arc::clone(&replica);
    std::thread::spawn(move || told.follow_input());
    say("listens");
    for stream in listener.incoming().flatten() {
        let replica = Arc::clone(&replica);
        std::thread::spawn(move || replica.serve(stream));
    }
    0
}

fn say(text: &str) {
    let mut output = std::io::stdout().lock();
    let _ = writeln!(output, "{text}");
    let _ = output.flush();
}

impl Replica {
    /// Reads "cold MILLISECONDS CRASH_RATE" lines.
    fn follow_input(&self) {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            let words: Vec<u64> = line
                .split(' ')
                .filter_map(|word| word.parse().ok())
                .collect();
            if let [ms, rate] = words[..] {
                *self.cold.lock().unwrap() =
                    Some((Instant::now() + Duration::from_millis(ms), rate as usize));
            }
        }
    }

    /// Counts a request. A cold replica crashes if it gets too many in a second.
    fn count_arrival(&self) {
        let now = Instant::now();
        let mut arrivals = self.arrivals.lock().unwrap();
        arrivals.push_back(now);
        while arrivals
            .front()
            .is_some_and(|at| now - *at > Duration::from_secs(1))
        {
            arrivals.pop_front();
        }
        let cold = self.cold.lock().unwrap().filter(|(until, _)| now < *until);
        if cold.is_some_and(|(_, rate)| arrivals.len() > rate) {
            let running = self.running.load(Ordering::Relaxed);
            say(&format!(
                "crashes since it is cold, with {running} requests at work"
            ));
            std::process::exit(134);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut to) = stream.try_clone() else {
            return;
        };
        let mut from = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut from) {
            let (_, complete) = read_body(&mut from, &head, false);
            if !complete || self.answer(&head, &mut to).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, to: &mut TcpStream) -> std::io::Result<()> {
        let path = head.first.split(' ').nth(1).unwrap_or("");
        let mut name = format!("X-Replica-Id: {}\r\n", self.id);
        if !self.limit.is_empty() {
            name.push_str(&format!("Server-Limit: {}\r\n", self.limit));
        }
        if path == "/v1/report" {
            let running = self.running.load(Ordering::Relaxed);
            let body = format!(
                r#"{{"phase":"combined","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seqNo":0,"waiting":0,"running":{running},"kvUsed":0,"kvTotal":90000,"kvHandles":0,"born":{}}}"#,
                self.born
            );
            let headers = format!("Content-Type: application/json\r\n{name}");
            return respond(to, "200 OK", &headers, body.as_bytes());
        }
        if path == "/healthz" {
            return respond(to, "200 OK", &name, b"");
        }
        let attempt = head.get("x-attempt-id").unwrap_or("").to_owned();
        let echo = format!("X-Attempt-Id: {attempt}\r\n");
        let expected = head.get("x-expect-replica");
        if expected.is_some_and(|expected| expected != self.id) {
            return respond(to, "421 Misdirected Request", &format!("{echo}{name}"), b"");
        }
        let parts = head.get("x-prefix-hash").unwrap_or("");
        let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
        let is_deadly = !self.deadly.is_empty()
            && shared
                .split(',')
                .any(|part| part.split(':').next() == Some(self.deadly.as_str()));
        let tenant = head
            .get("x-tenant")
            .map_or("none".to_owned(), |tenant| format!("'{tenant}'"));
        say(&format!(
            "runs {attempt} tenant {tenant} deadly {is_deadly}"
        ));
        self.running.fetch_add(1, Ordering::Relaxed);
        self.count_arrival();
        std::thread::sleep(FIRST_TIME);
        let signature = "X-Replica-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n";
        let head = format!(
            "HTTP/1.1 200 OK\r\n{echo}{name}{signature}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        to.write_all(head.as_bytes())?;
        for event in 1..=EVENTS {
            if is_deadly && event > self.deadly_events {
                // It has begun to write its answer.
                std::thread::sleep(EVENT_TIME);
                say(&format!("crashes on {attempt}"));
                std::process::exit(134);
            }
            to.write_all(event_chunk(event).as_bytes())?;
            std::thread::sleep(EVENT_TIME);
        }
        self.running.fetch_sub(1, Ordering::Relaxed);
        to.write_all(b"0\r\n\r\n")
    }
}

fn event_chunk(event: u64) -> String {
    let text = format!("id: {event}\ndata: {}\n\n", "x".repeat(40));
    format!("{:x}\r\n{text}\r\n", text.len())
}
