use super::*;
use crate::message::{Incarnation, Peer, TicketSeq};
use crate::{Revision, RouterId};

const REPAYMENT_MAX: Cost = Cost(10_000);

fn catalogue(objects: &str) -> Arc<Catalogue> {
    let objects = objects.parse().expect("the objects can be read");
    Arc::new(Catalogue::new(Revision(1), &objects))
}

fn team(name: &str) -> TeamId {
    TeamId::from(&name.parse().expect("it is a name"))
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

/// A queue and the owners of its tickets.
struct Bench {
    queue: FairQueue,
    owners: HashMap<TicketKey, TeamId>,
}

impl Bench {
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
    let mut bench = Bench::new("[team.small]\n[team.large]\nweight = 3");
    bench.push("small", 400);
    bench.push("large", 400);
    let served = bench.serve(400);
    assert_eq!(served[&team("small")], 100);
    assert_eq!(served[&team("large")], 300);
}

#[test]
fn a_share_gets_its_part_however_many_teams_it_has() {
    let mut bench = Bench::new(
        "[share.mills]\nweight = 2\n[share.shops]\n\
         [team.m1]\nshare = \"mills\"\n[team.m2]\nshare = \"mills\"\nweight = 3\n\
         [team.s1]\nshare = \"shops\"\n[team.s2]\nshare = \"shops\"\n[team.s3]\nshare = \"shops\"",
    );
    for name in ["m1", "m2", "s1", "s2", "s3"] {
        bench.push(name, 2_000);
    }
    let served = bench.serve(1_800);
    let of = |name: &str| served[&team(name)];
    assert_eq!((of("m1"), of("m2")), (300, 900));
    assert_eq!((of("s1"), of("s2"), of("s3")), (200, 200, 200));
}

#[test]
fn idleness_is_not_saved_up() {
    let mut bench = Bench::new("[team.early]\n[team.late]");
    bench.push("early", 1_000);
    bench.serve(500);
    bench.push("late", 1_000);
    let served = bench.serve(200);
    assert!(served[&team("early")] >= 99, "{served:?}");
}

#[test]
fn a_debt_is_repaid_up_to_its_bound_and_no_further() {
    let mut bench = Bench::new("[team.a]\n[team.b]");
    bench.push("a", 10_000);
    bench.push("b", 10_000);
    bench.queue.correct(team("a"), 1_000_000_000);
    let repaid = REPAYMENT_MAX.0 as usize / 10;
    let served = bench.serve(repaid);
    assert_eq!(served.get(&team("a")), None);
    let served = bench.serve(100);
    assert!(served[&team("a")] >= 49, "{served:?}");
}

#[test]
fn hints_ten_times_off_are_believed_less_as_work_ends() {
    let mut accuracy = HintAccuracy::default();
    for _ in 0..100 {
        accuracy.learn(Cost(10), Cost(100));
    }
    let charged = accuracy.expect(Cost(10)).0;
    assert!((80..=100).contains(&charged), "{charged}");
}

#[test]
fn teams_that_are_served_and_gone_leave_no_state() {
    let mut bench = Bench::new("");
    for at in 0..20_000 {
        bench.push(&format!("team-{at}"), 1);
        bench.serve(1);
    }
    bench.push("one", 4);
    bench.serve(4);
    assert!(
        bench.queue.team_count() <= 1,
        "{}",
        bench.queue.team_count()
    );
}

#[test]
fn a_removed_ticket_is_not_served_and_its_team_stops_waiting() {
    let mut bench = Bench::new("[team.a]\n[team.b]");
    bench.push("a", 1);
    bench.push("b", 1);
    bench.queue.remove(team("a"), key(0));
    assert_eq!(bench.queue.peek(), Some(key(1)));
    assert!(!bench.queue.is_waiting(team("a")));
}

#[test]
fn tickets_follow_their_team_to_another_share() {
    let mut bench = Bench::new("[share.x]\n[team.a]\nshare = \"x\"");
    bench.push("a", 3);
    bench
        .queue
        .configure(catalogue("[share.y]\n[team.a]\nshare = \"y\""));
    bench.serve(3);
    assert_eq!(bench.queue.peek(), None);
}
