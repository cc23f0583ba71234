//! Routers as processes, started with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::free_ports;
use crate::http::Client;

/// The values that the platform fills into the template of the settings.
#[derive(Clone)]
pub struct Site {
    pub memory_mb: u32,
    pub cpu_cores: f64,
    pub leave_max_s: f64,
    pub retry_allowance: f64,
    pub fail_closed: bool,
}

pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

pub struct Fleet {
    pub routers: Vec<Router>,
    folder: PathBuf,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for router in &mut self.routers {
            let _ = router.child.kill();
            let _ = router.child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts one router for each of the addresses of the store.
    pub fn start(site: &Site, stores: &[SocketAddr]) -> Self {
        let program = std::env::var("ROUTER").expect("ROUTER names the router's program");
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let ips: Vec<Ipv4Addr> = (0..stores.len())
            .map(|index| Ipv4Addr::new(127, 0, 0, 11 + index as u8))
            .collect();
        let ports = free_ports(&ips, 6);
        let seeds: Vec<String> = ips
            .iter()
            .take(3)
            .map(|ip| format!("\"{ip}:{}\"", ports[5]))
            .collect();
        let routers = ips.iter().zip(stores).enumerate().map(|(index, (ip, store))| {
            let name = format!("edge-{}", index + 1);
            let settings = format!(
                "router = \"{name}\"\nzone = \"z{zone}\"\n\
                 caller_address = \"{ip}:{}\"\nready_address = \"{ip}:{}\"\n\
                 directory_address = \"{ip}:{}\"\npeer_address = \"{ip}:{}\"\n\
                 metrics_address = \"{ip}:{}\"\nstore_address = \"{store}\"\nseeds = [{}]\n\
                 cpu_cores = {}\ndescriptors_max = 4100\nmemory_max_mb = {}\naddress_ttl_max_s = 5\n\
                 leave_max_s = {}\nshare_window_s = 4\n[retry]\nratio = 0.2\nallowance = {}\n\
                 window_s = 10\n[credentials]\nfail_closed = {}\nrevoked_within_ms = 5000\n",
                ports[0], ports[1], ports[2], ports[3], ports[4], seeds.join(", "),
                site.cpu_cores, site.memory_mb, site.leave_max_s, site.retry_allowance, site.fail_closed,
                zone = index % 3,
            );
            let path = folder.join(format!("{name}.toml"));
            std::fs::write(&path, settings).unwrap();
            Router {
                callers: SocketAddr::from((*ip, ports[0])),
                ready: SocketAddr::from((*ip, ports[1])),
                child: spawn(&program, &path, &folder.join(format!("{name}.log"))),
                name,
            }
        });
        let routers = routers.collect();
        Self { routers, folder }
    }

    /// Waits until all routers say that they are ready.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        self.routers.iter().all(|router| {
            while Instant::now() < until {
                let answer = Client::connect(router.ready, None).and_then(|mut client| {
                    client.call("GET", "/v1/readyz", &[("Host", "platform")], b"")
                });
                if answer.is_ok_and(|answer| answer.status == 200) {
                    return true;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }
}

impl Router {
    pub fn signal(&self, signal: i32) {
        // SAFETY: sends a signal to a child that has not been waited for.
        unsafe { libc::kill(self.child.id() as i32, signal) };
    }
}

fn spawn(program: &str, settings: &Path, log: &Path) -> Child {
    let log = File::create(log).unwrap();
    let mut command = Command::new(program);
    command
        .args(["direct", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().unwrap())
        .stderr(log);
    // SAFETY: the call is safe between fork and exec; the router ends with the test.
    unsafe {
        command.pre_exec(|| {
            libc::prctl(libc::PR_SET_PDEATHSIG, libc::SIGKILL);
            Ok(())
        });
    }
    command.spawn().expect("the router's program starts")
}
