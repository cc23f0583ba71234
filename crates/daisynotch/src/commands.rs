//! The subcommands, one module each, and what they share.

pub(crate) mod apply;
pub(crate) mod blocked;
pub(crate) mod check;
pub(crate) mod check_config;
pub(crate) mod credential;
pub(crate) mod demo;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod edit_source;
pub(crate) mod evacuations;
pub(crate) mod experiment;
pub(crate) mod get;
pub(crate) mod history;
mod http_call;
pub(crate) mod report;
pub(crate) mod standin;
pub(crate) mod status;
pub(crate) mod trace;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use daisynotch_objects::{EditError, Objects, ParseError};
use daisynotch_platform::{
    ChangeId, ChangeRecord, ConfigStore, Conflict, KeyValueClient, StoreError,
};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

/// The timeout of a call to the key-value service.
const KEY_VALUE_TIMEOUT: Duration = Duration::from_secs(5);

/// The timeout of a call to a router.
const ROUTER_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A file could not be read.
    #[error("`{}` can't be read: {error}", path.display())]
    Unreadable {
        path: PathBuf,
        error: std::io::Error,
    },
    /// A file could not be parsed as objects.
    #[error("`{}`: {error}", path.display())]
    Malformed { path: PathBuf, error: ParseError },
    /// A file could not be parsed as an experiment.
    #[error("`{}`: {error}", path.display())]
    InvalidExperiment {
        path: PathBuf,
        error: daisynotch_emulator::ExperimentError,
    },
    /// A configuration of the platform could not be checked.
    #[error("the configuration was not checked: {0}")]
    NotChecked(String),
    /// The objects failed validation; holds one error per line.
    #[error("nothing was changed, the objects have errors:\n{0}")]
    InvalidObjects(String),
    /// Another operator published since the revision that the change was made from.
    #[error("{}", describe_conflict(.0))]
    Conflict(Conflict),
    /// The response to the publication was lost, and no later call showed whether it took effect.
    #[error(
        "unknown: the change was sent, but the key-value service has not responded since; \
         once it responds, `daisynotch history` lists change {0} if it was published"
    )]
    Unknown(ChangeId),
    /// The change can't be applied to the published objects.
    #[error("nothing was changed: {0}")]
    Edit(#[from] EditError),
    /// The store of published objects could not be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Any other failure, for example of a router or a fake.
    #[error("{0}")]
    Failed(String),
}

impl CommandError {
    /// Creates the error for a failed call to a router's operator address.
    fn router_call(address: SocketAddr, error: &dyn std::fmt::Display) -> Self {
        Self::Failed(format!(
            "router at {address}: {error}; check that this is the router's `operator_address`"
        ))
    }

    /// Returns the exit code, as documented in [`HELP`](crate::args::HELP).
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Unreadable { .. }
            | Self::Malformed { .. }
            | Self::InvalidExperiment { .. }
            | Self::NotChecked(_)
            | Self::InvalidObjects(_)
            | Self::Edit(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unknown(_) => 4,
            Self::Store(_) | Self::Failed(_) => 1,
        }
    }
}

/// Describes a conflict and lists the changes that caused it.
fn describe_conflict(conflict: &Conflict) -> String {
    let mut lines = vec![format!(
        "conflict: nothing was changed, as others have published up to revision {}:",
        conflict.revision
    )];
    lines.extend(conflict.changes.iter().map(format_change));
    if !conflict.is_complete {
        lines.push("  older changes are no longer in the history".to_owned());
    }
    lines.push("compare with `daisynotch diff`, then apply again".to_owned());
    lines.join("\n")
}

/// Formats a published change as one indented line.
fn format_change(record: &ChangeRecord) -> String {
    let names: Vec<String> = record.objects.iter().map(ToString::to_string).collect();
    let more = match record.object_count - record.objects.len() {
        0 => String::new(),
        count => format!(" and {count} more"),
    };
    let names = names.join(", ");
    format!(
        "  revision {} by {}: {names}{more}",
        record.revision, record.author
    )
}

/// Reads and parses a file of objects.
fn read_objects(path: &Path) -> Result<Objects, CommandError> {
    let owned_path = || path.to_owned();
    let text = std::fs::read_to_string(path).map_err(|error| CommandError::Unreadable {
        path: owned_path(),
        error,
    })?;
    text.parse().map_err(|error| CommandError::Malformed {
        path: owned_path(),
        error,
    })
}

/// Validates a complete set of objects, including the references between them.
fn check_objects(objects: &Objects) -> Result<(), CommandError> {
    let errors = daisynotch_objects::check(objects);
    if errors.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = errors.iter().map(|error| format!("  {error}")).collect();
    Err(CommandError::InvalidObjects(lines.join("\n")))
}

/// Creates a JSON-RPC client for a router's operator address.
fn operator_client(router: SocketAddr) -> Result<HttpClient, CommandError> {
    let client = HttpClientBuilder::default().request_timeout(ROUTER_TIMEOUT);
    let client = client.build(format!("http://{router}/rpc"));
    client.map_err(|error| CommandError::router_call(router, &error))
}

fn config_store(key_value: SocketAddr) -> ConfigStore {
    ConfigStore::new(KeyValueClient::new(key_value, KEY_VALUE_TIMEOUT))
}
