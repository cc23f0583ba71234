//! The decision logic of a router, free of I/O.
//!
//! [`Node::handle`] takes an [`Input`] and the current time and returns [`Output`]s: messages
//! to send, requests to dispatch and requests to refuse. `daisynotch_router` owns the sockets,
//! files and timers. Because time is an argument and nothing here blocks, the same code runs
//! in the daemon, in the model checker and in the policy benchmark. See
//! `docs/ARCHITECTURE.md`.

mod backoff;
mod catalogue;
mod configuration;
mod cost;
pub mod direct;
mod entry;
mod host_list;
mod idempotency;
mod membership;
mod message;
mod node;
mod placement;
mod response_end;
mod scheduler;
pub mod seeded_fault;
mod time;

pub use backoff::{Backoff, BackoffSettings, jittered};
pub use catalogue::{
    Catalogue, EndpointView, PoolView, RequestLimits, RouteView, ShareKey, TeamView,
};
pub use configuration::{
    ConfigurationAction, ConfigurationState, EditPayload, Follower, FollowerSettings,
    RELAYS_PER_ZONE, Replica, ServiceRead, is_relay,
};
pub use cost::Cost;
pub use daisynotch_objects::{
    EndpointId, PoolId, PoolKind, Revision, RouterId, RouterName, TeamId, ZoneId, ZoneName,
};
pub use entry::{Dispatch, Entry, EntryEvent, Refusal, RefusalReason, RequestId, RequestSpec};
pub use host_list::ListedHost;
pub use idempotency::{
    ClaimSeq, IdempotencyKey, IdempotencyRecords, IdempotencySettings, KEY_MAX_BYTES, KeyDecision,
    KeyError, KeyOutcome, KeyPrefix, MintWindow, RequestFingerprint,
};
pub use membership::{
    Changes, Introduction, Member, Membership, MembershipChange, MembershipSettings, OwnState,
};
pub use message::{
    ConfigurationPiece, ConfigurationRequest, Forward, ForwardedGrant, ForwardedTicket, Grant,
    Heartbeat, Incarnation, LengthClass, MemberState, MemberVersion, Peer, PeerMessage,
    PrefixFingerprint, Progress, Release, ReleaseReason, Rumor, Running, Service, ShardId,
    TeamService, Ticket, TicketSeq, ViewDigest, Want,
};
pub use node::{Input, Node, NodeSettings, Output};
pub use placement::rendezvous;
pub use response_end::{
    AskedOn, BodyContent, CutReason, Delimiter, EarlierConnection, EndVerdict, EndpointStatus,
    Inquiry, InquiryEnd, InquiryStep, QuestionEnd, SenderEvidence,
};
pub use scheduler::{Scheduler, SchedulerAction, SchedulerSettings, TicketKey};
pub use time::{Timestamp, age_to_ms};
