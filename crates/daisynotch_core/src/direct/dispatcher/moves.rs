//! Moves a request away from an endpoint that went silent.
//!
//! A sound endpoint may be silent for a second or so and go on. Its run is worth more than a
//! refusal, so it is given up only for a place at another endpoint.

use super::Dispatcher;
use super::decision::PlainDecision;
use crate::direct::crash_evidence::Assessment;
use crate::direct::request::{Grant, RequestSpec};
use crate::time::Timestamp;

impl Dispatcher {
    /// Grants a request whose endpoint went silent a place at another endpoint and takes a retry
    /// from the budget; `None` if there is no place now or the budget is spent.
    ///
    /// The request is not queued. Endpoints that are silent themselves are not chosen.
    pub fn try_move(&mut self, spec: &RequestSpec, now: Timestamp) -> Option<Grant> {
        let has_retry = self
            .retry_budget
            .has_retry(&spec.service, self.routers, now);
        if now >= spec.give_up_at || !has_retry {
            return None;
        }
        let backlog_max_ms = if self.has_engines(&spec.service) {
            self.rank(spec, 0, now).backlog_max_ms()
        } else {
            f64::INFINITY
        };
        let (choice, is_trial) = match self.crash_evidence.assess(&spec.parts, now) {
            Assessment::Clear => (self.find_candidates(spec, backlog_max_ms, now).0?, false),
            Assessment::Suspect(part) => (self.choose_trial_endpoint(spec, part, now)?, true),
            Assessment::Blocked { .. } => return None,
        };
        let has_room = if self.has_engines(&spec.service) {
            choice.admission_ms <= backlog_max_ms
        } else {
            let waited = now.since(spec.arrived_at);
            let decision = self.decide_plain(spec, Some(&choice), waited);
            matches!(decision, PlainDecision::Send)
        };
        if !has_room || !self.take_retry(&spec.service, now) {
            return None;
        }
        Some(self.grant(spec, choice, is_trial, now))
    }
}
