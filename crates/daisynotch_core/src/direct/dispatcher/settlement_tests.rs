//! Teams whose hints are wrong.

use super::tests::{at, digest, dispatcher, entry, spec};
use super::*;

const EVENTS: u64 = 250;
const EVENT_TOKENS: u64 = 4;

/// Two teams ask for three times the tokens that engines give, and do the same work. The hints of
/// the first are `times` what is generated. Returns the generated tokens of both.
fn play(times: f64) -> [u64; 2] {
    let mut dispatcher = dispatcher(40_000);
    let ids: Vec<EndpointId> = (0..4).map(|index| entry("models", index).id()).collect();
    let mut begins: Vec<(u64, RunId)> = Vec::new();
    let mut ends: Vec<(u64, RunId)> = Vec::new();
    let mut teams: HashMap<QueueId, usize> = HashMap::new();
    let mut generated = [0, 0];
    for ms in (0..24_000).step_by(20) {
        let now = at(ms);
        // The engines have enough to prefill that nothing beyond a share is sent.
        let busy = ids.iter().map(|endpoint| EndpointDigest {
            endpoint: *endpoint,
            unread_tokens: 4_000,
            running: 10,
            memory_tokens: 20_000,
            is_suspect: false,
        });
        dispatcher.on_digest(
            &Digest {
                endpoints: busy.collect(),
                ..digest()
            },
            now,
        );
        for (_, run) in begins.extract_if(.., |(at_ms, _)| *at_ms <= ms) {
            dispatcher.on_bytes(run, now);
        }
        for (_, run) in ends.extract_if(.., |(at_ms, _)| *at_ms <= ms) {
            dispatcher.on_event(run, EVENTS, now);
            dispatcher.on_ended(run, RunOutcome::Done, now);
        }
        if ms % 40 != 0 {
            continue;
        }
        for (team, times) in [(0, times), (1, 1.0)] {
            let mut request = spec(team, ms as u32, 400, now);
            request.answer_hint_tokens = Some(((EVENTS * EVENT_TOKENS) as f64 * times) as u32);
            request.answer_max_tokens = 20_000;
            dispatcher.estimate_answer(&mut request, now);
            dispatcher.on_request(&request, now);
            teams.insert(dispatcher.submit(request), team as usize);
        }
        for (id, verdict) in dispatcher.decide_waiting(now) {
            if let Verdict::Send(grant) = verdict {
                begins.push((ms + 145, grant.run));
                ends.push((ms + 1_000, grant.run));
                // Hints are learned in the first seconds.
                if ms >= 4_000 {
                    generated[teams[&id]] += EVENTS * EVENT_TOKENS;
                }
            }
        }
    }
    generated
}

/// Shares were charged for what was hinted, so a team whose hints were ten times too low got
/// several times as much as another one.
#[test]
fn a_team_gains_nothing_by_wrong_hints() {
    let [honest, other] = play(1.0);
    let ratio = |tokens: u64, of: u64| tokens as f64 / of as f64;
    assert!(
        (0.9..1.1).contains(&ratio(honest, other)),
        "{honest} {other}"
    );
    for times in [0.1, 10.0] {
        let [lying, other] = play(times);
        assert!(
            (0.7..1.1).contains(&ratio(lying, other)),
            "{times}: {lying} and {other}"
        );
    }
}
