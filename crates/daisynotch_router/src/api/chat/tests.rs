use super::*;

const BODY: &[u8] = br#"{"model":"conseil-lm","stream":true,"max_tokens":64,"messages":[]}"#;

fn assert_borne(body: &[u8]) {
    if let Ok(request) = ChatRequest::parse(body) {
        let estimate = request.estimate(body);
        let is_long = estimate.class == LengthClass::Long;
        assert_eq!(is_long, estimate.hint >= LONG_HINT);
    }
}

#[test]
fn any_body_is_borne() {
    bolero::check!().for_each(assert_borne);
}

#[test]
fn an_edited_body_is_borne() {
    bolero::check!()
        .with_type::<(u8, u8, Vec<u8>)>()
        .for_each(|(at, removed, inserted)| {
            let start = usize::from(*at) % BODY.len();
            let end = (start + usize::from(*removed)).min(BODY.len());
            assert_borne(&[&BODY[..start], inserted, &BODY[end..]].concat());
        });
}

#[test]
fn the_greatest_bounds_are_borne() {
    let bound = u64::MAX;
    let body = format!(r#"{{"model":"m","max_tokens":{bound},"max_completion_tokens":{bound}}}"#);
    assert!(ChatRequest::parse(body.as_bytes()).is_ok());
    assert_borne(body.as_bytes());
}
