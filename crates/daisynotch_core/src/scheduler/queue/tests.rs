use super::*;
use crate::message::{Incarnation, Peer, TicketSeq};
use crate::{Revision, RouterId};

const REPAYMENT_MAX: Cost = Cost(10_000);

fn catalogue(objects: &str) -> Arc<Catalogue> {
    let objects = objects.parse().expect("the objects are valid");
    Arc::new(Catalogue::new(Revision(1), &objects))
}

fn team(name: &str) -> TeamId {
    TeamId::from(&name.parse().expect("the name is valid"))
}

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

/// A queue and the teams that own its tickets.
struct Fixture {
    queue: FairQueue,
    owners: HashMap<TicketKey, TeamId>,
}

impl Fixture {
    fn new(objects: &str) -> Self {
        Self {
            queue: FairQueue::new(REPAYMENT_MAX, catalogue(objects)),
            owners: HashMap::new(),
        }
    }

    fn push(&mut self, name: &str, count: u64) {
        for _ in 0..count {
            let key = key(self.owners.len() as u64);
            self.owners.insert(key, team(name));
            self.queue.push(team(name), key);
        }
    }

    /// Serves `count` tickets of equal cost and counts them by team.
    fn serve(&mut self, count: usize) -> HashMap<TeamId, usize> {
        let mut served = HashMap::new();
        for _ in 0..count {
            let key = self.queue.peek().expect("a ticket waits");
            let id = self.owners[&key];
            self.queue.pop(id, key, Cost(10));
            *served.entry(id).or_default() += 1;
        }
        served
    }
}

#[test]
fn backlogged_teams_are_served_by_weight() {
    let mut fixture = Fixture::new("[team.small]\n[team.large]\nweight = 3");
    fixture.push("small", 400);
    fixture.push("large", 400);
    let served = fixture.serve(400);
    assert_eq!(served[&team("small")], 100);
    assert_eq!(served[&team("large")], 300);
}

#[test]
fn share_is_served_by_weight_regardless_of_its_number_of_teams() {
    let mut fixture = Fixture::new(
        "[share.mills]\nweight = 2\n[share.shops]\n\
         [team.m1]\nshare = \"mills\"\n[team.m2]\nshare = \"mills\"\nweight = 3\n\
         [team.s1]\nshare = \"shops\"\n[team.s2]\nshare = \"shops\"\n[team.s3]\nshare = \"shops\"",
    );
    for name in ["m1", "m2", "s1", "s2", "s3"] {
        fixture.push(name, 2_000);
    }
    let served = fixture.serve(1_800);
    let served_of = |name: &str| served[&team(name)];
    assert_eq!((served_of("m1"), served_of("m2")), (300, 900));
    assert_eq!(
        (served_of("s1"), served_of("s2"), served_of("s3")),
        (200, 200, 200)
    );
}

#[test]
fn idle_team_earns_no_credit() {
    let mut fixture = Fixture::new("[team.early]\n[team.late]");
    fixture.push("early", 1_000);
    fixture.serve(500);
    fixture.push("late", 1_000);
    let served = fixture.serve(200);
    assert!(served[&team("early")] >= 99, "{served:?}");
}

#[test]
fn debt_is_repaid_only_up_to_its_bound() {
    let mut fixture = Fixture::new("[team.a]\n[team.b]");
    fixture.push("a", 10_000);
    fixture.push("b", 10_000);
    fixture.queue.correct(team("a"), 1_000_000_000);
    let repaid_tickets = REPAYMENT_MAX.0 as usize / 10;
    let served = fixture.serve(repaid_tickets);
    assert_eq!(served.get(&team("a")), None);
    let served = fixture.serve(100);
    assert!(served[&team("a")] >= 49, "{served:?}");
}

#[test]
fn inaccurate_hints_are_corrected_by_the_cost_of_finished_work() {
    let mut accuracy = HintAccuracy::default();
    for _ in 0..100 {
        accuracy.record(Cost(10), Cost(100));
    }
    let charged = accuracy.expected_cost(Cost(10)).0;
    assert!((80..=100).contains(&charged), "{charged}");
}

#[test]
fn served_teams_without_tickets_leave_no_state() {
    let mut fixture = Fixture::new("");
    for at in 0..20_000 {
        fixture.push(&format!("team-{at}"), 1);
        fixture.serve(1);
    }
    fixture.push("one", 4);
    fixture.serve(4);
    assert!(
        fixture.queue.team_count() <= 1,
        "{}",
        fixture.queue.team_count()
    );
}

#[test]
fn removed_ticket_is_not_served_and_its_team_stops_waiting() {
    let mut fixture = Fixture::new("[team.a]\n[team.b]");
    fixture.push("a", 1);
    fixture.push("b", 1);
    fixture.queue.remove(team("a"), key(0));
    assert_eq!(fixture.queue.peek(), Some(key(1)));
    assert!(!fixture.queue.is_waiting(team("a")));
}

#[test]
fn tickets_follow_their_team_to_another_share() {
    let mut fixture = Fixture::new("[share.x]\n[team.a]\nshare = \"x\"");
    fixture.push("a", 3);
    fixture
        .queue
        .configure(catalogue("[share.y]\n[team.a]\nshare = \"y\""));
    fixture.serve(3);
    assert_eq!(fixture.queue.peek(), None);
}
