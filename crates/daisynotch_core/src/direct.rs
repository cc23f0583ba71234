//! Request dispatch without a central scheduler, based on load digests that routers exchange.
//!
//! Each router places the requests of its own callers, based on what it has sent itself and on
//! the latest digests of the other routers. No scheduler is queried, so none can fail. A digest
//! may be lost, late or duplicated; the next one replaces it.
//! See `docs/design/direct-dispatch.md`.

mod answer_length;
mod body_memory;
mod cold_starts;
mod configuration_check;
mod configuration_entries;
mod confirmation;
mod crash_evidence;
mod digest;
mod dispatcher;
mod endpoints;
mod engine;
mod evacuation;
mod event_framer;
mod event_order;
mod exchange;
mod health;
mod hosts;
mod idle_limits;
mod pace;
mod part_cache;
mod peer_silence;
mod placement;
mod pressure;
mod pushback;
mod remaining_work;
mod request;
mod retry_budget;
mod round_trips;
mod routes;
mod shared_limits;
mod shares;
mod slow_readers;
mod speed_news;
mod store_freshness;
mod store_order;
mod store_outage;
mod waiting;

pub use body_memory::{BodyMemory, HeldMemory, NoBodyMemory};
pub use cold_starts::{
    ColdChange, ColdNews, ColdReason, ColdSettings, FailedEndpoint, ReturnedZone,
};
pub use configuration_check::{
    ConfigurationFinding, ConfigurationObject, EndpointCounts, Severity, check_configuration,
    check_version, shorten_credential,
};
pub use configuration_entries::ConfigurationEntries;
pub use confirmation::{Confirmation, ConfirmationSource};
pub use crash_evidence::{
    AnswerStage, Assessment, CrashEvidence, CrashNews, CrashReport, CrashedEndpoint,
    CrashedEndpoints, EvidenceChange, LateCrashNews, OpenRun, PartBlock, PartIds, PartProof,
    shared_part_ids,
};
pub use digest::{
    Digest, EndpointDigest, Heartbeat, HostIntroduction, HostPhase, IntroducedHost, PlacedParts,
    TeamDigest,
};
pub use dispatcher::Dispatcher;
pub use endpoints::{
    DepartedEndpoint, EndpointChange, EndpointEntry, EndpointList, EndpointState, EndpointTiming,
    LapseNews,
};
pub use evacuation::{EvacuationChange, EvacuationNews, EvacuationOrder, Evacuations};
pub use event_framer::EventFramer;
pub use event_order::EventError;
pub use exchange::{Exchange, OwnRole, Recipients};
pub use hosts::{Host, HostTable};
pub use idle_limits::IdleLimits;
pub use part_cache::{Part, Parts};
pub use peer_silence::{PeerSilence, PeerState, TransmissionAges, TransmissionReport};
pub use pressure::Pressure;
pub use request::{
    CostModel, DispatcherSettings, Grant, QueueId, RefuseReason, RequestSpec, RunId, RunOutcome,
    Verdict,
};
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use round_trips::{Echo, MessageTiming, RoundTrips};
pub use routes::{
    CallerLimits, ColdStart, EngineLimits, Route, RouteKind, RouteTable, ServiceView, TeamEntry,
};
pub use shared_limits::{
    DemandLevel, LimitChange, LimitNews, RequestRate, ServiceDemand, StatedLimit,
};
pub use shares::{Charge, ShareSettings, TeamShares};
pub use slow_readers::{UnreadStream, UnreadTime, stream_to_close};
pub use speed_news::{EndpointSpeed, SpeedNews, WorkNews};
pub use store_freshness::time_until_recheck;
pub use store_order::{ConfigurationStamp, StoreOrderError, StorePosition};
pub use store_outage::{StoreFailure, StoreOutage};
