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
