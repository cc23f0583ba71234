//! Messages between routers.
//!
//! Every message may be lost, doubled, late or crossed; each is idempotent at its
//! receiver. A message about a slot names the endpoint, which implies the shard. The life of a ticket is described in `docs/design/tickets.md`, the
//! bytes that each message takes in `docs/CAPACITY.md`.

use bytes::Bytes;
use smallvec::SmallVec;

use crate::cost::Cost;
use crate::membership::Introduction;
use crate::{EndpointId, PoolId, Revision, RouterId, TeamId, ZoneId};

/// Tells one start of a router from the next.
#[daisynotch_macros::number]
pub struct Incarnation(pub u64);

/// Numbers the tickets of one entry incarnation.
#[daisynotch_macros::number]
pub struct TicketSeq(pub u64);

/// A hash of a prompt's beginning; equal prompts may share cached state at an engine.
#[daisynotch_macros::number]
pub struct PrefixFingerprint(pub u32);

impl PrefixFingerprint {
    /// Hashes the beginning of a prompt.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(bytes);
        Self((hash ^ (hash >> 32)) as u32)
    }
}

/// The part of a pool that one scheduler orders: its endpoints in one zone.
#[daisynotch_macros::message]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub struct ShardId {
    /// The pool.
    pub pool: PoolId,
    /// The availability zone of the endpoints.
    pub zone: ZoneId,
}

/// How long a request is expected to run.
#[daisynotch_macros::message]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub enum LengthClass {
    /// Most requests.
    Short,
    /// The few that run many times longer.
    Long,
}

/// Asks for one slot.
#[daisynotch_macros::message]
pub struct Ticket {
    /// The ticket's number at its entry.
    pub seq: TicketSeq,
    /// The shard that is asked.
    pub shard: ShardId,
    /// The team that the work is charged to.
    pub team: TeamId,
    /// What the request will cost, as far as the entry can guess.
    pub hint: Cost,
    /// How long the request is expected to run.
    pub class: LengthClass,
    /// The prompt's beginning, when it has one.
    pub prefix: Option<PrefixFingerprint>,
    /// An endpoint that is not wanted, as it is slow or has just failed.
    pub avoid: Option<EndpointId>,
    /// How long ago the entry asked first, so that a grant's expiry counts from then.
    pub waited_ms: u32,
}

/// Gives one slot on one endpoint.
#[daisynotch_macros::message]
pub struct Grant {
    /// The ticket that is answered.
    pub seq: TicketSeq,
    /// The endpoint that has the slot.
    pub endpoint: EndpointId,
    /// How long after sending the ticket the entry may still use the grant.
    pub valid_after_sent_ms: u64,
}

/// Why a slot is given back.
#[daisynotch_macros::message]
#[derive(Copy)]
pub enum ReleaseReason {
    /// The answer ended as it should.
    Done,
    /// The work ran or may have run, and failed.
    Failed,
    /// The endpoint could not be reached or refused the work.
    Unreachable,
    /// The grant was not used.
    Unused,
    /// Another attempt of the same request answered first.
    Cancelled,
}

/// Gives a slot back, with what the work cost.
#[daisynotch_macros::message]
pub struct Release {
    /// The ticket whose grant ends.
    pub seq: TicketSeq,
    /// The endpoint that had the slot.
    pub endpoint: EndpointId,
    /// Why it ends.
    pub reason: ReleaseReason,
    /// What the work cost in the end.
    pub cost: Cost,
    /// The time from dispatch to the first token, when one came.
    pub first_token_ms: Option<u32>,
    /// The mean time between tokens, when there were several.
    pub token_gap_us: Option<u32>,
}

/// Reports work that goes on.
#[daisynotch_macros::message]
pub struct Progress {
    /// The ticket that runs.
    pub seq: TicketSeq,
    /// The endpoint whose slot is held.
    pub endpoint: EndpointId,
    /// What the work has cost so far.
    pub cost: Cost,
    /// The time from dispatch to the first token, when one came.
    pub first_token_ms: Option<u32>,
    /// The mean time between recent tokens, when there were several.
    pub token_gap_us: Option<u32>,
}

