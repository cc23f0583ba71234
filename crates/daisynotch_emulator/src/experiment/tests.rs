use super::*;

fn rush_text() -> String {
    std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../experiments/rush.toml"
    ))
    .unwrap()
}

fn error_message(text: &str) -> String {
    text.parse::<Experiment>().unwrap_err().to_string()
}

#[test]
fn every_experiment_in_the_repository_parses() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments");
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let experiment: Experiment = text.parse().unwrap();
        assert_eq!(path.file_stem().unwrap().to_str().unwrap(), experiment.name);
    }
}

#[test]
fn errors_name_the_key_and_the_allowed_values() {
    insta::assert_snapshot!(
        error_message(&rush_text().replace("digest_ms = 75", "digest_ms = 0")),
        @"`fleet.digest_ms` is 0, but must be 1 or more"
    );
    insta::assert_snapshot!(
        error_message(&rush_text().replace("pinned_teams_part = 0.4", "pinned_teams_part = 1.5")),
        @"`fleet.pinned_teams_part` is 1.5, but must be from 0 to 1"
    );
    insta::assert_snapshot!(
        error_message(&rush_text().replace("own_tokens = 2890", "own_tokens = 800000")),
        @"`demand.long.own_tokens` is 800000, but must be so small that `shared_tokens + session_tokens + 2 * own_tokens` is below `engines.memory_tokens`"
    );
    insta::assert_snapshot!(
        error_message(&rush_text().replace("seeds = [1, 2, 3]", "seeds = []")),
        @"`seeds` is empty, but must be one seed or more"
    );
}

#[test]
fn unknown_keys_and_policies_are_rejected() {
    assert!(
        error_message(&rush_text().replace("digest_ms", "digests_ms")).contains("unknown field")
    );
    assert!(
        error_message(&rush_text().replace("\"random\"", "\"chance\"")).contains("unknown variant")
    );
}
