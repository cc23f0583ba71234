use super::*;

const RESPONSE: &[u8] =
    br#"[{"targets":["10.0.0.7:8001"],"labels":{"router":"kaolack-a","zone":"fatick","state":"live"}}]"#;

/// Decodes an arbitrary body; the decoded values must not exceed what the body holds.
fn decode_arbitrary(body: &[u8]) {
    if let Ok(groups) = serde_json::from_slice::<Vec<TargetGroup>>(body) {
        let targets: usize = groups.iter().map(|group| group.targets.len()).sum();
        let hosts = groups.iter().flat_map(listed_hosts).count();
        assert!(hosts <= targets);
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
