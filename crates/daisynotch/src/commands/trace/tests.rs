use super::*;

const LOG: &str = r#"
  2.0 host-1 {"unix_ms":1000,"host":"host-1","event":"store_lost","detail":"refused"}
{"unix_ms":2000,"host":"host-1","event":"request","id":"r-1","outcome":"endpoint_failed","endpoint":"e-1"}
{"unix_ms":2001,"host":"host-1","event":"request","id":"r-2","outcome":"done","endpoint":"e-1"}
{"unix_ms":1500,"host":"host-2","event":"crowded","is_crowded":true}
{"unix_ms":1900,"host":"host-1","event":"endpoint","endpoint":"e-2","state":"usable"}
{"unix_ms":1950,"host":"host-1","event":"endpoint","endpoint":"e-1","state":"usable"}
{"unix_ms":9000,"host":"host-1","event":"store_regained"}
not a structured log line
"#;

#[test]
fn selection_includes_context_from_the_same_host_and_endpoint() {
    let mut lines: Vec<LogLine> = LOG.lines().filter_map(parse_line).collect();
    lines.sort_by_key(|line| line.unix_ms);
    let selected: Vec<String> = select_lines(&lines, "r-1")
        .into_iter()
        .map(to_text)
        .collect();
    assert_eq!(
        selected,
        [
            "1000 host-1 store_lost detail=\"refused\"",
            "1950 host-1 endpoint endpoint=\"e-1\" state=\"usable\"",
            "2000 host-1 request endpoint=\"e-1\" id=\"r-1\" outcome=\"endpoint_failed\"",
        ]
    );
}

#[test]
fn unknown_request_selects_no_lines() {
    let lines: Vec<LogLine> = LOG.lines().filter_map(parse_line).collect();
    assert!(select_lines(&lines, "r-9").is_empty());
}
