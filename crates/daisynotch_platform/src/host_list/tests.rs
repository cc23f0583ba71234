use super::*;

const ANSWER: &[u8] =
    br#"[{"targets":["10.0.0.7:8001"],"labels":{"router":"kaolack-a","zone":"fatick","state":"live"}}]"#;

fn assert_borne(body: &[u8]) {
    if let Ok(groups) = serde_json::from_slice::<Vec<TargetGroup>>(body) {
        let targets: usize = groups.iter().map(|group| group.targets.len()).sum();
        let hosts = groups.iter().flat_map(listed_hosts).count();
        assert!(hosts <= targets);
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
