use super::*;

/// Accepts the events `first..=last` of a stream.
fn accept_numbers(order: &mut EventOrder, numbers: &[u64]) {
    for number in numbers {
        let event = format!("id: {number}\ndata: a\n\n");
        assert_eq!(order.accept(event.as_bytes()), Ok(()), "{number}");
    }
}

fn resumed_after(numbers: &[u64]) -> EventOrder {
    let mut order = EventOrder::default();
    accept_numbers(&mut order, numbers);
    order.resume();
    order
}

#[test]
fn only_the_next_event_resumes_a_stream() {
    let cases: [(&[u8], Result<(), EventError>); 9] = [
        (b"id: 4\ndata: d\n\n", Ok(())),
        (b"id:4\r\ndata: d\r\n\r\n", Ok(())),
        (b"x-version: 2\nid: 4\ndata: d\n\n", Ok(())),
        (b"id: 3\ndata: d\n\n", Err(EventError::OutOfOrder(3))),
        (b"id: 1\ndata: d\n\n", Err(EventError::OutOfOrder(1))),
        (b"id: 5\ndata: d\n\n", Err(EventError::Gap(5))),
        (b"data: d\n\n", Err(EventError::NoNumber)),
        (b"id: d\ndata: d\n\n", Err(EventError::NoNumber)),
        (b"{\"error\":1}\n\n", Err(EventError::Malformed)),
    ];
    for (event, expected) in cases {
        let mut order = resumed_after(&[1, 2, 3]);
        assert_eq!(order.accept(event), expected, "{}", event.escape_ascii());
        assert_eq!(order.is_resuming(), expected.is_err());
    }
}

/// A raw response head after or within an event must not become part of the stream.
#[test]
fn response_heads_are_no_events() {
    let events: [&[u8]; 4] = [
        b"HTTP/1.1 500 Internal Server Error\r\n\r\n",
        b"HTTP/1.1 500 Internal Server Error\r\nx-id: a\r\n\r\n",
        b"id: 4\ndata: dHTTP/1.1 500 Internal Server Error\r\n\r\n",
        b"id: 4\ndata: dHTTP/1.1 500 Internal Server Error\nx-id: a\n\n",
    ];
    for event in events {
        let mut order = EventOrder::default();
        accept_numbers(&mut order, &[1, 2, 3]);
        let accepted = order.accept(event);
        assert_eq!(
            accepted,
            Err(EventError::Malformed),
            "{}",
            event.escape_ascii()
        );
    }
}

#[test]
fn numbers_may_be_skipped_but_not_repeated_within_a_response() {
    let mut order = EventOrder::default();
    accept_numbers(&mut order, &[5, 6, 9]);
    let again = order.accept(b"id: 9\ndata: a\n\n");
    assert_eq!(again, Err(EventError::OutOfOrder(9)));
    order.resume();
    accept_numbers(&mut order, &[14]);
    assert_eq!(order.last_id(), Some("14"));
}

#[test]
fn comments_are_passed_on_and_do_not_resume_a_stream() {
    let mut order = resumed_after(&[1]);
    assert_eq!(order.accept(b": waiting\n\n"), Ok(()));
    assert!(order.is_resuming());
    accept_numbers(&mut order, &[2]);
}

/// Nothing tells where a stream without numbers goes on.
#[test]
fn stream_without_numbers_is_passed_on_and_not_resumed() {
    let mut order = EventOrder::default();
    for event in ["data: a\n\n", "id: x\ndata: b\n\n", "any line\n\n"] {
        assert_eq!(order.accept(event.as_bytes()), Ok(()));
    }
    order.resume();
    assert_eq!(order.accept(b"data: c\n\n"), Err(EventError::NoNumber));
    let resumed = order.accept(b"id: 1\ndata: c\n\n");
    assert_eq!(resumed, Err(EventError::NoNumber));
}

#[test]
fn stream_that_broke_before_its_first_event_begins_anywhere() {
    let mut order = EventOrder::default();
    order.resume();
    accept_numbers(&mut order, &[1, 2]);
    let mut order = EventOrder::after(Some("6"));
    order.resume();
    let from_start = order.accept(b"id: 1\ndata: a\n\n");
    assert_eq!(from_start, Err(EventError::OutOfOrder(1)));
    accept_numbers(&mut order, &[7]);
}

/// An event without a number, such as a sign of life, cut the stream.
#[test]
fn event_without_a_number_is_passed_on_between_numbered_ones() {
    let mut order = EventOrder::default();
    for event in [
        "id: 1\ndata: a\n\n",
        "event: ping\ndata: b\n\n",
        "id: 2\ndata: c\n\n",
    ] {
        assert_eq!(order.accept(event.as_bytes()), Ok(()), "{event:?}");
    }
    assert_eq!(order.last_id(), Some("2"));
    order.resume();
    let resumed = order.accept(b"id: 3\ndata: d\n\n");
    assert_eq!(resumed, Ok(()));
}
