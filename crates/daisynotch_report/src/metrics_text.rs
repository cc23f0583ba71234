//! Parses the counters that the report needs from a router's metrics.

use std::collections::BTreeMap;

use crate::sample::{Counters, Series};

/// Microseconds per second.
const US_PER_S: f64 = 1e6;

type Labels = BTreeMap<String, String>;

/// Parses metrics in the Prometheus text format; skips malformed lines and other metrics.
pub fn parse_metrics(text: &str) -> Vec<Series> {
    let mut counters_by_series: BTreeMap<(String, String), Counters> = BTreeMap::new();
    for line in text.lines() {
        let Some((name, labels, value)) = parse_line(line) else {
            continue;
        };
        let (Some(route), Some(team)) = (labels.get("route"), labels.get("team")) else {
            continue;
        };
        let counters = counters_by_series
            .entry((route.clone(), team.clone()))
            .or_default();
        update_counters(counters, name, &labels, value);
    }
    let series = counters_by_series.into_iter();
    series
        .map(|((route, team), counters)| Series {
            route,
            team,
            counters,
        })
        .collect()
}

fn update_counters(counters: &mut Counters, name: &str, labels: &Labels, value: u64) {
    match name {
        "daisynotch_requests_total" => {
            if let Some(outcome) = labels.get("outcome") {
                counters.ended.insert(outcome.clone(), value);
            }
        }
        "daisynotch_first_token_seconds_bucket" => {
            let bound_s = labels.get("le").and_then(|bound| bound.parse::<f64>().ok());
            if let Some(bound_s) = bound_s.filter(|bound| bound.is_finite()) {
                let bound_us = (bound_s * US_PER_S).round() as u64;
                counters.first_token_by_us.insert(bound_us, value);
            }
        }
        "daisynotch_first_token_seconds_count" => counters.first_tokens = value,
        _ => {}
    }
}

fn parse_line(line: &str) -> Option<(&str, Labels, u64)> {
    if line.starts_with('#') {
        return None;
    }
    let (name, rest) = line.split_once('{')?;
    let (labels, value) = rest.rsplit_once('}')?;
    let value: f64 = value.trim().parse().ok()?;
    let is_count = value.is_finite() && value >= 0.0;
    is_count.then(|| (name, parse_labels(labels), value as u64))
}

/// Parses labels. Escapes are not decoded, because object names need none.
fn parse_labels(text: &str) -> Labels {
    let pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    pairs
        .filter_map(|(name, value)| {
            let value = value.strip_prefix('"')?.strip_suffix('"')?;
            Some((name.to_owned(), value.to_owned()))
        })
        .collect()
}

#[cfg(test)]
mod tests;
