//! What a run is judged by.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use crate::engine::Work;
use crate::experiment::Experiment;
use crate::load::Request;
use crate::policy::PolicyName;

/// The part of the teams that counts as the worst served.
const WORST_TEAMS_PART: f64 = 0.1;
/// The span of the worst moment, in seconds.
const WORST_SPAN_S: usize = 2;

/// What became of a caller's request.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Outcome {
    /// From the caller's first try to the first piece of the answer.
    pub(crate) first_us: Option<u64>,
    pub(crate) pause_max_us: u64,
    pub(crate) is_complete: bool,
    /// How often it was refused.
    pub(crate) refusals: u32,
}

/// One second of a run, by when requests first arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Second {
    /// What its requests are worth.
    pub owed: f64,
    /// What their answers earned.
    pub earned: f64,
}

/// The figures of one run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Figures {
    /// What decided.
    pub policy: PolicyName,
    /// The seed of the arrivals.
    pub seed: u64,
    /// Requests that arrived, without those that came back.
    pub requests: usize,
    /// Worth that was earned, as a part of what is owed: a team's requests beyond its max-min
    /// share of the tokens are not owed.
    pub goodput: f64,
    /// The same of the tenth of the teams that were served worst.
    pub worst_teams: f64,
    /// The same of the kind that was served worst.
    pub worst_kind: f64,
    /// Worth that was earned in the worst two seconds, as a part of that of all their requests.
    pub worst_seconds: f64,
    /// The 95th percentile of the time to the first piece, of answers that began.
    pub first_token_p95_ms: f64,
    /// Tokens of parts that an engine had kept and read again.
    pub read_again_tokens: u64,
    /// Tokens of prompts that were read.
    pub read_tokens: u64,
    /// Running requests that were put back for want of memory.
    pub preemptions: u64,
    /// Refusals of requests, each counted.
    pub refusals: u64,
    /// The part of the refused requests that were served when they came back.
    pub returned_part: f64,
    /// Each second, from the start.
    pub seconds: Vec<Second>,
}

/// All runs of an experiment.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Report {
    /// The experiment.
    pub name: String,
    /// One entry a policy and seed.
    pub runs: Vec<Figures>,
}

impl Report {
    /// Gives the mean of a figure over the seeds of a policy.
    pub fn mean(&self, policy: PolicyName, figure: impl Fn(&Figures) -> f64) -> f64 {
        let of_policy: Vec<f64> = self
            .runs
            .iter()
            .filter(|run| run.policy == policy)
            .map(figure)
            .collect();
        of_policy.iter().sum::<f64>() / of_policy.len().max(1) as f64
    }

    /// Writes a table with a line a policy, each figure the mean over the seeds.
    pub fn to_table(&self) -> String {
        let mut policies: Vec<PolicyName> = Vec::new();
        for run in &self.runs {
            if !policies.contains(&run.policy) {
                policies.push(run.policy);
            }
        }
        let mut lines = vec![format!(
            "{:26}{:>9}{:>9}{:>9}{:>9}{:>10}{:>12}{:>10}{:>9}{:>10}",
            "policy",
            "goodput",
            "teams",
            "kind",
            "seconds",
            "p95 ms",
            "read again",
            "preempted",
            "refused",
            "came back"
        )];
        for policy in policies {
            let mean = |figure: fn(&Figures) -> f64| self.mean(policy, figure);
            lines.push(format!(
                "{:26}{:>9.3}{:>9.3}{:>9.3}{:>9.3}{:>10.0}{:>12.0}{:>10.0}{:>9.0}{:>10.2}",
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
            ));
        }
        lines.join("\n")
    }
}

