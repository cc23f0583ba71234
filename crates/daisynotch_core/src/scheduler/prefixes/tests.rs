use super::*;

#[test]
fn the_table_is_bounded_and_drops_the_oldest() {
    let mut prefixes = Prefixes::default();
    for prefix in 0..=PREFIXES_MAX as u32 {
        prefixes.remember(PrefixFingerprint(prefix), EndpointId(prefix));
    }
    assert_eq!(prefixes.endpoint_of(PrefixFingerprint(0)), None);
    assert_eq!(
        prefixes.endpoint_of(PrefixFingerprint(1)),
        Some(EndpointId(1))
    );
    assert_eq!(prefixes.endpoints.len(), PREFIXES_MAX);
}
