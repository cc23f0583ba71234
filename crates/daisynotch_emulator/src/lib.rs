//! Routers and engines in simulated time: which policy serves a load best.
//!
//! An [`Experiment`] names a fleet, its demand, faults and the policies to compare; [`run`]
//! plays it with each policy on the same arrivals. The decisions are those of the product
//! (`daisynotch_core::direct`); the engines are a model of batch engines with one memory for
//! running requests and parts of prompts. See docs/design/emulator.md.

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
