//! Messages between routers.
//!
//! The network may drop, duplicate, delay and reorder messages, so every receiver handles
//! them idempotently. A message about a slot names only the endpoint, which implies the
//! shard. `docs/design/tickets.md` describes the life cycle of a ticket, `docs/CAPACITY.md`
//! the size of each message.

use bytes::Bytes;
use smallvec::SmallVec;

use crate::cost::Cost;
use crate::membership::Introduction;
use crate::{EndpointId, PoolId, Revision, RouterId, TeamId, ZoneId};

/// Identifies one process lifetime of a router; a restart has another incarnation.
#[daisynotch_macros::number]
pub struct Incarnation(pub u64);

/// The sequence number of a ticket, unique within one incarnation of its entry.
#[daisynotch_macros::number]
pub struct TicketSeq(pub u64);

/// A hash of a prompt's prefix; an engine may reuse cached state for equal prefixes.
#[daisynotch_macros::number]
pub struct PrefixFingerprint(pub u32);

impl PrefixFingerprint {
    /// Hashes a prompt prefix.
    pub fn of_bytes(bytes: &[u8]) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(bytes);
        Self((hash ^ (hash >> 32)) as u32)
    }
}

/// Identifies a shard: the endpoints of a pool in one availability zone.
///
/// One scheduler serves each shard.
#[daisynotch_macros::message]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub struct ShardId {
    /// The pool that the endpoints belong to.
    pub pool: PoolId,
    /// The availability zone of the endpoints.
    pub zone: ZoneId,
}

/// The expected run time of a request.
#[daisynotch_macros::message]
#[derive(Copy, PartialOrd, Ord, Hash)]
pub enum LengthClass {
    /// The run time of most requests.
    Short,
    /// A run time many times longer, which few requests have.
    Long,
}

/// An entry's request for one slot.
#[daisynotch_macros::message]
pub struct Ticket {
    /// The ticket's sequence number at its entry.
    pub seq: TicketSeq,
    /// The shard whose scheduler receives the ticket.
    pub shard: ShardId,
    /// The team that is charged for the request.
    pub team: TeamId,
    /// The entry's estimate of the request's cost.
    pub hint: Cost,
    /// The expected run time of the request.
    pub class: LengthClass,
    /// The fingerprint of the prompt's prefix, if the request has a prompt.
    pub prefix: Option<PrefixFingerprint>,
    /// An endpoint to avoid because it is slow or has just failed.
    pub avoid: Option<EndpointId>,
    /// The time since the entry first sent the ticket; a grant's expiry counts from then.
    pub waited_ms: u32,
}

/// A scheduler's permission to use one slot on one endpoint.
#[daisynotch_macros::message]
pub struct Grant {
    /// The ticket that is granted.
    pub seq: TicketSeq,
    /// The endpoint that has the slot.
    pub endpoint: EndpointId,
    /// How long the grant is valid, counted from when the entry first sent the ticket.
    pub valid_after_sent_ms: u64,
}

/// Why a slot is released.
#[daisynotch_macros::message]
#[derive(Copy)]
pub enum ReleaseReason {
    /// The response completed successfully.
    Done,
    /// The request failed after it ran or may have run.
    Failed,
    /// The endpoint could not be reached or refused the request.
    Unreachable,
    /// The grant was not used.
    Unused,
    /// Another attempt of the same request responded first.
    Cancelled,
}

/// Releases a slot and reports the cost of the request.
#[daisynotch_macros::message]
pub struct Release {
    /// The ticket whose grant ends.
    pub seq: TicketSeq,
    /// The endpoint whose slot is released.
    pub endpoint: EndpointId,
    /// Why the slot is released.
    pub reason: ReleaseReason,
    /// The final cost of the request.
    pub cost: Cost,
    /// The time from dispatch to the first token, if one arrived.
    pub first_token_ms: Option<u32>,
    /// The mean time between tokens, if several arrived.
    pub token_gap_us: Option<u32>,
}

/// Reports the progress of a running request.
#[daisynotch_macros::message]
pub struct Progress {
    /// The ticket of the running request.
    pub seq: TicketSeq,
    /// The endpoint whose slot is held.
    pub endpoint: EndpointId,
    /// The cost of the request so far.
    pub cost: Cost,
    /// The time from dispatch to the first token, if one arrived.
    pub first_token_ms: Option<u32>,
    /// The mean time between recent tokens, if several arrived.
    pub token_gap_us: Option<u32>,
}

