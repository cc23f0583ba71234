//! Bounded model check of the core protocol.
//!
//! `docs/design/protocol-specification.md` states the protocol and its
//! invariants. A [`fleet::Fleet`] drives the cores of real routers through a
//! schedule of steps, and [`explore::Bounds`] limits the schedules to cover. The
//! tests run every schedule within the bounds, and longer random ones from fixed
//! seeds.

mod explore;
mod fleet;
mod invariants;
mod network;
mod scenario;
mod schedules;
mod seeded;
