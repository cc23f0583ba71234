use super::*;

#[test]
fn timestamps_are_formatted_in_utc() {
    let text = |seconds| format_utc(Duration::from_secs(seconds));
    assert_eq!(text(0), "1970-01-01T00:00:00Z");
    assert_eq!(text(951_782_399), "2000-02-28T23:59:59Z");
    assert_eq!(text(951_782_400), "2000-02-29T00:00:00Z");
    assert_eq!(text(1_798_761_599), "2026-12-31T23:59:59Z");
}
