//! Relays a stream of events as it arrives, and continues it on another endpoint where
//! allowed.

use bytes::Bytes;
use daisynotch_core::BodyContent;
use daisynotch_core::direct::{EventFramer, RunOutcome, UnreadTime};
use http_body_util::BodyExt;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::http::response::Parts as ResponseHead;
use hyper::{Response, StatusCode};
use tokio::time::Instant;

use super::body;
use super::caller_queue::ChunkSender;
use super::forward::{Call, to_caller_response};
use super::moves::{MoveOutcome, WaitsFor};
use super::response::ResponseBody;
use super::send::{Attempt, StartedResponse};
use super::witness::Witness;

/// Maximum size of an event, which is buffered until it is complete.
const EVENT_MAX_BYTES: usize = 256 * 1024;
/// Size up to which the buffered part of an event is not counted: nearly all events are smaller.
const UNCOUNTED_EVENT_BYTES: usize = 4 * 1024;
/// Outcome of requests whose streams were closed because their callers read slowly.
const SLOW_CALLER: &str = "slow_caller";

/// How relaying the stream of one endpoint ended.
enum StreamEnd {
    /// The endpoint completed the stream.
    Complete,
    /// The connection broke or the stream was invalid.
    Broken(String),
    /// The same, after the endpoint's bytes had stayed unread since the caller did not read.
    CutUnread(String),
    /// The endpoint went silent, and another one has taken the request.
    Moved(Box<Attempt>),
    /// The caller closed its connection.
    CallerLeft,
    /// The request's deadline passed.
    TimedOut,
}

/// Starts a task that relays a stream, and returns the response with its head.
pub(super) fn start(mut call: Call, started: StartedResponse) -> Response<ResponseBody> {
    if !call.route.kind.may_repeat() {
        // No endpoint gets the request again, so others can use the memory of its body.
        call.body = Bytes::new();
    }
    let memory = &call.router.response_memory;
    let queues = &call.router.caller_queues;
    let (chunks, receiver) = queues.open(memory, call.attempt_id.clone());
    let head = started.head.clone();
    tokio::task::spawn_local(relay(call, started, chunks));
    to_caller_response(head, ResponseBody::Stream(receiver))
}

async fn relay(mut call: Call, mut started: StartedResponse, chunks: ChunkSender) {
    let mut framer = EventFramer::after(call.marks.resume_after.as_deref());
    let first_head = started.head.clone();
    loop {
        let outcome = relay_from_endpoint(&mut call, &mut started, &mut framer, &chunks).await;
        let mut moved = None;
        let may_continue = match outcome {
            StreamEnd::Complete => {
                call.confirm_trial(&started.grant, started.guard.trial_outlived_at());
                started.guard.end(RunOutcome::Done);
                if started.connection.is_usable() {
                    let connections = &call.router.connections;
                    let now = call.router.now();
                    connections.put(started.grant.endpoint, started.connection, now);
                }
                call.log_end("done", StatusCode::OK);
                chunks.complete();
                return;
            }
            StreamEnd::CallerLeft => {
                started.guard.end(RunOutcome::Cancelled);
                log_caller_left(&call, &chunks);
                return;
            }
            StreamEnd::TimedOut => {
                started.guard.end(RunOutcome::Cancelled);
                truncate(&call, &chunks, "timed_out");
                return;
            }
            StreamEnd::CutUnread(reason) => {
                call.history.failures.push(reason);
                let open_run = started.guard.open_run();
                // Reports a crash, which may come at any time.
                call.may_go_elsewhere(&started.grant, open_run).await;
                let endpoint = started.grant.endpoint;
                let has_crashed = call.router.dispatcher.borrow().has_crashed(endpoint);
                started.guard.end(if has_crashed {
                    RunOutcome::Broken
                } else {
                    RunOutcome::Cancelled
                });
                call.router.on_endpoint_cut(&chunks);
                truncate(&call, &chunks, SLOW_CALLER);
                return;
            }
            StreamEnd::Broken(reason) => {
                call.history.failures.push(reason);
                let open_run = started.guard.open_run();
                call.may_go_elsewhere(&started.grant, open_run).await && call.take_retry()
            }
            StreamEnd::Moved(attempt) => {
                let reason = "the endpoint went silent".to_owned();
                call.history.failures.push(reason);
                moved = Some(*attempt);
                true
            }
        };
        started.guard.end(RunOutcome::Broken);
        drop(started.connection);
        if !may_continue {
            truncate(&call, &chunks, "broke_off");
            return;
        }
        framer.resume();
        let resume_after = framer.last_id().map(str::to_owned);
        let next = tokio::select! {
            next = Box::pin(resume(&mut call, moved, &first_head, resume_after.as_deref())) => next,
            () = chunks.until_closed() => {
                log_caller_left(&call, &chunks);
                return;
            }
        };
        started = match next {
            Ok(next) => next,
            Err(outcome) => {
                truncate(&call, &chunks, outcome);
                return;
            }
        };
    }
}

