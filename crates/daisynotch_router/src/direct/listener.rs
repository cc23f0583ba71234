//! A listening socket that can be closed temporarily and that enables TCP keepalive on its
//! connections.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream as StdTcpStream};
use std::time::Duration;

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};

use super::connections::set_socket_options;
use crate::ack_guard::has_silence_options;
use crate::caller_stream::CALLER_SILENCE_MAX;

/// Maximum number of connections that are taken from the kernel's accept queue at once; the
/// queue usually holds half as many.
const PENDING_MAX: usize = 256;
/// Maximum number of bytes that the kernel holds unsent for one connection, up to one write. Without
/// it, the kernel takes 2 MB for a caller that does not read.
const UNSENT_MAX_BYTES: u32 = 128 * 1024;
/// How long a handshake that has begun may take to complete: many round trips in a zone.
const HANDSHAKE_TIME: Duration = Duration::from_millis(5);
/// Filter that drops segments that open a connection, in the kernel's classic BPF. Such a filter
/// sees a segment from its TCP header on; byte 13 holds the flags.
const DROP_SYNS: [SockFilter; 5] = [
    // Load the flags.
    SockFilter::new(0x30, 0, 0, 13),
    // Keep SYN and ACK.
    SockFilter::new(0x54, 0, 0, 0x12),
    // If only SYN is set, go to the next line, otherwise skip it.
    SockFilter::new(0x15, 0, 1, 0x02),
    SockFilter::new(0x06, 0, 0, 0),
    SockFilter::new(0x06, 0, 0, u32::MAX),
];
/// Pause before another attempt to listen on the address again.
const REOPEN_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A listening socket.
#[derive(Debug)]
pub(crate) struct Listener {
    socket: TcpListener,
    address: SocketAddr,
    /// Whether accepted connections inherit the listening socket's options, which the first
    /// connection shows.
    ///
    /// Setting the options on each connection takes six system calls, a quarter of the cost of
    /// a refused connection.
    inherits_options: Option<bool>,
}

impl Listener {
    /// Wraps a socket that is already listening.
    pub(crate) fn new(socket: TcpListener) -> std::io::Result<Self> {
        let address = socket.local_addr()?;
        set_socket_options(&socket, CALLER_SILENCE_MAX)?;
        if let Err(error) = SockRef::from(&socket).set_tcp_notsent_lowat(UNSENT_MAX_BYTES) {
            log::warn!("can't bound what the kernel holds for callers who read slowly: {error}");
        }
        Ok(Self {
            socket,
            address,
            inherits_options: None,
        })
    }

    /// Waits for a connection.
    pub(crate) async fn accept(&mut self) -> std::io::Result<TcpStream> {
        let (stream, _) = self.socket.accept().await?;
        let is_inherited = match self.inherits_options {
            Some(is_inherited) => is_inherited,
            None => {
                let is_inherited =
                    stream.nodelay()? && has_silence_options(&stream, CALLER_SILENCE_MAX)?;
                *self.inherits_options.insert(is_inherited)
            }
        };
        if !is_inherited && let Err(error) = set_socket_options(&stream, CALLER_SILENCE_MAX) {
            log::debug!("can't set the socket options of an accepted connection: {error}");
        }
        Ok(stream)
    }

    /// Has the kernel ignore new connections and waits for those whose handshakes have begun.
    ///
    /// Closing the socket resets connections that complete after the accept queue was emptied, and
    /// their callers may have sent a request by then. A caller that is ignored has no connection
    /// yet: it tries again after a second.
    pub(crate) async fn end_handshakes(&self) {
        if let Err(error) = SockRef::from(&self.socket).attach_filter(&DROP_SYNS) {
            log::warn!("closing a listener may reset new connections: {error}");
        }
        tokio::time::sleep(HANDSHAKE_TIME).await;
    }

    /// Returns the connections in the kernel's accept queue.
    ///
    /// This calls the kernel directly, since the runtime may not know about the latest
    /// connections yet.
    pub(crate) fn accept_pending(&self) -> Vec<StdTcpStream> {
        let socket = SockRef::from(&self.socket);
        let accepted = std::iter::from_fn(|| match socket.accept() {
            Ok((stream, _)) => Some(StdTcpStream::from(stream)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => None,
            Err(error) => {
                log::debug!("failed to accept a pending connection: {error}");
                None
            }
        });
        accepted.take(PENDING_MAX).collect()
    }

    /// Closes the socket for `pause` and reopens it. Meanwhile the kernel rejects new
    /// connections.
    pub(crate) async fn close_for(self, pause: Duration) -> Self {
        let Self {
            socket,
            address,
            inherits_options,
        } = self;
        drop(socket);
        tokio::time::sleep(pause).await;
        loop {
            let reopened = TcpListener::bind(address).await.and_then(Self::new);
            match reopened {
                Ok(reopened) => {
                    return Self {
                        inherits_options,
                        ..reopened
                    };
                }
                Err(error) => {
                    log::warn!("can't listen on {address} again yet, retrying: {error}");
                    tokio::time::sleep(REOPEN_RETRY_PAUSE).await;
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
