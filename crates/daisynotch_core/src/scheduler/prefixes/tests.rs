use super::*;

#[test]
fn table_is_bounded_and_evicts_the_oldest_prefix() {
    let mut prefixes = Prefixes::default();
    for prefix in 0..=PREFIXES_MAX as u32 {
        prefixes.record(PrefixFingerprint(prefix), EndpointId(prefix));
    }
    assert_eq!(prefixes.endpoint_of(PrefixFingerprint(0)), None);
    assert_eq!(
        prefixes.endpoint_of(PrefixFingerprint(1)),
        Some(EndpointId(1))
    );
    assert_eq!(prefixes.endpoints.len(), PREFIXES_MAX);
}