/// Works out the figures of a run.
pub(crate) fn figures(
    experiment: &Experiment,
    policy: PolicyName,
    seed: u64,
    requests: &[Request],
    outcomes: &[Outcome],
    work: Work,
) -> Figures {
    let owed_parts = owed_parts(experiment, requests);
    let mut seconds = vec![Second::default(); experiment.length_s.ceil() as usize];
    let mut by_team: BTreeMap<u32, (f64, f64)> = BTreeMap::new();
    let mut by_kind: BTreeMap<usize, (f64, f64)> = BTreeMap::new();
    let mut firsts_us = Vec::new();
    let (mut refused, mut returned) = (0_u64, 0_u64);
    for (request, outcome) in requests.iter().zip(outcomes) {
        let demand = &experiment.demand[request.demand];
        let is_on_time = outcome
            .first_us
            .is_some_and(|first_us| first_us <= demand.objective_ms * 1_000)
            && outcome.pause_max_us <= demand.pause_max_ms * 1_000;
        let earned = match (outcome.is_complete, is_on_time) {
            (true, true) => demand.worth,
            (true, false) => demand.late_worth,
            (false, _) => 0.0,
        };
        let owed_part = owed_parts.get(&request.team).copied().unwrap_or(1.0);
        let second = (request.arrives_us / 1_000_000) as usize;
        if let Some(second) = seconds.get_mut(second) {
            second.owed += demand.worth;
            second.earned += earned;
        }
        for sums in [
            by_team.entry(request.team).or_default(),
            by_kind.entry(request.demand).or_default(),
        ] {
            sums.0 += demand.worth * owed_part;
            sums.1 += earned;
        }
        firsts_us.extend(outcome.first_us);
        if outcome.refusals > 0 {
            refused += 1;
            returned += u64::from(outcome.is_complete);
        }
    }
    let part = |(owed, earned): (f64, f64)| if owed > 0.0 { earned / owed } else { 1.0 };
    let mut teams: Vec<f64> = by_team.values().copied().map(part).collect();
    teams.sort_by(f64::total_cmp);
    let worst = ((teams.len() as f64 * WORST_TEAMS_PART).ceil() as usize).max(1);
    let worst_teams = teams.iter().take(worst).sum::<f64>() / worst as f64;
    let all = by_team.values().fold((0.0, 0.0), |sum, team| {
        (sum.0 + team.0, sum.1 + team.1.min(team.0))
    });
    let worst_seconds = seconds
        .windows(WORST_SPAN_S)
        .map(|span| {
            let sum = |figure: fn(&Second) -> f64| span.iter().map(figure).sum::<f64>();
            part((sum(|second| second.owed), sum(|second| second.earned)))
        })
        .fold(1.0, f64::min);
    firsts_us.sort_unstable();
    let p95 = firsts_us.get(firsts_us.len() * 95 / 100).copied();
    Figures {
        policy,
        seed,
        requests: requests.len(),
        goodput: part(all),
        worst_teams,
        worst_kind: by_kind.values().copied().map(part).fold(1.0, f64::min),
        worst_seconds,
        first_token_p95_ms: p95.unwrap_or(0) as f64 / 1e3,
        read_again_tokens: work.read_again_tokens,
        read_tokens: work.read_tokens,
        preemptions: work.preemptions,
        refusals: outcomes.iter().map(|of| u64::from(of.refusals)).sum(),
        returned_part: returned as f64 / refused.max(1) as f64,
        seconds,
    }
}

/// Gives the part of each team's requests that is owed: its max-min share over the whole run.
fn owed_parts(experiment: &Experiment, requests: &[Request]) -> HashMap<u32, f64> {
    let mut asked: HashMap<u32, f64> = HashMap::new();
    for request in requests {
        let demand = &experiment.demand[request.demand];
        let prompt: u32 = request.parts.iter().map(|part| part.tokens).sum();
        let tokens = prompt + 2 * demand.events * demand.tokens_per_event;
        *asked.entry(request.team).or_default() += f64::from(tokens);
    }
    let mut by_asked: Vec<f64> = asked.values().copied().collect();
    by_asked.sort_by(f64::total_cmp);
    let mut left = experiment.sharing.tokens_per_s as f64 * experiment.length_s;
    let mut share = f64::INFINITY;
    for (position, tokens) in by_asked.iter().enumerate() {
        let even = left / (by_asked.len() - position) as f64;
        if *tokens > even {
            share = even;
            break;
        }
        left -= tokens;
    }
    let parts = asked.into_iter();
    parts
        .map(|(team, tokens)| (team, (share / tokens).min(1.0)))
        .collect()
}

#[cfg(test)]
mod tests;
