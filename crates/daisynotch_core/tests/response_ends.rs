//! Generated histories of responses that end with their connection: no cut one may be taken for
//! complete, and no complete one for cut while its sender goes on.
//!
//! Endpoints crash, exit as planned, restart at once or later, give their address to others, go
//! silent and reset connections, in any order and at any time of a response, while messages are
//! held up, routers pause and configurations drop services. The check also has to find faults that are seeded into the core.

use std::sync::Arc;

use daisynotch_core::seeded_fault::{SeededFault, seed};
use daisynotch_core::{
    AskedOn, BodyContent, CutReason, Delimiter, EarlierConnection, EndVerdict, EndpointStatus,
    Inquiry, InquiryEnd, InquiryStep, QuestionEnd, SenderEvidence, Timestamp,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const HISTORIES: u64 = 1_000;
const NAME: &str = "i-1";
const OTHER_NAME: &str = "i-2";
const SENDER_STARTED_UNIX_MS: u64 = 1_000;
const SENT_AT_US: u64 = 1_000_000;
/// Time within which a sender's answer to the first question must always count.
const ANSWER_TIMEOUT_US: u64 = 1_000_000;
/// Time in which a name on a new connection counts.
const NAME_TRUST_US: u64 = 1_000_000;
/// Time that the router needs to notice that a silence has ended: to the next question, with its
/// timeout, and to the answer.
const RECOVERY_US: u64 = 820_000;
const CONNECT_TIMEOUT_US: u64 = 350_000;
/// How long the kernel resends a question on an open connection.
const RESEND_US: u64 = 1_500_000;
const QUIET_MAX_US: u64 = 2_000_000;
const GIVE_UP_US: u64 = 10_000_000;
const SETTLE_US: u64 = 2_000;
const IDLE_MIN_US: u64 = 900_000;
const NEVER: u64 = u64::MAX;

/// What listens at the endpoint's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listener {
    Sender,
    /// The next start of the sender, under the same name.
    NextStart,
    Other,
    /// Connections are accepted, and nothing is answered.
    Silent,
}

/// How the end of the sender's process is meant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Exit {
    Crash,
    Planned,
}

/// Which connections may carry the question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Witness {
    /// None but one that is opened when the head arrives.
    AtHead,
    /// One that is opened together with the request.
    AtRequest,
    /// One from before the request.
    Idle,
}

struct History {
    is_engine: bool,
    is_stream: bool,
    head_at_us: u64,
    done_at_us: u64,
    exits_at_us: u64,
    /// When something listens again, and what.
    listens_at_us: u64,
    successor: Listener,
    reset_at_us: u64,
    ends_within_event: bool,
    delay_us: u64,
    /// Messages that are sent in this time arrive after it.
    silence_us: (u64, u64),
    /// The router reads what arrives in this time after it.
    pause_us: (u64, u64),
    witness: Witness,
    /// The sender accepts connections in this time and answers questions after it.
    quiet_us: (u64, u64),
    give_up_at_us: u64,
    /// When a new configuration drops the service.
    dropped_at_us: u64,
}

/// The configuration in which the router looks for the way to ask a sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lookup {
    Arrival,
    /// A fault of the router: the service may have been dropped since.
    InForce,
}

#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Right,
    /// A cut response was taken for complete, on this evidence.
    CutTakenForWhole(SenderEvidence),
    /// A complete response was taken for cut although its sender could have answered.
    WholeTakenForCut,
    /// A complete response was taken for cut whose sender ended or fell silent before the answer.
    WholeUnconfirmed,
}

