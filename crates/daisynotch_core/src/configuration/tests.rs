use std::collections::BTreeSet;

use super::*;
use crate::message::{ConfigurationPiece, ConfigurationRequest};

/// The stated time until a revision is in force on every reachable router.
const DESIGN_SIZE_BOUND: Duration = Duration::from_secs(18);
const NINE_ROUTERS_BOUND: Duration = Duration::from_secs(3);

const STEP: Duration = Duration::from_millis(20);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Chunks of the objects at the design size.
const CHUNKS: u64 = 26;
const READ_DURATION: Duration = Duration::from_millis(20);

/// What travels between the routers of the model.
#[derive(Debug, Clone)]
enum Message {
    Heartbeat(Revision),
    Request(ConfigurationRequest),
    Piece(ConfigurationPiece),
}

#[derive(Debug)]
struct Router {
    id: RouterId,
    zone: ZoneId,
    follower: Follower,
    replica: Replica,
    neighbours: Vec<usize>,
    heartbeat_due: Timestamp,
    /// When a read of the service ends, and whether it reads more than the head.
    read_ends: Option<(Timestamp, bool)>,
}

/// Followers, a service and lossy links under virtual time.
struct Model {
    now: Timestamp,
    seed: u64,
    draws: u64,
    loss_per_100: u64,
    routers: Vec<Router>,
    in_flight: BTreeMap<(Timestamp, u64), (usize, usize, Message)>,
    /// Routers that are cut off from the others.
    cut_off: BTreeSet<usize>,
    published: Revision,
    service_is_down: bool,
    service_reads: u64,
    relays: BTreeSet<usize>,
}

/// A payload that names its revision; edits are short, the whole is several pieces long.
fn replica_of(revision: Revision) -> Replica {
    let edit = |to: u64| EditPayload {
        from: Revision(to - 1),
        to: Revision(to),
        bytes: Bytes::from(to.to_le_bytes().to_vec()),
    };
    let mut whole = vec![0; 30_000];
    whole.extend_from_slice(&revision.0.to_le_bytes());
    Replica {
        revision,
        whole: Bytes::from(whole),
        edits: (revision.0.saturating_sub(4).max(2)..=revision.0)
            .map(edit)
            .collect(),
    }
}

fn revision_of(payload: &[u8]) -> Revision {
    let last = payload
        .last_chunk()
        .expect("a payload ends in its revision");
    Revision(u64::from_le_bytes(*last))
}

impl Model {
    fn new(routers: u64, zones: u32, neighbours: usize, seed: u64) -> Self {
        let mut model = Self {
            now: Timestamp(0),
            seed,
            draws: 0,
            loss_per_100: 0,
            routers: Vec::new(),
            in_flight: BTreeMap::new(),
            cut_off: BTreeSet::new(),
            published: Revision(1),
            service_is_down: false,
            service_reads: 0,
            relays: BTreeSet::new(),
        };
        for index in 0..routers {
            let router = model.router(index, zones);
            model.routers.push(router);
        }
        model.connect(neighbours);
        model.relays = model.choose_relays();
        model
    }

    fn router(&mut self, index: u64, zones: u32) -> Router {
        let id = RouterId(index);
        let settings = FollowerSettings::default();
        let seed = self.draw();
        let jitter_us = self.draw() % HEARTBEAT_INTERVAL.as_micros() as u64;
        Router {
            id,
            zone: ZoneId(index as u32 % zones),
            follower: Follower::new(id, settings, seed, self.now),
            replica: Replica::default(),
            neighbours: Vec::new(),
            heartbeat_due: self.now + Duration::from_micros(jitter_us),
            read_ends: None,
        }
    }

    /// Makes a ring with random chords, so that the graph is connected.
    fn connect(&mut self, neighbours: usize) {
        let count = self.routers.len();
        for index in 0..count {
            self.link(index, (index + 1) % count);
            for _ in 0..neighbours / 2 - 1 {
                let other = self.draw() as usize % count;
                self.link(index, other);
            }
        }
    }

    fn link(&mut self, a: usize, b: usize) {
        if a != b && !self.routers[a].neighbours.contains(&b) {
            self.routers[a].neighbours.push(b);
            self.routers[b].neighbours.push(a);
        }
    }

    fn draw(&mut self) -> u64 {
        self.draws += 1;
        xxh3_64_with_seed(&self.draws.to_le_bytes(), self.seed)
    }

