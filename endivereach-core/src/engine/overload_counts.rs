//! Load: any overload. Counts why statements are refused and how long the others wait.

use crate::treatment::Priority;
use std::collections::BTreeMap;
use std::time::Duration;

crate::value! {
    /// Why a statement was refused before it ran.
    pub enum RefusalReason {
        /// It was expected to wait longer than it may.
        Overload,
        /// It waited until its deadline.
        QueueTimeout,
        /// No replica receives from the primary, so no commit can be acknowledged.
        WriteStalled,
        /// No server could run it.
        NoServer,
        /// This process is stopping.
        Stopping,
    }

    /// The waits of statements that were sent to a server.
    #[derive(Default)]
    pub struct WaitTotals {
        /// The number of statements.
        pub count: u64,
        /// The sum of their waits from arrival to the first attempt.
        pub total: Duration,
        /// The longest wait.
        pub longest: Duration,
    }
}

/// Counts of refusals by reason, and waits by priority, since the start.
#[derive(Clone, Debug, Default)]
pub struct OverloadCounts {
    /// The number of refusals for each reason.
    pub refusals: BTreeMap<RefusalReason, u64>,
    /// The waits at each priority.
    pub waits: BTreeMap<Priority, WaitTotals>,
}

impl OverloadCounts {
    pub(super) fn record_refusal(&mut self, reason: RefusalReason) {
        *self.refusals.entry(reason).or_default() += 1;
    }

    pub(super) fn record_wait(&mut self, priority: Priority, wait: Duration) {
        let totals = self.waits.entry(priority).or_default();
        totals.count += 1;
        totals.total += wait;
        totals.longest = totals.longest.max(wait);
    }
}

impl RefusalReason {
    /// Returns the reason's name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Overload => "overload",
            Self::QueueTimeout => "queue_timeout",
            Self::WriteStalled => "write_stalled",
            Self::NoServer => "no_server",
            Self::Stopping => "stopping",
        }
    }
}
