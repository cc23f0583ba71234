//! Measures the policy under load: real [`daisynotch_core::Node`]s under a virtual clock.
//!
//! `cargo bench -p daisynotch_core --bench policy -- --scenario crest --routers 9`.
//! Seeds are fixed, so that every run prints the same table.

#[path = "policy/engine.rs"]
mod engine;
#[path = "policy/fleet.rs"]
mod fleet;
#[path = "policy/load.rs"]
mod load;
#[path = "policy/scenario.rs"]
mod scenario;

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
}
