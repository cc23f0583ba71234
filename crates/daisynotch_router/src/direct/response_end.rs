//! Decides whether the response of an endpoint is complete, and reports the decision.

use std::time::Duration;

use daisynotch_core::direct::Grant;
use daisynotch_core::{
    AskedOn, BodyContent, CutReason, EndVerdict, EndpointStatus, SenderEvidence,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::header::{HOST, HeaderValue};
use serde_json::json;
use tokio::time::Instant;

use super::connections::{Connection, SendError};
use super::event_log::Importance;
use super::forward::Call;
use super::send::StartedResponse;
use crate::delimiter::body_delimiter;

/// How long the end of a response waits for its sender to answer. A health check may wait for a
/// slot of a plain service.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum size of an endpoint's description of itself, which lists its requests.
const STATUS_MAX_BYTES: usize = 256 * 1024;
/// Idle time during which a sound endpoint does not close a connection.
const IDLE_MIN: Duration = Duration::from_millis(900);

/// What was found out about the sender of a response that has ended.
#[derive(Debug, Clone, Copy)]
struct Inquiry {
    evidence: SenderEvidence,
    /// Time from the end of the response to the evidence.
    age: Duration,
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
        let asked = tokio::time::timeout(ANSWER_TIMEOUT, self.ask_sender(started));
        let inquiry = Inquiry {
            evidence: asked.await.unwrap_or(SenderEvidence::NoAnswer),
            age: ended_at.elapsed(),
        };
        let verdict = EndVerdict::judge(delimiter, content, Some(inquiry.evidence));
        self.report_end(started, verdict, Some(inquiry));
        verdict.into_result()
    }

    /// Counts and logs a response whose connection broke or whose framing was not completed.
    pub(super) fn report_broken(&self, started: &StartedResponse) {
        self.report_end(started, EndVerdict::Cut(CutReason::Broken), None);
    }

    async fn ask_sender(&self, started: &mut StartedResponse) -> SenderEvidence {
        let grant = &started.grant;
        if self.router.dispatcher.borrow().has_crashed(grant.endpoint) {
            return SenderEvidence::OtherStart;
        }
        let witness = started.witness.take();
        if let Some(connection) = witness.and_then(|witness| witness.into_connection()) {
            let age = connection.opened_at().elapsed();
            if let Some(evidence) = self
                .ask_on(connection, grant, AskedOn::EarlierConnection)
                .await
            {
                return evidence;
            }
            // The sender's connections end together if it crashes.
            if age < IDLE_MIN {
                return SenderEvidence::NoAnswer;
            }
        }
        self.router.metrics.connections_opened.inc();
        match Connection::open(grant.address).await {
            Ok(connection) => {
                let answer = self.ask_on(connection, grant, AskedOn::NewConnection).await;
                answer.unwrap_or(SenderEvidence::NoAnswer)
            }
            Err(error) => {
                let name = &grant.endpoint_name;
                log::debug!("can't ask endpoint {name} whether it crashed: {error:?}");
                SenderEvidence::NoAnswer
            }
        }
    }

    /// Asks an endpoint on a connection what it is; `None` if no answer arrives.
    async fn ask_on(
        &self,
        mut connection: Connection,
        grant: &Grant,
        asked_on: AskedOn,
    ) -> Option<SenderEvidence> {
        let status = match self.request_status(&mut connection, grant).await {
            Ok(status) => status,
            Err(reason) => {
                let name = &grant.endpoint_name;
                log::debug!("endpoint {name} does not say whether it crashed: {reason}");
                return None;
            }
        };
        let router = &self.router;
        let (name, started_unix_ms) = (&grant.endpoint_name, grant.started_unix_ms);
        let evidence = SenderEvidence::from_status(name, started_unix_ms, &status, asked_on);
        let is_sender = matches!(
            evidence,
            SenderEvidence::SameStart | SenderEvidence::SameName
        );
        let is_in_use = router
            .dispatcher
            .borrow()
            .has_endpoint_start(grant.endpoint);
        if is_sender && is_in_use && connection.is_usable() {
            router
                .connections
                .put(grant.endpoint, connection, router.now());
        }
        Some(evidence)
    }

    async fn request_status(
        &self,
        connection: &mut Connection,
        grant: &Grant,
    ) -> Result<EndpointStatus, String> {
        let routes = self.router.routes();
        let service = routes
            .as_ref()
            .and_then(|routes| routes.service(&self.spec.service));
        let service = service.ok_or("its service is not in the configuration")?;
        let path = &service.status_path;
        let target = path.parse();
        let host = HeaderValue::from_str(&grant.address.to_string());
        let mut request = Request::new(Full::default());
        *request.uri_mut() = target.map_err(|error| format!("status path `{path}`: {error}"))?;
        let host = host.expect("a socket address is a valid header value");
        request.headers_mut().insert(HOST, host);
        let response = connection
            .send(request)
            .await
            .map_err(|error| match error {
                SendError::Refused(reason)
                | SendError::NotSent(reason)
                | SendError::NoAnswer(reason) => reason,
            })?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, STATUS_MAX_BYTES).collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        let platform = &self.router.platform;
        Ok(platform.decode_endpoint_status(&head.headers, &body))
    }

    /// Counts the end of a successful response, and logs it if the response is not complete.
    fn report_end(&self, started: &StartedResponse, verdict: EndVerdict, inquiry: Option<Inquiry>) {
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
        let fields = json!({
            "id": self.attempt_id.to_str().unwrap_or(""),
            "endpoint": &*started.grant.endpoint_name,
            "started_unix_ms": started.grant.started_unix_ms,
            "delimiter": delimiter.as_str(),
            "verdict": verdict.as_str(),
            "events": self.history.events,
            "evidence": inquiry.map(|inquiry| format!("{:?}", inquiry.evidence)),
            "evidence_age_ms": inquiry.map(|inquiry| inquiry.age.as_millis() as u64),
        });
        let log = &self.router.log;
        log.write(Importance::Essential, "response_cut", fields);
    }
}