impl History {
    fn new(number: u64, exit: Option<Exit>) -> Self {
        let mut rng = StdRng::seed_from_u64(number);
        let head_at_us = SENT_AT_US + rng.random_range(300..50_000);
        let is_in_one_piece = rng.random_bool(0.3);
        let length_us = rng.random_range(1_000..400_000);
        let done_at_us = head_at_us + if is_in_one_piece { 0 } else { length_us };
        let exit = exit.unwrap_or(if rng.random_bool(0.5) {
            Exit::Crash
        } else {
            Exit::Planned
        });
        let exits_at_us = match exit {
            _ if rng.random_bool(0.2) => NEVER,
            Exit::Crash => rng.random_range(head_at_us..=done_at_us + 20_000),
            Exit::Planned => rng.random_range(head_at_us..=done_at_us + 300_000),
        };
        let gap_us = match rng.random_range(0..4) {
            0 => Some(0),
            1 => Some(rng.random_range(0..5_000)),
            2 => Some(rng.random_range(0..3_000_000)),
            _ => None,
        };
        let window = |rng: &mut StdRng, probability, length_max_us| {
            if !rng.random_bool(probability) {
                return (NEVER, NEVER);
            }
            let from_us = rng.random_range(SENT_AT_US..done_at_us + 10_000);
            (from_us, from_us + rng.random_range(1_000..length_max_us))
        };
        Self {
            is_engine: rng.random_bool(0.5),
            is_stream: rng.random_bool(0.5),
            head_at_us,
            done_at_us,
            exits_at_us,
            listens_at_us: gap_us.map_or(NEVER, |gap_us| exits_at_us.saturating_add(gap_us)),
            successor: [Listener::NextStart, Listener::Other, Listener::Silent]
                [rng.random_range(0..3)],
            reset_at_us: if rng.random_bool(0.1) {
                rng.random_range(head_at_us..=done_at_us)
            } else {
                NEVER
            },
            ends_within_event: rng.random_bool(0.5),
            delay_us: rng.random_range(50..3_000),
            silence_us: window(&mut rng, 0.1, 1_500_000),
            pause_us: window(&mut rng, 0.2, 3_000_000),
            witness: [Witness::AtHead, Witness::AtRequest, Witness::Idle][rng.random_range(0..3)],
            quiet_us: (NEVER, NEVER),
            give_up_at_us: SENT_AT_US + GIVE_UP_US,
            dropped_at_us: NEVER,
        }
    }

    /// Adds a sender that is silent around the end of its response and a new configuration.
    fn disturbed(number: u64, exit: Option<Exit>) -> Self {
        let mut history = Self::new(HISTORIES + number, exit);
        let mut rng = StdRng::seed_from_u64(!number);
        if rng.random_bool(0.6) {
            let from_us = rng.random_range(history.head_at_us..=history.done_at_us + 50_000);
            history.quiet_us = (from_us, from_us + rng.random_range(100_000..=QUIET_MAX_US));
        }
        if rng.random_bool(0.4) {
            history.dropped_at_us = rng.random_range(SENT_AT_US..history.done_at_us + 500_000);
        }
        history.give_up_at_us = SENT_AT_US + rng.random_range(3_000_000..GIVE_UP_US);
        history
    }

    fn listener(&self, at_us: u64) -> Option<Listener> {
        if at_us < self.exits_at_us {
            Some(Listener::Sender)
        } else {
            (at_us >= self.listens_at_us).then_some(self.successor)
        }
    }

    /// Returns when a message arrives at the other end.
    fn arrives_us(&self, sent_at_us: u64) -> u64 {
        let (from_us, to_us) = self.silence_us;
        let is_held = (from_us..to_us).contains(&sent_at_us);
        self.delay_us + if is_held { to_us } else { sent_at_us }
    }

    /// Returns when the router reads a message.
    fn read_us(&self, sent_at_us: u64) -> u64 {
        let arrived_us = self.arrives_us(sent_at_us);
        let (from_us, to_us) = self.pause_us;
        if (from_us..to_us).contains(&arrived_us) {
            to_us
        } else {
            arrived_us
        }
    }

    /// Returns whether the answer to a question arrives before the router stops waiting. Pauses of
    /// the router itself do not count.
    fn answers_in_time(&self, asked_at_us: u64, sent_at_us: u64) -> bool {
        self.arrives_us(asked_at_us) - sent_at_us < ANSWER_TIMEOUT_US
    }

    fn status(&self, listener: Listener) -> EndpointStatus {
        let started_unix_ms = match listener {
            Listener::Sender => SENDER_STARTED_UNIX_MS,
            _ => SENDER_STARTED_UNIX_MS + 1,
        };
        let name = match listener {
            Listener::Other => OTHER_NAME,
            _ => NAME,
        };
        EndpointStatus {
            name: (!self.is_engine).then(|| Arc::from(name)),
            started_unix_ms: self.is_engine.then_some(started_unix_ms),
            cold_remaining: None,
        }
    }

    /// Returns who accepted the second connection if it was open while the response was, and when
    /// it was last used.
    fn earlier_connection(&self, end_read_us: u64) -> Option<(Listener, u64)> {
        if self.is_engine {
            return None;
        }
        let opened_at_us = match self.witness {
            Witness::Idle => return Some((Listener::Sender, SENT_AT_US)),
            Witness::AtRequest => SENT_AT_US,
            Witness::AtHead => self.read_us(self.head_at_us),
        };
        let accepted_us = self.arrives_us(opened_at_us);
        let listener = self.listener(accepted_us)?;
        let open_us = self.read_us(accepted_us);
        (open_us + SETTLE_US < end_read_us).then_some((listener, open_us))
    }

