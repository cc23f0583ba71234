use std::time::Duration;

use super::*;
use crate::direct::{CallerLimits, EngineLimits, Route, RouteKind, ServiceView, TeamEntry};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: Arc::from(name),
        host: "models.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(500),
        attempts_max: 2,
        priority: 0,
        anonymous: false,
        targets: [(Arc::from("lm"), 1)].into_iter().collect(),
    }
}

fn service(name: &str) -> ServiceView {
    ServiceView {
        name: Arc::from(name),
        connections_max: 100,
        status_path: Arc::from("/status"),
        engine: Some(EngineLimits {
            slots: 64,
            memory_tokens: 300_000,
        }),
        cold_start: None,
    }
}

fn team(name: &str, credentials: &[&str]) -> (TeamEntry, Vec<String>) {
    let team = TeamEntry {
        name: Arc::from(name),
        priority: None,
    };
    let credentials = credentials.iter().map(|key| (*key).to_owned());
    (team, credentials.collect())
}

/// A configuration without findings.
fn entries() -> ConfigurationEntries {
    ConfigurationEntries {
        version: 7,
        routes: vec![route("chat", "/chat/"), route("root", "/")],
        services: vec![service("lm")],
        teams: vec![team("mill", &["mill-key-1", "mill-key-2"])],
        limits: CallerLimits::default(),
    }
}

fn to_text(findings: &[ConfigurationFinding]) -> String {
    let line = |finding: &ConfigurationFinding| {
        let ConfigurationFinding {
            severity,
            object,
            problem,
            fix,
        } = finding;
        format!("{severity}: {object}: {problem} -> {fix}")
    };
    let lines: Vec<String> = findings.iter().map(line).collect();
    lines.join("\n")
}

/// Checks the configuration after a change of it.
fn check_changed(change: impl FnOnce(&mut ConfigurationEntries)) -> String {
    let mut entries = entries();
    change(&mut entries);
    to_text(&check_configuration(&entries, None))
}

/// Checks the configuration after a change of its first route.
fn check_route(change: impl FnOnce(&mut Route)) -> String {
    check_changed(|entries| change(&mut entries.routes[0]))
}

/// Guards against false findings, which operators would learn to ignore.
#[test]
fn sound_configuration_has_no_findings() {
    let counts = EndpointCounts::from([(Arc::from("lm"), 2)]);
    assert_eq!(check_configuration(&entries(), None), []);
    assert_eq!(check_configuration(&entries(), Some(&counts)), []);
}

