use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::*;
use crate::direct::{Part, Parts};

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

fn spec(team: u32, session: u32, hint: Option<u32>) -> RequestSpec {
    let part = |id| Part { id, tokens: 100 };
    RequestSpec {
        service: Arc::from("models"),
        route: Arc::from("chat"),
        team: Some(team),
        parts: Parts::from_slice(&[part(1), part(10 + session), part(1_000)]),
        answer_hint_tokens: hint,
        answer_max_tokens: 100_000,
        ..RequestSpec::default()
    }
}

/// Draws a log-normally distributed length with a median.
fn draw(rng: &mut StdRng, median: f64, deviation: f64) -> u64 {
    let sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
    (median * (deviation * (sum - 6.0)).exp()).round().max(1.0) as u64
}

/// Plays 400 requests whose lengths differ thirty times, with hints that are off by `times`, and
/// returns the root mean square error of the logarithm over the latter half, and the part of answers
/// above the upper estimate.
fn play(hint_deviation: f64, times: f64) -> (f64, f64) {
    let mut rng = StdRng::seed_from_u64(7);
    let mut lengths = AnswerLengths::default();
    let (mut errors, mut longer) = (Vec::new(), 0.0);
    for request in 0..400 {
        let events = draw(&mut rng, 50.0, 0.85);
        let hint = draw(&mut rng, events as f64 * 4.0 * times, hint_deviation);
        let spec = spec(1, request as u32 % 8, Some(hint as u32));
        let now = at(request * 50);
        let estimate = lengths.estimate(&spec, now);
        if request >= 200 {
            let event_tokens = lengths.event_tokens("models");
            errors.push(
                (events as f64 / f64::from(estimate.events.max(1)))
                    .ln()
                    .powi(2),
            );
            longer += f64::from(events as f64 * event_tokens > f64::from(estimate.upper_tokens));
        }
        lengths.on_complete(&AnswerKeys::new(&spec), events, now);
    }
    let mean = errors.iter().sum::<f64>() / errors.len() as f64;
    (mean.sqrt(), longer / errors.len() as f64)
}

/// Guards against a change for callers before anything is known, and against odd hints.
#[test]
fn without_observations_the_hint_or_half_of_the_maximum_is_expected() {
    let lengths = AnswerLengths::default();
    for (hint, max, expected) in [
        (Some(35), 80, 35),
        (Some(u32::MAX), 80, 80),
        (Some(0), 80, 0),
        (None, 80, 40),
        (None, 0, 0),
        (Some(35), 0, 0),
        (None, u32::MAX, u32::MAX / 2),
    ] {
        let spec = RequestSpec {
            answer_max_tokens: max,
            ..spec(1, 1, hint)
        };
        let estimate = lengths.estimate(&spec, at(0));
        assert_eq!(estimate.tokens, expected, "{hint:?} of {max}");
        assert!(estimate.upper_tokens >= expected && estimate.upper_tokens <= max);
    }
}

/// Requests look alike and their answers differ thirty times. The hint alone is off by its
/// deviation of 1.0, or by a factor of ten.
#[test]
fn hints_count_as_far_as_they_proved_right() {
    for (hint_deviation, times, error_max) in [
        (0.1, 1.0, 0.25),
        (1.0, 1.0, 0.85),
        (0.1, 0.1, 0.25),
        (0.1, 10.0, 0.25),
    ] {
        let (error, longer) = play(hint_deviation, times);
        assert!(error < error_max, "{hint_deviation} {times}: {error}");
        assert!(
            (0.02..0.25).contains(&longer),
            "{hint_deviation} {times}: {longer}"
        );
    }
}

/// Guards against a team whose wrong hints spoil the estimates of others.
#[test]
fn a_team_that_lies_only_spoils_its_own_estimates() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut lengths = AnswerLengths::default();
    for request in 0..300_u64 {
        let team = (request % 4) as u32;
        let events = draw(&mut rng, 50.0, 0.8);
        let lie = if team == 0 { 10.0 } else { 1.0 };
        let spec = spec(team, 1, Some((events as f64 * 4.0 * lie) as u32));
        lengths.on_complete(&AnswerKeys::new(&spec), events, at(request * 20));
    }
    let now = at(6_000);
    let honest = lengths.estimate(&spec(1, 1, Some(400)), now);
    assert!((70..150).contains(&honest.events), "{honest:?}");
    let lying = lengths.estimate(&spec(0, 1, Some(4_000)), now);
    assert!((70..150).contains(&lying.events), "{lying:?}");
    let event_tokens = lengths.event_tokens("models");
    assert!((3.5..4.6).contains(&event_tokens), "{event_tokens}");
}

/// The work shifts from long prompts to long answers within a second.
#[test]
fn a_shift_of_the_work_shows_within_seconds() {
    let mut lengths = AnswerLengths::default();
    let mut shown_after_ms = None;
    for request in 0..400_u64 {
        let now = at(request * 50);
        let events = if request < 200 { 10 } else { 120 };
        let spec = spec(request as u32 % 16, request as u32 % 8, None);
        let estimate = lengths.estimate(&spec, now);
        if request >= 200 && estimate.events >= 60 {
            shown_after_ms.get_or_insert((request - 200) * 50);
        }
        lengths.on_complete(&AnswerKeys::new(&spec), events, now);
    }
    let shown_after_ms = shown_after_ms.expect("the shift should show");
    assert!(shown_after_ms <= 3_000, "{shown_after_ms}");
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut lengths = AnswerLengths::default();
    for request in 0..20_000 {
        let spec = spec(request, request, Some(5));
        lengths.on_complete(&AnswerKeys::new(&spec), 10, at(0));
    }
    assert!(lengths.statistics.by_key.len() <= STATISTICS_MAX);
    let teams = &lengths.event_tokens["models"].by_team;
    assert!(teams.len() <= HINTING_TEAMS_MAX);
}

#[test]
fn extreme_lengths_and_hints_stay_finite() {
    let mut lengths = AnswerLengths::default();
    let hints = [None, Some(0), Some(1), Some(u32::MAX)];
    for (request, hint) in (0_u64..).zip(hints.into_iter().cycle().take(200)) {
        let events = [0, 1, u64::MAX][request as usize % 3];
        let spec = RequestSpec {
            answer_max_tokens: [0, 1, u32::MAX][request as usize % 3],
            ..spec(1, 1, hint)
        };
        let now = at(request / 3 * 1_000) + Duration::from_secs(request % 5 * 100_000);
        lengths.on_complete(&AnswerKeys::new(&spec), events, now);
        let estimate = lengths.estimate(&spec, now);
        assert!(estimate.upper_tokens >= estimate.tokens);
    }
}
