//! Validates a complete set of objects, including the references between them.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Display;
use std::hash::Hash;

use crate::document::{Objects, Route};
use crate::error::{CheckError, ObjectKind, ObjectRef};
use crate::ids::{EndpointId, PoolId, TeamId, ZoneId};
use crate::names::LimitsName;

/// The largest weight of a team or share. Bounds the ratio between two weights that the
/// scheduler's service order has to preserve.
const WEIGHT_MAX: u32 = 10_000;
/// The largest number of slots that an endpoint may start with.
const SLOTS_MAX: u32 = 4_096;

/// Validates all objects and returns every error, not just the first.
pub fn check(objects: &Objects) -> Vec<CheckError> {
    let mut errors = Vec::new();
    check_shares(objects, &mut errors);
    check_teams(objects, &mut errors);
    check_pools(objects, &mut errors);
    check_endpoints(objects, &mut errors);
    check_routes(objects, &mut errors);
    check_service_levels(objects, &mut errors);
    errors
}

fn check_shares(objects: &Objects, errors: &mut Vec<CheckError>) {
    for (name, share) in &objects.share {
        let object = ObjectRef::new(ObjectKind::Share, name);
        check_weight(&object, share.weight, errors);
        check_limits(&object, share.limits.as_ref(), objects, errors);
    }
}

fn check_teams(objects: &Objects, errors: &mut Vec<CheckError>) {
    let mut owners = HashMap::new();
    for (name, team) in &objects.team {
        let object = ObjectRef::new(ObjectKind::Team, name);
        check_weight(&object, team.weight, errors);
        check_limits(&object, team.limits.as_ref(), objects, errors);
        if let Some(share) = &team.share {
            let to = ObjectRef::new(ObjectKind::Share, share);
            check_reference(&objects.share, share, &object, to, errors);
        }
        for credential in &team.credentials {
            if let Some(first) = owners.insert(credential, object.clone()) {
                let second = object.clone();
                errors.push(CheckError::SameCredential { first, second });
            }
        }
    }
    check_identifiers(ObjectKind::Team, objects.team.keys(), TeamId::from, errors);
}

fn check_pools(objects: &Objects, errors: &mut Vec<CheckError>) {
    for (name, pool) in &objects.pool {
        let object = ObjectRef::new(ObjectKind::Pool, name);
        check_range(&object, "slots", pool.slots, SLOTS_MAX, errors);
        let timeouts = [
            ("first_byte_timeout_ms", pool.first_byte_timeout_ms),
            ("idle_timeout_ms", pool.idle_timeout_ms),
        ];
        for (field, timeout_ms) in timeouts {
            if timeout_ms == 0 {
                let problem = "is 0: give the milliseconds to wait".to_owned();
                let object = object.clone();
                errors.push(CheckError::BadField {
                    object,
                    field,
                    problem,
                });
            }
        }
    }
    check_identifiers(ObjectKind::Pool, objects.pool.keys(), PoolId::from, errors);
}

fn check_endpoints(objects: &Objects, errors: &mut Vec<CheckError>) {
    for (name, endpoint) in &objects.endpoint {
        let object = ObjectRef::new(ObjectKind::Endpoint, name);
        let to = ObjectRef::new(ObjectKind::Pool, &endpoint.pool);
        check_reference(&objects.pool, &endpoint.pool, &object, to, errors);
    }
    let endpoints = objects.endpoint.keys();
    check_identifiers(ObjectKind::Endpoint, endpoints, EndpointId::from, errors);
    check_zones(objects, errors);
}

/// Checks that no two zone names hash to the same identifier. Each error refers to an endpoint
/// in the second zone and quotes both zone names.
fn check_zones(objects: &Objects, errors: &mut Vec<CheckError>) {
    let mut seen = HashMap::new();
    for (name, endpoint) in &objects.endpoint {
        let first = seen
            .entry(ZoneId::from(&endpoint.zone))
            .or_insert((&endpoint.zone, name));
        if first.0 != &endpoint.zone {
            errors.push(CheckError::BadField {
                object: ObjectRef::new(ObjectKind::Endpoint, name),
                field: "zone",
                problem: format!(
                    "`{}` has the same identifier as `{}`",
                    endpoint.zone, first.0
                ),
            });
        }
    }
}

fn check_routes(objects: &Objects, errors: &mut Vec<CheckError>) {
    let mut models = HashMap::new();
    let mut prefixes = HashMap::new();
    for (name, route) in &objects.route {
        let object = ObjectRef::new(ObjectKind::Route, name);
        let to = ObjectRef::new(ObjectKind::Pool, &route.pool);
        check_reference(&objects.pool, &route.pool, &object, to, errors);
        check_route_target(&object, route, errors);
        check_unique(&mut models, route.model.as_ref(), &object, errors);
        check_unique(&mut prefixes, route.path_prefix.as_ref(), &object, errors);
    }
}

