//! Computes error budgets and burn rates from samples.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;

use daisynotch_objects::{Objects, ServiceLevel};

use crate::sample::{Counters, Observation, Sample, Series};

/// Milliseconds per hour.
const MS_PER_H: u64 = 3_600_000;
/// The number of requests that a target is expressed in: a target of 9,990 is 99.9%.
const TARGET_SCALE: f64 = 10_000.0;

/// The windows over which burn rates are computed.
#[daisynotch_macros::message]
#[derive(Copy)]
pub struct BurnWindows {
    /// The short window, in milliseconds.
    pub short_ms: u64,
    /// The long window, in milliseconds.
    pub long_ms: u64,
}

impl Default for BurnWindows {
    fn default() -> Self {
        Self {
            short_ms: MS_PER_H,
            long_ms: 6 * MS_PER_H,
        }
    }
}

/// The number of requests and, among them, of bad ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Tally {
    requests: u64,
    bad: u64,
}

impl Tally {
    /// Returns the burn rate: the error rate relative to the one that the target allows.
    ///
    /// Returns `None` without requests or if the target allows no error.
    fn burn(self, level: &ServiceLevel) -> Option<f64> {
        let allowed = 1.0 - f64::from(level.target_per_10000) / TARGET_SCALE;
        if self.requests == 0 || allowed <= 0.0 {
            return None;
        }
        Some(self.bad as f64 / self.requests as f64 / allowed)
    }
}

/// Whether a router responded when it was last sampled.
#[daisynotch_macros::message]
pub struct RouterStatus {
    /// The router's address.
    pub router: SocketAddr,
    /// Why the router did not respond, if so; its requests since its last response are not counted.
    pub missing: Option<String>,
}

/// The burn rate over the short window at a point in time.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub struct CurvePoint {
    /// The time, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The burn rate; `None` without requests or if the target allows no error.
    pub burn: Option<f64>,
}

/// The error budget and the burn rates of one service level for one team.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct BurnRow {
    /// The service level's name.
    pub service_level: String,
    /// The team's name.
    pub team: String,
    /// The number of requests within the service level's own window.
    pub requests: u64,
    /// The number of bad requests among them.
    pub bad: u64,
    /// The remaining fraction of the error budget; negative if it is overspent, `None` without
    /// requests or if the target allows no error.
    pub budget_left: Option<f64>,
    /// The burn rate over the short window.
    pub short_burn: Option<f64>,
    /// The burn rate over the long window.
    pub long_burn: Option<f64>,
    /// The burn rate over the short window at each sampling time.
    pub curve: Vec<CurvePoint>,
}

/// A report on all service levels by team and on the routers that were sampled.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct BurnReport {
    /// The time of the newest sample, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// The windows of the burn rates.
    pub windows: BurnWindows,
    /// The status of each router.
    pub routers: Vec<RouterStatus>,
    /// One row for each service level and team.
    pub rows: Vec<BurnRow>,
}

impl BurnReport {
    /// Computes the report from samples in chronological order.
    pub fn new(objects: &Objects, samples: &[Sample], windows: BurnWindows) -> Self {
        let time_ms = samples.last().map_or(0, |sample| sample.time_ms);
        let mut rows = Vec::new();
        for (name, level) in &objects.service_level {
            for team in teams_of(level, samples) {
                let increments = increments(level, &team, samples);
                rows.push(row(
                    name.as_str(),
                    &team,
                    level,
                    &increments,
                    windows,
                    time_ms,
                ));
            }
        }
        Self {
            time_ms,
            windows,
            routers: routers(samples),
            rows,
        }
    }

    /// Formats the report as a text table.
    pub fn to_table(&self) -> String {
        let mut text = format!(
            "{:<20} {:<16} {:>10} {:>8} {:>12} {:>11} {:>11}\n",
            "service level", "team", "requests", "bad", "budget left", "short burn", "long burn"
        );
        for row in &self.rows {
            let percent = row.budget_left.map(|left| format!("{:.1}%", left * 100.0));
            let _ = writeln!(
                text,
                "{:<20} {:<16} {:>10} {:>8} {:>12} {:>11} {:>11}",
                row.service_level,
                row.team,
                row.requests,
                row.bad,
                percent.unwrap_or_else(no_value),
                format_rate(row.short_burn),
                format_rate(row.long_burn),
            );
        }
        for status in &self.routers {
            if let Some(reason) = &status.missing {
                let _ = writeln!(text, "router {} is missing: {reason}", status.router);
            }
        }
        text
    }
}

/// Formats a burn rate, or `-` if there is none.
pub(crate) fn format_rate(burn: Option<f64>) -> String {
    burn.map_or_else(no_value, |burn| format!("{burn:.2}"))
}

fn no_value() -> String {
    "-".to_owned()
}

