use super::*;
use crate::plot::to_svg;

const BASELINES: [PolicyName; 4] = [
    PolicyName::Random,
    PolicyName::LeastOutstanding,
    PolicyName::PrefixOnly,
    PolicyName::PrefixLeastOutstanding,
];

fn experiment(name: &str) -> Experiment {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments");
    let text = std::fs::read_to_string(format!("{folder}/{name}.toml")).unwrap();
    let mut experiment: Experiment = text.parse().unwrap();
    experiment.seeds.truncate(1);
    // The faults have begun and mostly ended by then.
    experiment.length_s = experiment.length_s.min(9.0);
    experiment
}

#[test]
fn a_run_repeats_exactly() {
    let mut experiment = experiment("crash");
    experiment.length_s = 6.0;
    assert_eq!(run(&experiment), run(&experiment));
}

/// At every load of the repository, in goodput and for the worst served.
#[test]
fn the_product_s_decisions_beat_every_baseline() {
    for name in ["rush", "hot-team", "crash", "grey", "burst"] {
        let report = run(&experiment(name));
        let of = |policy, figure: fn(&Figures) -> f64| report.mean(policy, figure);
        for baseline in BASELINES {
            let (ours, theirs) = (
                of(PolicyName::Direct, |run| run.goodput),
                of(baseline, |run| run.goodput),
            );
            assert!(ours > theirs, "{name} {baseline:?}: {ours} and {theirs}");
            let (ours, theirs) = (
                of(PolicyName::Direct, |run| run.worst_teams),
                of(baseline, |run| run.worst_teams),
            );
            assert!(ours > theirs, "{name} {baseline:?}: {ours} and {theirs}");
        }
    }
}

#[test]
fn with_little_load_everything_is_served_on_time() {
    let mut experiment = experiment("rush");
    experiment
        .demand
        .iter_mut()
        .for_each(|demand| demand.per_s /= 20.0);
    experiment.policies = vec![PolicyName::Direct, PolicyName::LeastOutstanding];
    for run in run(&experiment).runs {
        assert!(
            run.goodput > 0.99,
            "{}: {}",
            run.policy.as_str(),
            run.goodput
        );
        assert_eq!(run.refusals, 0);
    }
}

/// Who is refused at once comes back, and is served while there is time.
#[test]
fn those_refused_in_a_short_burst_come_back() {
    let report = run(&experiment("burst"));
    let returned = report.mean(PolicyName::Direct, |run| run.returned_part);
    assert!(returned > 0.0);
}

#[test]
fn a_plot_has_a_line_for_each_policy() {
    let mut experiment = experiment("rush");
    experiment.length_s = 3.0;
    let svg = to_svg(&run(&experiment));
    assert_eq!(svg.matches("<polyline").count(), experiment.policies.len());
    assert!(!svg.contains("NaN"));
}