/// Sends the request to other endpoints until one resumes the stream; the endpoint of `moved` has
/// it already. The error is the outcome of the request.
async fn resume(
    call: &mut Call,
    mut moved: Option<Attempt>,
    first_head: &ResponseHead,
    resume_after: Option<&str>,
) -> Result<StartedResponse, &'static str> {
    loop {
        let next = call.continue_response(moved.take(), resume_after).await;
        let next = next.map_err(|response| response.reason)?;
        if is_head_of_same_stream(first_head, &next.head) {
            return Ok(next);
        }
        next.guard.end(RunOutcome::ErrorAnswer);
        let reason = format!("status {}: does not resume the stream", next.head.status);
        call.history.failures.push(reason);
        if !call.take_retry() {
            return Err("not_continued");
        }
    }
}

/// Returns whether the body of a later response may be part of the stream that an earlier one
/// began.
fn is_head_of_same_stream(first: &ResponseHead, next: &ResponseHead) -> bool {
    let content_types = (
        first.headers.get(CONTENT_TYPE),
        next.headers.get(CONTENT_TYPE),
    );
    let is_same_type = match content_types {
        (Some(first), Some(next)) => media_type(first) == media_type(next),
        // Responses whose end is that of their connection may come without a type.
        (None, _) | (_, None) => true,
    };
    next.status == first.status && is_same_type
}

/// Returns the media type of a `Content-Type` value, without its parameters.
fn media_type(value: &HeaderValue) -> String {
    let value = String::from_utf8_lossy(value.as_bytes()).to_ascii_lowercase();
    value
        .split(';')
        .next()
        .unwrap_or_default()
        .trim()
        .to_owned()
}

fn truncate(call: &Call, chunks: &ChunkSender, outcome: &str) {
    call.log_end(outcome, StatusCode::OK);
    chunks.truncate();
}

/// Logs the end of a request whose response is no longer sent.
fn log_caller_left(call: &Call, chunks: &ChunkSender) {
    let outcome = if chunks.is_cut() {
        SLOW_CALLER
    } else {
        "caller_left"
    };
    call.log_end(outcome, StatusCode::OK);
}

