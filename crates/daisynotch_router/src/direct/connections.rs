//! HTTP connections to endpoints and to the store.
//!
//! An idle connection may be closed or go dead unnoticed. The kernel therefore probes idle
//! connections, and only a connection that was used a moment ago is reused, because it may
//! carry a request that must not run twice.

use std::cell::RefCell;
use std::collections::HashMap;
use std::error::Error as _;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::Timestamp;
use daisynotch_objects::EndpointId;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::head_limit::{HeadLimit, LimitedStream};
use crate::ack_guard::{AckGuard, set_silence_options};

/// Timeout for opening a connection: several round trips within a region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// How long the store or another router may acknowledge nothing of what it was sent.
const PEER_SILENCE_MAX: Duration = Duration::from_millis(1_500);
/// The same for endpoints, which may be silent for two seconds and go on. Sent data is repeated after
/// 0.2, 0.6, 1.4 and 3 s; a shorter limit ends the connection before the last of these.
const ENDPOINT_SILENCE_MAX: Duration = Duration::from_millis(3_500);
/// Maximum idle time of a connection that is reused: below the idle timeouts of servers, which
/// are whole seconds.
const REUSE_IDLE_MAX: Duration = Duration::from_millis(900);
/// Maximum number of bytes before the body of a response, including informational responses:
/// several times the longest response heads.
const HEAD_MAX_BYTES: usize = 128 * 1024;
/// Maximum size of a connection's read buffer, which also bounds a single response head: twice the
/// largest head of a caller's request.
const READ_BUFFER_MAX_BYTES: usize = 32 * 1024;
/// Maximum number of idle connections per endpoint.
const IDLE_PER_ENDPOINT_MAX: usize = 16;

/// Why a request got no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SendError {
    /// No process listens at the address, and nothing was sent.
    #[error("{0}")]
    Refused(String),
    /// No byte of the request was sent.
    #[error("{0}")]
    NotSent(String),
    /// The request was sent, at least in part.
    #[error("{0}")]
    NoAnswer(String),
    /// The request was sent, at least in part, and the peer acknowledges nothing any more.
    #[error("{0}")]
    Silent(String),
}

/// An open HTTP connection, which closes when it is dropped.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    /// When the connection came to the pool, by a clock that counts suspended time.
    idle_since: Timestamp,
    opened_at: Instant,
    /// When the connection was opened or came to the pool.
    last_used_at: Instant,
    head_limit: HeadLimit,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Opens a connection and sets its socket options.
    pub(crate) async fn open(address: SocketAddr) -> Result<Self, SendError> {
        Self::open_with(address, PEER_SILENCE_MAX).await
    }

    /// Like [`Self::open`], to an endpoint.
    pub(crate) async fn open_to_endpoint(address: SocketAddr) -> Result<Self, SendError> {
        Self::open_with(address, ENDPOINT_SILENCE_MAX).await
    }

    async fn open_with(address: SocketAddr, silence_max: Duration) -> Result<Self, SendError> {
        let failed = |error: &dyn std::fmt::Display| SendError::NotSent(error.to_string());
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| failed(&"timed out while connecting"))?;
        let stream = stream.map_err(|error| match error.kind() {
            ErrorKind::ConnectionRefused => SendError::Refused(error.to_string()),
            _ => failed(&error),
        })?;
        set_socket_options(&stream, silence_max).map_err(|error| failed(&error))?;
        let head_limit = HeadLimit::default();
        let stream = AckGuard::new(stream, silence_max);
        let stream = LimitedStream::new(stream, head_limit.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(READ_BUFFER_MAX_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(|error| failed(&error))?;
        let task = tokio::task::spawn_local(async move {
            // The request in progress, if any, gets the error.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task,
            idle_since: Timestamp::default(),
            opened_at: Instant::now(),
            last_used_at: Instant::now(),
            head_limit,
        })
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        self.head_limit.expect_head(HEAD_MAX_BYTES);
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.head_limit.expect_body();
                Ok(response)
            }
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                let error = error.into_error();
                let reason = error.to_string();
                Err(if is_unsent {
                    SendError::NotSent(reason)
                } else if is_timeout(&error) {
                    SendError::Silent(reason)
                } else {
                    SendError::NoAnswer(reason)
                })
            }
        }
    }

    /// Returns whether the connection was opened or used a moment ago, so that a sound server has
    /// not closed it for being idle.
    pub(crate) fn was_used_lately(&self) -> bool {
        self.last_used_at.elapsed() < REUSE_IDLE_MAX
    }

    /// Returns whether the connection can take another request.
    pub(crate) fn is_usable(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Returns whether a connection ended because its peer acknowledged nothing.
pub(super) fn is_timeout(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref());
    cause.is_some_and(|cause: &std::io::Error| cause.kind() == ErrorKind::TimedOut)
}

/// Has the socket send without delay, and the kernel detect a peer that vanished without closing the
/// connection.
///
/// Accepted connections may inherit these options from the listening socket.
pub(crate) fn set_socket_options(socket: &impl AsFd, silence_max: Duration) -> std::io::Result<()> {
    SockRef::from(socket).set_tcp_nodelay(true)?;
    set_silence_options(socket, silence_max)
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct ConnectionPool {
    idle: RefCell<HashMap<EndpointId, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Returns a connection that was used a moment ago, if there is one.
    pub(crate) fn take(&self, endpoint: EndpointId, now: Timestamp) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle_connections = idle.get_mut(&endpoint)?;
        while let Some(connection) = idle_connections.pop() {
            if now.since(connection.idle_since) < REUSE_IDLE_MAX && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection that was opened before `before` and used a moment ago, if there is
    /// one.
    pub(crate) fn take_opened_before(
        &self,
        endpoint: EndpointId,
        before: Instant,
        now: Timestamp,
    ) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let idle_connections = idle.get_mut(&endpoint)?;
        let position = idle_connections.iter().position(|connection| {
            connection.opened_at < before
                && now.since(connection.idle_since) < REUSE_IDLE_MAX
                && connection.is_usable()
        })?;
        Some(idle_connections.swap_remove(position))
    }

    /// Returns a connection to the pool after its response has ended.
    pub(crate) fn put(&self, endpoint: EndpointId, mut connection: Connection, now: Timestamp) {
        connection.idle_since = now;
        connection.last_used_at = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let idle_connections = idle.entry(endpoint).or_default();
        if idle_connections.len() < IDLE_PER_ENDPOINT_MAX {
            idle_connections.push(connection);
        }
    }

    /// Closes the idle connections of an endpoint that takes no more requests.
    pub(crate) fn close_idle(&self, endpoint: EndpointId) {
        self.idle.borrow_mut().remove(&endpoint);
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn expire(&self, now: Timestamp) {
        self.idle.borrow_mut().retain(|_, idle_connections| {
            idle_connections.retain(|connection| now.since(connection.idle_since) < REUSE_IDLE_MAX);
            !idle_connections.is_empty()
        });
    }
}

#[cfg(test)]
mod tests;
