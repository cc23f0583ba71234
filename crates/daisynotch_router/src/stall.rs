//! A stream whose writes fail when nobody takes the bytes for too long.
//!
//! A caller's connection may go silent while an answer is written to it. Without
//! a bound the answer would wait for ever and keep its endpoint's slot. See
//! `docs/design/silent-connections.md`.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

/// The stream with its bound.
#[derive(Debug)]
pub(crate) struct StallGuard<S> {
    stream: S,
    timeout: Duration,
    stalled: Pin<Box<Sleep>>,
    is_stalled: bool,
}

impl<S> StallGuard<S> {
    /// Bounds the time for which a write makes no progress.
    pub(crate) fn new(stream: S, timeout: Duration) -> Self {
        Self {
            stream,
            timeout,
            stalled: Box::pin(tokio::time::sleep(timeout)),
            is_stalled: false,
        }
    }

    /// Fails a write that has made no progress for too long.
    fn check<T>(
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
            self.stalled.as_mut().reset(Instant::now() + self.timeout);
        }
        self.stalled.as_mut().poll(context).map(|()| {
            let message = "the other side takes no bytes";
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
        self.check(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.check(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.check(flushed, context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
