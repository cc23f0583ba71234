//! What must hold after every step, seen from outside the routers.

use daisynotch_core::{EndpointId, Peer, ReleaseReason, RequestId, Timestamp};

use crate::fleet::SchedulerStart;

/// A broken invariant of the specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Invariant {
    /// A request is dispatched at most once at a time.
    OneDispatchAtATime,
    /// A request that may have run is not dispatched again.
    AtMostOnce,
    /// A refusal is only said of a request that did not run.
    NotRunIsTrue,
    /// Every admitted request of a living router ends.
    NothingLost,
    /// Every slot is given back.
    NoSlotLeak,
    /// A scheduler gives an endpoint no more work than it has slots.
    NoOverAdmission,
    /// A router's configuration revision never decreases.
    RevisionMonotone,
    /// A grant is not used after its validity.
    GrantValidity,
}

/// A broken invariant with what was seen.
#[derive(Debug, Clone, thiserror::Error)]
#[error("{invariant:?}: {seen}")]
pub(crate) struct Violation {
    pub(crate) invariant: Invariant,
    pub(crate) seen: String,
}

/// One dispatch of a request.
#[derive(Debug, Clone)]
pub(crate) struct DispatchRecord {
    pub(crate) endpoint: EndpointId,
    pub(crate) granted_by: SchedulerStart,
    /// How it ended, as the entry was told.
    pub(crate) ended: Option<ReleaseReason>,
    /// When the endpoint drops the work of an entry that crashed.
    pub(crate) dropped_at: Option<Timestamp>,
    /// Whether the scheduler's router took the entry for lost since.
    pub(crate) is_given_up: bool,
}

impl DispatchRecord {
    /// Says whether the endpoint works on it.
    pub(crate) fn runs(&self, now: Timestamp) -> bool {
        self.ended.is_none() && self.dropped_at.is_none_or(|at| now < at)
    }
}

/// How a request ended towards its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// It was answered, or failed after it may have run.
    Answered,
    /// It was refused.
    Refused,
    /// The caller left.
    CallerLeft,
    /// The router crashed.
    RouterLost,
}

/// An admitted request, as its caller sees it.
#[derive(Debug, Clone)]
pub(crate) struct RequestRecord {
    pub(crate) entry: Peer,
    pub(crate) id: RequestId,
    pub(crate) dispatches: Vec<DispatchRecord>,
    pub(crate) end: Option<End>,
}

impl RequestRecord {
    /// Gives the dispatch that has not ended.
    pub(crate) fn open_dispatch(&self) -> Option<&DispatchRecord> {
        self.dispatches
            .iter()
            .find(|dispatch| dispatch.ended.is_none())
    }

    /// Notes a dispatch, unless it may not be.
    pub(crate) fn dispatch(&mut self, dispatch: DispatchRecord) -> Result<(), Violation> {
        if self.open_dispatch().is_some() {
            return violation(Invariant::OneDispatchAtATime, self);
        }
        let may_have_run =
            |earlier: &DispatchRecord| earlier.ended != Some(ReleaseReason::Unreachable);
        if self.end.is_some() || self.dispatches.iter().any(may_have_run) {
            return violation(Invariant::AtMostOnce, self);
        }
        self.dispatches.push(dispatch);
        Ok(())
    }

    /// Notes a refusal, unless it is false.
    pub(crate) fn refuse(&mut self) -> Result<(), Violation> {
        let did_not_run =
            |dispatch: &DispatchRecord| dispatch.ended == Some(ReleaseReason::Unreachable);
        if self.end.is_some() || !self.dispatches.iter().all(did_not_run) {
            return violation(Invariant::NotRunIsTrue, self);
        }
        self.end = Some(End::Refused);
        Ok(())
    }
}

/// Reports a broken invariant.
pub(crate) fn violation<T>(
    invariant: Invariant,
    seen: &impl std::fmt::Debug,
) -> Result<T, Violation> {
    Err(Violation {
        invariant,
        seen: format!("{seen:?}"),
    })
}
