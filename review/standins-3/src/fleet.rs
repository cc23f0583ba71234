//! The processes of a small deployment: routers, replicas and the store, on loopback addresses.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client::call;
use crate::record::Record;
use crate::store::Store;

/// Interval at which replicas write their entries, and the time after which a silent one's is removed.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time after which a replica that crashed is back.
const BACK_AFTER: Duration = Duration::from_millis(2_000);
pub const ZONES: [&str; 2] = ["kaolack-nord", "fatick"];
pub const SERVICE: &str = "conseil";
pub const HOST: &str = "advice.example";

/// Returns a port that is free at an address, also for datagrams.
pub fn free_port(ip: &str) -> u16 {
    loop {
        let tcp = TcpListener::bind((ip, 0)).expect("a free port");
        let port = tcp.local_addr().expect("an address").port();
        if std::net::UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
}

pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Router {
    /// Starts the router with the command of the deploy file.
    pub fn start(&mut self, log: &str) {
        let log = File::create(log).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new("target/release/daisynotch-router")
            .args(["direct", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("the router starts"));
    }

    /// Kills the router's process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        call(self.ready, "GET", "/v1/readyz", "Host: ready\r\n", b"").status == 200
    }
}

/// A replica and the process that runs it, if any.
struct Seat {
    id: String,
    zone: &'static str,
    cold_until: Option<Instant>,
    /// When the latest entry was written.
    beat_at: Option<Instant>,
    address: SocketAddr,
    child: Option<Child>,
    born: u64,
    seq: u64,
    /// When the process ended, while the replica is down.
    down_since: Option<Instant>,
}

pub struct Fleet {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub routers: Vec<Router>,
    /// How often replicas have crashed.
    pub crashes: Arc<AtomicU32>,
    /// Lines that replicas wrote.
    pub lines: Arc<Mutex<Vec<(f64, String)>>>,
    pub folder: PathBuf,
    replicas: Arc<Mutex<Vec<Seat>>>,
    stops: Arc<AtomicBool>,
    keeper: Option<std::thread::JoinHandle<()>>,
}

/// What a deployment has.
pub struct Plan<'a> {
    pub routers: usize,
    pub replicas: usize,
    /// The prompt part that crashes replicas, and how many events come before the crash.
    pub deadly: (&'a str, u64),
    /// What each replica names as its `Server-Limit`, if anything.
    pub limit: &'a str,
    pub config: &'a str,
    /// Requests a second that a cold replica tolerates, and how long it is cold, in seconds.
    pub cold: Option<(f64, f64)>,
    /// Bounds of the site's sheet.
    pub drain_ms: u32,
    pub retry_allowance: u32,
}

fn unix_ms() -> u64 {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    since.as_millis() as u64
}

impl Fleet {
    pub fn start(record: Record, plan: &Plan) -> Self {
        let record = Arc::new(record);
        let folder = std::env::temp_dir().join(format!("drill3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let store_address = SocketAddr::from(([127, 0, 0, 1], free_port("127.0.0.1")));
        let store = Store::serve(store_address).expect("the store listens");
        store.write("op/config", plan.config);
        let mut replicas = Vec::new();
        for index in 0..plan.replicas {
            let address = SocketAddr::from(([127, 0, 0, 1], free_port("127.0.0.1")));
            replicas.push(Seat {
                zone: ZONES[index % ZONES.len()],
                cold_until: None,
                beat_at: None,
                id: format!("i-{:08x}", 0x5a00_0000 + index * 7_919),
                address,
                child: None,
                born: 0,
                seq: 0,
                down_since: Some(Instant::now() - BACK_AFTER),
            });
        }
        let mut fleet = Self {
            record,
            store,
            routers: Vec::new(),
            crashes: Arc::default(),
            lines: Arc::default(),
            folder,
            replicas: Arc::new(Mutex::new(replicas)),
            stops: Arc::default(),
            keeper: None,
        };
        let behaviour = [
            plan.deadly.0.to_owned(),
            plan.deadly.1.to_string(),
            plan.limit.to_owned(),
        ];
        fleet.keep_replicas(behaviour);
        fleet.start_routers(plan, store_address);
        fleet
    }

    /// Starts replicas, restarts those that crashed, and writes their entries.
    fn keep_replicas(&mut self, behaviour: [String; 3]) {
        let (replicas, stops) = (Arc::clone(&self.replicas), Arc::clone(&self.stops));
        let (store, record) = (Arc::clone(&self.store), Arc::clone(&self.record));
        let (crashes, lines) = (Arc::clone(&self.crashes), Arc::clone(&self.lines));
        self.keeper = Some(std::thread::spawn(move || {
            let mut beats: HashMap<usize, Instant> = HashMap::new();
            while !stops.load(Ordering::Relaxed) {
                let mut seats = replicas.lock().unwrap();
                for (index, seat) in seats.iter_mut().enumerate() {
                    let has_ended = seat
                        .child
                        .as_mut()
                        .is_some_and(|child| !matches!(child.try_wait(), Ok(None)));
                    if has_ended {
                        seat.child = None;
                        seat.down_since = Some(Instant::now());
                        let crash = crashes.fetch_add(1, Ordering::Relaxed) + 1;
                        record.line(&format!("replica {} has crashed (crash {crash})", seat.id));
                    }
                    if seat
                        .down_since
                        .is_some_and(|since| since.elapsed() >= BACK_AFTER)
                    {
                        seat.down_since = None;
                        seat.born = unix_ms();
                        seat.seq = 0;
                        seat.child = Some(start_replica(seat, &behaviour, &record, &lines));
                        beats.remove(&index);
                    }
                    let is_due = beats.get(&index).is_none_or(|at| at.elapsed() >= HEARTBEAT);
                    let entry = format!("servers/{}", seat.id);
                    if seat.child.is_some() && is_due {
                        beats.insert(index, Instant::now());
                        seat.beat_at = Some(Instant::now());
                        seat.seq += 1;
                        store.write(&entry, &entry_json(seat));
                    } else if seat.child.is_none()
                        && beats
                            .get(&index)
                            .is_some_and(|at| at.elapsed() >= HEARTBEAT * 3)
                    {
                        store.remove(&entry);
                    }
                }
                drop(seats);
                std::thread::sleep(Duration::from_millis(5));
            }
        }));
    }

    fn start_routers(&mut self, plan: &Plan, store: SocketAddr) {
        // Machines have addresses of their own and the same ports.
        let names = [
            "edge-kaolack-nord-1",
            "edge-fatick-1",
            "edge-kaffrine-1",
            "edge-nioro-1",
            "edge-kaolack-nord-2",
        ];
        let zones = [
            "kaolack-nord",
            "fatick",
            "kaffrine",
            "nioro",
            "kaolack-nord",
        ];
        let port: Vec<u16> = (0..5).map(|_| free_port("127.0.0.1")).collect();
        // Of this run alone, since the port for metrics is fixed.
        let network = 1 + std::process::id() % 250;
        let ip = |index: usize| format!("127.{network}.{}.33", index + 1);
        let seeds: Vec<String> = (0..plan.routers.min(3))
            .map(|index| format!("\"{}:{}\"", ip(index), port[0]))
            .collect();
        for index in 0..plan.routers {
            let (ip, name, zone) = (ip(index), names[index], zones[index]);
            let template = std::fs::read_to_string("deploy/settings.toml").expect("the template");
            let seeds = format!("[{}]", seeds.join(","));
            let values = [
                ("{{nodeName}}", name.to_owned()),
                ("{{zone}}", zone.to_owned()),
                ("{{listen.frontend}}", format!("{ip}:{}", port[1])),
                ("{{listen.ready}}", format!("{ip}:{}", port[2])),
                ("{{listen.directory}}", format!("{ip}:{}", port[3])),
                ("{{ip}}:{{internalPorts.0}}", format!("{ip}:{}", port[4])),
                ("{{ip}}:9464", format!("{ip}:9464")),
                ("{{platform.address}}", store.to_string()),
                ("{{seeds|json}}", seeds),
                ("{{limits.cpuShare}}", "0.25".to_owned()),
                ("{{limits.maxFds}}", "4100".to_owned()),
                ("{{limits.memoryMb}}", "110".to_owned()),
                ("{{bounds.ttl_max_s}}", "5".to_owned()),
                ("{{bounds.graceS}}", "8".to_owned()),
                ("{{bounds.quotaWindowS}}", "4".to_owned()),
                ("{{heartbeatMs}}", "1200".to_owned()),
                ("{{bounds.drainMs}}", plan.drain_ms.to_string()),
                ("{{bounds.retryBudgetRatio}}", "0.2".to_owned()),
                (
                    "{{bounds.retryAllowance}}",
                    plan.retry_allowance.to_string(),
                ),
                ("{{bounds.budgetWindowS}}", "10".to_owned()),
                ("{{bounds.revokeFailClosed}}", "false".to_owned()),
                ("{{bounds.revokeMs}}", "5000".to_owned()),
            ];
            let mut text = without_sections(&template);
            if plan.cold.is_some() {
                text = text.replace(
                    "share_window_s",
                    "cold.overrun = 1.5\ncold.tolerance = 5\nshare_window_s",
                );
            }
            for (placeholder, value) in values {
                text = text.replace(placeholder, &value);
            }
            let settings = self.folder.join(format!("{name}.toml"));
            std::fs::write(&settings, text).expect("the settings");
            let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
            let mut router = Router {
                name: name.to_owned(),
                callers: address(port[1]),
                ready: address(port[2]),
                directory: address(port[3]),
                settings,
                child: None,
            };
            let log = self.folder.join(format!("{name}.log"));
            router.start(&log.to_string_lossy());
            self.record.line(&format!("router {name} started at {ip}"));
            self.routers.push(router);
        }
    }

    /// Waits until all routers are ready; `false` if they are not in time.
    pub fn until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.routers.iter().all(Router::is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a streaming request with these prompt parts, and records what came of it.
    pub fn ask(&self, router: usize, attempt: &str, key: &str, parts: &str) -> u16 {
        let router = &self.routers[router];
        let headers = format!(
            "Host: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\nX-Token-Count: 400,80\r\n\
             X-Prefix-Hash: {parts}\r\nX-Deadline-Ms: 5000\r\nX-Api-Key: {key}\r\n"
        );
        self.record.line(&format!(
            "client sends {attempt} to {}, parts {parts}",
            router.name
        ));
        let answer = call(router.callers, "POST", "/plan/a", &headers, b"prompt");
        let whole = if answer.complete {
            "whole"
        } else {
            "broken off"
        };
        self.record.line(&format!(
            "client gets {} for {attempt}, {whole}",
            answer.status
        ));
        if answer.complete {
            answer.status
        } else {
            0
        }
    }

    /// Waits until a replica has just written its entry.
    pub fn until_beat(&self, index: usize) {
        let before = self.replicas.lock().unwrap()[index].beat_at;
        while self.replicas.lock().unwrap()[index].beat_at == before {
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Makes a replica cold, which its next entry says.
    ///
    /// It crashes if it gets more than `crash_rate` requests in a second while it is cold.
    pub fn make_cold(&self, index: usize, lasts: Duration, crash_rate: usize) -> String {
        let mut seats = self.replicas.lock().unwrap();
        let input = seats[index]
            .child
            .as_mut()
            .and_then(|child| child.stdin.as_mut());
        if let Some(input) = input {
            let _ = writeln!(input, "cold {} {crash_rate}", lasts.as_millis());
        }
        seats[index].cold_until = Some(Instant::now() + lasts);
        seats[index].id.clone()
    }

    /// Ends all processes.
    pub fn end(self) {
        drop(self);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stops.store(true, Ordering::Relaxed);
        if let Some(keeper) = self.keeper.take() {
            let _ = keeper.join();
        }
        for router in &mut self.routers {
            router.kill();
        }
        let mut seats = self
            .replicas
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        for seat in seats.iter_mut() {
            if let Some(mut child) = seat.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

fn start_replica(
    seat: &Seat,
    behaviour: &[String; 3],
    record: &Arc<Record>,
    lines: &Arc<Mutex<Vec<(f64, String)>>>,
) -> Child {
    let program = std::env::current_exe().expect("this program");
    let child = Command::new(program)
        .args([
            "replica",
            &seat.address.to_string(),
            &seat.id,
            &seat.born.to_string(),
        ])
        .args(behaviour)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn();
    let mut child = child.expect("the replica starts");
    let mut output = BufReader::new(child.stdout.take().expect("its output"));
    let mut line = String::new();
    let _ = output.read_line(&mut line);
    record.line(&format!(
        "replica {} listens at {}, born {}",
        seat.id, seat.address, seat.born
    ));
    let (record, lines, id) = (Arc::clone(record), Arc::clone(lines), seat.id.clone());
    std::thread::spawn(move || {
        for line in output.lines().map_while(Result::ok) {
            record.line(&format!("replica {id} {line}"));
            lines
                .lock()
                .unwrap()
                .push((record.now(), format!("{id} {line}")));
        }
    });
    child
}

fn entry_json(seat: &Seat) -> String {
    let now = Instant::now();
    let cold = seat
        .cold_until
        .map_or(0, |until| until.saturating_duration_since(now).as_millis());
    format!(
        r#"{{"service":"{SERVICE}","address":"{}","zone":"{}","version":"v1","slots":64,"state":"ready","coldRemainingMs":{},"phase":"combined","models":[{{"name":"m","version":1,"adapters":[]}}],"seqNo":{},"born":{}}}"#,
        seat.address, seat.zone, cold, seat.seq, seat.born
    )
}

/// Leaves out the sections for bounds that this deployment does not have.
fn without_sections(template: &str) -> String {
    let mut text = String::new();
    let mut is_inside = false;
    for line in template.lines() {
        if line.starts_with("{{#") {
            is_inside = true;
        } else if line.starts_with("{{/") {
            is_inside = false;
        } else if !is_inside {
            text.push_str(line);
            text.push('\n');
        }
    }
    text
}

/// A configuration with one streaming route and these tenants, given as (name, key), and with what cold replicas
/// tolerate, if they are ever cold.
pub fn config(version: u64, tenants: &[(&str, &str)], cold: Option<(f64, f64)>) -> String {
    let tenants = tenants
        .iter()
        .map(|(name, key)| format!(r#"{{"name":"{name}","apiKeys":["{key}"],"priority":1}}"#));
    let tenants: Vec<String> = tenants.collect();
    let cold = cold.map_or(String::new(), |(per_s, lasts_s)| {
        format!(r#""coldPerS":{per_s},"coldStartS":{lasts_s},"#)
    });
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-plan","host":"{HOST}","prefix":"/plan/","type":"streaming","timeoutMs":5000,"sloMs":500,"priority":1,"service":"{SERVICE}","maxAttempts":1,"anonymous":false,"sticky":true,"resumable":false,"gapTargetMs":300}}],"services":[{{"name":"{SERVICE}","healthPath":"/healthz",{cold}"maxConns":370,"protocol":"h1","tls":false,"engine":{{"slots":64,"kvCapacityTokens":387743,"kvBytes":35136,"linkMbps":1100000.0,"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleTtlS":5.0,"models":[{{"name":"m"}}]}}}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":550000}},"tenants":[{}]}}"#,
        tenants.join(",")
    )
}
