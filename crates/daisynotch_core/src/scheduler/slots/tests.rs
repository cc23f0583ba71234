use super::*;
use crate::{Cost, PoolId, PrefixFingerprint, Revision, TeamId, TicketSeq, ZoneId};

const LIMIT: u32 = 8;

fn slots(count: u32) -> EndpointSlots {
    let mut text = format!("[pool.conseil-lm]\nkind = \"inference\"\nslots = {LIMIT}\n");
    for index in 0..count {
        text += &format!("[endpoint.e-{index}]\npool = \"conseil-lm\"\nzone = \"fatick\"\n");
        text += "address = \"127.0.0.1:9\"\n";
    }
    let objects = text.parse().expect("the objects can be read");
    let catalogue = Catalogue::new(Revision(1), &objects);
    let pool = PoolId::from(&"conseil-lm".parse().expect("it is a name"));
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

fn choose(slots: &EndpointSlots, class: LengthClass, share: LongShare) -> Option<EndpointId> {
    slots.choose(&ticket(class), share, at(0))
}

#[test]
fn long_work_keeps_to_its_share_unless_it_may_borrow() {
    let mut slots = slots(1);
    for _ in 0..6 {
        let id =
            choose(&slots, LengthClass::Long, LongShare::Kept).expect("it is within its share");
        slots.take(id, LengthClass::Long);
    }
    assert_eq!(choose(&slots, LengthClass::Long, LongShare::Kept), None);
    assert!(choose(&slots, LengthClass::Long, LongShare::Borrowed).is_some());
}

#[test]
fn short_work_finds_room_where_long_work_has_borrowed_every_slot() {
    let mut slots = slots(1);
    while let Some(id) = choose(&slots, LengthClass::Long, LongShare::Borrowed) {
        slots.take(id, LengthClass::Long);
    }
    let mut short = 0;
    while let Some(id) = choose(&slots, LengthClass::Short, LongShare::Kept) {
        slots.take(id, LengthClass::Short);
        short += 1;
    }
    assert_eq!(short, 2);
}

#[test]
fn a_slow_endpoint_is_the_last_choice_until_it_is_fast_again() {
    let mut slots = slots(2);
    let slow = choose(&slots, LengthClass::Short, LongShare::Kept).expect("slots are free");
    slots.judge_speed(slow, Seen::default(), at(0));
    for _ in 0..LIMIT {
        let other = choose(&slots, LengthClass::Short, LongShare::Kept).expect("slots are free");
        assert_ne!(other, slow);
        slots.take(other, LengthClass::Short);
    }
    assert_eq!(
        choose(&slots, LengthClass::Short, LongShare::Kept),
        Some(slow)
    );
    let fast = Seen {
        first_token_ms: Some(100),
        token_gap_us: Some(40_000),
    };
    slots.judge_speed(slow, fast, at(1));
    assert_eq!(
        choose(&slots, LengthClass::Long, LongShare::Kept),
        Some(slow)
    );
}

#[test]
fn slowness_of_most_endpoints_is_taken_for_load() {
    let mut slots = slots(3);
    let ids: Vec<EndpointId> = slots.endpoints.keys().copied().collect();
    for id in &ids[..2] {
        slots.judge_speed(*id, Seen::default(), at(0));
        slots.take(ids[2], LengthClass::Short);
    }
    let chosen = choose(&slots, LengthClass::Short, LongShare::Kept);
    assert!(chosen.is_some_and(|id| id != ids[2]), "{chosen:?}");
}

#[test]
fn an_unreachable_endpoint_gets_nothing() {
    let mut slots = slots(1);
    let id = choose(&slots, LengthClass::Short, LongShare::Kept).expect("slots are free");
    slots.on_ended(id, ReleaseReason::Unreachable, Seen::default(), at(0));
    assert_eq!(choose(&slots, LengthClass::Short, LongShare::Kept), None);
}

#[test]
fn a_prefix_goes_where_it_was_served_while_there_is_a_slot() {
    let mut slots = slots(2);
    let mut ticket = ticket(LengthClass::Short);
    ticket.prefix = Some(PrefixFingerprint(7));
    let first = slots
        .choose(&ticket, LongShare::Kept, at(0))
        .expect("slots are free");
    for _ in 0..LIMIT {
        assert_eq!(slots.choose(&ticket, LongShare::Kept, at(0)), Some(first));
        slots.grant(first, &ticket, at(0));
    }
    let other = slots.choose(&ticket, LongShare::Kept, at(0));
    assert!(other.is_some_and(|id| id != first));
}
