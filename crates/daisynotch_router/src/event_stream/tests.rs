use super::*;

const STREAM: &[u8] = b": comment\ndata: {\"a\":1}\r\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n";

#[test]
fn a_split_at_any_byte_does_not_change_the_result() {
    for cut in 0..STREAM.len() {
        let mut watcher = EventStreamWatcher::default();
        watcher.observe(&STREAM[..cut]);
        watcher.observe(&STREAM[cut..]);
        assert_eq!(
            (watcher.events(), watcher.has_ended()),
            (2, true),
            "split at byte {cut}"
        );
    }
}

#[test]
fn a_stream_without_a_complete_done_line_has_not_ended() {
    let mut watcher = EventStreamWatcher::default();
    watcher.observe(b"data: {}\n\ndata: [DONE]");
    assert!(!watcher.has_ended());
}

#[test]
fn arbitrary_bytes_need_bounded_memory() {
    bolero::check!().for_each(|bytes| {
        let mut watcher = EventStreamWatcher::default();
        watcher.observe(bytes);
        assert!(watcher.line_prefix.len() <= LINE_PREFIX_BYTES);
    });
}
