use super::*;

const TEXT: &str = r#"# HELP daisynotch_requests_total Ended requests.
daisynotch_requests_total{outcome="done",route="conseil",team="kaolack-1"} 7
daisynotch_requests_total{outcome="failed",route="conseil",team="kaolack-1"} 1
daisynotch_first_token_seconds_bucket{route="conseil",team="kaolack-1",le="0.32"} 5
daisynotch_first_token_seconds_bucket{route="conseil",team="kaolack-1",le="+Inf"} 7
daisynotch_first_token_seconds_count{route="conseil",team="kaolack-1"} 7
daisynotch_open_requests 3
"#;

#[test]
fn counters_are_grouped_by_route_and_team() {
    let series = parse_metrics(TEXT);
    assert_eq!(series.len(), 1);
    let counters = &series[0].counters;
    assert_eq!(counters.ended["done"], 7);
    assert_eq!(counters.ended["failed"], 1);
    assert_eq!(counters.first_token_by_us, BTreeMap::from([(320_000, 5)]));
    assert_eq!(counters.first_tokens, 7);
}

#[test]
fn arbitrary_text_does_not_panic() {
    bolero::check!().with_type::<String>().for_each(|text| {
        parse_metrics(text);
    });
}

#[test]
fn edited_metrics_do_not_panic() {
    bolero::check!()
        .with_type::<(u16, u8, String)>()
        .for_each(|(at, removed, inserted)| {
            let start = usize::from(*at) % TEXT.len();
            let end = (start + usize::from(*removed)).min(TEXT.len());
            parse_metrics(&format!("{}{inserted}{}", &TEXT[..start], &TEXT[end..]));
        });
}
