//! A discrete-event simulation of routers and engines that compares dispatch policies.
//!
//! An [`Experiment`] describes a fleet, its demand, its faults and the policies to compare; [`run`]
//! simulates it with each policy on the same arrivals. The routers decide with the production code
//! (`daisynotch_core::direct`). The engines are modelled: they batch requests and share one memory
//! between running requests and cached prompt parts. See docs/design/emulator.md.

mod emulation;
mod engine;
mod experiment;
mod figures;
mod fleet;
mod load;
mod plot;
mod policy;

pub use emulation::run;
pub use experiment::{
    Demand, Engines, Experiment, ExperimentError, Fault, FaultKind, Fleet, Sharing,
};
pub use figures::{Figures, Report, Second};
pub use plot::to_svg;
pub use policy::PolicyName;
