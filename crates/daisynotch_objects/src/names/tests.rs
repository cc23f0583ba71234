use super::*;

#[test]
fn accepts_the_names_of_the_brief() {
    for name in ["kaolack-nord", "sc-a", "weaver-llm", "7-days"] {
        assert_eq!(
            name.parse::<ZoneName>().map(|zone| zone.to_string()),
            Ok(name.to_owned())
        );
    }
}

#[test]
fn refuses_names_that_would_confuse_a_reader_or_a_path() {
    let long = "a".repeat(64);
    for name in ["", "-a", "A", "a/b", "é", " a", long.as_str()] {
        assert!(name.parse::<TeamName>().is_err(), "{name}");
    }
}
