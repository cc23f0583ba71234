//! Crashes of engines, and what the policies do about prompt parts that cause them.

use std::collections::{HashMap, HashSet};

use daisynotch_core::direct::{EndpointChange, RunOutcome, shared_part_ids};

use super::{Emulation, Event, Router, START_US};
use crate::fleet::{endpoint_entry, route_table};
use crate::policy::PolicyName;

/// How long an engine is down after a prompt part crashed it.
const RESTART_US: u64 = 3_300_000;
/// Crashes after which the baseline `block_after_crashes` refuses a part.
const BASELINE_CRASHES: usize = 3;

/// Crashes so far, and requests that were refused for their prompt parts.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    /// When an engine crashed under a fatal part.
    pub(crate) at_us: Vec<u64>,
    /// Refused requests without a fatal part.
    pub(crate) blocked_sound: u64,
    /// When the first fatal request was refused.
    pub(crate) first_blocked_at_us: Option<u64>,
    /// The engine starts that crashed with each part, as the baseline counts them.
    starts_by_part: HashMap<u32, HashSet<(usize, u32)>>,
}

impl Emulation<'_> {
    pub(super) fn crash_by_part(&mut self, engine: usize, incarnation: u32) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        self.crashes.at_us.push(self.now_us - START_US);
        self.lose_requests(engine);
        self.schedule(RESTART_US, Event::Restart { engine });
    }

    /// Takes an engine down; the routers learn that its connections broke.
    pub(super) fn lose_requests(&mut self, engine: usize) {
        let start = (engine, self.engines[engine].incarnation);
        self.engines[engine].is_down = true;
        self.is_stepping[engine] = false;
        for attempt in self.engines[engine].crash() {
            let request = &self.requests[self.attempts[attempt].request];
            let has_event = self.callers[self.attempts[attempt].request]
                .last_event_us
                .is_some();
            if self.policy == PolicyName::BlockAfterCrashes && !has_event {
                for part in shared_part_ids(&request.parts) {
                    let starts = self.crashes.starts_by_part.entry(part).or_default();
                    starts.insert(start);
                }
            }
            let outcome = RunOutcome::Broken;
            self.schedule(self.link_us(), Event::Fail { attempt, outcome });
        }
    }

    /// Brings an engine back as a new start, which all routers learn of at once.
    pub(super) fn restart(&mut self, engine: usize) {
        let is_down = std::mem::take(&mut self.engines[engine].is_down);
        if !is_down {
            return;
        }
        let before = self.endpoints[engine];
        let entry = endpoint_entry(self.experiment, engine, self.engines[engine].incarnation);
        self.endpoints[engine] = entry.id();
        self.engine_by_endpoint.insert(entry.id(), engine);
        let table = route_table(self.experiment);
        for router in &mut self.routers {
            if let Router::Direct(dispatcher) = router {
                dispatcher.on_endpoint(EndpointChange::Closed(before), &table);
                dispatcher.on_endpoint(EndpointChange::Usable(entry.clone()), &table);
            }
        }
    }

    /// Ends an attempt and reports its engine's crash, if it crashed. Returns whether the request may
    /// have caused it.
    pub(super) fn report_crash(&mut self, attempt: usize, outcome: RunOutcome) -> bool {
        let (router, run) = (self.attempts[attempt].router, self.attempts[attempt].run);
        let request = self.attempts[attempt].request;
        let open_run = match (&self.routers[router], run) {
            (Router::Direct(dispatcher), Some(run)) => dispatcher.open_run(run),
            _ => None,
        };
        self.end(attempt, outcome);
        if self.policy != PolicyName::Direct || outcome != RunOutcome::Broken {
            return false;
        }
        let (spec, now) = (self.spec(request, smallvec::SmallVec::new()), self.now());
        let (Router::Direct(dispatcher), Some(open_run)) = (&mut self.routers[router], open_run)
        else {
            return false;
        };
        dispatcher.on_crash(&open_run, now);
        !dispatcher.may_repeat_after_crash(&spec, now)
    }

    /// Returns whether the baseline `block_after_crashes` refuses a request.
    pub(super) fn is_blocked_by_count(&self, request: usize) -> bool {
        let parts = shared_part_ids(&self.requests[request].parts);
        let starts = parts
            .iter()
            .filter_map(|part| self.crashes.starts_by_part.get(part));
        let mut crashes = starts.map(HashSet::len);
        crashes.any(|crashes| crashes >= BASELINE_CRASHES)
    }

    /// Refuses a request for its prompt parts; its caller does not retry.
    pub(super) fn refuse_blocked(&mut self, request: usize) {
        self.callers[request].is_finished = true;
        if self.requests[request].is_fatal {
            let at_us = self.now_us - START_US;
            self.crashes.first_blocked_at_us.get_or_insert(at_us);
        } else {
            self.crashes.blocked_sound += 1;
        }
    }
}
