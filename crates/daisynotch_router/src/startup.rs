//! Startup functions that the scheduled and the direct router share.

use std::net::SocketAddr;
use std::path::Path;
use std::time::SystemTime;

use daisynotch_core::Incarnation;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;

use crate::settings::SettingsError;

/// A failure to listen on an address from the settings.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address} (setting `{key}`): {error}")]
pub struct ListenError {
    /// The key of the setting.
    pub key: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// The I/O error.
    pub error: std::io::Error,
}

/// Listens on the address from a setting.
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

/// Returns the incarnation number of this start, which rises with each start of a router.
pub(crate) fn next_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let micros = since_epoch.unwrap_or_default().as_micros();
    Incarnation(u64::try_from(micros).unwrap_or(u64::MAX))
}

/// Reads and validates a settings file.
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

/// Parses and validates settings.
pub(crate) fn parse_settings<S: DeserializeOwned>(
    text: &str,
    check: impl FnOnce(&S) -> Result<(), SettingsError>,
) -> Result<S, SettingsError> {
    let settings = toml::from_str(text);
    let settings = settings.map_err(|error| SettingsError::Malformed(error.to_string()))?;
    check(&settings)?;
    Ok(settings)
}
