use futures::FutureExt;
use futures::task::noop_waker;

use super::*;

const MEMORY_BYTES: usize = 4_000_000;

fn open(queues: &CallerQueues, memory: &BodyMemory) -> (ChunkSender, ChunkReceiver) {
    queues.open(memory, HeaderValue::from_static("request"))
}

fn chunk(bytes: usize) -> Bytes {
    vec![b'x'; bytes].into()
}

fn poll(receiver: &mut ChunkReceiver) -> Poll<Option<Result<Bytes, TruncatedResponse>>> {
    receiver.poll_next(&mut Context::from_waker(&noop_waker()))
}

/// Reads a stream to its end; returns the bytes, and the error if the stream does not look complete.
fn read_all(receiver: &mut ChunkReceiver) -> (usize, Option<TruncatedResponse>) {
    let mut bytes = 0;
    loop {
        match poll(receiver) {
            Poll::Ready(Some(Ok(chunk))) => bytes += chunk.len(),
            Poll::Ready(Some(Err(error))) => return (bytes, Some(error)),
            Poll::Ready(None) => return (bytes, None),
            Poll::Pending => panic!("the stream has not ended"),
        }
    }
}

/// Guards against memory that is taken for a caller and not counted.
#[test]
fn chunk_counts_until_the_next_one_is_asked_for() {
    let (queues, memory) = (CallerQueues::default(), BodyMemory::new(MEMORY_BYTES));
    let (sender, mut receiver) = open(&queues, &memory);
    sender.push(chunk(1_000), Instant::now());
    sender.push(chunk(2_000), Instant::now());
    assert_eq!(memory.used_bytes(), 3_000 + 2 * CHUNK_OVERHEAD_BYTES);
    assert!(matches!(poll(&mut receiver), Poll::Ready(Some(Ok(_)))));
    assert_eq!(memory.used_bytes(), 3_000 + 2 * CHUNK_OVERHEAD_BYTES);
    assert!(matches!(poll(&mut receiver), Poll::Ready(Some(Ok(_)))));
    assert_eq!(queues.unread_bytes(), 2_000 + CHUNK_OVERHEAD_BYTES);
    assert!(poll(&mut receiver).is_pending());
    assert_eq!((memory.used_bytes(), queues.unread_bytes()), (0, 0));
}

/// Guards against a queue that grows without bound while its caller does not read.
#[test]
fn relay_waits_once_a_caller_has_its_maximum() {
    let (queues, memory) = (CallerQueues::default(), BodyMemory::new(MEMORY_BYTES));
    let (sender, mut receiver) = open(&queues, &memory);
    while sender.has_room() {
        sender.push(chunk(10_000), Instant::now());
    }
    let bytes = memory.used_bytes();
    assert!(bytes > WAITING_MAX_BYTES, "{bytes}");
    assert!(bytes <= WAITING_MAX_BYTES + 20_000, "{bytes}");
    assert!(sender.until_room().now_or_never().is_none());
    for _ in 0..2 {
        assert!(poll(&mut receiver).is_ready());
    }
    assert!(sender.until_room().now_or_never().is_some());
}

/// Guards against small chunks of which a queue holds too many.
#[test]
fn many_small_chunks_are_bounded_too() {
    let (queues, memory) = (CallerQueues::default(), BodyMemory::new(MEMORY_BYTES));
    let (sender, _receiver) = open(&queues, &memory);
    let mut chunks = 0;
    while sender.has_room() {
        sender.push(chunk(10), Instant::now());
        chunks += 1;
    }
    assert!(
        chunks <= WAITING_MAX_BYTES / CHUNK_OVERHEAD_BYTES,
        "{chunks}"
    );
}

/// Guards against a stream that stands still although its caller reads, because others use the
/// memory.
#[test]
fn caller_that_reads_gets_chunk_after_chunk_while_memory_is_short() {
    let (queues, memory) = (CallerQueues::default(), BodyMemory::new(MEMORY_BYTES));
    let mut others = memory.hold();
    others.set(MEMORY_BYTES);
    let (sender, mut receiver) = open(&queues, &memory);
    for _ in 0..100 {
        sender.push(chunk(1_000), Instant::now());
        assert!(!sender.has_room());
        assert!(poll(&mut receiver).is_ready());
        assert!(poll(&mut receiver).is_pending());
        assert!(sender.until_room().now_or_never().is_some());
    }
}

