use super::*;

#[test]
fn the_model_converges_to_the_speed_of_the_engines() {
    let mut model = FirstTokenModel::default();
    for sample in 0..600_u32 {
        let tokens = f64::from(sample % 10) * 2_000.0;
        let taken_ms = 40.0 + tokens * 0.02;
        model.observe(tokens, Duration::from_secs_f64(taken_ms / 1e3));
    }
    assert!((model.base_ms() - 40.0).abs() < 8.0, "{model:?}");
    assert!((model.prefill_ms(1_000.0) - 20.0).abs() < 2.0, "{model:?}");
}

#[test]
fn identical_samples_keep_the_model_within_bounds() {
    let mut model = FirstTokenModel::default();
    for _ in 0..10_000 {
        model.observe(500.0, Duration::from_millis(5));
    }
    assert!(model.prefill_ms(1.0) >= TOKEN_MS_RANGE.0);
    assert!(model.base_ms() >= BASE_MS_RANGE.0);
}

#[test]
fn the_slowdown_of_an_endpoint_rises_and_recovers() {
    let mut slowdown = Slowdown::default();
    for _ in 0..30 {
        slowdown.observe_plain(400.0, 100.0);
    }
    assert!(slowdown.usual > 3.5, "{slowdown:?}");
    for _ in 0..60 {
        slowdown.observe_plain(100.0, 100.0);
    }
    assert!(slowdown.usual < 1.1, "{slowdown:?}");
}

fn at(ms: u64) -> Timestamp {
    Timestamp(100_000_000 + ms * 1_000)
}

/// Guards against a slowdown that is learned from what it was scaled by: an engine that takes 2.5
/// times as long converged to the root of that.
#[test]
fn few_answers_tell_the_speed_of_an_engine() {
    for usual in [0.6, 1.0, 1.6, 2.5] {
        let mut slowdown = Slowdown::default();
        for answer in 0..8 {
            slowdown.observe_answer(200.0 * usual, 200.0, at(answer * 500));
        }
        let learned = slowdown.factor(at(5_000));
        assert!((learned / usual).ln().abs() < 0.25, "{usual}: {learned}");
    }
}

/// Plays the events of ten streams, each of four tokens and steps of 6 ms, for `ms`.
fn play_events(slowdown: &mut Slowdown, from_ms: u64, ms: u64, times: f64) {
    let pause_ms = 24.0 * times;
    let rounds = (ms as f64 / pause_ms) as u64;
    for event in 1..=rounds * 10 {
        let now = at(from_ms) + Duration::from_secs_f64(event as f64 * pause_ms / 1e4);
        slowdown.observe_pause(Duration::from_secs_f64(pause_ms / 1e3), now);
    }
}

/// An engine is 2.5 times as slow for 0.6 s. Guards against requests that are sent there for as long
/// as answers take to show it, and against an engine that is avoided long afterwards.
#[test]
fn pauses_of_streams_tell_a_slow_moment_and_its_end() {
    let mut slowdown = Slowdown::default();
    play_events(&mut slowdown, 0, 2_000, 1.0);
    assert!((slowdown.factor(at(2_000)) - 1.0).abs() < 0.01);
    play_events(&mut slowdown, 2_000, 120, 2.5);
    assert!(slowdown.factor(at(2_120)) > 1.5, "{slowdown:?}");
    play_events(&mut slowdown, 2_120, 480, 2.5);
    assert!(slowdown.factor(at(2_600)) > 1.8, "{slowdown:?}");
    play_events(&mut slowdown, 2_600, 120, 1.0);
    assert!(slowdown.factor(at(2_720)) < 1.1, "{slowdown:?}");
}

#[test]
fn a_slow_moment_without_further_samples_ends() {
    let mut slowdown = Slowdown::default();
    for answer in 0..20 {
        slowdown.observe_answer(100.0, 100.0, at(answer * 100));
    }
    slowdown.observe_answer(400.0, 100.0, at(2_000));
    assert!(slowdown.factor(at(2_000)) > 2.0, "{slowdown:?}");
    assert!(slowdown.factor(at(2_700)) < 1.1, "{slowdown:?}");
}

#[test]
fn the_speed_that_another_router_learned_counts_until_the_first_answer() {
    let mut slowdown = Slowdown::default();
    slowdown.on_peer(1.6);
    assert_eq!((slowdown.factor(at(0)), slowdown.learned()), (1.6, None));
    slowdown.observe_answer(160.0, 100.0, at(0));
    slowdown.on_peer(0.6);
    assert!((slowdown.factor(at(0)) - 1.6).abs() < 0.01, "{slowdown:?}");
}
