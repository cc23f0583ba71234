//! A replica of a plain service crashes within an answer that has no length, and its supervisor
//! starts it again at once, under the id that it had.

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use crate::http::{Head, Reader, response};
use crate::store::Store;
use crate::world::{Record, Router, RouterSettings, call, free_address, unix_ms};

const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"r-1","host":"h.example","prefix":"/order/",
"type":"unsafe","timeoutMs":1200,"sloMs":150,"priority":2,"service":"desk","maxAttempts":1,"anonymous":false,
"sticky":false,"resumable":false}],
"services":[{"name":"desk","healthPath":"/healthz","maxConns":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,
"tokensPerS":550000},"tenants":[{"name":"t-1","apiKeys":["key-1"],"priority":1}]}"#;
const ROUTERS: usize = 6;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// From the crash until the next start registers itself.
const DOWN_FOR: Duration = Duration::from_millis(300);
/// From then until it accepts connections. Its supervisor keeps the listening socket.
const STARTS_FOR: Duration = Duration::from_millis(100);
const BODY_BYTES: usize = 800;
/// Requests to each router whose answers have a length, before one that has none.
const FRAMED: usize = 20;
/// Requests until one without a length comes from the replica that sends such answers.
const TRIES: usize = 8;
/// The one replica of four that sends some answers without a length.
const UNFRAMED_REPLICA: &str = "i-1";

/// What the replicas share.
struct Replicas {
    store: Store,
    record: Record,
    has_trouble: bool,
    /// Whether the next request is answered without a length.
    next_is_unframed: Mutex<bool>,
}

fn body_of(attempt: &str) -> String {
    let mut body = format!("order {attempt}: ");
    body.extend(std::iter::repeat_n('.', BODY_BYTES - body.len() - 4));
    body + " end"
}

async fn run_replica(replicas: Arc<Replicas>, id: String, listener: TcpListener) {
    let Ok(address) = listener.local_addr() else {
        return;
    };
    loop {
        let born = unix_ms();
        let crash = Arc::new(tokio::sync::Notify::new());
        let beating = {
            let (replicas, id) = (Arc::clone(&replicas), id.clone());
            tokio::spawn(async move {
                for seq in 1.. {
                    let entry = format!(
                        r#"{{"service":"desk","address":"{address}","zone":"z-a","version":"v1","slots":6,
                        "state":"ready","coldRemainingMs":0,"seqNo":{seq},"born":{born}}}"#
                    );
                    replicas.store.write(&format!("servers/{id}"), &entry);
                    tokio::time::sleep(HEARTBEAT).await;
                }
            })
        };
        tokio::time::sleep(STARTS_FOR).await;
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                () = crash.notified() => break,
            };
            let Ok((stream, _)) = accepted else { return };
            let (replicas, id, crash) = (Arc::clone(&replicas), id.clone(), Arc::clone(&crash));
            connections.spawn(async move {
                let _ = stream.set_nodelay(true);
                let mut reader = Reader::new(stream);
                while let Ok(Some(head)) = reader.head().await {
                    if reader.body(&head, false, &mut Vec::new()).await.is_err() {
                        return;
                    }
                    match answer(&replicas, &id, &head, &mut reader, &crash).await {
                        Ok(true) => {}
                        _ => return,
                    }
                }
            });
        }
        beating.abort();
        connections.shutdown().await;
        replicas.record.line(format!("{id} has crashed"));
        tokio::time::sleep(DOWN_FOR).await;
        replicas
            .record
            .line(format!("{id} starts again and registers itself"));
    }
}

