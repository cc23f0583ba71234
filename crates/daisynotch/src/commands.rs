//! One module a command.

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod credential;
pub(crate) mod demo;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod edit_source;
pub(crate) mod experiment;
pub(crate) mod get;
pub(crate) mod history;
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

/// How long a call to the key-value service may take.
const KEY_VALUE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a call to a router may take.
const ROUTER_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A file can't be read.
    #[error("`{}` can't be read: {error}", path.display())]
    Unreadable {
        path: PathBuf,
        error: std::io::Error,
    },
    /// A file holds no objects.
    #[error("`{}`: {error}", path.display())]
    Malformed { path: PathBuf, error: ParseError },
    /// A file holds no experiment.
    #[error("`{}`: {error}", path.display())]
    BadExperiment {
        path: PathBuf,
        error: daisynotch_emulator::ExperimentError,
    },
    /// The objects have errors.
    #[error("nothing was changed, the objects have errors:\n{0}")]
    BadObjects(String),
    /// Another operator was first.
    #[error("{}", conflict_text(.0))]
    Conflict(Conflict),
    /// The answer was lost and nothing was learnt since.
    #[error(
        "unknown: the change was sent, and the key-value service has answered nothing since; \
         when it answers again, `daisynotch history` has change {0} if it landed"
    )]
    Unknown(ChangeId),
    /// The change does not fit the published objects.
    #[error("nothing was changed: {0}")]
    Edit(#[from] EditError),
    /// The stored objects can't be read or changed.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A router or a fake can't be used.
    #[error("{0}")]
    Failed(String),
}

impl CommandError {
    /// A call to a router's operator address failed.
    fn router(address: SocketAddr, error: &dyn std::fmt::Display) -> Self {
        Self::Failed(format!(
            "router at {address}: {error}; is it the router's `operator_address`?"
        ))
    }

    /// Gives the exit code that the help text names.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::Unreadable { .. }
            | Self::Malformed { .. }
            | Self::BadExperiment { .. }
            | Self::BadObjects(_)
            | Self::Edit(_) => 2,
            Self::Conflict(_) => 3,
            Self::Unknown(_) => 4,
            Self::Store(_) | Self::Failed(_) => 1,
        }
    }
}

/// Says what others published first.
fn conflict_text(conflict: &Conflict) -> String {
    let mut lines = vec![format!(
        "conflict: nothing was changed, as others have published up to revision {}:",
        conflict.revision
    )];
    lines.extend(conflict.changes.iter().map(change_line));
    if !conflict.is_complete {
        lines.push("  older changes are no longer remembered".to_owned());
    }
    lines.push("compare with `daisynotch diff`, then apply again".to_owned());
    lines.join("\n")
}

/// Describes a published change on one line.
fn change_line(record: &ChangeRecord) -> String {
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

/// Reads objects from a file.
fn read_objects(path: &Path) -> Result<Objects, CommandError> {
    let path_buf = || path.to_owned();
    let text = std::fs::read_to_string(path).map_err(|error| CommandError::Unreadable {
        path: path_buf(),
        error,
    })?;
    text.parse().map_err(|error| CommandError::Malformed {
        path: path_buf(),
        error,
    })
}

/// Checks objects as a whole.
fn check_objects(objects: &Objects) -> Result<(), CommandError> {
    let errors = daisynotch_objects::check(objects);
    if errors.is_empty() {
        return Ok(());
    }
    let lines: Vec<String> = errors.iter().map(|error| format!("  {error}")).collect();
    Err(CommandError::BadObjects(lines.join("\n")))
}

/// Makes a client of a router's operator address.
fn operator_client(router: SocketAddr) -> Result<HttpClient, CommandError> {
    let client = HttpClientBuilder::default().request_timeout(ROUTER_TIMEOUT);
    let client = client.build(format!("http://{router}/rpc"));
    client.map_err(|error| CommandError::router(router, &error))
}

fn config_store(key_value: SocketAddr) -> ConfigStore {
    ConfigStore::new(KeyValueClient::new(key_value, KEY_VALUE_TIMEOUT))
}
