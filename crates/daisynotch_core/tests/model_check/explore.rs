//! Runs every schedule within given bounds, or random schedules from a seed.

use std::panic::AssertUnwindSafe;
use std::sync::Mutex;
use std::time::Instant;

use bolero::generator::bolero_generator::any::Any;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::fleet::{Fleet, Step};
use crate::invariants::Violation;
use crate::scenario::Scenario;

/// The limits of an exploration.
///
/// A schedule follows [`Fleet::default_step`] except for a bounded number of
/// deviations. A deviation can replace any step, by any of [`Fleet::deviations`].
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    /// The number of steps at which a deviation can happen.
    pub(crate) steps: usize,
    /// The maximum number of deviations in one schedule.
    pub(crate) deviations: usize,
}

/// A broken invariant and the schedule that breaks it.
#[derive(Debug, Clone)]
pub(crate) struct Counterexample {
    pub(crate) violation: Violation,
    pub(crate) steps: Vec<Step>,
}

/// The result of an exploration.
#[derive(Debug, Default)]
pub(crate) struct Explored {
    pub(crate) schedules: u64,
    pub(crate) steps: u64,
    pub(crate) counterexample: Option<Counterexample>,
}

/// Runs every schedule within the bounds and stops at the first that breaks an invariant.
pub(crate) fn every_schedule(scenario: Scenario, bounds: Bounds) -> Explored {
    let explored = Mutex::new(Explored::default());
    let run = || {
        let mut choose = |options: usize| (0..options).any();
        let result = run_schedule(scenario, bounds, &mut choose);
        record_result(&explored, result)
    };
    let started = Instant::now();
    let check = AssertUnwindSafe(|| bolero::check!().exhaustive().run(run));
    // bolero panics when a run fails; the counterexample holds the reason.
    let _ = std::panic::catch_unwind(check);
    let explored = explored.into_inner().expect("no holder of the lock panics");
    println!(
        "{}: {} schedules of {} steps with up to {} deviations, {} steps in all, {:.1} s",
        scenario.name,
        explored.schedules,
        bounds.steps,
        bounds.deviations,
        explored.steps,
        started.elapsed().as_secs_f64(),
    );
    explored
}

/// Runs random schedules from a seed and stops at the first that breaks an invariant.
pub(crate) fn random_schedules(
    scenario: Scenario,
    bounds: Bounds,
    seed: u64,
    count: u64,
) -> Explored {
    let mut random = StdRng::seed_from_u64(seed);
    let explored = Mutex::new(Explored::default());
    for _ in 0..count {
        let spacing = bounds.steps / bounds.deviations;
        let mut choose = |options: usize| {
            if random.random_range(0..spacing) == 0 {
                random.random_range(0..options)
            } else {
                0
            }
        };
        let result = run_schedule(scenario, bounds, &mut choose);
        if record_result(&explored, result).is_err() {
            break;
        }
    }
    explored.into_inner().expect("no holder of the lock panics")
}

type ScheduleResult = (Vec<Step>, Result<(), Violation>);

fn record_result(
    explored: &Mutex<Explored>,
    (steps, result): ScheduleResult,
) -> Result<(), Violation> {
    let mut explored = explored.lock().expect("no holder of the lock panics");
    explored.schedules += 1;
    explored.steps += steps.len() as u64;
    if let Err(violation) = &result {
        let violation = violation.clone();
        let counterexample = Counterexample { violation, steps };
        explored.counterexample.get_or_insert(counterexample);
    }
    result
}

fn run_schedule(
    scenario: Scenario,
    bounds: Bounds,
    choose: &mut dyn FnMut(usize) -> usize,
) -> ScheduleResult {
    let mut steps = Vec::new();
    let result = run_steps(scenario, bounds, choose, &mut steps);
    (steps, result)
}

fn run_steps(
    scenario: Scenario,
    bounds: Bounds,
    choose: &mut dyn FnMut(usize) -> usize,
    steps: &mut Vec<Step>,
) -> Result<(), Violation> {
    let mut fleet = Fleet::start(scenario)?;
    let mut deviations_left = bounds.deviations;
    for _ in 0..bounds.steps {
        let step = if deviations_left == 0 {
            fleet.default_step()
        } else {
            let deviations = fleet.deviations();
            match choose(deviations.len() + 1) {
                0 => fleet.default_step(),
                chosen => {
                    deviations_left -= 1;
                    deviations[chosen - 1]
                }
            }
        };
        steps.push(step);
        fleet.run(step)?;
    }
    fleet.drain()
}