/// Answers one request; returns whether the connection stays open.
async fn answer(
    replicas: &Replicas,
    id: &str,
    head: &Head,
    reader: &mut Reader<TcpStream>,
    crash: &tokio::sync::Notify,
) -> std::io::Result<bool> {
    let attempt = head.header("x-attempt-id").unwrap_or("");
    let name = format!("x-replica-id: {id}\r\n");
    if head.request().1 == "/healthz" {
        replicas.record.line(format!("{id} answers a health check"));
        let answer = response("200 OK", &name, "");
        reader.stream().write_all(answer.as_bytes()).await?;
        return Ok(true);
    }
    if head
        .header("x-expect-replica")
        .is_some_and(|expected| expected != id)
    {
        let headers = format!("{name}x-attempt-id: {attempt}\r\nx-not-executed: 1\r\n");
        let answer = response("421 Misdirected Request", &headers, "");
        reader.stream().write_all(answer.as_bytes()).await?;
        return Ok(true);
    }
    replicas.record.line(format!("{id} runs {attempt}"));
    tokio::time::sleep(Duration::from_millis(30)).await;
    let marks = format!("x-attempt-id: {attempt}\r\nx-replica-signature: s.{id}.{attempt}\r\n");
    let is_unframed =
        id == UNFRAMED_REPLICA && std::mem::take(&mut *replicas.next_is_unframed.lock().unwrap());
    let body = body_of(attempt);
    if !is_unframed {
        let answer = response("200 OK", &marks, &body);
        reader.stream().write_all(answer.as_bytes()).await?;
        return Ok(true);
    }
    let whole = format!("HTTP/1.1 200 OK\r\n{marks}connection: close\r\n\r\n{body}");
    if !replicas.has_trouble {
        reader.stream().write_all(whole.as_bytes()).await?;
        reader.stream().shutdown().await?;
        return Ok(false);
    }
    let cut = &whole[..whole.len() - BODY_BYTES / 2];
    reader.stream().write_all(cut.as_bytes()).await?;
    crash.notify_one();
    // The crash closes this connection, too.
    std::future::pending().await
}

/// Runs the case; the result is the exit code.
pub async fn run(folder: &Path, temporary: &Path, has_trouble: bool) -> std::io::Result<i32> {
    let record = Record::create(folder)?;
    let store = Store::start().await?;
    store.write("op/config", CONFIGURATION);
    let replicas = Arc::new(Replicas {
        store: store.clone(),
        record: record.clone(),
        has_trouble,
        next_is_unframed: Mutex::new(false),
    });
    for index in 1..=4 {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        tokio::spawn(run_replica(
            Arc::clone(&replicas),
            format!("i-{index}"),
            listener,
        ));
    }
    let peer_port = free_address("127.0.0.21").port();
    let seeds = r#""127.0.0.21:8785", "127.0.0.22:8785", "127.0.0.23:8785""#;
    let mut routers = Vec::new();
    for index in 0..ROUTERS {
        let settings = RouterSettings {
            name: &format!("edge-a-{}", index + 1),
            ip: &format!("127.0.0.{}", 21 + index),
            peer_port,
            store: store.address,
            seeds,
            fail_closed: false,
        };
        routers.push(Router::start(&settings, temporary)?);
    }
    for router in &routers {
        if !router.is_ready().await {
            record.line("a router did not become ready");
            return Ok(2);
        }
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (mut wrong, mut whole, mut failed, mut unframed) = (0, 0, 0, 0);
    for (index, router) in routers.iter().enumerate() {
        for round in 0..FRAMED + TRIES {
            let is_tried = round >= FRAMED;
            if is_tried {
                // Idle connections are too old to be used again.
                tokio::time::sleep(Duration::from_millis(1_500)).await;
                *replicas.next_is_unframed.lock().unwrap() = true;
            }
            let attempt = format!("c{index}-{round:02}");
            let request = format!(
                "POST /order/2f HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 2500\r\n\
                 X-Api-Key: key-1\r\nConnection: close\r\nContent-Length: 4\r\n\r\ntext"
            );
            record.line(format!("client sends {attempt} to edge-a-{}", index + 1));
            let answer = call(router.callers, &request, Duration::from_millis(2_500)).await;
            let (status, length) = (answer.head.status(), answer.body.len());
            record.line(format!(
                "client gets {attempt}: {status}, {length} bytes, complete: {} {}",
                answer.is_complete, answer.problem
            ));
            if status != 200 || !answer.is_complete {
                failed += 1;
            } else if answer.body == body_of(&attempt) {
                whole += 1;
            } else {
                wrong += 1;
                record.line(format!(
                    "MIXED broken: {attempt} is answered 200 with {length} of {BODY_BYTES} bytes, and looks complete"
                ));
            }
            if is_tried && !*replicas.next_is_unframed.lock().unwrap() {
                unframed += 1;
                break;
            }
        }
        *replicas.next_is_unframed.lock().unwrap() = false;
    }
    let summary = format!(
        "{whole} whole answers, {failed} failed, {unframed} without a length, {wrong} cut answers that look complete"
    );
    record.line(&summary);
    println!("{summary}");
    if whole < ROUTERS * FRAMED || unframed == 0 || routers.iter_mut().any(Router::has_ended) {
        record.line("the case could not run");
        return Ok(2);
    }
    Ok(i32::from(wrong > 0))
}
