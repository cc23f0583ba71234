use super::*;

const LOG: &str = r#"
  2.0 host-1 {"unix_ms":1000,"host":"host-1","event":"store_lost","detail":"refused"}
{"unix_ms":2000,"host":"host-1","event":"request","id":"r-1","outcome":"endpoint_failed","endpoint":"e-1"}
{"unix_ms":2001,"host":"host-1","event":"request","id":"r-2","outcome":"done","endpoint":"e-1"}
{"unix_ms":1500,"host":"host-2","event":"crowded","is_crowded":true}
{"unix_ms":1900,"host":"host-1","event":"endpoint","endpoint":"e-2","state":"usable"}
{"unix_ms":1950,"host":"host-1","event":"endpoint","endpoint":"e-1","state":"usable"}
{"unix_ms":9000,"host":"host-1","event":"store_regained"}
not a line of ours
"#;

#[test]
fn a_request_comes_with_what_happened_around_it() {
    let mut lines: Vec<Line> = LOG.lines().filter_map(parse).collect();
    lines.sort_by_key(|line| line.unix_ms);
    let history: Vec<String> = history(&lines, "r-1").into_iter().map(to_text).collect();
    assert_eq!(
        history,
        [
            "1000 host-1 store_lost detail=\"refused\"",
            "1950 host-1 endpoint endpoint=\"e-1\" state=\"usable\"",
            "2000 host-1 request endpoint=\"e-1\" id=\"r-1\" outcome=\"endpoint_failed\"",
        ]
    );
}

#[test]
fn an_unknown_request_has_no_history() {
    let lines: Vec<Line> = LOG.lines().filter_map(parse).collect();
    assert!(history(&lines, "r-9").is_empty());
}
