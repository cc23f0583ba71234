//! Decides whether the response of an endpoint is complete, and reports the decision.

use std::sync::Arc;
use std::time::Duration;

use daisynotch_core::direct::{Grant, RouteKind};
use daisynotch_core::{
    AskedOn, BodyContent, CutReason, EarlierConnection, EndVerdict, Inquiry, InquiryEnd,
    InquiryStep, QuestionEnd, SenderEvidence, Timestamp,
};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use serde_json::json;
use tokio::time::Instant;

use super::connections::Connection;
use super::event_log::Importance;
use super::forward::Call;
use super::inquiry::AskError;
use super::send::StartedResponse;
use super::witness::Witness;
use crate::delimiter::body_delimiter;

/// How long a sender is asked if another endpoint may run the request again: for the longest
/// silence of sound endpoints.
const SAFE_WAIT_MAX: Duration = Duration::from_millis(2_000);
/// The same for streams that may be resumed, whose callers leave two seconds after an event.
const RESUMABLE_WAIT_MAX: Duration = Duration::from_millis(1_400);

/// What was found out about the sender of a response that has ended.
#[derive(Debug)]
struct SenderReport {
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
    /// No answer that counts came in time.
    TimedOut {
        questions: u32,
        /// How the last question that ended did, if any.
        last_end: Option<String>,
    },
}

impl Finding {
    fn evidence(&self) -> SenderEvidence {
        match self {
            Self::Evidence(evidence) => *evidence,
            Self::Failed(_) | Self::TimedOut { .. } => SenderEvidence::NoAnswer,
        }
    }

    /// Returns why the sender did not confirm the end: a name for metrics, and the details.
    fn unconfirmed_cause(&self) -> Option<(&'static str, String)> {
        match self {
            Self::Evidence(_) => None,
            Self::Failed(error) => Some((error.as_str(), error.to_string())),
            Self::TimedOut {
                questions,
                last_end,
            } => {
                let last_end = last_end.as_ref().map(|end| format!(", the last: {end}"));
                let last_end = last_end.unwrap_or_default();
                let details = format!("timed out after {questions} questions{last_end}");
                Some(("timed_out", details))
            }
        }
    }
}

fn question_end(answer: &Result<SenderEvidence, AskError>) -> QuestionEnd {
    match answer {
        Ok(evidence) => QuestionEnd::Answered(*evidence),
        Err(AskError::Refused(_) | AskError::NotAsked(_)) => QuestionEnd::Refused,
        Err(AskError::NotReached(_)) => QuestionEnd::NotReached,
        Err(AskError::NoAnswer(_)) => QuestionEnd::Broken,
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
        let inquiry = SenderReport {
            finding: Box::pin(self.ask_sender(started)).await,
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

    /// Returns how long the sender of a response may be asked about its end.
    fn asked_until(&self) -> Timestamp {
        let wait_max = match self.route.kind {
            RouteKind::Safe => SAFE_WAIT_MAX,
            RouteKind::ResumableStream => RESUMABLE_WAIT_MAX,
            RouteKind::Once | RouteKind::Stream => return self.spec.give_up_at,
        };
        if self.has_another_endpoint() {
            self.spec.give_up_at.min(self.router.now() + wait_max)
        } else {
            self.spec.give_up_at
        }
    }

    async fn ask_sender(&self, started: &mut StartedResponse) -> Finding {
        let (router, grant) = (&self.router, &started.grant);
        if router.dispatcher.borrow().has_crashed(grant.endpoint) {
            return Finding::Evidence(SenderEvidence::OtherStart);
        }
        let mut witness = started.witness.take().and_then(Witness::into_connection);
        let earlier = match &witness {
            None => EarlierConnection::Missing,
            Some(connection) if connection.was_used_lately() => EarlierConnection::UsedLately,
            Some(_) => EarlierConnection::Idle,
        };
        let says_start = self.says_start(grant);
        let mut inquiry = Inquiry::new(router.now(), self.asked_until(), says_start, earlier);
        let mut open_questions = FuturesUnordered::new();
        let mut questions = 0;
        let mut last_error = None;
        let mut last_end = None;
        loop {
            match inquiry.step(router.now()) {
                InquiryStep::Ask(asked_on) => {
                    questions += 1;
                    open_questions.push(self.ask(grant, asked_on, witness.take()));
                }
                InquiryStep::Wait { until } => {
                    let wait = until.since(router.now());
                    let ended = tokio::select! {
                        biased;
                        Some(ended) = open_questions.next() => ended,
                        () = tokio::time::sleep(wait) => continue,
                    };
                    let (asked_on, answer) = ended;
                    let end = question_end(&answer);
                    match answer {
                        Ok(evidence) => last_end = Some(format!("{evidence:?}")),
                        Err(error) => {
                            last_end = Some(error.to_string());
                            last_error = Some(error);
                        }
                    }
                    inquiry.on_end(asked_on, end, router.now());
                }
                InquiryStep::Decided(InquiryEnd::Evidence(evidence)) => {
                    return Finding::Evidence(evidence);
                }
                InquiryStep::Decided(InquiryEnd::Failed) if let Some(error) = last_error => {
                    return Finding::Failed(error);
                }
                InquiryStep::Decided(InquiryEnd::Failed | InquiryEnd::TimedOut) => {
                    return Finding::TimedOut {
                        questions,
                        last_end,
                    };
                }
            }
        }
    }

    /// Asks the sender of a response once, on `earlier` or on a new connection.
    async fn ask(
        &self,
        grant: &Grant,
        asked_on: AskedOn,
        earlier: Option<Connection>,
    ) -> (AskedOn, Result<SenderEvidence, AskError>) {
        let router = &self.router;
        let service = self.service().map(Arc::as_ref);
        let answer = match (asked_on, earlier) {
            (AskedOn::EarlierConnection, Some(connection)) => {
                router.ask_on(connection, grant, service, asked_on).await
            }
            _ => router.ask_on_new_connection(grant, service).await,
        };
        (asked_on, answer)
    }

    /// Counts the end of a successful response, and logs it if the response is not complete.
    fn report_end(
        &self,
        started: &StartedResponse,
        verdict: EndVerdict,
        inquiry: Option<&SenderReport>,
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
