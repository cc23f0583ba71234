//! Chunks of streams, and large bodies, that wait for their callers, in memory that all responses share.
//!
//! A caller that reads normally takes each chunk before the next one arrives. The chunks of a slow
//! one wait here, up to a bound for one caller, and its stream is closed when others need the memory.
//! See `docs/design/slow-readers.md`.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::future::poll_fn;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::direct::{BodyMemory, HeldMemory, UnreadStream, stream_to_close};
use hyper::header::HeaderValue;
use serde_json::json;
use tokio::time::Instant;

use super::activity::Activity;
use super::body::WholeBody;
use super::event_log::Importance;
use super::response::TruncatedResponse;
use super::state::Router;

/// Maximum number of bytes that wait for one caller before the router stops reading from the
/// endpoint. Nearly all streams fit, so that their endpoints need not wait for a slow caller.
const WAITING_MAX_BYTES: usize = 256 * 1024;
/// Memory that a chunk takes beside its bytes: its entry in the queue and its allocation.
const CHUNK_OVERHEAD_BYTES: usize = 128;
/// Size of the pieces of a large body: several writes' worth, and little beside the body.
const PIECE_BYTES: usize = 64 * 1024;
/// Interval at which a slow stream is looked for while chunks exceed the memory.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// How long the chunks of a response that has ended may wait for its caller: the longest deadline
/// that callers use.
pub(super) const LEFT_UNREAD_MAX: Duration = Duration::from_secs(30);

/// Why a stream was closed whose caller reads slowly.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SlowCallerCause {
    /// Other responses needed the memory.
    Memory,
    /// The stream had ended, and the caller left its chunks unread.
    LeftUnread,
    /// The endpoint cut the response, which it could not go on sending.
    EndpointCut,
}

impl SlowCallerCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::LeftUnread => "left_unread",
            Self::EndpointCut => "endpoint_cut",
        }
    }
}

/// How the stream of a queue ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Complete,
    Truncated,
}

#[derive(Debug)]
struct Chunk {
    bytes: Bytes,
    arrived_at: Instant,
    /// Memory that is free once the next chunk is taken.
    memory_bytes: usize,
}

#[derive(Debug)]
struct State {
    chunks: VecDeque<Chunk>,
    /// Memory and arrival of the chunk that the HTTP library has taken last. It takes the next one
    /// once it has written most of this one.
    taken: Option<(usize, Instant)>,
    memory: HeldMemory,
    end: Option<End>,
    /// Whether the response is no longer sent.
    is_closed: bool,
    /// Whether the router closed the stream because its caller reads slowly.
    is_cut: bool,
    /// The connection to the caller.
    connection: Option<Rc<Activity>>,
    /// Wakes the connection when there is something to send.
    reader: Option<Waker>,
    /// Wakes the relay when the response is no longer sent.
    close_waker: Option<Waker>,
    /// Wakes the relay when the caller has read.
    room_waker: Option<Waker>,
}

impl State {
    /// Returns whether the relay may read on from the endpoint.
    fn has_room(&self) -> bool {
        let bytes = self.memory.bytes();
        bytes == 0 || (bytes <= WAITING_MAX_BYTES && self.memory.may_wait(bytes))
    }

