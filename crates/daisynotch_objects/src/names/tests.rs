use super::*;

#[test]
fn accepts_lowercase_letters_digits_and_hyphens() {
    for name in ["kaolack-nord", "sc-a", "weaver-llm", "7-days"] {
        assert_eq!(
            name.parse::<ZoneName>().map(|zone| zone.to_string()),
            Ok(name.to_owned())
        );
    }
}

/// Such names could mislead a reader or break a path that contains them.
#[test]
fn rejects_malformed_and_overlong_names() {
    let long = "a".repeat(64);
    for name in ["", "-a", "A", "a/b", "é", " a", long.as_str()] {
        assert!(name.parse::<TeamName>().is_err(), "{name}");
    }
}
