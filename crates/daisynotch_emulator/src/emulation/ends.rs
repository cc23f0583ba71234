//! How requests and attempts end: refused, failed, finished or given up by their callers.

use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::direct::RunOutcome;
use smallvec::SmallVec;

use super::{Attempt, Emulation, Event, RETRY_AFTER_MAX_FRACTION, Router, START_US, TRIES_MAX};
use crate::fleet::SERVICE;

impl Emulation<'_> {
    pub(super) fn refuse(&mut self, request: usize, retry_after: Duration) {
        self.outcomes[request].refusals += 1;
        let caller_request = &self.requests[request];
        let deadline_us = self.experiment.demand[caller_request.demand].deadline_ms * 1_000;
        let left_us =
            (START_US + caller_request.arrives_us + deadline_us).saturating_sub(self.now_us);
        let after_us = retry_after.as_micros() as u64;
        let has_time = after_us as f64 <= left_us as f64 * RETRY_AFTER_MAX_FRACTION;
        if self.callers[request].tries < TRIES_MAX && has_time {
            self.schedule(after_us, Event::Arrive { request });
        } else {
            self.callers[request].is_finished = true;
        }
    }

    pub(super) fn fail(&mut self, attempt: usize, outcome: RunOutcome) {
        let Attempt {
            request,
            router,
            engine,
            is_finished,
            ..
        } = self.attempts[attempt];
        if is_finished {
            return;
        }
        let is_suspect = self.report_crash(attempt, outcome);
        let has_started = self.outcomes[request].first_event_us.is_some();
        let now = self.now();
        let may_retry = !is_suspect
            && match &mut self.routers[router] {
                Router::Direct(dispatcher) => dispatcher.take_retry(&Arc::from(SERVICE), now),
                Router::Baseline(_) => self.callers[request].tries < TRIES_MAX,
            };
        if has_started || !may_retry {
            self.callers[request].is_finished = true;
            return;
        }
        self.callers[request].tries += 1;
        let spec = self.spec(request, SmallVec::from_slice(&[self.endpoints[engine]]));
        self.submit(request, spec);
    }

    pub(super) fn end(&mut self, attempt: usize, outcome: RunOutcome) {
        let now = self.now();
        let attempt = &mut self.attempts[attempt];
        attempt.is_finished = true;
        match &mut self.routers[attempt.router] {
            Router::Direct(dispatcher) => {
                let run = attempt
                    .run
                    .expect("the dispatcher assigns each attempt a run");
                dispatcher.on_ended(run, outcome, now);
            }
            Router::Baseline(baseline) => baseline.on_ended(attempt.engine),
        }
    }

    pub(super) fn give_up(&mut self, request: usize) {
        if std::mem::replace(&mut self.callers[request].is_finished, true) {
            return;
        }
        let router = self.requests[request].router;
        if let (Router::Direct(dispatcher), Some(id)) =
            (&mut self.routers[router], self.callers[request].queue_id)
        {
            dispatcher.withdraw(id);
            self.queued.remove(&(router, id));
        }
        if let Some(attempt) = self.callers[request].attempt
            && !self.attempts[attempt].is_finished
        {
            self.end(attempt, RunOutcome::Cancelled);
            let engine = self.attempts[attempt].engine;
            self.engines[engine].cancel(attempt);
        }
    }
}
