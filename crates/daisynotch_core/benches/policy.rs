//! Benchmarks the scheduling policy by running [`daisynotch_core::Node`]s on a virtual clock.
//!
//! `cargo bench -p daisynotch_core --bench policy -- --scenario crest --routers 9`.
//! Seeds are fixed, so every run prints the same table. The benchmark also runs the loads in
//! `experiments/` with the decisions made without schedulers and their baselines;
//! docs/design/emulator.md describes the columns.

#[path = "policy/engine.rs"]
mod engine;
#[path = "policy/fleet.rs"]
mod fleet;
#[path = "policy/load.rs"]
mod load;
#[path = "policy/scenario.rs"]
mod scenario;

use daisynotch_emulator::Experiment;
use fleet::Policy;
use scenario::SCENARIOS;

fn main() {
    let mut arguments = pico_args::Arguments::from_env();
    let usage = "usage: policy [--scenario NAME] [--routers COUNT]";
    let only: Option<String> = arguments.opt_value_from_str("--scenario").expect(usage);
    let routers: Option<usize> = arguments.opt_value_from_str("--routers").expect(usage);
    println!(
        "scenario           measure                            target       ours     random      least"
    );
    for (name, run) in SCENARIOS {
        if only.as_ref().is_some_and(|only| only != name) {
            continue;
        }
        let columns = Policy::ALL.map(|policy| run(policy, routers.unwrap_or(9)));
        for (row, (measure, target, ours)) in columns[0].iter().enumerate() {
            let (random, least) = (columns[1][row].2, columns[2][row].2);
            println!(
                "{name:<18} {measure:<33} {target:>7} {ours:>10.3} {random:>10.3} {least:>10.3}"
            );
        }
    }
    run_experiments(only.as_deref());
}

/// Runs every experiment in `experiments/`, or only the named one, and prints its table.
fn run_experiments(only: Option<&str>) {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments");
    let files = std::fs::read_dir(folder).expect("the experiments folder should be readable");
    let mut paths: Vec<_> = files
        .map(|file| {
            file.expect("the experiments folder should list its entries")
                .path()
        })
        .collect();
    paths.sort();
    for path in paths {
        let text = std::fs::read_to_string(&path).expect("the experiment file should be readable");
        let experiment: Experiment = text.parse().expect("the experiment file should be valid");
        if only.is_none_or(|only| only == experiment.name) {
            println!("\n{}", experiment.name);
            println!("{}", daisynotch_emulator::run(&experiment).to_table());
        }
    }
}
