//! A key is taken away while two machines, one of them slow, are cut off from the store and all
//! other machines.

use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::Signal;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::http::{Head, Reader, response};
use crate::proxy::Proxy;
use crate::store::Store;
use crate::world::{Record, Router, RouterSettings, call, free_address, unix_ms};

/// The bound `revokeMs`.
const REVOKE: Duration = Duration::from_millis(5_000);
/// How long the machines are cut off: the longest `node_cut` of the site.
const CUT_FOR: Duration = Duration::from_secs(12);
/// From the cut to the change of the configuration.
const REVOKED_AFTER: Duration = Duration::from_millis(100);
/// How long one of them is slow: the longest `node_slow` of the site.
const SLOW_FOR: Duration = Duration::from_millis(5_500);
/// The slow machine runs for 18 ms in each tenth of a second: `node_slow`, x 5.5.
const RUNS_FOR: Duration = Duration::from_millis(18);
const STANDS_FOR: Duration = Duration::from_millis(82);
const REPLICAS: u32 = 12;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
const REQUEST_PAUSE: Duration = Duration::from_millis(40);

fn configuration(version: u32, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-1","host":"h.example","prefix":"/hold/","type":"unsafe",
        "timeoutMs":600,"sloMs":100,"priority":2,"service":"desk","maxAttempts":1,"anonymous":false,
        "sticky":false,"resumable":false}}],
        "services":[{{"name":"desk","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}}],
        "limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
        "idleTimeoutMs":15000,"tokensPerS":550000}},
        "tenants":[{{"name":"t-1","apiKeys":[{keys}],"priority":1}}]}}"#
    )
}

/// When each attempt that ran was sent by its client.
type Runs = Arc<Mutex<Vec<String>>>;

