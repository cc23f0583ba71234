//! Moves a request to another endpoint when the one that has it goes silent.
//!
//! A sound endpoint may be silent for a second or so and go on, so the request leaves it only
//! once another endpoint has taken it. See `docs/design/silent-connections.md`.

use std::rc::Rc;
use std::time::Duration;

use daisynotch_core::direct::{Grant, RouteKind, RunOutcome};
use tokio::time::Instant;

use super::forward::Call;
use super::send::{Attempt, ExchangeResult, Place, SendFailure, StartedResponse};
use super::state::RunGuard;

/// Interval at which a waiting request checks whether its endpoint went silent.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time within which a request that may be repeated and is not a stream should be answered, as a
/// multiple of the route's latency objective.
const ATTEMPT_TIMEOUT_OBJECTIVES: f64 = 2.5;
/// Silence of an endpoint after which a resumable stream continues on another one, if the
/// endpoint can't be reached or owes responses to other requests: below the two seconds after
/// which callers leave, with time for another endpoint to start.
const STREAM_SILENCE_MAX: Duration = Duration::from_millis(1_400);
/// Interval between attempts to connect to an endpoint that has been silent for that long.
const CONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// How long another endpoint may take to refuse a request before the silent one is left: both
/// endpoints work on the request for that long.
const REFUSAL_TIME: Duration = Duration::from_millis(250);
/// Number of endpoints that may refuse a request before it stays where it is.
const REFUSALS_MAX: u32 = 3;

/// What a request waits for at an endpoint that may be silent.
#[derive(Debug, Clone, Copy)]
pub(super) enum WaitsFor {
    /// The response to a request sent at this time.
    Response { sent_at: Instant },
    /// The next bytes of a stream, of which the last arrived at this time.
    Bytes { last_at: Instant },
}

/// How sending a request to another endpoint beside a silent one turned out.
pub(super) enum MoveOutcome<T> {
    /// The silent endpoint went on.
    WentOn(T),
    /// The other endpoint has taken the request.
    Taken(Box<Attempt>),
    /// The other endpoint did not take the request.
    NotTaken,
}

/// What came first while two endpoints had the request.
enum Race<T> {
    WentOn(T),
    Ended(Box<ExchangeResult>),
    Pending,
}

impl Call {
    /// Completes with a place at another endpoint when the run's endpoint is silent and the
    /// request may run again; never completes if it may not.
    pub(super) async fn until_place_elsewhere(
        &self,
        grant: &Grant,
        guard: &RunGuard,
        waits_for: WaitsFor,
    ) -> Place {
        if !self.route.kind.may_repeat() {
            return std::future::pending().await;
        }
        let first_check_at = match (self.route.kind, waits_for) {
            (RouteKind::Safe, WaitsFor::Response { sent_at }) => {
                let timeout = self.route.objective.mul_f64(ATTEMPT_TIMEOUT_OBJECTIVES);
                sent_at + timeout.max(grant.expected * 3)
            }
            (_, WaitsFor::Response { .. }) => Instant::now() + SILENCE_CHECK_INTERVAL,
            (_, WaitsFor::Bytes { last_at }) => last_at + STREAM_SILENCE_MAX,
        };
        tokio::time::sleep_until(first_check_at).await;
        let mut connect_checked_at: Option<Instant> = None;
        let mut is_unreachable = false;
        loop {
            let is_silent = match (self.route.kind, waits_for) {
                _ if !self.may_move() => false,
                (RouteKind::Safe, _) => true,
                (_, WaitsFor::Response { .. }) => guard.is_lost(),
                // A pause alone is no reason to switch endpoints: slow streams are healthy.
                (_, WaitsFor::Bytes { last_at }) => {
                    let is_silent = last_at.elapsed() >= STREAM_SILENCE_MAX
                        && guard.is_endpoint_quiet(STREAM_SILENCE_MAX);
                    let is_due =
                        connect_checked_at.is_none_or(|at| at.elapsed() > CONNECT_CHECK_INTERVAL);
                    if is_silent && is_due && !guard.is_lost() {
                        is_unreachable = !self.can_connect(grant).await;
                        connect_checked_at = Some(Instant::now());
                    }
                    is_silent && (is_unreachable || guard.is_lost())
                }
            };
            if is_silent && let Some(place) = self.try_move() {
                return place;
            }
            tokio::time::sleep(SILENCE_CHECK_INTERVAL).await;
        }
    }

    /// Returns whether the request may run on one more endpoint while it is at one.
    fn may_move(&self) -> bool {
        let runs = self.history.runs + u32::from(self.history.is_at_endpoint);
        runs < self.route.attempts_max
            && self.history.unrun_sends < REFUSALS_MAX
            && self.has_another_endpoint()
    }

