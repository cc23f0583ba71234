use super::*;

fn stamp(version: u64, text: &str, eras: (u64, u64)) -> ConfigurationStamp {
    ConfigurationStamp {
        era_min: eras.0,
        ..ConfigurationStamp::new(version, text.as_bytes(), eras.1, None)
    }
}

#[test]
fn within_an_era_the_greater_version_is_newer() {
    let listed = stamp(9, "a", (0, 1));
    let written = stamp(11, "b", (1, 1));
    assert!(written.is_newer_than(&listed));
    assert!(!listed.is_newer_than(&written));
    // A router that has just started listed this one; a partitioned router holds the other.
    let listed = stamp(13, "c", (0, 1));
    assert!(listed.is_newer_than(&written));
    assert!(!written.is_newer_than(&listed));
}

#[test]
fn an_older_configuration_from_a_backup_is_not_newer_than_a_lost_one() {
    let lost = stamp(9, "a", (1, 1));
    let from_backup = stamp(7, "b", (0, 2));
    assert!(!from_backup.is_newer_than(&lost));
    assert!(lost.is_newer_than(&from_backup));
}

#[test]
fn a_configuration_written_after_a_restore_is_newer_whatever_its_version() {
    let lost = stamp(9, "a", (1, 1));
    let rewritten = stamp(9, "b", (0, 2));
    assert!(rewritten.is_newer_than(&lost));
    assert!(!lost.is_newer_than(&rewritten));
    let lower = stamp(8, "c", (2, 2));
    assert!(lower.is_newer_than(&lost));
    assert!(!lost.is_newer_than(&lower));
}

#[test]
fn stamps_of_the_same_configuration_join_their_bounds() {
    let mut held = stamp(9, "a", (1, 1));
    let listed = stamp(9, "a", (0, 3));
    assert!(held.is_same(&listed) && !listed.is_newer_than(&held));
    held.join(&listed);
    assert_eq!((held.era_min, held.era_max), (1, 3));
}

#[test]
fn positions_are_ordered_by_era_first() {
    let position = |era, revision| StorePosition { era, revision };
    assert!(position(2, 5) > position(1, 900));
    assert!(position(2, 6) > position(2, 5));
}

#[test]
fn displayed_text_parses_to_the_same_value() {
    let stamp = stamp(9, "a", (1, 2));
    assert_eq!(stamp.to_string().parse(), Ok(stamp));
    let position = StorePosition {
        era: 3,
        revision: 77,
    };
    assert_eq!("3.77".parse(), Ok(position));
    for text in ["", "3", "3.", "3.7.1", "a.7", "-3.7"] {
        assert_eq!(text.parse::<StorePosition>(), Err(StoreOrderError(2)));
    }
}

/// Requests from other routers contain positions and stamps as text.
#[test]
fn any_text_is_rejected_or_round_trips() {
    bolero::check!().with_type::<String>().for_each(|text| {
        if let Ok(position) = text.parse::<StorePosition>() {
            assert_eq!(position.to_string().parse(), Ok(position));
        }
        if let Ok(stamp) = text.parse::<ConfigurationStamp>() {
            assert_eq!(stamp.to_string().parse(), Ok(stamp));
        }
    });
}

/// Routers that learn of two configurations in different orders must choose the same one.
#[test]
fn at_most_one_of_two_stamps_is_newer() {
    bolero::check!()
        .with_type::<[(u8, u8, u8, u8); 2]>()
        .for_each(|pair| {
            let [one, other] = pair.map(|(version, content, era_min, more)| ConfigurationStamp {
                version: u64::from(version % 4),
                content: u64::from(content % 3),
                era_min: u64::from(era_min % 4),
                era_max: u64::from(era_min % 4 + more % 4),
            });
            assert!(!(one.is_newer_than(&other) && other.is_newer_than(&one)));
            assert!(!one.is_newer_than(&one));
        });
}
