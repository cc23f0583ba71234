//! Bounded model check of the core protocol.
//!
//! `docs/design/protocol-specification.md` states the protocol and its
//! invariants. A [`fleet::Fleet`] drives real routers' cores through a schedule; an
//! [`explore::Bounds`] says which schedules are covered. All schedules within the
//! bounds are run, and longer random ones from fixed seeds beside them.

mod explore;
mod fleet;
mod invariants;
mod network;
mod scenario;
mod schedules;
mod seeded;
