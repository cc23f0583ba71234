use super::*;

#[test]
fn hop_by_hop_headers_are_removed() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, X-Secret"),
        ("x-secret", "1"),
        ("keep-alive", "timeout=5"),
        ("transfer-encoding", "chunked"),
        ("content-length", "5"),
        ("te", "trailers"),
        ("upgrade", "h2c"),
        ("expect", "100-continue"),
        ("x-kept", "1"),
    ] {
        headers.insert(name, HeaderValue::from_static(value));
    }
    strip_connection_headers(&mut headers);
    let names: Vec<&str> = headers.keys().map(HeaderName::as_str).collect();
    assert_eq!(names, ["x-kept"]);
}

#[test]
fn a_refusal_carries_retry_after() {
    let after = Duration::from_millis(350);
    let status = StatusCode::TOO_MANY_REQUESTS;
    let response = LocalResponse::with_retry_after(status, "beyond_share", after).into_response();
    assert_eq!(response.status(), 429);
    assert_eq!(response.headers()["retry-after"], "0.35");
    let response = LocalResponse::new(StatusCode::BAD_GATEWAY, "endpoint_failed").into_response();
    assert!(!response.headers().contains_key("retry-after"));
}

/// Only a length, or chunks as the last transfer encoding, delimit a body.
#[test]
fn bodies_without_length_or_chunks_end_with_the_connection() {
    let ends = |status: u16, headers: &[(&'static str, &'static str)]| {
        let mut response = Response::builder().status(status);
        for (name, value) in headers {
            response = response.header(*name, *value);
        }
        let (head, ()) = response.body(()).unwrap().into_parts();
        ends_with_connection(&head)
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
