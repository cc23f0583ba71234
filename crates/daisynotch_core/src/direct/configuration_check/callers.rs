//! Checks teams, their credentials, and the limits for callers.

use std::collections::HashMap;
use std::sync::Arc;

use super::{ConfigurationFinding, ConfigurationObject, shorten_credential};
use crate::direct::configuration_entries::ConfigurationEntries;
use crate::direct::routes::CallerLimits;

pub(super) fn check_teams(
    entries: &ConfigurationEntries,
    findings: &mut Vec<ConfigurationFinding>,
) {
    check_that_credentials_exist(entries, findings);
    // The team to which each credential belongs: the last one that names it.
    let mut owners: HashMap<&str, usize> = HashMap::new();
    for (index, (_, credentials)) in entries.teams.iter().enumerate() {
        owners.extend(credentials.iter().map(|key| (key.as_str(), index)));
    }
    for (index, (team, credentials)) in entries.teams.iter().enumerate() {
        let object = || ConfigurationObject::Team(Arc::clone(&team.name));
        let mut warn = |problem: String, fix: &str| {
            findings.push(ConfigurationFinding::warning(object(), problem, fix));
        };
        let earlier = &entries.teams[..index];
        if earlier.iter().any(|(earlier, _)| earlier.name == team.name) {
            warn(
                "another team has the same name, so both share one part of the capacity".to_owned(),
                "rename one of them, or write all keys in one entry",
            );
        }
        if credentials.is_empty() {
            warn(
                "it has no key, so no request counts as its own".to_owned(),
                "add a key, or remove the team",
            );
        }
        for (position, key) in credentials.iter().enumerate() {
            let number = position + 1;
            let shown = shorten_credential(key);
            if key.is_empty() {
                warn(
                    format!("key {number} is empty, so requests with an empty key are the team's"),
                    "remove the empty key",
                );
            } else if !is_sendable(key) {
                warn(
                    format!(
                        "no request can carry key {number} ({shown}), as it has outer spaces or \
                         characters other than visible ASCII"
                    ),
                    "correct the key, or remove it",
                );
            }
            let owner = owners[key.as_str()];
            if owner != index {
                let other = &entries.teams[owner].0.name;
                warn(
                    format!(
                        "key {number} ({shown}) also belongs to team {other}, which follows, and \
                         requests with it count as that team's"
                    ),
                    "remove the key from one of the two",
                );
            } else if credentials[..position].contains(key) {
                warn(
                    format!("key {number} ({shown}) is listed more than once"),
                    "list it once",
                );
            }
        }
    }
}

/// Reports routes whose requests need a credential if no request can have one.
fn check_that_credentials_exist(
    entries: &ConfigurationEntries,
    findings: &mut Vec<ConfigurationFinding>,
) {
    let mut credentials = entries
        .teams
        .iter()
        .flat_map(|(_, credentials)| credentials);
    let is_any_usable = credentials.any(|key| is_sendable(key));
    let closed = entries.routes.iter().filter(|route| !route.anonymous);
    let count = closed.count();
    if count > 0 && !is_any_usable {
        findings.push(ConfigurationFinding::error(
            ConfigurationObject::Configuration,
            format!(
                "no team has a usable key, so requests of routes that need one ({count}) get 401"
            ),
            "add teams with keys, or make the routes anonymous",
        ));
    }
}

/// Returns whether a request's header can have exactly this value; routers ignore spaces around it.
fn is_sendable(credential: &str) -> bool {
    let is_visible = |byte: u8| matches!(byte, b' '..=b'~' | b'\t');
    credential.trim() == credential && credential.bytes().all(is_visible)
}

pub(super) fn check_limits(limits: &CallerLimits, findings: &mut Vec<ConfigurationFinding>) {
    let CallerLimits {
        head_max_bytes,
        body_max_bytes,
        idle_timeout,
        shared_tokens_per_s,
    } = *limits;
    if body_max_bytes == 0 {
        findings.push(ConfigurationFinding::error(
            ConfigurationObject::Limits,
            "bodies may have 0 bytes, so all requests with a body get 413",
            "set the size of the largest body that callers send",
        ));
    } else if body_max_bytes < head_max_bytes {
        findings.push(ConfigurationFinding::warning(
            ConfigurationObject::Limits,
            format!(
                "bodies may have {body_max_bytes} bytes, less than the {head_max_bytes} bytes that \
                 heads may have"
            ),
            "raise the limit for bodies, or lower that for heads",
        ));
    }
    if idle_timeout.is_zero() {
        findings.push(ConfigurationFinding::warning(
            ConfigurationObject::Limits,
            "connections may be idle for 0 ms, so a body that arrives after its head gets 408",
            "set the time that callers keep idle connections",
        ));
    }
    if shared_tokens_per_s == Some(0) {
        findings.push(ConfigurationFinding::warning(
            ConfigurationObject::Limits,
            "teams share 0 tokens per second, so none of them has a share",
            "set the tokens per second of all endpoints together, or leave the limit out",
        ));
    }
}
