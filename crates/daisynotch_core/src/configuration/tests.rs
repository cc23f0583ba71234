use std::collections::BTreeSet;

use super::*;
use crate::message::{ConfigurationPiece, ConfigurationRequest};

/// The documented time bound until a revision is in force on every reachable router.
const DESIGN_SIZE_BOUND: Duration = Duration::from_secs(18);
const NINE_ROUTERS_BOUND: Duration = Duration::from_secs(3);

const STEP: Duration = Duration::from_millis(20);
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// The number of chunks of the objects at the design size.
const CHUNKS: u64 = 26;
const READ_DURATION: Duration = Duration::from_millis(20);

/// A message between routers of the model.
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
    /// When the current read of the service ends, and whether it reads more than the head.
    pending_read: Option<(Timestamp, bool)>,
}

/// A simulation of followers, a key-value service and lossy links in virtual time.
struct Model {
    now: Timestamp,
    seed: u64,
    random_count: u64,
    loss_per_100: u64,
    routers: Vec<Router>,
    in_flight: BTreeMap<(Timestamp, u64), (usize, usize, Message)>,
    /// Routers that are partitioned from the others.
    partitioned: BTreeSet<usize>,
    published: Revision,
    service_is_down: bool,
    service_reads: u64,
    relays: BTreeSet<usize>,
}

/// Returns a replica whose payloads end in their revision.
///
/// Edits are short; the full snapshot takes several pieces.
fn test_replica(revision: Revision) -> Replica {
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
        .expect("a payload ends with its revision");
    Revision(u64::from_le_bytes(*last))
}

