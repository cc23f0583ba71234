use super::*;
use crate::message::Incarnation;
use crate::{PoolId, RouterId};

fn shard(zone: u32) -> ShardId {
    ShardId {
        pool: PoolId(1),
        zone: ZoneId(zone),
    }
}

fn exchange(zone: u32) -> Exchange {
    let mut exchange = Exchange::new(shard(zone), Timestamp(0));
    exchange.set_peers(&[shard(1), shard(2)]);
    exchange
}

fn peer() -> Peer {
    Peer {
        router: RouterId(1),
        incarnation: Incarnation(1),
    }
}

fn second(at: u64) -> Timestamp {
    Timestamp(at * 1_000_000)
}

/// Charges a team 100 cost units in each of `count` seconds and returns the messages.
fn service_messages(count: u64) -> Vec<Service> {
    let mut sender = exchange(1);
    let mut messages = Vec::new();
    for at in 0..count {
        sender.count(TeamId(7), 100, second(at));
        let waiting = [(TeamId(7), 3)].into_iter();
        messages.extend(sender.tick(3, waiting, second(at)));
    }
    messages
}

fn receive(receiver: &mut Exchange, messages: &[Service]) -> i64 {
    let on_service = |message| receiver.on_service(peer(), message, second(0));
    let changes: Vec<RemoteService> = messages.iter().flat_map(on_service).collect();
    changes.iter().map(|remote| remote.cost).sum()
}

#[test]
fn lost_duplicate_and_late_messages_add_up_to_the_same_service() {
    let messages = service_messages(10);
    assert_eq!(messages.len(), 10);
    assert_eq!(receive(&mut exchange(2), &messages), 900);
    let mut lossy = vec![messages[0].clone(), messages[4].clone()];
    lossy.extend([messages[4].clone(), messages[2].clone()]);
    lossy.extend([messages[9].clone(), messages[8].clone()]);
    assert_eq!(receive(&mut exchange(2), &lossy), 900);
}

#[test]
fn refunds_are_subtracted_once() {
    let mut sender = exchange(1);
    let mut messages = Vec::new();
    for (at, difference) in [100, 100, -150].into_iter().enumerate() {
        let now = second(at as u64);
        sender.count(TeamId(7), difference, now);
        messages.extend(sender.tick(1, [(TeamId(7), 1)].into_iter(), now));
    }
    messages.push(messages[1].clone());
    assert_eq!(receive(&mut exchange(2), &messages), -50);
}

#[test]
fn restarted_scheduler_is_counted_from_its_first_message() {
    let mut receiver = exchange(2);
    receive(&mut receiver, &service_messages(10));
    let mut after_restart = service_messages(3);
    for message in &mut after_restart {
        message.started_us = 5;
    }
    assert_eq!(receive(&mut receiver, &after_restart), 200);
}

#[test]
fn messages_stay_within_the_bytes_per_second() {
    let mut sender = exchange(1);
    let teams: Vec<TeamId> = (0..2_000).map(TeamId).collect();
    for team in &teams {
        sender.count(*team, 5_000_000, second(1));
    }
    let waiting = teams.iter().map(|team| (*team, 1));
    let messages = sender.tick(2_000, waiting, second(1));
    let bytes: usize = messages
        .iter()
        .map(|message| postcard::to_allocvec(message).map_or(0, |bytes| bytes.len()))
        .sum();
    assert!(bytes <= SERVICE_BYTES_PER_S, "{bytes}");
}

#[test]
fn every_team_is_sent_eventually() {
    let mut sender = exchange(1);
    let mut sent = std::collections::HashSet::new();
    let teams: Vec<TeamId> = (0..200).map(TeamId).collect();
    for at in 1..=8 {
        for team in &teams {
            sender.count(*team, 10, second(at));
        }
        let waiting = teams.iter().map(|team| (*team, 1));
        for message in sender.tick(200, waiting, second(at)) {
            sent.extend(message.served.iter().map(|served| served.team));
        }
    }
    assert_eq!(sent.len(), 200);
}

#[test]
fn unresponsive_shard_is_not_asked_again_before_its_next_message() {
    let mut receiver = exchange(2);
    receive(&mut receiver, &service_messages(1));
    let now = second(1);
    assert!(receiver.want(2, 2, now).is_some());
    assert!(receiver.want(2, 2, now).is_none());
    assert!(receiver.want(2, 2, now + WANT_TIMEOUT).is_none());
    receive(&mut receiver, &service_messages(1));
    assert!(receiver.want(2, 2, now + WANT_TIMEOUT).is_some());
}
