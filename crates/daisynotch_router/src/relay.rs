//! Passes an endpoint's answer on to the caller while it comes in.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::{Cost, ReleaseReason};
use hyper::body::{Body, Frame, Incoming};
use tokio::time::{Instant, Sleep};

use crate::dispatch::{OpenRequest, Usage};
use crate::event_stream::EventStreamWatcher;
use crate::metrics::Metrics;

/// How often running work is reported to its scheduler.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Why an answer is not whole.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub(crate) enum RelayError {
    /// The endpoint's connection failed.
    #[error("the endpoint's answer broke off: {0}")]
    Broken(String),
    /// The endpoint ended its answer too early.
    #[error("the endpoint's answer ended without its end mark")]
    NoEndMark,
    /// The endpoint went silent.
    #[error("the endpoint was silent for too long")]
    Idle,
}

/// What counts as the end of an answer, and as its cost.
#[derive(Debug)]
pub(crate) enum AnswerKind {
    /// Server-sent events up to the end mark; an event is a cost unit.
    Events(EventStreamWatcher),
    /// A body with a length or chunks of its own; a millisecond is a cost unit.
    Plain,
}

/// The labels under which a request is counted.
#[derive(Debug, Clone)]
pub(crate) struct RequestLabels {
    pub(crate) route: String,
    pub(crate) team: String,
    pub(crate) arrived_at: Instant,
}

/// An answer on its way; dropping it before its end cancels the work.
pub(crate) struct RelayBody {
    pub(crate) incoming: Incoming,
    pub(crate) open: OpenRequest,
    pub(crate) kind: AnswerKind,
    pub(crate) idle_timeout: Duration,
    pub(crate) idle: Pin<Box<Sleep>>,
    pub(crate) dispatched_at: Instant,
    pub(crate) first_byte_at: Option<Instant>,
    pub(crate) reported_at: Instant,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) labels: RequestLabels,
    /// The error that ends the body after the caller was told of it in an event.
    pub(crate) failure: Option<RelayError>,
    pub(crate) is_done: bool,
}

impl RelayBody {
    fn on_data(&mut self, bytes: &Bytes) {
        let now = Instant::now();
        if self.first_byte_at.is_none() {
            self.first_byte_at = Some(now);
            let since_arrival_s = (now - self.labels.arrived_at).as_secs_f64();
            let labels = [self.labels.route.as_str(), self.labels.team.as_str()];
            self.metrics
                .first_token
                .with_label_values(&labels)
                .observe(since_arrival_s);
        }
        if let AnswerKind::Events(watcher) = &mut self.kind {
            watcher.observe(bytes);
        }
        self.idle.as_mut().reset(now + self.idle_timeout);
        let usage = self.usage(now);
        if now - self.reported_at >= REPORT_INTERVAL {
            self.reported_at = now;
            self.open.report(usage);
        } else {
            self.open.note(usage);
        }
    }

    fn usage(&self, now: Instant) -> Usage {
        let Some(first_byte_at) = self.first_byte_at else {
            return Usage::default();
        };
        let first_token = first_byte_at - self.dispatched_at;
        let first_token_ms = u32::try_from(first_token.as_millis()).ok();
        match &self.kind {
            AnswerKind::Events(watcher) => {
                let gaps = watcher.events().saturating_sub(1);
                let streaming_us = (now - first_byte_at).as_micros() as u64;
                let token_gap_us = streaming_us.checked_div(gaps);
                Usage {
                    cost: Cost(watcher.events()),
                    first_token_ms,
                    token_gap_us: token_gap_us.and_then(|gap| u32::try_from(gap).ok()),
                }
            }
            AnswerKind::Plain => Usage {
                cost: Cost((now - self.dispatched_at).as_millis() as u64),
                first_token_ms,
                token_gap_us: None,
            },
        }
    }

    fn on_end(&mut self) -> Option<Result<Frame<Bytes>, RelayError>> {
        match &self.kind {
            AnswerKind::Events(watcher) if !watcher.has_ended() => self.fail(RelayError::NoEndMark),
            AnswerKind::Events(_) | AnswerKind::Plain => {
                self.finish(ReleaseReason::Done, "done");
                None
            }
        }
    }

    /// Ends the answer as broken; a stream says so in an event before it ends.
    fn fail(&mut self, error: RelayError) -> Option<Result<Frame<Bytes>, RelayError>> {
        self.finish(ReleaseReason::Failed, "failed");
        match self.kind {
            AnswerKind::Plain => Some(Err(error)),
            AnswerKind::Events(_) => {
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
        self.open.finish(reason);
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
        let Poll::Ready(frame) = Pin::new(&mut this.incoming).poll_frame(context) else {
            ready!(this.idle.as_mut().poll(context));
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
