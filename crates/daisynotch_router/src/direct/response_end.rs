//! Reports how the responses of endpoints end, and why an end was not taken for complete.

use serde_json::json;

use super::event_log::Importance;
use super::forward::Call;
use super::response::ends_with_connection;
use super::send::StartedResponse;

/// What the end of a successful response was taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum EndVerdict {
    /// The response is complete.
    Whole,
    /// The response is incomplete.
    Cut(CutReason),
}

/// Why a response was not taken for complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum CutReason {
    /// The connection broke, or the framing was not completed.
    #[error("the connection broke")]
    Broken,
    /// The stream ended within an event.
    #[error("it ended within an event")]
    WithinEvent,
    /// The connection was closed before the first event.
    #[error("the connection was closed before the first event")]
    BeforeFirstEvent,
    /// The endpoint crashed.
    #[error("the endpoint crashed at its end")]
    Crashed,
}

impl EndVerdict {
    /// Returns the label of the verdict in logs and metrics.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Cut(CutReason::Broken) => "broken",
            Self::Cut(CutReason::WithinEvent) => "within_event",
            Self::Cut(CutReason::BeforeFirstEvent) => "before_first_event",
            Self::Cut(CutReason::Crashed) => "crashed",
        }
    }
}

impl Call {
    /// Counts the end of a successful response, and logs it if the response is not complete.
    pub(super) fn report_end(&self, started: &StartedResponse, verdict: EndVerdict) {
        if !started.head.status.is_success() {
            return;
        }
        let delimiter = if ends_with_connection(&started.head) {
            "connection"
        } else {
            "framing"
        };
        let labels = [delimiter, verdict.as_str()];
        let ends = &self.router.metrics.response_ends;
        ends.with_label_values(&labels).inc();
        if verdict == EndVerdict::Whole {
            return;
        }
        let fields = json!({
            "id": self.attempt_id.to_str().unwrap_or(""),
            "endpoint": &*started.grant.endpoint_name,
            "delimiter": delimiter,
            "verdict": verdict.as_str(),
            "events": self.history.events,
        });
        let log = &self.router.log;
        log.write(Importance::Essential, "response_cut", fields);
    }
}
