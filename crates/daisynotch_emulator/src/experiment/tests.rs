use super::*;

fn text() -> String {
    std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../experiments/rush.toml"
    ))
    .unwrap()
}

fn error(text: &str) -> String {
    text.parse::<Experiment>().unwrap_err().to_string()
}

#[test]
fn every_experiment_of_the_repository_can_be_read() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments");
    for file in std::fs::read_dir(folder).unwrap() {
        let path = file.unwrap().path();
        let text = std::fs::read_to_string(&path).unwrap();
        let experiment: Experiment = text.parse().unwrap();
        assert_eq!(path.file_stem().unwrap().to_str().unwrap(), experiment.name);
    }
}

#[test]
fn errors_name_the_key_and_what_is_allowed() {
    insta::assert_snapshot!(
        error(&text().replace("digest_ms = 75", "digest_ms = 0")),
        @"`fleet.digest_ms` is 0, but must be 1 or more"
    );
    insta::assert_snapshot!(
        error(&text().replace("pinned_teams_part = 0.4", "pinned_teams_part = 1.5")),
        @"`fleet.pinned_teams_part` is 1.5, but must be from 0 to 1"
    );
    insta::assert_snapshot!(
        error(&text().replace("own_tokens = 2890", "own_tokens = 800000")),
        @"`demand.long.own_tokens` is 800000, but must be less than the memory of an engine, at twice its own tokens"
    );
    insta::assert_snapshot!(
        error(&text().replace("seeds = [1, 2, 3]", "seeds = []")),
        @"`seeds` is empty, but must be one seed or more"
    );
}

#[test]
fn unknown_keys_and_policies_are_errors() {
    assert!(error(&text().replace("digest_ms", "digests_ms")).contains("unknown field"));
    assert!(error(&text().replace("\"random\"", "\"chance\"")).contains("unknown variant"));
}
