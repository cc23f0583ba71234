//! Runs the `daisynotch` binary and checks its output, exit codes and files.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Output;

use daisynotch_standins::KeyValueStandin;

const OBJECTS: &str = r#"
[team.kaolack-1]
weight = 2
[team.kaolack-2]
[pool.conseil-lm]
kind = "inference"
[route.conseil]
pool = "conseil-lm"
model = "conseil-lm"
"#;

/// A directory for the files of one test.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(test: &str) -> Self {
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&path).expect("the directory can be created");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("the file can be written");
        path.display().to_string()
    }
}

/// Runs the binary on a blocking thread, which leaves the runtime free to serve the fake.
async fn run(key_value: SocketAddr, arguments: &[&str]) -> (i32, String) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_daisynotch"));
    command.args(arguments).arg("--key-value");
    command.arg(key_value.to_string()).env("USER", "awa");
    let output = tokio::task::spawn_blocking(move || command.output());
    let output = output.await.expect("the blocking task does not panic");
    let Output {
        status,
        stdout,
        stderr,
    } = output.expect("the command starts");
    let text = [stdout, stderr].concat();
    let text = String::from_utf8(text).expect("the output is UTF-8");
    (
        status.code().expect("the command exits without a signal"),
        text,
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_diff_and_get_report_changes_and_exit_codes() {
    let service = KeyValueStandin::start().await.expect("the fake starts");
    let address = service.address();
    let directory = TestDirectory::new("objects_are_applied");
    let first = directory.write("first.toml", OBJECTS);
    let second = directory.write("second.toml", "[team.kaolack-1]\nweight = 5\n");

    let mut log = String::new();
    let steps: [&[&str]; 10] = [
        &["apply", &first, "--dry-run"],
        &["apply", &first, "--summary", "the first objects"],
        &["apply", &first],
        &["diff", &second],
        &[
            "apply",
            &second,
            "--delete",
            "team/kaolack-2",
            "--base",
            "1",
        ],
        &["get", "team"],
        &["get", "team/kaolack-2"],
        &["apply", "--delete", "pool/conseil-lm"],
        &["apply", "--delete", "team/kaolack-9"],
        &["apply", &second, "--base", "1"],
    ];
    for arguments in steps {
        let (code, text) = run(address, arguments).await;
        let shown_arguments: Vec<&str> = arguments
            .iter()
            .map(|argument| argument.rsplit('/').next().unwrap_or(argument))
            .collect();
        log += &format!("$ {}\n{text}exit code {code}\n", shown_arguments.join(" "));
    }
    insta::assert_snapshot!(log, @r"
    $ apply first.toml --dry-run
    + team/kaolack-1
    + team/kaolack-2
    + pool/conseil-lm
    + route/conseil
    nothing was changed
    exit code 0
    $ apply first.toml --summary the first objects
    + team/kaolack-1
    + team/kaolack-2
    + pool/conseil-lm
    + route/conseil
    revision 1 is published
    exit code 0
    $ apply first.toml
    no difference from revision 1
    nothing was changed
    exit code 0
    $ diff second.toml
    ~ team/kaolack-1
        weight: 2 -> 5
    exit code 0
    $ apply second.toml --delete kaolack-2 --base 1
    ~ team/kaolack-1
        weight: 2 -> 5
    - team/kaolack-2
    revision 2 is published
    exit code 0
    $ get team
    # revision 2
    [team.kaolack-1]
    weight = 5
    exit code 0
    $ get kaolack-2
    daisynotch: team/kaolack-2 does not exist: `daisynotch get` lists all
    exit code 1
    $ apply --delete conseil-lm
    daisynotch: nothing was changed, the objects have errors:
      route/conseil refers to pool/conseil-lm, which does not exist: add pool/conseil-lm or change the reference
    exit code 2
    $ apply --delete kaolack-9
    daisynotch: nothing was changed: team/kaolack-9 can't be deleted, as it does not exist: check its name with `daisynotch get`
    exit code 2
    $ apply second.toml --base 1
    daisynotch: conflict: nothing was changed, as others have published up to revision 2:
      revision 2 by awa: team/kaolack-1, team/kaolack-2
    compare with `daisynotch diff`, then apply again
    exit code 3
    ");
}

#[tokio::test(flavor = "multi_thread")]
async fn prune_deletes_objects_missing_from_the_file() {
    let service = KeyValueStandin::start().await.expect("the fake starts");
    let directory = TestDirectory::new("prune");
    let first = directory.write("first.toml", OBJECTS);
    let second = directory.write("second.toml", "[team.kaolack-2]\n");
    let (code, _) = run(service.address(), &["apply", &first]).await;
    assert_eq!(code, 0);
    let (code, text) = run(service.address(), &["apply", &second, "--prune"]).await;
    assert_eq!(code, 0);
    insta::assert_snapshot!(text, @r"
    - team/kaolack-1
    - pool/conseil-lm
    - route/conseil
    revision 2 is published
    ");
}

/// `apply` succeeds if only the responses to its writes are lost, exits with 4 if the service goes
/// down before it responds to the publication, and with 1 if the service is already down.
#[tokio::test(flavor = "multi_thread")]
async fn apply_exit_code_tells_lost_responses_from_outages() {
    let service = KeyValueStandin::start().await.expect("the fake starts");
    let address = service.address();
    let directory = TestDirectory::new("lost_answers");
    let first = directory.write("first.toml", OBJECTS);
    service.lose_responses(2);
    let (code, text) = run(address, &["apply", &first]).await;
    assert_eq!(code, 0, "{text}");

    // The team is alone in its bucket, so its deletion writes no chunk: the first write is the
    // head, after which the service goes down without responding.
    service.go_down_after_next_write();
    let (code, text) = run(address, &["apply", "--delete", "team/kaolack-2"]).await;
    assert_eq!(code, 4, "{text}");
    assert!(text.contains("unknown"), "{text}");
    let (code, text) = run(address, &["apply", &first]).await;
    assert_eq!(code, 1, "{text}");

    service.set_down(false);
    let (code, text) = run(address, &["history", "--json"]).await;
    assert_eq!(code, 0, "{text}");
    let history: serde_json::Value = serde_json::from_str(&text).expect("the output is JSON");
    assert_eq!(history[0]["revision"], 2);
    assert_eq!(history[0]["author"], "awa");
    assert_eq!(history[0]["objects"][0]["name"], "kaolack-2");
}

/// The table and the page report a router that does not respond as missing, not as zero.
#[tokio::test]
async fn burn_report_names_missing_routers() {
    let key_value = KeyValueStandin::start().await.expect("the fake starts");
    let directory = TestDirectory::new("burn");
    let page = directory.write("burn.html", "");
    let samples = directory.write("burn.jsonl", "");
    let arguments = [
        "report",
        "burn",
        "--router",
        "127.0.0.1:1",
        "--html",
        &page,
        "--samples",
        &samples,
    ];
    for runs in 1..=2 {
        let (code, text) = run(key_value.address(), &arguments).await;
        assert_eq!(code, 0, "{text}");
        assert!(text.contains("router 127.0.0.1:1 is missing"), "{text}");
        let stored = std::fs::read_to_string(&samples).expect("the samples file is readable");
        assert_eq!(stored.lines().count(), runs, "{stored}");
    }
    let page = std::fs::read_to_string(&page).expect("the page is readable");
    assert!(page.contains("Router 127.0.0.1:1 is missing"), "{page}");
}

#[test]
fn experiment_prints_a_line_per_policy_and_writes_a_plot() {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let text = include_str!("../../../experiments/rush.toml")
        .replace("length_s = 8.0", "length_s = 1.0")
        .replace("seeds = [1, 2, 3]", "seeds = [1]");
    let (file, plot) = (
        directory.join("experiment.toml"),
        directory.join("plot.svg"),
    );
    std::fs::write(&file, text).unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_daisynotch"))
        .arg("experiment")
        .arg(&file)
        .arg("--plot")
        .arg(&plot)
        .output()
        .unwrap();
    let printed = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{printed}");
    assert_eq!(printed.lines().count(), 6, "{printed}");
    assert!(std::fs::read_to_string(plot).unwrap().starts_with("<svg"));
}

#[test]
fn invalid_experiment_error_names_file_and_key() {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let text = include_str!("../../../experiments/rush.toml").replace("routers = 6", "routers = 0");
    let file = directory.join("wrong-experiment.toml");
    std::fs::write(&file, text).unwrap();
    let output = std::process::Command::new(env!("CARGO_BIN_EXE_daisynotch"))
        .arg("experiment")
        .arg(&file)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.contains("wrong-experiment.toml"), "{error}");
    assert!(
        error.contains("`fleet.routers` is 0, but must be 1 or more"),
        "{error}"
    );
}
