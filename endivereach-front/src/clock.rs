//! A monotonic clock that includes the time for which the VM was suspended.

use endivereach_core::clock::Clock;
use std::time::Duration;
use std::time::Instant;

/// The operating system's boot clock, which returns [`Instant`]s.
///
/// The clock behind [`Instant::now`] stops while the VM is suspended. A lease or cached value from
/// before the suspension would then appear to be still valid afterwards.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    origin: Instant,
    origin_since_boot: Duration,
}

impl BootClock {
    /// Creates a clock whose origin is the current time.
    pub fn open() -> Self {
        Self {
            origin: Instant::now(),
            origin_since_boot: since_boot(),
        }
    }
}

impl Clock for BootClock {
    fn now(&self) -> Instant {
        self.origin + since_boot().saturating_sub(self.origin_since_boot)
    }
}

fn since_boot() -> Duration {
    let mut time = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: The pointer is valid for the call, and the clock exists on every supported kernel.
    unsafe { libc::clock_gettime(libc::CLOCK_BOOTTIME, &mut time) };
    Duration::new(time.tv_sec.unsigned_abs(), time.tv_nsec as u32)
}
