use super::*;

const TEAM: TeamId = TeamId(1);
const BOOKING: RequestFingerprint = RequestFingerprint(7);

fn peer(router: u64, incarnation: u64) -> Peer {
    Peer {
        router: RouterId(router),
        incarnation: Incarnation(incarnation),
    }
}

fn records(own: Peer) -> IdempotencyRecords<&'static str> {
    IdempotencyRecords::new(own, IdempotencySettings::default())
}

fn minted(prefix: KeyPrefix, number: u32) -> IdempotencyKey {
    let text = format!("{prefix}.{number}");
    text.parse().expect("a minted key is valid")
}

fn caller_key(text: &str) -> IdempotencyKey {
    text.parse().expect("the text is a valid key")
}

fn at_s(seconds: u64) -> Timestamp {
    Timestamp(seconds * 1_000_000)
}

fn done() -> KeyOutcome<&'static str> {
    KeyOutcome::Done {
        answer: "booked",
        size_bytes: 6,
    }
}

#[test]
fn minted_key_round_trips_through_its_text() {
    let prefix = KeyPrefix {
        owner: peer(u64::MAX, 17),
        window: MintWindow(255),
    };
    insta::assert_snapshot!(prefix, @"dn1-ffffffffffffffff-0000000000000011-ff");
    assert_eq!(minted(prefix, 4).prefix(), Some(prefix));
    assert_eq!(caller_key("order-17").prefix(), None);
}

#[test]
fn malformed_keys_are_rejected() {
    let malformed = ["", "two words", &"x".repeat(KEY_MAX_BYTES + 1), "clé"];
    for text in malformed {
        assert_eq!(text.parse::<IdempotencyKey>(), Err(KeyError::Malformed));
    }
    for text in [
        "dn1-",
        "dn1-1-2-3",
        "dn1-1-2-3.",
        "dn1-1-2-3-4.5",
        "dn1-x-2-3.4",
    ] {
        let error = text.parse::<IdempotencyKey>();
        assert_eq!(error, Err(KeyError::MalformedPrefix), "{text}");
    }
}

#[test]
fn parsing_preserves_the_text_of_a_valid_key() {
    bolero::check!().for_each(|bytes| {
        let text = String::from_utf8_lossy(bytes);
        if let Ok(key) = text.parse::<IdempotencyKey>() {
            assert_eq!(key.as_str(), text);
        }
    });
}

#[test]
fn retry_returns_the_stored_response() {
    let mut records = records(peer(1, 1));
    let key = minted(records.prefix(at_s(0)), 1);
    assert_eq!(
        records.begin(TEAM, &key, BOOKING, at_s(0)),
        KeyDecision::Run
    );
    let second = records.begin(TEAM, &key, BOOKING, at_s(1));
    assert_eq!(second, KeyDecision::InFlight);
    records.finish(TEAM, &key, done());
    for _ in 0..2 {
        let later = records.begin(TEAM, &key, BOOKING, at_s(2));
        assert_eq!(later, KeyDecision::Done(Some("booked")));
    }
}

#[test]
fn key_that_did_not_run_may_run_again() {
    let mut records = records(peer(1, 1));
    let key = minted(records.prefix(at_s(0)), 1);
    records.begin(TEAM, &key, BOOKING, at_s(0));
    records.finish(TEAM, &key, KeyOutcome::NotRun);
    assert_eq!(
        records.begin(TEAM, &key, BOOKING, at_s(1)),
        KeyDecision::Run
    );
}

#[test]
fn key_of_another_incarnation_never_runs_here() {
    let before = records(peer(1, 1));
    let mut restarted = records(peer(1, 2));
    let mut other = records(peer(2, 1));
    let key = minted(before.prefix(at_s(0)), 1);
    let elsewhere = KeyDecision::OtherOwner(peer(1, 1));
    assert_eq!(restarted.begin(TEAM, &key, BOOKING, at_s(0)), elsewhere);
    assert_eq!(other.begin(TEAM, &key, BOOKING, at_s(0)), elsewhere);
    assert!(restarted.is_empty() && other.is_empty());
}

#[test]
fn key_with_an_expired_record_never_runs_again() {
    let mut records = records(peer(1, 1));
    let settings = IdempotencySettings::default();
    let key = minted(records.prefix(at_s(59)), 1);
    assert_eq!(
        records.begin(TEAM, &key, BOOKING, at_s(59)),
        KeyDecision::Run
    );
    records.finish(TEAM, &key, done());
    let last = at_s(60) + settings.keep - Duration::from_micros(1);
    let stored = records.begin(TEAM, &key, BOOKING, last);
    assert_eq!(stored, KeyDecision::Done(Some("booked")));
    let expired = at_s(60) + settings.keep;
    assert_eq!(
        records.begin(TEAM, &key, BOOKING, expired),
        KeyDecision::Unknown
    );
    assert!(records.is_empty());
}

