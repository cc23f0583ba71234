//! Finds out whether an endpoint crashed when a connection to it breaks, and reports it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::direct::{AnswerStage, EvidenceChange, Grant, OpenRun, ServiceView};
use daisynotch_core::{EndpointId, SenderEvidence, Timestamp};
use futures::FutureExt;
use futures::future::{LocalBoxFuture, Shared};
use serde_json::json;
use tokio::time::Instant;

use super::event_log::Importance;
use super::forward::Call;
use super::inquiry::AskError;
use super::state::Router;

/// How long requests whose connections broke wait to hear whether their endpoint crashed.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);

/// A check of whether an endpoint crashed, shared by all requests whose connections broke.
pub(super) type CrashCheck = Shared<LocalBoxFuture<'static, CheckOutcome>>;

/// What a check found.
#[daisynotch_macros::value]
#[derive(Copy)]
pub(super) enum CheckOutcome {
    /// Nothing listens at the endpoint's address, or another start or another endpoint does.
    Crashed,
    /// The endpoint answers.
    Alive,
    /// Nothing tells whether the endpoint crashed.
    Unknown,
}

impl Call {
    /// Returns whether the request may be sent to another endpoint after its connection broke.
    ///
    /// A request that may have crashed one endpoint must not crash another one. `open_run` is
    /// unset if the prompt has no parts that could.
    pub(super) async fn may_go_elsewhere(&self, grant: &Grant, open_run: Option<OpenRun>) -> bool {
        let Some(run) = open_run else {
            return true;
        };
        // A sender that was asked until now is silent, and a check would find no more.
        if Instant::now() >= self.give_up_at {
            return false;
        }
        let router = &self.router;
        let service = self.service().cloned();
        if router.check_crash(grant, service).await != CheckOutcome::Crashed {
            return true;
        }
        let now = router.now();
        router.dispatcher.borrow_mut().on_crash(&run, now);
        if run.parts.is_empty() {
            router.log_evidence_changes("own");
            return true;
        }
        let parts: Vec<String> = run.parts.iter().map(|part| format!("{part:x}")).collect();
        let stage = match run.stage {
            AnswerStage::Waiting => "waiting",
            AnswerStage::Head => "head",
            AnswerStage::Begun => "begun",
        };
        let fields = json!({
            "endpoint": &*grant.endpoint_name, "id": self.attempt_id.to_str().unwrap_or(""),
            "parts": parts, "stage": stage, "is_trial": run.is_trial,
        });
        router
            .log
            .write(Importance::Essential, "open_at_crash", fields);
        router.log_evidence_changes("own");
        let dispatcher = router.dispatcher.borrow();
        dispatcher.may_repeat_after_crash(&self.spec, now)
    }

    /// Asks an endpoint whether it has outlived the beginning of the answer to a trial, since the
    /// endpoint is kept free of the requests whose answers would show it.
    ///
    /// `outlived_at` is unset if the request was no trial.
    pub(super) fn confirm_trial(&self, grant: &Grant, outlived_at: Option<Timestamp>) {
        if let Some(outlived_at) = outlived_at {
            let delay = outlived_at.since(self.router.now());
            self.check_begun_answers(grant, delay);
        }
    }

    /// Finds out whether an endpoint that refused a connection crashed after it had begun an answer.
    pub(super) fn check_refusing_endpoint(&self, grant: &Grant) {
        self.check_begun_answers(grant, Duration::ZERO);
    }

    /// Checks an endpoint after a delay, unless the answers that it has begun are settled then.
    fn check_begun_answers(&self, grant: &Grant, delay: Duration) {
        let router = Rc::clone(&self.router);
        let endpoint = grant.endpoint;
        if !router.dispatcher.borrow().has_begun_answer(endpoint) {
            return;
        }
        let (grant, service) = (grant.clone(), self.service().cloned());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(delay).await;
            if !router.dispatcher.borrow().has_begun_answer(endpoint) {
                return;
            }
            let asked_at = router.now();
            let outcome = router.check_crash(&grant, service).await;
            let mut dispatcher = router.dispatcher.borrow_mut();
            match outcome {
                CheckOutcome::Crashed => dispatcher.on_unattended_crash(endpoint, router.now()),
                CheckOutcome::Alive => dispatcher.on_endpoint_alive(endpoint, asked_at),
                CheckOutcome::Unknown => return,
            }
            drop(dispatcher);
            router.log_evidence_changes("own");
        });
    }
}

