//! What the demo prints at its end.

use std::fmt::Write as _;

use serde::Serialize;

use super::caller::Tally;
use super::fleet::{ENGINE_SLOTS, Fleet};

/// The demo's result.
#[derive(Debug, Serialize)]
pub(super) struct Summary {
    teams: Vec<TeamSummary>,
    first_token_p95_ms: f64,
    token_gap_p95_ms: f64,
    doubled: usize,
    cut: u64,
    lost: u64,
    false_not_run: u64,
    tokens_per_s: f64,
    engine_slots: u32,
}

#[derive(Debug, Serialize)]
struct TeamSummary {
    team: &'static str,
    served: u64,
    refused: u64,
    failed: u64,
    tokens: u64,
}

impl Summary {
    /// Sums up the tallies.
    pub(super) fn new(fleet: &Fleet, tallies: &[Tally], seconds: u64) -> Self {
        let mut first_token_us: Vec<u64> = tallies
            .iter()
            .flat_map(|tally| tally.first_token_us.iter().copied())
            .collect();
        let mut token_gap_us: Vec<u64> = tallies
            .iter()
            .flat_map(|tally| tally.token_gap_us.iter().copied())
            .collect();
        let teams = tallies.iter().map(|tally| TeamSummary {
            team: tally.team,
            served: tally.served,
            refused: tally.refused,
            failed: tally.failed,
            tokens: tally.tokens,
        });
        let tokens: u64 = tallies.iter().map(|tally| tally.tokens).sum();
        Self {
            teams: teams.collect(),
            first_token_p95_ms: percentile_ms(&mut first_token_us, 95),
            token_gap_p95_ms: percentile_ms(&mut token_gap_us, 95),
            doubled: fleet.orders.doubled(),
            cut: tallies.iter().map(|tally| tally.cut).sum(),
            lost: tallies.iter().map(|tally| tally.failed).sum(),
            false_not_run: tallies.iter().map(|tally| tally.false_not_run).sum(),
            tokens_per_s: tokens as f64 / seconds.max(1) as f64,
            engine_slots: ENGINE_SLOTS * fleet.engines.len() as u32,
        }
    }

    /// Writes the result for a reader.
    pub(super) fn to_table(&self) -> String {
        let mut table = format!(
            "{:<14}{:>8}{:>9}{:>8}{:>10}\n",
            "team", "served", "refused", "failed", "tokens"
        );
        for team in &self.teams {
            let _ = writeln!(
                table,
                "{:<14}{:>8}{:>9}{:>8}{:>10}",
                team.team, team.served, team.refused, team.failed, team.tokens
            );
        }
        let _ = write!(
            table,
            "first token p95 {:.1} ms, between tokens p95 {:.1} ms, {:.0} tokens/s\n\
             doubled {}, cut {}, lost {}, false not-run {}",
            self.first_token_p95_ms,
            self.token_gap_p95_ms,
            self.tokens_per_s,
            self.doubled,
            self.cut,
            self.lost,
            self.false_not_run
        );
        table
    }

    /// Says what must always hold and did not.
    pub(super) fn verdict(&self) -> Result<(), String> {
        let broken = [
            ("orders run twice", self.doubled as u64),
            ("answers cut", self.cut),
            ("requests lost", self.lost),
            ("false \"not run\"", self.false_not_run),
        ];
        match broken.iter().find(|(_, count)| *count > 0) {
            Some((what, count)) => Err(format!("{what}: {count}")),
            None => Ok(()),
        }
    }
}

fn percentile_ms(samples_us: &mut [u64], percent: usize) -> f64 {
    samples_us.sort_unstable();
    let index = (samples_us.len() * percent / 100).min(samples_us.len().saturating_sub(1));
    samples_us
        .get(index)
        .map_or(0.0, |sample_us| *sample_us as f64 / 1_000.0)
}
