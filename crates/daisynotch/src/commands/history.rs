//! `daisynotch history`: prints the latest changes.

use std::net::SocketAddr;
use std::time::Duration;

use daisynotch_platform::ChangeRecord;

use super::{CommandError, change_line, config_store};
use crate::printer::Printer;

const SECONDS_PER_DAY: u64 = 86_400;

pub(crate) async fn run(key_value: SocketAddr, printer: &Printer) -> Result<(), CommandError> {
    let history = config_store(key_value).head().await?.head.history;
    if history.is_empty() {
        printer.result("nothing was ever published", &history);
        return Ok(());
    }
    let lines: Vec<String> = history.iter().map(record_text).collect();
    printer.result(&lines.join("\n"), &history);
    Ok(())
}

fn record_text(record: &ChangeRecord) -> String {
    let time = utc_text(Duration::from_millis(record.time_ms));
    let line = change_line(record);
    format!(
        "{}\n    {time}, change {}: {}",
        line.trim_start(),
        record.id,
        record.summary
    )
}

/// Writes a time since 1970 as a date and time of day in UTC.
fn utc_text(since_1970: Duration) -> String {
    let seconds = since_1970.as_secs();
    let (year, month, day) = civil_date(seconds / SECONDS_PER_DAY);
    let second = seconds % SECONDS_PER_DAY;
    let (hour, minute, second) = (second / 3_600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Turns days since 1970 into year, month and day of the Gregorian calendar.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let is_leap = |year: u64| {
        year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
    };
    let mut year = 1970;
    let mut left = days;
    while left >= 365 + u64::from(is_leap(year)) {
        left -= 365 + u64::from(is_leap(year));
        year += 1;
    }
    let february = 28 + u64::from(is_leap(year));
    let months = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 0;
    while left >= months[month] {
        left -= months[month];
        month += 1;
    }
    (year, month as u64 + 1, left + 1)
}

#[cfg(test)]
mod tests;
