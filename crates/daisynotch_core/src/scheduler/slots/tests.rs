use super::*;
use crate::{Cost, PoolId, PrefixFingerprint, Revision, TeamId, TicketSeq, ZoneId};

const LIMIT: u32 = 8;

fn slots(count: u32) -> EndpointSlots {
    let mut text = format!("[pool.conseil-lm]\nkind = \"inference\"\nslots = {LIMIT}\n");
    for index in 0..count {
        text += &format!("[endpoint.e-{index}]\npool = \"conseil-lm\"\nzone = \"fatick\"\n");
        text += "address = \"127.0.0.1:9\"\n";
    }
    let objects = text.parse().expect("the objects are valid");
    let catalogue = Catalogue::new(Revision(1), &objects);
    let pool = PoolId::from(&"conseil-lm".parse().expect("the name is valid"));
    let mut slots = EndpointSlots::default();
    slots.configure(catalogue.shards_of(pool)[0], &catalogue);
    slots
}

fn ticket(class: LengthClass) -> Ticket {
    Ticket {
        seq: TicketSeq(1),
        shard: ShardId {
            pool: PoolId(0),
            zone: ZoneId(0),
        },
        team: TeamId(1),
        hint: Cost(10),
        class,
        prefix: None,
        avoid: None,
        waited_ms: 0,
    }
}

fn at(time_ms: u64) -> Timestamp {
    Timestamp(time_ms * 1_000)
}

fn choose(slots: &EndpointSlots, class: LengthClass, quota: LongQuota) -> Option<EndpointId> {
    slots.choose(&ticket(class), quota, Health::Slow, at(0))
}

#[test]
fn long_work_keeps_to_its_quota_unless_it_may_exceed_it() {
    let mut slots = slots(1);
    for _ in 0..6 {
        let id = choose(&slots, LengthClass::Long, LongQuota::Enforced)
            .expect("the quota is not used up");
        slots.take(id, LengthClass::Long);
    }
    assert_eq!(choose(&slots, LengthClass::Long, LongQuota::Enforced), None);
    assert!(choose(&slots, LengthClass::Long, LongQuota::MayExceed).is_some());
}

#[test]
fn short_work_overflows_where_long_work_holds_every_slot() {
    let mut slots = slots(1);
    while let Some(id) = choose(&slots, LengthClass::Long, LongQuota::MayExceed) {
        slots.take(id, LengthClass::Long);
    }
    let mut short = 0;
    while let Some(id) = choose(&slots, LengthClass::Short, LongQuota::Enforced) {
        slots.take(id, LengthClass::Short);
        short += 1;
    }
    assert_eq!(short, 2);
}

#[test]
fn slow_endpoint_is_the_last_choice_until_it_recovers() {
    let mut slots = slots(2);
    let slow = choose(&slots, LengthClass::Short, LongQuota::Enforced).expect("slots are free");
    slots.record_progress(slow, ObservedLatency::default(), at(0));
    for _ in 0..LIMIT {
        let other =
            choose(&slots, LengthClass::Short, LongQuota::Enforced).expect("slots are free");
        assert_ne!(other, slow);
        slots.take(other, LengthClass::Short);
    }
    assert_eq!(
        choose(&slots, LengthClass::Short, LongQuota::Enforced),
        Some(slow)
    );
    let fast = ObservedLatency {
        first_token_ms: Some(100),
        token_gap_us: Some(40_000),
    };
    slots.record_progress(slow, fast, at(1));
    assert_eq!(
        choose(&slots, LengthClass::Long, LongQuota::Enforced),
        Some(slow)
    );
}

#[test]
fn slowness_of_most_endpoints_is_attributed_to_load() {
    let mut slots = slots(3);
    let ids: Vec<EndpointId> = slots.endpoints.keys().copied().collect();
    for id in &ids[..2] {
        slots.record_progress(*id, ObservedLatency::default(), at(0));
        slots.take(ids[2], LengthClass::Short);
    }
    let chosen = choose(&slots, LengthClass::Short, LongQuota::Enforced);
    assert!(chosen.is_some_and(|id| id != ids[2]), "{chosen:?}");
}

#[test]
fn unreachable_endpoint_gets_no_work() {
    let mut slots = slots(1);
    let id = choose(&slots, LengthClass::Short, LongQuota::Enforced).expect("slots are free");
    slots.on_ended(
        id,
        ReleaseReason::Unreachable,
        ObservedLatency::default(),
        at(0),
        at(0),
    );
    assert_eq!(
        choose(&slots, LengthClass::Short, LongQuota::Enforced),
        None
    );
}

#[test]
fn prefix_goes_to_the_endpoint_that_served_it_while_a_slot_is_free() {
    let mut slots = slots(2);
    let mut ticket = ticket(LengthClass::Short);
    ticket.prefix = Some(PrefixFingerprint(7));
    let first = slots
        .choose(&ticket, LongQuota::Enforced, Health::Slow, at(0))
        .expect("slots are free");
    for _ in 0..LIMIT {
        assert_eq!(
            slots.choose(&ticket, LongQuota::Enforced, Health::Slow, at(0)),
            Some(first)
        );
        slots.grant(first, &ticket, at(0));
    }
    let other = slots.choose(&ticket, LongQuota::Enforced, Health::Slow, at(0));
    assert!(other.is_some_and(|id| id != first));
}
