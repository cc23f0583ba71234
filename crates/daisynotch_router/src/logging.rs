//! Structured logging to standard error, as text or JSON lines.

use std::str::FromStr;

use log::LevelFilter;
use logforth::append::Stderr;
use logforth::layout::{JsonLayout, LogfmtLayout};

/// The format of log lines.
#[daisynotch_macros::message]
#[derive(Copy, Default)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// `key=value` pairs, for people.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err(format!("unknown log format `{text}`: use `text` or `json`")),
        }
    }
}

/// Initializes logging for the process; later calls have no effect.
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