    /// Returns when the router reads the end of a question, and how it ends; `None` if never.
    fn question(
        &self,
        earlier: Option<Listener>,
        sent_at_us: u64,
        asked_on: AskedOn,
    ) -> Option<(u64, QuestionEnd)> {
        let asked_at_us = self.arrives_us(sent_at_us);
        let held_us = asked_at_us - sent_at_us;
        let now_listens = self.listener(asked_at_us);
        let listener = match asked_on {
            AskedOn::EarlierConnection if held_us > RESEND_US => {
                return Some((self.unpaused(sent_at_us + RESEND_US), QuestionEnd::Broken));
            }
            AskedOn::EarlierConnection if now_listens != earlier => {
                return Some((self.read_us(asked_at_us), QuestionEnd::Broken));
            }
            AskedOn::NewConnection if held_us > CONNECT_TIMEOUT_US => {
                let timed_out_us = self.unpaused(sent_at_us + CONNECT_TIMEOUT_US);
                return Some((timed_out_us, QuestionEnd::NotReached));
            }
            _ => now_listens,
        };
        let Some(listener) = listener else {
            return Some((self.read_us(asked_at_us), QuestionEnd::Refused));
        };
        let (from_us, to_us) = self.quiet_us;
        let is_quiet = listener == Listener::Sender && (from_us..to_us).contains(&asked_at_us);
        let answered_us = if is_quiet { to_us } else { asked_at_us };
        match listener {
            Listener::Silent => None,
            Listener::Sender if self.exits_at_us <= answered_us => {
                Some((self.read_us(self.exits_at_us), QuestionEnd::Broken))
            }
            Listener::Sender | Listener::NextStart | Listener::Other => {
                let status = self.status(listener);
                let evidence =
                    SenderEvidence::from_status(NAME, SENDER_STARTED_UNIX_MS, &status, asked_on);
                Some((self.read_us(answered_us), QuestionEnd::Answered(evidence)))
            }
        }
    }

    /// Returns when the router acts on a timer.
    fn unpaused(&self, at_us: u64) -> u64 {
        let (from_us, to_us) = self.pause_us;
        if (from_us..to_us).contains(&at_us) {
            to_us
        } else {
            at_us
        }
    }

    /// Asks the sender as the router does.
    fn evidence(&self, end_read_us: u64, lookup: Lookup) -> SenderEvidence {
        let witness = self.earlier_connection(end_read_us);
        let earlier = match witness {
            None => EarlierConnection::Missing,
            Some((_, used_at_us)) if end_read_us - used_at_us < IDLE_MIN_US => {
                EarlierConnection::UsedLately
            }
            Some(_) => EarlierConnection::Idle,
        };
        let give_up_at = Timestamp(self.give_up_at_us);
        let mut now_us = end_read_us;
        let mut inquiry = Inquiry::new(Timestamp(now_us), give_up_at, self.is_engine, earlier);
        let mut questions: Vec<(u64, AskedOn, QuestionEnd)> = Vec::new();
        loop {
            match inquiry.step(Timestamp(now_us)) {
                InquiryStep::Ask(asked_on) => {
                    let accepted_by = witness.map(|(listener, _)| listener);
                    let is_unknown = lookup == Lookup::InForce && self.dropped_at_us <= now_us;
                    let ended = if is_unknown {
                        Some((now_us, QuestionEnd::Refused))
                    } else {
                        self.question(accepted_by, now_us, asked_on)
                    };
                    questions.extend(ended.map(|(end_us, end)| (end_us, asked_on, end)));
                }
                InquiryStep::Wait { until } => {
                    let timer_us = self.unpaused(until.0);
                    let next = questions
                        .iter()
                        .enumerate()
                        .min_by_key(|(_, ended)| ended.0);
                    match next.map(|(index, ended)| (index, *ended)) {
                        // After a pause, the router may see its timers first.
                        Some((index, (end_us, asked_on, end))) if end_us < timer_us => {
                            questions.remove(index);
                            now_us = now_us.max(end_us);
                            inquiry.on_end(asked_on, end, Timestamp(now_us));
                        }
                        _ => now_us = now_us.max(timer_us),
                    }
                }
                InquiryStep::Decided(InquiryEnd::Evidence(evidence)) => return evidence,
                InquiryStep::Decided(InquiryEnd::Failed | InquiryEnd::TimedOut) => {
                    return SenderEvidence::NoAnswer;
                }
            }
        }
    }

