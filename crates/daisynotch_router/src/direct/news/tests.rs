use daisynotch_core::Timestamp;
use daisynotch_core::direct::{
    CrashedEndpoint, EndpointSpeed, FailedEndpoint, MessageTiming, StorePosition,
};
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

/// Routers of an earlier version send no speeds, or no fleet news at all, and ignore what follows the
/// parts that they know.
#[test]
fn fleet_news_of_an_earlier_version_are_decoded() {
    assert_eq!(FleetNews::decode(&[]).unwrap().speeds, SpeedNews::default());
    let evacuations = EvacuationNews {
        at: StorePosition::default(),
        orders: Vec::new(),
    };
    let encoded = postcard::to_stdvec(&evacuations).unwrap();
    let earlier = FleetNews::decode(&encoded).unwrap();
    assert_eq!(
        (earlier.evacuations, earlier.speeds),
        (evacuations.clone(), SpeedNews::default())
    );
    let speeds = SpeedNews {
        speeds: vec![EndpointSpeed {
            endpoint: EndpointId(u32::MAX),
            slowdown_log2_16: -12,
            age_ds: 3,
        }],
    };
    let mut encoded = postcard::to_stdvec(&(&evacuations, ColdNews::default(), &speeds)).unwrap();
    let (known, _) = postcard::take_from_bytes::<EvacuationNews>(&encoded).unwrap();
    assert_eq!(known, evacuations);
    assert_eq!(FleetNews::decode(&encoded).unwrap().speeds, speeds);
    let work = WorkNews {
        events_left: vec![0, 7, u32::MAX],
    };
    encoded.extend(postcard::to_stdvec(&work).unwrap());
    // What a later version adds is ignored.
    encoded.push(7);
    let news = FleetNews::decode(&encoded).unwrap();
    assert_eq!((news.speeds, news.work), (speeds, work));
}

/// Digests are most of the traffic between zones.
#[test]
fn speeds_take_few_bytes_of_a_digest() {
    let speed = EndpointSpeed {
        endpoint: EndpointId(u32::MAX),
        slowdown_log2_16: i8::MIN,
        age_ds: u8::MAX,
    };
    let news = SpeedNews {
        speeds: vec![speed; SPEEDS_MAX],
    };
    let encoded = postcard::to_stdvec(&news).unwrap();
    assert!(encoded.len() <= 40, "{}", encoded.len());
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
