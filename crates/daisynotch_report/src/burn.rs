//! Error budgets and burn rates from samples.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::net::SocketAddr;

use daisynotch_objects::{Objects, ServiceLevel};

use crate::sample::{Counters, Observation, Sample, Series};

/// Milliseconds in an hour.
const MS_PER_H: u64 = 3_600_000;
/// Requests that a target is given for.
const TARGET_OF: f64 = 10_000.0;

/// The spans that burn rates are given over.
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

/// Requests of a span, and those of them that were not good.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Tally {
    requests: u64,
    bad: u64,
}

impl Tally {
    /// How many times faster than allowed the budget goes; none without requests.
    fn burn(self, level: &ServiceLevel) -> Option<f64> {
        let allowed = 1.0 - f64::from(level.target_per_10000) / TARGET_OF;
        if self.requests == 0 || allowed <= 0.0 {
            return None;
        }
        Some(self.bad as f64 / self.requests as f64 / allowed)
    }
}

/// Whether a router answered when it was read last.
#[daisynotch_macros::message]
pub struct RouterSeen {
    /// The router.
    pub router: SocketAddr,
    /// Why it is missing; its requests since its last answer are not counted.
    pub missing: Option<String>,
}

/// The burn rate over the short window at one time.
#[derive(Debug, Clone, Copy, PartialEq, serde::Serialize)]
pub struct CurvePoint {
    /// The time, in milliseconds since 1970.
    pub time_ms: u64,
    /// The burn rate; none when there were no requests.
    pub burn: Option<f64>,
}

/// One service level for one team.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct BurnRow {
    /// The service level.
    pub service_level: String,
    /// The team.
    pub team: String,
    /// Requests within the service level's own window.
    pub requests: u64,
    /// Those that were not good.
    pub bad: u64,
    /// The part of the error budget that is left; negative when overspent, none
    /// when there were no requests or the target allows no error.
    pub budget_left: Option<f64>,
    /// The burn rate over the short window.
    pub short_burn: Option<f64>,
    /// The burn rate over the long window.
    pub long_burn: Option<f64>,
    /// The burn rate over the short window as it went.
    pub curve: Vec<CurvePoint>,
}

/// All service levels by team, and the routers that they were read from.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct BurnReport {
    /// When the newest sample was read, in milliseconds since 1970.
    pub time_ms: u64,
    /// The windows of the burn rates.
    pub windows: BurnWindows,
    /// The routers.
    pub routers: Vec<RouterSeen>,
    /// A row for each service level and team.
    pub rows: Vec<BurnRow>,
}

impl BurnReport {
    /// Works the report out from samples in the order of their times.
    pub fn new(objects: &Objects, samples: &[Sample], windows: BurnWindows) -> Self {
        let time_ms = samples.last().map_or(0, |sample| sample.time_ms);
        let mut rows = Vec::new();
        for (name, level) in &objects.service_level {
            for team in teams_of(level, samples) {
                let changes = changes(level, &team, samples);
                rows.push(row(name.as_str(), &team, level, &changes, windows, time_ms));
            }
        }
        Self {
            time_ms,
            windows,
            routers: routers(samples),
            rows,
        }
    }

    /// Writes the report as a table.
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
                percent.unwrap_or_else(none),
                rate(row.short_burn),
                rate(row.long_burn),
            );
        }
        for seen in &self.routers {
            if let Some(reason) = &seen.missing {
                let _ = writeln!(text, "router {} is missing: {reason}", seen.router);
            }
        }
        text
    }
}

/// Writes a burn rate, or that there is none.
pub(crate) fn rate(burn: Option<f64>) -> String {
    burn.map_or_else(none, |burn| format!("{burn:.2}"))
}

fn none() -> String {
    "-".to_owned()
}

fn row(
    name: &str,
    team: &str,
    level: &ServiceLevel,
    changes: &[(u64, Tally)],
    windows: BurnWindows,
    time_ms: u64,
) -> BurnRow {
    let budget_ms = u64::from(level.window_h) * MS_PER_H;
    let whole = within(changes, budget_ms, time_ms);
    let curve = changes.iter().map(|(at, _)| CurvePoint {
        time_ms: *at,
        burn: within(changes, windows.short_ms, *at).burn(level),
    });
    BurnRow {
        service_level: name.to_owned(),
        team: team.to_owned(),
        requests: whole.requests,
        bad: whole.bad,
        budget_left: whole.burn(level).map(|burn| 1.0 - burn),
        short_burn: within(changes, windows.short_ms, time_ms).burn(level),
        long_burn: within(changes, windows.long_ms, time_ms).burn(level),
        curve: curve.collect(),
    }
}

