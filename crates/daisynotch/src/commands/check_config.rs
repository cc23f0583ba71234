//! `daisynotch check-config`: checks a configuration of the platform before operators send it.
//!
//! See `docs/operations/check-config.md`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use bytes::Bytes;
use daisynotch_adapter::{ConfigurationReport, PlatformAdapter, check_configuration};
use daisynotch_core::direct::{EndpointCounts, EndpointState, Severity};
use daisynotch_platform::ports::{DecodeError, Platform, RangePage, StoreItem};
use hyper::StatusCode;

use super::http_call::HttpCall;
use super::{CommandError, KEY_VALUE_TIMEOUT};
use crate::printer::Printer;

/// The exit code for a configuration with warnings, but without errors.
const EXIT_WARNINGS: u8 = 1;
/// The exit code for a configuration with errors.
const EXIT_ERRORS: u8 = 2;

/// Maximum size of a page of the store, as for routers: a page is about 1 MB, and the text encoding
/// of its values adds a third.
const PAGE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// What a configuration is compared with.
#[daisynotch_macros::value]
pub(crate) enum Baseline {
    /// Nothing.
    None,
    /// A configuration in a file.
    File(PathBuf),
    /// The configuration and the endpoints in the platform's store.
    Store(SocketAddr),
}

/// The options of the command.
#[daisynotch_macros::value]
pub(crate) struct CheckConfigOptions {
    pub(crate) file: PathBuf,
    pub(crate) baseline: Baseline,
}

pub(crate) async fn run(
    options: &CheckConfigOptions,
    printer: &Printer,
) -> Result<ExitCode, CommandError> {
    let text = read(&options.file)?;
    let report = match &options.baseline {
        Baseline::None => check_configuration(&text, None, None),
        Baseline::File(path) => check_configuration(&text, Some(&read(path)?), None),
        Baseline::Store(address) => {
            let (in_force, endpoints) = read_store(*address).await?;
            if in_force.is_none() {
                printer.progress("the store holds no configuration, so none is in force");
            }
            check_configuration(&text, in_force.as_deref(), Some(&endpoints))
        }
    };
    printer.result(&report.to_string(), &report.to_json());
    Ok(exit_code(&report))
}

fn exit_code(report: &ConfigurationReport) -> ExitCode {
    if report.count(Severity::Error) > 0 {
        return ExitCode::from(EXIT_ERRORS);
    }
    if report.count(Severity::Warning) > 0 {
        return ExitCode::from(EXIT_WARNINGS);
    }
    ExitCode::SUCCESS
}

fn read(path: &Path) -> Result<Vec<u8>, CommandError> {
    std::fs::read(path).map_err(|error| CommandError::Unreadable {
        path: path.to_owned(),
        error,
    })
}

/// Reads the configuration in force, if there is one, and counts the endpoints of each service that
/// accept requests.
async fn read_store(address: SocketAddr) -> Result<(Option<Bytes>, EndpointCounts), CommandError> {
    let prefixes = PlatformAdapter.prefixes();
    let items = list(address, prefixes.configuration).await?;
    let configurations = items
        .into_iter()
        .filter(|item| !item.key.starts_with(prefixes.evacuations));
    // Routers use the greatest version, and skip what they can't decode.
    let in_force = configurations.max_by_key(|item| {
        let table = PlatformAdapter.decode_configuration(&item.value);
        table.ok().map(|table| table.version)
    });
    let mut endpoints = EndpointCounts::new();
    for item in list(address, prefixes.endpoints).await? {
        let name = item.key.strip_prefix(prefixes.endpoints);
        let name = name.unwrap_or(&item.key);
        // Routers skip entries that they can't decode, too.
        let entry = PlatformAdapter.decode_endpoint(name, &item.value).ok();
        if let Some(entry) = entry.filter(|entry| entry.state == EndpointState::Ready) {
            *endpoints.entry(Arc::clone(&entry.service)).or_default() += 1;
        }
    }
    Ok((in_force.map(|item| item.value), endpoints))
}

/// Lists all items with a prefix, page by page.
async fn list(address: SocketAddr, prefix: &str) -> Result<Vec<StoreItem>, CommandError> {
    let mut items = Vec::new();
    let mut after: Option<String> = None;
    loop {
        let page = read_page(address, prefix, after.as_deref()).await;
        let page = page.map_err(|problem| {
            CommandError::NotChecked(format!(
                "store at {address}: {problem}; check that this is the platform's store"
            ))
        })?;
        // A page without a later key would be followed by itself.
        let is_last = !page.has_more || page.last_key <= after;
        after = page.last_key;
        items.extend(page.items);
        if is_last {
            return Ok(items);
        }
    }
}

async fn read_page(
    address: SocketAddr,
    prefix: &str,
    after: Option<&str>,
) -> Result<RangePage, String> {
    let call = PlatformAdapter.range(prefix, after, false);
    let call = HttpCall {
        method: call.method,
        target: call.target,
        body: call.body,
        response_max_bytes: PAGE_MAX_BYTES,
        timeout: KEY_VALUE_TIMEOUT,
    };
    let (status, body) = call.send(address).await?;
    if status != StatusCode::OK {
        return Err(format!("it responded with {status}"));
    }
    let page = PlatformAdapter.decode_range(&body);
    page.map_err(|error: DecodeError| error.to_string())
}
