//! When reads are sent to servers of another region.
//!
//! Load: demand arrives in waves that reach one zone after the other, so the servers of one region are
//! busy while those of another have room. A read in the other region takes longer by the distance, so
//! it pays only once the local queue delays reads by more.

use std::time::Duration;
use std::time::Instant;

/// How long reads of other regions count as in use after the last one.
const IN_USE: Duration = Duration::from_millis(500);

/// The local delay at which reads stay local again, in percent of the time that a far read takes.
/// Between this and 100%, the choice stays what it was, so that it doesn't alternate with each read
/// that leaves the local queue.
const RETURN_PERCENT: u32 = 50;

/// Whether reads of one group use servers of other regions.
///
/// # Examples
///
/// ```
/// use endivereach_core::far_reads::FarReads;
/// use std::time::{Duration, Instant};
///
/// let now = Instant::now();
/// let ms = Duration::from_millis;
/// let mut far_reads = FarReads::default();
/// assert!(!far_reads.admit(now, ms(50), ms(70)), "the local queue is shorter");
/// assert!(far_reads.admit(now, ms(75), ms(70)));
/// assert!(far_reads.admit(now, ms(50), ms(70)), "the queue has hardly become shorter");
/// assert!(!far_reads.admit(now, ms(30), ms(70)));
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct FarReads {
    used_until: Option<Instant>,
}

impl FarReads {
    /// Returns whether a read that is expected to take `near` in the own region may be sent to
    /// another one, where it takes `far`.
    pub fn admit(&mut self, now: Instant, near: Duration, far: Duration) -> bool {
        let is_in_use = self.is_in_use(now);
        let threshold = if is_in_use {
            far * RETURN_PERCENT / 100
        } else {
            far
        };
        let is_admitted = near > threshold;
        if is_admitted {
            self.used_until = Some(now + IN_USE);
        }
        is_admitted
    }

    /// Returns whether reads were sent to another region recently.
    pub fn is_in_use(&self, now: Instant) -> bool {
        self.used_until.is_some_and(|until| now < until)
    }
}
