use super::*;

const ANSWER: &[u8] = b": comment\ndata: {\"a\":1}\r\n\ndata: {\"b\":2}\n\ndata: [DONE]\n\n";

#[test]
fn sees_the_same_wherever_the_bytes_are_cut() {
    for cut in 0..ANSWER.len() {
        let mut watcher = EventStreamWatcher::default();
        watcher.observe(&ANSWER[..cut]);
        watcher.observe(&ANSWER[cut..]);
        assert_eq!(
            (watcher.events(), watcher.has_ended()),
            (2, true),
            "cut at {cut}"
        );
    }
}

#[test]
fn a_stream_without_the_end_mark_has_not_ended() {
    let mut watcher = EventStreamWatcher::default();
    watcher.observe(b"data: {}\n\ndata: [DONE]");
    assert!(!watcher.has_ended());
}

#[test]
fn any_bytes_are_borne_in_bounded_memory() {
    bolero::check!().for_each(|bytes| {
        let mut watcher = EventStreamWatcher::default();
        watcher.observe(bytes);
        assert!(watcher.line.len() <= LINE_KEPT_BYTES);
    });
}
