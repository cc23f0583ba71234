//! How long work takes, learnt from answers.
//!
//! Load pattern: engines of one service differ in speed, some turn slow for a
//! while, and nothing in the configuration says how fast any of them is.

use std::time::Duration;

/// What one more sample weighs against those before it: a memory of about 200.
const SAMPLE_DECAY: f64 = 0.995;
/// What one more sample weighs for the slowdown of a single endpoint.
const SLOWDOWN_SMOOTHING: f64 = 0.12;
/// Bounds of a single endpoint's slowdown.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 8.0);
/// Bounds of the time per token: engines between 10 and 500 tokens a millisecond.
const TOKEN_MS_RANGE: (f64, f64) = (0.002, 0.1);
/// Bounds of the time that does not depend on the length of the prompt.
const BASE_MS_RANGE: (f64, f64) = (2.0, 500.0);
/// Samples that stand for the first assumption: no token takes 90 ms and 10,000 take 220 ms.
const PRIOR_SAMPLES: [(f64, f64); 2] = [(0.0, 90.0), (10_000.0, 220.0)];
/// What each of these weighs, in samples.
const PRIOR_WEIGHT: f64 = 10.0;

/// The time to the first token of a service's engines, as a line over tokens to read.
///
/// A least-squares fit over the latest samples: the tokens that stood before and in
/// the request, and the time until its first token.
#[derive(Debug, Clone)]
pub(crate) struct FirstTokenModel {
    weight: f64,
    tokens_sum: f64,
    ms_sum: f64,
    tokens_squared_sum: f64,
    tokens_ms_sum: f64,
    base_ms: f64,
    token_ms: f64,
}

impl Default for FirstTokenModel {
    fn default() -> Self {
        let mut model = Self {
            weight: 0.0,
            tokens_sum: 0.0,
            ms_sum: 0.0,
            tokens_squared_sum: 0.0,
            tokens_ms_sum: 0.0,
            base_ms: 0.0,
            token_ms: 0.0,
        };
        for (tokens, ms) in PRIOR_SAMPLES {
            model.add(tokens, ms, PRIOR_WEIGHT);
        }
        model.fit();
        model
    }
}

impl FirstTokenModel {
    /// Gives the time that an engine of usual speed takes to read some tokens.
    pub(crate) fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * self.token_ms
    }

    /// Gives the time to the first token apart from reading.
    pub(crate) fn base_ms(&self) -> f64 {
        self.base_ms
    }

    /// Learns from a first token.
    pub(crate) fn observe(&mut self, tokens: f64, taken: Duration) {
        for sum in [
            &mut self.weight,
            &mut self.tokens_sum,
            &mut self.ms_sum,
            &mut self.tokens_squared_sum,
            &mut self.tokens_ms_sum,
        ] {
            *sum *= SAMPLE_DECAY;
        }
        self.add(tokens, taken.as_secs_f64() * 1e3, 1.0);
        self.fit();
    }

    fn add(&mut self, tokens: f64, ms: f64, weight: f64) {
        self.weight += weight;
        self.tokens_sum += weight * tokens;
        self.ms_sum += weight * ms;
        self.tokens_squared_sum += weight * tokens * tokens;
        self.tokens_ms_sum += weight * tokens * ms;
    }

    fn fit(&mut self) {
        let spread = self.weight * self.tokens_squared_sum - self.tokens_sum * self.tokens_sum;
        let slope = if spread > 0.0 {
            (self.weight * self.tokens_ms_sum - self.tokens_sum * self.ms_sum) / spread
        } else {
            self.token_ms
        };
        self.token_ms = slope.clamp(TOKEN_MS_RANGE.0, TOKEN_MS_RANGE.1);
        let base = (self.ms_sum - self.token_ms * self.tokens_sum) / self.weight;
        self.base_ms = base.clamp(BASE_MS_RANGE.0, BASE_MS_RANGE.1);
    }
}

/// How much slower one endpoint is than its service as a whole.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slowdown(pub(crate) f64);

impl Default for Slowdown {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Slowdown {
    /// Learns from the time that an answer took against the time expected.
    pub(crate) fn observe(&mut self, taken_ms: f64, expected_ms: f64) {
        let ratio = taken_ms / expected_ms.max(1.0);
        let ratio = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        self.0 += SLOWDOWN_SMOOTHING * (ratio - self.0);
    }
}

#[cfg(test)]
mod tests;