    fn unread(&self, now: Instant) -> UnreadStream {
        let front = self.chunks.front().map(|chunk| chunk.arrived_at);
        let since = self.taken.map(|(_, arrived_at)| arrived_at).or(front);
        UnreadStream {
            bytes: self.memory.bytes(),
            unread_for: since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since)),
        }
    }

    /// Drops what the caller has not read.
    fn close(&mut self) {
        self.is_closed = true;
        self.chunks = VecDeque::new();
        self.taken = None;
        self.memory.set(0);
        wake(&mut self.close_waker);
        wake(&mut self.room_waker);
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

fn keep_waker(kept: &mut Option<Waker>, context: &Context<'_>) {
    match kept {
        Some(waker) => waker.clone_from(context.waker()),
        None => *kept = Some(context.waker().clone()),
    }
}

/// The chunks of one stream. All tasks of a router run on one thread.
#[derive(Debug)]
struct Queue {
    state: RefCell<State>,
    /// The identifier of the caller's request, for the log.
    request: HeaderValue,
    id: u64,
    open: OpenQueues,
}

type OpenQueues = Rc<RefCell<BTreeMap<u64, Weak<Queue>>>>;

impl Queue {
    /// Closes the stream so that it does not look complete.
    fn cut(&self) {
        let connection = {
            let mut state = self.state.borrow_mut();
            state.is_cut = true;
            state.end = Some(End::Truncated);
            state.close();
            wake(&mut state.reader);
            state.connection.take()
        };
        // The HTTP library asks for no chunk while the caller accepts no bytes.
        if let Some(connection) = connection {
            connection.cut();
        }
    }
}

impl Drop for Queue {
    fn drop(&mut self) {
        self.open.borrow_mut().remove(&self.id);
    }
}

/// The queues of all streams of a router.
#[derive(Debug, Default)]
pub(crate) struct CallerQueues {
    open: OpenQueues,
    next_id: Cell<u64>,
    /// When no slow stream was found last.
    searched_at: Cell<Option<Instant>>,
}

impl CallerQueues {
    /// Creates the queue of a stream whose chunks take `memory`.
    pub(super) fn open(
        &self,
        memory: &BodyMemory,
        request: HeaderValue,
    ) -> (ChunkSender, ChunkReceiver) {
        let queue = self.add(memory.hold(), request);
        (ChunkSender(Rc::clone(&queue)), ChunkReceiver(queue))
    }

    /// Creates the queue of a body that has arrived, whose memory is free when all of it is sent.
    pub(super) fn open_whole(&self, body: WholeBody, request: HeaderValue) -> ChunkReceiver {
        let mut left = body.bytes;
        let memory_bytes = body.memory.bytes();
        let queue = self.add(body.memory, request);
        let mut state = queue.state.borrow_mut();
        let arrived_at = Instant::now();
        while !left.is_empty() {
            let bytes = left.split_to(left.len().min(PIECE_BYTES));
            let is_last = left.is_empty();
            state.chunks.push_back(Chunk {
                bytes,
                arrived_at,
                memory_bytes: if is_last { memory_bytes } else { 0 },
            });
        }
        state.end = Some(End::Complete);
        drop(state);
        ChunkReceiver(queue)
    }

    fn add(&self, memory: HeldMemory, request: HeaderValue) -> Rc<Queue> {
        let id = self.next_id.replace(self.next_id.get() + 1);
        let queue = Rc::new(Queue {
            state: RefCell::new(State {
                chunks: VecDeque::new(),
                taken: None,
                memory,
                end: None,
                is_closed: false,
                is_cut: false,
                connection: None,
                reader: None,
                close_waker: None,
                room_waker: None,
            }),
            request,
            id,
            open: Rc::clone(&self.open),
        });
        self.open.borrow_mut().insert(id, Rc::downgrade(&queue));
        queue
    }

    /// Returns the memory that waiting chunks take.
    pub(super) fn unread_bytes(&self) -> usize {
        let unread = self.unread(Instant::now());
        unread.iter().map(|(_, unread)| unread.bytes).sum()
    }

    fn unread(&self, now: Instant) -> Vec<(Rc<Queue>, UnreadStream)> {
        self.select(|state| Some(state.unread(now)))
    }

    /// Returns the streams that ended long ago and wait for their callers.
    fn left_unread(&self, now: Instant) -> Vec<(Rc<Queue>, UnreadStream)> {
        self.select(|state| {
            state.end?;
            let unread = state.unread(now);
            (unread.unread_for > LEFT_UNREAD_MAX).then_some(unread)
        })
    }

    fn select(
        &self,
        choose: impl Fn(&State) -> Option<UnreadStream>,
    ) -> Vec<(Rc<Queue>, UnreadStream)> {
        let open = self.open.borrow();
        let queues = open.values().filter_map(Weak::upgrade);
        queues
            .filter_map(|queue| {
                let unread = choose(&queue.state.borrow())?;
                Some((queue, unread))
            })
            .collect()
    }
}

/// The relay's side of a queue. A stream whose relay ends without a word does not look complete.
#[derive(Debug)]
pub(super) struct ChunkSender(Rc<Queue>);

impl ChunkSender {
    /// Appends a chunk that arrived at `now`.
    pub(super) fn push(&self, bytes: Bytes, now: Instant) {
        let mut state = self.0.state.borrow_mut();
        if state.is_closed {
            return;
        }
        let chunk = Chunk {
            memory_bytes: bytes.len() + CHUNK_OVERHEAD_BYTES,
            bytes,
            arrived_at: now,
        };
        let memory_bytes = state.memory.bytes() + chunk.memory_bytes;
        state.memory.set(memory_bytes);
        state.chunks.push_back(chunk);
        wake(&mut state.reader);
    }

    /// Returns whether more may be read from the endpoint.
    pub(super) fn has_room(&self) -> bool {
        self.0.state.borrow().has_room()
    }

    /// Waits until more may be read from the endpoint, or the response is no longer sent.
    pub(super) async fn until_room(&self) {
        poll_fn(|context| {
            let mut state = self.0.state.borrow_mut();
            if state.is_closed || state.has_room() {
                return Poll::Ready(());
            }
            keep_waker(&mut state.room_waker, context);
            Poll::Pending
        })
        .await;
    }

    /// Waits until the response is no longer sent.
    pub(super) async fn until_closed(&self) {
        poll_fn(|context| {
            let mut state = self.0.state.borrow_mut();
            if state.is_closed {
                return Poll::Ready(());
            }
            keep_waker(&mut state.close_waker, context);
            Poll::Pending
        })
        .await;
    }

    /// Returns whether the router closed the stream because its caller reads slowly.
    pub(super) fn is_cut(&self) -> bool {
        self.0.state.borrow().is_cut
    }

    /// Ends the stream as complete.
    pub(super) fn complete(&self) {
        self.end(End::Complete);
    }

    /// Ends the stream so that it does not look complete.
    pub(super) fn truncate(&self) {
        self.end(End::Truncated);
    }

    fn end(&self, end: End) {
        let mut state = self.0.state.borrow_mut();
        if state.end.is_none() {
            state.end = Some(end);
            wake(&mut state.reader);
        }
    }
}

impl Drop for ChunkSender {
    fn drop(&mut self) {
        self.truncate();
    }
}

/// The caller's side of a queue.
#[derive(Debug)]
pub(crate) struct ChunkReceiver(Rc<Queue>);

impl ChunkReceiver {
    /// Returns the length of the chunks that wait.
    pub(super) fn len(&self) -> u64 {
        let state = self.0.state.borrow();
        state
            .chunks
            .iter()
            .map(|chunk| chunk.bytes.len() as u64)
            .sum()
    }

    /// Sets the connection that is closed with the stream.
    pub(super) fn set_connection(&self, connection: Rc<Activity>) {
        self.0.state.borrow_mut().connection = Some(connection);
    }

    /// Returns the next chunk, or nothing after the last chunk of a complete stream.
    pub(super) fn poll_next(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedResponse>>> {
        let mut state = self.0.state.borrow_mut();
        if let Some((memory_bytes, _)) = state.taken.take() {
            let left_bytes = state.memory.bytes().saturating_sub(memory_bytes);
            state.memory.set(left_bytes);
            wake(&mut state.room_waker);
        }
        if let Some(chunk) = state.chunks.pop_front() {
            state.taken = Some((chunk.memory_bytes, chunk.arrived_at));
            return Poll::Ready(Some(Ok(chunk.bytes)));
        }
        match state.end {
            Some(End::Complete) => Poll::Ready(None),
            Some(End::Truncated) => Poll::Ready(Some(Err(TruncatedResponse))),
            None => {
                keep_waker(&mut state.reader, context);
                Poll::Pending
            }
        }
    }
}

impl Drop for ChunkReceiver {
    fn drop(&mut self) {
        self.0.state.borrow_mut().close();
    }
}

impl Router {
    /// Closes the stream that has cost others most, because others need its memory. Returns whether
    /// there was one.
    pub(super) fn close_slow_stream(&self) -> bool {
        let unread = self.caller_queues.unread(Instant::now());
        let streams = unread
            .iter()
            .map(|(queue, unread)| ((queue, unread), *unread));
        let Some((queue, unread)) = stream_to_close(streams) else {
            return false;
        };
        self.cut_slow_stream(queue, *unread, SlowCallerCause::Memory);
        true
    }

    /// Closes slow streams until the responses fit their memory.
    pub(super) fn fit_responses(&self) {
        while self.response_memory.is_exceeded() {
            let searched_at = &self.caller_queues.searched_at;
            let was_just_searched = |at: Instant| at.elapsed() < SEARCH_INTERVAL;
            if searched_at.get().is_some_and(was_just_searched) {
                return;
            }
            if !self.close_slow_stream() {
                searched_at.set(Some(Instant::now()));
            }
        }
    }

    /// Closes the stream of a caller that did not read, after its endpoint has cut it.
    pub(super) fn on_endpoint_cut(&self, chunks: &ChunkSender) {
        let unread = chunks.0.state.borrow().unread(Instant::now());
        chunks.truncate();
        self.report_slow_caller(&chunks.0, unread, SlowCallerCause::EndpointCut);
    }

    fn cut_slow_stream(&self, queue: &Queue, unread: UnreadStream, cause: SlowCallerCause) {
        queue.cut();
        self.report_slow_caller(queue, unread, cause);
    }

    fn report_slow_caller(&self, queue: &Queue, unread: UnreadStream, cause: SlowCallerCause) {
        let cause = cause.as_str();
        let closed = &self.metrics.slow_callers_closed;
        closed.with_label_values(&[cause]).inc();
        let fields = json!({
            "id": queue.request.to_str().unwrap_or(""),
            "cause": cause,
            "unread_bytes": unread.bytes,
            "unread_ms": unread.unread_for.as_millis() as u64,
            "response_memory_bytes": self.response_memory.used_bytes(),
        });
        self.log.write(Importance::Essential, "slow_caller", fields);
    }

    /// Closes streams that have ended and whose callers leave the rest unread.
    pub(super) fn close_left_unread(&self) {
        for (queue, unread) in self.caller_queues.left_unread(Instant::now()) {
            self.cut_slow_stream(&queue, unread, SlowCallerCause::LeftUnread);
        }
    }
}

#[cfg(test)]
mod tests;
