use daisynotch_core::Timestamp;
use daisynotch_core::direct::{CrashedEndpoint, FailedEndpoint, MessageTiming};
use daisynotch_objects::EndpointId;

use super::*;

fn crashes() -> CrashNews {
    CrashNews {
        crashes: vec![CrashedEndpoint {
            endpoint: EndpointId(7),
            age_ms: 5,
        }],
        ..CrashNews::default()
    }
}

/// Routers of an earlier version leave out what says nothing, and send no timing.
#[test]
fn news_of_an_earlier_version_are_decoded() {
    let (news, rest) = News::decode(&[]).unwrap();
    assert!(news.crashes.is_empty() && news.limits.is_empty() && rest.is_empty());
    let encoded = postcard::to_stdvec(&crashes()).unwrap();
    let (news, rest) = News::decode(&encoded).unwrap();
    assert_eq!(news.crashes, crashes());
    assert!(news.limits.is_empty() && rest.is_empty());
}

#[test]
fn timing_follows_news_that_say_nothing() {
    let timing = MessageTiming {
        written_at: Timestamp(9),
        echo: None,
    };
    let encoded = postcard::to_stdvec(&(CrashNews::default(), LimitNews::default(), timing));
    let encoded = encoded.unwrap();
    let (news, rest) = News::decode(&encoded).unwrap();
    assert!(news.crashes.is_empty() && news.limits.is_empty());
    assert_eq!(postcard::from_bytes::<MessageTiming>(rest), Ok(timing));
}

/// Routers of an earlier version end the fleet news with the evacuations.
#[test]
fn signs_of_cold_endpoints_follow_the_evacuations() {
    let evacuations = EvacuationNews::default();
    let earlier = postcard::to_stdvec(&evacuations).unwrap();
    assert!(FleetNews::decode(&earlier).unwrap().cold.is_empty());
    assert!(FleetNews::decode(&[]).unwrap().cold.is_empty());
    let cold = ColdNews {
        failed: vec![FailedEndpoint {
            endpoint: EndpointId(7),
            age_ms: 5,
        }],
        returned: Vec::new(),
    };
    let encoded = postcard::to_stdvec(&(&evacuations, &cold)).unwrap();
    assert_eq!(FleetNews::decode(&encoded).unwrap().cold, cold);
    let (read, _): (EvacuationNews, _) = postcard::take_from_bytes(&encoded).unwrap();
    assert_eq!(read, evacuations);
}
