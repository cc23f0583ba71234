//! Estimates how long the answer to a request will be.
//!
//! Load pattern: requests that look alike have answers of very different length, callers' hints are
//! right at the median and far off otherwise, some teams' hints are always wrong, and the work
//! changes within seconds. Lengths are learned as logarithms from completed streams, in events: the
//! router counts these, and does not know how many tokens an event holds. What the fitted deviation
//! of hints includes is the number of tokens in an event as well as a team's habit.
//! See `docs/design/request-cost.md`.

use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::request::RequestSpec;
use crate::time::Timestamp;

/// Decay of earlier observations with each new one: a memory of about 25 answers.
const OBSERVATION_DECAY: f64 = 0.96;
/// Time constant with which observations are forgotten if few follow.
const FORGET_S: f64 = 8.0;
/// Weight of the more general estimate, in observations, beside those of a team or prompt part.
const GENERAL_WEIGHT: f64 = 3.0;
/// Standard deviation of the logarithm of a length of which nothing is known: responses of one
/// route reach four times their mean.
const INITIAL_DEVIATION: f64 = 0.8;
/// Weight of the initial estimate, in observations.
const INITIAL_WEIGHT: f64 = 1.0;
/// Lower bound of the variance of an estimate.
const VARIANCE_MIN: f64 = 0.01;
/// Quantile of the standard normal distribution that the upper estimate is at: 90%. Memory is
/// reserved for many requests together, of which few are that long.
const UPPER_QUANTILE: f64 = 1.28;
/// Expected length of an answer as a fraction of its maximum, if the caller gives no hint and
/// nothing was observed.
const INITIAL_MAX_FRACTION: f64 = 0.5;
/// Number of routes, teams and parts that are remembered; half of them, those not used for longest,
/// are dropped when there are more. One takes about 50 bytes.
const STATISTICS_MAX: usize = 4_096;
/// Tokens in an event if hints say nothing of it: engines in use send 3 to 6.
const EVENT_TOKENS_INITIAL: f64 = 4.0;
/// Bounds of that number, so that hints can't make tokens out of nothing.
const EVENT_TOKENS_RANGE: (f64, f64) = (2.0, 8.0);
/// Number of teams whose hints tell the tokens in an event.
const HINTING_TEAMS_MAX: usize = 64;
/// Number of observations after which their median is computed anew.
const MEDIAN_INTERVAL: u32 = 8;
/// Weight of observations of a team's hints from which they count.
const HINTING_WEIGHT_MIN: f64 = 3.0;

/// Mean and variance of logarithms, with exponentially decaying weights.
#[derive(Debug, Clone, Copy, Default)]
struct LogStatistics {
    weight: f64,
    mean: f64,
    squares: f64,
    at: Timestamp,
}

/// A normally distributed logarithm, with the weight of the observations behind it.
#[derive(Debug, Clone, Copy)]
struct LogEstimate {
    mean: f64,
    variance: f64,
    weight: f64,
}

impl LogStatistics {
    fn weight_at(&self, now: Timestamp) -> f64 {
        self.weight * (-now.since(self.at).as_secs_f64() / FORGET_S).exp()
    }

    fn observe(&mut self, value: f64, now: Timestamp) {
        let kept = self.weight_at(now) / self.weight.max(f64::MIN_POSITIVE) * OBSERVATION_DECAY;
        self.at = now;
        self.weight = self.weight * kept + 1.0;
        let deviation = value - self.mean;
        self.mean += deviation / self.weight;
        self.squares = self.squares * kept + deviation * (value - self.mean);
    }

    /// Joins the observations with a more general estimate, which counts for `general_weight` of
    /// them.
    fn join(&self, general: LogEstimate, general_weight: f64, now: Timestamp) -> LogEstimate {
        let weight = self.weight_at(now);
        let total = weight + general_weight;
        let part = weight / total;
        let own_variance = self.squares / self.weight.max(f64::MIN_POSITIVE);
        let distance = self.mean - general.mean;
        let between = part * (1.0 - part) * distance * distance;
        LogEstimate {
            mean: general.mean + part * distance,
            variance: part * own_variance + (1.0 - part) * general.variance + between,
            weight: weight + general.weight,
        }
    }
}

/// What a completed answer is an observation of.
#[derive(Debug, Clone)]
pub(crate) struct AnswerKeys {
    service: Arc<str>,
    team: Option<u32>,
    route_length: u64,
    team_length: Option<u64>,
    part_length: Option<u64>,
    route_hint: u64,
    team_hint: Option<u64>,
    hint_ln: Option<f64>,
}

