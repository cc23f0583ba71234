use super::*;
use crate::burn::{BurnWindows, RouterStatus};

fn report() -> BurnReport {
    let point = |time_ms, burn| CurvePoint { time_ms, burn };
    BurnReport {
        time_ms: 4,
        windows: BurnWindows::default(),
        routers: vec![RouterStatus {
            router: "127.0.0.1:9".parse().expect("the address is valid"),
            missing: Some("<refused>".to_owned()),
        }],
        rows: vec![BurnRow {
            service_level: "first-token".to_owned(),
            team: "kaolack-1".to_owned(),
            requests: 10,
            bad: 1,
            budget_left: Some(0.5),
            short_burn: Some(0.5),
            long_burn: None,
            curve: vec![
                point(1, Some(0.5)),
                point(2, Some(4.0)),
                point(3, None),
                point(4, Some(1.0)),
            ],
        }],
    }
}

#[test]
fn the_page_is_complete_and_loads_nothing_external() {
    let page = to_html(&report());
    assert!(page.starts_with("<!doctype html>") && page.ends_with("</html>\n"));
    for external in ["http", "src=", "href=", "@import"] {
        assert!(!page.contains(external), "{external}");
    }
}

#[test]
fn a_missing_router_is_named_and_its_reason_is_escaped() {
    let page = to_html(&report());
    assert!(
        page.contains("127.0.0.1:9 is missing: &lt;refused&gt;"),
        "{page}"
    );
}

#[test]
fn a_time_without_requests_is_a_gap_in_the_curve() {
    let page = to_html(&report());
    assert_eq!(page.matches("<polyline").count(), 1);
    assert_eq!(page.matches("<circle").count(), 1);
}
