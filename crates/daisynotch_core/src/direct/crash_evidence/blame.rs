//! Decides whether the reported crashes leave no doubt that parts of a prompt caused them.
//!
//! Engines crash alone, together and by turns for other reasons, while many requests with the same
//! sound parts are open.

use std::time::Duration;

use super::{CRASH_RATE_WINDOW, CrashEvidence, PartIds, Report, contains_all, distinct_endpoints};
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::Timestamp;

/// Crashes, each of another engine start, after which a part can be blocked.
const CRASHES_TO_BLOCK: usize = 3;
/// Lower bound of the number of failed trials that block a part: one trial can meet an ordinary
/// crash.
const TRIALS_TO_BLOCK_MIN: f64 = 2.0;
/// What a crash outside a trial weighs against a failed trial: several engines may crash at once
/// for another reason.
const UNTRIED_CRASH_WEIGHT: f64 = 0.5;
/// Ordinary crashes that are assumed beside the observed ones, since none may have been seen yet.
const ORDINARY_CRASHES_PRIOR: f64 = 0.5;
/// Largest probability that the trials of a sound part fail by ordinary crashes alone.
const FALSE_BLOCK_PROBABILITY_MAX: f64 = 1e-5;
/// Time in which a crash of the engine fails a trial: the usual time to the first event.
const TRIAL_TIME: Duration = Duration::from_millis(400);

impl CrashEvidence {
    /// Returns the parts of a failed trial that met the most crashes, if these are enough to
    /// block them, and the time of the latest crash.
    ///
    /// Parts that always came together can't be told apart and are blocked only together.
    pub(super) fn find_fatal_parts(&self, now: Timestamp) -> Option<(PartIds, Timestamp)> {
        let may_skip_trial = is_seeded(SeededFault::BlockWithoutTrial);
        let mut candidates = self.reports.iter();
        while let Some(report) = candidates.find(|report| report.is_trial || may_skip_trial) {
            let mut suspects = report.parts.clone();
            suspects.retain(|part| self.is_suspect(*part));
            let mut unproven = suspects.clone();
            unproven.retain(|part| self.proofs.get(*part).is_none());
            let parts = self.with_most_crashes(unproven);
            let Some(parts) = parts.or_else(|| self.with_most_crashes(suspects)) else {
                continue;
            };
            let together: Vec<&Report> = self
                .reports
                .iter()
                .filter(|other| contains_all(&other.parts, &parts))
                .collect();
            let crashes = distinct_endpoints(together.iter().copied());
            let trials = together.iter().copied().filter(|other| other.is_trial);
            let trials = distinct_endpoints(trials);
            let weight = trials as f64 + UNTRIED_CRASH_WEIGHT * (crashes - trials) as f64;
            let is_proven = crashes >= CRASHES_TO_BLOCK
                && weight >= self.trials_to_block(&parts, now)
                && !self.has_rival(&parts, &together, crashes);
            if is_proven || may_skip_trial {
                let at = together.iter().map(|other| other.at).max();
                return at.map(|at| (parts, at));
            }
        }
        None
    }

    /// Returns those of the parts that met the most crashes, if these are enough to block them.
    fn with_most_crashes(&self, mut parts: PartIds) -> Option<PartIds> {
        let most = parts.iter().map(|part| self.crashes_of(*part)).max()?;
        parts.retain(|part| self.crashes_of(*part) == most);
        (most >= CRASHES_TO_BLOCK).then_some(parts)
    }

    /// Returns the number of recent crashes that neither these parts nor a block accounts for.
    fn crashes_without(&self, parts: &[u32], now: Timestamp) -> usize {
        let recent = self.crashes.iter().filter(|(endpoint, crash)| {
            let mut reports = self.reports.iter();
            let is_of_parts = |report: &Report| {
                report.endpoint == **endpoint && contains_all(&report.parts, parts)
            };
            now.since(crash.at) < CRASH_RATE_WINDOW
                && !crash.is_explained
                && !reports.any(is_of_parts)
        });
        recent.count()
    }

    /// Returns the number of failed trials that ordinary crashes are unlikely to cause.
    fn trials_to_block(&self, parts: &[u32], now: Timestamp) -> f64 {
        let ordinary_crashes = self.crashes_without(parts, now) as f64 + ORDINARY_CRASHES_PRIOR;
        let window_trials = CRASH_RATE_WINDOW.as_secs_f64() / TRIAL_TIME.as_secs_f64();
        let engine_trials = self.engines.max(1) as f64 * window_trials;
        let failure_probability = (ordinary_crashes / engine_trials).min(0.5);
        let trials = FALSE_BLOCK_PROBABILITY_MAX.ln() / failure_probability.ln();
        trials.ceil().max(TRIALS_TO_BLOCK_MIN)
    }

    /// Returns whether another unproven part accounts for nearly the same crashes. Only further
    /// requests can tell then which part is fatal.
    fn has_rival(&self, parts: &[u32], reports: &[&Report], crashes: usize) -> bool {
        let is_crash_of_parts = |report: &&Report| {
            reports
                .iter()
                .any(|other| other.endpoint == report.endpoint)
        };
        let at_crashes = || self.reports.iter().filter(is_crash_of_parts);
        let mut rivals: PartIds = at_crashes()
            .flat_map(|report| report.parts.iter().copied())
            .filter(|part| !parts.contains(part) && self.proofs.get(*part).is_none())
            .collect();
        rivals.sort_unstable();
        rivals.dedup();
        rivals.into_iter().any(|rival| {
            let of_rival = at_crashes().filter(|report| report.parts.contains(&rival));
            distinct_endpoints(of_rival) + 1 >= crashes
        })
    }
}
