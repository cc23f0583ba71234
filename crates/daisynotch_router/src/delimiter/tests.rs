use hyper::Response;

use super::*;

/// Only a length, or chunks as the last transfer encoding, delimit a body.
#[test]
fn bodies_without_length_or_chunks_end_with_the_connection() {
    let ends = |status: u16, headers: &[(&'static str, &'static str)]| {
        let mut response = Response::builder().status(status);
        for (name, value) in headers {
            response = response.header(*name, *value);
        }
        let (head, ()) = response.body(()).unwrap().into_parts();
        body_delimiter(&head) == Delimiter::Connection
    };
    assert!(ends(200, &[]));
    assert!(ends(200, &[("connection", "close")]));
    assert!(ends(200, &[("transfer-encoding", "identity")]));
    assert!(ends(
        200,
        &[("transfer-encoding", "identity"), ("content-length", "5")]
    ));
    assert!(ends(200, &[("transfer-encoding", "chunked, gzip")]));
    assert!(!ends(200, &[("transfer-encoding", "gzip, Chunked")]));
    assert!(!ends(
        200,
        &[
            ("transfer-encoding", "gzip"),
            ("transfer-encoding", "chunked")
        ]
    ));
    assert!(!ends(200, &[("content-length", "0")]));
    assert!(!ends(204, &[]));
    assert!(!ends(304, &[]));
}