/// Reports a running request to a scheduler that may not know its grant.
#[daisynotch_macros::message]
pub struct Running {
    /// The ticket of the running request.
    pub seq: TicketSeq,
    /// The endpoint whose slot is held.
    pub endpoint: EndpointId,
    /// The team that is charged for the request.
    pub team: TeamId,
    /// The expected run time under which the slot was granted.
    pub class: LengthClass,
    /// The cost of the request so far.
    pub cost: Cost,
}

/// The service that a scheduler has charged a team since the scheduler started.
///
/// Both sums are monotonic.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct TeamService {
    /// The team.
    pub team: TeamId,
    /// The cost charged at grants and afterwards.
    pub charged: Cost,
    /// The charged cost that was refunded because hints were too large or grants unused.
    pub refunded: Cost,
}

/// Reports a shard's service and queue length to another shard of the pool.
#[daisynotch_macros::message]
pub struct Service {
    /// The shard that reports.
    pub shard: ShardId,
    /// The zone of the receiving shard.
    pub to: ZoneId,
    /// When the reporting scheduler started, on its router's own clock.
    pub started_us: u64,
    /// The number of tickets queued at the reporting shard.
    pub waiting: u32,
    /// Teams with tickets queued at the reporting shard whose service changed.
    pub served: SmallVec<[TeamService; 2]>,
}

/// Requests queued tickets from another shard of the pool.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct Want {
    /// The shard whose tickets are requested.
    pub shard: ShardId,
    /// The zone of the requesting shard.
    pub to: ZoneId,
    /// The number of tickets that the requesting shard would grant at once.
    pub idle: u32,
    /// The number of further tickets that it would queue for the next free slots.
    pub buffer: u32,
}

/// A ticket that its entry sent to the scheduler that forwards it.
#[daisynotch_macros::message]
pub struct ForwardedTicket {
    /// The entry that holds the request.
    pub entry: Peer,
    /// The ticket, with its waiting time up to now.
    pub ticket: Ticket,
}

/// Forwards queued tickets to another shard of the pool.
#[daisynotch_macros::message]
pub struct Forward {
    /// The shard that receives the tickets.
    pub shard: ShardId,
    /// The zone of the forwarding shard.
    pub from: ZoneId,
    /// The forwarded tickets.
    pub tickets: Vec<ForwardedTicket>,
    /// The number of tickets that stay queued at the forwarding shard.
    pub left: u32,
}

/// Grants a slot for a ticket that its entry sent to another router.
#[daisynotch_macros::message]
pub struct ForwardedGrant {
    /// The router that the entry sent the ticket to.
    pub asked: Peer,
    /// The shard that grants the slot.
    pub shard: ShardId,
    /// The grant; its expiry counts from when the entry sent the ticket to that router.
    pub grant: Grant,
}

/// The version of a router's own state, within one incarnation.
#[daisynotch_macros::number]
pub struct MemberVersion(pub u32);

/// A hash of a router's membership view; equal views have equal digests.
#[daisynotch_macros::number]
pub struct ViewDigest(pub u16);

/// A router's own state, as gossip spreads it.
#[daisynotch_macros::message]
pub struct MemberState {
    /// The router's identity, zone and addresses.
    pub introduction: Introduction,
    /// The version of this state.
    pub version: MemberVersion,
    /// Whether the router is leaving.
    pub leaving: bool,
}

/// A liveness update about a router, spread by gossip.
#[daisynotch_macros::message]
pub enum Rumor {
    /// The router is live.
    Alive(MemberState),
    /// The router is silent; it can refute the suspicion with a higher version.
    Suspected {
        /// The router.
        peer: Peer,
        /// The newest version that was known.
        version: MemberVersion,
    },
    /// The router did not refute a suspicion in time.
    Lost {
        /// The router.
        peer: Peer,
        /// The newest version that was known.
        version: MemberVersion,
    },
}

impl Rumor {
    /// Returns the router that the rumor is about.
    pub fn peer(&self) -> Peer {
        match self {
            Self::Alive(state) => state.introduction.peer,
            Self::Suspected { peer, .. } | Self::Lost { peer, .. } => *peer,
        }
    }
}