/// Adds up what changed within a window that ends at a time.
fn within(changes: &[(u64, Tally)], window_ms: u64, end_ms: u64) -> Tally {
    let start_ms = end_ms.saturating_sub(window_ms);
    let inside = changes
        .iter()
        .filter(|(at, _)| (start_ms..=end_ms).contains(at));
    inside.fold(Tally::default(), |sum, (_, tally)| Tally {
        requests: sum.requests + tally.requests,
        bad: sum.bad + tally.bad,
    })
}

/// Gives what was added at each time, over all routers.
///
/// A router's first sample counts from its start. A counter that went down counts
/// from zero, as its router restarted. A missing router adds nothing; what it did
/// meanwhile is counted at its next answer.
fn changes(level: &ServiceLevel, team: &str, samples: &[Sample]) -> Vec<(u64, Tally)> {
    let mut before: BTreeMap<SocketAddr, Counters> = BTreeMap::new();
    let mut changes: BTreeMap<u64, Tally> = BTreeMap::new();
    for sample in samples {
        let Observation::Seen(series) = &sample.observation else {
            continue;
        };
        let is_meant = |one: &&Series| one.route == level.route.as_str() && one.team == team;
        let Some(now) = series.iter().find(is_meant) else {
            before.remove(&sample.router);
            continue;
        };
        let earlier = before.insert(sample.router, now.counters.clone());
        let added = added(level, &earlier.unwrap_or_default(), &now.counters);
        let sum = changes.entry(sample.time_ms).or_default();
        sum.requests += added.requests;
        sum.bad += added.bad;
    }
    changes.into_iter().collect()
}

fn added(level: &ServiceLevel, before: &Counters, now: &Counters) -> Tally {
    let restarted = now.first_tokens < before.first_tokens
        || now
            .ended
            .iter()
            .any(|(outcome, count)| before.ended.get(outcome).is_some_and(|old| count < old))
        || before
            .ended
            .keys()
            .any(|outcome| !now.ended.contains_key(outcome));
    let none = Counters::default();
    let before = if restarted { &none } else { before };
    let (then, now) = (tally(level, before), tally(level, now));
    Tally {
        requests: now.requests.saturating_sub(then.requests),
        bad: now.bad.saturating_sub(then.bad),
    }
}

/// Counts requests since a router's start: one is bad that was refused, failed, or
/// had its first token too late. A caller that left is not counted.
fn tally(level: &ServiceLevel, counters: &Counters) -> Tally {
    let count = |outcome: &str| counters.ended.get(outcome).copied().unwrap_or(0);
    let unanswered = count("refused") + count("failed");
    let requests = unanswered + count("done");
    let late = level.first_token_ms.map_or(0, |bound_ms| {
        let bound_us = bound_ms.saturating_mul(1_000);
        let in_time = counters.first_token_by_us.range(..=bound_us).next_back();
        let in_time = in_time.map_or(0, |(_, count)| *count);
        counters.first_tokens.saturating_sub(in_time)
    });
    Tally {
        requests,
        bad: (unanswered + late).min(requests),
    }
}

fn teams_of(level: &ServiceLevel, samples: &[Sample]) -> BTreeSet<String> {
    if !level.teams.is_empty() {
        return level.teams.iter().map(ToString::to_string).collect();
    }
    let seen = samples
        .iter()
        .filter_map(|sample| match &sample.observation {
            Observation::Seen(series) => Some(series),
            Observation::Missing(_) => None,
        });
    let of_route = seen
        .flatten()
        .filter(|one| one.route == level.route.as_str());
    of_route.map(|one| one.team.clone()).collect()
}

fn routers(samples: &[Sample]) -> Vec<RouterSeen> {
    let newest: BTreeMap<SocketAddr, &Sample> = samples
        .iter()
        .map(|sample| (sample.router, sample))
        .collect();
    let seen = newest.into_iter().map(|(router, sample)| RouterSeen {
        router,
        missing: match &sample.observation {
            Observation::Seen(_) => None,
            Observation::Missing(reason) => Some(reason.clone()),
        },
    });
    seen.collect()
}

#[cfg(test)]
mod tests;
