//! A caller's connection, which is reset if a response on it can't be completed otherwise.
//!
//! A caller of HTTP/1.0 knows no chunks, so a response without a length ends when its connection
//! is closed in order. A response that was cut must therefore end with a reset. See
//! `docs/design/response-ends.md`.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::Version;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::ack_guard::AckGuard;

/// How long a caller may acknowledge nothing of what it was sent: several round trips, two of which
/// may be lost.
pub(crate) const CALLER_SILENCE_MAX: Duration = Duration::from_millis(1_500);

/// Whether the caller takes an orderly close for the end of a response.
#[derive(Debug, Clone, Default)]
pub(crate) struct ClosesEndResponses(Arc<AtomicBool>);

impl ClosesEndResponses {
    /// Notes the version of a request on the connection.
    pub(crate) fn note_version(&self, version: Version) {
        let knows_chunks = version >= Version::HTTP_11;
        self.0.store(!knows_chunks, Ordering::Relaxed);
    }

    /// Has the connection reset when it is dropped, whatever the version of the request.
    pub(crate) fn reset_incomplete(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A connection that is shut down after complete responses only: the HTTP library drops it when
/// the body of a response fails.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: AckGuard,
    closes_end_responses: ClosesEndResponses,
    is_shut_down: bool,
}

impl CallerStream {
    /// Wraps a connection.
    pub(crate) fn new(stream: TcpStream, closes_end_responses: ClosesEndResponses) -> Self {
        Self {
            stream: AckGuard::new(stream, CALLER_SILENCE_MAX),
            closes_end_responses,
            is_shut_down: false,
        }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.is_shut_down || !self.closes_end_responses.get() {
            return;
        }
        if let Err(error) = self.stream.set_zero_linger() {
            log::warn!("can't reset the connection of a caller whose response was cut: {error}");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.is_shut_down = true;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