/// A periodic liveness message with the sender's state, view digest and rumors.
#[daisynotch_macros::message]
pub struct Heartbeat {
    /// The sender's configuration revision.
    pub revision: Revision,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// The number of requests that the sender's callers have open.
    pub open_requests: u32,
    /// The version of the sender's own state.
    pub version: MemberVersion,
    /// Whether the sender recently received a heartbeat from the receiver.
    pub hears_you: bool,
    /// Whether the receiver should reply although it is not a neighbour.
    pub wants_answer: bool,
    /// Whether the receiver should send its whole membership view.
    pub wants_view: bool,
    /// The digest of the sender's view, which reveals differences.
    pub digest: ViewDigest,
    /// Liveness updates that the sender passes on.
    pub rumors: Vec<Rumor>,
}

/// Requests a piece of the newest objects that the receiver has.
#[daisynotch_macros::message]
pub struct ConfigurationRequest {
    /// The revision that the sender has and can apply edits to; zero if none.
    pub have: Revision,
    /// The revision of the pieces received so far; zero before the first.
    pub wanted: Revision,
    /// The number of bytes received of that revision.
    pub offset: u32,
}

/// A piece of the encoded objects: of a full snapshot or of edits to a revision.
#[daisynotch_macros::message]
pub struct ConfigurationPiece {
    /// The base revision that the request named.
    pub have: Revision,
    /// The revision that all pieces together result in.
    pub revision: Revision,
    /// The byte offset of the piece.
    pub offset: u32,
    /// The total length of all pieces.
    pub total_bytes: u32,
    /// The bytes of the piece.
    pub bytes: Bytes,
}

/// A message between two routers about requests, liveness or configuration.
#[daisynotch_macros::message]
pub enum PeerMessage {
    /// Entry to scheduler: requests a slot.
    Ticket(Ticket),
    /// Entry to scheduler: withdraws a queued ticket.
    Withdraw {
        /// The shard that the ticket was sent to.
        shard: ShardId,
        /// The ticket's sequence number.
        seq: TicketSeq,
    },
    /// Scheduler to entry: grants a slot.
    Grant(Grant),
    /// Scheduler to entry: the sender does not schedule the shard.
    NotScheduler {
        /// The shard that the tickets were sent to.
        shard: ShardId,
        /// The tickets that were not queued.
        seqs: SmallVec<[TicketSeq; 2]>,
    },
    /// Entry to scheduler: releases a slot.
    Release(Release),
    /// Entry to scheduler: reports the progress of a running request.
    Progress(Progress),
    /// Entry to scheduler: reports a request that runs under an earlier scheduler's grant.
    Running(Running),
    /// Scheduler to entry: asks for the state of a grant.
    Query {
        /// The endpoint whose slot is held.
        endpoint: EndpointId,
        /// The ticket's sequence number.
        seq: TicketSeq,
    },
    /// Router to router: reports liveness and spreads rumors.
    Heartbeat(Heartbeat),
    /// Scheduler to scheduler: reports service and queued tickets.
    Service(Service),
    /// Scheduler to scheduler: requests queued tickets.
    Want(Want),
    /// Scheduler to scheduler: forwards queued tickets.
    Forward(Forward),
    /// Scheduler to entry: grants a slot for a forwarded ticket.
    ForwardedGrant(ForwardedGrant),
    /// Router to router: requests newer objects.
    ConfigurationRequest(ConfigurationRequest),
    /// Router to router: carries a piece of newer objects.
    ConfigurationPiece(ConfigurationPiece),
}

impl PeerMessage {
    /// Returns whether the message makes its receiver hold a slot or a queue entry for the sender.
    ///
    /// Such a message is ignored if it comes from an entry that is gone or declared lost,
    /// because nobody would release the slot. A live entry sends it again.
    pub fn holds_capacity(&self) -> bool {
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

/// One incarnation of a router, for example the sender of a message.
#[daisynotch_macros::message]
#[derive(Copy, Hash, PartialOrd, Ord)]
pub struct Peer {
    /// The router's identifier.
    pub router: RouterId,
    /// The router's incarnation.
    pub incarnation: Incarnation,
}
