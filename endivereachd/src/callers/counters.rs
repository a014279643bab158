//! Counters of the data path, exported by telemetry.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A counter that only grows, or a gauge that moves both ways.
#[derive(Debug, Default)]
pub struct Count(AtomicU64);

impl Count {
    /// Adds one.
    pub fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes one away, for gauges.
    pub fn sub(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the present value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// What the data path did since its start.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[doc = $doc])+ pub $name: Count,)+
        }

        impl Counters {
            /// Calls `visit` with the name and value of every counter, in a fixed order.
            pub fn visit(&self, mut visit: impl FnMut(&'static str, u64)) {
                $(visit(stringify!($name), self.$name.get());)+
            }
        }
    };
}

counters! {
    /// Callers connected now.
    callers_now,
    /// Callers accepted.
    callers_accepted,
    /// Callers refused at their start.
    callers_refused,
    /// Requests being run now.
    requests_now,
    /// Requests started.
    requests_started,
    /// Reads answered by a replica.
    reads_replica,
    /// Reads answered by the primary because no replica was far enough.
    reads_primary_lag,
    /// Reads answered by the primary because no replica could be reached.
    reads_primary_unreachable,
    /// Reads answered by the primary inside a caller's transaction or on a pinned connection.
    reads_primary_pinned,
    /// Answers of a replica thrown away because they were older than required.
    reads_discarded,
    /// Reads sent again after a connection broke.
    reads_retried,
    /// Writes run.
    writes,
    /// Commits acknowledged after confirmation.
    commits_confirmed,
    /// Commits whose primary was replaced before confirmation.
    commits_replaced,
    /// Outcomes found out: done.
    outcomes_done,
    /// Outcomes found out: not run.
    outcomes_not_run,
    /// Outcomes that stayed unknown at the deadline.
    outcomes_unknown,
    /// Requests run again for a caller after their first attempt was found not run.
    requests_replayed,
    /// Requests shed because the expected wait passed their deadline.
    sheds,
    /// Requests not repeated because the retry budget was empty.
    retries_denied,
    /// Connections opened to targets.
    connects,
    /// Connections to targets that could not be opened.
    connects_failed,
    /// Connections to targets given up because they went silent.
    connections_silent,
    /// Connections to targets dropped because their state was not clean.
    connections_dropped,
    /// Connections to targets open now.
    connections_now,
    /// Cancel requests passed on.
    cancels,
}
