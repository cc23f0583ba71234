//! Starts and ends the faults of an experiment.

use rand::RngExt;

use super::{Emulation, Event};
use crate::experiment::FaultKind;

impl Emulation<'_> {
    /// Makes other engines slow than in the moment before.
    pub(super) fn next_slow_moment(&mut self) {
        let Some(moments) = self.experiment.engines.slow_moments else {
            return;
        };
        for engine in &mut self.engines {
            let is_slow = self.fault_rng.random::<f64>() < moments.part;
            engine.slowdown = if is_slow { moments.times } else { 1.0 };
        }
        self.schedule(moments.for_ms * 1_000, Event::SlowMoment);
    }

    pub(super) fn set_fault_active(&mut self, fault: usize, is_active: bool) {
        let fault_spec = &self.experiment.faults[fault];
        for engine in 0..fault_spec.engines {
            match fault_spec.kind {
                FaultKind::Slow => {
                    self.engines[engine].slowdown = if is_active { fault_spec.times } else { 1.0 };
                }
                FaultKind::Grey => {
                    self.engines[engine].error_fraction =
                        if is_active { fault_spec.times } else { 0.0 };
                }
                FaultKind::Crash => {
                    if is_active {
                        self.lose_requests(engine);
                    } else {
                        self.restart(engine);
                    }
                }
                // The generated arrivals already contain these.
                FaultKind::Burst | FaultKind::HotTeam | FaultKind::FatalPart => {}
            }
        }
    }
}