impl Model {
    fn new(routers: u64, zones: u32, neighbours: usize, seed: u64) -> Self {
        let mut model = Self {
            now: Timestamp(0),
            seed,
            random_count: 0,
            loss_per_100: 0,
            routers: Vec::new(),
            in_flight: BTreeMap::new(),
            partitioned: BTreeSet::new(),
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
        let seed = self.next_random();
        let jitter_us = self.next_random() % HEARTBEAT_INTERVAL.as_micros() as u64;
        Router {
            id,
            zone: ZoneId(index as u32 % zones),
            follower: Follower::new(id, settings, seed, self.now),
            replica: Replica::default(),
            neighbours: Vec::new(),
            heartbeat_due: self.now + Duration::from_micros(jitter_us),
            pending_read: None,
        }
    }

    /// Links the routers as a ring with random chords; the ring keeps the graph connected.
    fn connect(&mut self, neighbours: usize) {
        let count = self.routers.len();
        for index in 0..count {
            self.link(index, (index + 1) % count);
            for _ in 0..neighbours / 2 - 1 {
                let other = self.next_random() as usize % count;
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

    fn next_random(&mut self) -> u64 {
        self.random_count += 1;
        xxh3_64_with_seed(&self.random_count.to_le_bytes(), self.seed)
    }

    fn restart(&mut self, index: usize) {
        let seed = self.next_random();
        let router = &mut self.routers[index];
        router.follower = Follower::new(router.id, FollowerSettings::default(), seed, self.now);
        router.replica = Replica::default();
        router.pending_read = None;
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = self.partitioned.contains(&from) != self.partitioned.contains(&to);
        if is_cut || self.next_random() % 100 < self.loss_per_100 {
            return;
        }
        let latency = Duration::from_micros(1_500 + self.next_random() % 20_000);
        let key = (self.now + latency, self.random_count);
        self.in_flight.insert(key, (from, to, message));
    }

    fn revision(&self, index: usize) -> Revision {
        self.routers[index].replica.revision
    }

    fn all_have(&self, revision: Revision) -> bool {
        let reachable = (0..self.routers.len()).filter(|index| !self.partitioned.contains(index));
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

    /// Returns the time until all reachable routers have the published revision, or `None` if it
    /// exceeds `bound`.
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
                self.routers[index].pending_read = Some((self.now + READ_DURATION, false));
            }
            ConfigurationAction::ReadService => {
                let is_empty = self.revision(index) == Revision(0);
                self.service_reads += if is_empty { 1 + CHUNKS } else { 1 };
                self.routers[index].pending_read = Some((self.now + READ_DURATION, true));
            }
            ConfigurationAction::RequestPiece { to, request } => {
                self.send(index, to.0 as usize, Message::Request(request));
            }
            ConfigurationAction::ApplyPayload { payload, .. } => {
                self.apply_revision(index, revision_of(&payload));
            }
        }
    }

    fn end_read(&mut self, index: usize) {
        let Some((_, is_whole)) = self.routers[index]
            .pending_read
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
            self.apply_revision(index, self.published);
        }
        let now = self.now;
        self.routers[index].follower.on_service_read(read, now);
    }

    /// Applies a revision unless it is older, as the node does.
    fn apply_revision(&mut self, index: usize, revision: Revision) {
        let now = self.now;
        let router = &mut self.routers[index];
        if revision > router.replica.revision {
            router.replica = test_replica(revision);
            router.heartbeat_due = now;
        }
        let revision = router.replica.revision;
        router.follower.on_configured(revision, now);
    }
}

#[test]
fn nine_routers_apply_a_revision_in_time_despite_message_loss() {
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
fn design_size_fleet_applies_a_revision_in_time_with_few_reads() {
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
fn router_without_objects_fetches_the_newest_from_a_peer_during_an_outage() {
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
fn router_without_objects_reports_a_missing_source() {
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
fn zone_restart_stays_within_the_read_limit() {
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

/// Guards against a restarted router adopting the old revision of a reachable stale peer
/// although the service has a newer one.
#[test]
fn restarted_router_ignores_the_old_revision_of_a_stale_peer() {
    for seed in 0..50 {
        let mut model = Model::new(3, 1, 2, seed);
        assert!(model.time_to_all(DESIGN_SIZE_BOUND).is_some());
        model.published = Revision(5);
        // Routers 1 and 2 are stale and cannot reach the service; only router 0 can.
        model.restart(0);
        model.apply_revision(0, Revision(5));
        model.restart(0);
        for stale in [1, 2] {
            model.routers[stale].pending_read = None;
            model.routers[stale].follower.is_reading = true;
        }
        while model.revision(0) == Revision(0) {
            model.step();
        }
        assert_eq!(model.revision(0), Revision(5), "seed {seed}");
    }
}

#[test]
fn healed_partition_converges_on_the_newer_revision_without_reverting() {
    for seed in 0..30 {
        let mut model = Model::new(9, 3, 8, seed);
        assert!(model.time_to_all(DESIGN_SIZE_BOUND).is_some());
        model.service_is_down = true;
        model.partitioned = BTreeSet::from([0, 1, 2]);
        // Only router 5 applied the next revision before the outage.
        model.apply_revision(5, Revision(2));
        model.published = Revision(2);
        assert!(
            model.time_to_all(NINE_ROUTERS_BOUND).is_some(),
            "seed {seed}"
        );
        assert_eq!(model.revision(0), Revision(1));
        model.partitioned.clear();
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
fn end_of_an_outage_stays_within_the_read_limit() {
    // The service's rate limit for configuration; the model has the routers of the design size.
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
fn refused_payload_is_refetched_as_a_snapshot_from_another_peer() {
    let settings = FollowerSettings::default();
    let mut follower = Follower::new(RouterId(1), settings, 1, Timestamp(0));
    let now = Timestamp(0) + Duration::from_secs(1);
    follower.on_configured(Revision(4), now);
    follower.on_heartbeat(RouterId(2), Revision(5));
    let actions = follower.tick(|| false, now);
    let [ConfigurationAction::RequestPiece { to, request }] = actions.as_slice() else {
        panic!("expected one request for a piece: {actions:?}");
    };
    assert_eq!((*to, request.have), (RouterId(2), Revision(4)));
    let piece = test_replica(Revision(5))
        .piece(request)
        .expect("the replica is newer");
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
        panic!("expected one request for a piece: {actions:?}");
    };
    assert_eq!((*to, request.have), (RouterId(3), Revision(0)));
}

#[test]
fn zone_has_the_configured_number_of_relays_or_all_its_routers() {
    for routers in [1, 2, 3, 106] {
        let all = || (0..routers).map(RouterId);
        let relays = all().filter(|own| is_relay(*own, ZoneId(7), all())).count();
        assert_eq!(relays, RELAYS_PER_ZONE.min(routers as usize));
    }
}

#[test]
fn edits_are_served_for_a_known_base_and_the_snapshot_otherwise() {
    let replica = test_replica(Revision(10));
    let request = |have: u64, wanted: u64, offset: u32| ConfigurationRequest {
        have: Revision(have),
        wanted: Revision(wanted),
        offset,
    };
    let total = |request| replica.piece(&request).map(|piece| piece.total_bytes);
    assert_eq!(total(request(8, 0, 0)), Some(16));
    assert_eq!(total(request(2, 0, 0)), Some(30_008));
    assert_eq!(total(request(10, 0, 0)), None);
    let restarted = replica
        .piece(&request(0, 9, 8_192))
        .expect("the replica is newer");
    assert_eq!((restarted.offset, restarted.revision), (0, Revision(10)));
}
