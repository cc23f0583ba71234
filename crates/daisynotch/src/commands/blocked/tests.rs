use super::*;

#[test]
fn list_names_parts_endpoints_and_times() {
    let blocked = BlockedParts {
        parts: vec!["28d8452a".to_owned(), "9047f126".to_owned()],
        crashed: vec!["i-1".to_owned(), "i-2".to_owned(), "i-3".to_owned()],
        age_ms: 12_400,
        trial_in_ms: 47_600,
        failed_trials: 0,
    };
    insta::assert_snapshot!(
        to_text(&[blocked]),
        @"28d8452a with 9047f126: 3 crashed (i-1, i-2, i-3), the latest 12 s ago; tried again in 48 s"
    );
    insta::assert_snapshot!(to_text(&[]), @"no part is blocked");
}

#[test]
fn error_names_the_address_to_check() {
    insta::assert_snapshot!(
        metrics_call_failed("127.0.0.1:1".parse().unwrap(), &"part 5 is not blocked"),
        @"router at 127.0.0.1:1: part 5 is not blocked; check that this is the router's `metrics_address`"
    );
}