    fn restart(&mut self, index: usize) {
        let seed = self.draw();
        let router = &mut self.routers[index];
        router.follower = Follower::new(router.id, FollowerSettings::default(), seed, self.now);
        router.replica = Replica::default();
        router.read_ends = None;
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = self.cut_off.contains(&from) != self.cut_off.contains(&to);
        if is_cut || self.draw() % 100 < self.loss_per_100 {
            return;
        }
        let latency = Duration::from_micros(1_500 + self.draw() % 20_000);
        let key = (self.now + latency, self.draws);
        self.in_flight.insert(key, (from, to, message));
    }

    fn revision(&self, index: usize) -> Revision {
        self.routers[index].replica.revision
    }

    fn all_have(&self, revision: Revision) -> bool {
        let reachable = (0..self.routers.len()).filter(|index| !self.cut_off.contains(index));
        reachable
            .into_iter()
            .all(|index| self.revision(index) >= revision)
    }

    fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Gives how long it takes until all reachable routers have what is published.
    fn time_to_all(&mut self, bound: Duration) -> Option<Duration> {
        let started_at = self.now;
        while self.now.since(started_at) <= bound {
            if self.all_have(self.published) {
                return Some(self.now.since(started_at));
            }
            self.step();
        }
        None
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, message) = entry.remove();
            self.deliver(from, to, message);
        }
        for index in 0..self.routers.len() {
            self.end_read(index);
            self.send_heartbeats(index);
            let is_relay = self.relays.contains(&index);
            let now = self.now;
            let follower = &mut self.routers[index].follower;
            for action in follower.tick(|| is_relay, now) {
                self.run(index, action);
            }
        }
    }

    fn choose_relays(&self) -> BTreeSet<usize> {
        let is_chosen = |index: &usize| {
            let own = &self.routers[*index];
            let local = self.routers.iter().filter(|router| router.zone == own.zone);
            is_relay(own.id, own.zone, local.map(|router| router.id))
        };
        (0..self.routers.len()).filter(is_chosen).collect()
    }

    fn send_heartbeats(&mut self, index: usize) {
        if self.now < self.routers[index].heartbeat_due {
            return;
        }
        self.routers[index].heartbeat_due = self.now + HEARTBEAT_INTERVAL;
        let revision = self.revision(index);
        for to in self.routers[index].neighbours.clone() {
            self.send(index, to, Message::Heartbeat(revision));
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let sender = self.routers[from].id;
        match message {
            Message::Heartbeat(revision) => {
                self.routers[to].follower.on_heartbeat(sender, revision);
            }
            Message::Request(request) => {
                if let Some(piece) = self.routers[to].replica.piece(&request) {
                    self.send(to, from, Message::Piece(piece));
                }
            }
            Message::Piece(piece) => {
                let now = self.now;
                let action = self.routers[to].follower.on_piece(sender, &piece, now);
                if let Some(action) = action {
                    self.run(to, action);
                }
            }
        }
    }

    fn run(&mut self, index: usize, action: ConfigurationAction) {
        match action {
            ConfigurationAction::ReadHead => {
                self.service_reads += 1;
                self.routers[index].read_ends = Some((self.now + READ_DURATION, false));
            }
            ConfigurationAction::ReadService => {
                let is_empty = self.revision(index) == Revision(0);
                self.service_reads += if is_empty { 1 + CHUNKS } else { 1 };
                self.routers[index].read_ends = Some((self.now + READ_DURATION, true));
            }
            ConfigurationAction::RequestPiece { to, request } => {
                self.send(index, to.0 as usize, Message::Request(request));
            }
            ConfigurationAction::ApplyPayload { payload, .. } => {
                self.take(index, revision_of(&payload));
            }
        }
    }

    fn end_read(&mut self, index: usize) {
        let Some((_, is_whole)) = self.routers[index]
            .read_ends
            .take_if(|(ends_at, _)| *ends_at <= self.now)
        else {
            return;
        };
        let read = if self.service_is_down {
            ServiceRead::Failed
        } else {
            ServiceRead::Newest(self.published)
        };
        if is_whole && !self.service_is_down {
            self.take(index, self.published);
        }
        let now = self.now;
        self.routers[index].follower.on_service_read(read, now);
    }

    /// Takes a revision as the node does: never a smaller one.
    fn take(&mut self, index: usize, revision: Revision) {
        let now = self.now;
        let router = &mut self.routers[index];
        if revision > router.replica.revision {
            router.replica = replica_of(revision);
            router.heartbeat_due = now;
        }
        let revision = router.replica.revision;
        router.follower.on_configured(revision, now);
    }
}