async fn relay_from_endpoint(
    call: &mut Call,
    started: &mut StartedResponse,
    framer: &mut EventFramer,
    chunks: &ChunkSender,
) -> StreamEnd {
    let mut last_bytes_at = Instant::now();
    let mut event_memory = call.router.response_memory.hold();
    let mut unread_time = UnreadTime::default();
    loop {
        let waits_for = WaitsFor::Bytes {
            last_at: last_bytes_at,
        };
        let frame = tokio::select! {
            biased;
            () = chunks.until_closed() => return StreamEnd::CallerLeft,
            () = tokio::time::sleep_until(call.give_up_at) => return StreamEnd::TimedOut,
            frame = Witness::observe(&mut started.witness, started.incoming.frame()) => frame,
            place = call.until_place_elsewhere(&started.grant, &started.guard, waits_for) => {
                let last_id = framer.last_id().map(str::to_owned);
                let mut failure = None;
                let silent = async {
                    let frame = tokio::select! {
                        frame = Witness::observe(&mut started.witness, started.incoming.frame()) => {
                            frame
                        }
                        () = chunks.until_closed() => return None,
                    };
                    if let Some(Err(error)) = frame {
                        failure = Some(error);
                        std::future::pending().await
                    } else {
                        Some(frame)
                    }
                };
                match Box::pin(call.move_to(place, last_id.as_deref(), silent)).await {
                    MoveOutcome::WentOn(Some(frame)) => frame,
                    MoveOutcome::WentOn(None) => return StreamEnd::CallerLeft,
                    MoveOutcome::Taken(next) => {
                        if failure.is_some() {
                            call.report_broken(started);
                            let open_run = started.guard.open_run();
                            // Reports a crash; the other endpoint has the request already.
                            call.may_go_elsewhere(&started.grant, open_run).await;
                        }
                        return StreamEnd::Moved(next);
                    }
                    MoveOutcome::NotTaken if let Some(error) = failure => Some(Err(error)),
                    MoveOutcome::NotTaken => continue,
                }
            }
        };
        let arrived_at = Instant::now();
        let pause = arrived_at - last_bytes_at;
        unread_time.on_waited(pause);
        let broken = |reason: String| {
            if unread_time.explains_cut() {
                StreamEnd::CutUnread(format!("{reason}, after the caller left it unread"))
            } else {
                StreamEnd::Broken(reason)
            }
        };
        let bytes = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(error)) => {
                call.report_broken(started);
                return broken(format!("the stream failed: {error}"));
            }
            // Whether anything is left of the stream is not known without an event.
            None if framer.is_resuming() => {
                call.report_broken(started);
                return StreamEnd::Broken("the resumed response has no event".to_owned());
            }
            None => {
                let content = body_content(call, framer);
                let judged = tokio::select! {
                    judged = call.judge_end(started, content) => judged,
                    () = chunks.until_closed() => return StreamEnd::CallerLeft,
                };
                return match judged {
                    Ok(()) => StreamEnd::Complete,
                    Err(reason) => broken(format!("the stream was cut: {reason}")),
                };
            }
        };
        if bytes.is_empty() {
            continue;
        }
        if framer.events() > 0 {
            call.history.pause_max = call.history.pause_max.max(pause);
        }
        last_bytes_at = arrived_at;
        started.guard.on_bytes();
        let complete_events = framer.push(&bytes);
        if framer.events() > call.history.events {
            let events = framer.events() - call.history.events;
            call.history.events = framer.events();
            started.guard.on_event(events);
        }
        if framer.partial_len() > EVENT_MAX_BYTES {
            return StreamEnd::Broken(format!("an event exceeds {EVENT_MAX_BYTES} bytes"));
        }
        let counted_bytes = framer.partial_len().saturating_sub(UNCOUNTED_EVENT_BYTES);
        let make_room = || call.router.close_slow_stream();
        if let Err(error) = body::resize(&mut event_memory, counted_bytes, make_room) {
            return StreamEnd::Broken(format!("an event does not end: {error}"));
        }
        if !complete_events.is_empty() {
            chunks.push(complete_events, arrived_at);
            call.router.fit_responses();
        }
        if let Some(error) = framer.error() {
            call.report_broken(started);
            return StreamEnd::Broken(format!("the stream is invalid: {error}"));
        }
        if !chunks.has_room() {
            tokio::select! {
                () = chunks.until_room() => {}
                () = tokio::time::sleep_until(call.give_up_at) => return StreamEnd::TimedOut,
            }
            // The endpoint is not silent while nothing is read from it.
            last_bytes_at = Instant::now();
            unread_time.on_blocked(last_bytes_at - arrived_at);
        }
    }
}

fn body_content(call: &Call, framer: &EventFramer) -> BodyContent {
    if !framer.is_at_boundary() {
        BodyContent::PartialEvent
    } else if call.history.events == 0 {
        BodyContent::NoEvent
    } else {
        BodyContent::CompleteEvents
    }
}
