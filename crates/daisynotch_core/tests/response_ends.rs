//! Generated histories of responses that end with their connection: no cut one may be taken for
//! complete, and no complete one for cut while its sender goes on.
//!
//! Endpoints crash, exit as planned, restart at once or later, give their address to others, go
//! silent and reset connections, in any order and at any time of a response, while messages are
//! held up and routers pause. The check also has to find faults that are seeded into the core.

use std::sync::Arc;

use daisynotch_core::seeded_fault::{SeededFault, seed};
use daisynotch_core::{
    AskedOn, BodyContent, CutReason, Delimiter, EndVerdict, EndpointStatus, SenderEvidence,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const HISTORIES: u64 = 1_000;
const NAME: &str = "i-1";
const OTHER_NAME: &str = "i-2";
const SENDER_STARTED_UNIX_MS: u64 = 1_000;
const SENT_AT_US: u64 = 1_000_000;
const ANSWER_TIMEOUT_US: u64 = 1_000_000;
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
        }
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

    /// Asks on a connection that `listener` accepted; `None` if no answer arrives in time.
    fn ask(
        &self,
        listener: Option<Listener>,
        sent_at_us: u64,
        asked_on: AskedOn,
    ) -> Option<SenderEvidence> {
        let asked_at_us = self.arrives_us(sent_at_us);
        let listener = listener.filter(|listener| {
            *listener != Listener::Silent && self.listener(asked_at_us) == Some(*listener)
        })?;
        let is_in_time = self.answers_in_time(asked_at_us, sent_at_us);
        let status = self.status(listener);
        is_in_time
            .then(|| SenderEvidence::from_status(NAME, SENDER_STARTED_UNIX_MS, &status, asked_on))
    }

    fn evidence(&self, end_read_us: u64) -> SenderEvidence {
        if let Some((listener, used_at_us)) = self.earlier_connection(end_read_us) {
            let answer = self.ask(Some(listener), end_read_us, AskedOn::EarlierConnection);
            if let Some(evidence) = answer {
                return evidence;
            }
            if end_read_us - used_at_us < IDLE_MIN_US {
                return SenderEvidence::NoAnswer;
            }
        }
        let listener = self.listener(self.arrives_us(end_read_us));
        let answer = self.ask(listener, end_read_us, AskedOn::NewConnection);
        answer.unwrap_or(SenderEvidence::NoAnswer)
    }

    fn play(&self) -> Outcome {
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
            let evidence = self.evidence(end_read_us);
            let verdict = EndVerdict::judge(Delimiter::Connection, content, Some(evidence));
            (verdict, evidence)
        } else {
            (verdict, SenderEvidence::NoAnswer)
        };
        let asked_at_us = self.arrives_us(end_read_us);
        let could_answer = self.listener(asked_at_us) == Some(Listener::Sender)
            && self.answers_in_time(asked_at_us, end_read_us);
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
        let outcome = history.play();
        (number, history, outcome)
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
