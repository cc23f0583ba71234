//! Structured log lines on standard output, with bounded memory and without blocking.
//!
//! Lines are buffered and handed to a writer thread. When that thread is blocked by a reader
//! that stops reading, lines are dropped and counted. Lines about successes are dropped first,
//! as an on-call engineer needs the others. `docs/OPERATIONS.md` shows how to read the lines.

use std::cell::{Cell, RefCell};
use std::io::Write;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::{Map, Value};

/// Maximum size of the buffer between two flushes.
const BUFFER_MAX_BYTES: usize = 256 * 1024;
/// Part of the buffer that lines about successes may fill.
const SUCCESS_MAX_BYTES: usize = BUFFER_MAX_BYTES / 2;
/// Maximum number of batches in the queue of the writer thread.
const QUEUED_BATCHES_MAX: usize = 4;

/// Importance of a line, which decides whether it is dropped before others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Importance {
    /// The line reports an operation that succeeded.
    Success,
    /// The line explains a failure or a change of the router's state.
    Essential,
}

/// Buffers log lines and passes them to the writer thread.
#[derive(Debug)]
pub(crate) struct EventLog {
    host: String,
    buffer: RefCell<Vec<u8>>,
    dropped: Cell<u64>,
    batches: SyncSender<Vec<u8>>,
}

impl EventLog {
    /// Starts the writer thread, which ends when the log is dropped.
    pub(crate) fn start(host: String, mut sink: impl Write + Send + 'static) -> Self {
        let (batches, receiver) = sync_channel::<Vec<u8>>(QUEUED_BATCHES_MAX);
        std::thread::spawn(move || {
            for batch in receiver {
                // Standard output is closed, so the error can't be reported.
                if sink.write_all(&batch).and_then(|()| sink.flush()).is_err() {
                    return;
                }
            }
        });
        Self {
            host,
            buffer: RefCell::default(),
            dropped: Cell::new(0),
            batches,
        }
    }

    /// Appends a line: a JSON object with the time, the host, the event and `fields`.
    pub(crate) fn write(&self, importance: Importance, event: &str, fields: Value) {
        let max = match importance {
            Importance::Success => SUCCESS_MAX_BYTES,
            Importance::Essential => BUFFER_MAX_BYTES,
        };
        let mut buffer = self.buffer.borrow_mut();
        if buffer.len() >= max {
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
        serde_json::to_writer(&mut *buffer, &line).expect("writing JSON to a Vec does not fail");
        buffer.push(b'\n');
    }

    /// Passes the buffer to the writer thread, if its queue has room.
    pub(crate) fn flush(&self) {
        let mut batch = self.buffer.take();
        if batch.is_empty() {
            return;
        }
        let lines_bytes = batch.len();
        let dropped = self.dropped.get();
        if dropped > 0 {
            let line = serde_json::json!({
                "host": self.host, "event": "log_lines_dropped", "count": dropped,
            });
            serde_json::to_writer(&mut batch, &line).expect("writing JSON to a Vec does not fail");
            batch.push(b'\n');
        }
        match self.batches.try_send(batch) {
            Ok(()) => self.dropped.set(0),
            Err(TrySendError::Full(mut batch)) => {
                batch.truncate(lines_bytes);
                *self.buffer.borrow_mut() = batch;
            }
            // Standard output is closed, so nobody reads the lines.
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
