//! Decides whether the body of an endpoint's response is complete.
//!
//! A body with a length or chunks says so itself. Any other body ends with its connection, and a
//! crash closes connections in the same orderly way as the end of a response does. Such a body is
//! complete only if the start of the endpoint that sent it still answers afterwards. What is not
//! known to be complete is incomplete: a caller can repeat a request that failed, but can't tell
//! that a response was cut. See `docs/design/response-ends.md`.

mod inquiry;

use std::sync::Arc;
use std::time::Duration;

pub use self::inquiry::{EarlierConnection, Inquiry, InquiryEnd, InquiryStep, QuestionEnd};
use crate::seeded_fault::{SeededFault, is_seeded};

/// What marks the end of a body.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum Delimiter {
    /// A length or chunks.
    Framing,
    /// The close of the connection.
    Connection,
}

impl Delimiter {
    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Framing => "framing",
            Self::Connection => "connection",
        }
    }
}

/// What had arrived when a body ended without a transport error.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum BodyContent {
    /// Bytes that do not tell where they end.
    Opaque,
    /// A stream without an event.
    NoEvent,
    /// A stream that ends with a complete event.
    CompleteEvents,
    /// A stream that ends within an event.
    PartialEvent,
    /// A stream that ends with a mark of its own.
    EndMark,
}

/// What an endpoint says about itself when it is asked.
#[daisynotch_macros::value]
#[derive(Default)]
pub struct EndpointStatus {
    /// The endpoint's name, which a restart may keep.
    pub name: Option<Arc<str>>,
    /// The wall-clock time of its start, in milliseconds.
    pub started_unix_ms: Option<u64>,
    /// How long the endpoint stays cold.
    pub cold_remaining: Option<Duration>,
}

/// The connection on which an endpoint was asked after a body had ended.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum AskedOn {
    /// The connection was open before the body ended, so only the same start can answer on it.
    EarlierConnection,
    /// The connection was opened afterwards, so whatever listens at the address answers.
    NewConnection,
}

/// What is known about the sender of a body after its end.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum SenderEvidence {
    /// The start that sent the body still answers.
    SameStart,
    /// An endpoint of the same name answers and does not say when it started.
    SameName,
    /// Another start or another endpoint answers.
    OtherStart,
    /// Nothing answers that names itself.
    NoAnswer,
}

impl SenderEvidence {
    /// Evaluates an answer of the endpoint that should be `name` in its start at
    /// `started_unix_ms`; 0 stands for an unknown time.
    pub fn from_status(
        name: &str,
        started_unix_ms: u64,
        status: &EndpointStatus,
        asked_on: AskedOn,
    ) -> Self {
        if is_seeded(SeededFault::TrustAnyListener) {
            return Self::SameStart;
        }
        let named = status.name.as_deref();
        if named.is_some_and(|named| named != name) {
            return Self::OtherStart;
        }
        let started = status.started_unix_ms.filter(|_| started_unix_ms != 0);
        match (started, asked_on) {
            (Some(started), _)
                if is_seeded(SeededFault::IgnoreStart) || started == started_unix_ms =>
            {
                Self::SameStart
            }
            (Some(_), _) => Self::OtherStart,
            (None, AskedOn::EarlierConnection) => Self::SameStart,
            (None, AskedOn::NewConnection) if named.is_some() => Self::SameName,
            (None, AskedOn::NewConnection) => Self::NoAnswer,
        }
    }
}

/// What the end of a body is taken for.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum EndVerdict {
    /// The body is complete.
    Whole,
    /// The body is incomplete.
    Cut(CutReason),
    /// It depends on the sender, which has to be asked.
    AskSender,
}

/// Why a body is taken for incomplete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CutReason {
    /// The connection broke, or the framing was not completed.
    #[error("the connection broke")]
    Broken,
    /// The stream ended within an event.
    #[error("it ended within an event")]
    WithinEvent,
    /// The connection was closed before the first event.
    #[error("the connection was closed before the first event")]
    BeforeFirstEvent,
    /// Another start or another endpoint answers at the sender's address.
    #[error("its connection was closed and its sender is gone")]
    OtherStart,
    /// The sender did not answer after the connection was closed.
    #[error("its connection was closed and its sender did not confirm its end")]
    Unconfirmed,
}

impl EndVerdict {
    /// Decides what the end of a body is taken for.
    ///
    /// `evidence` is unset as long as the sender was not asked.
    pub fn judge(
        delimiter: Delimiter,
        content: BodyContent,
        evidence: Option<SenderEvidence>,
    ) -> Self {
        match (content, delimiter, evidence) {
            (BodyContent::PartialEvent, _, _) => Self::Cut(CutReason::WithinEvent),
            (BodyContent::EndMark, _, _) | (_, Delimiter::Framing, _) => Self::Whole,
            (BodyContent::NoEvent, Delimiter::Connection, _) => {
                Self::Cut(CutReason::BeforeFirstEvent)
            }
            (_, Delimiter::Connection, None) => Self::AskSender,
            (_, Delimiter::Connection, Some(evidence)) => match evidence {
                SenderEvidence::SameStart | SenderEvidence::SameName => Self::Whole,
                SenderEvidence::OtherStart => Self::Cut(CutReason::OtherStart),
                SenderEvidence::NoAnswer if is_seeded(SeededFault::TrustSilence) => Self::Whole,
                SenderEvidence::NoAnswer => Self::Cut(CutReason::Unconfirmed),
            },
        }
    }

    /// Returns why the body is incomplete, as an error. As long as its sender was not asked, it is
    /// not known to be complete.
    pub fn into_result(self) -> Result<(), CutReason> {
        match self {
            Self::Whole => Ok(()),
            Self::Cut(reason) => Err(reason),
            Self::AskSender => Err(CutReason::Unconfirmed),
        }
    }

    /// Returns the name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::Cut(CutReason::Broken) => "broken",
            Self::Cut(CutReason::WithinEvent) => "within_event",
            Self::Cut(CutReason::BeforeFirstEvent) => "before_first_event",
            Self::Cut(CutReason::OtherStart) => "other_start",
            Self::Cut(CutReason::Unconfirmed) => "unconfirmed",
            Self::AskSender => "ask_sender",
        }
    }
}

#[cfg(test)]
mod tests;