/// Tells a scheduler of work that runs under a grant it may not know of.
#[daisynotch_macros::message]
pub struct Running {
    /// The ticket that runs.
    pub seq: TicketSeq,
    /// The endpoint whose slot is held.
    pub endpoint: EndpointId,
    /// The team that is charged.
    pub team: TeamId,
    /// The class under which the work was granted.
    pub class: LengthClass,
    /// What the work has cost so far.
    pub cost: Cost,
}

/// What one scheduler has charged a team since the scheduler started; both sums only grow.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct TeamService {
    /// The team.
    pub team: TeamId,
    /// What was charged at grants and after.
    pub charged: Cost,
    /// What was given back of it, as hints were too large or grants went unused.
    pub refunded: Cost,
}

/// Tells another shard of the pool what was served here and how much waits.
#[daisynotch_macros::message]
pub struct Service {
    /// The shard that tells.
    pub shard: ShardId,
    /// The zone of the shard that is told.
    pub to: ZoneId,
    /// When the telling scheduler started, on its router's own clock.
    pub started_us: u64,
    /// Tickets that wait there.
    pub waiting: u32,
    /// Teams that wait there and whose service moved.
    pub served: SmallVec<[TeamService; 2]>,
}

/// Asks another shard of the pool for tickets that wait there.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct Want {
    /// The shard that is asked.
    pub shard: ShardId,
    /// The zone of the shard that asks.
    pub to: ZoneId,
    /// Tickets that would get a slot at once.
    pub idle: u32,
    /// Tickets that would wait there for the next slots.
    pub buffer: u32,
}

/// A ticket for which an entry asked the sender.
#[daisynotch_macros::message]
pub struct ForwardedTicket {
    /// The entry that holds the request.
    pub entry: Peer,
    /// The ticket, with the time that it has waited so far.
    pub ticket: Ticket,
}

/// Passes waiting tickets to another shard of the pool.
#[daisynotch_macros::message]
pub struct Forward {
    /// The shard that gets them.
    pub shard: ShardId,
    /// The zone of the shard that gave them.
    pub from: ZoneId,
    /// The tickets.
    pub tickets: Vec<ForwardedTicket>,
    /// Tickets that wait still where these came from.
    pub left: u32,
}

/// Gives a slot for a ticket that its entry sent to another router.
#[daisynotch_macros::message]
pub struct ForwardedGrant {
    /// The router that the entry asked.
    pub asked: Peer,
    /// The shard that grants.
    pub shard: ShardId,
    /// The grant; its expiry counts from when the entry asked that router.
    pub grant: Grant,
}

/// Numbers what one router incarnation says of itself.
#[daisynotch_macros::number]
pub struct MemberVersion(pub u32);

/// A number that equal views of the fleet share.
#[daisynotch_macros::number]
pub struct ViewDigest(pub u16);

