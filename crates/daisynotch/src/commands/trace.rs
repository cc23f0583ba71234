//! `daisynotch trace`: joins the log lines of several routers on one request.
//!
//! `docs/OPERATIONS.md` shows how to read what it prints.

use std::path::PathBuf;

use serde_json::{Map, Value};

use super::CommandError;
use crate::printer::Printer;

/// How long before and after a request's end other lines are of interest, in milliseconds.
const AROUND_MS: u64 = 5_000;

/// A log line: its time, its host and all that it says.
struct Line {
    unix_ms: u64,
    fields: Map<String, Value>,
}

/// Prints the lines on a request, and what happened around it to its router, its endpoint
/// and the store.
pub(crate) fn run(id: &str, logs: &[PathBuf], printer: &Printer) -> Result<(), CommandError> {
    let mut lines = Vec::new();
    for path in logs {
        let text = std::fs::read(path).map_err(|error| CommandError::Unreadable {
            path: path.clone(),
            error,
        })?;
        lines.extend(String::from_utf8_lossy(&text).lines().filter_map(parse));
    }
    lines.sort_by_key(|line| line.unix_ms);
    let chosen = history(&lines, id);
    if chosen.is_empty() {
        let logs = logs.len();
        return Err(CommandError::Failed(format!(
            "no line of {logs} logs names the request `{id}`: name the logs of all routers"
        )));
    }
    let text: Vec<String> = chosen.iter().map(|line| to_text(line)).collect();
    let values: Vec<&Map<String, Value>> = chosen.iter().map(|line| &line.fields).collect();
    printer.result(&text.join("\n"), &values);
    Ok(())
}

/// Reads a line; what stands before its JSON object, as a collector adds it, is skipped.
fn parse(text: &str) -> Option<Line> {
    let object = &text[text.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let unix_ms = fields.get("unix_ms")?.as_u64()?;
    Some(Line { unix_ms, fields })
}

/// Chooses the lines on a request, and those around it that may explain it.
fn history<'a>(lines: &'a [Line], id: &str) -> Vec<&'a Line> {
    let is_own = |line: &&Line| line.fields.get("id").and_then(Value::as_str) == Some(id);
    let own: Vec<&Line> = lines.iter().filter(is_own).collect();
    let explains = |line: &Line| {
        own.iter().any(|own| {
            let is_near = line.unix_ms.abs_diff(own.unix_ms) <= AROUND_MS;
            let same = |key: &str| {
                own.fields.get(key).is_some() && own.fields.get(key) == line.fields.get(key)
            };
            let event = line.fields.get("event").and_then(Value::as_str);
            is_near
                && match event {
                    Some("request") => false,
                    Some("endpoint") => same("host") && same("endpoint"),
                    _ => same("host"),
                }
        })
    };
    let chosen = lines.iter().filter(|line| is_own(line) || explains(line));
    chosen.collect()
}

fn to_text(line: &Line) -> String {
    let text = |key: &str| line.fields.get(key).and_then(Value::as_str).unwrap_or("?");
    let rest = line.fields.iter().filter(|(key, value)| {
        !matches!(key.as_str(), "unix_ms" | "host" | "event") && !value.is_null()
    });
    let rest: Vec<String> = rest.map(|(key, value)| format!("{key}={value}")).collect();
    format!(
        "{} {} {} {}",
        line.unix_ms,
        text("host"),
        text("event"),
        rest.join(" ")
    )
}

#[cfg(test)]
mod tests;
