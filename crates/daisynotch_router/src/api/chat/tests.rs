use super::*;

const BODY: &[u8] = br#"{"model":"conseil-lm","stream":true,"max_tokens":64,"messages":[]}"#;

/// Parsing and estimating must not panic, and the length class must follow from the cost.
fn assert_estimate_is_consistent(body: &[u8]) {
    if let Ok(request) = ChatRequest::parse(body) {
        let estimate = request.estimate(body);
        let is_long = estimate.class == LengthClass::Long;
        assert_eq!(is_long, estimate.hint >= LONG_COST_MIN);
    }
}

#[test]
fn arbitrary_bodies_do_not_panic() {
    bolero::check!().for_each(assert_estimate_is_consistent);
}

#[test]
fn mutated_request_bodies_do_not_panic() {
    bolero::check!()
        .with_type::<(u8, u8, Vec<u8>)>()
        .for_each(|(at, removed, inserted)| {
            let start = usize::from(*at) % BODY.len();
            let end = (start + usize::from(*removed)).min(BODY.len());
            assert_estimate_is_consistent(&[&BODY[..start], inserted, &BODY[end..]].concat());
        });
}

#[test]
fn the_largest_token_limits_do_not_overflow() {
    let bound = u64::MAX;
    let body = format!(r#"{{"model":"m","max_tokens":{bound},"max_completion_tokens":{bound}}}"#);
    assert!(ChatRequest::parse(body.as_bytes()).is_ok());
    assert_estimate_is_consistent(body.as_bytes());
}
