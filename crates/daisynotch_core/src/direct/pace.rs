//! Latency models that are fitted to observed answers.
//!
//! The engines of a service differ in speed, some become slow for a while, and the
//! configuration doesn't say how fast any of them is.

use std::time::Duration;

/// Decay of the weight of earlier samples with each new one: an effective window of about 200.
const SAMPLE_DECAY: f64 = 0.995;
/// Smoothing factor of the moving average of an endpoint's slowdown.
const SLOWDOWN_SMOOTHING: f64 = 0.12;
/// Bounds of a sample of an endpoint's slowdown.
const SLOWDOWN_RANGE: (f64, f64) = (0.5, 8.0);
/// Bounds of the prefill time per token: 10 to 500 tokens per millisecond.
const TOKEN_MS_RANGE: (f64, f64) = (0.002, 0.1);
/// Bounds of the part of the time to first token that does not depend on the prompt's length.
const BASE_MS_RANGE: (f64, f64) = (2.0, 500.0);
/// Tokens and milliseconds of the samples that the fit starts from: 90 ms without tokens and
/// 220 ms for 10,000.
const PRIOR_SAMPLES: [(f64, f64); 2] = [(0.0, 90.0), (10_000.0, 220.0)];
/// Weight of each of these, in samples.
const PRIOR_WEIGHT: f64 = 10.0;

/// A linear model of a service's time to first token over the prompt tokens to prefill.
///
/// A least-squares fit over samples with exponentially decaying weights. A sample consists of the
/// prompt tokens queued ahead of and in a request, and the time until its first token.
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
    /// Returns the time that an engine of average speed takes to prefill `tokens`.
    pub(crate) fn prefill_ms(&self, tokens: f64) -> f64 {
        tokens * self.token_ms
    }

    /// Returns the time to first token without prefill.
    pub(crate) fn base_ms(&self) -> f64 {
        self.base_ms
    }

    /// Adds the sample of a first token and updates the fit.
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

    /// Adds a weighted sample to the sums.
    fn add(&mut self, tokens: f64, ms: f64, weight: f64) {
        self.weight += weight;
        self.tokens_sum += weight * tokens;
        self.ms_sum += weight * ms;
        self.tokens_squared_sum += weight * tokens * tokens;
        self.tokens_ms_sum += weight * tokens * ms;
    }

    /// Solves the least-squares fit for the current sums.
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

/// How many times as long one endpoint takes as its service on average.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slowdown(pub(crate) f64);

impl Default for Slowdown {
    fn default() -> Self {
        Self(1.0)
    }
}

impl Slowdown {
    /// Updates the average with the time that an answer took and the time expected for it.
    pub(crate) fn observe(&mut self, taken_ms: f64, expected_ms: f64) {
        let ratio = taken_ms / expected_ms.max(1.0);
        let ratio = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        self.0 += SLOWDOWN_SMOOTHING * (ratio - self.0);
    }
}

#[cfg(test)]
mod tests;
