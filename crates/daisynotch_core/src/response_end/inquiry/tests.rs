use super::*;

const ENDED_AT: Timestamp = Timestamp(50_000_000);

fn after(ms: u64) -> Timestamp {
    ENDED_AT + Duration::from_millis(ms)
}

fn inquiry(says_start: bool, earlier: EarlierConnection) -> Inquiry {
    Inquiry::new(ENDED_AT, after(3_000), says_start, earlier)
}

/// Steps an inquiry whose questions all stay open, and returns when it asks and how it ends.
fn play_silence(mut inquiry: Inquiry) -> (Vec<(u64, AskedOn)>, u64) {
    let mut asked = Vec::new();
    let mut now = ENDED_AT;
    loop {
        let ms = now.since(ENDED_AT).as_millis() as u64;
        match inquiry.step(now) {
            InquiryStep::Ask(asked_on) => asked.push((ms, asked_on)),
            InquiryStep::Wait { until } => {
                assert!(until > now, "the inquiry waits for a time in the past");
                now = until;
            }
            InquiryStep::Decided(end) => {
                assert_eq!(end, InquiryEnd::TimedOut);
                return (asked, ms);
            }
        }
    }
}

/// A sound sender that is silent must be asked for as long as the request may last.
#[test]
fn silent_sender_is_asked_again_until_the_request_times_out() {
    let new = AskedOn::NewConnection;
    let (asked, ended_ms) = play_silence(inquiry(true, EarlierConnection::Missing));
    assert_eq!(asked, [(0, new), (400, new), (800, new)]);
    assert_eq!(ended_ms, 3_100);
    let (asked, ended_ms) = play_silence(inquiry(false, EarlierConnection::UsedLately));
    let earlier = AskedOn::EarlierConnection;
    assert_eq!(asked, [(0, earlier), (400, new), (800, new)]);
    assert_eq!(ended_ms, 3_100);
}

/// The next start of a sender says the same name, so a name must not count for long.
#[test]
fn name_alone_counts_for_a_second() {
    let (asked, ended_ms) = play_silence(inquiry(false, EarlierConnection::Missing));
    assert_eq!(asked.len(), 3);
    assert_eq!(ended_ms, 1_100);
}

/// A connection that can't be opened makes room for the next question.
#[test]
fn questions_go_on_while_connections_are_not_opened() {
    let mut inquiry = inquiry(true, EarlierConnection::Missing);
    for ms in (0..3_000).step_by(400) {
        let asked = inquiry.step(after(ms));
        assert_eq!(asked, InquiryStep::Ask(AskedOn::NewConnection), "{ms}");
        let end = QuestionEnd::NotReached;
        inquiry.on_end(AskedOn::NewConnection, end, after(ms + 350));
    }
}

/// Returns how an inquiry ends when its first question ends like this 1 ms later, if it ends then.
fn first_end(says_start: bool, earlier: EarlierConnection, end: QuestionEnd) -> Option<InquiryEnd> {
    let mut inquiry = inquiry(says_start, earlier);
    let InquiryStep::Ask(asked_on) = inquiry.step(after(0)) else {
        panic!("an inquiry begins with a question");
    };
    inquiry.on_end(asked_on, end, after(1));
    match inquiry.step(after(1)) {
        InquiryStep::Decided(end) => Some(end),
        InquiryStep::Ask(_) | InquiryStep::Wait { .. } => None,
    }
}

/// Only silence waits: a refusal, a crash and another start decide at once.
#[test]
fn answers_and_refusals_decide_at_once() {
    use EarlierConnection::{Idle, Missing, UsedLately};
    for evidence in [SenderEvidence::SameStart, SenderEvidence::OtherStart] {
        let answered = first_end(true, Missing, QuestionEnd::Answered(evidence));
        assert_eq!(answered, Some(InquiryEnd::Evidence(evidence)));
    }
    let failed = Some(InquiryEnd::Failed);
    assert_eq!(first_end(true, Missing, QuestionEnd::Refused), failed);
    assert_eq!(first_end(false, UsedLately, QuestionEnd::Broken), failed);
    assert_eq!(first_end(false, Missing, QuestionEnd::Broken), failed);
    assert_eq!(first_end(false, Idle, QuestionEnd::Broken), None);
    assert_eq!(first_end(true, Missing, QuestionEnd::Broken), None);
    assert_eq!(first_end(true, Missing, QuestionEnd::NotReached), None);
}

/// A sender that leaves may close its listener before it answers on the earlier connection.
#[test]
fn refusal_does_not_decide_while_an_earlier_connection_lives() {
    let mut inquiry = inquiry(false, EarlierConnection::UsedLately);
    inquiry.step(after(0));
    inquiry.step(after(400));
    inquiry.on_end(AskedOn::NewConnection, QuestionEnd::Refused, after(401));
    let step = inquiry.step(after(1_500));
    assert!(matches!(step, InquiryStep::Wait { .. }), "{step:?}");
    let end = QuestionEnd::Answered(SenderEvidence::SameStart);
    inquiry.on_end(AskedOn::EarlierConnection, end, after(2_000));
    let decided = InquiryEnd::Evidence(SenderEvidence::SameStart);
    assert_eq!(inquiry.step(after(2_000)), InquiryStep::Decided(decided));
}

/// After a pause of the router's process, its timer and an answer are due at once.
#[test]
fn answer_counts_that_arrived_while_the_router_was_paused() {
    let mut inquiry = inquiry(false, EarlierConnection::Missing);
    inquiry.step(after(0));
    let step = inquiry.step(after(9_000));
    assert!(matches!(step, InquiryStep::Wait { .. }), "{step:?}");
    let end = QuestionEnd::Answered(SenderEvidence::SameName);
    inquiry.on_end(AskedOn::NewConnection, end, after(9_010));
    let decided = InquiryEnd::Evidence(SenderEvidence::SameName);
    assert_eq!(inquiry.step(after(9_010)), InquiryStep::Decided(decided));
}
