use super::*;

fn route(name: &str, prefix: &str, targets: &[(&str, u32)]) -> Route {
    Route {
        name: Arc::from(name),
        host: "Models.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        attempts_max: 1,
        priority: 0,
        anonymous: false,
        targets: targets
            .iter()
            .map(|(name, weight)| (Arc::from(*name), *weight))
            .collect(),
    }
}

fn table() -> RouteTable {
    let mut table = RouteTable::new(3, CallerLimits::default());
    table.add_route(route("short", "/a/", &[("one", 1)]));
    table.add_route(route("long", "/a/b/", &[("one", 1)]));
    table
}

#[test]
fn the_longest_prefix_wins() {
    let table = table();
    let name = |path: &str| {
        let route = table.find_route("models.example:8080", path);
        route.map(|route| route.name.to_string())
    };
    assert_eq!(name("/a/b/c").as_deref(), Some("long"));
    assert_eq!(name("/a/b/").as_deref(), Some("long"));
    assert_eq!(name("/a/bc").as_deref(), Some("short"));
    assert_eq!(name("/a").as_deref(), None);
    assert_eq!(name("/b/a/").as_deref(), None);
}

#[test]
fn host_names_match_regardless_of_case() {
    let table = table();
    assert!(table.find_route("MODELS.EXAMPLE", "/a/").is_some());
    assert!(table.find_route("others.example", "/a/").is_none());
}

#[test]
fn services_are_picked_by_weight() {
    let route = route("split", "/s/", &[("nine", 9), ("one", 1), ("none", 0)]);
    let pick = |draw: u32| route.pick_service(draw).map(ToString::to_string);
    assert_eq!(pick(0).as_deref(), Some("nine"));
    assert_eq!(pick(u32::MAX / 10 * 9).as_deref(), Some("nine"));
    assert_eq!(pick(u32::MAX / 100 * 91).as_deref(), Some("one"));
    assert_eq!(pick(u32::MAX).as_deref(), Some("one"));
}

#[test]
fn a_route_without_weight_has_no_service() {
    assert_eq!(route("none", "/n/", &[("a", 0)]).pick_service(7), None);
    assert_eq!(route("none", "/n/", &[]).pick_service(7), None);
}

#[test]
fn a_credential_belongs_to_one_team() {
    let mut table = table();
    let team = TeamEntry {
        name: Arc::from("designers"),
        priority: Some(1),
    };
    table.add_team(team, ["key-1".to_owned(), "key-2".to_owned()]);
    let name = |key: &str| table.team_of(key).map(|team| team.name.to_string());
    assert_eq!(name("key-2").as_deref(), Some("designers"));
    assert_eq!(name("key-3"), None);
}