    /// Returns whether the sender lives and answers again before the router stops asking.
    fn answers_within_bound(&self, end_read_us: u64) -> bool {
        let ends_us = [self.silence_us.1, self.quiet_us.1, self.pause_us.1];
        let ends_us = ends_us.into_iter().filter(|at_us| *at_us != NEVER);
        let sound_at_us = ends_us.fold(end_read_us, u64::max) + RECOVERY_US;
        let has_sender = matches!(
            self.earlier_connection(end_read_us),
            Some((Listener::Sender, _))
        );
        let (from_us, to_us) = self.silence_us;
        let holds_questions = from_us != NEVER && to_us > end_read_us;
        let asked_until_us = if self.is_engine || has_sender && !holds_questions {
            self.give_up_at_us
        } else {
            self.give_up_at_us.min(end_read_us + NAME_TRUST_US)
        };
        sound_at_us < self.exits_at_us.min(asked_until_us)
    }

    fn play(&self, lookup: Lookup) -> Outcome {
        let closed_at_us = self.done_at_us.min(self.exits_at_us);
        if self.reset_at_us < closed_at_us {
            // A reset is a transport error, which is not judged.
            return Outcome::Right;
        }
        let is_whole = self.done_at_us < self.exits_at_us;
        let content = match (self.is_stream, is_whole) {
            (false, _) => BodyContent::Opaque,
            (true, false) if closed_at_us == self.head_at_us => BodyContent::NoEvent,
            (true, false) if self.ends_within_event => BodyContent::PartialEvent,
            (true, _) => BodyContent::CompleteEvents,
        };
        let end_read_us = self.read_us(closed_at_us);
        let verdict = EndVerdict::judge(Delimiter::Connection, content, None);
        let (verdict, evidence) = if verdict == EndVerdict::AskSender {
            let evidence = self.evidence(end_read_us, lookup);
            let verdict = EndVerdict::judge(Delimiter::Connection, content, Some(evidence));
            (verdict, evidence)
        } else {
            (verdict, SenderEvidence::NoAnswer)
        };
        let asked_at_us = self.arrives_us(end_read_us);
        let answers_first = self.listener(asked_at_us) == Some(Listener::Sender)
            && self.answers_in_time(asked_at_us, end_read_us)
            && self.quiet_us.0 == NEVER;
        let could_answer = answers_first || self.answers_within_bound(end_read_us);
        match (verdict.into_result(), is_whole) {
            (Ok(()), true) | (Err(_), false) => Outcome::Right,
            (Ok(()), false) => Outcome::CutTakenForWhole(evidence),
            (Err(_), true) if could_answer => Outcome::WholeTakenForCut,
            (Err(_), true) => Outcome::WholeUnconfirmed,
        }
    }
}

fn outcomes(exit: Option<Exit>) -> impl Iterator<Item = (u64, History, Outcome)> {
    (0..HISTORIES).map(move |number| {
        let history = History::new(number, exit);
        let outcome = history.play(Lookup::Arrival);
        (number, history, outcome)
    })
}

/// Histories in which senders fall silent and configurations change.
fn disturbed_outcomes(exit: Option<Exit>, lookup: Lookup) -> impl Iterator<Item = (u64, Outcome)> {
    (0..HISTORIES).map(move |number| {
        let outcome = History::disturbed(number, exit).play(lookup);
        (number, outcome)
    })
}

/// A plain service says its name only, which its next start keeps.
fn is_known_by_name_only(outcome: &Outcome) -> bool {
    *outcome == Outcome::CutTakenForWhole(SenderEvidence::SameName)
}

#[test]
fn no_cut_response_is_taken_for_whole_where_the_start_is_known() {
    for (number, _, outcome) in outcomes(None) {
        let is_cut_taken = matches!(outcome, Outcome::CutTakenForWhole(_));
        assert!(
            !is_cut_taken || is_known_by_name_only(&outcome),
            "{number}: {outcome:?}"
        );
    }
}

/// The restart of a plain service within the time that it takes to ask it goes unnoticed if no
/// connection from before is open.
#[test]
fn no_cut_response_is_taken_for_whole_where_only_the_name_is_known() {
    let taken = outcomes(None).filter(|(_, _, outcome)| is_known_by_name_only(outcome));
    let numbers: Vec<u64> = taken.map(|(number, ..)| number).collect();
    assert!(
        numbers.is_empty(),
        "{} histories: {numbers:?}",
        numbers.len()
    );
}

#[test]
fn no_whole_response_is_taken_for_cut_while_its_sender_answers() {
    for exit in [None, Some(Exit::Planned)] {
        for (number, _, outcome) in outcomes(exit) {
            assert_ne!(outcome, Outcome::WholeTakenForCut, "{number}, {exit:?}");
        }
    }
}

