//! Decides when the sender of a body is asked whether it still runs, and how long for.
//!
//! A sound sender may be silent for a second or two, and a question may be lost on its way. So
//! only an answer or a refusal decides at once, and silence is waited out on several connections.

use std::time::Duration;

use super::{AskedOn, SenderEvidence};
use crate::seeded_fault::{SeededFault, is_seeded};
use crate::time::Timestamp;

/// Time from one question to the next: slightly above the timeout for opening a connection.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(400);
/// Maximum number of questions without an answer on new connections, which endpoints limit.
const OPEN_QUESTIONS_MAX: u32 = 3;
/// How long a name on a new connection counts: the next start of the sender may say it, too.
const NAME_TRUST_MAX: Duration = Duration::from_millis(1_000);
/// Additional time for an answer that arrived while the router's process was paused.
const PAUSE_GRACE: Duration = Duration::from_millis(100);

/// A connection to the sender that was open before the body ended.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum EarlierConnection {
    /// There is none.
    Missing,
    /// The connection was used a moment ago, so only a crash of the sender breaks it.
    UsedLately,
    /// The sender may have closed the connection for being idle.
    Idle,
}

/// How one question ended.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum QuestionEnd {
    /// An answer arrived.
    Answered(SenderEvidence),
    /// Nothing listens at the address, or the question can't be written.
    Refused,
    /// No connection could be opened.
    NotReached,
    /// The connection broke, or carried something other than an answer to the question.
    Broken,
}

/// What to do next about the end of a body.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum InquiryStep {
    /// Ask the sender. Questions that were asked before stay open.
    Ask(AskedOn),
    /// Wait for the end of a question, until this time at most.
    Wait {
        /// When to take the next step.
        until: Timestamp,
    },
    /// The inquiry has ended.
    Decided(InquiryEnd),
}

/// What an inquiry led to.
#[daisynotch_macros::value]
#[derive(Copy)]
pub enum InquiryEnd {
    /// An answer tells who sends at the address.
    Evidence(SenderEvidence),
    /// The latest question that ended shows that the sender is gone.
    Failed,
    /// No answer that counts arrived in time.
    TimedOut,
}

/// A point in time that has passed only after a pause of the router's process had time to show.
#[derive(Debug, Clone, Copy)]
struct Limit {
    at: Timestamp,
    grace_until: Option<Timestamp>,
}

impl Limit {
    fn new(at: Timestamp) -> Self {
        let grace_until = None;
        Self { at, grace_until }
    }

    fn has_passed(&mut self, now: Timestamp) -> bool {
        now >= self.at && now >= *self.grace_until.get_or_insert(now + PAUSE_GRACE)
    }

