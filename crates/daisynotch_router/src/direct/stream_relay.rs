//! Passes a stream of events on as it comes, and continues it elsewhere if it may be.

use std::time::Duration;

use bytes::Bytes;
use daisynotch_core::direct::{EventFramer, RouteKind, RunOutcome};
use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::answer::{AnswerBody, BrokenOff};
use super::forward::{Call, pass_on};
use super::send::{Begun, SILENCE_CHECK_INTERVAL};

/// Pieces that wait for a caller that reads slowly.
const PIECES_MAX: usize = 16;
/// The longest event of a stream: it is held until it is whole.
const EVENT_MAX_BYTES: usize = 256 * 1024;
/// The silence of an endpoint after which a resumable stream goes on elsewhere, if it can't be
/// reached or owes answers to others: below the two seconds after which callers leave, with time for another endpoint to begin.
const STREAM_SILENCE_MAX: Duration = Duration::from_millis(1_400);

/// How often it is tried whether an endpoint that is silent for so long can be reached.
const REACHED_AGAIN_AFTER: Duration = Duration::from_millis(500);

type Pieces = mpsc::Sender<Result<Bytes, BrokenOff>>;

/// How the pumping of one endpoint's stream ended.
enum Pumped {
    /// The endpoint ended it.
    Whole,
    /// It broke off or fell silent.
    Broken(String),
    /// It fell silent, and the repeat elsewhere is paid for.
    Silent,
    /// The caller left.
    CallerLeft,
    /// The time was over.
    TimedOut,
}

/// Starts to pass a stream on.
pub(super) fn start(call: Call, begun: Begun) -> Response<AnswerBody> {
    let (pieces, receiver) = mpsc::channel(PIECES_MAX);
    let head = begun.head.clone();
    tokio::task::spawn_local(relay(call, begun, pieces));
    pass_on(head, AnswerBody::Pieces(receiver))
}

async fn relay(mut call: Call, mut begun: Begun, pieces: Pieces) {
    let mut framer = EventFramer::default();
    loop {
        let pumped = pump(&mut call, &mut begun, &mut framer, &pieces).await;
        let goes_on = match pumped {
            Pumped::Whole => {
                begun.guard.end(RunOutcome::Done);
                if begun.connection.is_usable() {
                    let connections = &call.router.connections;
                    let now = call.router.now();
                    connections.keep(begun.grant.endpoint, begun.connection, now);
                }
                call.log_end("done", StatusCode::OK);
                return;
            }
            Pumped::CallerLeft => {
                begun.guard.end(RunOutcome::Cancelled);
                call.log_end("caller_left", StatusCode::OK);
                return;
            }
            Pumped::TimedOut => {
                begun.guard.end(RunOutcome::Cancelled);
                break_off(&call, &pieces, "timed_out").await;
                return;
            }
            Pumped::Broken(reason) => {
                call.history.failures.push(reason);
                call.may_repeat()
            }
            Pumped::Silent => {
                let reason = "the endpoint fell silent".to_owned();
                call.history.failures.push(reason);
                true
            }
        };
        begun.guard.end(RunOutcome::Broken);
        drop(begun.connection);
        if !goes_on {
            break_off(&call, &pieces, "broke_off").await;
            return;
        }
        framer.drop_partial();
        let resume_after = framer.last_id().map(str::to_owned);
        let next = tokio::select! {
            next = call.begin(resume_after.as_deref()) => next,
            () = pieces.closed() => {
                call.log_end("caller_left", StatusCode::OK);
                return;
            }
        };
        begun = match next {
            Ok(next) if next.head.status.is_success() => next,
            Ok(next) => {
                next.guard.end(RunOutcome::ErrorAnswer);
                break_off(&call, &pieces, "not_continued").await;
                return;
            }
            Err(answer) => {
                break_off(&call, &pieces, answer.reason).await;
                return;
            }
        };
    }
}

async fn break_off(call: &Call, pieces: &Pieces, outcome: &str) {
    call.log_end(outcome, StatusCode::OK);
    // The caller may have left; then nobody needs to be told.
    let _ = pieces.send(Err(BrokenOff)).await;
}

async fn pump(
    call: &mut Call,
    begun: &mut Begun,
    framer: &mut EventFramer,
    pieces: &Pieces,
) -> Pumped {
    let is_resumable = call.route.kind == RouteKind::ResumableStream;
    let mut heard_at = Instant::now();
    let mut reached_at = None;
    loop {
        let frame = tokio::select! {
            frame = begun.incoming.frame() => frame,
            () = pieces.closed() => return Pumped::CallerLeft,
            () = tokio::time::sleep_until(call.give_up_at) => return Pumped::TimedOut,
            () = tokio::time::sleep(SILENCE_CHECK_INTERVAL), if is_resumable => {
                // A pause alone is no reason to go on elsewhere: slow streams are sound.
                let is_silent = heard_at.elapsed() > STREAM_SILENCE_MAX
                    && begun.guard.is_endpoint_quiet(STREAM_SILENCE_MAX);
                let is_due = reached_at.is_none_or(|at: Instant| at.elapsed() > REACHED_AGAIN_AFTER);
                if !is_silent || !is_due || !call.can_go_elsewhere() {
                    continue;
                }
                if (begun.guard.is_lost() || !call.reaches(&begun.grant).await)
                    && call.may_repeat()
                {
                    return Pumped::Silent;
                }
                reached_at = Some(Instant::now());
                continue;
            }
        };
        let bytes = match frame {
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            Some(Err(error)) => return Pumped::Broken(format!("the stream broke off: {error}")),
            None => return end(framer, pieces, is_resumable).await,
        };
        if bytes.is_empty() {
            continue;
        }
        if framer.events() > 0 {
            let pause = heard_at.elapsed();
            call.history.pause_max = call.history.pause_max.max(pause);
        }
        heard_at = Instant::now();
        begun.guard.on_bytes();
        let whole = framer.push(&bytes);
        if framer.partial_len() > EVENT_MAX_BYTES {
            return Pumped::Broken(format!("an event has over {EVENT_MAX_BYTES} bytes"));
        }
        if whole.is_empty() {
            continue;
        }
        let sent = tokio::select! {
            sent = pieces.send(Ok(whole)) => sent,
            () = tokio::time::sleep_until(call.give_up_at) => return Pumped::TimedOut,
        };
        if sent.is_err() {
            return Pumped::CallerLeft;
        }
    }
}

/// Ends a stream; bytes after its last whole event are part of it if it can't go on elsewhere.
async fn end(framer: &mut EventFramer, pieces: &Pieces, is_resumable: bool) -> Pumped {
    if framer.is_at_boundary() {
        return Pumped::Whole;
    }
    if is_resumable {
        return Pumped::Broken("the stream ended within an event".to_owned());
    }
    match pieces.send(Ok(framer.take_partial())).await {
        Ok(()) => Pumped::Whole,
        Err(_) => Pumped::CallerLeft,
    }
}
