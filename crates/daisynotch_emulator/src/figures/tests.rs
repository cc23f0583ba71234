use daisynotch_core::direct::Part;

use super::*;

fn experiment() -> Experiment {
    let text = std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../experiments/rush.toml"
    ));
    text.unwrap().parse().unwrap()
}

fn request(team: u32, tokens: u32) -> Request {
    Request {
        arrives_us: 500_000,
        demand: 0,
        team,
        router: 0,
        parts: vec![Part { id: 1, tokens }],
        events: 17,
        hint_tokens: 51,
        is_fatal: false,
    }
}

#[test]
fn requests_beyond_the_fair_share_are_not_owed() {
    let mut experiment = experiment();
    experiment.length_s = 1.0;
    experiment.sharing.tokens_per_s = 1_000;
    // Each response counts 102 tokens: team 1 requests 1,102 tokens and team 2 requests 302.
    let requests = [request(1, 1_000), request(2, 200)];
    let fractions = owed_fractions(&experiment, &requests);
    assert!((fractions[&2] - 1.0).abs() < 1e-9);
    assert!((fractions[&1] - 698.0 / 1_102.0).abs() < 1e-9);
}

#[test]
fn a_late_response_earns_less_and_an_incomplete_one_nothing() {
    let experiment = experiment();
    let requests = [
        request(1, 10),
        request(1, 10),
        request(1, 10),
        request(1, 10),
    ];
    let on_time = Outcome {
        first_event_us: Some(600_000),
        pause_max_us: 300_000,
        is_complete: true,
        refusals: 0,
    };
    let outcomes = [
        on_time,
        Outcome {
            first_event_us: Some(600_001),
            ..on_time
        },
        Outcome {
            pause_max_us: 300_001,
            refusals: 1,
            ..on_time
        },
        Outcome {
            is_complete: false,
            refusals: 2,
            ..on_time
        },
    ];
    let figures = figures(
        &experiment,
        PolicyName::Direct,
        1,
        &requests,
        &outcomes,
        &[],
        &Crashes::default(),
    );
    assert!((figures.goodput - (3.3 + 1.0 + 1.0) / (4.0 * 3.3)).abs() < 1e-9);
    assert_eq!((figures.refusals, figures.returned_part), (3, 0.5));
}
