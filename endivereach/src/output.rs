//! Output formats: tables, JSON and timestamps.

use endivereach_core::logfmt::OneLine;
use serde::Serialize;
use std::io;
use std::io::Write;

/// A text table with a heading row and left-aligned columns.
///
/// # Examples
///
/// ```
/// use endivereach::output::Table;
///
/// let mut table = Table::new(["PROXY", "VERSION"]);
/// table.row(["entry-1", "41"]);
/// assert_eq!(table.to_string(), "PROXY    VERSION\nentry-1  41\n");
/// ```
#[derive(Clone, Debug)]
pub struct Table<const N: usize> {
    rows: Vec<[String; N]>,
}

impl<const N: usize> Table<N> {
    /// Creates a table with a heading row.
    pub fn new(heading: [&str; N]) -> Self {
        Self {
            rows: vec![heading.map(str::to_owned)],
        }
    }

    /// Appends a row below the others. Control characters in its cells are escaped.
    pub fn row(&mut self, cells: [impl Into<String>; N]) {
        let one_line = |cell: String| match cell.contains(char::is_control) {
            true => OneLine(cell).to_string(),
            false => cell,
        };
        self.rows.push(cells.map(|cell| one_line(cell.into())));
    }
}

impl<const N: usize> std::fmt::Display for Table<N> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let column_width = |column: usize| {
            let widths = self.rows.iter().map(|row| row[column].chars().count());
            widths.max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..N).map(column_width).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                line.push_str(&format!("{cell:width$}  "));
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Writes a value as one line of JSON.
///
/// # Errors
///
/// Returns the errors of `out`.
pub fn write_json(out: &mut impl Write, value: &impl Serialize) -> io::Result<()> {
    serde_json::to_writer(&mut *out, value)?;
    writeln!(out)
}

/// Formats milliseconds since the Unix epoch as a UTC time with a resolution of seconds.
///
/// # Examples
///
/// ```
/// assert_eq!(endivereach::output::utc(1_772_409_600_000), "2026-03-02 00:00:00 UTC");
/// ```
pub fn utc(unix_ms: u64) -> String {
    let seconds = unix_ms / 1000;
    let (days, second_of_day) = (seconds / 86_400, seconds % 86_400);
    let (year, month, day) = civil_date(days);
    let (hour, minute, second) = (
        second_of_day / 3600,
        second_of_day / 60 % 60,
        second_of_day % 60,
    );
    format!("{year:04}-{month:02}-{day:02} {hour:02}:{minute:02}:{second:02} UTC")
}

/// Formats milliseconds since the Unix epoch as a UTC time with a resolution of milliseconds.
///
/// # Examples
///
/// ```
/// let text = endivereach::output::utc_millis(1_772_409_600_007);
/// assert_eq!(text, "2026-03-02 00:00:00.007 UTC");
/// ```
pub fn utc_millis(unix_ms: u64) -> String {
    utc(unix_ms).replace(" UTC", &format!(".{:03} UTC", unix_ms % 1000))
}

/// Returns year, month and day in the Gregorian calendar for a number of days since the start of
/// 1970.
///
/// The calculation uses eras of 400 years whose years start in March, so that the leap day is the
/// last day of a year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    // The days in an era of 400 years.
    const DAYS_PER_ERA: u64 = 146_097;
    // The days from 0000-03-01 to 1970-01-01.
    const DAYS_TO_1970: u64 = 719_468;
    let days = days + DAYS_TO_1970;
    let (era, day_of_era) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let leap_days = day_of_era / 1460 - day_of_era / 36_524 + day_of_era / (DAYS_PER_ERA - 1);
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = (month_from_march + 2) % 12 + 1;
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
