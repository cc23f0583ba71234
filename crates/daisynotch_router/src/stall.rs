//! A stream whose writes time out when the peer accepts no bytes.
//!
//! A caller's connection may go silent while a response is written to it. Without a timeout
//! the write would wait forever and the request would keep its endpoint's slot. See
//! `docs/design/silent-connections.md`.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

/// A stream with a timeout for writes that make no progress.
#[derive(Debug)]
pub(crate) struct StallGuard<S> {
    stream: S,
    timeout: Duration,
    stall_timer: Pin<Box<Sleep>>,
    is_stalled: bool,
}

impl<S> StallGuard<S> {
    /// Wraps a stream; `timeout` limits the time for which a write makes no progress.
    pub(crate) fn new(stream: S, timeout: Duration) -> Self {
        Self {
            stream,
            timeout,
            stall_timer: Box::pin(tokio::time::sleep(timeout)),
            is_stalled: false,
        }
    }

    /// Fails a pending write that has made no progress for the timeout.
    fn fail_if_stalled<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.is_stalled = false;
            return written;
        }
        if !self.is_stalled {
            self.is_stalled = true;
            self.stall_timer
                .as_mut()
                .reset(Instant::now() + self.timeout);
        }
        self.stall_timer.as_mut().poll(context).map(|()| {
            let message = "the peer accepted no bytes before the write timeout";
            Err(io::Error::new(io::ErrorKind::TimedOut, message))
        })
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for StallGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.fail_if_stalled(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.fail_if_stalled(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.fail_if_stalled(flushed, context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
