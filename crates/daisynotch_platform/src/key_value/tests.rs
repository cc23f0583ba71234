use super::*;

const ANSWER: &[u8] = br#"{"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"7"}],"count":"1"}"#;

fn assert_borne(body: &[u8]) {
    let address = "127.0.0.1:9".parse().expect("it is an address");
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
fn any_answer_is_borne() {
    bolero::check!().for_each(assert_borne);
}

#[test]
fn an_edited_answer_is_borne() {
    bolero::check!()
        .with_type::<(u8, u8, Vec<u8>)>()
        .for_each(|(at, removed, inserted)| {
            let start = usize::from(*at) % ANSWER.len();
            let end = (start + usize::from(*removed)).min(ANSWER.len());
            assert_borne(&[&ANSWER[..start], inserted, &ANSWER[end..]].concat());
        });
}