/// Guards against routes that no request reaches.
#[test]
fn routes_that_match_nothing_are_found() {
    insta::assert_snapshot!(check_changed(|entries| entries.routes.clear()), @r"
    error: configuration: it has no routes, so all requests get 404 -> add the routes
    warning: service lm: no route names it, so it gets no requests -> add it to a route, or remove it
    ");
    let hidden = check_changed(|entries| {
        let mut later = route("later", "/chat/");
        later.host = "Models.Example".to_owned();
        entries.routes.push(later);
    });
    insta::assert_snapshot!(hidden, @"warning: route chat: route later, which follows, has the same host `models.example` and prefix `/chat/`, so this route gets no requests -> remove one of the two, or change its host or prefix");
    let twice = check_changed(|entries| entries.routes.push(route("chat", "/other/")));
    insta::assert_snapshot!(twice, @"warning: route chat: another route has the same name, so logs and metrics don't tell them apart -> rename one of them");
    let mut prefixes = Vec::new();
    for prefix in ["chat/", "/chat", "", "/a?b/", "/a b/"] {
        prefixes.push(check_route(|route| route.prefix = prefix.to_owned()));
    }
    insta::assert_snapshot!(prefixes.join("\n"), @r"
    error: route chat: the prefix `chat/` does not begin and end with a slash, so it matches no path -> write `/chat/`
    error: route chat: the prefix `/chat` does not begin and end with a slash, so it matches no path -> write `/chat/`
    error: route chat: the prefix `` does not begin and end with a slash, so it matches no path -> write `/`
    error: route chat: no path contains a query, a fragment or a space, so `/a?b/` matches none -> write the path alone, with spaces as `%20`
    error: route chat: no path contains a query, a fragment or a space, so `/a b/` matches none -> write the path alone, with spaces as `%20`
    ");
    let mut hosts = Vec::new();
    for host in [
        "",
        "models.example:443",
        "https://models.example",
        "*.example",
        "[::1]",
        "[x]",
    ] {
        hosts.push(check_route(|route| route.host = host.to_owned()));
    }
    insta::assert_snapshot!(hosts.join("\n"), @r"
    error: route chat: no request has the host ``, so the route gets no requests -> write a host name alone, without scheme, port or wildcard
    error: route chat: no request has the host `models.example:443`, so the route gets no requests -> write a host name alone, without scheme, port or wildcard
    error: route chat: no request has the host `https://models.example`, so the route gets no requests -> write a host name alone, without scheme, port or wildcard
    error: route chat: no request has the host `*.example`, so the route gets no requests -> write a host name alone, without scheme, port or wildcard

    error: route chat: no request has the host `[x]`, so the route gets no requests -> write a host name alone, without scheme, port or wildcard
    ");
    insta::assert_snapshot!(check_route(|route| route.name = Arc::from("")), @"warning: route : its name is empty -> name it for logs and metrics");
}

/// Guards against routes whose requests no service gets, or fewer than the route says.
#[test]
fn targets_that_get_no_requests_are_found() {
    let check_targets = |targets: &[(&str, u32)]| {
        check_route(|route| {
            let targets = targets.iter();
            route.targets = targets
                .map(|(name, weight)| (Arc::from(*name), *weight))
                .collect();
        })
    };
    insta::assert_snapshot!(check_targets(&[]), @"error: route chat: it names no service, so its requests get 503 -> name the service that responds to its requests");
    insta::assert_snapshot!(check_targets(&[("lm", 0)]), @"error: route chat: all its services have weight 0, so its requests get 503 -> give at least one service a weight of 1 or more");
    insta::assert_snapshot!(check_targets(&[("lm", 9), ("ml", 1)]), @"error: route chat: service ml does not exist, so requests for it get 503, or reach endpoints of that name without the limits of a service -> correct the name, or add the service");
    insta::assert_snapshot!(check_targets(&[("lm", 9), ("ml", 0)]), @"warning: route chat: service ml does not exist; it has weight 0 -> correct the name, add the service, or remove it from the route");
    insta::assert_snapshot!(check_targets(&[("lm", 9), ("lm", 1)]), @"warning: route chat: it names service lm more than once; the weights are added -> name it once, with the sum of the weights");
    let unused = check_changed(|entries| {
        entries.services.push(service("canary"));
        entries.routes[0].targets.push((Arc::from("canary"), 0));
    });
    insta::assert_snapshot!(unused, @"warning: route chat: service canary has weight 0, so it gets none of the requests -> raise the weight, or remove the service from the route");
}

/// Guards against times and numbers of attempts that can't be meant.
#[test]
fn contradicting_times_and_attempts_are_found() {
    insta::assert_snapshot!(check_route(|route| route.timeout = Duration::ZERO), @"error: route chat: the timeout is 0, so its requests time out at once -> set the timeout to the time that a whole response may take");
    insta::assert_snapshot!(check_route(|route| route.objective = Duration::ZERO), @"warning: route chat: the objective is 0, so all its requests count as late -> set the objective to the time in which a response should begin");
    let above = check_route(|route| route.timeout = Duration::from_micros(499_500));
    insta::assert_snapshot!(above, @"warning: route chat: the objective of 500 ms is above the timeout of 499.5 ms, so that requests end before they miss it -> raise the timeout, or lower the objective");
    assert_eq!(check_route(|route| route.objective = route.timeout), "");
    insta::assert_snapshot!(check_route(|route| route.kind = RouteKind::Once), @"warning: route chat: 2 attempts have no effect: its requests run at most once -> set it to 1, or make the route safe if its requests may run twice");
    insta::assert_snapshot!(check_route(|route| route.kind = RouteKind::Stream), @"warning: route chat: 2 attempts have no effect: its requests run at most once -> set it to 1, or make the route's streams resumable");
    assert_eq!(
        check_route(|route| route.kind = RouteKind::ResumableStream),
        ""
    );
}

/// Guards against services that no request reaches, or whose limits can't be meant.
#[test]
fn unused_services_and_contradicting_limits_are_found() {
    insta::assert_snapshot!(check_changed(|entries| entries.services.push(service("ml"))), @"warning: service ml: no route names it, so it gets no requests -> add it to a route, or remove it");
    insta::assert_snapshot!(check_changed(|entries| entries.services.push(service("lm"))), @"warning: service lm: another service with the same name follows and replaces it -> remove or rename one of the two");
    let mut limits = Vec::new();
    for (slots, memory_tokens, connections_max) in [(0, 9, 9), (9, 0, 9), (9, 9, 0), (9, 9, 8)] {
        limits.push(check_changed(|entries| {
            entries.services[0].connections_max = connections_max;
            entries.services[0].engine = Some(EngineLimits {
                slots,
                memory_tokens,
            });
        }));
    }
    insta::assert_snapshot!(limits.join("\n"), @r"
    warning: service lm: its engines have 0 slots, so each runs one request at a time -> set the number of requests that an engine runs at once
    warning: service lm: its engines have memory for 0 tokens, so each runs one request at a time -> set the number of tokens that fit in an engine's memory
    warning: service lm: its endpoints accept 0 connections -> set the number of connections that one endpoint accepts from all routers together
    warning: service lm: its engines have 9 slots, but accept only 8 connections -> allow at least as many connections as slots
    ");
    let path = check_changed(|entries| entries.services[0].status_path = Arc::from("status"));
    insta::assert_snapshot!(path, @"warning: service lm: the path `status` does not begin with a slash, so routers can't ask its endpoints about themselves -> write the whole path at which an endpoint describes itself");
}

/// Guards against a configuration that does not fit the endpoints that run.
#[test]
fn mismatches_with_the_registered_endpoints_are_found() {
    let check = |counts: &[(&str, usize)]| {
        let counts = counts.iter();
        let counts = counts.map(|(name, count)| (Arc::from(*name), *count));
        to_text(&check_configuration(&entries(), Some(&counts.collect())))
    };
    insta::assert_snapshot!(check(&[]), @"warning: service lm: no endpoint is registered for it, so its requests get 503 until one starts -> start its endpoints before the configuration is sent, or correct the name");
    insta::assert_snapshot!(check(&[("lm", 1)]), @r"
    warning: route chat: 2 attempts are more than service lm can serve: each takes another endpoint (registered: 1) -> set it to 1 or less, or start more endpoints
    warning: route root: 2 attempts are more than service lm can serve: each takes another endpoint (registered: 1) -> set it to 1 or less, or start more endpoints
    ");
    insta::assert_snapshot!(check(&[("lm", 2), ("old-b", 3), ("old-a", 1)]), @r"
    warning: service old-a: endpoints are registered for it (1), but it does not exist -> add the service, or stop its endpoints
    warning: service old-b: endpoints are registered for it (3), but it does not exist -> add the service, or stop its endpoints
    ");
}

/// Guards against credentials that work for another team than meant, or not at all. The output
/// must not contain whole credentials.
#[test]
fn credentials_without_effect_are_found() {
    let check_teams = |teams: &[(&str, &[&str])]| {
        check_changed(|entries| {
            let teams = teams.iter();
            entries.teams = teams.map(|(name, keys)| team(name, keys)).collect();
        })
    };
    insta::assert_snapshot!(check_teams(&[]), @"error: configuration: no team has a usable key, so requests of routes that need one (2) get 401 -> add teams with keys, or make the routes anonymous");
    insta::assert_snapshot!(check_teams(&[("mill", &[])]), @r"
    error: configuration: no team has a usable key, so requests of routes that need one (2) get 401 -> add teams with keys, or make the routes anonymous
    warning: team mill: it has no key, so no request counts as its own -> add a key, or remove the team
    ");
    let shared = check_teams(&[
        ("mill", &["mill-key-1"]),
        ("loom", &["loom-key", "mill-key-1"]),
    ]);
    insta::assert_snapshot!(shared, @"warning: team mill: key 1 (mi...(10 characters)) also belongs to team loom, which follows, and requests with it count as that team's -> remove the key from one of the two");
    insta::assert_snapshot!(check_teams(&[("mill", &["key-1"]), ("mill", &["key-2"])]), @"warning: team mill: another team has the same name, so both share one part of the capacity -> rename one of them, or write all keys in one entry");
    insta::assert_snapshot!(check_teams(&[("mill", &["key", "key"])]), @"warning: team mill: key 2 (...(3 characters)) is listed more than once -> list it once");
    insta::assert_snapshot!(check_teams(&[("mill", &["key", "", " key", "k\u{e9}y"])]), @r"
    warning: team mill: key 2 is empty, so requests with an empty key are the team's -> remove the empty key
    warning: team mill: no request can carry key 3 ( ...(4 characters)), as it has outer spaces or characters other than visible ASCII -> correct the key, or remove it
    warning: team mill: no request can carry key 4 (...(3 characters)), as it has outer spaces or characters other than visible ASCII -> correct the key, or remove it
    ");
    let anonymous = check_changed(|entries| {
        entries.teams.clear();
        entries
            .routes
            .iter_mut()
            .for_each(|route| route.anonymous = true);
    });
    assert_eq!(anonymous, "");
}

/// Guards against limits with which requests fail.
#[test]
fn contradicting_caller_limits_are_found() {
    let check_limits =
        |change: fn(&mut CallerLimits)| check_changed(|entries| change(&mut entries.limits));
    insta::assert_snapshot!(check_limits(|limits| limits.body_max_bytes = 0), @"error: limits: bodies may have 0 bytes, so all requests with a body get 413 -> set the size of the largest body that callers send");
    insta::assert_snapshot!(check_limits(|limits| limits.body_max_bytes = 16_383), @"warning: limits: bodies may have 16383 bytes, less than the 16384 bytes that heads may have -> raise the limit for bodies, or lower that for heads");
    insta::assert_snapshot!(check_limits(|limits| limits.idle_timeout = Duration::ZERO), @"warning: limits: connections may be idle for 0 ms, so a body that arrives after its head gets 408 -> set the time that callers keep idle connections");
    insta::assert_snapshot!(check_limits(|limits| limits.shared_tokens_per_s = Some(0)), @"warning: limits: teams share 0 tokens per second, so none of them has a share -> set the tokens per second of all endpoints together, or leave the limit out");
}

/// Guards against a configuration that routers ignore because of its version.
#[test]
fn version_must_be_above_the_one_in_force() {
    assert_eq!(check_version(8, 7), None);
    let findings: Vec<_> = [check_version(7, 7), check_version(6, 7)]
        .into_iter()
        .flatten()
        .collect();
    insta::assert_snapshot!(to_text(&findings), @r"
    error: configuration: version 7 is not above version 7 in force, so routers ignore it -> raise the version to 8 or more
    error: configuration: version 6 is not above version 7 in force, so routers ignore it -> raise the version to 8 or more
    ");
}

/// Guards against credentials that can be used from a log or a terminal.
#[test]
fn shortened_credentials_show_a_quarter_at_most() {
    let shown: Vec<String> = [
        "",
        "k",
        "k1",
        "key1",
        "a-long-credential-of-a-team",
        "\u{e9}\u{e9}\u{e9}\u{e9}",
    ]
    .into_iter()
    .map(shorten_credential)
    .collect();
    insta::assert_snapshot!(shown.join(" "), @"...(0 characters) ...(1 character) ...(2 characters) k...(4 characters) a-lo...(27 characters) é...(4 characters)");
}

/// The table must be the one that routers build: a later entry replaces an earlier one.
#[test]
fn table_holds_the_last_of_equal_entries() {
    let mut entries = entries();
    entries.routes.push(route("later", "/chat/"));
    entries.teams.push(team("loom", &["mill-key-2"]));
    let table = crate::direct::RouteTable::from(entries);
    assert_eq!((table.version, table.routes_len()), (7, 2));
    let found = table.find_route("models.example", "/chat/1").unwrap();
    assert_eq!(&*found.name, "later");
    assert_eq!(&*table.team_of("mill-key-2").unwrap().name, "loom");
    assert_eq!(&*table.team_of("mill-key-1").unwrap().name, "mill");
}
