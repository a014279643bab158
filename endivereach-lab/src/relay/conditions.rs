//! What a link does to the bytes that pass.

use rand::Rng;
use std::time::Duration;

/// The extra delay of a chunk that was lost once: the sender's retransmission timeout.
const RETRANSMISSION: Duration = Duration::from_millis(200);

/// Whether bytes pass.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// They pass.
    #[default]
    Open,
    /// They are held until the link is open again, as in a network partition.
    Held,
    /// Connections are closed at once, as by a host without the process.
    Refused,
}

/// The conditions of a link, for both directions. The default passes everything on at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Conditions {
    /// The one-way delay.
    pub delay: Duration,
    /// The greatest extra delay of a chunk, drawn evenly from zero.
    pub jitter: Duration,
    /// The share of chunks that are lost once and sent again, from 0 to 1.
    pub loss: f64,
    /// Whether bytes pass.
    pub flow: Flow,
}

impl Conditions {
    /// Draws how long a chunk takes.
    pub(super) fn draw(&self, rng: &mut impl Rng) -> Duration {
        let mut took = self.delay;
        if !self.jitter.is_zero() {
            let jitter_ns = self.jitter.as_nanos() as u64;
            took += Duration::from_nanos(rng.random_range(0..=jitter_ns));
        }
        while self.loss > 0.0 && rng.random_bool(self.loss.min(0.9)) {
            took += RETRANSMISSION;
        }
        took
    }
}
