//! What a process uses, as the kernel tells.

use anyhow::Context;
use std::time::Duration;

/// A process's use of the machine at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Processor time since its start.
    pub(crate) processor: Duration,
    /// Resident memory.
    pub(crate) resident_bytes: u64,
    /// Threads.
    pub(crate) threads: u64,
}

/// The position of the user time in `/proc/PID/stat`, counted behind the command's bracket.
const STAT_USER_TIME: usize = 11;

impl Usage {
    /// Reads a process's use.
    pub(crate) fn of(pid: u32) -> anyhow::Result<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        let (_, fields) = stat
            .rsplit_once(") ")
            .context("/proc/PID/stat has no command")?;
        let fields: Vec<&str> = fields.split_whitespace().collect();
        let ticks = |at: usize| -> anyhow::Result<u64> {
            let field = fields.get(at).context("/proc/PID/stat is short")?;
            Ok(field.parse()?)
        };
        // SAFETY: The call reads a constant of the system and has no other effect.
        let ticks_per_s = unsafe { libc::sysconf(libc::_SC_CLK_TCK) };
        let used = ticks(STAT_USER_TIME)? + ticks(STAT_USER_TIME + 1)?;
        let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
        Ok(Self {
            processor: Duration::from_secs_f64(used as f64 / ticks_per_s as f64),
            resident_bytes: number(&status, "VmRSS:")? * 1024,
            threads: number(&status, "Threads:")?,
        })
    }
}

/// Returns the number behind a name in `/proc/PID/status`.
fn number(status: &str, name: &str) -> anyhow::Result<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let line = line.with_context(|| format!("/proc/PID/status has no {name}"))?;
    let number = line.split_whitespace().next().context("no number")?;
    Ok(number.parse()?)
}
