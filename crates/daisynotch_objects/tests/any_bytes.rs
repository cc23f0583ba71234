//! Objects that come from outside are refused or taken in whole, whatever they hold.

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

/// Replaces a part of valid objects, so that most of the text is understood.
fn edited(at: u16, removed: u8, inserted: &str) -> String {
    let start = usize::from(at) % OBJECTS.len();
    let end = (start + usize::from(removed)).min(OBJECTS.len());
    format!("{}{inserted}{}", &OBJECTS[..start], &OBJECTS[end..])
}

fn assert_borne(text: &str) {
    let Ok(objects) = text.parse::<Objects>() else {
        return;
    };
    let _ = check(&objects);
    let written = objects.to_toml().expect("parsed objects can be written");
    assert_eq!(written.parse(), Ok(objects), "{text}");
}

#[test]
fn the_objects_to_edit_are_valid() {
    let objects = OBJECTS.parse().expect("they can be read");
    assert!(check(&objects).is_empty());
}

#[test]
fn any_text_is_refused_or_read_back_the_same() {
    bolero::check!()
        .with_type::<String>()
        .for_each(|text| assert_borne(text));
}

#[test]
fn edited_objects_are_refused_or_read_back_the_same() {
    bolero::check!()
        .with_type::<(u16, u8, String)>()
        .for_each(|(at, removed, inserted)| assert_borne(&edited(*at, *removed, inserted)));
}
