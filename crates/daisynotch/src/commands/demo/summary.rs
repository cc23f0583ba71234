//! The result that the demo prints when it ends.

use std::fmt::Write as _;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::caller::CallerStats;
use super::fleet::{Fleet, TEAMS};
use super::observer::Observer;

/// The precision of the histograms, in significant decimal digits.
const HISTOGRAM_DIGITS: u8 = 3;

/// The result of the demo; field names are the keys of its JSON form.
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
    /// Combines the measurements of the callers, the observer and the fakes.
    pub(super) fn new(
        fleet: &Fleet,
        observer: &Observer,
        team_stats: &[CallerStats],
        seconds: u64,
    ) -> Self {
        let first_token = histogram(team_stats.iter().flat_map(|stats| &stats.first_token_us));
        let token_gap = histogram(team_stats.iter().flat_map(|stats| &stats.token_gap_us));
        let seconds = seconds.max(1) as f64;
        let sent_bytes: u64 = fleet
            .routers
            .iter()
            .map(daisynotch_router::Daemon::control_sent_bytes)
            .sum();
        let sum = |count: fn(&CallerStats) -> u64| team_stats.iter().map(count).sum::<u64>();
        let was_executed = |order: &&String| fleet.orders.runs_of(order) > 0;
        let refused_orders = team_stats.iter().flat_map(|stats| &stats.refused_orders);
        Self {
            teams: team_stats.iter().enumerate().map(team_summary).collect(),
            fairness_gap: observer.fairness_gap(),
            utilisation: observer.utilization(),
            first_token_p50_ms: quantile_ms(&first_token, 0.50),
            first_token_p95_ms: quantile_ms(&first_token, 0.95),
            first_token_p99_ms: quantile_ms(&first_token, 0.99),
            token_gap_p50_ms: quantile_ms(&token_gap, 0.50),
            token_gap_p95_ms: quantile_ms(&token_gap, 0.95),
            token_gap_p99_ms: quantile_ms(&token_gap, 0.99),
            control_bytes_per_s: sent_bytes as f64 / fleet.routers.len() as f64 / seconds,
            tokens_per_s: sum(|stats| stats.tokens) as f64 / seconds,
            done: sum(|stats| stats.served),
            refused: sum(|stats| stats.refused),
            doubled: fleet.orders.doubled(),
            cut: sum(|stats| stats.cut),
            lost: sum(|stats| stats.failed),
            false_not_run: refused_orders.filter(was_executed).count() as u64,
        }
    }

    /// Formats the result as text.
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
        let utilisation = self.utilisation.map_or("-".to_owned(), |fraction| {
            format!("{:.1}%", fraction * 100.0)
        });
        let _ = write!(
            table,
            "\nfairness gap          {:.0} tokens between two backlogged teams, at weight 1\n\
             utilisation           {utilisation} of engine slots while a team was backlogged\n\
             first token           p50 {:.1}  p95 {:.1}  p99 {:.1} ms, queueing included\n\
             between tokens        p50 {:.1}  p95 {:.1}  p99 {:.1} ms\n\
             control traffic       {:.0} bytes/s per router\n\
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

    /// Returns an error that names the first violated invariant, if any.
    pub(super) fn check_invariants(&self) -> Result<(), String> {
        let starved = self.teams.iter().filter(|team| team.served == 0).count() as u64;
        let violations = [
            ("orders executed more than once", self.doubled as u64),
            ("responses cut off", self.cut),
            ("requests lost", self.lost),
            (
                "orders executed despite the outcome `not-run`",
                self.false_not_run,
            ),
            ("teams without a served request", starved),
        ];
        match violations.iter().find(|(_, count)| *count > 0) {
            Some((violation, count)) => {
                Err(format!("an invariant was violated: {violation}: {count}"))
            }
            None => Ok(()),
        }
    }
}

fn team_summary((index, stats): (usize, &CallerStats)) -> TeamSummary {
    let team = &TEAMS[index];
    let first_token = histogram(&stats.first_token_us);
    TeamSummary {
        team: team.name,
        weight: team.weight,
        callers: team.callers,
        served: stats.served,
        refused: stats.refused,
        failed: stats.failed,
        tokens: stats.tokens,
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
            .expect("the histogram resizes itself");
    }
    histogram
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}
