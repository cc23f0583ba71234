use super::*;
use crate::RouterId;
use crate::message::{Incarnation, Peer, TicketSeq};

fn key(seq: u64) -> TicketKey {
    let entry = Peer {
        router: RouterId(1),
        incarnation: Incarnation(1),
    };
    TicketKey {
        entry,
        seq: TicketSeq(seq),
    }
}

/// Serves `count` tickets of equal cost and counts them by team.
fn serve(
    queue: &mut FairQueue,
    owners: &HashMap<TicketKey, TeamId>,
    count: usize,
) -> HashMap<TeamId, usize> {
    let mut served = HashMap::new();
    for _ in 0..count {
        let key = queue.peek().expect("a ticket waits");
        let team = owners[&key];
        queue.pop(team, key, Cost(10));
        *served.entry(team).or_default() += 1;
    }
    served
}

#[test]
fn backlogged_teams_are_served_by_weight() {
    let mut queue = FairQueue {
        weights: HashMap::from([(TeamId(1), 1), (TeamId(2), 3)]),
        ..FairQueue::default()
    };
    let mut owners = HashMap::new();
    for seq in 0..800 {
        let team = TeamId(1 + seq % 2);
        owners.insert(key(seq), team);
        queue.push(team, key(seq));
    }
    let served = serve(&mut queue, &owners, 400);
    assert_eq!(served[&TeamId(1)], 100);
    assert_eq!(served[&TeamId(2)], 300);
}

#[test]
fn idleness_is_not_saved_up() {
    let mut queue = FairQueue::default();
    let mut owners = HashMap::new();
    for seq in 0..1_000 {
        owners.insert(key(seq), TeamId(1));
        queue.push(TeamId(1), key(seq));
    }
    serve(&mut queue, &owners, 500);
    for seq in 1_000..2_000 {
        owners.insert(key(seq), TeamId(2));
        queue.push(TeamId(2), key(seq));
    }
    let served = serve(&mut queue, &owners, 200);
    assert!(served[&TeamId(1)] >= 99, "{served:?}");
}
