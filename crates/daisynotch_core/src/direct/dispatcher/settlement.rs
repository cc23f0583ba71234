//! What the dispatcher expects of the length of an answer, and how it settles what was charged for it.

use super::{Dispatcher, Run};
use crate::direct::answer_length::AnswerLengths;
use crate::direct::request::{CostModel, RequestSpec, RunOutcome};
use crate::time::Timestamp;

impl Run {
    /// Returns the number of tokens in the events that have arrived, by what an event holds on
    /// average.
    pub(super) fn generated_tokens(&self, lengths: &AnswerLengths) -> u64 {
        let max = match self.answer_max_tokens {
            0 => u32::MAX,
            max => max,
        };
        let tokens = self.events as f64 * lengths.event_tokens(&self.service);
        tokens.min(f64::from(max)) as u64
    }
}

impl Dispatcher {
    /// Sets the expected length of the answer to a request.
    ///
    /// Without observations, this is the caller's hint, or half of the maximum.
    pub fn estimate_answer(&self, spec: &mut RequestSpec, now: Timestamp) {
        if self.cost_model == CostModel::Stated {
            spec.answer_tokens = spec.stated_answer_tokens();
            spec.answer_upper_tokens = spec.answer_tokens;
            return;
        }
        let estimate = self.answer_lengths.estimate(spec, now);
        spec.answer_tokens = estimate.tokens;
        spec.answer_upper_tokens = estimate.upper_tokens;
        spec.answer_events = estimate.events;
    }

    /// Learns from a run that ended, and charges its team for what was generated.
    ///
    /// Only complete answers are paid back for: a team must not gain by cancelling requests that it
    /// hints to be long. What was generated beyond the charge is always charged.
    pub(super) fn settle(&mut self, run: &Run, ended: RunOutcome, now: Timestamp) {
        // Whole answers, and the rest of resumed streams, don't tell their length.
        let Some(charge) = &run.charge else { return };
        if self.cost_model == CostModel::Stated
            || run.events == 0
            || !self.has_engines(&run.service)
        {
            return;
        }
        let is_complete = ended == RunOutcome::Done;
        if is_complete {
            self.answer_lengths
                .on_complete(&run.answer, run.events, now);
        }
        let generated = run.generated_tokens(&self.answer_lengths);
        let tokens = run.prompt_tokens + 2 * generated;
        if let Some(team) = run.answer.team()
            && (is_complete || tokens > charge.tokens)
        {
            self.shares.settle(team, charge, tokens, now);
        }
    }
}
