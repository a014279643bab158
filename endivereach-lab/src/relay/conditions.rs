//! The delay, loss and flow settings of a link.

use rand::Rng;
use std::time::Duration;

/// The extra delay for each loss of a chunk: the retransmission timeout of a TCP sender.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);

/// Whether a link passes bytes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Flow {
    /// Bytes are passed on.
    #[default]
    Open,
    /// Bytes are held back until the link is open again, as in a network partition.
    Held,
    /// Connections are closed at once, as by a host on which no process listens.
    Refused,
}

/// The conditions of a link, which apply to both directions. The default has no delay and no loss.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Conditions {
    /// The one-way delay.
    pub delay: Duration,
    /// The maximum extra delay of a chunk. The actual one is drawn uniformly from zero up to it.
    pub jitter: Duration,
    /// The probability that a transmission of a chunk is lost and sent again, from 0 to 1.
    pub loss: f64,
    /// Whether the link passes bytes on.
    pub flow: Flow,
}

impl Conditions {
    /// Draws the total delay of a chunk.
    pub(super) fn draw_delay(&self, rng: &mut impl Rng) -> Duration {
        let mut total_delay = self.delay;
        if !self.jitter.is_zero() {
            let jitter_ns = self.jitter.as_nanos() as u64;
            total_delay += Duration::from_nanos(rng.random_range(0..=jitter_ns));
        }
        while self.loss > 0.0 && rng.random_bool(self.loss.min(0.9)) {
            total_delay += RETRANSMISSION_TIMEOUT;
        }
        total_delay
    }
}
