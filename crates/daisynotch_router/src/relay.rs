//! Streams an endpoint's response to the caller as it arrives.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::{BodyContent, Cost, CutReason, Delimiter, EndVerdict, ReleaseReason};
use hyper::body::{Body, Frame, Incoming};
use tokio::time::{Instant, Sleep};

use crate::dispatch::{OpenRequest, Usage};
use crate::event_stream::EventStreamWatcher;
use crate::metrics::Metrics;

/// The interval at which the usage of a running request is reported to its scheduler.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Why a response is incomplete.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum RelayError {
    /// The endpoint's connection failed.
    #[error("the endpoint's answer broke off: {0}")]
    Broken(String),
    /// The endpoint ended its stream without the end mark, the `[DONE]` event.
    #[error("the endpoint's answer ended without its end mark")]
    NoEndMark,
    /// The endpoint's answer is not known to be complete.
    #[error("the endpoint's answer was cut: {0}")]
    Cut(CutReason),
    /// The endpoint sent nothing for the idle timeout.
    #[error("the endpoint was silent for too long")]
    Idle,
}

/// How the end and the cost of a response are determined.
#[derive(Debug)]
pub(crate) enum ResponseKind {
    /// Server-sent events up to the `[DONE]` event; each event is one cost unit.
    EventStream(EventStreamWatcher),
    /// A body whose content is not interpreted; each millisecond is one cost unit.
    Opaque(Delimiter),
}

/// The metric labels of a request, and its arrival time for the latency histogram.
#[derive(Debug, Clone)]
pub(crate) struct RequestLabels {
    pub(crate) route: String,
    pub(crate) team: String,
    pub(crate) arrived_at: Instant,
}

/// The tokens since the last report; their mean gap measures the endpoint's current speed.
#[derive(Debug)]
pub(crate) struct TokenGapWindow {
    started_at: Instant,
    events_before: u64,
}

impl TokenGapWindow {
    /// Starts a window before the first token.
    pub(crate) fn start() -> Self {
        Self::since(Instant::now(), 0)
    }

    fn since(started_at: Instant, events_before: u64) -> Self {
        Self {
            started_at,
            events_before,
        }
    }

    /// Returns the mean gap between the tokens of the window, or `None` without tokens.
    fn gap_us(&self, now: Instant, events: u64) -> Option<u32> {
        let window_us = (now - self.started_at).as_micros() as u64;
        let gap_us = window_us.checked_div(events.saturating_sub(self.events_before));
        gap_us.and_then(|gap_us| u32::try_from(gap_us).ok())
    }
}

/// The body of a response in progress. Dropping it before its end cancels the work.
pub(crate) struct RelayBody {
    /// The bytes that were read before the response was handed over; sent to the caller first.
    pub(crate) first_bytes: Option<Bytes>,
    pub(crate) incoming: Incoming,
    pub(crate) open_request: OpenRequest,
    pub(crate) kind: ResponseKind,
    pub(crate) idle_timeout: Duration,
    pub(crate) idle_timer: Pin<Box<Sleep>>,
    pub(crate) dispatched_at: Instant,
    pub(crate) first_byte_at: Option<Instant>,
    pub(crate) gap_window: TokenGapWindow,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) labels: RequestLabels,
    /// The error that ends the body, after an event has reported it to the caller.
    pub(crate) failure: Option<RelayError>,
    pub(crate) is_done: bool,
}

impl RelayBody {
    fn on_data(&mut self, bytes: &Bytes) {
        let now = Instant::now();
        if let ResponseKind::EventStream(watcher) = &mut self.kind {
            watcher.observe(bytes);
        }
        self.idle_timer.as_mut().reset(now + self.idle_timeout);
        if self.first_byte_at.is_none() {
            self.on_first_byte(now);
        } else if now - self.gap_window.started_at >= REPORT_INTERVAL {
            self.report_usage(now);
        } else {
            let usage = self.usage(now);
            self.open_request.record_usage(usage);
        }
    }

