//! What all scripts share: the record, the router's process, free ports, clients.

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener as StdListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::http::{Head, Reader};

/// What was sent, answered and run, with the time in seconds since the start.
#[derive(Clone)]
pub struct Record {
    began_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began_at: Instant::now(),
            file: Arc::new(Mutex::new(File::create(folder.join("record.txt"))?)),
        })
    }

    pub fn line(&self, text: impl std::fmt::Display) {
        let seconds = self.began_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{seconds:9.4} {text}");
    }
}

/// Numbers that are the same in each run.
pub struct Numbers(pub u64);

impl Numbers {
    /// Returns a number from 0 to 1.
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) as f64 / u64::MAX as f64
    }
}

/// Returns an address at which nothing listens, neither TCP nor UDP.
pub fn free_address(ip: &str) -> SocketAddr {
    loop {
        let listener = StdListener::bind(format!("{ip}:0")).unwrap();
        let address = listener.local_addr().unwrap();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

/// What differs between the routers of a script.
pub struct RouterSettings<'a> {
    pub name: &'a str,
    pub ip: &'a str,
    /// The port for the other routers, which is the same on all hosts.
    pub peer_port: u16,
    pub store: SocketAddr,
    pub seeds: &'a str,
    pub fail_closed: bool,
}

/// A router's process, which is ended with this value.
pub struct Router {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Router {
    /// Starts a router as the deploy file does, with the settings that its template gives.
    pub fn start(settings: &RouterSettings<'_>, folder: &Path) -> std::io::Result<Self> {
        let RouterSettings {
            name,
            ip,
            peer_port,
            store,
            seeds,
            fail_closed,
        } = settings;
        let (callers, ready) = (free_address(ip), free_address(ip));
        let (directory, metrics) = (free_address(ip), free_address(ip));
        let text = format!(
            r#"router = "{name}"
zone = "z-a"
caller_address = "{callers}"
ready_address = "{ready}"
directory_address = "{directory}"
peer_address = "{ip}:{peer_port}"
metrics_address = "{metrics}"
store_address = "{store}"
seeds = [{seeds}]
cpu_cores = 0.25
descriptors_max = 4100
memory_max_mb = 260
address_ttl_max_s = 5
leave_max_s = 8
share_window_s = 4

[retry]
ratio = 0.2
allowance = 52
window_s = 10

[credentials]
fail_closed = {fail_closed}
revoked_within_ms = 5000
"#
        );
        let file: PathBuf = folder.join(format!("{name}.toml"));
        std::fs::write(&file, text)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = Command::new("target/release/daisynotch-router")
            .args(["direct", "--settings"])
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            callers,
            ready,
            child,
        })
    }

    pub fn signal(&self, signal: Signal) {
        let id = self.child.id().try_into().ok().and_then(Pid::from_raw);
        if let Some(id) = id {
            let _ = kill_process(id, signal);
        }
    }

    /// Waits until the router says that it is ready; returns whether it did.
    pub async fn is_ready(&self) -> bool {
        for _ in 0..200 {
            let request = "GET /v1/readyz HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
            let answer = call(self.ready, request, Duration::from_secs(1)).await;
            if answer.head.status() == 200 {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a client got.
#[derive(Debug, Default)]
pub struct Answer {
    pub head: Head,
    pub body: String,
    /// Whether the answer ended as its length or its last chunk says.
    pub is_complete: bool,
    pub problem: String,
}

/// Sends one request on a new connection and reads the answer.
pub async fn call(address: SocketAddr, request: &str, limit: Duration) -> Answer {
    let mut answer = Answer::default();
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        stream.write_all(request.as_bytes()).await?;
        let mut reader = Reader::new(stream);
        let Some(head) = reader.head().await? else {
            return Err(std::io::Error::other("closed without an answer"));
        };
        answer.head = head.clone();
        let mut body = Vec::new();
        let ended = reader.body(&head, true, &mut body).await;
        answer.body = String::from_utf8_lossy(&body).into_owned();
        ended
    };
    match tokio::time::timeout(limit, exchange).await {
        Ok(Ok(())) => answer.is_complete = true,
        Ok(Err(error)) => answer.problem = error.to_string(),
        Err(_) => answer.problem = "the client left".to_owned(),
    }
    answer
}

/// Returns the numbers of the complete events of a stream.
pub fn event_numbers(body: &str) -> Vec<u32> {
    let end = body.rfind("\n\n").map_or(0, |end| end + 2);
    let lines = body[..end].lines();
    let numbers = lines.filter_map(|line| line.strip_prefix("id: "));
    numbers.filter_map(|number| number.parse().ok()).collect()
}

pub fn unix_ms() -> u128 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_millis()
}
