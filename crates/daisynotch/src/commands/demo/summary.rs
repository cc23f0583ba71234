//! What the demo prints at its end.

use std::fmt::Write as _;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::caller::Tally;
use super::fleet::{Fleet, TEAMS};
use super::observer::Observer;

/// Significant digits that the histograms keep.
const HISTOGRAM_DIGITS: u8 = 3;

/// The demo's result.
#[derive(Debug, Serialize)]
pub(super) struct Summary {
    teams: Vec<TeamSummary>,
    fairness_gap: f64,
    utilisation: Option<f64>,
    first_token_p50_ms: f64,
    first_token_p95_ms: f64,
    first_token_p99_ms: f64,
    token_gap_p50_ms: f64,
    token_gap_p95_ms: f64,
    token_gap_p99_ms: f64,
    control_bytes_per_s: f64,
    tokens_per_s: f64,
    done: u64,
    refused: u64,
    doubled: usize,
    cut: u64,
    lost: u64,
    false_not_run: u64,
}

#[derive(Debug, Serialize)]
struct TeamSummary {
    team: &'static str,
    weight: u32,
    callers: usize,
    served: u64,
    refused: u64,
    failed: u64,
    tokens: u64,
    first_token_p50_ms: f64,
    first_token_p95_ms: f64,
    first_token_p99_ms: f64,
}

impl Summary {
    /// Sums up what callers, observer and fakes saw.
    pub(super) fn new(fleet: &Fleet, observer: &Observer, tallies: &[Tally], seconds: u64) -> Self {
        let first_token = histogram(tallies.iter().flat_map(|tally| &tally.first_token_us));
        let token_gap = histogram(tallies.iter().flat_map(|tally| &tally.token_gap_us));
        let seconds = seconds.max(1) as f64;
        let sent_bytes: u64 = fleet
            .routers
            .iter()
            .map(daisynotch_router::Daemon::control_sent_bytes)
            .sum();
        let sum = |count: fn(&Tally) -> u64| tallies.iter().map(count).sum::<u64>();
        let ran = |order: &&String| fleet.orders.runs_of(order) > 0;
        let refused_orders = tallies.iter().flat_map(|tally| &tally.refused_orders);
        Self {
            teams: tallies.iter().enumerate().map(team_summary).collect(),
            fairness_gap: observer.fairness_gap(),
            utilisation: observer.utilisation(),
            first_token_p50_ms: quantile_ms(&first_token, 0.50),
            first_token_p95_ms: quantile_ms(&first_token, 0.95),
            first_token_p99_ms: quantile_ms(&first_token, 0.99),
            token_gap_p50_ms: quantile_ms(&token_gap, 0.50),
            token_gap_p95_ms: quantile_ms(&token_gap, 0.95),
            token_gap_p99_ms: quantile_ms(&token_gap, 0.99),
            control_bytes_per_s: sent_bytes as f64 / fleet.routers.len() as f64 / seconds,
            tokens_per_s: sum(|tally| tally.tokens) as f64 / seconds,
            done: sum(|tally| tally.served),
            refused: sum(|tally| tally.refused),
            doubled: fleet.orders.doubled(),
            cut: sum(|tally| tally.cut),
            lost: sum(|tally| tally.failed),
            false_not_run: refused_orders.filter(ran).count() as u64,
        }
    }

    /// Writes the result for a reader.
    pub(super) fn to_table(&self) -> String {
        let mut table = format!(
            "\n{:<14}{:>7}{:>9}{:>8}{:>9}{:>8}{:>10}{:>28}\n",
            "team",
            "weight",
            "callers",
            "served",
            "refused",
            "failed",
            "tokens",
            "first token p50/p95/p99 ms"
        );
        for team in &self.teams {
            let first_token = format!(
                "{:.0}/{:.0}/{:.0}",
                team.first_token_p50_ms, team.first_token_p95_ms, team.first_token_p99_ms
            );
            let _ = writeln!(
                table,
                "{:<14}{:>7}{:>9}{:>8}{:>9}{:>8}{:>10}{:>28}",
                team.team,
                team.weight,
                team.callers,
                team.served,
                team.refused,
                team.failed,
                team.tokens,
                first_token
            );
        }
        let utilisation = self
            .utilisation
            .map_or("-".to_owned(), |share| format!("{:.1}%", share * 100.0));
        let _ = write!(
            table,
            "\nfairness gap          {:.0} tokens between two backlogged teams, at weight 1\n\
             utilisation           {utilisation} of engine slots while a team was backlogged\n\
             first token           p50 {:.1}  p95 {:.1}  p99 {:.1} ms, queueing included\n\
             between tokens        p50 {:.1}  p95 {:.1}  p99 {:.1} ms\n\
             control               {:.0} bytes/s a router\n\
             throughput            {:.0} tokens/s\n\
             outcomes              done {}, refused {}, doubled {}, cut {}, lost {}, false not-run {}",
            self.fairness_gap,
            self.first_token_p50_ms,
            self.first_token_p95_ms,
            self.first_token_p99_ms,
            self.token_gap_p50_ms,
            self.token_gap_p95_ms,
            self.token_gap_p99_ms,
            self.control_bytes_per_s,
            self.tokens_per_s,
            self.done,
            self.refused,
            self.doubled,
            self.cut,
            self.lost,
            self.false_not_run
        );
        table
    }

    /// Says what must always hold and did not.
    pub(super) fn verdict(&self) -> Result<(), String> {
        let starved = self.teams.iter().filter(|team| team.served == 0).count() as u64;
        let broken = [
            ("orders run twice", self.doubled as u64),
            ("answers cut", self.cut),
            ("requests lost", self.lost),
            ("false \"not run\"", self.false_not_run),
            ("teams starved", starved),
        ];
        match broken.iter().find(|(_, count)| *count > 0) {
            Some((what, count)) => Err(format!("an invariant was broken: {what}: {count}")),
            None => Ok(()),
        }
    }
}

fn team_summary((index, tally): (usize, &Tally)) -> TeamSummary {
    let team = &TEAMS[index];
    let first_token = histogram(&tally.first_token_us);
    TeamSummary {
        team: team.name,
        weight: team.weight,
        callers: team.callers,
        served: tally.served,
        refused: tally.refused,
        failed: tally.failed,
        tokens: tally.tokens,
        first_token_p50_ms: quantile_ms(&first_token, 0.50),
        first_token_p95_ms: quantile_ms(&first_token, 0.95),
        first_token_p99_ms: quantile_ms(&first_token, 0.99),
    }
}

fn histogram<'a>(samples_us: impl IntoIterator<Item = &'a u64>) -> Histogram<u64> {
    let mut histogram = Histogram::new(HISTOGRAM_DIGITS).expect("the precision is valid");
    for sample_us in samples_us {
        histogram
            .record(*sample_us)
            .expect("the histogram grows as needed");
    }
    histogram
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
