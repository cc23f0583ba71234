//! Limits the size of response heads.
//!
//! Load pattern: a faulty endpoint sends header lines or informational responses until its
//! connection is closed. The HTTP library skips informational responses without a limit.

use std::cell::Cell;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes that may still arrive before the body of the expected response, if any is
/// expected.
#[derive(Debug, Clone, Default)]
pub(super) struct HeadLimit {
    bytes_left: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// Starts to count bytes when a request is sent.
    pub(super) fn expect_head(&self, max_bytes: usize) {
        self.bytes_left.set(Some(max_bytes));
    }

    /// Stops counting: the reader of the body limits its length.
    pub(super) fn expect_body(&self) {
        self.bytes_left.set(None);
    }

    fn consume(&self, bytes: usize) -> std::io::Result<()> {
        let Some(remaining) = self.bytes_left.get() else {
            return Ok(());
        };
        if bytes > remaining {
            let problem = "the response head exceeds the size limit";
            return Err(Error::new(ErrorKind::InvalidData, problem));
        }
        self.bytes_left.set(Some(remaining - bytes));
        Ok(())
    }
}

/// A stream that fails when a response head exceeds its limit.
#[derive(Debug)]
pub(super) struct LimitedStream<S> {
    stream: S,
    limit: HeadLimit,
}

impl<S> LimitedStream<S> {
    pub(super) fn new(stream: S, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => Poll::Ready(self.limit.consume(buffer.filled().len() - before)),
            other => other,
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

#[cfg(test)]
mod tests;
