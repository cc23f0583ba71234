//! The memory of a router process while callers read slowly.

#[path = "../../../platform/tests/support.rs"]
mod support;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

use support::{OK, ReplicaMode, ReplicaStandin, StoreStandin, call, settings, until};

/// Memory of the smallest hosts.
const HOST_MEMORY_MB: u64 = 88;
/// Bound on the memory of the process. The rest is for the bodies of requests and a larger fleet's
/// state.
const PROCESS_MAX_MB: u64 = HOST_MEMORY_MB * 3 / 4;
const CALLERS: u32 = 200;
const SLOW_CALLERS: u32 = CALLERS / 10;
/// Callers of streams that read nothing at all.
const UNREAD_STREAMS: u32 = 250;
const LOAD_TIME: Duration = Duration::from_secs(5);
/// Pause of a slow caller after each byte.
const BYTE_PAUSE: Duration = Duration::from_millis(150);
/// Pause of other callers between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(150);

const CONFIGURATION: &str = r#"{"version":3,"routes":[
{"name":"endless","host":"h.example","prefix":"/endless/stream/","type":"streaming","timeoutMs":9000,"sloMs":200,
"priority":1,"service":"endless","maxAttempts":1,"anonymous":true},
{"name":"sound","host":"h.example","prefix":"/sound/stream/","type":"streaming","timeoutMs":9000,"sloMs":200,
"priority":1,"service":"sound","maxAttempts":1,"anonymous":true}],
"services":[{"name":"endless","healthPath":"/healthz","maxConns":500},{"name":"sound","healthPath":"/healthz","maxConns":500}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"team-1","apiKeys":["key-1"]}]}"#;

/// A router process that ends with the test.
struct Process(Child);

impl Process {
    /// Returns the most memory that the process has used.
    fn peak_memory_mb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.0.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let kb = line.unwrap().split_whitespace().nth(1).unwrap();
        kb.parse::<u64>().unwrap() / 1_024
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails if the process has already ended, as after a failed start.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a router; returns its process and the address on which callers connect.
fn start(store: SocketAddr) -> (Process, SocketAddr) {
    let text = settings("router-1", store, false, 5_000);
    let memory = format!("memory_max_mb = {HOST_MEMORY_MB}");
    let text = text.replace("memory_max_mb = 256", &memory);
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join("slow_callers.toml");
    std::fs::write(&file, text).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_daisynotch-router"))
        .args(["direct", "--settings"])
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let process = Process(child);
    let first: Value = serde_json::from_str(&lines.next().unwrap().unwrap()).unwrap();
    assert_eq!(first["event"], "start");
    let callers = first["callers"].as_str().unwrap().parse().unwrap();
    std::thread::spawn(move || lines.for_each(drop));
    (process, callers)
}

/// Calls a stream without end, with a small buffer for what is not read.
async fn begin_stream(at: SocketAddr, id: &str) -> TcpStream {
    let mut stream = loop {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4_096).unwrap();
        match socket.connect(at).await {
            Ok(stream) => break stream,
            // The router closes its listener while its processor is behind.
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    };
    let request = format!(
        "POST /endless/stream/1 HTTP/1.1\r\nhost: h.example\r\nx-attempt-id: {id}\r\ncontent-length: 0\r\n\r\n"
    );
    // A router that is behind may have reset the connection.
    let _ = stream.write_all(request.as_bytes()).await;
    stream
}

/// Guards against a router that runs out of memory, or serves nobody else, because a tenth of its
/// callers read a byte now and then, or because many read nothing.
#[tokio::test(flavor = "multi_thread")]
async fn slow_callers_do_not_exhaust_the_memory() {
    let store = StoreStandin::start().await;
    store.write("op/config", CONFIGURATION);
    let mut replicas = Vec::new();
    for (name, service) in [("i-0", "endless"), ("i-1", "endless"), ("i-2", "sound")] {
        let replica = ReplicaStandin::start(name).await;
        let entry = replica.entry(service, 1, "ready");
        let entry = entry.replace("\"slots\":8", "\"slots\":300");
        store.write(&format!("servers/{name}"), &entry);
        replicas.push(replica);
    }
    for replica in &replicas[..2] {
        replica.set_mode(ReplicaMode::EndlessEvents);
    }
    let (process, at) = start(store.address);
    let is_served = async |id: &str| {
        let answer = call(at, "/sound/stream/1", id, &[]).await;
        answer.status == OK && answer.is_complete
    };
    until(async || {
        // The router may not accept connections yet.
        let warm_up = tokio::spawn(async move { call(at, "/sound/stream/1", "w", &[]).await });
        warm_up.await.is_ok_and(|answer| answer.status == OK)
    })
    .await;
    let before_mb = process.peak_memory_mb();
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU32::new(0));
    let mut callers = Vec::new();
    for caller in 0..CALLERS {
        let (is_over, served) = (Arc::clone(&is_over), Arc::clone(&served));
        callers.push(tokio::spawn(async move {
            let mut failed = Vec::new();
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    break;
                }
                let id = format!("{caller}-{number}");
                if caller < SLOW_CALLERS {
                    let mut stream = begin_stream(at, &id).await;
                    while stream.read_u8().await.is_ok() && !is_over.load(Ordering::Relaxed) {
                        tokio::time::sleep(BYTE_PAUSE).await;
                    }
                    continue;
                }
                let answer = call(at, "/sound/stream/1", &id, &[]).await;
                if answer.status == OK && answer.is_complete {
                    served.fetch_add(1, Ordering::Relaxed);
                } else {
                    failed.push((id, answer.status, answer.body));
                }
                tokio::time::sleep(CALL_PAUSE).await;
            }
            failed
        }));
    }
    tokio::time::sleep(LOAD_TIME).await;
    is_over.store(true, Ordering::Relaxed);
    let mut failed = Vec::new();
    for caller in callers {
        failed.extend(caller.await.unwrap());
    }
    let slow_mb = process.peak_memory_mb();
    let mut unread = Vec::new();
    for number in 0..UNREAD_STREAMS {
        unread.push(begin_stream(at, &format!("unread-{number}")).await);
    }
    tokio::time::sleep(LOAD_TIME / 2).await;
    let unread_mb = process.peak_memory_mb();
    println!(
        "{before_mb} MB before, {slow_mb} MB with slow callers, {unread_mb} MB with unread streams, \
         {served:?} served"
    );
    assert!(failed.is_empty(), "{}: {failed:?}", failed.len());
    assert!(is_served("last").await);
    assert!(unread_mb < PROCESS_MAX_MB, "{unread_mb} MB");
}
