//! Structured log lines on standard output, bounded and never waited for.
//!
//! Lines are gathered and handed to a writing thread. When that thread is held up by
//! a reader that stops reading, lines are dropped and counted: successes first, as an
//! on-call engineer needs the others. `docs/OPERATIONS.md` shows how lines are read.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Map, Value};

/// Bytes that are gathered at most between two hand-overs.
const GATHERED_MAX_BYTES: usize = 256 * 1024;
/// The part of these that lines on successes may fill.
const SUCCESS_MAX_BYTES: usize = GATHERED_MAX_BYTES / 2;
/// Blocks of lines that wait for the writing thread at most.
const BLOCKS_MAX: usize = 4;

/// Whether a line may be left out before others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Weight {
    /// It tells of something that went as it should.
    Success,
    /// It explains a failure or a change of what the process believes.
    Essential,
}

/// Takes log lines.
#[derive(Debug)]
pub(crate) struct EventLog {
    host: String,
    gathered: RefCell<Vec<u8>>,
    dropped: Cell<u64>,
    blocks: SyncSender<Vec<u8>>,
}

impl EventLog {
    /// Starts the writing thread; it ends when the log is dropped.
    pub(crate) fn start(host: String, mut sink: impl Write + Send + 'static) -> Self {
        let (blocks, receiver) = sync_channel::<Vec<u8>>(BLOCKS_MAX);
        std::thread::spawn(move || {
            for block in receiver {
                // Nobody is left to be told when standard output is gone.
                if sink.write_all(&block).and_then(|()| sink.flush()).is_err() {
                    return;
                }
            }
        });
        Self {
            host,
            gathered: RefCell::default(),
            dropped: Cell::new(0),
            blocks,
        }
    }

    /// Takes a line: a JSON object with the time, the host, the event and `fields`.
    pub(crate) fn write(&self, weight: Weight, event: &str, fields: Value) {
        let max = match weight {
            Weight::Success => SUCCESS_MAX_BYTES,
            Weight::Essential => GATHERED_MAX_BYTES,
        };
        let mut gathered = self.gathered.borrow_mut();
        if gathered.len() >= max {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_ms = since_epoch.unwrap_or_default().as_millis() as u64;
        let mut line = Map::new();
        line.insert("unix_ms".to_owned(), unix_ms.into());
        line.insert("host".to_owned(), self.host.as_str().into());
        line.insert("event".to_owned(), event.into());
        if let Value::Object(fields) = fields {
            line.extend(fields);
        }
        serde_json::to_writer(&mut *gathered, &line).expect("a vector takes any text");
        gathered.push(b'\n');
    }

    /// Hands what was gathered to the writing thread, if that has room.
    pub(crate) fn flush(&self) {
        let mut block = self.gathered.take();
        if block.is_empty() {
            return;
        }
        let lines_bytes = block.len();
        let dropped = self.dropped.get();
        if dropped > 0 {
            let line = serde_json::json!({
                "host": self.host, "event": "log_lines_dropped", "count": dropped,
            });
            serde_json::to_writer(&mut block, &line).expect("a vector takes any text");
            block.push(b'\n');
        }
        match self.blocks.try_send(block) {
            Ok(()) => self.dropped.set(0),
            Err(TrySendError::Full(mut block)) => {
                block.truncate(lines_bytes);
                *self.gathered.borrow_mut() = block;
            }
            // Standard output is gone, and with it whoever read the lines.
            Err(TrySendError::Disconnected(_)) => {}
        }
    }
}

impl Drop for EventLog {
    fn drop(&mut self) {
        self.flush();
    }
}

#[cfg(test)]
mod tests;
