use super::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\ndata: d\n\n";

#[test]
fn only_complete_events_are_forwarded() {
    let mut framer = EventFramer::default();
    let complete = framer.push(&Bytes::from_static(b"id: 1\ndata: a\n\nid: 2\nda"));
    assert_eq!(&complete[..], b"id: 1\ndata: a\n\n");
    assert_eq!(framer.last_id(), Some("1"));
    assert!(!framer.is_at_boundary());
    framer.drop_partial();
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