impl AnswerKeys {
    pub(crate) fn new(spec: &RequestSpec) -> Self {
        let of_route = |kind: u64, id: u32| {
            xxh3_64_with_seed(spec.route.as_bytes(), kind << 32 | u64::from(id))
        };
        // The last part belongs to one request only.
        let part = spec.parts.iter().rev().nth(1);
        let hint = spec.answer_hint_tokens.filter(|hint| *hint > 0);
        Self {
            service: Arc::clone(&spec.service),
            team: spec.team,
            route_length: of_route(0, 0),
            team_length: spec.team.map(|team| of_route(1, team)),
            part_length: part.map(|part| of_route(2, part.id)),
            route_hint: of_route(3, 0),
            team_hint: spec.team.map(|team| of_route(4, team)),
            hint_ln: hint.map(|hint| f64::from(hint).ln()),
        }
    }
}

impl AnswerKeys {
    /// Returns the team that sent the request.
    pub(crate) fn team(&self) -> Option<u32> {
        self.team
    }
}

/// Leaves keys as they are, which are hashes already.
#[derive(Debug, Default, Clone, Copy)]
struct KeyHasher(u64);

impl Hasher for KeyHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, key: u64) {
        self.0 = key;
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// Statistics by hash, of which the least recently used are dropped.
#[derive(Debug, Default)]
struct StatisticsByKey {
    by_key: HashMap<u64, (LogStatistics, u64), BuildHasherDefault<KeyHasher>>,
    next_tick: u64,
}

impl StatisticsByKey {
    fn get(&self, key: Option<u64>) -> Option<&LogStatistics> {
        let (statistics, _) = self.by_key.get(&key?)?;
        Some(statistics)
    }

    fn observe(&mut self, key: Option<u64>, value: f64, now: Timestamp) {
        let Some(key) = key else { return };
        self.next_tick += 1;
        let (statistics, used_at_tick) = self.by_key.entry(key).or_default();
        statistics.observe(value, now);
        *used_at_tick = self.next_tick;
        if self.by_key.len() > STATISTICS_MAX {
            let mut ticks: Vec<u64> = self.by_key.values().map(|(_, tick)| *tick).collect();
            let (_, median, _) = ticks.select_nth_unstable(STATISTICS_MAX / 2);
            let oldest_kept = *median;
            self.by_key.retain(|_, (_, tick)| *tick >= oldest_kept);
        }
    }
}

/// How many tokens the events of one service hold, by the hints of its teams.
///
/// Each team has one voice, and the median counts, so that one team's hints can't change what all
/// are charged for an event.
#[derive(Debug, Default)]
struct EventTokens {
    by_team: HashMap<u32, LogStatistics>,
    observations: u32,
    median: Option<f64>,
}

impl EventTokens {
    fn observe(&mut self, team: u32, hint_ln: f64, events_ln: f64, now: Timestamp) {
        if self.by_team.len() >= HINTING_TEAMS_MAX && !self.by_team.contains_key(&team) {
            let is_old = |statistics: &LogStatistics| statistics.weight_at(now) < 1.0;
            self.by_team.retain(|_, statistics| !is_old(statistics));
            if self.by_team.len() >= HINTING_TEAMS_MAX {
                return;
            }
        }
        let statistics = self.by_team.entry(team).or_default();
        statistics.observe(hint_ln - events_ln, now);
        self.observations = self.observations.wrapping_add(1);
        if !self.observations.is_multiple_of(MEDIAN_INTERVAL) {
            return;
        }
        let known = self.by_team.values();
        let known = known.filter(|statistics| statistics.weight >= HINTING_WEIGHT_MIN);
        let mut means: Vec<f64> = known.map(|statistics| statistics.mean).collect();
        means.push(EVENT_TOKENS_INITIAL.ln());
        means.sort_by(f64::total_cmp);
        let middle = means.len() / 2;
        let median = if means.len().is_multiple_of(2) {
            f64::midpoint(means[middle - 1], means[middle])
        } else {
            means[middle]
        };
        self.median = Some(median.exp());
    }

    fn tokens(&self) -> f64 {
        let tokens = self.median.unwrap_or(EVENT_TOKENS_INITIAL);
        tokens.clamp(EVENT_TOKENS_RANGE.0, EVENT_TOKENS_RANGE.1)
    }
}

/// The expected length of an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct AnswerEstimate {
    /// The expected number of tokens.
    pub(crate) tokens: u32,
    /// The number of tokens that nine answers in ten do not exceed.
    pub(crate) upper_tokens: u32,
    /// The expected number of events.
    pub(crate) events: u32,
}

/// The lengths of answers by route, by route and team, and by route and prompt part, and how well
/// hints predicted them.
#[derive(Debug, Default)]
pub(crate) struct AnswerLengths {
    statistics: StatisticsByKey,
    event_tokens: HashMap<Arc<str>, EventTokens>,
}

