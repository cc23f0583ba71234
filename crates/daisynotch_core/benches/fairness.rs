//! Measures fair sharing between teams: decision time, gap, slot utilization and bytes sent.
//!
//! `cargo bench -p daisynotch_core --bench fairness -- --routers 9`. Apart from the
//! times, the output is the same in every run.

#[path = "../tests/fairness/cluster.rs"]
mod cluster;

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use cluster::{Cluster, ExchangeFaults, Policy, Setup, Team};
use daisynotch_core::{
    Catalogue, Cost, Incarnation, LengthClass, Peer, Release, ReleaseReason, Revision, RouterId,
    Scheduler, SchedulerAction, SchedulerSettings, ShardId, TeamId, Ticket, TicketSeq, Timestamp,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SECOND_US: u64 = 1_000_000;
const DECISIONS: u64 = 200_000;

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let usage = "usage: fairness [--routers COUNT]";
    let only: Option<usize> = arguments.opt_value_from_str("--routers").expect(usage);
    measure_decisions();
    println!(
        "routers policy            gap served-min served-max   used exchange-B/s control-B/request"
    );
    for routers in [3, 9, 100] {
        if only.is_some_and(|only| only != routers) {
            continue;
        }
        for policy in [Policy::Nodes, Policy::Random, Policy::LeastConnections] {
            measure_cluster(routers, policy);
        }
    }
}

/// Measures the time of a release with the resulting grant and the team's next ticket, for
/// different numbers of backlogged teams.
fn measure_decisions() {
    let mut few = None;
    for teams in [20_u64, 2_000, 20_000] {
        let mut shard = LoadedShard::new(teams);
        shard.run(DECISIONS / 4);
        let decision = shard.run(DECISIONS);
        let few = *few.get_or_insert(decision);
        let ratio = decision.as_nanos() as f64 / few.as_nanos() as f64;
        println!(
            "{teams:>6} teams backlogged: {decision:?} a release, grant and ticket, {ratio:.2} of 20 teams"
        );
    }
}

/// A scheduler with one endpoint and four tickets from each team.
struct LoadedShard {
    scheduler: Scheduler,
    entry: Peer,
    shard: ShardId,
    granted: Vec<(TicketSeq, TeamId, SchedulerAction)>,
    owners: Vec<TeamId>,
}

impl LoadedShard {
    fn new(teams: u64) -> Self {
        let mut text = "[pool.p]\nkind = \"inference\"\nslots = 8\n[endpoint.e]\npool = \"p\"\n\
             zone = \"z\"\naddress = \"127.0.0.1:9\"\n"
            .to_owned();
        for share in 0..10 {
            text += &format!("[share.s{share}]\n");
        }
        let name = |team: u64| format!("t{team}");
        for team in 0..teams {
            text += &format!("[team.{}]\nshare = \"s{}\"\n", name(team), team % 10);
        }
        let objects = text.parse().expect("the objects are valid");
        let catalogue = Arc::new(Catalogue::new(Revision(1), &objects));
        let pool = *catalogue.pools.keys().next().expect("there is a pool");
        let shard = catalogue.shards_of(pool)[0];
        let settings = SchedulerSettings {
            takeover_grace: Duration::ZERO,
            ..SchedulerSettings::default()
        };
        let mut loaded = Self {
            scheduler: Scheduler::new(shard, settings, &catalogue, Timestamp(0)),
            entry: Peer {
                router: RouterId(1),
                incarnation: Incarnation(1),
            },
            shard,
            granted: Vec::new(),
            owners: Vec::new(),
        };
        for team in (0..teams * 4).map(|at| at % teams) {
            let id = TeamId::from(&name(team).parse().expect("the name is valid"));
            loaded.push(id);
        }
        loaded
    }

    fn push(&mut self, team: TeamId) {
        let seq = TicketSeq(self.owners.len() as u64);
        self.owners.push(team);
        let ticket = Ticket {
            seq,
            shard: self.shard,
            team,
            hint: Cost(100),
            class: LengthClass::Short,
            prefix: None,
            avoid: None,
            waited_ms: 0,
        };
        let actions = self.scheduler.on_ticket(self.entry, ticket, Timestamp(0));
        self.record_grants(actions);
    }

    fn record_grants(&mut self, actions: impl IntoIterator<Item = SchedulerAction>) {
        for action in actions {
            if let SchedulerAction::Grant { grant, .. } = &action {
                let team = self.owners[grant.seq.0 as usize];
                self.granted.push((grant.seq, team, action));
            }
        }
    }

    /// Releases slots and sends the next ticket of each team; returns the mean time per release.
    fn run(&mut self, count: u64) -> Duration {
        let started_at = Instant::now();
        for at in 0..count {
            let (seq, team, action) = self.granted.swap_remove(at as usize % self.granted.len());
            let SchedulerAction::Grant { grant, .. } = action else {
                continue;
            };
            let release = Release {
                seq,
                endpoint: grant.endpoint,
                reason: ReleaseReason::Done,
                cost: Cost(50 + seq.0 % 100),
                first_token_ms: None,
                token_gap_us: None,
            };
            let now = Timestamp(at);
            let actions = self.scheduler.on_release(self.entry, &release, now);
            self.record_grants(black_box(actions));
            self.push(team);
        }
        started_at.elapsed() / u32::try_from(count).expect("the count is small")
    }
}

fn measure_cluster(routers: usize, policy: Policy) {
    let setup = setup(routers, policy);
    let report = Cluster::measure(setup);
    let least = report.served.iter().min().copied().unwrap_or(0);
    let most = report.served.iter().max().copied().unwrap_or(0);
    println!(
        "{routers:>7} {:<16} {:>6.0} {least:>10} {most:>10} {:>6.3} {:>12.0} {:>17.0}",
        format!("{policy:?}"),
        report.gap,
        report.utilisation,
        report.exchange_bytes_per_s,
        report.control_bytes_per_request,
    );
}

/// Builds a setup of teams with very unequal demand, each with callers at a third of the routers.
fn setup(routers: usize, policy: Policy) -> Setup {
    let zones = if routers < 100 { 3 } else { 16 };
    let endpoints = (routers * 4).max(12);
    let slots = 8;
    let team_count = (routers * 12 / 10).max(16);
    let fair = endpoints * slots as usize / team_count;
    let mut random = StdRng::seed_from_u64(9);
    let entries = (routers / 3).max(1);
    let mut team = |at: usize| {
        let first = random.random_range(0..routers);
        let demand = if at.is_multiple_of(8) { 20 } else { 2 + at % 3 };
        Team {
            share: None,
            weight: 1,
            hint_tenths: [10, 1, 100, 10][at % 4],
            open: (fair * demand).div_ceil(entries),
            routers: (0..entries).map(|next| (first + next) % routers).collect(),
            from_us: 0,
            until_us: u64::MAX,
            is_backlogged: true,
        }
    };
    Setup {
        seed: 9,
        policy,
        routers,
        zones,
        endpoints: (0..zones).map(|zone| (endpoints + zone) / zones).collect(),
        slots,
        teams: (0..team_count).map(&mut team).collect(),
        faults: ExchangeFaults::default(),
        partition_us: None,
        warm_up_us: 20 * SECOND_US,
        end_us: 140 * SECOND_US,
    }
}
