use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;

fn ends_at(pieces: &[&[u8]]) -> Option<usize> {
    let mut request = RequestEndFinder::new();
    pieces.iter().position(|piece| request.push(piece))
}

#[test]
fn the_end_of_a_request_is_found_across_reads() {
    assert_eq!(ends_at(&[b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"]), Some(0));
    assert_eq!(
        ends_at(&[b"GET / HTTP/1.1\r\nho", b"st: a\r\n\r", b"\n"]),
        Some(2)
    );
    let head = b"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab";
    assert_eq!(ends_at(&[head, b"cd", b"e"]), Some(2));
    let head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab";
    assert_eq!(ends_at(&[head, b"\r\n0\r", b"\n\r\n"]), Some(2));
    assert_eq!(
        ends_at(&[b"no request\r\n\r\n"]),
        Some(0),
        "invalid input is refused too"
    );
}

#[test]
fn an_endless_head_is_refused_in_bounded_memory() {
    let mut request = RequestEndFinder::new();
    assert!(!request.push(b"GET / HTTP/1.1\r\n"));
    let line = [b"x: ", &[b'a'; 1_000][..], b"\r\n"].concat();
    let pushed = (0..1_000).position(|_| request.push(&line));
    assert!(pushed.is_some_and(|lines| lines < 70), "{pushed:?}");
}

/// Guards against a search of bytes for the end of a chunked request: it missed five of these six
/// ends, and the connection was closed after 1 s without a response.
#[test]
fn the_end_of_a_chunked_request_is_found_in_all_its_forms() {
    let head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let bodies: [&[u8]; 6] = [
        b"2\r\nab\r\n0\r\n\r\n",
        b"0\r\n\r\n",
        b"4\r\na\r\n0\r\n0\r\n\r\n",
        b"2\r\nab\r\n0\r\ndigest: a\r\n\r\n",
        b"2\r\nab\r\n000\r\n\r\n",
        b"2;a=b\r\nab\r\n0;last=\"yes\"\r\n\r\n",
    ];
    let missed: Vec<_> = bodies
        .iter()
        .map(|body| String::from_utf8_lossy(body))
        .filter(|body| ends_at(&[head, body.as_bytes()]) != Some(1))
        .collect();
    assert!(missed.is_empty(), "{missed:?}");
}

/// Guards against an end that is found within the data of a chunk.
#[test]
fn data_that_looks_like_a_last_chunk_is_no_end() {
    let head = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(
        ends_at(&[head, b"9\r\na\r\n0\r\n\r\nb", b"\r\n0\r\n", b"\r\n"]),
        Some(3)
    );
}

/// Guards against waiting for a body that the caller sends only after it was asked to.
#[test]
fn a_request_that_expects_continue_is_answered_at_its_head() {
    let head = b"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n";
    assert_eq!(ends_at(&[head]), Some(0));
}

/// Returns a generated request with a chunked body.
fn chunked_request(random: &mut StdRng) -> Vec<u8> {
    let mut request = b"POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    let extensions: [&[u8]; 4] = [b"", b"", b";a", b" ; a=\"0 1\""];
    for _ in 0..random.random_range(0..5) {
        let size: usize = random.random_range(1..40);
        let zeros = "0".repeat(random.random_range(0..3));
        request.extend_from_slice(format!("{zeros}{size:x}").as_bytes());
        request.extend_from_slice(extensions[random.random_range(0..4)]);
        request.extend_from_slice(b"\r\n");
        // Data that consists of parts of a last chunk.
        request.extend((0..size).map(|_| b"\r\n0;a"[random.random_range(0..5)]));
        request.extend_from_slice(b"\r\n");
    }
    request.extend_from_slice("0".repeat(random.random_range(1..20)).as_bytes());
    request.extend_from_slice(extensions[random.random_range(0..4)]);
    request.extend_from_slice(b"\r\n");
    for _ in 0..random.random_range(0..3) {
        request.extend_from_slice(b"digest: 0\r\n");
    }
    request.extend_from_slice(b"\r\n");
    request
}

/// Guards against an end that is found early, late or never, however the bytes of a request are
/// split: its last byte is known from how it was generated.
#[test]
fn generated_chunked_requests_end_with_their_last_byte() {
    for seed in 0..5_000 {
        let mut random = StdRng::seed_from_u64(seed);
        let request = chunked_request(&mut random);
        let mut finder = RequestEndFinder::new();
        let mut rest = &request[..];
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(random.random_range(1..=rest.len().min(30)));
            rest = after;
            let is_answerable = finder.push(piece);
            let shown = || format!("seed {seed}: {}", String::from_utf8_lossy(&request));
            assert_eq!(is_answerable, rest.is_empty(), "{}", shown());
            assert_eq!(finder.is_complete(), rest.is_empty(), "{}", shown());
        }
    }
}

/// Guards against waiting for the end of what is no request, and against memory that grows with
/// it: any bytes are either answerable or part of a request.
#[test]
fn generated_bytes_are_processed_in_bounded_memory() {
    for seed in 0..2_000 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut request = chunked_request(&mut random);
        for _ in 0..random.random_range(1..6) {
            let at = random.random_range(0..request.len());
            request[at] = random.random();
        }
        let mut finder = RequestEndFinder::new();
        request.chunks(7).for_each(|piece| {
            finder.push(piece);
        });
        if finder.remaining != Remaining::Head {
            assert_eq!(finder.head.capacity(), 0, "seed {seed}");
        }
    }
    let mut finder = RequestEndFinder::new();
    finder.push(b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0;");
    assert!((0..10_000).all(|_| !finder.push(&[b'a'; 1_000])));
    assert!(finder.push(b"\r\n\r\n") && finder.is_complete());
}

/// Guards against taking a body of unknown length for a request without one.
#[test]
fn a_body_of_unknown_length_is_not_taken_for_a_complete_request() {
    for header in [
        "content-length: x",
        "content-length: +5",
        "content-length: 5\r\ncontent-length: 6",
        "transfer-encoding: gzip",
        "transfer-encoding: chunked, gzip",
    ] {
        let mut finder = RequestEndFinder::new();
        let head = format!("POST / HTTP/1.1\r\n{header}\r\n\r\n");
        assert!(finder.push(head.as_bytes()), "{header}");
        assert!(!finder.is_complete(), "{header}");
    }
}