/// Returns the expected length of an answer if nothing was observed.
fn initial_tokens(spec: &RequestSpec) -> u32 {
    spec.answer_hint_tokens.map_or_else(
        || (f64::from(spec.answer_max_tokens) * INITIAL_MAX_FRACTION) as u32,
        |hint| hint.min(spec.answer_max_tokens),
    )
}

impl AnswerLengths {
    /// Estimates the length of the answer to a request.
    pub(crate) fn estimate(&self, spec: &RequestSpec, now: Timestamp) -> AnswerEstimate {
        let keys = AnswerKeys::new(spec);
        let event_tokens = self.event_tokens(&spec.service);
        let initial = f64::from(initial_tokens(spec).max(1)) / event_tokens;
        let variance = INITIAL_DEVIATION * INITIAL_DEVIATION;
        let mut length = LogEstimate {
            mean: initial.ln() - variance / 2.0,
            variance,
            weight: 0.0,
        };
        for (key, general_weight) in [
            (Some(keys.route_length), INITIAL_WEIGHT),
            (keys.team_length, GENERAL_WEIGHT),
            (keys.part_length, GENERAL_WEIGHT),
        ] {
            if let Some(statistics) = self.statistics.get(key) {
                length = statistics.join(length, general_weight, now);
            }
        }
        let is_learned = length.weight > 0.0;
        if let Some(hinted) = self.hinted_length(&keys, now) {
            let (of_length, of_hint) = (1.0 / length.variance, 1.0 / hinted.variance);
            length.mean = (length.mean * of_length + hinted.mean * of_hint) / (of_length + of_hint);
            length.variance = 1.0 / (of_length + of_hint);
        }
        length.variance = length.variance.max(VARIANCE_MIN);
        let max_tokens = match spec.answer_max_tokens {
            // Nothing says that the answer is empty once others were not.
            0 if is_learned => f64::from(u32::MAX),
            max => f64::from(max),
        };
        let mean = (length.mean + length.variance / 2.0).exp() * event_tokens;
        let upper = (length.mean + UPPER_QUANTILE * length.variance.sqrt()).exp() * event_tokens;
        let tokens = if is_learned {
            mean.min(max_tokens) as u32
        } else {
            initial_tokens(spec)
        };
        AnswerEstimate {
            tokens,
            upper_tokens: (upper.min(max_tokens) as u32).max(tokens),
            events: (f64::from(tokens) / event_tokens).ceil() as u32,
        }
    }

    /// Returns the number of events that the hint predicts, by how far hints of the route and of
    /// the team were off before.
    fn hinted_length(&self, keys: &AnswerKeys, now: Timestamp) -> Option<LogEstimate> {
        let hint_ln = keys.hint_ln?;
        let of_route = self.statistics.get(Some(keys.route_hint))?;
        let general = LogEstimate {
            mean: of_route.mean,
            variance: INITIAL_DEVIATION * INITIAL_DEVIATION,
            weight: 0.0,
        };
        let mut deviation = of_route.join(general, INITIAL_WEIGHT, now);
        if let Some(of_team) = self.statistics.get(keys.team_hint) {
            deviation = of_team.join(deviation, GENERAL_WEIGHT, now);
        }
        (deviation.weight > 1.0).then(|| LogEstimate {
            mean: hint_ln + deviation.mean,
            variance: deviation.variance.max(VARIANCE_MIN),
            weight: deviation.weight,
        })
    }

    /// Returns the number of tokens that an event of a service's answers is taken to hold.
    pub(crate) fn event_tokens(&self, service: &str) -> f64 {
        let of_service = self.event_tokens.get(service);
        of_service.map_or(EVENT_TOKENS_INITIAL, EventTokens::tokens)
    }

    /// Learns from a completed stream.
    ///
    /// An answer that was cut or cancelled teaches nothing: it would have been longer.
    pub(crate) fn on_complete(&mut self, keys: &AnswerKeys, events: u64, now: Timestamp) {
        if events == 0 {
            return;
        }
        let events_ln = (events as f64).ln();
        let lengths = [Some(keys.route_length), keys.team_length, keys.part_length];
        for key in lengths {
            self.statistics.observe(key, events_ln, now);
        }
        let Some(hint_ln) = keys.hint_ln else { return };
        for key in [Some(keys.route_hint), keys.team_hint] {
            self.statistics.observe(key, events_ln - hint_ln, now);
        }
        if let Some(team) = keys.team {
            let service = Arc::clone(&keys.service);
            let event_tokens = self.event_tokens.entry(service).or_default();
            event_tokens.observe(team, hint_ln, events_ln, now);
        }
    }
}

#[cfg(test)]
mod tests;
