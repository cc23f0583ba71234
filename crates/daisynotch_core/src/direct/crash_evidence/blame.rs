//! Decides whether the reported crashes leave no doubt that parts of a prompt caused them.
//!
//! Engines crash alone, together and by turns for other reasons, while many requests with the same
//! sound parts are open.

use std::time::Duration;

use daisynotch_objects::EndpointId;
use smallvec::SmallVec;

use super::{
    CRASH_RATE_WINDOW, CRASHES_TO_DOUBT_PROOF, CrashEvidence, CrashPoint, PROOF_DELAY, PartIds,
    Report, contains_all, distinct_endpoints,
};
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::Timestamp;

/// Crashes, each of another engine start, after which a part can be blocked.
const CRASHES_TO_BLOCK: usize = 3;
/// Lower bound of the number of failed trials that block a part: one trial can meet an ordinary
/// crash.
const TRIALS_TO_BLOCK_MIN: f64 = 2.0;
/// Crashes within this time of each other are taken for one event, such as the loss of a rack.
const OCCASION_LENGTH: Duration = Duration::from_millis(150);
/// Crashes of a proven part that another one has to account for to be the likelier cause: a proven
/// part becomes fatal only with another version of the engines.
const RIVAL_OF_PROVEN_CRASHES: usize = 2;
/// What a crash outside a trial weighs against a failed trial: several engines may crash at once
/// for another reason.
const UNTRIED_CRASH_WEIGHT: f64 = 0.5;
/// Ordinary crashes that are assumed beside the observed ones, since none may have been seen yet.
const ORDINARY_CRASHES_PRIOR: f64 = 0.5;
/// Largest probability that the trials of a sound part fail by ordinary crashes alone.
const FALSE_BLOCK_PROBABILITY_MAX: f64 = 1e-5;
/// Usual time from sending a request to the first event of its answer.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(400);

/// How suspicious a part is; the greater one is tried first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Suspicion {
    is_unproven: bool,
    crashes: usize,
}

impl CrashEvidence {
    /// Returns the parts of a failed trial that met the most crashes, if these are enough to
    /// block them, and the time of the latest crash.
    ///
    /// Parts that always came together can't be told apart and are blocked only together.
    pub(super) fn find_fatal_parts(&self, now: Timestamp) -> Option<(PartIds, Timestamp)> {
        let points = CrashPoint::ALL.into_iter();
        points
            .filter_map(|point| self.find_fatal_parts_at(point, now))
            .next()
    }

    fn find_fatal_parts_at(
        &self,
        point: CrashPoint,
        now: Timestamp,
    ) -> Option<(PartIds, Timestamp)> {
        let may_skip_trial = is_seeded(SeededFault::BlockWithoutTrial);
        let mut candidates = self.reports_at(point);
        while let Some(report) = candidates.find(|report| report.is_trial || may_skip_trial) {
            let mut suspects = report.parts.clone();
            suspects.retain(|part| self.suspicion_at(point, *part).is_some());
            let mut unproven = suspects.clone();
            unproven.retain(|part| self.is_unproven(point, *part));
            let unproven = self.with_most_crashes(point, unproven);
            let are_proven = unproven.is_none();
            let Some(parts) = unproven.or_else(|| self.with_most_crashes(point, suspects)) else {
                continue;
            };
            let together: Vec<&Report> = self
                .reports_at(point)
                .filter(|other| contains_all(&other.parts, &parts))
                .collect();
            let crashes = distinct_endpoints(together.iter().copied());
            let is_proven = crashes >= CRASHES_TO_BLOCK
                && weight(point, &together) >= self.trials_to_block(point, &parts, now)
                && !self.has_rival(&parts, are_proven, &together);
            if is_proven || may_skip_trial {
                let at = together.iter().map(|other| other.at).max();
                return at.map(|at| (parts, at));
            }
        }
        None
    }

    /// Returns how suspicious a part is; `None` if it met too few crashes without a later proof.
    pub(super) fn suspicion(&self, part: u32) -> Option<Suspicion> {
        let points = CrashPoint::ALL.into_iter();
        points
            .filter_map(|point| self.suspicion_at(point, part))
            .max()
    }

    fn suspicion_at(&self, point: CrashPoint, part: u32) -> Option<Suspicion> {
        let is_unproven = self.is_unproven(point, part);
        let needed = if is_unproven {
            1
        } else {
            CRASHES_TO_DOUBT_PROOF
        };
        let named = self.reports_at(point);
        let named = named.filter(|report| report.parts.contains(&part));
        let crashes = distinct_endpoints(named.clone());
        // A proof after the first event takes a while, so engines that crash together count once.
        let is_doubted = crashes >= needed
            && (is_unproven
                || point == CrashPoint::BeforeFirstEvent
                || occasions(named).len() >= needed);
        is_doubted.then_some(Suspicion {
            is_unproven,
            crashes,
        })
    }