async fn start_replica(id: String, store: &Store, runs: &Runs) -> std::io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (address, born) = (listener.local_addr()?, unix_ms());
    let (store, key) = (store.clone(), format!("servers/{id}"));
    tokio::spawn(async move {
        for seq in 1.. {
            let entry = format!(
                r#"{{"service":"desk","address":"{address}","zone":"z-a","version":"v1","slots":6,"state":"ready",
                "coldRemainingMs":0,"seqNo":{seq},"born":{born}}}"#
            );
            store.write(&key, &entry);
            tokio::time::sleep(HEARTBEAT).await;
        }
    });
    let runs = Arc::clone(runs);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (id, runs) = (id.clone(), Arc::clone(&runs));
            tokio::spawn(async move {
                let _ = stream.set_nodelay(true);
                let mut reader = Reader::new(stream);
                while let Ok(Some(head)) = reader.head().await {
                    if reader.body(&head, false, &mut Vec::new()).await.is_err()
                        || answer(&id, &head, &mut reader, &runs).await.is_err()
                    {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

async fn answer(
    id: &str,
    head: &Head,
    reader: &mut Reader<TcpStream>,
    runs: &Runs,
) -> std::io::Result<()> {
    let attempt = head.header("x-attempt-id").unwrap_or("");
    let answer = if head.request().1 == "/healthz" {
        response("200 OK", &format!("x-replica-id: {id}\r\n"), "")
    } else if head
        .header("x-expect-replica")
        .is_some_and(|expected| expected != id)
    {
        let headers =
            format!("x-replica-id: {id}\r\nx-attempt-id: {attempt}\r\nx-not-executed: 1\r\n");
        response("421 Misdirected Request", &headers, "")
    } else {
        runs.lock().unwrap().push(attempt.to_owned());
        tokio::time::sleep(Duration::from_millis(15)).await;
        let headers =
            format!("x-attempt-id: {attempt}\r\nx-replica-signature: s.{id}.{attempt}\r\n");
        response("200 OK", &headers, "held")
    };
    reader.stream().write_all(answer.as_bytes()).await
}

/// Runs the case; the result is the exit code.
pub async fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> std::io::Result<i32> {
    let record = Record::create(folder)?;
    let store = Store::start().await?;
    store.write("op/config", &configuration(7, r#""key-1","key-2""#));
    let runs = Runs::default();
    // As many as a small deployment has, which report one after the other.
    for index in 1..=REPLICAS {
        start_replica(format!("i-{index}"), &store, &runs).await?;
        tokio::time::sleep(HEARTBEAT / REPLICAS).await;
    }
    let ips = ["127.0.0.11", "127.0.0.12"];
    let peer_port = free_address(ips[0]).port();
    let mut proxies = Vec::new();
    let mut routers = Vec::new();
    for (index, ip) in ips.into_iter().enumerate() {
        let proxy = Proxy::start(store.address).await?;
        let settings = RouterSettings {
            name: ["edge-a-1", "edge-a-2"][index],
            ip,
            peer_port,
            store: proxy.address,
            seeds: r#""127.0.0.11:8785", "127.0.0.12:8785""#,
            fail_closed: true,
        };
        routers.push(Router::start(&settings, temporary)?);
        proxies.push(proxy);
    }
    for router in &routers {
        if !router.is_ready().await {
            record.line("a router did not become ready");
            return Ok(2);
        }
    }
    let is_over = Arc::new(AtomicBool::new(false));
    // When each request with the key that is taken away was sent.
    let sent: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let next = Arc::new(AtomicU64::new(1));
    let mut clients = Vec::new();
    for (index, router) in routers.iter().enumerate() {
        let (record, is_over) = (record.clone(), Arc::clone(&is_over));
        let (sent, next, callers) = (Arc::clone(&sent), Arc::clone(&next), router.callers);
        clients.push(tokio::spawn(async move {
            while !is_over.load(Ordering::Relaxed) {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let attempt = format!("b{number:07}");
                let request = format!(
                    "POST /hold/2f HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 600\r\n\
                     X-Api-Key: key-1\r\nConnection: close\r\nContent-Length: 4\r\n\r\ntext"
                );
                sent.lock().unwrap().push((attempt.clone(), Instant::now()));
                record.line(format!("client sends {attempt} with key-1 to edge-a-{}", index + 1));
                let answer = call(callers, &request, Duration::from_millis(1_600)).await;
                let status = answer.head.status();
                record.line(format!("client gets {attempt}: {status} {}", answer.problem));
                tokio::time::sleep(REQUEST_PAUSE).await;
            }
        }));
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    if runs.lock().unwrap().len() < 40 {
        record.line("too few requests run before the change");
        return Ok(2);
    }
    if has_trouble {
        proxies.iter().for_each(|proxy| proxy.set_cut(true));
        record.line("both machines are cut off from the store; edge-a-2 turns slow");
    }
    let cut_at = Instant::now();
    tokio::time::sleep(REVOKED_AFTER).await;
    store.write("op/config", &configuration(8, r#""key-2""#));
    let acknowledged_at = Instant::now();
    record.line("the store acknowledges version 8, which takes key-1 away");
    while cut_at.elapsed() < CUT_FOR {
        if has_trouble && cut_at.elapsed() + STANDS_FOR < SLOW_FOR {
            routers[1].signal(Signal::STOP);
            tokio::time::sleep(STANDS_FOR).await;
            routers[1].signal(Signal::CONT);
            tokio::time::sleep(RUNS_FOR).await;
        } else {
            tokio::time::sleep(RUNS_FOR).await;
        }
    }
    if has_trouble {
        proxies.iter().for_each(|proxy| proxy.set_cut(false));
        record.line("the cut heals");
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.await;
    }
    let ran = runs.lock().unwrap().clone();
    let sent = sent.lock().unwrap();
    let mut late = 0;
    let mut latest = Duration::ZERO;
    for (attempt, sent_at) in sent.iter() {
        let after = sent_at.saturating_duration_since(acknowledged_at);
        if after > REVOKE && ran.contains(attempt) {
            late += 1;
            latest = latest.max(after);
            let after = after.as_secs_f64();
            record.line(format!(
                "CONFIG broken: {attempt} was sent {after:.3} s after the acknowledgement and ran"
            ));
        }
    }
    let summary = format!(
        "{} sent, {} ran, {late} ran that were sent more than 5 s after their key was taken away, the last {:.3} s",
        sent.len(),
        ran.len(),
        latest.as_secs_f64()
    );
    record.line(&summary);
    println!("{summary}");
    if routers.iter_mut().any(Router::has_ended) {
        record.line("a router ended by itself");
        return Ok(2);
    }
    Ok(i32::from(late > 0))
}
