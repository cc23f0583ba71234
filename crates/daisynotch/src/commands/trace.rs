//! `daisynotch trace`: merges the log lines of several routers that concern one request.
//!
//! See `docs/OPERATIONS.md` for how to read the output.

use std::path::PathBuf;

use serde_json::{Map, Value};

use super::CommandError;
use crate::printer::Printer;

/// The maximum time between a context line and the line logged at the request's end, in
/// milliseconds.
const CONTEXT_WINDOW_MS: u64 = 5_000;

/// A structured log line.
struct LogLine {
    unix_ms: u64,
    fields: Map<String, Value>,
}

/// Prints the lines about a request and the lines from around that time about its router,
/// its endpoint and the store.
pub(crate) fn run(id: &str, logs: &[PathBuf], printer: &Printer) -> Result<(), CommandError> {
    let mut lines = Vec::new();
    for path in logs {
        let text = std::fs::read(path).map_err(|error| CommandError::Unreadable {
            path: path.clone(),
            error,
        })?;
        lines.extend(
            String::from_utf8_lossy(&text)
                .lines()
                .filter_map(parse_line),
        );
    }
    lines.sort_by_key(|line| line.unix_ms);
    let selected = select_lines(&lines, id);
    if selected.is_empty() {
        let logs = logs.len();
        return Err(CommandError::Failed(format!(
            "no line in {logs} logs names the request `{id}`: pass the logs of all routers"
        )));
    }
    let text: Vec<String> = selected.iter().map(|line| to_text(line)).collect();
    let values: Vec<&Map<String, Value>> = selected.iter().map(|line| &line.fields).collect();
    printer.result(&text.join("\n"), &values);
    Ok(())
}

/// Parses a log line, skipping any prefix that a log collector put before the JSON object.
///
/// Returns `None` for lines that are not structured log lines.
fn parse_line(text: &str) -> Option<LogLine> {
    let object = &text[text.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let unix_ms = fields.get("unix_ms")?.as_u64()?;
    Some(LogLine { unix_ms, fields })
}

/// Selects the lines about a request and its context.
///
/// Context lines come from the same host and lie within [`CONTEXT_WINDOW_MS`] of a line about
/// the request. Lines about other requests and other endpoints are left out.
fn select_lines<'a>(lines: &'a [LogLine], id: &str) -> Vec<&'a LogLine> {
    let is_about_request =
        |line: &&LogLine| line.fields.get("id").and_then(Value::as_str) == Some(id);
    let request_lines: Vec<&LogLine> = lines.iter().filter(is_about_request).collect();
    let is_context = |line: &LogLine| {
        request_lines.iter().any(|request_line| {
            let is_near = line.unix_ms.abs_diff(request_line.unix_ms) <= CONTEXT_WINDOW_MS;
            let is_same = |key: &str| {
                request_line.fields.get(key).is_some()
                    && request_line.fields.get(key) == line.fields.get(key)
            };
            let event = line.fields.get("event").and_then(Value::as_str);
            is_near
                && match event {
                    Some("request") => false,
                    Some("endpoint") => is_same("host") && is_same("endpoint"),
                    _ => is_same("host"),
                }
        })
    };
    let selected = lines
        .iter()
        .filter(|line| is_about_request(line) || is_context(line));
    selected.collect()
}

fn to_text(line: &LogLine) -> String {
    let text = |key: &str| line.fields.get(key).and_then(Value::as_str).unwrap_or("?");
    let details = line.fields.iter().filter(|(key, value)| {
        !matches!(key.as_str(), "unix_ms" | "host" | "event") && !value.is_null()
    });
    let details: Vec<String> = details
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    format!(
        "{} {} {} {}",
        line.unix_ms,
        text("host"),
        text("event"),
        details.join(" ")
    )
}

#[cfg(test)]
mod tests;
