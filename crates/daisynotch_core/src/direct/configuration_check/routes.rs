//! Checks routes, and the services that they name.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use super::{ConfigurationFinding, ConfigurationObject, EndpointCounts};
use crate::direct::configuration_entries::ConfigurationEntries;
use crate::direct::routes::{Route, RouteKind};

pub(super) fn check(
    entries: &ConfigurationEntries,
    endpoints: Option<&EndpointCounts>,
    findings: &mut Vec<ConfigurationFinding>,
) {
    if entries.routes.is_empty() {
        findings.push(ConfigurationFinding::error(
            ConfigurationObject::Configuration,
            "it has no routes, so all requests get 404",
            "add the routes",
        ));
    }
    let mut names = HashSet::new();
    for (index, route) in entries.routes.iter().enumerate() {
        let mut check = RouteCheck { route, findings };
        if !names.insert(&route.name) {
            check.warn(
                "another route has the same name, so logs and metrics don't tell them apart",
                "rename one of them",
            );
        }
        if let Some(later) = entries.replacement_of(index) {
            check.warn(
                format!(
                    "route {later}, which follows, has the same host `{}` and prefix `{}`, so this \
                     route gets no requests",
                    route.host, route.prefix
                ),
                "remove one of the two, or change its host or prefix",
            );
            continue;
        }
        check.pattern();
        check.targets(entries);
        check.times();
        check.attempts(endpoints);
    }
}

struct RouteCheck<'a> {
    route: &'a Route,
    findings: &'a mut Vec<ConfigurationFinding>,
}

impl RouteCheck<'_> {
    fn object(&self) -> ConfigurationObject {
        ConfigurationObject::Route(Arc::clone(&self.route.name))
    }

    fn fail(&mut self, problem: impl Into<String>, fix: impl Into<String>) {
        let finding = ConfigurationFinding::error(self.object(), problem, fix);
        self.findings.push(finding);
    }

    fn warn(&mut self, problem: impl Into<String>, fix: impl Into<String>) {
        let finding = ConfigurationFinding::warning(self.object(), problem, fix);
        self.findings.push(finding);
    }

    fn pattern(&mut self) {
        let Route { host, prefix, .. } = self.route;
        if self.route.name.is_empty() {
            self.warn("its name is empty", "name it for logs and metrics");
        }
        if !is_host(host) {
            self.fail(
                format!("no request has the host `{host}`, so the route gets no requests"),
                "write a host name alone, without scheme, port or wildcard",
            );
        }
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            self.fail(
                format!(
                    "the prefix `{prefix}` does not begin and end with a slash, so it matches no path"
                ),
                format!("write `{}`", with_slashes(prefix)),
            );
        } else if prefix.contains(['?', '#']) || prefix.contains(char::is_whitespace) {
            self.fail(
                format!(
                    "no path contains a query, a fragment or a space, so `{prefix}` matches none"
                ),
                "write the path alone, with spaces as `%20`",
            );
        }
    }

    fn targets(&mut self, entries: &ConfigurationEntries) {
        let targets = &self.route.targets;
        if targets.is_empty() {
            self.fail(
                "it names no service, so its requests get 503",
                "name the service that responds to its requests",
            );
        } else if targets.iter().all(|(_, weight)| *weight == 0) {
            self.fail(
                "all its services have weight 0, so its requests get 503",
                "give at least one service a weight of 1 or more",
            );
        }
        let is_any_used = targets.iter().any(|(_, weight)| *weight > 0);
        let mut seen = HashSet::new();
        for (service, weight) in targets {
            if !seen.insert(service) {
                self.warn(
                    format!("it names service {service} more than once; the weights are added"),
                    "name it once, with the sum of the weights",
                );
                continue;
            }
            let is_known = entries.services.iter().any(|known| known.name == *service);
            match (is_known, *weight) {
                (true, 0) if is_any_used => self.warn(
                    format!("service {service} has weight 0, so it gets none of the requests"),
                    "raise the weight, or remove the service from the route",
                ),
                (false, 0) => self.warn(
                    format!("service {service} does not exist; it has weight 0"),
                    "correct the name, add the service, or remove it from the route",
                ),
                (false, _) => self.fail(
                    format!(
                        "service {service} does not exist, so requests for it get 503, or reach \
                         endpoints of that name without the limits of a service"
                    ),
                    "correct the name, or add the service",
                ),
                (true, _) => {}
            }
        }
    }

    fn times(&mut self) {
        let Route {
            timeout, objective, ..
        } = *self.route;
        if timeout.is_zero() {
            self.fail(
                "the timeout is 0, so its requests time out at once",
                "set the timeout to the time that a whole response may take",
            );
        } else if objective > timeout {
            self.warn(
                format!(
                    "the objective of {} ms is above the timeout of {} ms, so that requests end \
                     before they miss it",
                    as_ms(objective),
                    as_ms(timeout)
                ),
                "raise the timeout, or lower the objective",
            );
        }
        if objective.is_zero() {
            self.warn(
                "the objective is 0, so all its requests count as late",
                "set the objective to the time in which a response should begin",
            );
        }
    }

    fn attempts(&mut self, endpoints: Option<&EndpointCounts>) {
        let Route {
            attempts_max, kind, ..
        } = *self.route;
        if attempts_max <= 1 {
            return;
        }
        if !kind.may_repeat() {
            let fix = match kind {
                RouteKind::Stream => "set it to 1, or make the route's streams resumable",
                _ => "set it to 1, or make the route safe if its requests may run twice",
            };
            self.warn(
                format!("{attempts_max} attempts have no effect: its requests run at most once"),
                fix,
            );
            return;
        }
        let Some(endpoints) = endpoints else { return };
        for (service, weight) in &self.route.targets {
            let count = endpoints.get(service).copied().unwrap_or_default();
            if *weight > 0 && count > 0 && (count as u64) < u64::from(attempts_max) {
                self.warn(
                    format!(
                        "{attempts_max} attempts are more than service {service} can serve: each \
                         takes another endpoint (registered: {count})"
                    ),
                    format!("set it to {count} or less, or start more endpoints"),
                );
            }
        }
    }
}

/// Returns whether a request can have the host. A request's port is ignored, so a host with a port
/// never matches.
fn is_host(host: &str) -> bool {
    if let Some(address) = host.strip_prefix('[') {
        let address = address.strip_suffix(']');
        return address.is_some_and(|address| address.parse::<std::net::Ipv6Addr>().is_ok());
    }
    let is_host_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-._".contains(&byte);
    !host.is_empty() && host.bytes().all(is_host_byte)
}

fn with_slashes(prefix: &str) -> String {
    match prefix.trim_matches('/') {
        "" => "/".to_owned(),
        path => format!("/{path}/"),
    }
}

fn as_ms(time: Duration) -> f64 {
    time.as_micros() as f64 / 1e3
}