#[test]
fn nine_routers_have_a_revision_in_time_though_messages_are_lost() {
    for seed in 0..50 {
        let mut model = Model::new(9, 3, 8, seed);
        model.loss_per_100 = 10;
        assert!(
            model.time_to_all(DESIGN_SIZE_BOUND).is_some(),
            "seed {seed}"
        );
        for revision in 2..6 {
            model.run_for(Duration::from_millis(700 + 13 * seed));
            model.published = Revision(revision);
            let time = model.time_to_all(NINE_ROUTERS_BOUND);
            assert!(time.is_some(), "seed {seed}, revision {revision}");
        }
    }
}

#[test]
fn the_design_size_has_a_revision_in_time_and_reads_little() {
    for seed in 0..2 {
        let mut model = Model::new(1_700, 16, 8, seed);
        model.loss_per_100 = 2;
        let start = model.time_to_all(DESIGN_SIZE_BOUND);
        assert!(start.is_some(), "seed {seed}");
        model.run_for(Duration::from_secs(2));
        model.published = Revision(2);
        let time = model.time_to_all(DESIGN_SIZE_BOUND);
        assert!(time.is_some(), "seed {seed}");
        println!("start {start:?}, change {time:?}");
        let before = model.service_reads;
        model.run_for(Duration::from_secs(10));
        let reads_per_s = (model.service_reads - before) / 10;
        println!("{reads_per_s} reads/s");
        assert!(reads_per_s < 1_000, "seed {seed}: {reads_per_s} reads/s");
    }
}

#[test]
fn a_router_that_starts_empty_during_an_outage_gets_the_newest_from_a_peer() {
    for seed in 0..50 {
        let mut model = Model::new(9, 3, 8, seed);
        model.published = Revision(7);
        assert!(model.time_to_all(DESIGN_SIZE_BOUND).is_some());
        model.service_is_down = true;
        model.restart(4);
        assert_eq!(
            model.routers[4].follower.state(),
            ConfigurationState::Starting
        );
        assert!(
            model.time_to_all(NINE_ROUTERS_BOUND).is_some(),
            "seed {seed}"
        );
        assert_eq!(
            model.routers[4].follower.state(),
            ConfigurationState::InForce
        );
    }
}

#[test]
fn an_empty_router_without_a_source_says_so() {
    let mut model = Model::new(1, 1, 2, 1);
    model.service_is_down = true;
    model.run_for(Duration::from_secs(3));
    let state = |model: &Model| model.routers[0].follower.state();
    assert_eq!(state(&model), ConfigurationState::NoSource);
    model.service_is_down = false;
    model.published = Revision(0);
    model.run_for(Duration::from_secs(10));
    assert_eq!(state(&model), ConfigurationState::NothingPublished);
    model.published = Revision(1);
    model.run_for(Duration::from_secs(10));
    assert_eq!(state(&model), ConfigurationState::InForce);
}

#[test]
fn a_lost_zone_that_restarts_reads_little() {
    const READS_PER_S: u64 = 1_000;
    let mut model = Model::new(1_700, 16, 8, 5);
    assert!(model.time_to_all(DESIGN_SIZE_BOUND).is_some());
    let zone: Vec<usize> = (0..1_700).filter(|index| index % 16 == 3).collect();
    zone.iter().for_each(|index| model.restart(*index));
    for second in 0..10 {
        let before = model.service_reads;
        model.run_for(Duration::from_secs(1));
        let reads = model.service_reads - before;
        println!("{reads} reads in second {second}");
        assert!(reads < READS_PER_S, "{reads} reads in second {second}");
    }
    assert!(model.all_have(Revision(1)));
}

/// A stale peer that is reachable must not win over the service.
#[test]
fn a_restarted_router_does_not_take_an_old_revision_from_a_stale_peer() {
    for seed in 0..50 {
        let mut model = Model::new(3, 1, 2, seed);
        assert!(model.time_to_all(DESIGN_SIZE_BOUND).is_some());
        model.published = Revision(5);
        // Only router 0 is left with the stale peers, which can't reach the service.
        model.restart(0);
        model.take(0, Revision(5));
        model.restart(0);
        for stale in [1, 2] {
            model.routers[stale].read_ends = None;
            model.routers[stale].follower.is_reading = true;
        }
        while model.revision(0) == Revision(0) {
            model.step();
        }
        assert_eq!(model.revision(0), Revision(5), "seed {seed}");
    }
}

