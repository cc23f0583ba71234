//! Latency models that are fitted to observed answers.
//!
//! The engines of a service differ in speed, some become slow for a while, and the
//! configuration doesn't say how fast any of them is.

use std::time::Duration;

use crate::time::Timestamp;

/// Decay of the weight of earlier samples with each new one: an effective window of about 200.
const SAMPLE_DECAY: f64 = 0.995;
/// Smoothing factor of the slowdown of an endpoint of a plain service.
const PLAIN_SMOOTHING: f64 = 0.12;
/// Bounds of a sample of an endpoint's slowdown.
const SLOWDOWN_RANGE: (f64, f64) = (0.25, 8.0);
/// Lowest weight of an answer in an engine's usual slowdown: a memory of about 25 answers.
const USUAL_SMOOTHING_MIN: f64 = 0.04;
/// Number of answers that the initial value of that slowdown counts for.
const INITIAL_WEIGHT: f64 = 1.0;
/// Number of answers after which one can't differ much from the usual slowdown any more.
const FIRST_ANSWERS: u32 = 4;
/// Largest factor by which a later answer counts as different from it, so that a slow moment, which
/// is 2.5 times as slow, changes it little.
const USUAL_STEP_MAX: f64 = 1.6;
/// Weight of an answer in the slowdown of the moment.
const MOMENT_SMOOTHING: f64 = 0.5;
/// Deviation from the usual slowdown below which an engine counts as at its usual speed. Waits of
/// other causes reach 1.5, with which an engine that was merely busy was avoided.
const MOMENT_MIN: f64 = 2.0;
/// Time after its last sample at which a slow moment is taken to be over: such moments last 0.6 s.
const MOMENT_MAX_AGE: Duration = Duration::from_millis(600);
/// Time constants of the averages of the pauses between the events of an engine's streams: of the
/// moment and of its usual ones.
const PAUSE_MOMENT: Duration = Duration::from_millis(60);
const PAUSE_USUAL: Duration = Duration::from_secs(3);
/// Time between two events of a stream of an engine from which no stream was seen.
const EVENT_INITIAL_MS: f64 = 25.0;
/// Age of the latest pause up to which the pauses decide whether an engine has a slow moment. They
/// tell its end, which the next answer tells later.
const PAUSE_MAX_AGE: Duration = Duration::from_millis(150);
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
///
/// Load pattern: engines differ in speed for good, a router gets a few answers a second from each,
/// and an engine becomes slow for some tenths of a second. The usual slowdown is learned from the
/// first answers. The one of the moment is learned from answers and, faster, from the pauses
/// between the events of the streams that run there.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slowdown {
    usual: f64,
    /// Number of answers that this router observed.
    answers: u32,
    observed_at: Timestamp,
    /// The deviation of the moment from the usual slowdown.
    moment: f64,
    moment_at: Timestamp,
    pauses: Option<Pauses>,
    /// The root of the usual slowdown.
    weighted: f64,
    /// Moving average of how many times as long answers took as was expected with it.
    stated: f64,
}

/// Averages of the pauses between the events of an engine's streams.
#[derive(Debug, Clone, Copy)]
struct Pauses {
    moment_ms: f64,
    usual_ms: f64,
    at: Timestamp,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self {
            usual: 1.0,
            answers: 0,
            observed_at: Timestamp::default(),
            moment: 1.0,
            moment_at: Timestamp::default(),
            pauses: None,
            weighted: 1.0,
            stated: 1.0,
        }
    }
}

impl Slowdown {
    /// Returns the slowdown at `now`.
    pub(crate) fn factor(&self, now: Timestamp) -> f64 {
        self.usual * self.moment_factor(now)
    }

    /// Returns the slowdown that placement decides by: half of the logarithm of the usual one.
    ///
    /// What was learned from answers includes waits for what others had sent meanwhile. With all of
    /// it, engines that were merely busy were avoided: in the emulator's rush, goodput was 0.937 in
    /// place of 0.949.
    pub(crate) fn placement_factor(&self, now: Timestamp) -> f64 {
        self.weighted * self.moment_factor(now)
    }

    fn moment_factor(&self, now: Timestamp) -> f64 {
        if self.moment < MOMENT_MIN {
            return 1.0;
        }
        let age = now.since(self.moment_at);
        let left = 1.0 - age.as_secs_f64() / MOMENT_MAX_AGE.as_secs_f64();
        1.0 + (self.moment - 1.0) * left.max(0.0)
    }