impl Router {
    /// Returns whether the endpoint's process is gone: nothing listens at its address, or another
    /// start or another endpoint does.
    ///
    /// A connection that breaks alone says little, since it may have been reset on the way. All
    /// requests whose connections broke wait for the same check.
    async fn check_crash(
        self: &Rc<Self>,
        grant: &Grant,
        service: Option<Arc<ServiceView>>,
    ) -> CheckOutcome {
        let endpoint = grant.endpoint;
        if self.dispatcher.borrow().has_crashed(endpoint) {
            return CheckOutcome::Crashed;
        }
        let known = self.crash_checks.borrow().get(&endpoint).cloned();
        let check = known.unwrap_or_else(|| {
            let check = check_endpoint(Rc::clone(self), grant.clone(), service);
            let check = check.boxed_local().shared();
            self.crash_checks
                .borrow_mut()
                .insert(endpoint, check.clone());
            // The check ends even if all callers whose requests wait for it leave.
            tokio::task::spawn_local(check.clone().map(drop));
            check
        });
        check.await
    }
}

async fn check_endpoint(
    router: Rc<Router>,
    grant: Grant,
    service: Option<Arc<ServiceView>>,
) -> CheckOutcome {
    let asked = router.ask_on_new_connection(&grant, service.as_deref());
    let asked = tokio::time::timeout(ANSWER_TIMEOUT, asked).await;
    router.crash_checks.borrow_mut().remove(&grant.endpoint);
    let problem = match asked {
        Ok(Ok(SenderEvidence::OtherStart) | Err(AskError::Refused(_))) => {
            return CheckOutcome::Crashed;
        }
        Ok(Ok(SenderEvidence::SameStart | SenderEvidence::SameName)) => {
            return CheckOutcome::Alive;
        }
        Ok(Ok(SenderEvidence::NoAnswer)) => "what answers does not name itself".to_owned(),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "timed out".to_owned(),
    };
    let name = &grant.endpoint_name;
    log::debug!("can't tell whether endpoint {name} crashed: {problem}");
    CheckOutcome::Unknown
}

impl Router {
    /// Logs and counts what the evidence on crashes led to since the last call.
    pub(super) fn log_evidence_changes(&self, source: &str) {
        let changes = self.dispatcher.borrow_mut().take_evidence_changes();
        if changes.is_empty() {
            return;
        }
        let hex = |part: &u32| format!("{part:x}");
        for change in changes {
            let (event, fields) = match change {
                EvidenceChange::Crashed { endpoint, suspects } => {
                    self.metrics.endpoint_crashes.inc();
                    let suspects: serde_json::Map<String, serde_json::Value> = suspects
                        .iter()
                        .map(|(part, crashes)| (hex(part), (*crashes).into()))
                        .collect();
                    let endpoint = self.endpoint_label(endpoint);
                    let fields =
                        json!({"endpoint": endpoint, "suspects": suspects, "source": source});
                    ("endpoint_crashed", fields)
                }
                EvidenceChange::Blocked {
                    parts,
                    endpoints,
                    pause,
                } => {
                    let parts: Vec<String> = parts.iter().map(hex).collect();
                    let endpoints = endpoints.into_iter();
                    let endpoints: Vec<String> =
                        endpoints.map(|id| self.endpoint_label(id)).collect();
                    let fields = json!({
                        "parts": parts, "crashed": endpoints, "source": source,
                        "pause_ms": pause.as_millis() as u64,
                    });
                    ("parts_blocked", fields)
                }
                EvidenceChange::Unblocked { parts } => {
                    let parts: Vec<String> = parts.iter().map(hex).collect();
                    ("parts_unblocked", json!({"parts": parts, "source": source}))
                }
            };
            self.log.write(Importance::Essential, event, fields);
        }
        let blocked = self.dispatcher.borrow().blocked_len();
        self.metrics.blocked_parts.set(blocked as i64);
        self.pump();
    }

    /// Returns an endpoint's name, or its identifier if it is no longer known.
    pub(super) fn endpoint_label(&self, endpoint: EndpointId) -> String {
        let names = self.endpoint_names.borrow();
        let name = names.get(&endpoint).map(|name| name.to_string());
        name.unwrap_or_else(|| format!("{:08x}", endpoint.0))
    }
}
