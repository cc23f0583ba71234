use super::*;

fn stream(bytes: usize, unread_ms: u64) -> UnreadStream {
    UnreadStream {
        bytes,
        unread_for: Duration::from_millis(unread_ms),
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against streams that are closed although their callers read, when the process is late.
#[test]
fn stream_of_a_caller_that_reads_is_not_closed() {
    let streams = [stream(256_000, 999), stream(0, 60_000), stream(100, 0)];
    assert_eq!(stream_to_close(streams.into_iter().enumerate()), None);
}

#[test]
fn stream_that_has_cost_others_most_is_closed() {
    let streams = [
        stream(200_000, 3_000),
        stream(100_000, 9_000),
        stream(100, 30_000),
        stream(250_000, 500),
    ];
    assert_eq!(stream_to_close(streams.into_iter().enumerate()), Some(1));
    assert_eq!(
        stream_to_close(streams[2..].iter().copied().enumerate()),
        Some(0)
    );
}

/// Guards against an endpoint that is avoided because callers do not read.
#[test]
fn cut_after_bytes_stayed_unread_is_explained() {
    let mut unread = UnreadTime::default();
    assert!(!unread.explains_cut());
    for _ in 0..4 {
        unread.on_blocked(ms(300));
        // What is left of the response in buffers arrives at once.
        unread.on_waited(ms(2));
    }
    assert!(unread.explains_cut());
}

/// Guards against an endpoint that fails and stays in use because the caller once read slowly.
#[test]
fn cut_after_the_router_waited_for_the_endpoint_is_not_explained() {
    let mut unread = UnreadTime::default();
    unread.on_blocked(ms(5_000));
    for _ in 0..24 {
        unread.on_waited(ms(20));
        assert!(unread.explains_cut());
    }
    unread.on_waited(ms(20));
    assert!(!unread.explains_cut());
    unread.on_blocked(ms(900));
    assert!(!unread.explains_cut());
}
