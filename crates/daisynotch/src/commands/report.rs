//! `daisynotch report burn`: prints error budgets and burn rates.
//!
//! See `docs/operations/service-levels.md`.

use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use daisynotch_report::{BurnReport, BurnWindows, Observation, Sample, parse_metrics, to_html};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use super::{CommandError, config_store};
use crate::printer::Printer;

/// The timeout for reading a router's metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);
/// The maximum size of a metrics response body, enough for 20,000 teams on a few routes.
const METRICS_MAX_BYTES: usize = 256 * 1024 * 1024;

/// The arguments of `report burn`.
#[derive(Debug)]
pub(crate) struct BurnOptions {
    /// The operator addresses of the routers whose metrics are read.
    pub(crate) routers: Vec<SocketAddr>,
    /// The address of the key-value service that stores the objects.
    pub(crate) key_value: SocketAddr,
    /// A file of earlier samples, to which the new samples are appended.
    pub(crate) samples: Option<PathBuf>,
    /// The file to write the HTML page to.
    pub(crate) html: Option<PathBuf>,
}

pub(crate) async fn run(options: &BurnOptions, printer: &Printer) -> Result<(), CommandError> {
    let snapshot = config_store(options.key_value).read().await?.snapshot;
    let since_1970 = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let time_ms = since_1970.map_or(0, |time| time.as_millis() as u64);
    let sampling = options
        .routers
        .iter()
        .map(|router| sample_router(*router, time_ms));
    let new_samples = futures::future::join_all(sampling).await;
    let mut samples = match &options.samples {
        Some(path) => read_samples(path)?,
        None => Vec::new(),
    };
    if let Some(path) = &options.samples {
        append_samples(path, &new_samples)?;
    }
    samples.extend(new_samples);
    let report = BurnReport::new(&snapshot.objects, &samples, BurnWindows::default());
    if let Some(path) = &options.html {
        std::fs::write(path, to_html(&report)).map_err(|error| write_error(path, &error))?;
    }
    printer.result(report.to_table().trim_end(), &report);
    Ok(())
}

/// Samples the metrics of one router.
///
/// A router that does not respond yields a sample marked as missing, not an error.
async fn sample_router(router: SocketAddr, time_ms: u64) -> Sample {
    let fetched = tokio::time::timeout(METRICS_TIMEOUT, fetch_metrics(router)).await;
    let fetched = fetched.unwrap_or_else(|_| Err("it did not answer in time".to_owned()));
    let observation = match fetched {
        Ok(text) => Observation::Seen(parse_metrics(&text)),
        Err(reason) => Observation::Missing(reason),
    };
    Sample {
        time_ms,
        router,
        observation,
    }
}

async fn fetch_metrics(router: SocketAddr) -> Result<String, String> {
    let request = Request::get(format!("http://{router}/metrics")).body(Empty::<Bytes>::new());
    let request = request.map_err(|error| error.to_string())?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client.request(request).await;
    let response = response.map_err(|error| error.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(format!("it answered {}", response.status()));
    }
    let body = Limited::new(response.into_body(), METRICS_MAX_BYTES);
    let body = body.collect().await.map_err(|error| error.to_string())?;
    String::from_utf8(body.to_bytes().to_vec()).map_err(|error| error.to_string())
}

fn read_samples(path: &Path) -> Result<Vec<Sample>, CommandError> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => {
            let path = path.to_owned();
            return Err(CommandError::Unreadable { path, error });
        }
    };
    let samples = text.lines().enumerate().map(|(index, line)| {
        serde_json::from_str(line).map_err(|error| {
            let (path, line) = (path.display(), index + 1);
            CommandError::Failed(format!(
                "`{path}` line {line} is not a valid sample: {error}; remove the line"
            ))
        })
    });
    samples.collect()
}

fn append_samples(path: &Path, samples: &[Sample]) -> Result<(), CommandError> {
    let mut lines = String::new();
    for sample in samples {
        lines.push_str(&serde_json::to_string(sample).expect("samples serialize to JSON"));
        lines.push('\n');
    }
    let file = std::fs::File::options()
        .create(true)
        .append(true)
        .open(path);
    let written = file.and_then(|mut file| file.write_all(lines.as_bytes()));
    written.map_err(|error| write_error(path, &error))
}

fn write_error(path: &Path, error: &std::io::Error) -> CommandError {
    CommandError::Failed(format!("`{}` can't be written: {error}", path.display()))
}
