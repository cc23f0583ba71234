//! Defines the scenarios and the measurements of each.

use crate::engine::PREFILL_TOKENS;
use crate::fleet::{Outcome, Policy, run};
use crate::load::{Load, QUEUE_TIMEOUT_MS, Request, SECOND_US, SHORT_TOKENS_MAX};

/// Name of a measurement, its target and the measured value.
type Measurement = (&'static str, &'static str, f64);

type Scenario = (&'static str, fn(Policy, usize) -> Vec<Measurement>);

pub(crate) const SCENARIOS: &[Scenario] = &[
    ("steady", steady),
    ("short_behind_long", short_behind_long),
    ("slowed_endpoints", slowed_endpoints),
    ("crest", crest),
];

/// Requests before this time are not measured: the routers are still learning the slots.
const WARM_UP_US: u64 = 20 * SECOND_US;

type DurationFn = fn(&Request, &Outcome) -> Option<u64>;

/// Returns a quantile, in seconds, of `value` over the requests that arrive after the warm-up.
fn quantile(load: &Load, outcomes: &[Outcome], quantile: f64, value: DurationFn) -> f64 {
    let pairs = load.requests.iter().zip(outcomes);
    let late = pairs.filter(|(request, _)| request.at_us >= WARM_UP_US);
    let mut values: Vec<u64> = late.filter_map(|(r, o)| value(r, o)).collect();
    values.sort_unstable();
    let found = values.get((values.len() as f64 * quantile) as usize);
    found.map_or(f64::NAN, |value| *value as f64 / SECOND_US as f64)
}

fn first_token(request: &Request, outcome: &Outcome) -> Option<u64> {
    Some(outcome.first_token_us? - request.at_us)
}

fn short_response(request: &Request, outcome: &Outcome) -> Option<u64> {
    Some(outcome.ended_us? - request.at_us).filter(|_| is_short(request))
}

fn is_short(request: &Request) -> bool {
    request.tokens <= SHORT_TOKENS_MAX
}

fn refused(outcomes: &[Outcome]) -> f64 {
    outcomes.iter().filter(|outcome| outcome.is_refused).count() as f64 / outcomes.len() as f64
}

fn extra_work(load: &Load, outcomes: &[Outcome]) -> f64 {
    let wasted: u64 = outcomes.iter().map(|outcome| outcome.wasted_tokens).sum();
    let work = load
        .requests
        .iter()
        .map(|request| request.tokens + PREFILL_TOKENS);
    wasted as f64 / work.sum::<u64>() as f64
}

fn steady(policy: Policy, routers: usize) -> Vec<Measurement> {
    let mut load = Load::new(routers, 120);
    load.add(1, 0.0, |_| 0.9);
    let outcomes = run(policy, &load);
    let gap = quantile(&load, &outcomes, 0.95, |_, o| o.ended_us.map(|_| o.gap_us));
    vec![
        (
            "first token p95, s",
            "0.32",
            quantile(&load, &outcomes, 0.95, first_token),
        ),
        ("token gap p95, s", "0.057", gap),
        ("refused, part", "0", refused(&outcomes)),
    ]
}

fn short_behind_long(policy: Policy, routers: usize) -> Vec<Measurement> {
    let (mut load, mut short_alone) = (Load::new(routers, 400), Load::new(routers, 120));
    load.add(2, 0.05, |_| 0.9);
    short_alone.add(2, 0.0, |_| 0.9);
    let (mixed, alone) = (run(policy, &load), run(policy, &short_alone));
    let p99 = quantile(&load, &mixed, 0.99, short_response);
    let p99_alone = quantile(&short_alone, &alone, 0.99, short_response);
    let first: DurationFn = |r, o| first_token(r, o).filter(|_| is_short(r));
    let long = || {
        load.requests
            .iter()
            .zip(&mixed)
            .filter(|(request, _)| !is_short(request))
    };
    let tokens = |r: &Request| r.tokens as f64;
    // At the target gap, a long request takes two minutes on average.
    let early = long().filter(|(r, _)| r.at_us + 120 * SECOND_US < load.until_us);
    let offered: f64 = early.map(|(r, _)| tokens(r)).sum();
    let done: f64 = long()
        .filter(|(_, o)| o.ended_us.is_some())
        .map(|(r, _)| tokens(r))
        .sum();
    vec![
        ("short p99, of without long", "1.5", p99 / p99_alone),
        (
            "short first token p99, s",
            "",
            quantile(&load, &mixed, 0.99, first),
        ),
        ("long done, of offered early enough", "0.9", done / offered),
        ("refused, part", "0", refused(&mixed)),
    ]
}

fn slowed_endpoints(policy: Policy, routers: usize) -> Vec<Measurement> {
    let mut load = Load::new(routers, 180);
    load.add(3, 0.0, |_| 0.6);
    let unslowed = run(policy, &load);
    load.add_slowdowns(4);
    let slowed = run(policy, &load);
    let p99 = |outcomes| quantile(&load, outcomes, 0.99, first_token);
    vec![
        (
            "first token p99, of unslowed",
            "1.5",
            p99(&slowed) / p99(&unslowed),
        ),
        ("first token p99, s", "", p99(&slowed)),
        ("extra work, part", "0.03", extra_work(&load, &slowed)),
        ("refused, part", "0", refused(&slowed)),
    ]
}

fn crest(policy: Policy, routers: usize) -> Vec<Measurement> {
    let mut load = Load::new(routers, 100);
    let rise = |at_s: f64| {
        ((at_s - 30.0) / 2.0)
            .min((54.0 - at_s) / 2.0)
            .clamp(0.0, 1.0)
    };
    load.add(5, 0.0, |at_s| 0.5 + 2.5 * rise(at_s));
    let outcomes = run(policy, &load);
    let is_good = |request: &Request, outcome: &Outcome| {
        first_token(request, outcome).is_some_and(|us| us <= 320_000 + QUEUE_TIMEOUT_MS * 1_000)
    };
    let crest_us = 34 * SECOND_US..52 * SECOND_US;
    let pairs = load.requests.iter().zip(&outcomes);
    let ended = pairs.filter(|(_, o)| o.ended_us.is_some_and(|at| crest_us.contains(&at)));
    let good = ended.filter(|(r, o)| is_good(r, o));
    let tokens: u64 = good
        .map(|(request, _)| request.tokens + PREFILL_TOKENS)
        .sum();
    let goodput = tokens as f64 / 18.0 / load.capacity_tokens_per_s();
    let after: DurationFn = |r, o| first_token(r, o).filter(|_| r.at_us >= 58 * SECOND_US);
    vec![
        ("goodput at crest, of capacity", "0.95", goodput),
        (
            "first token p95, s",
            "2.32",
            quantile(&load, &outcomes, 0.95, first_token),
        ),
        (
            "the same from 4 s after it, s",
            "0.32",
            quantile(&load, &outcomes, 0.95, after),
        ),
        ("refused, part", "", refused(&outcomes)),
    ]
}
