//! `daisynotch history`: prints the latest published changes.

use std::net::SocketAddr;
use std::time::Duration;

use daisynotch_platform::ChangeRecord;

use super::{CommandError, config_store, format_change};
use crate::printer::Printer;

const SECONDS_PER_DAY: u64 = 86_400;

pub(crate) async fn run(key_value: SocketAddr, printer: &Printer) -> Result<(), CommandError> {
    let history = config_store(key_value).head().await?.head.history;
    if history.is_empty() {
        printer.result("nothing has been published yet", &history);
        return Ok(());
    }
    let lines: Vec<String> = history.iter().map(format_record).collect();
    printer.result(&lines.join("\n"), &history);
    Ok(())
}

fn format_record(record: &ChangeRecord) -> String {
    let time = format_utc(Duration::from_millis(record.time_ms));
    let line = format_change(record);
    format!(
        "{}\n    {time}, change {}: {}",
        line.trim_start(),
        record.id,
        record.summary
    )
}

/// Formats a Unix time as an RFC 3339 timestamp in UTC, without fractions of a second.
fn format_utc(since_1970: Duration) -> String {
    let seconds = since_1970.as_secs();
    let (year, month, day) = civil_date(seconds / SECONDS_PER_DAY);
    let second = seconds % SECONDS_PER_DAY;
    let (hour, minute, second) = (second / 3_600, second / 60 % 60, second % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Converts days since 1970-01-01 to the year, month and day of the Gregorian calendar.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let is_leap = |year: u64| {
        year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
    };
    let mut year = 1970;
    let mut remaining_days = days;
    while remaining_days >= 365 + u64::from(is_leap(year)) {
        remaining_days -= 365 + u64::from(is_leap(year));
        year += 1;
    }
    let february = 28 + u64::from(is_leap(year));
    let months = [31, february, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 0;
    while remaining_days >= months[month] {
        remaining_days -= months[month];
        month += 1;
    }
    (year, month as u64 + 1, remaining_days + 1)
}

#[cfg(test)]
mod tests;