#[test]
fn a_partition_heals_to_the_newer_side_and_nothing_reverts() {
    for seed in 0..30 {
        let mut model = Model::new(9, 3, 8, seed);
        assert!(model.time_to_all(DESIGN_SIZE_BOUND).is_some());
        model.service_is_down = true;
        model.cut_off = BTreeSet::from([0, 1, 2]);
        // Only router 5 took the next revision before the outage.
        model.take(5, Revision(2));
        model.published = Revision(2);
        assert!(
            model.time_to_all(NINE_ROUTERS_BOUND).is_some(),
            "seed {seed}"
        );
        assert_eq!(model.revision(0), Revision(1));
        model.cut_off.clear();
        let mut least: Vec<Revision> = (0..9).map(|index| model.revision(index)).collect();
        for _ in 0..150 {
            model.step();
            for (index, least) in least.iter_mut().enumerate() {
                assert!(model.revision(index) >= *least, "seed {seed}");
                *least = model.revision(index);
            }
        }
        assert!(model.all_have(Revision(2)), "seed {seed}");
    }
}

#[test]
fn the_end_of_an_outage_is_no_stampede() {
    // The service's limit for configuration and the routers of the design size.
    const READS_PER_S: u64 = 1_000;
    let mut model = Model::new(1_700, 16, 8, 3);
    model.service_is_down = true;
    model.run_for(Duration::from_secs(20));
    model.service_is_down = false;
    for second in 0..15 {
        let before = model.service_reads;
        model.run_for(Duration::from_secs(1));
        let reads = model.service_reads - before;
        println!("{reads} reads in second {second}");
        assert!(reads < READS_PER_S, "{reads} reads in second {second}");
    }
    assert!(model.all_have(Revision(1)));
}

#[test]
fn a_refused_payload_is_fetched_as_a_whole_from_another_peer() {
    let settings = FollowerSettings::default();
    let mut follower = Follower::new(RouterId(1), settings, 1, Timestamp(0));
    let now = Timestamp(0) + Duration::from_secs(1);
    follower.on_configured(Revision(4), now);
    follower.on_heartbeat(RouterId(2), Revision(5));
    let actions = follower.tick(|| false, now);
    let [ConfigurationAction::RequestPiece { to, request }] = actions.as_slice() else {
        panic!("a peer is asked: {actions:?}");
    };
    assert_eq!((*to, request.have), (RouterId(2), Revision(4)));
    let piece = replica_of(Revision(5)).piece(request).expect("it is newer");
    let action = follower.on_piece(RouterId(2), &piece, now);
    assert!(matches!(
        action,
        Some(ConfigurationAction::ApplyPayload { .. })
    ));
    follower.on_payload_refused(RouterId(2), now);
    follower.on_heartbeat(RouterId(3), Revision(5));
    let later = now + settings.peer_retries.longest;
    let actions = follower.tick(|| false, later);
    let [ConfigurationAction::RequestPiece { to, request }] = actions.as_slice() else {
        panic!("a peer is asked: {actions:?}");
    };
    assert_eq!((*to, request.have), (RouterId(3), Revision(0)));
}

#[test]
fn a_zone_has_a_few_relays_and_a_lone_router_is_one() {
    for routers in [1, 2, 3, 106] {
        let all = || (0..routers).map(RouterId);
        let relays = all().filter(|own| is_relay(*own, ZoneId(7), all())).count();
        assert_eq!(relays, RELAYS_PER_ZONE.min(routers as usize));
    }
}

#[test]
fn edits_are_sent_when_the_base_is_known_and_the_whole_otherwise() {
    let replica = replica_of(Revision(10));
    let request = |have: u64, wanted: u64, offset: u32| ConfigurationRequest {
        have: Revision(have),
        wanted: Revision(wanted),
        offset,
    };
    let total = |request| replica.piece(&request).map(|piece| piece.total_bytes);
    assert_eq!(total(request(8, 0, 0)), Some(16));
    assert_eq!(total(request(2, 0, 0)), Some(30_008));
    assert_eq!(total(request(10, 0, 0)), None);
    let restarted = replica.piece(&request(0, 9, 8_192)).expect("it is newer");
    assert_eq!((restarted.offset, restarted.revision), (0, Revision(10)));
}
