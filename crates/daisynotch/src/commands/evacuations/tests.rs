use super::*;

fn evacuated(zone: &str, running: usize, problem: Option<&str>) -> EvacuatedZone {
    EvacuatedZone {
        zone: zone.to_owned(),
        since: "1.42".to_owned(),
        running,
        problem: problem.map(str::to_owned),
    }
}

/// Guards against a list that hides a doubtful order, or from which an operator can't tell whether
/// a zone is free of requests.
#[test]
fn list_names_zones_running_requests_and_problems() {
    let zones = [
        evacuated("kaolack-nord", 3, None),
        evacuated("kaolack-sud", 1, None),
        evacuated(
            "koalack",
            0,
            Some("the zone has no endpoints; check its name"),
        ),
    ];
    insta::assert_snapshot!(to_text(&zones), @r"
    kaolack-nord: evacuated since 1.42; 3 requests of this router still run there
    kaolack-sud: evacuated since 1.42; 1 request of this router still runs there
    koalack: evacuated since 1.42; 0 requests of this router still run there; the zone has no endpoints; check its name
    ");
    insta::assert_snapshot!(to_text(&[]), @"no zone is evacuated");
}