fn check_route_target(object: &ObjectRef, route: &Route, errors: &mut Vec<CheckError>) {
    let problem = match (&route.model, &route.path_prefix) {
        (None, None) => "or `path_prefix` is needed: say what the route takes",
        (Some(model), _) if model.is_empty() => "is empty: name the model",
        (_, Some(prefix)) if !prefix.starts_with('/') => return report_bad_prefix(object, errors),
        (_, Some(prefix)) if is_reserved(prefix) => return report_reserved_prefix(object, errors),
        _ => return,
    };
    errors.push(CheckError::BadField {
        object: object.clone(),
        field: "model",
        problem: problem.to_owned(),
    });
}

/// Returns whether a path prefix would shadow one of the router's own paths.
fn is_reserved(prefix: &str) -> bool {
    ["/v1", "/metrics", "/healthz", "/readyz"]
        .iter()
        .any(|own| prefix == "/" || prefix.starts_with(own))
}

fn report_bad_prefix(object: &ObjectRef, errors: &mut Vec<CheckError>) {
    errors.push(CheckError::BadField {
        object: object.clone(),
        field: "path_prefix",
        problem: "must start with `/`".to_owned(),
    });
}

fn report_reserved_prefix(object: &ObjectRef, errors: &mut Vec<CheckError>) {
    errors.push(CheckError::BadField {
        object: object.clone(),
        field: "path_prefix",
        problem: "hides a path of the router's own: choose one outside `/`, `/v1`, `/metrics`, \
                  `/healthz` and `/readyz`"
            .to_owned(),
    });
}

fn check_unique<'a>(
    seen: &mut HashMap<&'a String, ObjectRef>,
    value: Option<&'a String>,
    object: &ObjectRef,
    errors: &mut Vec<CheckError>,
) {
    let Some(value) = value else { return };
    if let Some(first) = seen.insert(value, object.clone()) {
        errors.push(CheckError::SameRoute {
            first,
            second: object.clone(),
            what: value.clone(),
        });
    }
}

fn check_service_levels(objects: &Objects, errors: &mut Vec<CheckError>) {
    for (name, level) in &objects.service_level {
        let object = ObjectRef::new(ObjectKind::ServiceLevel, name);
        let to = ObjectRef::new(ObjectKind::Route, &level.route);
        check_reference(&objects.route, &level.route, &object, to, errors);
        for team in &level.teams {
            let to = ObjectRef::new(ObjectKind::Team, team);
            check_reference(&objects.team, team, &object, to, errors);
        }
        check_range(
            &object,
            "target_per_10000",
            level.target_per_10000,
            9_999,
            errors,
        );
        check_range(&object, "window_h", level.window_h, 24 * 366, errors);
    }
}

fn check_weight(object: &ObjectRef, weight: u32, errors: &mut Vec<CheckError>) {
    check_range(object, "weight", weight, WEIGHT_MAX, errors);
}

fn check_range(
    object: &ObjectRef,
    field: &'static str,
    value: u32,
    maximum: u32,
    errors: &mut Vec<CheckError>,
) {
    if (1..=maximum).contains(&value) {
        return;
    }
    errors.push(CheckError::BadField {
        object: object.clone(),
        field,
        problem: format!("is {value}: give a number from 1 to {maximum}"),
    });
}

fn check_limits(
    object: &ObjectRef,
    limits: Option<&LimitsName>,
    objects: &Objects,
    errors: &mut Vec<CheckError>,
) {
    if let Some(limits) = limits {
        let to = ObjectRef::new(ObjectKind::Limits, limits);
        check_reference(&objects.limits, limits, object, to, errors);
    }
}

fn check_reference<K: Ord, V>(
    objects: &BTreeMap<K, V>,
    name: &K,
    from: &ObjectRef,
    to: ObjectRef,
    errors: &mut Vec<CheckError>,
) {
    if !objects.contains_key(name) {
        let from = from.clone();
        errors.push(CheckError::MissingReference { from, to });
    }
}

fn check_identifiers<'a, N: Display + 'a, I: Eq + Hash>(
    kind: ObjectKind,
    names: impl Iterator<Item = &'a N>,
    identify: impl Fn(&'a N) -> I,
    errors: &mut Vec<CheckError>,
) {
    let mut seen = HashMap::new();
    for name in names {
        if let Some(first) = seen.insert(identify(name), name) {
            errors.push(CheckError::SameIdentifier {
                first: ObjectRef::new(kind, first),
                second: ObjectRef::new(kind, name),
            });
        }
    }
}

#[cfg(test)]
mod tests;
