//! Computes the figures that compare the runs of an experiment.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::emulation::Crashes;
use crate::engine::EngineCounters;
use crate::experiment::Experiment;
use crate::load::Request;
use crate::policy::PolicyName;

/// The fraction of the teams that counts as the worst served.
const WORST_TEAMS_FRACTION: f64 = 0.1;
/// The length of the window that the worst seconds are searched with, in seconds.
const WORST_SECONDS_WINDOW: usize = 2;

/// The outcome of a caller's request.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outcome {
    /// The time from the caller's first try to the first event of the response.
    pub(crate) first_event_us: Option<u64>,
    /// The longest pause between two events.
    pub(crate) pause_max_us: u64,
    /// Whether the caller received the whole response.
    pub(crate) is_complete: bool,
    /// The number of times the request was refused.
    pub(crate) refusals: u32,
}

/// The worth of the requests that first arrived in one second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Second {
    /// The worth of the requests if all are on time.
    pub owed: f64,
    /// The worth that their responses earned.
    pub earned: f64,
    /// The engines that had crashed under a fatal prompt part by the end of the second.
    pub part_crashes: usize,
}

/// The figures of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figures {
    /// The policy.
    pub policy: PolicyName,
    /// The seed of the arrivals.
    pub seed: u64,
    /// The requests that arrived, without retries.
    pub requests: usize,
    /// The earned worth as a fraction of the owed worth. A team's requests beyond its max-min fair
    /// share of the tokens are not owed.
    pub goodput: f64,
    /// The mean of the same fraction over the worst-served tenth of the teams.
    pub worst_teams: f64,
    /// The same fraction for the worst-served kind of request.
    pub worst_kind: f64,
    /// The earned worth of the worst two consecutive seconds, as a fraction of the worth of all
    /// requests in them.
    pub worst_seconds: f64,
    /// The 95th percentile of the time to the first event, over responses that started.
    pub first_token_p95_ms: f64,
    /// Prefilled tokens of parts that the engine had cached before and evicted.
    pub read_again_tokens: u64,
    /// Prefilled prompt tokens.
    pub read_tokens: u64,
    /// The number of times a running request was preempted because memory was short.
    pub preemptions: u64,
    /// The work of the busiest engine in proportion to its speed, over that of all engines; a
    /// generated token is twice the work of a prompt token.
    pub busiest: f64,
    /// The most tokens that an engine held, of running and queued requests, as a fraction of its
    /// memory.
    pub memory_peak: f64,
    /// The number of refusals; a request that is refused twice counts twice.
    pub refusals: u64,
    /// The fraction of the refused requests that were completed by a retry.
    pub returned_part: f64,
    /// The engines that crashed under a fatal prompt part.
    pub part_crashes: usize,
    /// The requests without such a part that were refused for their prompts.
    pub blocked_sound: u64,
    /// The time from the first crash under a fatal part to the first refusal of a request with
    /// it, in seconds; `None` if none was refused.
    pub block_after_s: Option<f64>,
    /// The seconds of the run in order.
    pub seconds: Vec<Second>,
}

/// All runs of an experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The experiment's name.
    pub name: String,
    /// One entry for each seed and policy.
    pub runs: Vec<Figures>,
}

impl Report {
    /// Returns the mean of a figure over the seeds of a policy.
    pub fn mean(&self, policy: PolicyName, figure: impl Fn(&Figures) -> f64) -> f64 {
        let values: Vec<f64> = self
            .runs
            .iter()
            .filter(|run| run.policy == policy)
            .map(figure)
            .collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    }

