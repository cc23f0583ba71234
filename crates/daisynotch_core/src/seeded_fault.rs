//! Faults that the model check must find.
//!
//! Each breaks one invariant of `docs/design/protocol-specification.md`. They exist
//! only with the cargo feature `seeded_faults`, which nothing but the tests of this
//! crate enables; without it no fault can be seeded and the checks cost nothing.
//! The choice is kept for each thread, so that tests can run side by side.

/// A fault in the core, kept to show that the model check finds it.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum SeededFault {
    /// The entry dispatches a request that runs already when another grant comes.
    DispatchWhileRunning,
    /// The entry tries a request again that failed and may have run.
    RetryAfterFailure,
    /// The entry leaves the queue deadline of a dispatched request in force.
    KeepDeadline,
    /// The entry forgets a request whose endpoint could not be reached.
    ForgetUnreachable,
    /// The scheduler never asks what became of a grant.
    NoQuery,
    /// The scheduler frees a slot again when a release is doubled.
    FreeTwice,
    /// The router takes in an older revision.
    AcceptOldRevision,
    /// The entry uses a grant after its validity.
    IgnoreValidity,
    /// The entry asks another scheduler under the ticket number that it had.
    KeepTicketNumber,
    /// The scheduler takes in tickets of an entry that is gone.
    AcceptLostEntry,
}

#[cfg(feature = "seeded_faults")]
mod switch {
    use std::cell::Cell;

    use super::SeededFault;

    thread_local! {
        static SEEDED: Cell<Option<SeededFault>> = const { Cell::new(None) };
    }

    /// Seeds a fault, or none, in the cores that this thread runs.
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

/// Says whether a fault is seeded, which it never is in a build without them.
#[cfg(not(feature = "seeded_faults"))]
pub(crate) const fn is_seeded(_fault: SeededFault) -> bool {
    false
}
