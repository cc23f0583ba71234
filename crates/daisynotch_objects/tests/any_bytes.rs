//! Fuzz tests: arbitrary text is either rejected or survives a round trip through TOML.

use daisynotch_objects::{Objects, check};

const OBJECTS: &str = r#"
[share.groundnut]
weight = 2
[team.kaolack-1]
share = "groundnut"
limits = "shop"
[limits.shop]
queued_requests = 4
[pool.conseil-lm]
kind = "inference"
slots = 4
[endpoint.conseil-1]
pool = "conseil-lm"
zone = "fatick"
address = "127.0.0.1:9"
[route.conseil]
pool = "conseil-lm"
model = "conseil-lm"
[service_level.first-token]
route = "conseil"
first_token_ms = 320
target_per_10000 = 9500
"#;

/// Replaces a range of the valid objects, so most of the text still parses.
fn edited(at: u16, removed: u8, inserted: &str) -> String {
    let start = usize::from(at) % OBJECTS.len();
    let end = (start + usize::from(removed)).min(OBJECTS.len());
    format!("{}{inserted}{}", &OBJECTS[..start], &OBJECTS[end..])
}

/// Asserts that valid objects survive a round trip through TOML; rejected text passes.
fn assert_round_trips(text: &str) {
    let Ok(objects) = text.parse::<Objects>() else {
        return;
    };
    let _ = check(&objects);
    let written = objects.to_toml().expect("parsed objects serialize to TOML");
    assert_eq!(written.parse(), Ok(objects), "{text}");
}

#[test]
fn base_objects_are_valid() {
    let objects = OBJECTS.parse().expect("the base objects parse");
    assert!(check(&objects).is_empty());
}

#[test]
fn arbitrary_text_is_rejected_or_round_trips() {
    bolero::check!()
        .with_type::<String>()
        .for_each(|text| assert_round_trips(text));
}

#[test]
fn edited_objects_are_rejected_or_round_trip() {
    bolero::check!()
        .with_type::<(u16, u8, String)>()
        .for_each(|(at, removed, inserted)| assert_round_trips(&edited(*at, *removed, inserted)));
}