#[test]
fn prefix_from_a_future_period_is_rejected() {
    let mut records = records(peer(1, 1));
    let mut prefix = records.prefix(at_s(0));
    prefix.window = MintWindow(u64::MAX);
    let decision = records.begin(TEAM, &minted(prefix, 1), BOOKING, at_s(0));
    assert_eq!(decision, KeyDecision::Unknown);
}

#[test]
fn record_limit_applies_per_team() {
    let mut records = records(peer(1, 1));
    let settings = IdempotencySettings::default();
    let prefix = records.prefix(at_s(0));
    for number in 0..=u32::try_from(settings.team_records_max).expect("the limit fits into u32") {
        let decision = records.begin(TEAM, &minted(prefix, number), BOOKING, at_s(0));
        let is_full = number as usize == settings.team_records_max;
        assert_eq!(decision == KeyDecision::Full, is_full);
    }
    let other = records.begin(TeamId(2), &minted(prefix, 0), BOOKING, at_s(0));
    assert_eq!(other, KeyDecision::Run);
    assert_eq!(records.len(), settings.team_records_max + 1);
}

#[test]
fn response_beyond_the_limit_is_not_stored_and_the_key_never_runs_again() {
    let mut records = records(peer(1, 1));
    let key = minted(records.prefix(at_s(0)), 1);
    records.begin(TEAM, &key, BOOKING, at_s(0));
    let size_bytes = IdempotencySettings::default().team_answers_max_bytes + 1;
    let answer = "long";
    records.finish(TEAM, &key, KeyOutcome::Done { answer, size_bytes });
    let retried = records.begin(TEAM, &key, BOOKING, at_s(1));
    assert_eq!(retried, KeyDecision::Done(None));
}

#[test]
fn key_is_bound_to_one_request_and_one_team() {
    let mut records = records(peer(1, 1));
    let key = caller_key("order-17");
    records.begin(TEAM, &key, BOOKING, at_s(0));
    let other = RequestFingerprint(8);
    assert_eq!(
        records.begin(TEAM, &key, other, at_s(0)),
        KeyDecision::Mismatch
    );
    let other_team = records.begin(TeamId(2), &key, BOOKING, at_s(0));
    assert!(matches!(other_team, KeyDecision::Claim(_)));
}

/// A retry must reuse the claim number: the write of the abandoned claim may still take effect.
#[test]
fn retry_of_a_caller_chosen_key_reuses_its_claim_number() {
    let mut records = records(peer(1, 1));
    let key = caller_key("order-17");
    let first = records.begin(TEAM, &key, BOOKING, at_s(0));
    records.finish(TEAM, &key, KeyOutcome::NotRun);
    assert_eq!(records.begin(TEAM, &key, BOOKING, at_s(1)), first);
    records.forget(TEAM, &key);
    assert_ne!(records.begin(TEAM, &key, BOOKING, at_s(2)), first);
}

/// The observed outcomes of a key under a random sequence of retries, outcomes and restarts.
#[derive(Debug, Default)]
struct Model {
    runs: u32,
    has_ended_unknown: bool,
}

/// Under any order of retries, outcomes, restarts and pauses, a key runs at most once and is
/// never reported as not run after it ran.
#[test]
fn minted_key_runs_at_most_once_in_any_schedule() {
    bolero::check!()
        .with_type::<Vec<(u8, u8)>>()
        .for_each(|steps| {
            let mut now = at_s(0);
            let mut incarnation = 1;
            let mut owner = records(peer(1, incarnation));
            let key = minted(owner.prefix(now), 1);
            let mut model = Model::default();
            for (step, amount) in steps {
                now = now + Duration::from_secs(u64::from(*amount));
                match step % 5 {
                    0 | 1 => {
                        if owner.begin(TEAM, &key, BOOKING, now) == KeyDecision::Run {
                            assert_eq!(model.runs, 0, "a key that ran must not run again");
                            assert!(!model.has_ended_unknown);
                        }
                    }
                    2 => {
                        let before = owner.begin(TEAM, &key, BOOKING, now);
                        if matches!(before, KeyDecision::InFlight | KeyDecision::Run) {
                            model.runs += 1;
                            owner.finish(TEAM, &key, done());
                        }
                    }
                    3 => {
                        let before = owner.begin(TEAM, &key, BOOKING, now);
                        if matches!(before, KeyDecision::InFlight | KeyDecision::Run) {
                            model.has_ended_unknown = true;
                            owner.finish(TEAM, &key, KeyOutcome::Unknown);
                        }
                    }
                    _ if amount % 16 == 0 => {
                        incarnation += 1;
                        owner = records(peer(1, incarnation));
                    }
                    _ => owner.finish(TEAM, &key, KeyOutcome::NotRun),
                }
                assert!(model.runs <= 1);
            }
        });
}
