use super::*;

const SETTINGS: &str = r#"
router = "kaolack-a"
zone = "fatick"
caller_address = "127.0.0.1:8000"
peer_address = "127.0.0.1:8001"
key_value_address = "127.0.0.1:2379"
entry_keep_ms = 5000
[[peers]]
router = "kaolack-b"
address = "127.0.0.1:8011"
[http]
body_max_bytes = 1000
"#;

#[test]
fn arbitrary_text_does_not_panic() {
    bolero::check!().with_type::<String>().for_each(|text| {
        let _ = Settings::parse(text);
    });
}

#[test]
fn mutated_settings_are_rejected_or_valid() {
    let edit = |at: u16, removed: u8, inserted: &str| {
        let start = usize::from(at) % SETTINGS.len();
        let end = (start + usize::from(removed)).min(SETTINGS.len());
        format!("{}{inserted}{}", &SETTINGS[..start], &SETTINGS[end..])
    };
    bolero::check!()
        .with_type::<(u16, u8, String)>()
        .for_each(|(at, removed, inserted)| {
            if let Ok(settings) = Settings::parse(&edit(*at, *removed, inserted)) {
                assert!(settings.entry_keep_ms > 0);
                assert!(settings.http.body_max_bytes > 0);
            }
        });
}
