//! Finds out what delimits the body of an endpoint's response.

use daisynotch_core::Delimiter;
use hyper::StatusCode;
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::http::response::Parts as ResponseHead;

/// Returns what delimits the body of a response.
///
/// A transfer encoding overrides the length, and only `chunked` as the last one delimits the body.
pub(crate) fn body_delimiter(head: &ResponseHead) -> Delimiter {
    let has_no_body = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&head.status);
    let mut encodings = head.headers.get_all(TRANSFER_ENCODING).iter();
    let is_framed = match encodings.next_back() {
        Some(encodings) => is_chunked(encodings),
        None => head.headers.contains_key(CONTENT_LENGTH),
    };
    if has_no_body || is_framed {
        Delimiter::Framing
    } else {
        Delimiter::Connection
    }
}

fn is_chunked(encodings: &HeaderValue) -> bool {
    let last = encodings
        .to_str()
        .ok()
        .and_then(|text| text.rsplit(',').next());
    last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked"))
}

#[cfg(test)]
mod tests;
