//! Refuses the requests of new connections while parsing no more of them than it takes to find
//! their end, and answers those whose end is late or unknown before it.
//!
//! Load pattern: a large team sends its requests to one small host, which can serve a fraction
//! of them, each on a connection of its own. A refusal through the whole HTTP server costs a
//! third of a served request. Here, many connections share one wake-up and one buffer.
//! Connections that the kernel accepted before the listener closed and connections beyond the
//! maximum get such a response too. A connection is closed only once its request was read or the
//! caller has had time to read the response, since unread bytes would reset it.

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream as StdTcpStream};
use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use serde_json::json;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

use super::event_log::Importance;
use super::request_end::RequestEndFinder;
use super::state::Router;
use crate::timer::Tick;

/// Interval at which the connections are polled: a caller's request follows its connection
/// within one round trip, a few milliseconds.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How long a request may take to arrive before it is answered: as long as callers wait for a
/// connection.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long the rest of an answered request is read, so that no reset overtakes the response: a
/// lost packet is sent again within it, even twice.
pub(super) const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of connections.
const CONNECTIONS_MAX: usize = 512;
/// Maximum number of connections without a response; a new one beyond them has the oldest
/// answered at once. The rest of [`CONNECTIONS_MAX`] is for the rests of their requests.
const WAITING_MAX: usize = 384;
/// Maximum number of reads per connection and poll, so that a fast sender does not keep the others
/// waiting.
const READS_PER_POLL_MAX: usize = 16;
/// Maximum number of bytes per read.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of bytes per read while room is made for a connection.
const ROOM_BUFFER_BYTES: usize = 16 * 1024;
/// Range of `Retry-After`, drawn uniformly: early enough for most latency objectives, and
/// spread to keep callers from returning all at once.
const RETRY_AFTER_RANGE_MS: (u32, u32) = (200, 800);

/// Progress of a connection whose request is refused.
#[derive(Debug)]
enum Stage {
    /// The request arrives.
    Arriving(RequestEndFinder),
    /// The response was written, and the rest of the request is read.
    Answered,
}

/// A connection whose request is refused.
#[derive(Debug)]
struct UnreadConnection {
    stream: StdTcpStream,
    stage: Stage,
    /// When the stage began.
    since: Instant,
    has_sent_bytes: bool,
}

/// Result of reading from a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadResult {
    /// All bytes that have arrived were read.
    Drained,
    /// More bytes have arrived.
    More,
    /// The caller sends no more.
    Closed,
}

/// What became of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Polled {
    /// The connection stays open.
    Open { was_refused: bool },
    /// The connection ended and can be closed without a reset, or its caller is gone.
    Ended { was_refused: bool },
}

/// The connections whose requests are refused.
#[derive(Debug, Default)]
pub(crate) struct UnreadConnections {
    connections: RefCell<Vec<UnreadConnection>>,
    added: Notify,
    /// Requests that were refused since the last log line.
    refused: Cell<u64>,
    /// Requests that were refused between polls.
    refused_early: Cell<u64>,
}

impl UnreadConnections {
    /// Adds a connection, which gets a response soon.
    pub(crate) fn add(&self, stream: StdTcpStream) {
        if let Err(error) = stream.set_nonblocking(true) {
            log::debug!("can't refuse a caller's connection: {error}");
            return;
        }
        self.make_room();
        self.connections.borrow_mut().push(UnreadConnection {
            stream,
            stage: Stage::Arriving(RequestEndFinder::new()),
            since: Instant::now(),
            has_sent_bytes: false,
        });
        self.added.notify_one();
    }

    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Makes room for one connection.
    fn make_room(&self) {
        let mut connections = self.connections.borrow_mut();
        let is_waiting = |unread: &&UnreadConnection| matches!(unread.stage, Stage::Arriving(_));
        if connections.iter().filter(is_waiting).count() >= WAITING_MAX
            && let Some(index) = connections.iter().position(|unread| is_waiting(&unread))
        {
            let mut oldest = connections.remove(index);
            let mut buffer = [0; ROOM_BUFFER_BYTES];
            let polled = oldest.poll(&mut buffer, Duration::ZERO);
            if polled.was_refused() {
                self.refused_early.set(self.refused_early.get() + 1);
            }
            if let Polled::Open { .. } = polled {
                connections.push(oldest);
            }
        }
        if connections.len() >= CONNECTIONS_MAX
            && let Some(index) = connections.iter().position(|unread| !is_waiting(&unread))
        {
            connections.remove(index);
        }
    }