    fn next(&self) -> Timestamp {
        self.grace_until.unwrap_or(self.at)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EarlierQuestion {
    None,
    Due,
    Open,
}

/// The questions about the end of one body.
#[derive(Debug)]
pub struct Inquiry {
    says_start: bool,
    earlier: EarlierConnection,
    earlier_question: EarlierQuestion,
    open_questions: u32,
    /// When the next question on a new connection is due; unset if none may help any more.
    next_at: Option<Timestamp>,
    name_limit: Limit,
    is_name_trusted: bool,
    limit: Limit,
    end: Option<InquiryEnd>,
}

impl Inquiry {
    /// Begins to ask the sender of a body that ended at `now`.
    ///
    /// `says_start` is set if the sender says when it started, and `give_up_at` is when its
    /// caller's request times out.
    pub fn new(
        now: Timestamp,
        give_up_at: Timestamp,
        says_start: bool,
        earlier: EarlierConnection,
    ) -> Self {
        let brief = now + NAME_TRUST_MAX;
        let give_up_at = if is_seeded(SeededFault::AskBriefly) {
            give_up_at.min(brief)
        } else {
            give_up_at
        };
        let (earlier_question, next_at) = match earlier {
            EarlierConnection::Missing => (EarlierQuestion::None, now),
            _ => (EarlierQuestion::Due, now + ASK_AGAIN_AFTER),
        };
        Self {
            says_start,
            earlier,
            earlier_question,
            open_questions: 0,
            next_at: Some(next_at),
            name_limit: Limit::new(brief),
            is_name_trusted: true,
            limit: Limit::new(give_up_at),
            end: None,
        }
    }

    /// Returns what to do at `now`.
    pub fn step(&mut self, now: Timestamp) -> InquiryStep {
        if self.is_name_trusted && self.name_limit.has_passed(now) {
            self.is_name_trusted = false;
        }
        if self.end.is_none() && (self.limit.has_passed(now) || !self.may_be_confirmed()) {
            self.end = Some(InquiryEnd::TimedOut);
        }
        if let Some(end) = self.end {
            return InquiryStep::Decided(end);
        }
        if self.earlier_question == EarlierQuestion::Due {
            self.earlier_question = EarlierQuestion::Open;
            return InquiryStep::Ask(AskedOn::EarlierConnection);
        }
        let next_at = self.next_at.filter(|_| self.may_ask(now));
        if next_at.is_some_and(|at| at <= now) {
            let asks_again = !is_seeded(SeededFault::AskOnce);
            self.next_at = asks_again.then(|| now + ASK_AGAIN_AFTER);
            self.open_questions += 1;
            return InquiryStep::Ask(AskedOn::NewConnection);
        }
        let name_limit = self.is_name_trusted.then(|| self.name_limit.next());
        let due = [next_at, name_limit].into_iter().flatten();
        let until = due.fold(self.limit.next(), Timestamp::min);
        InquiryStep::Wait { until }
    }

    /// Processes the end of a question.
    pub fn on_end(&mut self, asked_on: AskedOn, end: QuestionEnd, now: Timestamp) {
        let is_earlier = asked_on == AskedOn::EarlierConnection;
        if is_earlier {
            self.earlier_question = EarlierQuestion::None;
        } else {
            self.open_questions = self.open_questions.saturating_sub(1);
        }
        let has_earlier = self.earlier_question == EarlierQuestion::Open;
        let decided = match end {
            QuestionEnd::Answered(SenderEvidence::NoAnswer) => None,
            QuestionEnd::Answered(SenderEvidence::SameName) if !self.trusts_name() => None,
            QuestionEnd::Answered(evidence) => Some(InquiryEnd::Evidence(evidence)),
            // The sender's connections end together if it crashes.
            _ if is_earlier && self.earlier == EarlierConnection::UsedLately => {
                Some(InquiryEnd::Failed)
            }
            _ if is_earlier => {
                self.next_at = Some(now);
                None
            }
            // A sender that leaves may have closed its listener, and answers on open connections.
            QuestionEnd::Refused if has_earlier => {
                self.next_at = None;
                None
            }
            QuestionEnd::Refused => Some(InquiryEnd::Failed),
            QuestionEnd::NotReached => None,
            // The next start may answer to the same name.
            QuestionEnd::Broken if !self.says_start && !has_earlier => Some(InquiryEnd::Failed),
            QuestionEnd::Broken => None,
        };
        self.end = self.end.or(decided);
    }

    /// Returns whether an answer on a new connection could still confirm the end.
    fn may_ask(&self, now: Timestamp) -> bool {
        let is_useful = self.says_start || self.trusts_name();
        is_useful && now < self.limit.at && self.open_questions < OPEN_QUESTIONS_MAX
    }

    fn trusts_name(&self) -> bool {
        self.is_name_trusted || is_seeded(SeededFault::TrustLateName)
    }

    fn may_be_confirmed(&self) -> bool {
        let may_confirm = self.says_start || self.trusts_name();
        let is_any_open = self.open_questions > 0 || self.next_at.is_some();
        self.earlier_question != EarlierQuestion::None || may_confirm && is_any_open
    }
}

#[cfg(test)]
mod tests;