/// What a router says of itself, as others pass it on.
#[daisynotch_macros::message]
pub struct MemberState {
    /// Who it is and where it is reached.
    pub introduction: Introduction,
    /// Which of its own words this is.
    pub version: MemberVersion,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// Word of a router that is passed on.
#[daisynotch_macros::message]
pub enum Rumor {
    /// It is live.
    Alive(MemberState),
    /// It is silent; it may refute that with a higher version.
    Suspected {
        /// The router.
        peer: Peer,
        /// The newest version that was known.
        version: MemberVersion,
    },
    /// It did not refute in time.
    Lost {
        /// The router.
        peer: Peer,
        /// The newest version that was known.
        version: MemberVersion,
    },
}

impl Rumor {
    /// Gives the router that this is about.
    pub fn peer(&self) -> Peer {
        match self {
            Self::Alive(state) => state.introduction.peer,
            Self::Suspected { peer, .. } | Self::Lost { peer, .. } => *peer,
        }
    }
}

/// Says that a router is alive and what it knows.
#[daisynotch_macros::message]
pub struct Heartbeat {
    /// The newest configuration that the sender has.
    pub revision: Revision,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Requests that the sender's callers have open.
    pub open_requests: u32,
    /// The version of what the sender says of itself.
    pub version: MemberVersion,
    /// Whether a heartbeat of the receiver's came lately.
    pub hears_you: bool,
    /// Whether the receiver should answer though it is no neighbour.
    pub wants_answer: bool,
    /// Whether the receiver should tell its whole view.
    pub wants_view: bool,
    /// The sender's view, to find differences.
    pub digest: ViewDigest,
    /// News of routers.
    pub rumors: Vec<Rumor>,
}

/// Asks for a piece of the newest objects that the receiver has.
#[daisynotch_macros::message]
pub struct ConfigurationRequest {
    /// The revision that the sender has and can apply edits to; zero for none.
    pub have: Revision,
    /// The revision whose pieces came so far; zero before the first.
    pub wanted: Revision,
    /// The bytes that the sender has of it.
    pub offset: u32,
}

/// A piece of the objects, as a whole or as edits to a revision.
#[daisynotch_macros::message]
pub struct ConfigurationPiece {
    /// The revision that the request named.
    pub have: Revision,
    /// The revision that all pieces together make.
    pub revision: Revision,
    /// Where the piece starts.
    pub offset: u32,
    /// The length of all pieces together.
    pub total_bytes: u32,
    /// The piece.
    pub bytes: Bytes,
}

/// Anything that one router says to another about requests and its own state.
#[daisynotch_macros::message]
pub enum PeerMessage {
    /// Entry to scheduler: asks for a slot.
    Ticket(Ticket),
    /// Entry to scheduler: a ticket that waits is no longer wanted.
    Withdraw {
        /// The shard that was asked.
        shard: ShardId,
        /// The ticket's number.
        seq: TicketSeq,
    },
    /// Scheduler to entry: gives a slot.
    Grant(Grant),
    /// Scheduler to entry: the sender doesn't schedule the shard.
    NotScheduler {
        /// The shard that was asked.
        shard: ShardId,
        /// The tickets that were not taken.
        seqs: SmallVec<[TicketSeq; 2]>,
    },
    /// Entry to scheduler: gives a slot back.
    Release(Release),
    /// Entry to scheduler: work goes on.
    Progress(Progress),
    /// Entry to scheduler: work runs under a grant of an earlier scheduler.
    Running(Running),
    /// Scheduler to entry: asks what became of a grant.
    Query {
        /// The endpoint whose slot is held.
        endpoint: EndpointId,
        /// The ticket's number.
        seq: TicketSeq,
    },
    /// Router to router.
    Heartbeat(Heartbeat),
    /// Scheduler to scheduler: service given and tickets waiting.
    Service(Service),
    /// Scheduler to scheduler: asks for tickets.
    Want(Want),
    /// Scheduler to scheduler: passes tickets on.
    Forward(Forward),
    /// Scheduler to entry: gives a slot for a ticket that was passed on.
    ForwardedGrant(ForwardedGrant),
    /// Router to router: asks for newer objects.
    ConfigurationRequest(ConfigurationRequest),
    /// Router to router: a piece of newer objects.
    ConfigurationPiece(ConfigurationPiece),
}

impl PeerMessage {
    /// Says whether the receiver holds a slot or a place in a queue for the sender.
    ///
    /// From an entry that is gone, or was taken for lost, such a message is not
    /// heard: nobody would give the slot back. An entry that lives sends it again.
    pub fn takes_a_slot(&self) -> bool {
        match self {
            Self::Ticket(_) | Self::Running(_) | Self::Progress(_) => true,
            Self::Withdraw { .. }
            | Self::Grant(_)
            | Self::NotScheduler { .. }
            | Self::Release(_)
            | Self::Query { .. }
            | Self::Heartbeat(_)
            | Self::Service(_)
            | Self::Want(_)
            | Self::Forward(_)
            | Self::ForwardedGrant(_)
            | Self::ConfigurationRequest(_)
            | Self::ConfigurationPiece(_) => false,
        }
    }
}

/// A router that a message came from.
#[daisynotch_macros::message]
#[derive(Copy, Hash, PartialOrd, Ord)]
pub struct Peer {
    /// The router.
    pub router: RouterId,
    /// Its incarnation.
    pub incarnation: Incarnation,
}
