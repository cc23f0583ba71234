//! Streams that may be resumed, at engines that fail a part of their requests and break off a
//! part of their answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::http::{Head, Reader, response};
use crate::store::Store;
use crate::world::{
    Numbers, Record, Router, RouterSettings, call, event_numbers, free_address, unix_ms,
};

/// How long clients send requests.
const SENDING_TIME: Duration = Duration::from_secs(60);
const CLIENTS: usize = 24;
/// Trouble comes and goes: each time it lasts as long as a `srv_grey` of the site at most.
const TROUBLE_FOR: Duration = Duration::from_secs(4);
const TROUBLE_EVERY: Duration = Duration::from_secs(8);
/// Share of the requests that each engine fails with its own 500 (`srv_grey`, share 1, x 0.45).
const FAILED_SHARE: f64 = 0.45;
/// Share of the other answers that every second engine breaks off (`garble`, share 0.5, x 0.05).
const BROKEN_SHARE: f64 = 0.05;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const FIRST_EVENT_AFTER: Duration = Duration::from_millis(60);
const EVENT_PAUSE: Duration = Duration::from_millis(15);

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"h.example","prefix":"/notes/",
"type":"streaming","timeoutMs":4000,"sloMs":500,"priority":1,"service":"lm","maxAttempts":2,
"anonymous":false,"sticky":true,"resumable":true,"gapTargetMs":300}],
"services":[{"name":"lm","healthPath":"/healthz","maxConns":370,"protocol":"h1","tls":false,
"engine":{"slots":64,"kvCapacityTokens":387743,"kvBytes":35136,"linkMbps":1100000.0,"moves":true,
"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{"name":"m"}]}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,
"tokensPerS":550000},"tenants":[{"name":"t-1","apiKeys":["key-1"],"priority":1}]}"#;

/// Events of each attempt's stream, whichever engine runs it.
type Lengths = Arc<Mutex<HashMap<String, u32>>>;

#[derive(Clone)]
struct Engine {
    id: String,
    address: SocketAddr,
    born: u128,
    numbers: Arc<Mutex<Numbers>>,
    lengths: Lengths,
    /// When trouble first comes; unset if none does.
    trouble_from: Option<Instant>,
    may_break_off: bool,
    record: Record,
}

impl Engine {
    async fn start(
        index: u64,
        store: &Store,
        lengths: &Lengths,
        trouble_from: Option<Instant>,
        record: &Record,
    ) -> std::io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let engine = Self {
            id: format!("i-{index}"),
            address: listener.local_addr()?,
            born: unix_ms(),
            numbers: Arc::new(Mutex::new(Numbers(1_000 + index))),
            lengths: Arc::clone(lengths),
            trouble_from,
            may_break_off: index % 2 == 0,
            record: record.clone(),
        };
        let (beating, store) = (engine.clone(), store.clone());
        tokio::spawn(async move {
            for seq in 1.. {
                store.write(&format!("servers/{}", beating.id), &beating.entry(seq));
                tokio::time::sleep(HEARTBEAT).await;
            }
        });
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let engine = engine.clone();
                tokio::spawn(async move { engine.serve(stream).await });
            }
        });
        Ok(())
    }

    fn entry(&self, seq: u64) -> String {
        let Self { address, born, .. } = self;
        format!(
            r#"{{"service":"lm","address":"{address}","zone":"z-a","version":"v1","slots":64,"state":"ready",
            "coldRemainingMs":0,"phase":"combined","models":[{{"name":"m","version":1,"adapters":[]}}],
            "seqNo":{seq},"born":{born}}}"#
        )
    }

    async fn serve(self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream);
        while let Some(head) = reader.head().await? {
            reader.body(&head, false, &mut Vec::new()).await?;
            let keeps = self.answer(&head, &mut reader).await?;
            if !keeps {
                return Ok(());
            }
        }
        Ok(())
    }

    fn is_troubled(&self) -> bool {
        self.trouble_from.is_some_and(|from| {
            let since = Instant::now().saturating_duration_since(from);
            Instant::now() >= from
                && since.as_millis() % TROUBLE_EVERY.as_millis() < TROUBLE_FOR.as_millis()
        })
    }

    /// Answers one request; returns whether the connection stays open.
    async fn answer(&self, head: &Head, reader: &mut Reader<TcpStream>) -> std::io::Result<bool> {
        let (_, target) = head.request();
        let name = format!("x-replica-id: {}\r\n", self.id);
        if target == "/v1/report" {
            let body = format!(
                r#"{{"phase":"combined","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":false,"seqNo":2,
                "waiting":0,"running":1,"kvUsed":0,"kvTotal":387743,"kvHandles":0,"born":{}}}"#,
                self.born
            );
            let answer = response("200 OK", &name, &body);
            reader.stream().write_all(answer.as_bytes()).await?;
            return Ok(true);
        }
        if target == "/healthz" {
            let answer = response("200 OK", &name, "");
            reader.stream().write_all(answer.as_bytes()).await?;
            return Ok(true);
        }
        let attempt = head.header("x-attempt-id").unwrap_or("").to_owned();
        if head
            .header("x-expect-replica")
            .is_some_and(|id| id != self.id)
        {
            let headers = format!("{name}x-attempt-id: {attempt}\r\nx-not-executed: 1\r\n");
            let answer = response("421 Misdirected Request", &headers, "");
            reader.stream().write_all(answer.as_bytes()).await?;
            return Ok(true);
        }
        let resumed = head.header("last-event-id").and_then(|id| id.parse().ok());
        let first: u32 = resumed.map_or(1, |last: u32| last + 1);
        let (fails, breaks_off, length) = {
            let mut numbers = self.numbers.lock().unwrap();
            let draws = (numbers.next(), numbers.next(), numbers.next());
            let mut lengths = self.lengths.lock().unwrap();
            let length = 6 + (draws.2 * 6.0) as u32;
            let length = *lengths.entry(attempt.clone()).or_insert(length);
            let is_troubled = self.is_troubled();
            let fails = is_troubled && draws.0 < FAILED_SHARE;
            let breaks_off = is_troubled && self.may_break_off && draws.1 < BROKEN_SHARE;
            (fails, breaks_off, length)
        };
        let marks = format!(
            "x-attempt-id: {attempt}\r\nx-replica-signature: s.{}.{attempt}\r\n",
            self.id
        );
        if fails {
            self.record
                .line(format!("{} runs {attempt}: its own 500", self.id));
            let answer = response("500 Internal Server Error", &marks, "failed");
            reader.stream().write_all(answer.as_bytes()).await?;
            return Ok(true);
        }
        let what = if breaks_off {
            "with neither length nor chunks, broken off"
        } else {
            "in chunks"
        };
        let line = format!(
            "{} runs {attempt}: events {first} to {length}, {what}",
            self.id
        );
        self.record.line(line);
        let stream = reader.stream();
        let framing = if breaks_off {
            "connection: close\r\n"
        } else {
            "transfer-encoding: chunked\r\n"
        };
        let start =
            format!("HTTP/1.1 200 OK\r\n{marks}content-type: text/event-stream\r\n{framing}\r\n");
        stream.write_all(start.as_bytes()).await?;
        tokio::time::sleep(FIRST_EVENT_AFTER).await;
        for number in first..=length {
            let event = format!("id: {number}\ndata: piece {number} of {attempt}\n\n");
            if breaks_off && number == length - 1 {
                // Within an event, and the engine lives on.
                stream
                    .write_all(&event.as_bytes()[..event.len() / 2])
                    .await?;
                stream.shutdown().await?;
                self.record.line(format!(
                    "{} breaks off {attempt} within event {number}",
                    self.id
                ));
                return Ok(false);
            }
            let piece = match breaks_off {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            stream.write_all(piece.as_bytes()).await?;
            tokio::time::sleep(EVENT_PAUSE).await;
        }
        stream.write_all(b"0\r\n\r\n").await?;
        Ok(true)
    }
}