    /// Polls all connections once; returns the number of requests that were refused.
    fn poll_all(&self, buffer: &mut [u8]) -> u64 {
        let mut refused = self.refused_early.take();
        self.connections.borrow_mut().retain_mut(|unread| {
            let polled = unread.poll(buffer, READ_TIMEOUT);
            refused += u64::from(polled.was_refused());
            matches!(polled, Polled::Open { .. })
        });
        refused
    }
}

impl Polled {
    fn was_refused(self) -> bool {
        let (Self::Open { was_refused } | Self::Ended { was_refused }) = self;
        was_refused
    }
}

impl UnreadConnection {
    /// Reads what has arrived and answers a request that is complete, has no known end or takes
    /// `arrival_max` to arrive.
    fn poll(&mut self, buffer: &mut [u8], arrival_max: Duration) -> Polled {
        let read = match self.read(buffer) {
            Ok(read) => read,
            Err(error) => {
                log::debug!("a connection ended before its request was refused: {error}");
                return Polled::Ended { was_refused: false };
            }
        };
        let elapsed = self.since.elapsed();
        let (is_answerable, is_complete) = match &self.stage {
            Stage::Answered if read == ReadResult::Closed || elapsed > DRAIN_TIMEOUT => {
                return Polled::Ended { was_refused: false };
            }
            Stage::Answered => return Polled::Open { was_refused: false },
            Stage::Arriving(request) => (request.is_answerable(), request.is_complete()),
        };
        if read == ReadResult::Closed && !is_answerable {
            return Polled::Ended { was_refused: false };
        }
        if !is_answerable && elapsed < arrival_max {
            return Polled::Open { was_refused: false };
        }
        // A caller that has sent nothing gets a response too: its request may be on the way.
        self.refuse();
        let was_refused = self.has_sent_bytes;
        if (is_complete && read == ReadResult::Drained) || read == ReadResult::Closed {
            return Polled::Ended { was_refused };
        }
        if let Err(error) = self.stream.shutdown(Shutdown::Write) {
            log::debug!("a caller left while its request was refused: {error}");
            return Polled::Ended { was_refused };
        }
        self.stage = Stage::Answered;
        self.since = Instant::now();
        Polled::Open { was_refused }
    }

    /// Reads the bytes that have arrived.
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<ReadResult> {
        for _ in 0..READS_PER_POLL_MAX {
            match self.stream.read(buffer) {
                Ok(0) => return Ok(ReadResult::Closed),
                Ok(length) => {
                    self.has_sent_bytes = true;
                    if let Stage::Arriving(request) = &mut self.stage {
                        request.push(&buffer[..length]);
                    }
                    if length < buffer.len() {
                        return Ok(ReadResult::Drained);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    return Ok(ReadResult::Drained);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(ReadResult::More)
    }

    fn refuse(&mut self) {
        let (low, high) = RETRY_AFTER_RANGE_MS;
        let after_ms = rand::rng().random_range(low..high);
        let body = r#"{"error":"router_behind"}"#;
        let response = format!(
            "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\n\
             retry-after: {:.2}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            f64::from(after_ms) / 1e3,
            body.len(),
        );
        // The socket's send buffer is empty, so the response fits. A caller that has left
        // needs none.
        if let Err(error) = self.stream.write_all(response.as_bytes()) {
            log::debug!("failed to write a refusal: {error}");
        }
    }
}

/// Refuses requests for as long as the router runs.
pub(crate) async fn refuse_unread(router: Rc<Router>) {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        if router.unread.connections.borrow().is_empty() {
            router.unread.added.notified().await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
        let refused = router.unread.poll_all(&mut buffer);
        if refused > 0 {
            let labels = ["none", "router_behind"];
            let requests = &router.metrics.requests;
            requests.with_label_values(&labels).inc_by(refused);
            let unread = &router.unread;
            unread.refused.set(unread.refused.get() + refused);
        }
    }
}

/// Logs the number of requests that were refused unread since the last tick.
pub(crate) async fn log_refused(router: Rc<Router>, mut ticks: mpsc::Receiver<Tick>) {
    while ticks.recv().await.is_some() {
        let refused = router.unread.refused.take();
        if refused > 0 {
            let fields = json!({"refused": refused, "status": 503});
            router
                .log
                .write(Importance::Essential, "refused_unread", fields);
        }
    }
}

#[cfg(test)]
mod tests;