    fn on_first_byte(&mut self, now: Instant) {
        self.first_byte_at = Some(now);
        let since_arrival_s = (now - self.labels.arrived_at).as_secs_f64();
        let labels = [self.labels.route.as_str(), self.labels.team.as_str()];
        self.metrics
            .first_token
            .with_label_values(&labels)
            .observe(since_arrival_s);
        self.report_usage(now);
    }

    /// Reports the usage to the core and starts a new window.
    fn report_usage(&mut self, now: Instant) {
        let usage = self.usage(now);
        self.gap_window = TokenGapWindow::since(now, self.events());
        self.open_request.report_usage(usage);
    }

    fn events(&self) -> u64 {
        match &self.kind {
            ResponseKind::EventStream(watcher) => watcher.events(),
            ResponseKind::Opaque(_) => 0,
        }
    }

    fn usage(&self, now: Instant) -> Usage {
        let Some(first_byte_at) = self.first_byte_at else {
            return Usage::default();
        };
        let first_token = first_byte_at - self.dispatched_at;
        match &self.kind {
            ResponseKind::EventStream(watcher) => Usage {
                cost: Cost(watcher.events()),
                first_token_ms: u32::try_from(first_token.as_millis()).ok(),
                token_gap_us: (now > first_byte_at)
                    .then(|| self.gap_window.gap_us(now, watcher.events()))
                    .flatten(),
            },
            // The time to the first byte of a plain service says nothing about its slots.
            ResponseKind::Opaque(_) => Usage {
                cost: Cost((now - self.dispatched_at).as_millis() as u64),
                first_token_ms: None,
                token_gap_us: None,
            },
        }
    }

    fn on_end(&mut self) -> Option<Result<Frame<Bytes>, RelayError>> {
        let judged = match &self.kind {
            ResponseKind::EventStream(watcher) if !watcher.has_ended() => {
                return self.fail(RelayError::NoEndMark);
            }
            ResponseKind::EventStream(_) => Ok(()),
            // These endpoints do not say which start of theirs answers.
            ResponseKind::Opaque(delimiter) => {
                EndVerdict::judge(*delimiter, BodyContent::Opaque, None).into_result()
            }
        };
        if let Err(reason) = judged {
            return self.fail(RelayError::Cut(reason));
        }
        self.finish(ReleaseReason::Done, "done");
        None
    }

    /// Ends the response as failed; a stream first reports the error in an event.
    fn fail(&mut self, error: RelayError) -> Option<Result<Frame<Bytes>, RelayError>> {
        self.finish(ReleaseReason::Failed, "failed");
        match self.kind {
            ResponseKind::Opaque(_) => Some(Err(error)),
            ResponseKind::EventStream(_) => {
                let body = serde_json::json!({
                    "error": { "message": error.to_string(), "type": "unknown" }
                });
                self.failure = Some(error);
                Some(Ok(Frame::data(Bytes::from(format!("data: {body}\n\n")))))
            }
        }
    }

    fn finish(&mut self, reason: ReleaseReason, outcome: &str) {
        self.is_done = true;
        self.open_request.finish(reason);
        let labels = [
            self.labels.route.as_str(),
            self.labels.team.as_str(),
            outcome,
        ];
        self.metrics.requests.with_label_values(&labels).inc();
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        if !self.is_done {
            let labels = [
                self.labels.route.as_str(),
                self.labels.team.as_str(),
                "cancelled",
            ];
            self.metrics.requests.with_label_values(&labels).inc();
        }
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = RelayError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, RelayError>>> {
        let this = &mut *self;
        if let Some(failure) = this.failure.take() {
            return Poll::Ready(Some(Err(failure)));
        }
        if this.is_done {
            return Poll::Ready(None);
        }
        if let Some(bytes) = this.first_bytes.take() {
            this.on_data(&bytes);
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        let Poll::Ready(frame) = Pin::new(&mut this.incoming).poll_frame(context) else {
            ready!(this.idle_timer.as_mut().poll(context));
            return Poll::Ready(this.fail(RelayError::Idle));
        };
        match frame {
            Some(Ok(frame)) => {
                if let Some(bytes) = frame.data_ref() {
                    this.on_data(bytes);
                }
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => Poll::Ready(this.fail(RelayError::Broken(error.to_string()))),
            None => Poll::Ready(this.on_end()),
        }
    }
}
