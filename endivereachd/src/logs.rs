//! Log lines on standard error.

use endivereach_core::logfmt::OneLine;
use log::Record;
use std::fmt::Display;
use std::io;
use std::io::Write;

/// Installs the process's logger. The variable `RUST_LOG` selects what is logged.
pub fn install() {
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment)
        .format(|line, record| {
            let timestamp = line.timestamp();
            write_line(line, timestamp, record)
        })
        .init();
}

/// Writes a record as one line, whatever its arguments contain.
///
/// # Errors
///
/// Returns the errors of `out`.
///
/// # Examples
///
/// ```
/// use log::{Level, Record};
///
/// let mut line = Vec::new();
/// let args = format_args!("draining");
/// let record = Record::builder().level(Level::Info).target("endivereachd").args(args).build();
/// endivereachd::logs::write_line(&mut line, "2026-03-02T00:00:00Z", &record).unwrap();
/// assert_eq!(line, b"[2026-03-02T00:00:00Z INFO  endivereachd] draining\n");
/// ```
pub fn write_line(
    out: &mut impl Write,
    timestamp: impl Display,
    record: &Record<'_>,
) -> io::Result<()> {
    writeln!(
        out,
        "[{timestamp} {:<5} {}] {}",
        record.level(),
        record.target(),
        OneLine(record.args())
    )
}
