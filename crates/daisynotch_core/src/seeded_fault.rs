//! Deliberate faults that validate the model check and the checks of generated histories.
//!
//! Each fault breaks one invariant of `docs/design/protocol-specification.md`,
//! `docs/design/crashing-parts.md`, `docs/design/response-ends.md`, `docs/design/exchange.md`,
//! `docs/design/shared-limits.md`, `docs/design/evacuation.md`, `docs/design/cold-endpoints.md` or
//! `docs/design/store-outages.md`.
//! Seeding requires the cargo feature `seeded_faults`, which only the tests of this crate enable;
//! without it the checks compile to a constant and cost nothing. The seeded fault is a
//! thread-local value, so tests can run in parallel.

/// A deliberate fault in the core that a check must detect.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum SeededFault {
    /// The entry dispatches a running request again when another grant arrives.
    DispatchWhileRunning,
    /// The entry retries a failed request that may have run.
    RetryAfterFailure,
    /// The entry still enforces the queue deadline after it has dispatched the request.
    KeepDeadline,
    /// The entry drops a request whose endpoint could not be reached.
    ForgetUnreachable,
    /// The scheduler never queries the state of a grant.
    NoQuery,
    /// The scheduler frees a slot twice when it receives a duplicate release.
    FreeTwice,
    /// The router accepts an older revision.
    AcceptOldRevision,
    /// The entry uses an expired grant.
    IgnoreValidity,
    /// The entry reuses a ticket number when it sends the ticket to another scheduler.
    KeepTicketNumber,
    /// The scheduler accepts tickets of an entry that is gone.
    AcceptLostEntry,
    /// Each open request at a crashed engine counts as a crash of its own.
    CountOpenRequests,
    /// Answers prove nothing about the parts of their prompts.
    IgnorePartProofs,
    /// The first event of an answer proves the parts of its prompt at once.
    ProveByFirstEvent,
    /// Parts are blocked without a trial.
    BlockWithoutTrial,
    /// Whatever listens at a sender's address is taken for the sender.
    TrustAnyListener,
    /// A later start of a sender is taken for the one that sent the body.
    IgnoreStart,
    /// A body whose sender does not answer is taken for complete.
    TrustSilence,
    /// The sender of a body is asked for a second only.
    AskBriefly,
    /// The sender of a body is asked on one new connection only.
    AskOnce,
    /// The name of a sender on a new connection counts however late it is said.
    TrustLateName,
    /// A router keeps the limit of an endpoint for itself alone.
    KeepWholeLimit,
    /// All routers hold equal parts of a limit, each with a burst of one request.
    DivideAmongAll,
    /// Limits are not passed on to other routers.
    KeepLimitSecret,
    /// The time that a message was on its way is left out of the ages in it.
    IgnoreTransit,
    /// The same for the first messages of a router only, whose time on the way has no bound.
    AssumeNoTransit,
    /// Orders to evacuate a zone are not taken from other routers.
    IgnoreEvacuationNews,
    /// Parts of a cold endpoint's limit are given to others whenever their holders are silent.
    GiveSilentParts,
    /// Failures of endpoints are not passed on to other routers.
    KeepFailuresSecret,
    /// Any failed call to the store counts as an outage in which entries lapse.
    CountAnyFailure,
    /// Endpoints whose entries lapsed stay in use.
    KeepLapsedEntries,
    /// A missing entry counts as removed, whatever happened to the store.
    IgnoreOutages,
    /// A router that starts holds its parts of cold endpoints' limits before it hears others.
    HoldAtStart,
}

#[cfg(feature = "seeded_faults")]
mod switch {
    use std::cell::Cell;

    use super::SeededFault;

    thread_local! {
        static SEEDED: Cell<Option<SeededFault>> = const { Cell::new(None) };
    }

    /// Seeds a fault in the nodes that run on this thread, or clears it with `None`.
    pub fn seed(fault: Option<SeededFault>) {
        SEEDED.set(fault);
    }

    pub(crate) fn is_seeded(fault: SeededFault) -> bool {
        SEEDED.get() == Some(fault)
    }
}

#[cfg(feature = "seeded_faults")]
pub(crate) use switch::is_seeded;
#[cfg(feature = "seeded_faults")]
pub use switch::seed;

/// Returns `false`: a build without the feature `seeded_faults` has no seeded faults.
#[cfg(not(feature = "seeded_faults"))]
pub(crate) const fn is_seeded(_fault: SeededFault) -> bool {
    false
}
