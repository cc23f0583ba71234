//! Whether a caller's connection is idle, and since when.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::response::{ResponseBody, TruncatedResponse};

/// Activity on one connection.
#[derive(Debug)]
pub(super) struct Activity {
    /// When bytes were last read or written, or a request ended.
    last_at: Cell<Instant>,
    /// When the first byte of a request head arrived that is not complete.
    head_began_at: Cell<Option<Instant>>,
    /// Requests whose responses have not ended.
    open_requests: Cell<u32>,
    /// Whether the connection is to be closed although a response on it is not complete.
    is_cut: Cell<bool>,
    /// Wakes the task that serves the connection.
    cut_waker: RefCell<Option<Waker>>,
}

impl Activity {
    pub(super) fn start() -> Rc<Self> {
        Rc::new(Self {
            last_at: Cell::new(Instant::now()),
            head_began_at: Cell::new(None),
            open_requests: Cell::new(0),
            is_cut: Cell::new(false),
            cut_waker: RefCell::default(),
        })
    }

    /// Returns how long the connection has waited for a request or for the rest of its head.
    pub(super) fn idle_for(&self) -> Duration {
        if self.open_requests.get() > 0 {
            return Duration::ZERO;
        }
        let since = self.head_began_at.get();
        since.unwrap_or_else(|| self.last_at.get()).elapsed()
    }

    /// Returns whether a part of a request head has arrived.
    pub(super) fn has_begun_head(&self) -> bool {
        self.open_requests.get() == 0 && self.head_began_at.get().is_some()
    }

    /// Notes a request whose head has arrived, until the result is dropped.
    pub(super) fn on_request(self: &Rc<Self>) -> OpenRequest {
        self.head_began_at.set(None);
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest(Rc::clone(self))
    }

    /// Has the connection closed at once.
    pub(super) fn cut(&self) {
        self.is_cut.set(true);
        if let Some(waker) = self.cut_waker.borrow_mut().take() {
            waker.wake();
        }
    }

    /// Waits until the connection is to be closed at once.
    pub(super) async fn until_cut(&self) {
        poll_fn(|context| {
            if self.is_cut.get() {
                return Poll::Ready(());
            }
            let mut waker = self.cut_waker.borrow_mut();
            match &mut *waker {
                Some(waker) => waker.clone_from(context.waker()),
                None => *waker = Some(context.waker().clone()),
            }
            Poll::Pending
        })
        .await;
    }

    fn on_read(&self) {
        let now = Instant::now();
        self.last_at.set(now);
        if self.open_requests.get() == 0 && self.head_began_at.get().is_none() {
            self.head_began_at.set(Some(now));
        }
    }
}

/// A request whose response has not ended.
#[derive(Debug)]
pub(super) struct OpenRequest(Rc<Activity>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let open_requests = &self.0.open_requests;
        open_requests.set(open_requests.get().saturating_sub(1));
        self.0.last_at.set(Instant::now());
    }
}

/// Body of a response that ends its request.
pub(super) struct TrackedBody {
    body: ResponseBody,
    _request: OpenRequest,
}

impl TrackedBody {
    pub(super) fn new(body: ResponseBody, request: OpenRequest) -> Self {
        if let ResponseBody::Stream(chunks) | ResponseBody::Large(chunks) = &body {
            chunks.set_connection(Rc::clone(&request.0));
        }
        Self {
            body,
            _request: request,
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = TruncatedResponse;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedResponse>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A stream whose activity is tracked.
#[derive(Debug)]
pub(super) struct TrackedStream<S> {
    stream: S,
    activity: Rc<Activity>,
}

impl<S> TrackedStream<S> {
    pub(super) fn new(stream: S, activity: Rc<Activity>) -> Self {
        Self { stream, activity }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled {
            self.activity.on_read();
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        if written.is_ready() {
            self.activity.last_at.set(Instant::now());
        }
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        if written.is_ready() {
            self.activity.last_at.set(Instant::now());
        }
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