/// Guards against a stream that is closed for its memory and looks complete.
#[tokio::test]
async fn cut_stream_frees_its_memory_and_does_not_look_complete() {
    let (queues, memory) = (CallerQueues::default(), BodyMemory::new(MEMORY_BYTES));
    let (sender, mut receiver) = open(&queues, &memory);
    let connection = Activity::start();
    receiver.set_connection(Rc::clone(&connection));
    sender.push(chunk(1_000), Instant::now());
    sender.complete();
    assert!(connection.until_cut().now_or_never().is_none());
    sender.0.cut();
    assert_eq!(memory.used_bytes(), 0);
    assert!(sender.is_cut());
    assert!(sender.until_closed().now_or_never().is_some());
    assert!(sender.until_room().now_or_never().is_some());
    assert!(connection.until_cut().now_or_never().is_some());
    assert_eq!(read_all(&mut receiver), (0, Some(TruncatedResponse)));
    sender.push(chunk(1_000), Instant::now());
    assert_eq!(memory.used_bytes(), 0);
}

#[test]
fn chunks_before_the_end_are_delivered() {
    let (queues, memory) = (CallerQueues::default(), BodyMemory::new(MEMORY_BYTES));
    for (is_complete, error) in [(true, None), (false, Some(TruncatedResponse))] {
        let (sender, mut receiver) = open(&queues, &memory);
        sender.push(chunk(1_000), Instant::now());
        if is_complete {
            sender.complete();
        }
        // A relay that ends without a word must not make the stream look complete.
        drop(sender);
        assert_eq!(read_all(&mut receiver), (1_000, error));
    }
}

/// Guards against memory that stays taken after callers left, and against queues without end.
#[test]
fn nothing_is_left_of_a_stream_whose_caller_leaves() {
    let (queues, memory) = (CallerQueues::default(), BodyMemory::new(MEMORY_BYTES));
    let (sender, receiver) = open(&queues, &memory);
    sender.push(chunk(1_000), Instant::now());
    drop(receiver);
    assert_eq!(memory.used_bytes(), 0);
    assert!(sender.until_closed().now_or_never().is_some());
    assert!(!sender.is_cut());
    drop(sender);
    assert!(queues.open.borrow().is_empty());
}

/// Guards against the chunks of a stream that has ended and is never read.
#[tokio::test(start_paused = true)]
async fn stream_that_ended_is_left_unread_for_a_bounded_time() {
    let (queues, memory) = (CallerQueues::default(), BodyMemory::new(MEMORY_BYTES));
    let (running, _running_receiver) = open(&queues, &memory);
    let (ended, mut ended_receiver) = open(&queues, &memory);
    for sender in [&running, &ended] {
        sender.push(chunk(1_000), Instant::now());
    }
    assert!(poll(&mut ended_receiver).is_ready());
    ended.complete();
    tokio::time::advance(LEFT_UNREAD_MAX).await;
    assert!(queues.left_unread(Instant::now()).is_empty());
    tokio::time::advance(Duration::from_millis(1)).await;
    let left: Vec<u64> = queues
        .left_unread(Instant::now())
        .iter()
        .map(|(queue, _)| queue.id)
        .collect();
    assert_eq!(left, [ended.0.id]);
}

/// Guards against plain responses whose slow callers keep the memory that others need.
#[tokio::test]
async fn large_body_keeps_its_memory_until_it_is_sent_or_cut() {
    let (queues, memory) = (CallerQueues::default(), BodyMemory::new(MEMORY_BYTES));
    let request = HeaderValue::from_static("request");
    let open = || {
        let mut held = memory.hold();
        held.set(1_000_000);
        let body = WholeBody {
            bytes: chunk(1_000_000),
            memory: held,
        };
        queues.open_whole(body, request.clone())
    };
    let mut sent = open();
    assert_eq!(sent.len(), 1_000_000);
    assert!(poll(&mut sent).is_ready());
    assert_eq!(queues.unread_bytes(), 1_000_000);
    assert_eq!(read_all(&mut sent), (1_000_000 - PIECE_BYTES, None));
    assert_eq!(memory.used_bytes(), 0);
    let mut cut = open();
    assert!(poll(&mut cut).is_ready());
    cut.0.cut();
    assert_eq!(memory.used_bytes(), 0);
    assert_eq!(read_all(&mut cut), (0, Some(TruncatedResponse)));
}
