//! Reads a response that is not a stream to its end, then passes it on.

use daisynotch_core::BodyContent;
use daisynotch_core::direct::RunOutcome;
use hyper::{Response, StatusCode};

use super::body::{self, ReadBodyError, WholeBody};
use super::forward::{Call, to_caller_response};
use super::response::{LocalResponse, ResponseBody};
use super::send::StartedResponse;
use super::witness::Witness;

/// Maximum size of a response that is not a stream: the body is held in memory, and hosts have
/// 88 MB.
const FULL_RESPONSE_MAX_BYTES: usize = 1024 * 1024;

/// Size above which the body of a response may wait for a slow caller, whose connection is then closed
/// when others need the memory: what the kernel takes for a connection at once.
const LARGE_BODY_BYTES: usize = 128 * 1024;

/// How reading the body of a response ended.
enum BodyEnd {
    /// The body is complete.
    Whole(WholeBody),
    /// The connection broke.
    Broken(String),
    /// The body is too long to be held in memory, alone or beside others.
    TooLong(String),
    /// The request's deadline passed.
    TimedOut,
}

/// What is to be done after the body of a response was read.
pub(super) enum FullRelayOutcome {
    /// The caller gets this response.
    Response(Response<ResponseBody>),
    /// The request is sent to another endpoint. The retry is already taken from the budget.
    Retry,
}

/// Reads the body of a response, and decides whether the caller gets it or the request is
/// retried.
pub(super) async fn relay(call: &mut Call, mut started: StartedResponse) -> FullRelayOutcome {
    let status = started.head.status;
    let is_error = status.is_server_error();
    let (status, reason) = match read_body(call, &mut started).await {
        BodyEnd::Whole(body) => {
            let ended = if is_error {
                RunOutcome::ErrorAnswer
            } else {
                started.guard.on_event(0);
                RunOutcome::Done
            };
            call.confirm_trial(&started.grant, started.guard.trial_outlived_at());
            started.guard.end(ended);
            if started.connection.is_usable() {
                let connections = &call.router.connections;
                let now = call.router.now();
                connections.put(started.grant.endpoint, started.connection, now);
            }
            if is_error && call.take_retry() {
                call.history.failures.push(format!("status {status}"));
                return FullRelayOutcome::Retry;
            }
            let outcome = if status.is_success() {
                "done"
            } else {
                "endpoint_error"
            };
            call.log_end(outcome, status);
            let body = if body.bytes.len() > LARGE_BODY_BYTES {
                let queues = &call.router.caller_queues;
                ResponseBody::Large(queues.open_whole(body, call.attempt_id.clone()))
            } else {
                ResponseBody::Full(Some(body.into_bytes()))
            };
            let response = to_caller_response(started.head, body);
            return FullRelayOutcome::Response(response);
        }
        BodyEnd::TooLong(problem) => {
            started.guard.end(RunOutcome::Broken);
            call.history.failures.push(problem);
            (StatusCode::BAD_GATEWAY, "answer_too_long")
        }
        BodyEnd::Broken(problem) => {
            let open_run = started.guard.open_run();
            started.guard.end(RunOutcome::Broken);
            call.history.failures.push(problem);
            if call.may_go_elsewhere(&started.grant, open_run).await && call.take_retry() {
                return FullRelayOutcome::Retry;
            }
            (StatusCode::BAD_GATEWAY, "answer_broke_off")
        }
        BodyEnd::TimedOut => {
            started.guard.end(RunOutcome::Cancelled);
            (StatusCode::GATEWAY_TIMEOUT, "timed_out")
        }
    };
    call.log_end(reason, status);
    FullRelayOutcome::Response(LocalResponse::new(status, reason).into_response())
}

async fn read_body(call: &Call, started: &mut StartedResponse) -> BodyEnd {
    let router = &call.router;
    let memory = &router.response_memory;
    let make_room = || router.close_slow_stream();
    let incoming = &mut started.incoming;
    let read = body::read(incoming, FULL_RESPONSE_MAX_BYTES, memory, make_room);
    let read = Witness::observe(&mut started.witness, read);
    match tokio::time::timeout_at(call.give_up_at, read).await {
        Ok(Ok(body)) => match call.judge_end(started, BodyContent::Opaque).await {
            Ok(()) => BodyEnd::Whole(body),
            Err(reason) => BodyEnd::Broken(format!("the response was cut: {reason}")),
        },
        Ok(Err(ReadBodyError::Broken(error))) => {
            call.report_broken(started);
            BodyEnd::Broken(format!("reading the response body failed: {error}"))
        }
        Ok(Err(error)) => BodyEnd::TooLong(error.to_string()),
        Err(_) => BodyEnd::TimedOut,
    }
}
