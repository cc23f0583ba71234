//! Decides whether the response of an endpoint is complete, and reports the decision.

use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::{AskedOn, BodyContent, CutReason, EndVerdict, SenderEvidence};
use serde_json::json;
use tokio::time::Instant;

use super::event_log::Importance;
use super::forward::Call;
use super::inquiry::AskError;
use super::send::StartedResponse;
use super::witness::Witness;
use crate::delimiter::body_delimiter;

/// How long the end of a response waits for its sender to answer, at most until the request's
/// deadline. A health check may wait for a slot of a plain service.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Additional time for an answer that arrived while the router's process was paused, during which
/// the timeout passed as well.
const PAUSE_GRACE: Duration = Duration::from_millis(100);

/// What was found out about the sender of a response that has ended.
#[derive(Debug)]
struct Inquiry {
    finding: Finding,
    /// Time from the end of the response to the finding.
    age: Duration,
}

/// What the questions to a sender led to.
#[derive(Debug)]
enum Finding {
    /// An answer, or the sender's crash.
    Evidence(SenderEvidence),
    /// The last question failed.
    Failed(AskError),
    /// No answer came in time.
    TimedOut,
}

impl Finding {
    fn evidence(&self) -> SenderEvidence {
        match self {
            Self::Evidence(evidence) => *evidence,
            Self::Failed(_) | Self::TimedOut => SenderEvidence::NoAnswer,
        }
    }

    /// Returns why the sender did not confirm the end: a name for metrics, and the details.
    fn unconfirmed_cause(&self) -> Option<(&'static str, String)> {
        match self {
            Self::Evidence(SenderEvidence::NoAnswer) => {
                let problem = "nameless: what answers does not name itself";
                Some(("nameless", problem.to_owned()))
            }
            Self::Evidence(_) => None,
            Self::Failed(error) => Some((error.as_str(), error.to_string())),
            Self::TimedOut => Some(("timed_out", "timed out".to_owned())),
        }
    }
}

impl Call {
    /// Decides whether a response is complete whose body ended without an error, asks its sender
    /// if necessary, and reports the decision. The error says why the response is incomplete.
    pub(super) async fn judge_end(
        &self,
        started: &mut StartedResponse,
        content: BodyContent,
    ) -> Result<(), CutReason> {
        let delimiter = body_delimiter(&started.head);
        let verdict = EndVerdict::judge(delimiter, content, None);
        if verdict != EndVerdict::AskSender {
            self.report_end(started, verdict, None);
            return verdict.into_result();
        }
        let ended_at = Instant::now();
        let inquiry = Inquiry {
            finding: self.ask_sender_in_time(started).await,
            age: ended_at.elapsed(),
        };
        let verdict = EndVerdict::judge(delimiter, content, Some(inquiry.finding.evidence()));
        self.report_end(started, verdict, Some(&inquiry));
        verdict.into_result()
    }

    /// Counts and logs a response whose connection broke or whose framing was not completed.
    pub(super) fn report_broken(&self, started: &StartedResponse) {
        self.report_end(started, EndVerdict::Cut(CutReason::Broken), None);
    }

    async fn ask_sender_in_time(&self, started: &mut StartedResponse) -> Finding {
        let answer_due_at = self.give_up_at.min(Instant::now() + ANSWER_TIMEOUT);
        let mut asked = std::pin::pin!(self.ask_sender(started));
        let mut finding = tokio::time::timeout_at(answer_due_at, asked.as_mut()).await;
        if finding.is_err() {
            finding = tokio::time::timeout(PAUSE_GRACE, asked).await;
        }
        finding.unwrap_or(Finding::TimedOut)
    }

    async fn ask_sender(&self, started: &mut StartedResponse) -> Finding {
        let (router, grant) = (&self.router, &started.grant);
        if router.dispatcher.borrow().has_crashed(grant.endpoint) {
            return Finding::Evidence(SenderEvidence::OtherStart);
        }
        let service = self.service().map(Arc::as_ref);
        let witness = started.witness.take();
        if let Some(connection) = witness.and_then(Witness::into_connection) {
            let was_used_lately = connection.was_used_lately();
            let asked_on = AskedOn::EarlierConnection;
            match router.ask_on(connection, grant, service, asked_on).await {
                Ok(evidence) => return Finding::Evidence(evidence),
                // The sender's connections end together if it crashes.
                Err(error) if was_used_lately => return Finding::Failed(error),
                Err(_) => {}
            }
        }
        let asked = router.ask_on_new_connection(grant, service).await;
        asked.map_or_else(Finding::Failed, Finding::Evidence)
    }

    /// Counts the end of a successful response, and logs it if the response is not complete.
    fn report_end(
        &self,
        started: &StartedResponse,
        verdict: EndVerdict,
        inquiry: Option<&Inquiry>,
    ) {
        if !started.head.status.is_success() {
            return;
        }
        let delimiter = body_delimiter(&started.head);
        let labels = [delimiter.as_str(), verdict.as_str()];
        let ends = &self.router.metrics.response_ends;
        ends.with_label_values(&labels).inc();
        if verdict == EndVerdict::Whole {
            return;
        }
        let cause = inquiry.and_then(|inquiry| inquiry.finding.unconfirmed_cause());
        if let Some((name, _)) = &cause {
            let unconfirmed = &self.router.metrics.unconfirmed_ends;
            unconfirmed.with_label_values(&[name]).inc();
        }
        let fields = json!({
            "id": self.attempt_id.to_str().unwrap_or(""),
            "endpoint": &*started.grant.endpoint_name,
            "started_unix_ms": started.grant.started_unix_ms,
            "delimiter": delimiter.as_str(),
            "verdict": verdict.as_str(),
            "events": self.history.events,
            "evidence": inquiry.map(|inquiry| format!("{:?}", inquiry.finding.evidence())),
            "unconfirmed": cause.map(|(_, details)| details),
            "evidence_age_ms": inquiry.map(|inquiry| inquiry.age.as_millis() as u64),
        });
        let log = &self.router.log;
        log.write(Importance::Essential, "response_cut", fields);
    }
}