fn row(
    name: &str,
    team: &str,
    level: &ServiceLevel,
    increments: &[(u64, Tally)],
    windows: BurnWindows,
    time_ms: u64,
) -> BurnRow {
    let budget_ms = u64::from(level.window_h) * MS_PER_H;
    let budget_tally = tally_window(increments, budget_ms, time_ms);
    let curve = increments.iter().map(|(at, _)| CurvePoint {
        time_ms: *at,
        burn: tally_window(increments, windows.short_ms, *at).burn(level),
    });
    BurnRow {
        service_level: name.to_owned(),
        team: team.to_owned(),
        requests: budget_tally.requests,
        bad: budget_tally.bad,
        budget_left: budget_tally.burn(level).map(|burn| 1.0 - burn),
        short_burn: tally_window(increments, windows.short_ms, time_ms).burn(level),
        long_burn: tally_window(increments, windows.long_ms, time_ms).burn(level),
        curve: curve.collect(),
    }
}

/// Sums the increments within a window that ends at `end_ms`.
fn tally_window(increments: &[(u64, Tally)], window_ms: u64, end_ms: u64) -> Tally {
    let start_ms = end_ms.saturating_sub(window_ms);
    let selected = increments
        .iter()
        .filter(|(at, _)| (start_ms..=end_ms).contains(at));
    selected.fold(Tally::default(), |sum, (_, tally)| Tally {
        requests: sum.requests + tally.requests,
        bad: sum.bad + tally.bad,
    })
}

/// Returns the increment at each sampling time, summed over all routers.
///
/// A router's first sample counts everything since the router's start. A counter that decreased
/// counts from zero, because its router restarted. A missing router adds nothing; its requests in
/// the meantime are counted with its next response.
fn increments(level: &ServiceLevel, team: &str, samples: &[Sample]) -> Vec<(u64, Tally)> {
    let mut before: BTreeMap<SocketAddr, Counters> = BTreeMap::new();
    let mut increments: BTreeMap<u64, Tally> = BTreeMap::new();
    for sample in samples {
        let Observation::Seen(series) = &sample.observation else {
            continue;
        };
        let is_selected =
            |series: &&Series| series.route == level.route.as_str() && series.team == team;
        let Some(now) = series.iter().find(is_selected) else {
            before.remove(&sample.router);
            continue;
        };
        let earlier = before.insert(sample.router, now.counters.clone());
        let increment = increment(level, &earlier.unwrap_or_default(), &now.counters);
        let sum = increments.entry(sample.time_ms).or_default();
        sum.requests += increment.requests;
        sum.bad += increment.bad;
    }
    increments.into_iter().collect()
}

fn increment(level: &ServiceLevel, before: &Counters, now: &Counters) -> Tally {
    let restarted = now.first_tokens < before.first_tokens
        || now
            .ended
            .iter()
            .any(|(outcome, count)| before.ended.get(outcome).is_some_and(|old| count < old))
        || before
            .ended
            .keys()
            .any(|outcome| !now.ended.contains_key(outcome));
    let zero = Counters::default();
    let before = if restarted { &zero } else { before };
    let (before, now) = (tally(level, before), tally(level, now));
    Tally {
        requests: now.requests.saturating_sub(before.requests),
        bad: now.bad.saturating_sub(before.bad),
    }
}

/// Counts the requests since a router's start. A request is bad if it was refused, failed or got
/// its first token too late. A request whose caller disconnected is not counted.
fn tally(level: &ServiceLevel, counters: &Counters) -> Tally {
    let count = |outcome: &str| counters.ended.get(outcome).copied().unwrap_or(0);
    let unsuccessful = count("refused") + count("failed");
    let requests = unsuccessful + count("done");
    let late = level.first_token_ms.map_or(0, |bound_ms| {
        let bound_us = bound_ms.saturating_mul(1_000);
        let in_time = counters.first_token_by_us.range(..=bound_us).next_back();
        let in_time = in_time.map_or(0, |(_, count)| *count);
        counters.first_tokens.saturating_sub(in_time)
    });
    Tally {
        requests,
        bad: (unsuccessful + late).min(requests),
    }
}

fn teams_of(level: &ServiceLevel, samples: &[Sample]) -> BTreeSet<String> {
    if !level.teams.is_empty() {
        return level.teams.iter().map(ToString::to_string).collect();
    }
    let observed = samples
        .iter()
        .filter_map(|sample| match &sample.observation {
            Observation::Seen(series) => Some(series),
            Observation::Missing(_) => None,
        });
    let of_route = observed
        .flatten()
        .filter(|series| series.route == level.route.as_str());
    of_route.map(|series| series.team.clone()).collect()
}

fn routers(samples: &[Sample]) -> Vec<RouterStatus> {
    let newest: BTreeMap<SocketAddr, &Sample> = samples
        .iter()
        .map(|sample| (sample.router, sample))
        .collect();
    let statuses = newest.into_iter().map(|(router, sample)| RouterStatus {
        router,
        missing: match &sample.observation {
            Observation::Seen(_) => None,
            Observation::Missing(reason) => Some(reason.clone()),
        },
    });
    statuses.collect()
}

#[cfg(test)]
mod tests;
