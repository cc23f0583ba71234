//! The settings of one router, in TOML.
//!
//! `docs/operations/settings.md` lists every key. An unknown key is an error, so
//! that a misspelt one is never silently without effect.

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
        /// What the system said.
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
        /// What is wrong and how to mend it.
        problem: String,
    },
}

/// Another router that is known from the start.
#[daisynotch_macros::message]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Its name.
    pub router: RouterName,
    /// Where it listens for routers.
    pub address: SocketAddr,
}

/// Limits on what a caller may send.
#[daisynotch_macros::message]
#[derive(Copy)]
#[serde(deny_unknown_fields, default)]
pub struct HttpLimits {
    /// The longest head of a request, in bytes.
    pub header_max_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_max_bytes: u64,
    /// The longest time for the head of a request, in milliseconds.
    pub header_timeout_ms: u64,
    /// The longest time for the body of a request, in milliseconds.
    pub body_timeout_ms: u64,
    /// The most connections that are open at the same time.
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
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other routers connect.
    pub peer_address: SocketAddr,
    /// Where operators and their tools connect.
    pub operator_address: SocketAddr,
    /// Where the platform's key-value service listens.
    pub key_value_address: SocketAddr,
    /// Where the platform's host list is served; without it only `peers` are known.
    #[serde(default)]
    pub host_list_address: Option<SocketAddr>,
    /// Routers that are known from the start.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// How long callers may keep an entry address, in milliseconds.
    #[serde(default = "default_entry_keep_ms")]
    pub entry_keep_ms: u64,
    /// How long a call to the key-value service may take, in milliseconds.
    #[serde(default = "default_key_value_timeout_ms")]
    pub key_value_timeout_ms: u64,
    /// Limits on what a caller may send.
    #[serde(default)]
    pub http: HttpLimits,
    /// How log lines are written.
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

    /// Gives how long callers may keep an entry address.
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
            let problem = "is under 8192, the least that the HTTP library takes".to_owned();
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