    fn try_move(&self) -> Option<Place> {
        let now = self.router.now();
        let grant = self
            .router
            .dispatcher
            .borrow_mut()
            .try_move(&self.spec, now)?;
        Some(Place {
            guard: self.router.guard_run(grant.run),
            grant,
        })
    }

    /// Sends the request to another endpoint, and waits until that has taken or refused it or the
    /// silent endpoint goes on, which completes `silent`.
    pub(super) async fn move_to<T>(
        &mut self,
        place: Place,
        resume_after: Option<&str>,
        silent: impl Future<Output = T>,
    ) -> MoveOutcome<T> {
        let was_at_endpoint = self.history.is_at_endpoint;
        let mut next = self.start_attempt(place, resume_after);
        let connected = Rc::clone(&next.arrival.connected);
        let refusal_time_over = async {
            connected.notified().await;
            tokio::time::sleep(REFUSAL_TIME).await;
        };
        let race = tokio::select! {
            biased;
            output = silent => Race::WentOn(output),
            sent = self.until_response(&next.grant, &mut next.arrival) => {
                Race::Ended(Box::new(sent))
            }
            () = refusal_time_over => Race::Pending,
        };
        let outcome = match race {
            Race::Pending => return MoveOutcome::Taken(Box::new(next)),
            Race::WentOn(output) => {
                let name = &next.grant.endpoint_name;
                let reason = format!("{name}: left, the endpoint before it went on");
                self.history.failures.push(reason);
                self.history.runs += 1;
                MoveOutcome::WentOn(output)
            }
            Race::Ended(sent) => match *sent {
                Ok(response) if !response.0.status().is_server_error() => {
                    next.arrival.checked = Some(response);
                    return MoveOutcome::Taken(Box::new(next));
                }
                sent => {
                    self.on_not_taken(next, sent).await;
                    MoveOutcome::NotTaken
                }
            },
        };
        self.history.is_at_endpoint = was_at_endpoint;
        outcome
    }

    /// Records why an endpoint did not take the request.
    async fn on_not_taken(&mut self, attempt: Attempt, sent: ExchangeResult) {
        let grant = attempt.grant.clone();
        let name = &grant.endpoint_name;
        let reason = match self.settle_attempt(attempt, sent) {
            Ok(StartedResponse { head, guard, .. }) => {
                guard.end(RunOutcome::ErrorAnswer);
                self.history.runs += 1;
                format!("{name}: status {}", head.status)
            }
            Err(SendFailure::NotRun(_, reason)) => {
                self.history.unrun_sends += 1;
                format!("{name}: not run: {reason}")
            }
            Err(SendFailure::Unknown(_, reason)) => {
                self.history.runs += 1;
                let open_run = self.open_run.take();
                // Reports a crash; whether the request may go elsewhere is asked again.
                self.may_go_elsewhere(&grant, open_run).await;
                format!("{name}: {reason}")
            }
            Err(SendFailure::TimedOut) => {
                self.history.runs += 1;
                format!("{name}: no answer in time")
            }
        };
        self.history.failures.push(reason);
    }

    /// Waits for the response of an attempt, and moves to another endpoint if its own goes
    /// silent. Returns the attempt that got the response.
    pub(super) async fn finish_attempt(
        &mut self,
        mut attempt: Attempt,
        resume_after: Option<&str>,
    ) -> (Grant, Result<StartedResponse, SendFailure>) {
        loop {
            let waits_for = WaitsFor::Response {
                sent_at: attempt.sent_at,
            };
            let (grant, guard) = (attempt.grant.clone(), &attempt.guard);
            let place = tokio::select! {
                biased;
                sent = self.until_response(&grant, &mut attempt.arrival) => {
                    self.history.is_at_endpoint = false;
                    return (grant, self.settle_attempt(attempt, sent));
                }
                place = self.until_place_elsewhere(&grant, guard, waits_for) => place,
            };
            let silent = attempt.arrival.until_answered();
            match Box::pin(self.move_to(place, resume_after, silent)).await {
                MoveOutcome::WentOn(()) | MoveOutcome::NotTaken => self.history.on_send(&grant),
                MoveOutcome::Taken(next) => {
                    let reason = format!("{}: the endpoint went silent", grant.endpoint_name);
                    self.history.failures.push(reason);
                    self.history.runs += 1;
                    let has_failed = attempt.arrival.has_failed;
                    let open_run = attempt.guard.open_run().filter(|_| has_failed);
                    attempt.guard.end(RunOutcome::Broken);
                    // Reports a crash; the other endpoint has the request already.
                    self.may_go_elsewhere(&grant, open_run).await;
                    attempt = *next;
                }
            }
        }
    }
}
