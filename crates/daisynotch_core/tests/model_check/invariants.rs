//! The invariants that must hold after every step, checked from outside the routers.

use daisynotch_core::{EndpointId, Peer, ReleaseReason, RequestId, Timestamp};

use crate::fleet::SchedulerStart;

/// An invariant of the specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Invariant {
    /// A request has at most one open dispatch.
    OneDispatchAtATime,
    /// A request that may have run is not dispatched again.
    AtMostOnce,
    /// A router refuses only requests that did not run.
    NotRunIsTrue,
    /// Every request that a live router admitted ends.
    NothingLost,
    /// Every slot is released.
    NoSlotLeak,
    /// A scheduler grants no more requests for an endpoint than the endpoint has slots.
    NoOverAdmission,
    /// A router's configuration revision never decreases.
    RevisionMonotone,
    /// A router doesn't use a grant that has expired.
    GrantValidity,
}

/// A broken invariant, with the state that broke it.
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
    /// The outcome that the entry learned of; `None` while the dispatch is open.
    pub(crate) ended: Option<ReleaseReason>,
    /// When the endpoint cancels the dispatch because its entry crashed.
    pub(crate) dropped_at: Option<Timestamp>,
    /// Whether the scheduler's router has since considered the entry lost.
    pub(crate) is_entry_presumed_lost: bool,
}

impl DispatchRecord {
    /// Reports whether the endpoint is working on the request at `now`.
    pub(crate) fn runs(&self, now: Timestamp) -> bool {
        self.ended.is_none() && self.dropped_at.is_none_or(|at| now < at)
    }
}

/// How a request ended, as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// The caller received a response, or the request failed after it may have run.
    Completed,
    /// The router refused the request.
    Refused,
    /// The caller closed the connection before the request ended.
    CallerLeft,
    /// The router that admitted the request crashed.
    RouterLost,
}

/// An admitted request with its dispatches and its end.
#[derive(Debug, Clone)]
pub(crate) struct RequestRecord {
    pub(crate) entry: Peer,
    pub(crate) id: RequestId,
    pub(crate) dispatches: Vec<DispatchRecord>,
    pub(crate) end: Option<End>,
}

impl RequestRecord {
    /// Returns the dispatch that has not ended.
    pub(crate) fn open_dispatch(&self) -> Option<&DispatchRecord> {
        self.dispatches
            .iter()
            .find(|dispatch| dispatch.ended.is_none())
    }

    /// Records a dispatch, or returns the invariant that it breaks.
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

    /// Records a refusal, or returns a violation if the request may have run.
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

/// Returns an error for a broken invariant.
pub(crate) fn violation<T>(
    invariant: Invariant,
    seen: &impl std::fmt::Debug,
) -> Result<T, Violation> {
    Err(Violation {
        invariant,
        seen: format!("{seen:?}"),
    })
}
