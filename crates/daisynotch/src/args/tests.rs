use super::*;

fn parse_error(arguments: &[&str]) -> String {
    let raw = RawArguments::from_vec(arguments.iter().map(Into::into).collect());
    let error = Arguments::parse(raw).expect_err("the command line is invalid");
    error.to_string()
}

#[test]
fn help_text_lists_commands_options_and_exit_codes() {
    insta::assert_snapshot!(HELP, @r"
    daisynotch: operates a fleet of routers

    USAGE
        daisynotch COMMAND [OPTIONS]

    COMMANDS
        check FILE                       check a file's objects as a whole
        check FILE --key-value ADDRESS   check what `apply` would publish
        check-config FILE [--in-force FILE | --store ADDRESS]
                                         check a configuration of the users' platform
                                         before it is sent, and print what it changes
        diff FILE --key-value ADDRESS    print what `apply` would change
        apply FILE --key-value ADDRESS   add and change the file's objects
        get [KIND[/NAME]] --key-value ADDRESS
                                         print the published objects
        history --key-value ADDRESS      print the latest changes
        status --router ADDRESS          print what a router knows
        drain --router ADDRESS           make a router finish its requests and end
        blocked --router ADDRESS         print the prompt parts that a router refuses
        unblock PART --router ADDRESS    make all routers accept a prompt part again
        evacuations --router ADDRESS     print the evacuated availability zones
        report burn --router ADDRESS... --key-value ADDRESS
                                         print error budgets and burn rates
        credential TOKEN                 print a token's digest for the objects
        trace ID LOG...                  join the log lines of routers on a request
        experiment FILE                  play a load with several policies in simulated time
        demo                             run a small fleet in this process
        standin KIND --listen ADDRESS    run a fake `key-value`, `engine` or `bookings`

    OPTIONS
        --json                           print JSON
        --in-force FILE                  check-config: the configuration in force
        --store ADDRESS                  check-config: the platform's store, which holds
                                         the configuration in force and the endpoints
        --delete KIND/NAME               check, diff, apply: delete an object; may be
                                         repeated, and FILE may be left out
        --prune                          check, diff, apply: delete every object that
                                         FILE does not name
        --dry-run                        apply: check and print, change nothing
        --base REVISION                  apply: fail with a conflict unless this is
                                         the newest revision
        --author NAME                    apply: who makes the change; $USER if not given
        --summary TEXT                   apply: what the change is for
        --samples FILE                   report: a file of samples to keep and extend
        --html FILE                      report: write a page with the curves
        --plot FILE                      experiment: draw what each policy earned, in SVG
        --seconds N                      demo: how long callers send requests
        --seed N                         demo: the seed of the callers' choices
        -h, --help                       print this text

    EXIT CODES
        0  done
        1  failed: nothing was changed
        2  wrong command line, or objects with errors: nothing was changed
        3  conflict: others published first, nothing was changed
        4  unknown: the change was sent and may have landed; `history` tells

    EXIT CODES OF check-config
        0  the configuration is good
        1  it has warnings, but no errors
        2  it has errors, or could not be checked
    ");
}

#[test]
fn usage_errors_name_the_argument_and_the_remedy() {
    let key_value = ["--key-value", "127.0.0.1:1"];
    let with_key_value = |arguments: &[&str]| parse_error(&[arguments, &key_value].concat());
    let errors = [
        parse_error(&["aply"]),
        parse_error(&["apply", "a.toml"]),
        parse_error(&["get", "--key-value", "kaolack"]),
        with_key_value(&["apply"]),
        with_key_value(&["apply", "--prune"]),
        with_key_value(&["apply", "a.toml", "--prune", "--delete", "team/a"]),
        with_key_value(&["apply", "--delete", "kaolack-1"]),
        with_key_value(&["apply", "a.toml", "--base", "old"]),
        with_key_value(&["get", "tem"]),
        with_key_value(&["history", "now"]),
        parse_error(&["check-config"]),
        parse_error(&[
            "check-config",
            "a",
            "--store",
            "127.0.0.1:1",
            "--in-force",
            "b",
        ]),
        parse_error(&["check-config", "a", "--store", "b"]),
        parse_error(&["evacuations"]),
    ];
    insta::assert_snapshot!(errors.join("\n"), @r#"
    unknown command `aply`: see `daisynotch --help`
    the '--key-value' option must be set: see `daisynotch --help`
    failed to parse 'kaolack': invalid socket address syntax: see `daisynotch --help`
    no objects are given: name a FILE, or use `--delete KIND/NAME`
    `--prune` needs a FILE that names the objects to keep
    `--prune` already deletes every object that FILE does not name: leave out `--delete`
    failed to parse 'kaolack-1': `kaolack-1` names no object: write KIND/NAME with share, team, pool, endpoint, route, limits or service_level as the kind: see `daisynotch --help`
    failed to parse 'old': invalid digit found in string: see `daisynotch --help`
    failed to parse 'tem': `tem` names no object: write KIND/NAME with share, team, pool, endpoint, route, limits or service_level as the kind: see `daisynotch --help`
    unknown arguments ["now"]: see `daisynotch --help`
    free-standing argument is missing: see `daisynotch --help`
    `--store` already names the configuration in force: leave out `--in-force`
    failed to parse 'b': invalid socket address syntax: see `daisynotch --help`
    the '--router' option must be set: see `daisynotch --help`
    "#);
}
