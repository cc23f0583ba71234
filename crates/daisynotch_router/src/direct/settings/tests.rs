use super::*;

const TEXT: &str = r#"
router = "edge-a-1"
zone = "a"
caller_address = "10.1.0.33:8783"
ready_address = "10.1.0.33:8780"
directory_address = "10.1.0.33:8789"
peer_address = "10.1.0.33:7400"
metrics_address = "10.1.0.33:9464"
store_address = "10.200.1.7:8781"
seeds = ["10.1.0.33:8785"]
cpu_cores = 0.25
descriptors_max = 4100
memory_max_mb = 110
address_ttl_max_s = 5
leave_max_s = 8
share_window_s = 4

[retry]
ratio = 0.2
allowance = 58
window_s = 10
[credentials]
fail_closed = true
revoked_within_ms = 5000
"#;

#[test]
fn a_complete_settings_file_is_parsed() {
    let settings = DirectSettings::parse(TEXT).unwrap();
    assert_eq!(settings.dispatcher().retry_budget.allowance, 58.0);
    assert_eq!(settings.dispatcher().shares.window, Duration::from_secs(4));
}

/// A fleet that does not ask for learned costs is served as before.
#[test]
fn costs_are_learned_only_on_request() {
    let settings = DirectSettings::parse(TEXT).unwrap();
    assert_eq!(settings.dispatcher().cost_model, CostModel::Stated);
    let learned = format!("request_cost = \"learned\"\n{TEXT}");
    let settings = DirectSettings::parse(&learned).unwrap();
    assert_eq!(settings.dispatcher().cost_model, CostModel::Learned);
    let odd = format!("request_cost = \"guessed\"\n{TEXT}");
    let error = DirectSettings::parse(&odd).unwrap_err().to_string();
    assert!(error.contains("stated"), "{error}");
}

#[test]
fn the_connection_limit_follows_from_memory_and_descriptors() {
    let max = |from: &str, to: &str| {
        let settings = DirectSettings::parse(&TEXT.replace(from, to)).unwrap();
        settings.caller_connections_max()
    };
    assert_eq!(max("110", "100000"), 2_900);
    assert!(max("110", "64") < max("110", "110"));
    assert_eq!(max("4100", "200"), 1);
}

#[test]
fn errors_name_the_key_and_the_accepted_values() {
    let error = |from: &str, to: &str| {
        let error = DirectSettings::parse(&TEXT.replace(from, to)).unwrap_err();
        error.to_string()
    };
    insta::assert_snapshot!(
        error("leave_max_s = 8", "leave_max_s = 0"),
        @"settings: `leave_max_s` is 0: give a number above 0, up to 86,400"
    );
    insta::assert_snapshot!(
        error("ratio = 0.2", "ratio = -1"),
        @"settings: `retry.ratio` is -1: give 0 or more"
    );
    assert!(error("seeds", "sedes").contains("unknown field `sedes`"));
    assert!(error("share_window_s = 4", "").contains("missing field `share_window_s`"));
}

/// Settings files of deployments without cold endpoints have no such table.
#[test]
fn bounds_of_cold_endpoints_are_optional() {
    let cold = |text: &str| DirectSettings::parse(text).map(|settings| settings.dispatcher().cold);
    assert_eq!(cold(TEXT).unwrap(), ColdSettings::default());
    let both = format!("cold.overrun = 1.2\ncold.tolerance = 3\n{TEXT}");
    let expected = ColdSettings {
        overrun: 1.2,
        tolerance: 3.0,
    };
    assert_eq!(cold(&both).unwrap(), expected);
    let table = format!("{TEXT}\n[cold]\ntolerance = 4\n");
    assert_eq!(cold(&table).unwrap().tolerance, 4.0);
    assert_eq!(cold(&table).unwrap().overrun, 1.5);
    for odd in [
        "overrun = -1",
        "tolerance = nan",
        "overrun = inf",
        "over = 1",
    ] {
        assert!(cold(&format!("{TEXT}\n[cold]\n{odd}\n")).is_err(), "{odd}");
    }
}
