use super::*;

const RESPONSE: &[u8] =
    br#"{"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"7"}],"count":"1"}"#;

/// Decodes an arbitrary body; the decoded values must not exceed what the body holds.
fn decode_arbitrary(body: &[u8]) {
    let address = "127.0.0.1:9".parse().expect("the address is valid");
    let client = KeyValueClient::new(address, Duration::from_secs(1));
    let _ = serde_json::from_slice::<TxnResponse>(body);
    let Ok(response) = serde_json::from_slice::<RangeResponse>(body) else {
        return;
    };
    for kv in &response.kvs {
        if let Ok(stored) = client.decode(kv) {
            assert!(stored.value.len() <= body.len());
        }
    }
}

#[test]
fn any_response_decodes_without_panic() {
    bolero::check!().for_each(decode_arbitrary);
}

#[test]
fn an_edited_response_decodes_without_panic() {
    bolero::check!()
        .with_type::<(u8, u8, Vec<u8>)>()
        .for_each(|(at, removed, inserted)| {
            let start = usize::from(*at) % RESPONSE.len();
            let end = (start + usize::from(*removed)).min(RESPONSE.len());
            decode_arbitrary(&[&RESPONSE[..start], inserted, &RESPONSE[end..]].concat());
        });
}
