use super::*;

const CONTENTS: [BodyContent; 5] = [
    BodyContent::Opaque,
    BodyContent::NoEvent,
    BodyContent::CompleteEvents,
    BodyContent::PartialEvent,
    BodyContent::EndMark,
];
const EVIDENCE: [Option<SenderEvidence>; 5] = [
    None,
    Some(SenderEvidence::SameStart),
    Some(SenderEvidence::SameName),
    Some(SenderEvidence::OtherStart),
    Some(SenderEvidence::NoAnswer),
];

/// The whole table, so that a change of any case shows.
#[test]
fn verdicts_on_bodies() {
    let mut lines = Vec::new();
    for delimiter in [Delimiter::Framing, Delimiter::Connection] {
        for content in CONTENTS {
            let verdicts =
                EVIDENCE.map(|evidence| EndVerdict::judge(delimiter, content, evidence).as_str());
            lines.push(format!(
                "{delimiter:?} {content:?}: {}",
                verdicts.join(", ")
            ));
        }
    }
    insta::assert_snapshot!(lines.join("\n"), @r"
    Framing Opaque: whole, whole, whole, whole, whole
    Framing NoEvent: whole, whole, whole, whole, whole
    Framing CompleteEvents: whole, whole, whole, whole, whole
    Framing PartialEvent: within_event, within_event, within_event, within_event, within_event
    Framing EndMark: whole, whole, whole, whole, whole
    Connection Opaque: ask_sender, whole, whole, other_start, unconfirmed
    Connection NoEvent: before_first_event, before_first_event, before_first_event, before_first_event, before_first_event
    Connection CompleteEvents: ask_sender, whole, whole, other_start, unconfirmed
    Connection PartialEvent: within_event, within_event, within_event, within_event, within_event
    Connection EndMark: whole, whole, whole, whole, whole
    ");
}

#[test]
fn start_decides_before_the_connection() {
    let status = |name: Option<&str>, started_unix_ms| EndpointStatus {
        name: name.map(Arc::from),
        started_unix_ms,
        cold_remaining: None,
    };
    let evidence = |status: &EndpointStatus, asked_on| {
        SenderEvidence::from_status("i-1", 1_000, status, asked_on)
    };
    for asked_on in [AskedOn::EarlierConnection, AskedOn::NewConnection] {
        let same = status(None, Some(1_000));
        assert_eq!(evidence(&same, asked_on), SenderEvidence::SameStart);
        let restarted = status(Some("i-1"), Some(1_001));
        assert_eq!(evidence(&restarted, asked_on), SenderEvidence::OtherStart);
        let other = status(Some("i-2"), None);
        assert_eq!(evidence(&other, asked_on), SenderEvidence::OtherStart);
    }
}

/// Without a start, a connection from before the end is the only proof, a name is weaker, and
/// anything else says nothing.
#[test]
fn connection_decides_if_the_start_is_not_said() {
    let named = EndpointStatus {
        name: Some(Arc::from("i-1")),
        started_unix_ms: None,
        cold_remaining: None,
    };
    let nameless = EndpointStatus::default();
    let evidence = |status: &EndpointStatus, asked_on| {
        SenderEvidence::from_status("i-1", 1_000, status, asked_on)
    };
    let (earlier, new) = (AskedOn::EarlierConnection, AskedOn::NewConnection);
    assert_eq!(evidence(&named, earlier), SenderEvidence::SameStart);
    assert_eq!(evidence(&nameless, earlier), SenderEvidence::SameStart);
    assert_eq!(evidence(&named, new), SenderEvidence::SameName);
    assert_eq!(evidence(&nameless, new), SenderEvidence::NoAnswer);
    // The store's entry did not say when the endpoint started.
    let started = EndpointStatus {
        name: None,
        started_unix_ms: Some(1_000),
        cold_remaining: None,
    };
    let unknown = SenderEvidence::from_status("i-1", 0, &started, new);
    assert_eq!(unknown, SenderEvidence::NoAnswer);
}
