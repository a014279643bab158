//! Structured log lines on standard output, limited in volume and written without blocking.

use endivereach_core::logfmt::LogValue;
use endivereach_core::logfmt::OneLine;
use log::Level;
use log::Record;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// The most bytes that are buffered for a slow reader. Lines that don't fit are dropped and
/// counted.
const BUFFER_MAX_BYTES: usize = 64 * 1024;

/// The most lines about single requests that are written per second. Lines over the limit are
/// dropped and counted.
const REQUEST_LINES_PER_S_MAX: u32 = 100;

/// The log target of lines about single requests, to which the rate limit applies.
const REQUEST_TARGET: &str = "request";

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped_lines: u64,
    current_second: u64,
    request_lines_this_second: u32,
}

/// The buffer of log lines that aren't written yet.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer(Arc<Mutex<Buffer>>);

impl LogBuffer {
    /// Installs the buffer as the process's logger.
    ///
    /// # Errors
    ///
    /// Returns an error if a logger is already installed.
    pub fn install(node: &str) -> Result<Self, log::SetLoggerError> {
        let buffer = Self::default();
        let limiter = buffer.clone();
        let node = LogValue(node).to_string();
        env_logger::Builder::new()
            .filter_level(log::LevelFilter::Info)
            .target(env_logger::Target::Pipe(Box::new(buffer.clone())))
            .format(move |line, record| {
                let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
                let ts_ms = since_epoch.map_or(0, |time| time.as_millis());
                if record.target() == REQUEST_TARGET && !limiter.admits_request_line(ts_ms) {
                    return Ok(());
                }
                write_line(line, ts_ms, &node, record)
            })
            .try_init()?;
        Ok(buffer)
    }

    fn admits_request_line(&self, ts_ms: u128) -> bool {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let second = (ts_ms / 1_000) as u64;
        if second != buffer.current_second {
            buffer.current_second = second;
            buffer.request_lines_this_second = 0;
        }
        buffer.request_lines_this_second += 1;
        if buffer.request_lines_this_second > REQUEST_LINES_PER_S_MAX {
            buffer.dropped_lines += 1;
            return false;
        }
        true
    }

    /// Writes as much of the buffer as standard output accepts without blocking.
    pub fn write_to_standard_output(&self) {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.is_empty() {
            return;
        }
        if buffer.dropped_lines > 0 && buffer.bytes.len() < BUFFER_MAX_BYTES {
            let line = format!(
                "level=warn about=log event=lines-dropped count={}\n",
                buffer.dropped_lines
            );
            buffer.bytes.extend_from_slice(line.as_bytes());
            buffer.dropped_lines = 0;
        }
        let written = write_standard_output(&buffer.bytes);
        buffer.bytes.drain(..written);
    }
}

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + bytes.len() > BUFFER_MAX_BYTES {
            buffer.dropped_lines += 1;
        } else {
            buffer.bytes.extend_from_slice(bytes);
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        // The event loop writes the buffer to standard output; a logger must not block.
        Ok(())
    }
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
/// let args = format_args!("event=stop");
/// let record = Record::builder().level(Level::Info).target("process").args(args).build();
/// endivereach_front::logs::write_line(&mut line, 7, "front-1", &record).unwrap();
/// assert_eq!(line, b"ts_ms=7 level=info node=front-1 about=process event=stop\n");
/// ```
pub fn write_line(
    out: &mut impl Write,
    ts_ms: u128,
    node: &str,
    record: &Record<'_>,
) -> io::Result<()> {
    let level = match record.level() {
        Level::Error => "error",
        Level::Warn => "warn",
        _ => "info",
    };
    writeln!(
        out,
        "ts_ms={ts_ms} level={level} node={node} about={} {}",
        record.target(),
        OneLine(record.args())
    )
}

/// Makes standard output non-blocking, so that a slow reader can't stall the event loop.
pub fn set_standard_output_nonblocking() {
    // SAFETY: The calls take no pointers, and the descriptor belongs to the process.
    unsafe {
        let flags = libc::fcntl(libc::STDOUT_FILENO, libc::F_GETFL);
        if flags >= 0 {
            libc::fcntl(libc::STDOUT_FILENO, libc::F_SETFL, flags | libc::O_NONBLOCK);
        }
    }
}

/// Returns the number of bytes written, or 0 after an error. The error is ignored, because the log
/// itself is the only place where it could be reported.
fn write_standard_output(bytes: &[u8]) -> usize {
    // SAFETY: The pointer and the length describe `bytes`, which outlives the call.
    let written = unsafe { libc::write(libc::STDOUT_FILENO, bytes.as_ptr().cast(), bytes.len()) };
    usize::try_from(written).unwrap_or(0)
}