/// Whole responses that a planned exit costs ended less than a question and its answer before it.
#[test]
fn planned_exit_costs_only_responses_that_end_right_before_it() {
    for (number, history, outcome) in outcomes(Some(Exit::Planned)) {
        if outcome == Outcome::WholeUnconfirmed && history.silence_us.0 == NEVER {
            let end_read_us = history.read_us(history.done_at_us);
            let asked_at_us = history.arrives_us(end_read_us);
            assert!(history.exits_at_us <= asked_at_us, "{number}");
        }
    }
}

#[test]
fn seeded_faults_are_found() {
    for fault in [
        SeededFault::TrustAnyListener,
        SeededFault::IgnoreStart,
        SeededFault::TrustSilence,
    ] {
        seed(Some(fault));
        let is_found = outcomes(None).any(|(_, _, outcome)| {
            matches!(outcome, Outcome::CutTakenForWhole(_)) && !is_known_by_name_only(&outcome)
        });
        seed(None);
        assert!(is_found, "{fault:?}");
    }
}

/// Neither a silence of two seconds nor a configuration that drops its service cuts a response
/// whose sender answers before the request times out.
#[test]
fn no_whole_response_is_taken_for_cut_by_a_silent_sender_or_a_new_configuration() {
    for exit in [None, Some(Exit::Planned)] {
        for (number, outcome) in disturbed_outcomes(exit, Lookup::Arrival) {
            assert_ne!(outcome, Outcome::WholeTakenForCut, "{number}, {exit:?}");
        }
    }
}

/// Returns the histories whose cut responses are taken for whole, with the evidence.
fn cuts_taken(exit: Option<Exit>) -> Vec<(u64, Outcome)> {
    let outcomes = disturbed_outcomes(exit, Lookup::Arrival);
    outcomes
        .filter(|(_, outcome)| matches!(outcome, Outcome::CutTakenForWhole(_)))
        .collect()
}

/// Asking again and for longer must not add to the cut responses that the first question takes for
/// whole, which are those of services that are known by name only.
#[test]
fn no_cut_response_is_taken_for_whole_by_asking_for_longer() {
    for exit in [None, Some(Exit::Crash)] {
        seed(Some(SeededFault::AskOnce));
        let taken_at_once = cuts_taken(exit);
        seed(None);
        let taken = cuts_taken(exit);
        assert_eq!(taken, taken_at_once, "{exit:?}");
        for (number, outcome) in &taken {
            assert!(is_known_by_name_only(outcome), "{number}, {exit:?}");
        }
    }
}

#[test]
fn no_cut_response_of_a_silent_sender_is_taken_for_whole_where_only_the_name_is_known() {
    let taken = [None, Some(Exit::Crash)].map(cuts_taken);
    assert!(taken.iter().all(Vec::is_empty), "{taken:?}");
}

/// Faults that take whole responses for cut, and the trust in a name that is said late.
#[test]
fn seeded_faults_of_inquiries_are_found() {
    let is_found = |lookup, is_error: fn(&Outcome) -> bool| {
        let crashes = disturbed_outcomes(Some(Exit::Crash), lookup);
        let mut outcomes = disturbed_outcomes(None, lookup).chain(crashes);
        outcomes.any(|(_, outcome)| is_error(&outcome))
    };
    let is_whole_cut: fn(&Outcome) -> bool = |outcome| *outcome == Outcome::WholeTakenForCut;
    assert!(is_found(Lookup::InForce, is_whole_cut));
    for (fault, is_error) in [
        (SeededFault::AskBriefly, is_whole_cut),
        (SeededFault::AskOnce, is_whole_cut),
        (SeededFault::TrustLateName, is_known_by_name_only),
    ] {
        seed(Some(fault));
        let is_fault_found = is_found(Lookup::Arrival, is_error);
        seed(None);
        assert!(is_fault_found, "{fault:?}");
    }
}

/// Partial events are cut whatever the sender says, and framed bodies need no sender.
#[test]
fn content_and_framing_go_before_the_sender() {
    let evidence = Some(SenderEvidence::SameStart);
    let partial = EndVerdict::judge(Delimiter::Connection, BodyContent::PartialEvent, evidence);
    assert_eq!(partial, EndVerdict::Cut(CutReason::WithinEvent));
    let evidence = Some(SenderEvidence::NoAnswer);
    let framed = EndVerdict::judge(Delimiter::Framing, BodyContent::Opaque, evidence);
    assert_eq!(framed, EndVerdict::Whole);
}
