//! Structured logs, as text or JSON lines on standard error.

use std::str::FromStr;

use log::LevelFilter;
use logforth::append::Stderr;
use logforth::layout::{JsonLayout, LogfmtLayout};

/// How log lines are written.
#[daisynotch_macros::message]
#[derive(Copy, Default)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// `key=value` pairs for a reader.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("`{text}` is no log format: use `text` or `json`")),
        }
    }
}

/// Starts logging for the process; later calls change nothing.
pub fn start_logging(format: LogFormat, level: LevelFilter) {
    let builder = logforth::starter_log::builder();
    let started = match format {
        LogFormat::Text => builder.dispatch(|dispatch| {
            dispatch.append(Stderr::default().with_layout(LogfmtLayout::default()))
        }),
        LogFormat::Json => builder.dispatch(|dispatch| {
            dispatch.append(Stderr::default().with_layout(JsonLayout::default()))
        }),
    };
    if started.try_apply().is_ok() {
        log::set_max_level(level);
    }
}
