//! Checks services against the routes and the registered endpoints.

use std::collections::{BTreeSet, HashSet};
use std::sync::Arc;

use super::{ConfigurationFinding, ConfigurationObject, EndpointCounts};
use crate::direct::configuration_entries::ConfigurationEntries;
use crate::direct::routes::ServiceView;

pub(super) fn check(
    entries: &ConfigurationEntries,
    endpoints: Option<&EndpointCounts>,
    findings: &mut Vec<ConfigurationFinding>,
) {
    let used: HashSet<&Arc<str>> = entries
        .routes
        .iter()
        .flat_map(|route| route.targets.iter().map(|(service, _)| service))
        .collect();
    for (index, service) in entries.services.iter().enumerate() {
        let object = || ConfigurationObject::Service(Arc::clone(&service.name));
        let mut warn = |problem: String, fix: &str| {
            findings.push(ConfigurationFinding::warning(object(), problem, fix));
        };
        let later = &entries.services[index + 1..];
        if later.iter().any(|later| later.name == service.name) {
            warn(
                "another service with the same name follows and replaces it".to_owned(),
                "remove or rename one of the two",
            );
            continue;
        }
        check_limits(service, &mut warn);
        if !used.contains(&service.name) {
            warn(
                "no route names it, so it gets no requests".to_owned(),
                "add it to a route, or remove it",
            );
        } else if endpoints.is_some_and(|endpoints| !endpoints.contains_key(&service.name)) {
            warn(
                "no endpoint is registered for it, so its requests get 503 until one starts"
                    .to_owned(),
                "start its endpoints before the configuration is sent, or correct the name",
            );
        }
    }
    let Some(endpoints) = endpoints else { return };
    let known: HashSet<&Arc<str>> = entries.services.iter().map(|known| &known.name).collect();
    let unknown = endpoints.keys().filter(|name| !known.contains(*name));
    for name in unknown.collect::<BTreeSet<_>>() {
        let count = endpoints[name];
        findings.push(ConfigurationFinding::warning(
            ConfigurationObject::Service(Arc::clone(name)),
            format!("endpoints are registered for it ({count}), but it does not exist"),
            "add the service, or stop its endpoints",
        ));
    }
}

fn check_limits(service: &ServiceView, warn: &mut impl FnMut(String, &str)) {
    if service.connections_max == 0 {
        warn(
            "its endpoints accept 0 connections".to_owned(),
            "set the number of connections that one endpoint accepts from all routers together",
        );
    }
    if !service.status_path.starts_with('/') {
        warn(
            format!(
                "the path `{}` does not begin with a slash, so routers can't ask its endpoints \
                 about themselves",
                service.status_path
            ),
            "write the whole path at which an endpoint describes itself",
        );
    }
    let Some(engine) = service.engine else { return };
    if engine.slots == 0 {
        warn(
            "its engines have 0 slots, so each runs one request at a time".to_owned(),
            "set the number of requests that an engine runs at once",
        );
    }
    if engine.memory_tokens == 0 {
        warn(
            "its engines have memory for 0 tokens, so each runs one request at a time".to_owned(),
            "set the number of tokens that fit in an engine's memory",
        );
    }
    let (slots, connections) = (engine.slots, service.connections_max);
    if connections > 0 && slots > connections {
        warn(
            format!("its engines have {slots} slots, but accept only {connections} connections"),
            "allow at least as many connections as slots",
        );
    }
}
