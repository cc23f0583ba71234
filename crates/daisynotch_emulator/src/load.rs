//! Generates the requests of an experiment, which are the same for every policy.

use daisynotch_core::direct::Part;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::experiment::{Demand, Experiment, FaultKind};

// The ids of the three kinds of prompt parts come from disjoint ranges, so that different kinds of
// requests and different sessions share no part by accident.
const SHARED_PART_ID_BASE: u32 = 1_000;
const SESSION_PART_ID_STRIDE: u32 = 1 << 16;
const OWN_PART_ID_BASE: u32 = 1 << 24;
/// The id of the part that crashes engines.
const FATAL_PART_ID: u32 = 999;
/// Its length in tokens.
const FATAL_PART_TOKENS: u32 = 200;

/// A caller's request.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) arrives_us: u64,
    /// The index of its kind in the experiment's demand.
    pub(crate) demand: usize,
    pub(crate) team: u32,
    pub(crate) router: usize,
    pub(crate) parts: Vec<Part>,
    /// The number of events in the response.
    pub(crate) events: u32,
    /// The caller's hint of the number of tokens in it.
    pub(crate) hint_tokens: u32,
    /// Whether a part of the prompt crashes the engine that begins to answer it.
    pub(crate) is_fatal: bool,
}

/// Generates all requests for one seed, ordered by arrival time.
pub(crate) fn requests(experiment: &Experiment, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let sharing = &experiment.sharing;
    let weights: Vec<f64> = (0..sharing.teams)
        .map(|rank| f64::from(rank + 1).powf(-sharing.skew))
        .collect();
    let total: f64 = weights.iter().sum();
    let routers = experiment.fleet.routers;
    let pinned_routers: Vec<Option<usize>> = weights
        .iter()
        .map(|_| {
            let is_pinned = rng.random::<f64>() < experiment.fleet.pinned_teams_part;
            is_pinned.then(|| rng.random_range(0..routers))
        })
        .collect();
    // Lengths are drawn apart, so that the arrivals don't depend on them.
    let mut length_rng = StdRng::seed_from_u64(seed ^ 0x1e46);
    let mut requests = Vec::new();
    for (index, demand) in experiment.demand.iter().enumerate() {
        for (team, weight) in (0_u32..).zip(&weights) {
            let base_per_s = demand.per_s * weight / total;
            let max_factor = max_rate_factor(experiment, team);
            let mut at_s = 0.0;
            loop {
                // Thinning: arrivals are drawn at the highest rate, then rejected with the
                // probability that brings them down to the current rate.
                at_s -= rng.random::<f64>().max(1e-12).ln() / (base_per_s * max_factor);
                if at_s >= experiment.length_s {
                    break;
                }
                let is_rejected =
                    rng.random::<f64>() * max_factor > rate_factor(experiment, team, at_s);
                let own_tokens = demand.own_tokens as f64 * rng.random_range(0.5..1.5);
                let session = rng.random_range(0..demand.sessions);
                let router =
                    pinned_routers[team as usize].unwrap_or_else(|| rng.random_range(0..routers));
                let fatal_fraction = fatal_fraction(experiment, at_s);
                let is_fatal =
                    index == 0 && fatal_fraction > 0.0 && rng.random::<f64>() < fatal_fraction;
                let is_due =
                    demand.from_s <= at_s && demand.until_s.is_none_or(|until| at_s < until);
                if is_rejected || !is_due {
                    continue;
                }
                let (events, hint_tokens) = answer_length(demand, &mut length_rng);
                let kind = index as u32;
                let session_id =
                    SESSION_PART_ID_STRIDE * (kind + 1) + team * demand.sessions + session;
                let fatal_tokens = if is_fatal { FATAL_PART_TOKENS } else { 0 };
                let parts = [
                    (SHARED_PART_ID_BASE + kind, demand.shared_tokens),
                    (session_id, demand.session_tokens),
                    (FATAL_PART_ID, fatal_tokens),
                    (
                        OWN_PART_ID_BASE + requests.len() as u32,
                        own_tokens.max(1.0) as u32,
                    ),
                ];
                let parts = parts.into_iter().filter(|(_, tokens)| *tokens > 0);
                requests.push(Request {
                    arrives_us: (at_s * 1e6) as u64,
                    demand: index,
                    team,
                    router,
                    parts: parts.map(|(id, tokens)| Part { id, tokens }).collect(),
                    events,
                    hint_tokens,
                    is_fatal,
                });
            }
        }
    }
    requests.sort_by_key(|request| request.arrives_us);
    requests
}

/// Draws the number of events of a response and the caller's hint of its tokens.
fn answer_length(demand: &Demand, rng: &mut StdRng) -> (u32, u32) {
    let deviation = demand.events_deviation;
    let length = deviation * normal(rng) - deviation * deviation / 2.0;
    let events = (f64::from(demand.events) * length.exp()).round().max(1.0);
    let hint = events * f64::from(demand.tokens_per_event);
    let hint = hint * (demand.hint_deviation * normal(rng)).exp();
    (events as u32, hint.round() as u32)
}

/// Draws a normally distributed number by the method of Box and Muller.
fn normal(rng: &mut StdRng) -> f64 {
    let radius = (-2.0 * rng.random::<f64>().max(1e-12).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

/// Returns the fraction of the first kind of request that has the fatal part at that time.
fn fatal_fraction(experiment: &Experiment, at_s: f64) -> f64 {
    let active = experiment.faults.iter().filter(|fault| {
        fault.kind == FaultKind::FatalPart && (fault.at_s..fault.at_s + fault.for_s).contains(&at_s)
    });
    active.map(|fault| fault.times).fold(0.0, f64::max)
}

/// Returns the product of the `times` of all faults that change the team's rate at that time.
fn rate_factor(experiment: &Experiment, team: u32, at_s: f64) -> f64 {
    let active = experiment
        .faults
        .iter()
        .filter(|fault| (fault.at_s..fault.at_s + fault.for_s).contains(&at_s));
    active
        .map(|fault| match fault.kind {
            FaultKind::Burst => fault.times,
            FaultKind::HotTeam if fault.team == team => fault.times,
            _ => 1.0,
        })
        .product()
}

/// Returns the highest rate factor of the team. It is reached at the start of a fault, or is 1.
fn max_rate_factor(experiment: &Experiment, team: u32) -> f64 {
    let starts = experiment.faults.iter().map(|fault| fault.at_s);
    let factors = starts.map(|at_s| rate_factor(experiment, team, at_s));
    factors.fold(1.0, f64::max)
}
