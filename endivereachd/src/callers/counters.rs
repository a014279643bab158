//! Counters of the data path, exported by telemetry.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A monotonic counter, or a gauge that can also decrease.
#[derive(Debug, Default)]
pub struct Count(AtomicU64);

impl Count {
    /// Adds one.
    pub fn increment(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Subtracts one. Used for gauges only.
    pub fn decrement(&self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

macro_rules! counters {
    ($($(#[doc = $doc:literal])+ $name:ident,)+) => {
        /// The counters and gauges of the data path since the process started.
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
    /// Number of callers that are connected.
    callers_now,
    /// Callers whose session was opened.
    callers_accepted,
    /// Callers refused during startup or login.
    callers_refused,
    /// Number of requests in progress.
    requests_now,
    /// Requests started.
    requests_started,
    /// Reads answered by a replica.
    reads_replica,
    /// Reads sent to the primary because no replica had applied the required position.
    reads_primary_lag,
    /// Reads sent to the primary because no replica was reachable.
    reads_primary_unreachable,
    /// Requests executed on the primary inside a caller's transaction or on a pinned connection.
    reads_primary_pinned,
    /// Replies discarded because they were older than required.
    reads_discarded,
    /// Reads retried after a connection failed or a reply was not confirmed.
    reads_retried,
    /// Writes outside a caller's transaction.
    writes,
    /// Commits acknowledged after their confirmation.
    commits_confirmed,
    /// Commits whose primary was replaced before their confirmation.
    commits_replaced,
    /// Requests of unknown outcome that proved to have been committed.
    outcomes_done,
    /// Requests of unknown outcome that proved not to have been executed.
    outcomes_not_run,
    /// Requests whose outcome was still unknown at their deadline.
    outcomes_unknown,
    /// Requests executed again after their previous attempt proved not to have been executed.
    requests_replayed,
    /// Requests refused because no connection became free before their deadline, or none was
    /// expected to.
    sheds,
    /// Requests not retried because the retry budget was exhausted.
    retries_denied,
    /// Connections opened to targets.
    connects,
    /// Failed attempts to open a connection to a target.
    connects_failed,
    /// Connections to targets closed because the target sent nothing in time.
    connections_silent,
    /// Connections to targets closed after a lease because they could not be reused.
    connections_dropped,
    /// Number of open connections to targets.
    connections_now,
    /// Cancel requests forwarded to targets.
    cancels,
}