    /// Formats a table with one line for each policy; each figure is the mean over the seeds.
    pub fn to_table(&self) -> String {
        let mut policies: Vec<PolicyName> = Vec::new();
        for run in &self.runs {
            if !policies.contains(&run.policy) {
                policies.push(run.policy);
            }
        }
        let mut lines = vec![format!(
            "{:26}{:>9}{:>9}{:>9}{:>9}{:>10}{:>12}{:>10}{:>9}{:>10}{:>9}{:>9}{:>9}{:>8}",
            "policy",
            "goodput",
            "teams",
            "kind",
            "seconds",
            "p95 ms",
            "read again",
            "preempted",
            "refused",
            "came back",
            "crashes",
            "blocked",
            "busiest",
            "memory"
        )];
        for policy in policies {
            let mean = |figure: fn(&Figures) -> f64| self.mean(policy, figure);
            lines.push(format!(
                "{:26}{:>9.3}{:>9.3}{:>9.3}{:>9.3}{:>10.0}{:>12.0}{:>10.0}{:>9.0}{:>10.2}{:>9.1}{:>9.1}{:>9.2}{:>8.2}",
                policy.as_str(),
                mean(|run| run.goodput),
                mean(|run| run.worst_teams),
                mean(|run| run.worst_kind),
                mean(|run| run.worst_seconds),
                mean(|run| run.first_token_p95_ms),
                mean(|run| run.read_again_tokens as f64),
                mean(|run| run.preemptions as f64),
                mean(|run| run.refusals as f64),
                mean(|run| run.returned_part),
                mean(|run| run.part_crashes as f64),
                mean(|run| run.blocked_sound as f64),
                mean(|run| run.busiest),
                mean(|run| run.memory_peak),
            ));
        }
        lines.join("\n")
    }
}

/// Computes the figures of a run.
pub(crate) fn figures(
    experiment: &Experiment,
    policy: PolicyName,
    seed: u64,
    requests: &[Request],
    outcomes: &[Outcome],
    engines: &[(f64, EngineCounters)],
    crashes: &Crashes,
) -> Figures {
    let owed_fractions = owed_fractions(experiment, requests);
    let mut seconds = vec![Second::default(); experiment.length_s.ceil() as usize];
    let mut by_team: BTreeMap<u32, (f64, f64)> = BTreeMap::new();
    let mut by_kind: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    let mut first_event_times_us = Vec::new();
    let (mut refused_requests, mut served_after_refusal) = (0_u64, 0_u64);
    for (index, second) in seconds.iter_mut().enumerate() {
        let ends_us = (index as u64 + 1) * 1_000_000;
        let crashes = crashes.at_us.iter();
        second.part_crashes = crashes.filter(|at_us| **at_us < ends_us).count();
    }
    // Fatal requests earn nothing and are not owed.
    let sound = requests.iter().zip(outcomes);
    for (request, outcome) in sound.filter(|(request, _)| !request.is_fatal) {
        let demand = &experiment.demand[request.demand];
        let is_on_time = outcome
            .first_event_us
            .is_some_and(|first_event_us| first_event_us <= demand.objective_ms * 1_000)
            && outcome.pause_max_us <= demand.pause_max_ms * 1_000;
        let earned = match (outcome.is_complete, is_on_time) {
            (true, true) => demand.worth,
            (true, false) => demand.late_worth,
            (false, _) => 0.0,
        };
        let owed_fraction = owed_fractions.get(&request.team).copied().unwrap_or(1.0);
        let second = (request.arrives_us / 1_000_000) as usize;
        if let Some(second) = seconds.get_mut(second) {
            second.owed += demand.worth;
            second.earned += earned;
        }
        for sums in [
            by_team.entry(request.team).or_default(),
            by_kind.entry(request.demand).or_default(),
        ] {
            sums.0 += demand.worth * owed_fraction;
            sums.1 += earned;
        }
        first_event_times_us.extend(outcome.first_event_us);
        if outcome.refusals > 0 {
            refused_requests += 1;
            served_after_refusal += u64::from(outcome.is_complete);
        }
    }
    let fraction = |(owed, earned): (f64, f64)| if owed > 0.0 { earned / owed } else { 1.0 };
    let mut teams: Vec<f64> = by_team.values().copied().map(fraction).collect();
    teams.sort_by(f64::total_cmp);
    let worst_count = ((teams.len() as f64 * WORST_TEAMS_FRACTION).ceil() as usize).max(1);
    let worst_teams = teams.iter().take(worst_count).sum::<f64>() / worst_count as f64;
    let total = by_team.values().fold((0.0, 0.0), |sum, team| {
        (sum.0 + team.0, sum.1 + team.1.min(team.0))
    });
    let worst_seconds = seconds
        .windows(WORST_SECONDS_WINDOW)
        .map(|window| {
            let sum = |figure: fn(&Second) -> f64| window.iter().map(figure).sum::<f64>();
            fraction((sum(|second| second.owed), sum(|second| second.earned)))
        })
        .fold(1.0, f64::min);
    first_event_times_us.sort_unstable();
    let p95 = first_event_times_us
        .get(first_event_times_us.len() * 95 / 100)
        .copied();
    let sum = |figure: fn(&EngineCounters) -> u64| {
        engines.iter().map(|(_, counters)| figure(counters)).sum()
    };
    let held_tokens = engines.iter().map(|(_, counters)| counters.held_tokens_max);
    let held_tokens_max = held_tokens.max().unwrap_or(0);
    Figures {
        policy,
        seed,
        requests: requests.len(),
        goodput: fraction(total),
        worst_teams,
        worst_kind: by_kind.values().copied().map(fraction).fold(1.0, f64::min),
        worst_seconds,
        first_token_p95_ms: p95.unwrap_or(0) as f64 / 1e3,
        read_again_tokens: sum(|counters| counters.read_again_tokens),
        read_tokens: sum(|counters| counters.read_tokens),
        preemptions: sum(|counters| counters.preemptions),
        busiest: busiest(engines),
        memory_peak: held_tokens_max as f64 / experiment.engines.memory_tokens as f64,
        refusals: outcomes
            .iter()
            .map(|outcome| u64::from(outcome.refusals))
            .sum(),
        returned_part: served_after_refusal as f64 / refused_requests.max(1) as f64,
        part_crashes: crashes.at_us.len(),
        blocked_sound: crashes.blocked_sound,
        block_after_s: crashes.first_blocked_at_us.map(|at_us| {
            let first_us = crashes.at_us.first().copied().unwrap_or(at_us);
            at_us.saturating_sub(first_us) as f64 / 1e6
        }),
        seconds,
    }
}

