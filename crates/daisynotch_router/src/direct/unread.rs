//! Refuses the requests of new connections while parsing no more of them than it takes to find
//! their end.
//!
//! Load pattern: a large team sends its requests to one small host, which can serve a fraction
//! of them, each on a connection of its own. A refusal through the whole HTTP server costs a
//! third of a served request. Here, many connections share one wake-up and one buffer.
//! Connections that the kernel accepted before the listener closed get such a response too.

use std::cell::{Cell, RefCell};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream as StdTcpStream;
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
/// How long a request may take to arrive: as long as callers wait for a connection.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of connections; a new one beyond them replaces the oldest.
const CONNECTIONS_MAX: usize = 512;
/// Maximum number of bytes per read.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Range of `Retry-After`, drawn uniformly: early enough for most latency objectives, and
/// spread to keep callers from returning all at once.
const RETRY_AFTER_RANGE_MS: (u32, u32) = (200, 800);

/// A connection whose request is refused.
#[derive(Debug)]
struct UnreadConnection {
    stream: StdTcpStream,
    request: RequestEndFinder,
    since: Instant,
}

/// The connections whose requests are refused.
#[derive(Debug, Default)]
pub(crate) struct UnreadConnections {
    connections: RefCell<Vec<UnreadConnection>>,
    added: Notify,
    refused: Cell<u64>,
}

impl UnreadConnections {
    /// Adds a connection, which gets a response soon.
    pub(crate) fn add(&self, stream: StdTcpStream) {
        if let Err(error) = stream.set_nonblocking(true) {
            log::debug!("can't refuse a caller's connection: {error}");
            return;
        }
        let mut connections = self.connections.borrow_mut();
        if connections.len() >= CONNECTIONS_MAX {
            connections.swap_remove(0);
        }
        connections.push(UnreadConnection {
            stream,
            request: RequestEndFinder::new(),
            since: Instant::now(),
        });
        self.added.notify_one();
    }

    /// Returns the number of connections without a response.
    pub(crate) fn len(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Polls all connections once; returns the number of refused requests.
    fn poll_all(&self, buffer: &mut [u8]) -> u64 {
        let mut refused = 0;
        let now = Instant::now();
        self.connections.borrow_mut().retain_mut(|unread| {
            let is_timed_out = now.duration_since(unread.since) > READ_TIMEOUT;
            match unread.read(buffer) {
                Ok(true) => {
                    unread.refuse();
                    refused += 1;
                    false
                }
                Ok(false) => !is_timed_out,
                Err(error) => {
                    log::debug!("a connection ended before its request was refused: {error}");
                    false
                }
            }
        });
        refused
    }
}

impl UnreadConnection {
    /// Reads the bytes that have arrived; returns whether the request is complete.
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<bool> {
        loop {
            match self.stream.read(buffer) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(length) if self.request.push(&buffer[..length]) => return Ok(true),
                Ok(length) if length < buffer.len() => return Ok(false),
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
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
