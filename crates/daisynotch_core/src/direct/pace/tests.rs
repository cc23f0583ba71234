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
        slowdown.observe(400.0, 100.0);
    }
    assert!(slowdown.0 > 3.5, "{slowdown:?}");
    for _ in 0..60 {
        slowdown.observe(100.0, 100.0);
    }
    assert!(slowdown.0 < 1.1, "{slowdown:?}");
}
