use super::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\ndata: d\n\n";

#[test]
fn only_complete_events_are_forwarded() {
    let mut framer = EventFramer::default();
    let complete = framer.push(&Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
    assert_eq!(&complete[..], b"id: 1\ndata: a\n\n");
    assert_eq!(framer.last_id(), Some("1"));
    assert!(!framer.is_at_boundary());
    framer.resume();
    let complete = framer.push(&Bytes::from_static(b"id: 2\ndata: b\n\n"));
    assert_eq!(&complete[..], b"id: 2\ndata: b\n\n");
    assert_eq!((framer.last_id(), framer.events()), (Some("2"), 2));
    assert!(framer.is_at_boundary());
}

#[test]
fn chunk_boundaries_do_not_change_the_events() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|cuts| {
        let mut framer = EventFramer::default();
        let mut forwarded = Vec::new();
        let mut rest = STREAM;
        for cut in cuts {
            let (piece, after) = rest.split_at(usize::from(*cut % 9).min(rest.len()));
            forwarded.extend_from_slice(&framer.push(&Bytes::copy_from_slice(piece)));
            rest = after;
        }
        forwarded.extend_from_slice(&framer.push(&Bytes::copy_from_slice(rest)));
        assert_eq!(forwarded, STREAM);
        assert_eq!((framer.last_id(), framer.events()), (Some("3"), 3));
        assert!(framer.is_at_boundary());
    });
}

#[test]
fn bytes_after_the_last_event_are_no_event() {
    let mut framer = EventFramer::default();
    let complete = framer.push(&Bytes::from_static(b"data: a\n\ntail"));
    assert_eq!(&complete[..], b"data: a\n\n");
    assert_eq!((framer.events(), framer.partial_len()), (1, 4));
    assert!(!framer.is_at_boundary());
}

/// What follows the first bytes that are no event is not passed on, however it is cut.
#[test]
fn bytes_that_are_no_event_end_the_stream() {
    let stream = b"id: 1\ndata: a\n\nHTTP/1.1 500 Error\r\n\r\nid: 2\ndata: b\n\n";
    for cut in 0..stream.len() {
        let mut framer = EventFramer::default();
        let mut forwarded = Vec::new();
        for piece in [&stream[..cut], &stream[cut..]] {
            forwarded.extend_from_slice(&framer.push(&Bytes::copy_from_slice(piece)));
        }
        assert_eq!(forwarded, b"id: 1\ndata: a\n\n", "cut at {cut}");
        assert_eq!(framer.error(), Some(EventError::Malformed));
        framer.resume();
        let event = Bytes::from_static(b"id: 2\ndata: b\n\n");
        assert_eq!(framer.push(&event), event);
        assert_eq!((framer.last_id(), framer.error()), (Some("2"), None));
    }
}

/// Guards against twice the memory of a long event that waits for a slow caller: its buffer doubles
/// while it arrives in pieces.
#[test]
fn long_event_leaves_no_unused_buffer_in_memory() {
    let event = format!("data: {}\n\n", "x".repeat(32 * 1024));
    let (first, rest) = event.as_bytes().split_at(32 * 1024);
    let mut framer = EventFramer::default();
    assert!(framer.push(&Bytes::copy_from_slice(first)).is_empty());
    let rest = [rest, b"data: next"].concat();
    let complete = framer.push(&Bytes::from(rest));
    assert_eq!(complete, event);
    let buffer = complete
        .try_into_mut()
        .expect("nothing else uses the buffer");
    assert!(buffer.capacity() < event.len() + UNUSED_MAX_BYTES);
    assert_eq!(framer.push(&Bytes::from_static(b"\n\n")), "data: next\n\n");
}
