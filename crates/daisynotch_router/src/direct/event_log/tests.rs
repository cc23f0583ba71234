use std::sync::{Arc, Condvar, Mutex};

use super::*;

#[derive(Default)]
struct SinkState {
    is_released: bool,
    written: Vec<u8>,
}

/// Writer that blocks until it is released.
#[derive(Clone, Default)]
struct BlockingSink {
    state: Arc<(Mutex<SinkState>, Condvar)>,
}

impl BlockingSink {
    fn release(&self) {
        self.state.0.lock().unwrap().is_released = true;
        self.state.1.notify_all();
    }

    fn wait_for(&self, text: &str) -> String {
        let mut state = self.state.0.lock().unwrap();
        loop {
            let written = String::from_utf8(state.written.clone()).unwrap();
            if written.contains(text) {
                return written;
            }
            state = self.state.1.wait(state).unwrap();
        }
    }
}

impl Write for BlockingSink {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let mut state = self.state.0.lock().unwrap();
        while !state.is_released {
            state = self.state.1.wait(state).unwrap();
        }
        state.written.extend_from_slice(bytes);
        self.state.1.notify_all();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn line(text: &str) -> Value {
    serde_json::json!({"text": text, "filling": "x".repeat(1_000)})
}

#[test]
fn a_blocked_reader_blocks_no_writer_and_success_lines_are_dropped_first() {
    let sink = BlockingSink::default();
    let log = EventLog::start("host-1".to_owned(), sink.clone());
    // Writes many times the size of the buffer. None of these calls blocks.
    for _ in 0..10 {
        for _ in 0..2_000 {
            log.write(Importance::Success, "request", line("went well"));
        }
        log.write(Importance::Essential, "request", line("failed"));
        log.flush();
    }
    assert!(log.dropped.get() > 1_000);
    sink.release();
    log.write(Importance::Essential, "end", line("the last line"));
    let mut written = String::new();
    // A flush needs room in the queue, which the writer thread makes.
    while !written.contains("the last line") {
        log.flush();
        log.write(Importance::Essential, "end", line("the last line"));
        written = sink.wait_for("host-1");
    }
    assert!(written.contains("log_lines_dropped"));
    assert!(written.contains("failed"));
}

#[test]
fn a_line_is_a_json_object_with_host_and_event() {
    let sink = BlockingSink::default();
    sink.release();
    let log = EventLog::start("host-1".to_owned(), sink.clone());
    log.write(
        Importance::Essential,
        "ready",
        serde_json::json!({"version": 7}),
    );
    drop(log);
    let written = sink.wait_for("ready");
    let line: Value = serde_json::from_str(written.trim()).unwrap();
    assert_eq!(line["host"], "host-1");
    assert_eq!(line["event"], "ready");
    assert_eq!(line["version"], 7);
    assert!(line["unix_ms"].is_u64());
}
