use super::*;
use crate::message::Incarnation;
use crate::{Cost, PoolId, Revision, RouterId, ZoneId};

const SHARD_OBJECTS: &str = r#"
    [team.small]
    [team.large]

    [pool.conseil-lm]
    kind = "inference"
    slots = 2

    [endpoint.conseil-1]
    pool = "conseil-lm"
    zone = "fatick"
    address = "127.0.0.1:9"
"#;

fn scheduler() -> Scheduler {
    let objects = SHARD_OBJECTS.parse().expect("the objects are valid");
    let catalogue = Arc::new(Catalogue::new(Revision(1), &objects));
    let shard = catalogue.shards_of(
        *catalogue
            .pools
            .keys()
            .next()
            .expect("the objects contain a pool"),
    )[0];
    let settings = SchedulerSettings {
        takeover_grace: Duration::ZERO,
        ..SchedulerSettings::default()
    };
    Scheduler::new(shard, settings, &catalogue, Timestamp(0))
}

fn entry() -> Peer {
    Peer {
        router: RouterId(1),
        incarnation: Incarnation(1),
    }
}

fn ticket(seq: u64) -> Ticket {
    Ticket {
        seq: TicketSeq(seq),
        shard: ShardId {
            pool: PoolId(0),
            zone: ZoneId(0),
        },
        team: TeamId(1),
        hint: Cost(10),
        class: LengthClass::Short,
        prefix: None,
        avoid: None,
        waited_ms: 0,
    }
}

fn release_of(action: &SchedulerAction) -> Release {
    let SchedulerAction::Grant { grant, .. } = action else {
        panic!("{action:?} is not a grant");
    };
    Release {
        seq: grant.seq,
        endpoint: grant.endpoint,
        reason: ReleaseReason::Done,
        cost: Cost(10),
        first_token_ms: None,
        token_gap_us: None,
    }
}

#[test]
fn duplicate_ticket_gets_the_same_grant_and_no_second_slot() {
    let mut scheduler = scheduler();
    let first = scheduler.on_ticket(entry(), ticket(1), Timestamp(0));
    let second = scheduler.on_ticket(entry(), ticket(1), Timestamp(5));
    assert_eq!(first, second);
    assert_eq!(scheduler.granted_count(), 1);
}

#[test]
fn freed_slot_goes_to_the_next_ticket_immediately() {
    let mut scheduler = scheduler();
    let first = scheduler.on_ticket(entry(), ticket(1), Timestamp(0));
    scheduler.on_ticket(entry(), ticket(2), Timestamp(0));
    assert!(
        scheduler
            .on_ticket(entry(), ticket(3), Timestamp(0))
            .is_empty()
    );
    let next = scheduler.on_release(entry(), &release_of(&first[0]), Timestamp(9));
    assert_eq!(next.len(), 1);
    assert!(
        scheduler
            .on_release(entry(), &release_of(&first[0]), Timestamp(9))
            .is_empty()
    );
}

#[test]
fn slots_of_a_lost_entry_are_reclaimed_only_after_the_hold() {
    let mut scheduler = scheduler();
    scheduler.on_ticket(entry(), ticket(1), Timestamp(0));
    scheduler.on_entry_lost(entry(), Timestamp(0));
    scheduler.tick(Timestamp(0) + Duration::from_millis(2_999));
    assert_eq!(scheduler.granted_count(), 1);
    scheduler.tick(Timestamp(0) + Duration::from_millis(3_000));
    assert_eq!(scheduler.granted_count(), 0);
}

#[test]
fn slots_of_an_entry_that_returns_are_not_reclaimed() {
    let mut scheduler = scheduler();
    let granted = scheduler.on_ticket(entry(), ticket(1), Timestamp(0));
    scheduler.on_entry_lost(entry(), Timestamp(0));
    let running = Running {
        seq: TicketSeq(1),
        endpoint: release_of(&granted[0]).endpoint,
        team: TeamId(1),
        class: LengthClass::Short,
        cost: Cost(5),
    };
    let returned_at = Timestamp(0) + Duration::from_millis(2_000);
    scheduler.on_running(entry(), &running, returned_at);
    scheduler.tick(Timestamp(0) + Duration::from_millis(3_000));
    assert_eq!(scheduler.granted_count(), 1);
}
