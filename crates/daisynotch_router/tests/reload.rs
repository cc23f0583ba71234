//! Tests of a router process that reloads its settings and leaves on signals.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

fn settings(leave_max_s: &str) -> String {
    format!(
        r#"
        router = "router-1"
        zone = "a"
        caller_address = "127.0.0.1:0"
        ready_address = "127.0.0.1:0"
        directory_address = "127.0.0.1:0"
        peer_address = "127.0.0.1:0"
        metrics_address = "127.0.0.1:0"
        store_address = "127.0.0.1:9"
        seeds = []
        cpu_cores = 1.0
        descriptors_max = 4100
        memory_max_mb = 256
        address_ttl_max_s = 5
        leave_max_s = {leave_max_s}
        share_window_s = 4
        [retry]
        ratio = 0.2
        allowance = 50
        window_s = 10
        [credentials]
        fail_closed = true
        revoked_within_ms = 5000
        "#
    )
}

struct Process {
    child: Child,
    lines: BufReader<ChildStdout>,
}

impl Process {
    fn start(settings: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_daisynotch-router"))
            .args(["direct", "--settings"])
            .arg(settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap());
        Self { child, lines }
    }

    /// Reads lines up to the next one of an event.
    fn next_line_of(&mut self, event: &str) -> Value {
        let mut text = String::new();
        loop {
            text.clear();
            assert!(
                self.lines.read_line(&mut text).unwrap() > 0,
                "the log ended without a `{event}` line"
            );
            let line: Value = serde_json::from_str(&text).unwrap();
            if line["event"] == event {
                return line;
            }
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id().try_into().unwrap());
        kill_process(pid.unwrap(), signal).unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process has already exited, unless the test failed.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings_file(name: &str) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, settings("8")).unwrap();
    file
}

#[test]
fn sighup_reloads_the_settings_and_invalid_ones_are_ignored() {
    let file = settings_file("reload-signal.toml");
    let mut process = Process::start(&file);
    process.next_line_of("start");
    std::fs::write(&file, settings("6")).unwrap();
    process.signal(Signal::HUP);
    let line = process.next_line_of("reload");
    assert_eq!(line["outcome"], "taken", "{line}");
    std::fs::write(&file, settings("-1")).unwrap();
    process.signal(Signal::HUP);
    let line = loop {
        // The periodic check of the file may also have reloaded it without a signal.
        let line = process.next_line_of("reload");
        if line["outcome"] != "taken" {
            break line;
        }
    };
    assert_eq!(line["outcome"], "kept_last", "{line}");
    let error = line["error"].as_str().unwrap();
    assert!(error.contains("leave_max_s"), "{error}");
    process.signal(Signal::TERM);
    process.next_line_of("leaving");
    process.next_line_of("left");
    assert!(process.child.wait().unwrap().success());
}

#[test]
fn a_changed_settings_file_is_reloaded_without_a_signal() {
    let file = settings_file("reload-file.toml");
    let mut process = Process::start(&file);
    process.next_line_of("start");
    std::fs::write(&file, settings("6")).unwrap();
    let line = process.next_line_of("reload");
    assert_eq!(line["cause"], "file", "{line}");
    assert_eq!(line["outcome"], "taken", "{line}");
    process.signal(Signal::TERM);
    process.next_line_of("left");
}
