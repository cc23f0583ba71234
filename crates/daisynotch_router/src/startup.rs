//! What both kinds of router do when they start.

use std::net::SocketAddr;
use std::path::Path;
use std::time::SystemTime;

use daisynotch_core::Incarnation;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

use crate::settings::SettingsError;

/// An address that can't be listened on.
#[derive(Debug, thiserror::Error)]
#[error("`{key}` {address} can't be listened on: {error}")]
pub struct ListenError {
    /// The setting that has the address.
    pub key: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// What the system said.
    pub error: std::io::Error,
}

/// Listens on the address of a setting.
pub(crate) async fn listen(
    key: &'static str,
    address: SocketAddr,
) -> Result<TcpListener, ListenError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| ListenError {
        key,
        address,
        error,
    })
}

/// Numbers this start: a later start of a router has a higher number.
pub(crate) fn next_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = since_epoch.unwrap_or_default().as_micros();
    Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// Reads settings from a file and checks their values.
pub(crate) fn read_settings<S: DeserializeOwned>(
    path: &Path,
    check: impl FnOnce(&S) -> Result<(), SettingsError>,
) -> Result<S, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
        path: path.to_owned(),
        error,
    })?;
    parse_settings(&text, check)
}

/// Parses settings and checks their values.
pub(crate) fn parse_settings<S: DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&S) -> Result<(), SettingsError>,
) -> Result<S, SettingsError> {
    let settings = toml::from_str(text);
    let settings = settings.map_err(|error| SettingsError::Malformed(error.to_string()))?;
    check(&settings)?;
    Ok(settings)
}