    pub(super) fn is_unproven(&self, point: CrashPoint, part: u32) -> bool {
        self.proofs.get(point, part).is_none()
    }

    pub(super) fn reports_at(&self, point: CrashPoint) -> impl Iterator<Item = &Report> + Clone {
        let reports = self.reports.iter();
        reports.filter(move |report| report.stage.crash_point() == point)
    }

    /// Returns the number of engine starts that crashed at a point of an answer with a part.
    fn crashes_at(&self, point: CrashPoint, part: u32) -> usize {
        let named = self.reports_at(point);
        distinct_endpoints(named.filter(|report| report.parts.contains(&part)))
    }

    /// Returns those of the parts that met the most crashes, if these are enough to block them.
    fn with_most_crashes(&self, point: CrashPoint, mut parts: PartIds) -> Option<PartIds> {
        let crashes = |part: &u32| self.crashes_at(point, *part);
        let most = parts.iter().map(crashes).max()?;
        parts.retain(|part| crashes(part) == most);
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
    fn trials_to_block(&self, point: CrashPoint, parts: &[u32], now: Timestamp) -> f64 {
        // The time for which a trial is at the point, so that an ordinary crash fails it.
        let trial_time = match point {
            CrashPoint::BeforeFirstEvent => FIRST_EVENT_TIME,
            CrashPoint::AfterFirstEvent => PROOF_DELAY,
        };
        let ordinary_crashes = self.crashes_without(parts, now) as f64 + ORDINARY_CRASHES_PRIOR;
        let window_trials = CRASH_RATE_WINDOW.as_secs_f64() / trial_time.as_secs_f64();
        let engine_trials = self.engines.max(1) as f64 * window_trials;
        let failure_probability = (ordinary_crashes / engine_trials).min(0.5);
        let trials = FALSE_BLOCK_PROBABILITY_MAX.ln() / failure_probability.ln();
        trials.ceil().max(TRIALS_TO_BLOCK_MIN)
    }

    /// Returns whether another part, unproven at some point, accounts for nearly the same crashes. Only
    /// further requests can tell then which part is fatal.
    ///
    /// For parts that are proven it is enough that it accounts for several of the crashes.
    fn has_rival(&self, parts: &[u32], are_proven: bool, reports: &[&Report]) -> bool {
        let mut endpoints: SmallVec<[EndpointId; 8]> =
            reports.iter().map(|report| report.endpoint).collect();
        endpoints.sort_unstable();
        endpoints.dedup();
        let rival_crashes_min = if are_proven {
            RIVAL_OF_PROVEN_CRASHES
        } else {
            endpoints.len().saturating_sub(1)
        };
        let at_crashes = || {
            let reports = self.reports.iter();
            reports.filter(|report| endpoints.binary_search(&report.endpoint).is_ok())
        };
        let mut rivals: PartIds = at_crashes()
            .flat_map(|report| {
                let point = report.stage.crash_point();
                let rivals = report.parts.iter().copied();
                rivals.filter(move |part| !parts.contains(part) && self.is_unproven(point, *part))
            })
            .collect();
        rivals.sort_unstable();
        rivals.dedup();
        rivals.into_iter().any(|rival| {
            let of_rival = at_crashes().filter(|report| report.parts.contains(&rival));
            distinct_endpoints(of_rival) >= rival_crashes_min
        })
    }
}

/// Crashes at about the same time, whether one of them failed a trial.
#[derive(Debug, Clone, Copy)]
struct Occasion {
    began_at: Timestamp,
    has_trial: bool,
}

/// Returns the occasions on which engines crashed, in order.
fn occasions<'a>(reports: impl Iterator<Item = &'a Report>) -> SmallVec<[Occasion; 8]> {
    let mut reports: SmallVec<[&Report; 16]> = reports.collect();
    reports.sort_unstable_by_key(|report| report.at);
    let mut occasions: SmallVec<[Occasion; 8]> = SmallVec::new();
    for report in reports {
        match occasions.last_mut() {
            Some(last) if report.at.since(last.began_at) < OCCASION_LENGTH => {
                last.has_trial |= report.is_trial;
            }
            _ => occasions.push(Occasion {
                began_at: report.at,
                has_trial: report.is_trial,
            }),
        }
    }
    occasions
}

/// Returns what crashes weigh together, in failed trials.
fn weight(point: CrashPoint, reports: &[&Report]) -> f64 {
    if point == CrashPoint::BeforeFirstEvent {
        let trials = reports.iter().copied().filter(|report| report.is_trial);
        let trials = distinct_endpoints(trials);
        let untried = distinct_endpoints(reports.iter().copied()) - trials;
        return trials as f64 + UNTRIED_CRASH_WEIGHT * untried as f64;
    }
    let occasions = occasions(reports.iter().copied()).into_iter();
    let weights = occasions.map(|occasion| {
        if occasion.has_trial {
            1.0
        } else {
            UNTRIED_CRASH_WEIGHT
        }
    });
    weights.sum()
}
