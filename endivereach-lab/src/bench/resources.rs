//! The resource usage of a process, from `/proc`.

use anyhow::Context;
use std::time::Duration;

/// The resource usage of a process at one time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// The CPU time since the start of the process.
    pub(crate) cpu_time: Duration,
    /// The resident memory, in bytes.
    pub(crate) resident_bytes: u64,
    /// The number of threads.
    pub(crate) threads: u64,
}

/// The index of the user time in `/proc/PID/stat`, among the fields after the command's closing
/// parenthesis.
const STAT_USER_TIME_INDEX: usize = 11;

impl Usage {
    /// Reads the resource usage of a process.
    pub(crate) fn of(pid: u32) -> anyhow::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let (_, fields) = stat
            .rsplit_once(") ")
            .context("/proc/PID/stat has no command")?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |index: usize| -> anyhow::Result<u64> {
            let field = fields.get(index).context("/proc/PID/stat is short")?;
            Ok(field.parse()?)
        };
        // SAFETY: The call reads a constant of the system and has no other effect.
        let ticks_per_s = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
        let used_ticks = ticks(STAT_USER_TIME_INDEX)? + ticks(STAT_USER_TIME_INDEX + 1)?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        Ok(Self {
            cpu_time: Duration::from_secs_f64(used_ticks as f64 / ticks_per_s as f64),
            resident_bytes: status_number(&status, "VmRSS:")? * 1024,
            threads: status_number(&status, "Threads:")?,
        })
    }
}

/// Returns the number after a name in `/proc/PID/status`.
fn status_number(status: &str, name: &str) -> anyhow::Result<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let line = line.with_context(|| format!("/proc/PID/status has no {name}"))?;
    let number = line
        .split_whitespace()
        .next()
        .context("a line in /proc/PID/status has no number")?;
    Ok(number.parse()?)
}