/// Runs the case; the result is the exit code.
pub async fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> std::io::Result<i32> {
    let record = Record::create(folder)?;
    let store = Store::start().await?;
    store.write("op/config", CONFIGURATION);
    let lengths = Lengths::default();
    let trouble_from = has_trouble.then(|| Instant::now() + Duration::from_secs(6));
    for index in 0..4 {
        Engine::start(index, &store, &lengths, trouble_from, &record).await?;
    }
    let settings = RouterSettings {
        name: "edge-a-1",
        ip: "127.0.0.1",
        peer_port: free_address("127.0.0.1").port(),
        store: store.address,
        seeds: "",
        fail_closed: false,
    };
    let mut router = Router::start(&settings, temporary)?;
    if !router.is_ready().await {
        record.line("the router did not become ready");
        return Ok(2);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let until = Instant::now() + SENDING_TIME;
    let next = Arc::new(AtomicU64::new(1));
    let mut clients = Vec::new();
    for _ in 0..CLIENTS {
        let (record, lengths, next) = (record.clone(), Arc::clone(&lengths), Arc::clone(&next));
        let callers = router.callers;
        clients.push(tokio::spawn(async move {
            let (mut whole, mut wrong) = (0_u32, 0_u32);
            while Instant::now() < until {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let attempt = format!("a{number:07}");
                let request = format!(
                    "POST /notes/2f HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\n\
                     X-Token-Count: 350,80\r\nX-Prefix-Hash: 5c1e07a2:200,91bd3f06:100,{number:x}:50\r\n\
                     X-Deadline-Ms: 4000\r\nX-Api-Key: key-1\r\nConnection: close\r\nContent-Length: 4\r\n\r\ntext"
                );
                record.line(format!("client sends {attempt}"));
                let answer = call(callers, &request, Duration::from_secs(4)).await;
                let status = answer.head.status();
                let events = event_numbers(&answer.body);
                let end = if answer.is_complete { "complete" } else { &answer.problem };
                let seen = events.last().copied().unwrap_or(0);
                record.line(format!("client gets {attempt}: {status}, events up to {seen}, {end}"));
                if status == 200 && answer.is_complete {
                    let length = lengths.lock().unwrap().get(&attempt).copied().unwrap_or(0);
                    let expected: Vec<u32> = (1..=length).collect();
                    if events == expected && answer.body.ends_with("\n\n") {
                        whole += 1;
                    } else {
                        wrong += 1;
                        let length_said = answer.head.header("content-length").unwrap_or("none");
                        let tail: String = answer.body.chars().rev().take(24).collect();
                        let tail: String = tail.chars().rev().collect();
                        record.line(format!(
                            "ORDER broken: {attempt} ends as complete (content-length {length_said}) after event {seen} \
                             of {length}; its last bytes: {tail:?}"
                        ));
                    }
                }
                tokio::time::sleep(Duration::from_millis(30)).await;
            }
            (whole, wrong)
        }));
    }
    let (mut whole, mut wrong) = (0, 0);
    for client in clients {
        let (of_client, wrong_of_client) = client.await.unwrap_or_default();
        whole += of_client;
        wrong += wrong_of_client;
    }
    let sent = next.load(Ordering::Relaxed) - 1;
    let summary =
        format!("{sent} sent, {whole} whole streams, {wrong} cut streams that look complete");
    record.line(&summary);
    println!("{summary}");
    if router.has_ended() || whole < 100 {
        record.line("the case could not run");
        return Ok(2);
    }
    Ok(i32::from(wrong > 0))
}
