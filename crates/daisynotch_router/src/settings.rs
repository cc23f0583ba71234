//! The settings of one router, in TOML.
//!
//! `docs/operations/settings.md` lists every key. Unknown keys are errors, so a misspelt key
//! is never silently ignored.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use daisynotch_objects::{RouterName, ZoneName};

use crate::logging::LogFormat;
use crate::startup;

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("settings file `{}` can't be read: {error}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        error: std::io::Error,
    },
    /// The text is not valid, or a key is unknown, missing or of the wrong kind.
    #[error("settings can't be used: {0}")]
    Malformed(String),
    /// A key has a value that can't be used.
    #[error("settings: `{key}` {problem}")]
    BadValue {
        /// The key.
        key: &'static str,
        /// What is wrong with the value and how to correct it.
        problem: String,
    },
}

/// A seed router: a peer whose address the settings name.
#[daisynotch_macros::message]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The name of the router.
    pub router: RouterName,
    /// The address on which it listens for other routers.
    pub address: SocketAddr,
}

/// Limits on callers' requests and connections.
#[daisynotch_macros::message]
#[derive(Copy)]
#[serde(deny_unknown_fields, default)]
pub struct HttpLimits {
    /// The maximum length of a request head, in bytes.
    pub header_max_bytes: usize,
    /// The maximum length of a request body, in bytes.
    pub body_max_bytes: u64,
    /// The timeout for reading a request head, in milliseconds.
    pub header_timeout_ms: u64,
    /// The timeout for reading a request body, in milliseconds.
    pub body_timeout_ms: u64,
    /// The maximum number of open connections.
    pub connections_max: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            header_max_bytes: 32 * 1024,
            body_max_bytes: 8 * 1024 * 1024,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
            connections_max: 10_000,
        }
    }
}

/// All settings of one router.
#[daisynotch_macros::message]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This router's name, unique in the fleet.
    pub router: RouterName,
    /// The availability zone of this router.
    pub zone: ZoneName,
    /// The address on which callers connect.
    pub caller_address: SocketAddr,
    /// The address on which other routers connect.
    pub peer_address: SocketAddr,
    /// The address on which operators and their tools connect.
    pub operator_address: SocketAddr,
    /// The address of the platform's key-value service.
    pub key_value_address: SocketAddr,
    /// The address of the platform's host list; without it, `peers` are the only seed routers.
    #[serde(default)]
    pub host_list_address: Option<SocketAddr>,
    /// The seed routers.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// How long callers may keep an entry address, in milliseconds.
    #[serde(default = "default_entry_keep_ms")]
    pub entry_keep_ms: u64,
    /// The timeout of a call to the key-value service, in milliseconds.
    #[serde(default = "default_key_value_timeout_ms")]
    pub key_value_timeout_ms: u64,
    /// Limits on callers' requests and connections.
    #[serde(default)]
    pub http: HttpLimits,
    /// The format of log lines.
    #[serde(default)]
    pub log_format: LogFormat,
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        startup::read_settings(path, Self::check)
    }

    /// Parses and checks settings.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        startup::parse_settings(text, Self::check)
    }

    /// Returns how long callers may keep an entry address.
    pub fn entry_keep(&self) -> Duration {
        Duration::from_millis(self.entry_keep_ms)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let positive = [
            ("entry_keep_ms", self.entry_keep_ms),
            ("key_value_timeout_ms", self.key_value_timeout_ms),
            ("http.header_timeout_ms", self.http.header_timeout_ms),
            ("http.body_timeout_ms", self.http.body_timeout_ms),
            ("http.body_max_bytes", self.http.body_max_bytes),
        ];
        for (key, value) in positive {
            if value == 0 {
                let problem = "is 0: give a positive number".to_owned();
                return Err(SettingsError::BadValue { key, problem });
            }
        }
        if self.http.header_max_bytes < 8 * 1024 {
            let key = "http.header_max_bytes";
            let problem = "is under 8192, the minimum that the HTTP library accepts".to_owned();
            return Err(SettingsError::BadValue { key, problem });
        }
        if self.peers.iter().any(|peer| peer.router == self.router) {
            let problem = format!("names this router, `{}`: leave it out", self.router);
            return Err(SettingsError::BadValue {
                key: "peers",
                problem,
            });
        }
        Ok(())
    }
}

fn default_entry_keep_ms() -> u64 {
    5_000
}

fn default_key_value_timeout_ms() -> u64 {
    2_000
}

#[cfg(test)]
mod tests;
