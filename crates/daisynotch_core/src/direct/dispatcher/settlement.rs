//! What the dispatcher expects of the length of an answer, and how it settles what was charged for it.

use super::{Dispatcher, Run};
use crate::direct::request::{RequestSpec, RunOutcome};
use crate::time::Timestamp;

impl Dispatcher {
    /// Sets the expected length of the answer to a request.
    ///
    /// Without observations, this is the caller's hint, or half of the maximum.
    pub fn estimate_answer(&self, spec: &mut RequestSpec, now: Timestamp) {
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
        if run.events == 0 || !self.has_engines(&run.service) {
            return;
        }
        let is_complete = ended == RunOutcome::Done;
        if is_complete {
            self.answer_lengths
                .on_complete(&run.answer, run.events, now);
        }
        let event_tokens = self.answer_lengths.event_tokens(&run.service);
        let generated = (run.events as f64 * event_tokens) as u64;
        let generated = match u64::from(run.answer_max_tokens) {
            0 => generated,
            max => generated.min(max),
        };
        let tokens = charge
            .prompt_tokens
            .saturating_add(generated.saturating_mul(2));
        if let Some(team) = run.answer.team()
            && (is_complete || tokens > charge.tokens)
        {
            self.shares.settle(team, charge, tokens, now);
        }
    }
}