/// Returns the work of the busiest engine in proportion to its speed, over that of all engines.
fn busiest(engines: &[(f64, EngineCounters)]) -> f64 {
    let work =
        |counters: &EngineCounters| (counters.read_tokens + 2 * counters.generated_tokens) as f64;
    let total: f64 = engines.iter().map(|(_, counters)| work(counters)).sum();
    let speeds: f64 = engines.iter().map(|(speed, _)| speed).sum();
    let relative = engines.iter();
    let relative = relative.map(|(speed, counters)| work(counters) / speed);
    relative.fold(0.0, f64::max) * speeds / total.max(1.0)
}

/// Returns the fraction of each team's requests that is owed: its max-min fair share of the tokens
/// over the whole run, relative to its demand.
fn owed_fractions(experiment: &Experiment, requests: &[Request]) -> HashMap<u32, f64> {
    let mut demand_by_team: HashMap<u32, f64> = HashMap::new();
    for request in requests {
        let demand = &experiment.demand[request.demand];
        let prompt: u32 = request.parts.iter().map(|part| part.tokens).sum();
        let tokens = prompt + 2 * request.events * demand.tokens_per_event;
        *demand_by_team.entry(request.team).or_default() += f64::from(tokens);
    }
    let mut sorted_demands: Vec<f64> = demand_by_team.values().copied().collect();
    sorted_demands.sort_by(f64::total_cmp);
    let mut remaining = experiment.sharing.tokens_per_s as f64 * experiment.length_s;
    let mut share = f64::INFINITY;
    for (position, tokens) in sorted_demands.iter().enumerate() {
        let equal_share = remaining / (sorted_demands.len() - position) as f64;
        if *tokens > equal_share {
            share = equal_share;
            break;
        }
        remaining -= tokens;
    }
    let demands = demand_by_team.into_iter();
    demands
        .map(|(team, tokens)| (team, (share / tokens).min(1.0)))
        .collect()
}

#[cfg(test)]
mod tests;