    /// Returns the time between two events of a stream.
    pub(crate) fn event_ms(&self, now: Timestamp) -> f64 {
        match self.pauses {
            Some(pauses) => pauses.usual_ms * self.moment_factor(now),
            None => EVENT_INITIAL_MS * self.factor(now),
        }
    }

    /// Returns the slowdown apart from slow moments, and when this router last observed it; `None`
    /// without observations of its own.
    pub(crate) fn learned(&self) -> Option<(f64, Timestamp)> {
        (self.answers > 0).then_some((self.usual, self.observed_at))
    }

    /// Takes over the slowdown that another router learned, unless this one has observed any.
    pub(crate) fn on_peer(&mut self, factor: f64) {
        if self.answers == 0 {
            self.usual = factor.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
            self.weighted = self.usual.sqrt();
        }
    }

    /// Returns the slowdown of an engine by the stated cost model.
    pub(crate) fn stated_factor(&self) -> f64 {
        self.stated
    }

    /// Updates the slowdown of the stated cost model with the time until an engine's answer began and
    /// the time that was expected with that slowdown.
    pub(crate) fn observe_stated(&mut self, taken_ms: f64, expected_ms: f64) {
        let ratio = taken_ms / expected_ms.max(1.0);
        let ratio = ratio.clamp(0.5, SLOWDOWN_RANGE.1);
        self.stated += PLAIN_SMOOTHING * (ratio - self.stated);
    }

    /// Updates the average of an endpoint of a plain service with the time that an answer took and
    /// the average time of the service.
    pub(crate) fn observe_plain(&mut self, taken_ms: f64, service_ms: f64) {
        let ratio = taken_ms / service_ms.max(1.0);
        let ratio = ratio.clamp(0.5, SLOWDOWN_RANGE.1);
        self.usual += PLAIN_SMOOTHING * (ratio - self.usual);
    }

    /// Learns from the time until an engine's answer began and the time that an engine of average
    /// speed takes.
    pub(crate) fn observe_answer(&mut self, taken_ms: f64, average_ms: f64, now: Timestamp) {
        let ratio = taken_ms / average_ms.max(1.0);
        let ratio = ratio.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        let deviation = ratio / self.usual;
        let weight = 1.0 / (f64::from(self.answers) + 1.0 + INITIAL_WEIGHT);
        let step = if self.answers < FIRST_ANSWERS {
            deviation
        } else {
            deviation.clamp(1.0 / USUAL_STEP_MAX, USUAL_STEP_MAX)
        };
        self.usual *= step.powf(weight.max(USUAL_SMOOTHING_MIN));
        self.weighted = self.usual.sqrt();
        self.answers = self.answers.saturating_add(1);
        self.observed_at = now;
        let has_pauses = self
            .pauses
            .is_some_and(|pauses| now.since(pauses.at) < PAUSE_MAX_AGE);
        if !has_pauses {
            self.moment += MOMENT_SMOOTHING * (deviation - self.moment);
            self.moment_at = now;
        }
    }

    /// Learns from the pause between two events of a stream while the engine prefilled no prompt.
    pub(crate) fn observe_pause(&mut self, pause: Duration, now: Timestamp) {
        let pause_ms = pause.as_secs_f64() * 1e3;
        let Some(pauses) = &mut self.pauses else {
            self.pauses = Some(Pauses {
                moment_ms: pause_ms,
                usual_ms: pause_ms,
                at: now,
            });
            return;
        };
        // Streams of one engine get their events at the same time, so the weight of a pause is
        // that of the time since the one before.
        let elapsed = now.since(pauses.at).min(pause).as_secs_f64();
        let weight = |constant: Duration| elapsed / (elapsed + constant.as_secs_f64());
        let usual_max_ms = pauses.usual_ms * USUAL_STEP_MAX;
        pauses.moment_ms += weight(PAUSE_MOMENT) * (pause_ms - pauses.moment_ms);
        pauses.usual_ms += weight(PAUSE_USUAL) * (pause_ms.min(usual_max_ms) - pauses.usual_ms);
        pauses.at = now;
        self.moment = (pauses.moment_ms / pauses.usual_ms.max(0.1)).min(SLOWDOWN_RANGE.1);
        self.moment_at = now;
    }
}

#[cfg(test)]
mod tests;
